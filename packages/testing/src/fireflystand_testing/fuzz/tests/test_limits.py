"""Run the machines of quota and feed within bounds."""

import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from fireflystand_testing.fuzz.limits import MACHINES, MUTATIONS

BOUNDS = settings(
    max_examples=150,
    phases=[Phase.generate],  # shrinking takes minutes
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=False,
    suppress_health_check=list(HealthCheck),
)


class LimitsFuzzTests(unittest.TestCase):
    """Guard against event orders that exceed a limit or take an item back."""

    def test_machines_find_nothing(self):
        for machine in MACHINES:
            with self.subTest(machine.name):
                run_state_machine_as_test(machine.machine, settings=BOUNDS)

    def test_mutations_are_found(self):
        for mutation in MUTATIONS:
            with self.subTest(mutation.name), mutation.patch():
                with self.assertRaises(AssertionError):
                    run_state_machine_as_test(mutation.machine, settings=BOUNDS)


if __name__ == "__main__":
    unittest.main()
