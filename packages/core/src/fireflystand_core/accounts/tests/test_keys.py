"""Test the registry of API keys."""

import unittest

from fireflystand_core.accounts import KeyRegistry, KeyState, hash_api_key
from fireflystand_core.configuration import AccountSettings


class KeyRegistryTests(unittest.TestCase):
    """Guard against accepting an API key that was withdrawn or deleted."""

    def setUp(self):
        self.registry = KeyRegistry()
        self.hash = hash_api_key("secret")
        self.registry.put(self.hash, "gent", KeyState.ACTIVE)

    def test_active_key_names_its_account(self):
        self.assertEqual(self.registry.account_of("secret"), "gent")
        self.assertIsNone(self.registry.account_of("other"))

    def test_withdrawal_is_final(self):
        self.registry.put(self.hash, "gent", KeyState.WITHDRAWN)
        self.registry.put(self.hash, "gent", KeyState.ACTIVE)
        self.assertIsNone(self.registry.account_of("secret"))

    def test_deleted_key_cannot_be_created_again(self):
        self.registry.remove(self.hash)
        self.registry.put(self.hash, "gent", KeyState.ACTIVE)
        self.assertIsNone(self.registry.account_of("secret"))

    def test_deletion_heard_before_the_key_is_final_too(self):
        other = hash_api_key("other")
        self.registry.remove(other)
        self.registry.put(other, "gent", KeyState.ACTIVE)
        self.assertIsNone(self.registry.account_of("other"))

    def test_service_outside_the_account_is_not_admitted(self):
        account = AccountSettings("gent", 1.0, 1.0, ("winkel",))
        self.assertTrue(self.registry.admits(account, "winkel"))
        self.assertFalse(self.registry.admits(account, "packs"))
        self.assertFalse(self.registry.admits(None, "winkel"))


if __name__ == "__main__":
    unittest.main()
