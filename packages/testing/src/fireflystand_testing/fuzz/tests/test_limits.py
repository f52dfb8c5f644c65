"""Run the machines of quota and feed within bounds."""

import unittest

from fireflystand_testing.fuzz import load_machines, mutations, run_machine

MACHINES = ("quota", "feed")


def run(name: str) -> None:
    """Run a machine with a fixed sequence; shrinking would take minutes."""
    run_machine(name, examples=150, steps=40, number=None, shrink=False)


class LimitsFuzzTests(unittest.TestCase):
    """Guard against event orders that exceed a limit or take an item back."""

    def setUp(self):
        load_machines()

    def test_machines_find_nothing(self):
        for name in MACHINES:
            with self.subTest(name):
                run(name)

    def test_mutations_are_found(self):
        chosen = [m for m in mutations if m.machine in MACHINES]
        self.assertEqual(len(chosen), 11)
        for mutation in chosen:
            with self.subTest(mutation.name), mutation.apply():
                with self.assertRaises(AssertionError):
                    run(mutation.machine)


if __name__ == "__main__":
    unittest.main()
