"""Lease the tokens of accounts to instances."""

import math

import attrs
import msgpack

from fireflystand_core.configuration import AccountSettings
from fireflystand_core.messages import LeaseReport, QuotaLease, QuotaRequest

from .bucket import TokenBucket
from .demand import Demand

__all__ = ["LEASE_TTL", "AccountQuota", "Answer", "QuotaCoordinator", "max_lent"]

LEASE_TTL = 1.0  # seconds
# Time to live of leases lent within LEASE_TTL after a start without a state. It is
# short, so that a successor can wait until these leases expire and need not count
# them in addition to older leases.
FIRST_TTL = 0.2  # seconds; well above a round trip
LENT_SHARE = 0.5  # of the burst; the most that instances may hold unspent
PREFETCH_SECONDS = 0.25  # seconds of an instance's expected demand that a lease covers
PREFETCH_SHARE = 0.5  # of the lendable tokens; the rest serves other instances
MIN_RETRY_AFTER = 0.005  # seconds
MAX_RETRY_AFTER = 60.0  # seconds
BORROWER_IDLE_TIMEOUT = 30.0  # seconds after which an idle borrower is removed

Answer = tuple[str, QuotaLease]  # instance and its lease


def max_lent(burst: float) -> float:
    """Return the most tokens that all instances together may hold unspent."""
    return max(1.0, burst * LENT_SHARE)


@attrs.define
class _Lease:
    tokens: float
    unspent: float
    expires_at: float


@attrs.define
class _Borrower:
    demand: Demand
    last_sequence: int = 0
    leases_by_sequence: dict[int, _Lease] = attrs.field(factory=dict)


@attrs.define
class _WaitingRequest:
    request: QuotaRequest
    since: float
    until: float


