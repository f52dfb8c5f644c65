"""Spend leased tokens at the instance that received the client requests."""

import attrs

from fireflystand_core.configuration import AccountSettings
from fireflystand_core.messages import LeaseReport, QuotaLease, QuotaRequest

__all__ = ["QuotaHolder", "Refused", "Verdict"]

USABLE_SHARE = 0.97  # of a lease's time to live; covers clocks that differ by 1%
RETURN_SHARE = 0.7  # of a lease's time to live after which the rest is returned
LOW_SHARE = 0.5  # of the leased tokens; the next lease is requested at this level
MAX_WAIT = 0.5  # seconds that a quota request may wait at the coordinator
RESPONSE_GRACE = 0.3  # seconds beyond the wait after which a request times out
RETRY_DELAY = 0.05  # seconds before a failed request is retried
PREFETCH_INTERVAL = 0.02  # seconds between requests for which no caller waits
MAX_RETRY_AFTER = 60.0  # seconds
REPORT_RETENTION = 1.05  # seconds after which the coordinator counts a lease as spent


@attrs.frozen
class Refused:
    """Refuse a token to a caller; ``retry_after`` is in seconds."""

    retry_after: float


Verdict = bool | Refused


@attrs.define
class _Lease:
    tokens: float
    usable_until: float
    return_at: float
    spent: float = 0.0
    reported: float = 0.0

    @property
    def unspent(self) -> float:
        return self.tokens - self.spent


