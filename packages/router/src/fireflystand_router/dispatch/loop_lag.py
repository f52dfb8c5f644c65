"""Measure the lag of the event loop."""

from collections import deque
from collections.abc import Callable

import trio

from ..events import EVENT_LOOP_LAG, emit_limited
from ..timers import sleep_until_next
from .clock import lease_clock

__all__ = ["LoopLag"]

CHECK_INTERVAL = 0.1  # seconds between two timers
PEAK_DECAY = 0.8  # from one timer to the next
REPORTED_LAG = 0.25  # seconds
# A freeze comes without notice, while a busy event loop is late many times in a row.
MIN_STANDSTILL = 1.0  # seconds
MIN_STANDSTILL_LAGS = 4  # times the recent lag
STEADY_TIMERS = 3  # that are late one after the other before the lag is steady


class LoopLag:
    """Hold how late timers fire, up to one iteration of the event loop.

    Also hold until when the process last stood still, as if frozen, on the lease clock.
    """

    def __init__(self, clock: Callable[[], float] = lease_clock) -> None:
        self._clock = clock
        self._timer_set_at = float("inf")
        self._stood_still_until = float("-inf")
        self.last = 0.0  # seconds by which the last timer was late
        self.peak = 0.0  # seconds; the largest recent one, decaying
        self._recent: deque[float] = deque([0.0], maxlen=STEADY_TIMERS)

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            self._timer_set_at = self._clock()
            due = await sleep_until_next(CHECK_INTERVAL)
            self.record(trio.current_time() - due)

    def record(self, seconds: float) -> None:
        """Add the lateness of one timer."""
        self._stood_still_until = self.stood_still_until
        self.last = seconds
        self.peak = max(seconds, PEAK_DECAY * self.peak)
        self._recent.append(seconds)
        if seconds > REPORTED_LAG:
            emit_limited(EVENT_LOOP_LAG, lag=round(seconds, 3))

    @property
    def steady(self) -> float:
        """Return by how much all recent timers were late at least, in seconds.

        A single late timer, as after a freeze, does not count.
        """
        return min(self._recent)

    def stood_still_within(self, seconds: float) -> bool:
        """Tell whether the process stood still within the last ``seconds``."""
        return self.stood_still_until > self._clock() - seconds

    @property
    def stood_still_until(self) -> float:
        """Return when the process last stood still; now if its timer is not set yet.

        The tasks that run after a freeze do so in any order.
        """
        now = self._clock()
        shortest = max(MIN_STANDSTILL, MIN_STANDSTILL_LAGS * self.peak)
        if now - self._timer_set_at > shortest:
            return now
        return self._stood_still_until
