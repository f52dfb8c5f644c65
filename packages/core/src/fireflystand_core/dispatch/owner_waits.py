"""Limit how long requests wait for a key range that has no usable owner.

The load pattern: many keys lose their owners at once, while the store is away or the
lost owners' leases last. A planned move ends with the requests that run on its keys,
so the first requests wait for it. A range that has been without an owner for longer
waits for a lease or for the store, which takes seconds: each request for it would
spend its time waiting, and be refused too late to be sent elsewhere in time.
"""

__all__ = ["OwnerWaits"]

MOVE_PERIOD = 1.0  # seconds within which a planned move ends
MAX_WAIT_SHARE = 0.25  # of the time that a request has left, so that it can return
MIN_RETRY_AFTER = 0.3  # seconds
MAX_RETRY_AFTER = 2.0  # seconds
MAX_KEPT = 1000  # ranges, before the oldest are dropped

RangeId = tuple[str, int, int]  # service, first key and fencing token


class OwnerWaits:
    """Hold since when requests have found ranges without a usable owner."""

    def __init__(self) -> None:
        # When the first and the last request found a range without an owner.
        self._times_by_range: dict[RangeId, tuple[float, float]] = {}

    def wait_ends_at(self, item: RangeId, now: float, deadline_at: float) -> float:
        """Return until when a request that arrives now may wait for an owner."""
        since, asked_at = self._times_by_range.get(item, (now, now))
        if now - asked_at > MOVE_PERIOD:
            since = now  # it may have had an owner meanwhile
        self._times_by_range[item] = since, now
        self._drop_oldest()
        patience = MAX_WAIT_SHARE * (deadline_at - now)
        return min(since + MOVE_PERIOD, now + patience)

    def _drop_oldest(self) -> None:
        while len(self._times_by_range) > MAX_KEPT:
            del self._times_by_range[next(iter(self._times_by_range))]

    def record_owner(self, item: RangeId) -> None:
        """Record that a range has a usable owner."""
        if self._times_by_range:
            self._times_by_range.pop(item, None)

    def retry_after(self, item: RangeId, now: float) -> float:
        """Return after how many seconds a refused request may find an owner.

        What has lasted for some time is expected to last as long again.
        """
        since, _ = self._times_by_range.get(item, (now, now))
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, now - since))
