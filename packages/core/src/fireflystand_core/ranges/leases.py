"""Compute how long targets may act on the key ranges leased to them."""

import attrs

__all__ = ["CLOCK_DRIFT", "LeaseLedger", "LeaseTiming"]

CLOCK_DRIFT = 0.02  # a target's clock may run 2% slow


@attrs.frozen
class LeaseTiming:
    """Hold the durations of leases, in seconds.

    ``max_transit`` is the longest time after which a grant without an acknowledgement
    may still reach its target.
    """

    lease_duration: float = 3.0
    renewal_interval: float = 1.0
    max_transit: float = 0.5

    @property
    def max_validity(self) -> float:
        """Return the seconds after sending in which a target may act on a grant."""
        return self.lease_duration * (1 + CLOCK_DRIFT) + self.max_transit


@attrs.define
class LeaseLedger:
    """Track the grants sent to targets and compute when their leases have ended."""

    timing: LeaseTiming
    _sent_at_by_target: dict[str, float] = attrs.field(factory=dict)
    _unacknowledged_at_by_target: dict[str, float] = attrs.field(factory=dict)

    def record_sent(self, target: str, now: float) -> float:
        """Record a grant that is about to be sent; return when the last one was."""
        earlier = self._sent_at_by_target.get(target, float("-inf"))
        self._sent_at_by_target[target] = now
        return earlier

    def record_unsent(self, target: str, earlier: float) -> None:
        """Take back a grant of which nothing was sent; the last one stays recorded."""
        self._sent_at_by_target[target] = earlier

    def record_unacknowledged(self, target: str, sent_at: float) -> None:
        """Record an unacknowledged grant, which the target may still apply later."""
        known = self._unacknowledged_at_by_target.get(target, sent_at)
        self._unacknowledged_at_by_target[target] = max(known, sent_at)

    def grantable_after_release(self, target: str, now: float) -> float:
        """Return when keys that a target has released may be granted again.

        The target may apply an unacknowledged grant after the release.
        """
        unacknowledged = self._unacknowledged_at_by_target.get(target)
        if unacknowledged is None:
            return now
        return max(now, unacknowledged + self.timing.max_validity)

    def grantable_after_timeout(self, target: str, unknown_until: float) -> float:
        """Return when the keys of an unresponsive target may be granted again.

        Another coordinator may have sent a grant until ``unknown_until``.
        """
        sent_at = self._sent_at_by_target.get(target, float("-inf"))
        return max(sent_at, unknown_until) + self.timing.max_validity

    def forget(self, target: str) -> None:
        """Drop a target whose process is known to have ended."""
        self._sent_at_by_target.pop(target, None)
        self._unacknowledged_at_by_target.pop(target, None)