class AccountQuota:
    """Lease the tokens of one account to instances.

    The bucket starts empty. Without a state, lending starts after FIRST_TTL, when
    the short leases of previous coordinators have expired, and for LEASE_TTL the
    bucket withholds the tokens that leases of previous coordinators may hold.
    """

    def __init__(
        self, settings: AccountSettings, now: float, state: bytes | None = None
    ) -> None:
        self.settings = settings
        self._bucket = TokenBucket(settings.rate, settings.burst, now)
        self._borrowers_by_id: dict[str, _Borrower] = {}
        self._waiting_by_id: dict[str, _WaitingRequest] = {}
        self._closed_until = now + FIRST_TTL
        self._withheld_until = now + LEASE_TTL
        self._bucket.withheld = max_lent(settings.burst)
        if state is not None:
            self._restore(state, now)

    @property
    def level(self) -> float:
        """Return the tokens available in the bucket."""
        return self._bucket.level

    @property
    def lent(self) -> float:
        """Return the tokens that instances hold and may still spend."""
        return self._bucket.lent

    def change(self, settings: AccountSettings, now: float) -> None:
        """Apply new settings from ``now`` on."""
        self._update_bucket(now)
        self.settings = settings
        if self._bucket.withheld:
            self._bucket.withheld = max_lent(settings.burst)
        self._bucket.change(settings.rate, settings.burst, now)

    def request(self, request: QuotaRequest, now: float) -> list[Answer]:
        """Process a request and return the leases due to any instance."""
        self._update_bucket(now)
        borrower = self._borrowers_by_id.get(request.instance)
        if borrower is None:
            borrower = _Borrower(Demand(now))
            self._borrowers_by_id[request.instance] = borrower
        for report in request.reports:
            self._apply_report(borrower, report, now)
        due_leases = []
        if request.sequence > borrower.last_sequence:
            borrower.last_sequence = request.sequence
            self._waiting_by_id.pop(request.instance, None)
            if request.tokens >= 1:
                waiting = _WaitingRequest(request, now, now + request.wait)
                self._waiting_by_id[request.instance] = waiting
            else:
                due_leases.append((request.instance, self._lend(request, 0, now, now)))
        return due_leases + self.advance(now)

    def advance(self, now: float) -> list[Answer]:
        """Return the leases due to waiting instances in the order of their requests."""
        self._update_bucket(now)
        due_leases = []
        while self._waiting_by_id and self._lendable() >= 1:
            share = max(1, self._lendable() // len(self._waiting_by_id))
            instance = next(iter(self._waiting_by_id))
            waiting = self._waiting_by_id.pop(instance)
            needed = min(waiting.request.tokens, share)
            lease = self._lend(waiting.request, needed, waiting.since, now)
            due_leases.append((instance, lease))
        for instance, waiting in list(self._waiting_by_id.items()):
            if waiting.until <= now:
                del self._waiting_by_id[instance]
                due_leases.append((instance, self._decline(waiting.request, now)))
        return due_leases

    def next_time(self, now: float) -> float | None:
        """Return when ``advance`` is due next, or None if no request waits."""
        if not self._waiting_by_id:
            return None
        first = min(waiting.until for waiting in self._waiting_by_id.values())
        return min(first, now + self._time_until_token(now))

    def export(self, now: float) -> bytes:
        """Return the state for the next coordinator; do not lend afterwards."""
        self._update_bucket(now)
        borrowers = {
            instance: _export_borrower(borrower, now)
            for instance, borrower in self._borrowers_by_id.items()
        }
        state = {
            "level": self._bucket.level,
            "closed": max(0.0, self._closed_until - now),
            "withheld": max(0.0, self._withheld_until - now),
            "borrowers": borrowers,
        }
        return msgpack.packb(state)

    def _restore(self, data: bytes, now: float) -> None:
        state = msgpack.unpackb(data, strict_map_key=False)
        self._closed_until = now + state["closed"]
        self._withheld_until = now + state["withheld"]
        if not state["withheld"]:
            self._bucket.withheld = 0.0
        lent = 0.0
        for instance, (sequence, demand, leases) in state["borrowers"].items():
            borrower = _Borrower(Demand(now, demand), sequence)
            for number, tokens, unspent, left in leases:
                lease = _Lease(tokens, unspent, now + left)
                borrower.leases_by_sequence[number] = lease
                lent += unspent
            self._borrowers_by_id[instance] = borrower
        self._bucket.restore(state["level"], lent)

    def _update_bucket(self, now: float) -> None:
        # Tokens of an expired lease count as spent at its expiry. They are removed
        # after the refill up to now; otherwise the refill would use capacity that
        # the lease still occupied.
        if now < self._closed_until:
            self._bucket.updated_at = max(self._bucket.updated_at, now)
            self._drop_expired(now)
            return
        self._bucket.updated_at = max(self._bucket.updated_at, self._closed_until)
        if now >= self._withheld_until and self._bucket.withheld:
            self._bucket.refill(self._withheld_until)
            self._bucket.withheld = 0.0
        self._bucket.refill(now)
        self._drop_expired(now)

    def _lendable(self) -> float:
        capacity = max_lent(self._bucket.burst) - self._bucket.lent
        return math.floor(max(0.0, min(self._bucket.level, capacity)))

    def _drop_expired(self, now: float) -> None:
        for instance, borrower in list(self._borrowers_by_id.items()):
            leases = borrower.leases_by_sequence
            for sequence, lease in list(leases.items()):
                if lease.expires_at <= now:
                    del leases[sequence]
                    self._bucket.spend(lease.unspent)
            idle = now - borrower.demand.updated_at > BORROWER_IDLE_TIMEOUT
            if idle and not leases and instance not in self._waiting_by_id:
                del self._borrowers_by_id[instance]

    def _apply_report(self, borrower: _Borrower, report: LeaseReport, now: float):
        lease = borrower.leases_by_sequence.get(report.sequence)
        if lease is None:
            return
        # Reports may arrive out of order; only a higher count is new.
        spent = lease.unspent - (lease.tokens - report.spent)
        if spent > 0:
            lease.unspent -= spent
            self._bucket.spend(spent)
            borrower.demand.add(spent, now)
        if report.closed:
            del borrower.leases_by_sequence[report.sequence]
            self._bucket.take_back(lease.unspent)

    def _lend(
        self, request: QuotaRequest, needed: float, since: float, now: float
    ) -> QuotaLease:
        needed = min(needed, self._lendable())
        borrower = self._borrowers_by_id[request.instance]
        prefetched = self._prefetch_tokens(borrower, self._lendable() - needed, now)
        tokens = needed + prefetched
        if tokens < 1:
            return self._decline(request, now)
        self._bucket.lend(tokens)
        ttl = FIRST_TTL if self._bucket.withheld else LEASE_TTL
        lease = _Lease(tokens, tokens, now + ttl)
        borrower.leases_by_sequence[request.sequence] = lease
        return QuotaLease(
            request.account,
            tokens,
            # The borrower counts from when it sent the request, so the time that
            # the request waited here is added.
            ttl + (now - since),
            retry_after=self._backlog_time(),
            sequence=request.sequence,
        )

    def _prefetch_tokens(self, borrower: _Borrower, left: float, now: float) -> float:
        if self._waiting_by_id or self._bucket.withheld:
            return 0.0
        rate = borrower.demand.at(now)
        if rate <= 0:
            return 0.0
        total = sum(other.demand.at(now) for other in self._borrowers_by_id.values())
        share = left * PREFETCH_SHARE * rate / total
        leases = borrower.leases_by_sequence.values()
        held = sum(lease.unspent for lease in leases)
        return float(math.floor(max(0.0, min(rate * PREFETCH_SECONDS - held, share))))

    def _decline(self, request: QuotaRequest, now: float) -> QuotaLease:
        wait = self._time_until_token(now) + self._backlog_time()
        return QuotaLease(
            request.account, 0.0, 0.0, retry_after=wait, sequence=request.sequence
        )

    def _backlog_time(self) -> float:
        tokens = sum(waiting.request.tokens for waiting in self._waiting_by_id.values())
        if tokens == 0:
            return 0.0
        rate = self._bucket.rate
        return min(MAX_RETRY_AFTER, tokens / rate) if rate > 0 else MAX_RETRY_AFTER

    def _time_until_token(self, now: float) -> float:
        closed = max(0.0, self._closed_until - now)
        wait = closed + self._bucket.time_until(1.0)
        if self._bucket.level >= 1:
            wait = max(wait, self._time_until_expiry(now))
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))

    def _time_until_expiry(self, now: float) -> float:
        # Lent tokens free capacity for other instances once reported or expired.
        if self._lendable() >= 1:
            return 0.0
        times = [
            lease.expires_at
            for borrower in self._borrowers_by_id.values()
            for lease in borrower.leases_by_sequence.values()
        ]
        return min(times, default=now) - now


