"""Run the request machine for a bounded time."""

import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from fireflystand_testing.fuzz.requests import RequestMachine

SETTINGS = settings(
    derandomize=True,
    phases=[Phase.explicit, Phase.generate],
    database=None,
    deadline=None,
    max_examples=500,
    stateful_step_count=60,
    suppress_health_check=list(HealthCheck),
)


class RequestMachineTests(unittest.TestCase):
    """Guard against double runs, false refusals, overruns and endless waits."""

    def test_bounded_run(self):
        run_state_machine_as_test(RequestMachine, settings=SETTINGS)


if __name__ == "__main__":
    unittest.main()
