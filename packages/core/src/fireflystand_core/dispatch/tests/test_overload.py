"""Replay a storm of requests against an instance of limited speed."""

import unittest
from random import Random

from fireflystand_core.dispatch import OverloadGuard

SERVE_TIME = 0.004  # seconds of processor time of a served request
REFUSE_TIME = 0.001  # seconds of processor time of a refused one
AIM = 0.3  # seconds
SAMPLE_INTERVAL = 0.1  # seconds
GOODPUT_GOAL = 0.95  # of what is possible, as docs/status.md states it


def play(rate: float, *, guarded: bool, seconds: float = 20.0) -> dict[int, float]:
    """Return the part of the requests of each priority that are read within the aim.

    Requests are read in the order of their arrival by an instance that serves 250 of
    them a second. Two thirds are of the less urgent priority.
    """
    random = Random(1)
    guard = OverloadGuard(random.random)
    asked, in_aim = {0: 0, 1: 0}, {0: 0, 1: 0}
    arrival = free_at = 0.0
    next_sample = SAMPLE_INTERVAL
    while arrival < seconds:
        arrival += random.expovariate(rate)
        while next_sample <= arrival:
            guard.note_lag(max(0.0, free_at - next_sample) if guarded else 0.0)
            # The next timer starts when the late one has run.
            next_sample = max(next_sample, free_at) + SAMPLE_INTERVAL
        priority = 0 if random.random() < 1 / 3 else 1
        asked[priority] += 1
        start = max(arrival, free_at)
        if guard.refusal(priority) is not None:
            free_at = start + REFUSE_TIME
            continue
        free_at = start + SERVE_TIME
        in_aim[priority] += free_at - arrival <= AIM
    return {priority: in_aim[priority] / asked[priority] for priority in asked}


class StormTests(unittest.TestCase):
    """Guard against an instance that reads only requests that are late already."""

    def test_storm_leaves_time_for_a_part_of_the_requests(self):
        rate = 400.0
        self.assertLess(sum(play(rate, guarded=False).values()), 0.1)
        shares = play(rate, guarded=True)
        self.assertGreater(shares[0], shares[1])
        # All are read, and those that are not refused take the rest of the time.
        possible = (1 - rate * REFUSE_TIME) / (SERVE_TIME - REFUSE_TIME)
        in_aim = rate * (shares[0] / 3 + shares[1] * 2 / 3)
        self.assertGreater(in_aim / possible, GOODPUT_GOAL)

    def test_nothing_is_refused_with_time_to_spare(self):
        guard = OverloadGuard(lambda: 0.0)
        guard.note_lag(0.05)
        self.assertIsNone(guard.refusal(2))

    def test_refusals_end_with_the_lag(self):
        guard = OverloadGuard(lambda: 0.0)
        guard.note_lag(1.0)
        self.assertIsNotNone(guard.refusal(1))
        for _ in range(10):
            guard.note_lag(0.0)
        self.assertIsNone(guard.refusal(1))


if __name__ == "__main__":
    unittest.main()
