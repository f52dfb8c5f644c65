"""Test how the number of requests that a target runs well is learned."""

import unittest
from collections.abc import Callable
from random import Random

from fireflystand_core.dispatch import ConcurrencyLimit

SLOTS = 6
WORK = 0.18  # seconds
TIME_LIMIT = 1.51  # seconds


def crowded(level: int, now: float) -> float:
    """Return the slowdown of a target that runs two requests well."""
    return max(1.0, level / 2) ** 2


def usual(level: int, now: float) -> float:
    """Return that all slots run well."""
    return 1.0


def slow_between(since: float, until: float, factor: float) -> Callable:
    """Return a target that is slow for a time, however few requests it runs."""
    return lambda level, now: factor if since <= now < until else 1.0


class TargetModel:
    """Keep a target as busy as its limit allows, and record the limits over time."""

    def __init__(self, seed: int) -> None:
        self.limit = ConcurrencyLimit(SLOTS, 0.0)
        self.now = 0.0
        self.limits: list[int] = []
        self._random = Random(seed)
        self._running: list[tuple[float, float, int]] = []  # end, begin, level

    def run(self, seconds: float, slowdown: Callable) -> list[int]:
        """Return the limits after each request of a time."""
        until, first = self.now + seconds, len(self.limits)
        while self.now < until:
            while len(self._running) < self.limit.limit:
                self._start(slowdown)
            end, begin, level = self._running.pop(0)
            self.now = end
            duration = min(TIME_LIMIT, end - begin)
            complete = duration < TIME_LIMIT
            self.limit.record(duration, level, begin, self.now, complete=complete)
            self.limits.append(self.limit.limit)
        return self.limits[first:]

    def _start(self, slowdown: Callable) -> None:
        level = len(self._running) + 1
        seconds = WORK * self._random.lognormvariate(0.0, 0.3)
        # A target's neighbours disturb it for a fifth of the time.
        seconds *= 3.0 if self._random.random() < 0.2 else 1.0
        seconds = min(TIME_LIMIT, seconds * slowdown(level, self.now))
        self._running.append((self.now + seconds, self.now, level))
        self._running.sort()


class ConcurrencyLimitTests(unittest.TestCase):
    """Guard against targets that get more requests than they run well, or fewer."""

    def models(self) -> list[TargetModel]:
        return [TargetModel(seed) for seed in range(5)]

    def test_usual_target_keeps_its_slots(self):
        """Disturbances by neighbours were taken for a lower limit."""
        for model in self.models():
            limits = model.run(60.0, usual)
            self.assertGreater(limits.count(SLOTS) / len(limits), 0.9)

    def test_target_that_slows_down_before_it_is_full_gets_fewer_requests(self):
        for model in self.models():
            model.run(20.0, crowded)
            limits = model.run(40.0, crowded)
            self.assertLessEqual(sum(limits) / len(limits), 3.0)

    def test_target_that_recovers_gets_its_requests_back(self):
        """No request but the usual ones may be needed to notice it."""
        for model in self.models():
            model.run(40.0, crowded)
            model.run(30.0, usual)
            limits = model.run(20.0, usual)
            self.assertGreater(sum(limits) / len(limits), SLOTS - 1)

    def test_slowness_of_less_than_a_second_changes_nothing(self):
        for model in self.models():
            before = model.run(20.0, usual)[-1]
            limits = model.run(5.0, slow_between(20.5, 21.3, 5.0))
            self.assertEqual(set(limits), {before})

    def test_slowness_that_lasts_lowers_the_limit_only_while_it_helps(self):
        """A target that is slow by itself ends no more requests with fewer."""
        for model in self.models():
            model.run(20.0, usual)
            slow = model.run(10.0, slow_between(20.0, 30.0, 7.0))
            self.assertLess(min(slow), SLOTS)
            model.run(10.0, usual)
            limits = model.run(10.0, usual)
            self.assertGreater(sum(limits) / len(limits), SLOTS - 1)

    def test_limit_that_the_load_does_not_reach_is_raised(self):
        """A limit learned under load must not wait for the next load to go."""
        model = TargetModel(1)
        model.run(40.0, crowded)
        for step in range(400):
            now = model.now + step / 10
            model.limit.record(WORK, 1, now - WORK, now, complete=True)
        self.assertEqual(model.limit.limit, SLOTS)

    def test_slow_seconds_apart_do_not_lower_the_limit(self):
        """Seconds with unused slots in between were left out, as if they were one."""
        limit = ConcurrencyLimit(4, 0.0)
        self.run_second(limit, 0.0, WORK, level=4)
        self.run_second(limit, 1.2, 5 * WORK, level=4)
        for second in range(30):
            self.run_second(limit, 2.4 + 1.2 * second, WORK, level=2)
        self.run_second(limit, 40.0, 5 * WORK, level=4)
        self.assertEqual(limit.limit, 4)

    def run_second(
        self, limit: ConcurrencyLimit, since: float, seconds: float, level: int
    ) -> None:
        """Record the responses of one window, all with the same level."""
        for number in range(12):
            now = since + 1.1 * (number + 1) / 12
            limit.record(seconds, level, now, now, complete=True)

    def test_changed_number_of_slots_applies_at_once(self):
        limit = ConcurrencyLimit(4, 0.0)
        limit.set_slots(2)
        self.assertEqual(limit.limit, 2)
        limit.set_slots(6)
        self.assertEqual(limit.limit, 6)


if __name__ == "__main__":
    unittest.main()
