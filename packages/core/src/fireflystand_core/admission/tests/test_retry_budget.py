"""Test how all instances together keep the bound for retries."""

import unittest
from collections.abc import Callable
from random import Random

from fireflystand_core.admission import SharedRetryBudget

FLEETS = (12, 82, 195)
WINDOW = 10  # seconds
RATIO, SLACK = 0.2, 64.0  # the operators' limits for all instances
SHARE, BURST = RATIO / 2, SLACK / 2  # as the platform's settings are read
STEP = 0.5  # seconds


class FleetModel:
    """Spend the retries of instances that start at given times, and count them.

    ``share_at`` returns which part of the fleet an instance believes to be.
    """

    def __init__(
        self, starts: list[float], share_at: Callable[[int, float], float]
    ) -> None:
        self.retries: list[int] = []  # for each step
        self.requests: list[int] = []
        self.by_instance = [0] * len(starts)
        self._starts = starts
        self._share_at = share_at
        self._random = Random(43)
        self._budgets: dict[int, SharedRetryBudget] = {}

    def run(self, until: float, *, calm_until: float = 0.0, requests: int = 1) -> None:
        """Let each instance send what it may from ``calm_until`` on."""
        for step in range(int(until / STEP)):
            now = step * STEP
            running = [i for i, start in enumerate(self._starts) if start <= now]
            counts = [self._step(i, now, requests, now < calm_until) for i in running]
            self.retries.append(sum(counts))
            self.requests.append(requests * len(running))

    def _step(self, instance: int, now: float, requests: int, is_calm: bool) -> int:
        budget = self._budgets.get(instance)
        if budget is None:
            phase = self._random.random()
            budget = SharedRetryBudget(SHARE, BURST, phase, now)
            self._budgets[instance] = budget
        share = self._share_at(instance, now)
        for _ in range(requests):
            budget.note_request(share, now)
        count = 0
        while not is_calm and budget.spend(share, now):
            count += 1
        self.by_instance[instance] += count
        return count

    def excess(self) -> float:
        """Return the most retries in a window above what its requests allow.

        The requests are those of that window, or of one that begins up to a window
        earlier.
        """
        length = int(WINDOW / STEP)
        return max(
            sum(self.retries[first : first + length])
            - RATIO
            * max(
                sum(self.requests[max(0, first - back) : max(0, first - back) + length])
                for back in (0, length // 2, length)
            )
            for first in range(len(self.retries))
        )


class SharedRetryBudgetTests(unittest.TestCase):
    """Guard against instances that each grant what all may send together."""

    def check(self, until: float, *, calm_until: float = 0.0) -> None:
        for count in FLEETS:
            for requests in (0, 1, 5):
                model = FleetModel([0.0] * count, lambda i, now, n=count: 1 / n)
                model.run(until, calm_until=calm_until, requests=requests)
                with self.subTest(count=count, requests=requests):
                    self.assertLessEqual(model.excess(), SLACK)

    def test_all_instances_keep_the_bound_together(self):
        self.check(60.0)

    def test_calm_instances_do_not_save_a_retry_each(self):
        self.check(90.0, calm_until=60.0)

    def test_instances_that_start_one_after_the_other(self):
        """Each one knows those that started before it, and later all."""
        for count in FLEETS:
            starts = [2.0 * instance / count for instance in range(count)]

            def share(instance, now, starts=starts):
                return 1 / sum(start <= now for start in starts)

            model = FleetModel(starts, share)
            model.run(30.0)
            with self.subTest(count=count):
                self.assertLessEqual(model.excess(), SLACK)

    def test_instance_that_learns_of_the_others_late(self):
        budget = SharedRetryBudget(SHARE, BURST, 0.0, 0.0)
        self.assertFalse(budget.spend(0.0, 1.0))
        spent = sum(budget.spend(1 / 82, 1.0 + step / 10) for step in range(100))
        self.assertLessEqual(spent, 2)

    def test_part_below_one_retry_is_granted_at_spaced_times(self):
        count = 195
        model = FleetModel([0.0] * count, lambda i, now, n=count: 1 / n)
        model.run(120.0, requests=0)
        self.assertGreaterEqual(sum(model.retries), 0.9 * BURST * 11)
        self.assertGreaterEqual(min(model.by_instance), 1)


if __name__ == "__main__":
    unittest.main()
