"""Bound until when targets may hold the keys that were granted to them."""

import attrs

__all__ = ["CLOCK_DRIFT", "HoldLedger", "HoldTiming"]

CLOCK_DRIFT = 0.02  # a target's clock may run 2% slow


@attrs.frozen
class HoldTiming:
    """Bound grants in seconds.

    ``transit`` covers the way of a grant that is neither lost nor answered.
    """

    hold: float = 3.0
    renewal: float = 1.0
    transit: float = 0.5

    @property
    def longest(self) -> float:
        """Return for how long after sending a grant its target may act on it."""
        return self.hold * (1 + CLOCK_DRIFT) + self.transit


@attrs.define
class HoldLedger:
    """Note the grants sent to targets, and when each target is free of them."""

    timing: HoldTiming
    _sent_at_by_target: dict[str, float] = attrs.field(factory=dict)
    _unanswered_at_by_target: dict[str, float] = attrs.field(factory=dict)

    def note_sent(self, target: str, now: float) -> None:
        """Note a grant that is about to be sent."""
        self._sent_at_by_target[target] = now

    def note_unanswered(self, target: str, sent_at: float) -> None:
        """Note a grant whose answer did not arrive; it may be carried out late."""
        known = self._unanswered_at_by_target.get(target, sent_at)
        self._unanswered_at_by_target[target] = max(known, sent_at)

    def free_after_release(self, target: str, now: float) -> float:
        """Return when keys are free that a target has released.

        A grant without an answer may be carried out after the release.
        """
        unanswered = self._unanswered_at_by_target.get(target)
        if unanswered is None:
            return now
        return max(now, unanswered + self.timing.longest)

    def free_after_silence(self, target: str, unknown_until: float) -> float:
        """Return when the keys of a target that does not answer are free.

        ``unknown_until`` is when another coordinator may last have sent a grant.
        """
        sent_at = self._sent_at_by_target.get(target, float("-inf"))
        return max(sent_at, unknown_until) + self.timing.longest

    def forget(self, target: str) -> None:
        """Drop a target whose process is known to be gone."""
        self._sent_at_by_target.pop(target, None)
        self._unanswered_at_by_target.pop(target, None)
