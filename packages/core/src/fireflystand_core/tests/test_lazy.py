"""Test packages that import their modules when a name needs them."""

import unittest

import fireflystand_core.admission
import fireflystand_core.messages
from fireflystand_core.lazy import lazy_names


class LazyNamesTests(unittest.TestCase):
    """Guard against names of a package that are lost or found in the wrong place."""

    def test_names_and_modules_are_found(self):
        from fireflystand_core.admission import PermitDesk, desk

        self.assertIs(PermitDesk, desk.PermitDesk)
        self.assertEqual(fireflystand_core.messages.Seal.__name__, "Seal")

    def test_unknown_names_raise_attribute_errors(self):
        get = lazy_names("fireflystand_core.admission", "desk")
        for name in ("NoSuchName", "__wrapped__"):
            with self.assertRaises(AttributeError):
                get(name)
        self.assertFalse(hasattr(fireflystand_core.admission, "NoSuchName"))


if __name__ == "__main__":
    unittest.main()
