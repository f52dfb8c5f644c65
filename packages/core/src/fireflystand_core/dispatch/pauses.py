"""Track the pauses that targets ask one sender for."""

from collections.abc import Callable

import attrs

__all__ = ["TargetPauses"]

MAX_PAUSE = 60.0  # seconds; a longer one counts as this long
# The senders that a target refused at the same time return over this part of the pause.
RETURN_SPREAD = 0.25  # of the pause
MAX_RETURN_SPREAD = 0.5  # seconds
MAX_KEPT = 1000  # pauses, before the ended ones are dropped


@attrs.frozen
class _Pause:
    """Hold the process that asked for a pause, and its end in seconds."""

    started_at: int
    until: float


class TargetPauses:
    """Hold until when each target gets no requests from this sender."""

    def __init__(self, jitter: Callable[[], float] = lambda: 0.5) -> None:
        self._jitter = jitter
        self._pauses_by_target: dict[str, _Pause] = {}
        self._latest_end = float("-inf")

    def add(self, target: str, started_at: int, seconds: float, now: float) -> bool:
        """Pause a target's process; tell whether it was not paused before.

        Of several pauses the one that ends last counts.
        """
        if not seconds > 0:
            return False
        seconds = min(seconds, MAX_PAUSE)
        spread = min(seconds * RETURN_SPREAD, MAX_RETURN_SPREAD)
        until = now + seconds + spread * self._jitter()
        left = self.left(target, started_at, now)
        if until > now + left:
            if len(self._pauses_by_target) >= MAX_KEPT:
                self._drop_ended(now)
            self._pauses_by_target[target] = _Pause(started_at, until)
            self._latest_end = max(self._latest_end, until)
        return left == 0

    def _drop_ended(self, now: float) -> None:
        self._pauses_by_target = {
            target: pause
            for target, pause in self._pauses_by_target.items()
            if pause.until > now
        }

    def left(self, target: str, started_at: int, now: float) -> float:
        """Return the seconds until a target's process may get a request again."""
        pause = self._pauses_by_target.get(target)
        if pause is None or pause.started_at != started_at:
            return 0.0
        return max(0.0, pause.until - now)

    def has_ended(self, now: float) -> bool:
        """Tell whether no target pauses."""
        return now >= self._latest_end

    def count(self, now: float) -> int:
        """Return the number of paused targets."""
        return sum(pause.until > now for pause in self._pauses_by_target.values())
