"""Estimate when a target has a free slot, from its requests and their durations."""

import heapq
from collections.abc import Iterable, Sequence

__all__ = ["MeanDuration", "remaining_work", "start_delay"]

WEIGHT = 0.1  # of one sample; a change of speed shows after about ten requests
# A request that has run for twice the mean duration is on a slow or unresponsive
# target. Its elapsed time is then the better estimate of its remaining time.
OVERDUE_FACTOR = 2.0


class MeanDuration:
    """Keep an exponentially weighted mean of durations in seconds.

    ``initial`` has the weight of ``prior`` samples.
    """

    def __init__(
        self, initial: float, *, weight: float = WEIGHT, prior: int = 1
    ) -> None:
        self.seconds = initial
        self.samples = 0
        self._weight = weight
        self._prior = prior

    def add(self, seconds: float, count: int = 1) -> None:
        """Add a duration, or the mean of ``count`` durations."""
        self.samples += count
        minimum = 1 - (1 - self._weight) ** count
        weight = max(minimum, count / (self.samples + self._prior))
        self.seconds += weight * (seconds - self.seconds)


def remaining_work(elapsed: float, mean: float) -> float:
    """Return the expected remaining seconds of work that has run for ``elapsed``."""
    if elapsed > OVERDUE_FACTOR * mean:
        return elapsed
    return max(mean - elapsed, mean / 2)


def start_delay(
    running: Iterable[float], free_slots: int, queued: Sequence[float], mean: float
) -> float:
    """Return the seconds until the next request can start.

    ``running`` lists the remaining seconds of the requests that hold a slot, and
    ``queued`` the durations of the queued requests that start before it.
    """
    slots = [0.0] * free_slots + list(running)
    if not slots:
        return mean * (len(queued) + 1)
    heapq.heapify(slots)
    for duration in queued:
        heapq.heapreplace(slots, slots[0] + duration)
    return slots[0]