class QuotaCoordinator:
    """Lease the tokens of all accounts of a group to instances.

    ``state`` is what the previous coordinator exported at a handover; accounts
    without one start empty.
    """

    def __init__(
        self,
        accounts: list[AccountSettings],
        now: float,
        state: dict[str, bytes] | None = None,
    ) -> None:
        handed_over = state or {}
        self.quotas_by_account: dict[str, AccountQuota] = {
            account.id: AccountQuota(account, now, handed_over.get(account.id))
            for account in accounts
        }

    def configure(self, accounts: list[AccountSettings], now: float) -> None:
        """Apply new settings and remove the buckets of accounts no longer listed."""
        settings_by_id = {account.id: account for account in accounts}
        for account in set(self.quotas_by_account) - set(settings_by_id):
            del self.quotas_by_account[account]
        for account, settings in settings_by_id.items():
            quota = self.quotas_by_account.get(account)
            if quota is None:
                self.quotas_by_account[account] = AccountQuota(settings, now)
            elif quota.settings != settings:
                quota.change(settings, now)

    def request(self, request: QuotaRequest, now: float) -> list[Answer]:
        """Process a request and return the leases due to any instance.

        Raise KeyError if the account does not belong to this group.
        """
        return self.quotas_by_account[request.account].request(request, now)

    def advance(self, now: float) -> list[Answer]:
        """Return the leases due to waiting instances."""
        return [
            due_lease
            for quota in self.quotas_by_account.values()
            for due_lease in quota.advance(now)
        ]

    def next_time(self, now: float) -> float | None:
        """Return when ``advance`` is due next, or None if no request waits."""
        times = [quota.next_time(now) for quota in self.quotas_by_account.values()]
        return min((time for time in times if time is not None), default=None)

    def export(self, now: float) -> dict[str, bytes]:
        """Return the state by account for the next coordinator."""
        return {
            account: quota.export(now)
            for account, quota in self.quotas_by_account.items()
        }


def _export_borrower(borrower: _Borrower, now: float) -> list:
    leases = [
        [sequence, lease.tokens, lease.unspent, lease.expires_at - now]
        for sequence, lease in borrower.leases_by_sequence.items()
    ]
    return [borrower.last_sequence, borrower.demand.at(now), leases]
