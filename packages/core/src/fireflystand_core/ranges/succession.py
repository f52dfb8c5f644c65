"""Compute until when the leases of earlier coordinators may hold.

The clocks of two instances cannot be compared, so a record holds durations that begin
as its claim is written. A process counts them from when it first saw the claim, which
is never too early.
"""

from math import ceil

import attrs

from .leases import LeaseTiming
from .record import RangeRecord

__all__ = ["AUTHORITY_PERIOD", "EarlierLeases", "Succession", "stated_duration_ms"]

# How long a coordinator may act after the store last confirmed its claim. Outages of
# the store take 4 to 9 s. The period need not cover the longest: leases granted within
# it end later, and requests with an API key are refused after 4 s without the store.
AUTHORITY_PERIOD = 6.0  # seconds


def stated_duration_ms(seconds: float, timing: LeaseTiming) -> int:
    """Return what a claim states about earlier leases that hold for some seconds.

    It states nothing if its own leases, with the given timing, hold for as long: its
    successor waits for these anyway.
    """
    duration_ms = ceil(round(seconds * 1000, 3)) if seconds > 0 else 0
    return duration_ms if duration_ms > timing.max_validity_ms else 0


@attrs.frozen
class EarlierLeases:
    """Hold what a claim knows of the leases of the coordinators before it."""

    validity: float  # seconds, of the grants of the last one
    handed_on_until: float  # the end of the leases of those before the last one

    def until(self, acts_until: float) -> float:
        """Return when all have ended, if the last one may act until a given time."""
        return max(acts_until + self.validity, self.handed_on_until)


@attrs.define
class Succession:
    """Follow the claims of a service as one process sees them.

    ``longest`` is the timing of the longest leases that targets accept. A claim that
    states nothing about its leases is taken to grant such ones.
    """

    longest: LeaseTiming
    longest_stated_validity: float = 0.0  # seconds, of the claims seen
    _epoch: int | None = None
    _seen_at: float = float("-inf")

    def follow(self, record: RangeRecord | None, now: float) -> None:
        """Note when the claim of a record was first seen, and how long its leases hold.

        The store may lose the claim later.
        """
        if record is None or not record.holder:
            return
        if record.epoch != self._epoch:
            self._epoch, self._seen_at = record.epoch, now
        if record.lease_validity_ms is not None:
            self.longest_stated_validity = max(
                self.longest_stated_validity, record.lease_validity_ms / 1000
            )

    def earlier_leases(self, record: RangeRecord) -> EarlierLeases:
        """Return what is known of the leases of a record's coordinators.

        Those before the last one may have sent grants until its claim and for a while
        after that.
        """
        if not record.holder:
            return EarlierLeases(float("-inf"), float("-inf"))
        validity = self.longest.max_validity
        earlier = AUTHORITY_PERIOD + validity
        if record.lease_validity_ms is not None:
            validity = record.lease_validity_ms / 1000
            earlier = record.earlier_leases_ms / 1000
        return EarlierLeases(validity, self._seen_at + earlier)
