"""Compute how long targets may act on the key ranges leased to them."""

from math import ceil

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

    @property
    def max_validity_ms(self) -> int:
        """Return ``max_validity`` in whole milliseconds, rounded up."""
        return ceil(self.max_validity * 1000)


@attrs.define
class LeaseLedger:
    """Track until when targets may act on the grants sent to them.

    The times are those of the timing at which a grant was sent: a later claim of the
    same process may grant shorter leases.
    """

    timing: LeaseTiming
    _ends_by_target: dict[str, float] = attrs.field(factory=dict)
    _unacknowledged_ends_by_target: dict[str, float] = attrs.field(factory=dict)

    def record_sent(self, target: str, now: float) -> float:
        """Record a grant that is about to be sent; return when the earlier ones end."""
        earlier = self._ends_by_target.get(target, float("-inf"))
        self._ends_by_target[target] = max(earlier, now + self.timing.max_validity)
        return earlier

    def record_unsent(self, target: str, earlier: float) -> None:
        """Take back a grant of which nothing was sent; the earlier ones stay."""
        self._ends_by_target[target] = earlier

    def record_unacknowledged(self, target: str, sent_at: float) -> None:
        """Record an unacknowledged grant, which the target may still apply later."""
        end = sent_at + self.timing.max_validity
        known = self._unacknowledged_ends_by_target.get(target, end)
        self._unacknowledged_ends_by_target[target] = max(known, end)

    def grantable_after_release(self, target: str, now: float) -> float:
        """Return when keys that a target has released may be granted again.

        The target may apply an unacknowledged grant after the release.
        """
        return max(now, self._unacknowledged_ends_by_target.get(target, now))

    def grantable_after_timeout(self, target: str, earlier_until: float) -> float:
        """Return when the keys of an unresponsive target may be granted again.

        It may act on the grants of other coordinators until ``earlier_until``.
        """
        return max(self._ends_by_target.get(target, float("-inf")), earlier_until)

    @property
    def last_end(self) -> float:
        """Return when the last lease ends that this process has granted."""
        return max(self._ends_by_target.values(), default=float("-inf"))

    def forget(self, target: str) -> None:
        """Drop a target whose process is known to have ended."""
        self._ends_by_target.pop(target, None)
        self._unacknowledged_ends_by_target.pop(target, None)
