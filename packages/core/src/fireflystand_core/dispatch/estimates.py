"""Estimate when a target has room, from what runs on it and how long work takes."""

import heapq
from collections.abc import Iterable, Sequence

__all__ = ["MeanDuration", "remaining_work", "start_delay"]

WEIGHT = 0.1  # of one sample; a change of speed shows after about ten requests
# Work that has taken twice its mean comes from a slow or a silent target. The time
# it has taken is then the better guess for what is left.
OVERDUE_FACTOR = 2.0


class MeanDuration:
    """Follow the mean duration of work in seconds.

    ``initial`` counts as much as ``prior`` samples.
    """

    def __init__(
        self, initial: float, *, weight: float = WEIGHT, prior: int = 1
    ) -> None:
        self.seconds = initial
        self.samples = 0
        self._weight = weight
        self._prior = prior

    def add(self, seconds: float, count: int = 1) -> None:
        """Take in a duration, or the mean of ``count`` durations."""
        self.samples += count
        usual = 1 - (1 - self._weight) ** count
        weight = max(usual, count / (self.samples + self._prior))
        self.seconds += weight * (seconds - self.seconds)


def remaining_work(elapsed: float, mean: float) -> float:
    """Return the expected rest of work that has run for ``elapsed`` seconds."""
    if elapsed > OVERDUE_FACTOR * mean:
        return elapsed
    return max(mean - elapsed, mean / 2)


def start_delay(
    running: Iterable[float], free_slots: int, queued: Sequence[float], mean: float
) -> float:
    """Return in how many seconds the next request can start.

    ``running`` holds the remaining seconds of requests that hold a slot, ``queued``
    the durations of the requests that go first.
    """
    slots = [0.0] * free_slots + list(running)
    if not slots:
        return mean * (len(queued) + 1)
    heapq.heapify(slots)
    for duration in queued:
        heapq.heapreplace(slots, slots[0] + duration)
    return slots[0]
