"""Measure the lag of the event loop."""

import trio

from ..events import EVENT_LOOP_LAG, emit_limited
from .clock import sleep_until_next

__all__ = ["LoopLag"]

CHECK_INTERVAL = 0.1  # seconds between two timers
PEAK_DECAY = 0.8  # from one timer to the next
REPORTED_LAG = 0.25  # seconds


class LoopLag:
    """Hold how late timers fire, up to one iteration of the event loop."""

    def __init__(self) -> None:
        self.last = 0.0  # seconds by which the last timer was late
        self.peak = 0.0  # seconds; the largest recent one, decaying

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due = await sleep_until_next(CHECK_INTERVAL)
            self.record(trio.current_time() - due)

    def record(self, seconds: float) -> None:
        """Add the lateness of one timer."""
        self.last = seconds
        self.peak = max(seconds, PEAK_DECAY * self.peak)
        if seconds > REPORTED_LAG:
            emit_limited(EVENT_LOOP_LAG, lag=round(seconds, 3))