class QuotaHolder:
    """Hold the leases of one account and the callers that wait for a token.

    Callers are identified by increasing numbers; ``instance`` identifies one
    incarnation of an instance.
    """

    def __init__(self, instance: str, settings: AccountSettings, now: float) -> None:
        self.settings = settings
        self._instance = instance
        self._leases_by_sequence: dict[int, _Lease] = {}
        self._closed_by_sequence: dict[int, tuple[LeaseReport, float]] = {}
        self._sent_reports: list[int] = []
        self._deadlines_by_caller: dict[int, float] = {}
        self._sequence = 0
        self._sent_at: float | None = None
        self._timeout_at = 0.0
        self._retry_at = now
        self._prefetch_after = now
        self._expected_service_at = now  # of a new waiting caller

    @property
    def waiting(self) -> int:
        """Return the number of waiting callers."""
        return len(self._deadlines_by_caller)

    @property
    def sequence(self) -> int:
        """Return the sequence number of the last quota request."""
        return self._sequence

    def unspent(self, now: float) -> float:
        """Return the tokens that may be spent at ``now``."""
        return sum(
            lease.unspent
            for lease in self._leases_by_sequence.values()
            if now < lease.usable_until
        )

    def take(self, caller: int, deadline: float, now: float) -> Verdict:
        """Spend a token for a caller; ``False`` means that the caller waits.

        Refuse at once if the callers that already wait need all tokens that accrue
        until the deadline.
        """
        if not self._deadlines_by_caller and self._spend(now):
            return True
        settings = self.settings
        servable = settings.rate * max(0.0, deadline - now) + settings.burst
        too_late = self.waiting > 0 and self._expected_service_at > deadline
        if now >= deadline or too_late or self.waiting >= servable:
            return self._refusal(now)
        self._deadlines_by_caller[caller] = deadline
        return False

    def cancel(self, caller: int) -> None:
        """Remove a caller that no longer waits."""
        self._deadlines_by_caller.pop(caller, None)

    def advance(self, now: float) -> list[tuple[int, Verdict]]:
        """Return the verdicts on waiting callers in the order of their arrival."""
        verdicts: list[tuple[int, Verdict]] = []
        for caller, deadline in list(self._deadlines_by_caller.items()):
            if deadline <= now:
                del self._deadlines_by_caller[caller]
                verdicts.append((caller, self._refusal(now)))
        while self._deadlines_by_caller and self._spend(now):
            caller = next(iter(self._deadlines_by_caller))
            del self._deadlines_by_caller[caller]
            verdicts.append((caller, True))
        return verdicts

    def next_request(self, now: float) -> QuotaRequest | None:
        """Return the quota request to send now, if one is due."""
        if self._sent_at is not None and now < self._timeout_at:
            return None
        if self._sent_at is not None:
            self._abandon(now)
        self._drop_expired(now)
        if now < self._retry_at:
            return None
        prefetch = now >= self._prefetch_after and self._is_low(now)
        if not (self.waiting or prefetch or self._has_returns(now)):
            return None
        self._close_leases(now)
        return self._make_request(now)

    def on_lease(self, lease: QuotaLease, now: float) -> None:
        """Process the response to the outstanding request; ignore any other."""
        if self._sent_at is None or lease.sequence != self._sequence:
            return
        sent_at = self._sent_at
        self._sent_at = None
        self._expected_service_at = now + lease.retry_after
        for sequence in self._sent_reports:
            self._closed_by_sequence.pop(sequence, None)
        if lease.tokens <= 0:
            return
        # The time to live counts from when the request was sent, which precedes
        # the lending.
        self._leases_by_sequence[lease.sequence] = _Lease(
            lease.tokens,
            sent_at + lease.ttl * USABLE_SHARE,
            sent_at + lease.ttl * RETURN_SHARE,
        )

    def on_failure(self, sequence: int, now: float) -> None:
        """Abandon the outstanding request after a failure; a retry may follow."""
        if self._sent_at is not None and sequence == self._sequence:
            self._abandon(now)
            self._retry_at = now + RETRY_DELAY

    def next_time(self, now: float) -> float | None:
        """Return when ``advance`` or ``next_request`` is due next."""
        times = list(self._deadlines_by_caller.values())
        if self._sent_at is not None:
            return min([*times, self._timeout_at])
        if self._deadlines_by_caller:
            times.append(self._retry_at)
        if self._is_low(now):
            times.append(max(self._prefetch_after, self._retry_at))
        times.extend(
            max(lease.return_at, self._retry_at)
            for lease in self._leases_by_sequence.values()
            if lease.unspent >= 1
        )
        return min(times, default=None)

    def _spend(self, now: float) -> bool:
        for lease in self._leases_by_sequence.values():
            if now < lease.usable_until and lease.unspent >= 1:
                lease.spent += 1
                return True
        return False

    def _refusal(self, now: float) -> Refused:
        rate = self.settings.rate
        if rate <= 0:
            return Refused(MAX_RETRY_AFTER)
        wait = max(self._expected_service_at - now, (self.waiting + 1) / rate)
        return Refused(min(MAX_RETRY_AFTER, wait))

    def _is_low(self, now: float) -> bool:
        leases = [
            lease
            for lease in self._leases_by_sequence.values()
            if now < lease.usable_until
        ]
        tokens = sum(lease.tokens for lease in leases)
        unspent = sum(lease.unspent for lease in leases)
        unreported = sum(lease.spent - lease.reported for lease in leases)
        return unreported > 0 and unspent <= tokens * LOW_SHARE

    def _has_returns(self, now: float) -> bool:
        return any(
            lease.unspent >= 1 and now >= lease.return_at
            for lease in self._leases_by_sequence.values()
        )

    def _drop_expired(self, now: float) -> None:
        leases = self._leases_by_sequence
        for sequence, lease in list(leases.items()):
            if now >= lease.usable_until:
                self._close(sequence, lease.spent, now)
                del leases[sequence]
        for sequence, (_, until) in list(self._closed_by_sequence.items()):
            if until <= now:
                del self._closed_by_sequence[sequence]

    def _close_leases(self, now: float) -> None:
        leases = self._leases_by_sequence
        for sequence, lease in list(leases.items()):
            if lease.unspent < 1 or now >= lease.return_at:
                self._close(sequence, lease.spent, now)
                del leases[sequence]

    def _close(self, sequence: int, spent: float, now: float) -> None:
        report = LeaseReport(sequence, spent, True)
        self._closed_by_sequence[sequence] = (report, now + REPORT_RETENTION)

    def _make_request(self, now: float) -> QuotaRequest:
        self._sequence += 1
        self._sent_at = now
        self._timeout_at = now + MAX_WAIT + RESPONSE_GRACE
        self._prefetch_after = now + PREFETCH_INTERVAL
        self._sent_reports = list(self._closed_by_sequence)
        reports = [report for report, _ in self._closed_by_sequence.values()]
        for sequence, lease in self._leases_by_sequence.items():
            lease.reported = lease.spent
            reports.append(LeaseReport(sequence, lease.spent))
        return QuotaRequest(
            instance=self._instance,
            account=self.settings.id,
            tokens=float(self.waiting),
            wait=MAX_WAIT,
            sequence=self._sequence,
            reports=reports,
        )

    def _abandon(self, now: float) -> None:
        # A lease that arrives later for the abandoned request is ignored, so its
        # tokens are reported as unspent.
        self._sent_at = None
        self._close(self._sequence, 0.0, now)
