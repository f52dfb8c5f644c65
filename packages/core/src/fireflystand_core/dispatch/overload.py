"""Decide which requests an instance turns away that is short of processor time.

Answers a burst of callers, or repeats without a pause, beyond what the instance itself
can read: unread requests wait in its sockets until their deadlines have passed, and
serving them takes time from those that could still be answered. A part is refused at
once instead, the less urgent kinds first.
"""

from collections.abc import Callable

__all__ = ["OverloadGuard"]

# Usual turns of the event loop take less, and target latencies are tenths of a second.
TOLERATED_LAG = 0.08  # seconds
FULL_LAG = 0.25  # seconds at which most of the least urgent requests are refused
MOST_REFUSED = 0.95  # part of a kind; the others show whether there is room again
URGENCY_STEP = 0.5  # by which the most urgent kind is refused less than the least
LAG_WEIGHT = 0.3  # of one sample; samples are taken ten times a second
SHORTEST_RETURN = 0.3  # seconds of the shortest Retry-After


class OverloadGuard:
    """Own the measured lag of the event loop."""

    def __init__(self, spread: Callable[[], float]) -> None:
        self.lag = 0.0  # seconds
        self._spread = spread
        self._priorities: set[int] = set()

    def note_lag(self, seconds: float) -> None:
        """Take in by how much a timer was late."""
        weight = 1.0 if seconds > self.lag else LAG_WEIGHT
        self.lag += weight * (seconds - self.lag)

    def refusal(self, priority: int) -> float | None:
        """Return the Retry-After in seconds if a request is to be refused."""
        self._priorities.add(priority)
        if self.lag <= TOLERATED_LAG or self._spread() >= self._share(priority):
            return None
        return (SHORTEST_RETURN + self.lag) * (1 + self._spread())

    def _share(self, priority: int) -> float:
        """Return the part of the requests of a priority that is refused."""
        less_urgent = sum(other > priority for other in self._priorities)
        offset = URGENCY_STEP * less_urgent / max(1, len(self._priorities) - 1)
        share = (self.lag - TOLERATED_LAG) / (FULL_LAG - TOLERATED_LAG) - offset
        return min(MOST_REFUSED, max(0.0, share))
