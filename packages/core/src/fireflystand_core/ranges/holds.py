"""Compute how long targets may act on the key ranges leased to them."""

import attrs

__all__ = ["CLOCK_DRIFT", "HoldLedger", "HoldTiming"]

CLOCK_DRIFT = 0.02  # a target's clock may run 2% slow


@attrs.frozen
class HoldTiming:
    """Hold the durations of leases, in seconds.

    ``transit`` is the longest delivery time of a grant that is not lost and whose
    acknowledgement does not arrive.
    """

    hold: float = 3.0
    renewal: float = 1.0
    transit: float = 0.5

    @property
    def longest(self) -> float:
        """Return the seconds after sending in which a target may act on a grant."""
        return self.hold * (1 + CLOCK_DRIFT) + self.transit


@attrs.define
class HoldLedger:
    """Track the grants sent to targets and compute when their leases have ended."""

    timing: HoldTiming
    _sent_at_by_target: dict[str, float] = attrs.field(factory=dict)
    _unanswered_at_by_target: dict[str, float] = attrs.field(factory=dict)

    def note_sent(self, target: str, now: float) -> None:
        """Record a grant that is about to be sent."""
        self._sent_at_by_target[target] = now

    def note_unanswered(self, target: str, sent_at: float) -> None:
        """Record an unacknowledged grant, which the target may still apply later."""
        known = self._unanswered_at_by_target.get(target, sent_at)
        self._unanswered_at_by_target[target] = max(known, sent_at)

    def free_after_release(self, target: str, now: float) -> float:
        """Return when keys that a target has released may be granted again.

        The target may apply an unacknowledged grant after the release.
        """
        unanswered = self._unanswered_at_by_target.get(target)
        if unanswered is None:
            return now
        return max(now, unanswered + self.timing.longest)

    def free_after_silence(self, target: str, unknown_until: float) -> float:
        """Return when the keys of an unresponsive target may be granted again.

        Another coordinator may have sent a grant until ``unknown_until``.
        """
        sent_at = self._sent_at_by_target.get(target, float("-inf"))
        return max(sent_at, unknown_until) + self.timing.longest

    def forget(self, target: str) -> None:
        """Drop a target whose process is known to have ended."""
        self._sent_at_by_target.pop(target, None)
        self._unanswered_at_by_target.pop(target, None)
