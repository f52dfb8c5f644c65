"""Plan when the callers of refused requests come back.

A burst or a key with more load than its target can take has many requests refused at
the same moment. Told the same time, their callers would come back together, find one
free slot and be refused for good, as callers come back once. So each gets a time of its
own, at the rate at which requests of its kind are served.
"""

from bisect import bisect_right, insort
from collections.abc import Hashable

__all__ = ["HONOURED_SHARE", "ReturnSchedule", "honoured_wait"]

HONOURED_SHARE = 1 / 3  # of the time left, the longest Retry-After that callers honour
MIN_RETRY_AFTER = 0.05  # seconds
# Returns that find no room in the honoured time are spread over its last part.
LATE_SPREAD = 0.5  # of the honoured time


def honoured_wait(left: float) -> float:
    """Return the longest Retry-After that a caller with ``left`` seconds honours."""
    return max(MIN_RETRY_AFTER, left * HONOURED_SHARE)


class ReturnSchedule:
    """Hold the times promised to the refused callers of one queue."""

    def __init__(self) -> None:
        self._next_at_by_kind: dict[Hashable, float] = {}
        self._promised_at: list[float] = []  # in order

    def promise(
        self,
        kind: Hashable,
        now: float,
        *,
        delay: float,
        gap: float,
        left: float,
        fraction: float,
    ) -> float:
        """Return the seconds after which a refused caller should come back.

        There is room after ``delay``, for one request in each ``gap``, shared by the
        kinds that were promised later times. The request has ``left`` seconds;
        ``fraction`` is a random part of the spread.
        """
        honoured = honoured_wait(left)
        next_at = self._next_at_by_kind.get(kind, now)
        at = max(now + delay, now + MIN_RETRY_AFTER, next_at)
        if at > now + honoured:
            return honoured * (1 - LATE_SPREAD * fraction)
        others = (k != kind and t > now for k, t in self._next_at_by_kind.items())
        self._next_at_by_kind[kind] = at + gap * (1 + sum(others))
        insort(self._promised_at, at)
        return at - now

    def count(self, now: float, until: float) -> int:
        """Return how many callers were promised a time between now and ``until``."""
        past = bisect_right(self._promised_at, now)
        del self._promised_at[:past]
        return bisect_right(self._promised_at, until)

    def drop_past(self, now: float) -> None:
        """Forget what has passed, for kinds that are refused no more as well."""
        self.count(now, now)
        for kind, at in list(self._next_at_by_kind.items()):
            if at <= now:
                del self._next_at_by_kind[kind]
