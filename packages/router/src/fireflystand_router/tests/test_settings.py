"""Test the process settings."""

import unittest
from pathlib import Path

from fireflystand_core.configuration import FaultySettingsError
from fireflystand_router.settings import load_settings

EXAMPLE = str(Path(__file__).resolve().parents[5] / "examples" / "instance.yaml")


class ProcessSettingsTests(unittest.TestCase):
    """Guard against a process that starts with the wrong identity or addresses."""

    def faults(self, environment=None, flags=None, file=EXAMPLE):
        with self.assertRaises(FaultySettingsError) as caught:
            load_settings(file, environment, flags)
        return [str(fault) for fault in caught.exception.faults]

    def test_flags_override_the_environment_and_that_the_file(self):
        environment = {
            "FIREFLYSTAND_INSTANCE_ID": "e2",
            "FIREFLYSTAND_LOG_LEVEL": "debug",
            "HOME": "/",
        }
        flags = {"log_level": "error", "log_format": None}
        found = load_settings(EXAMPLE, environment, flags)
        self.assertEqual(found.data_centre, "namur-a")
        self.assertEqual(found.instance_id, "e2")
        self.assertEqual((found.log_level, found.log_format), ("error", "json"))

    def test_each_fault_is_told_with_its_source(self):
        rows = [
            ("STORE_ADRESS", "10.0.0.1:1", "did you mean 'store_address'?"),
            ("STORE_ADDRESS", "store:1", "environment: FIREFLYSTAND_STORE_ADDRESS: w"),
            ("PEER_ADDRESS", "0.0.0.0:7000", "others connect to it"),
            ("PEER_ADDRESS", "10.20.1.200:7001", "peer_address is the same"),
            ("LOG_LEVEL", "loud", "use debug or info or warning or error"),
            ("INSTANCE_ID", "", "write a name of 1 to 63"),
        ]
        for name, value, expected in rows:
            with self.subTest(name=name, value=value):
                found = self.faults({f"FIREFLYSTAND_{name}": value})
                self.assertTrue(any(expected in fault for fault in found), found)
        self.assertIn("flags: --log_format: ", self.faults(None, {"log_format": 1})[0])

    def test_missing_settings_and_files_are_told_together(self):
        self.assertEqual(len(self.faults(file=None)), 7)
        self.assertEqual(len(self.faults(file="missing.yaml")), 8)


if __name__ == "__main__":
    unittest.main()
