"""Run the ownership machine with a fixed sequence."""

import unittest

from fireflystand_testing.fuzz import load_machines, run_machine


class OwnershipFuzzTests(unittest.TestCase):
    """Guard against two owners, lost assignments and shards that stay unserved."""

    def test_fixed_run(self):
        load_machines()
        run_machine("ownership", examples=60, steps=40, number=None)


if __name__ == "__main__":
    unittest.main()
