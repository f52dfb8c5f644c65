"""Lend the tokens of accounts to instances."""

import math

import attrs
import msgpack

from fireflystand_core.configuration import AccountSettings
from fireflystand_core.messages import LeaseReport, QuotaLease, QuotaRequest

from .bucket import TokenBucket
from .demand import Demand

__all__ = ["LEASE_TTL", "AccountQuota", "Answer", "QuotaCoordinator"]

LEASE_TTL = 1.0  # seconds
AHEAD = 0.25  # seconds of an instance's demand that a lease covers
AHEAD_SHARE = 0.5  # of the bucket lent ahead; the rest serves other instances
MIN_RETRY_AFTER = 0.005  # seconds
MAX_RETRY_AFTER = 60.0  # seconds
BORROWER_IDLE = 30.0  # seconds after which an idle borrower is forgotten

Answer = tuple[str, QuotaLease]  # instance and its lease


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
class _Waiting:
    request: QuotaRequest
    until: float


class AccountQuota:
    """Lend the tokens of one account.

    Starts empty and, without a state, lends nothing for one time to live, because
    leases of a previous coordinator may hold a whole burst until then.
    """

    def __init__(
        self, settings: AccountSettings, now: float, state: bytes | None = None
    ) -> None:
        self.settings = settings
        self._bucket = TokenBucket(settings.rate, settings.burst, now)
        self._borrowers_by_id: dict[str, _Borrower] = {}
        self._waiting_by_id: dict[str, _Waiting] = {}
        self._closed_until = now + LEASE_TTL
        if state is not None:
            self._restore(state, now)

    @property
    def level(self) -> float:
        """Return the tokens left."""
        return self._bucket.level

    @property
    def lent(self) -> float:
        """Return the tokens that instances hold and may still spend."""
        return self._bucket.lent

    def change(self, settings: AccountSettings, now: float) -> None:
        """Apply new settings from ``now`` on."""
        self._settle(now)
        self.settings = settings
        self._bucket.change(settings.rate, settings.burst, now)

    def request(self, request: QuotaRequest, now: float) -> list[Answer]:
        """Take a request and return the answers that are due, to any instance."""
        self._settle(now)
        borrower = self._borrowers_by_id.get(request.instance)
        if borrower is None:
            borrower = _Borrower(Demand(now))
            self._borrowers_by_id[request.instance] = borrower
        for report in request.reports:
            self._take_report(borrower, report, now)
        answers = []
        if request.sequence > borrower.last_sequence:
            borrower.last_sequence = request.sequence
            self._waiting_by_id.pop(request.instance, None)
            if request.tokens >= 1:
                waiting = _Waiting(request, now + request.wait)
                self._waiting_by_id[request.instance] = waiting
            else:
                answers.append((request.instance, self._lend(request, 0, now)))
        return answers + self.advance(now)

    def advance(self, now: float) -> list[Answer]:
        """Answer waiting instances in the order of their requests."""
        self._settle(now)
        answers = []
        while self._waiting_by_id and self._bucket.level >= 1:
            share = max(1, self._bucket.level // len(self._waiting_by_id))
            instance = next(iter(self._waiting_by_id))
            request = self._waiting_by_id.pop(instance).request
            needed = min(request.tokens, share)
            answers.append((instance, self._lend(request, needed, now)))
        for instance, waiting in list(self._waiting_by_id.items()):
            if waiting.until <= now:
                del self._waiting_by_id[instance]
                answers.append((instance, self._decline(waiting.request, now)))
        return answers

    def next_time(self, now: float) -> float | None:
        """Return when ``advance`` has something to do, if anything waits."""
        if not self._waiting_by_id:
            return None
        first = min(waiting.until for waiting in self._waiting_by_id.values())
        return min(first, now + self._time_until_token(now))

    def export(self, now: float) -> bytes:
        """Return the state for the next coordinator; lend nothing afterwards."""
        self._settle(now)
        borrowers = {
            instance: _export_borrower(borrower, now)
            for instance, borrower in self._borrowers_by_id.items()
        }
        state = {
            "level": self._bucket.level,
            "closed": max(0.0, self._closed_until - now),
            "borrowers": borrowers,
        }
        return msgpack.packb(state)

    def _restore(self, data: bytes, now: float) -> None:
        state = msgpack.unpackb(data, strict_map_key=False)
        self._closed_until = now + state["closed"]
        for instance, (sequence, demand, leases) in state["borrowers"].items():
            borrower = _Borrower(Demand(now, demand), sequence)
            for number, tokens, unspent, left in leases:
                lease = _Lease(tokens, unspent, now + left)
                borrower.leases_by_sequence[number] = lease
                self._bucket.lent += unspent
            self._borrowers_by_id[instance] = borrower
        room = max(0.0, self._bucket.burst - self._bucket.lent)
        self._bucket.level = min(room, state["level"])

    def _settle(self, now: float) -> None:
        # Tokens of an expired lease count as spent at its expiry. They leave the
        # bucket's account only after the refill up to now, so that the refill does
        # not use room that the lease still took.
        if now < self._closed_until:
            self._bucket.updated_at = max(self._bucket.updated_at, now)
            self._drop_expired(now)
            return
        self._bucket.updated_at = max(self._bucket.updated_at, self._closed_until)
        self._bucket.refill(now)
        self._drop_expired(now)

    def _drop_expired(self, now: float) -> None:
        for instance, borrower in list(self._borrowers_by_id.items()):
            leases = borrower.leases_by_sequence
            for sequence, lease in list(leases.items()):
                if lease.expires_at <= now:
                    del leases[sequence]
                    self._bucket.spend(lease.unspent)
            idle = now - borrower.demand.updated_at > BORROWER_IDLE
            if idle and not leases and instance not in self._waiting_by_id:
                del self._borrowers_by_id[instance]

    def _take_report(self, borrower: _Borrower, report: LeaseReport, now: float):
        lease = borrower.leases_by_sequence.get(report.sequence)
        if lease is None:
            return
        # Reports may overtake each other; only the highest count is new.
        spent = lease.unspent - (lease.tokens - report.spent)
        if spent > 0:
            lease.unspent -= spent
            self._bucket.spend(spent)
            borrower.demand.add(spent, now)
        if report.closed:
            del borrower.leases_by_sequence[report.sequence]
            self._bucket.take_back(lease.unspent)

    def _lend(self, request: QuotaRequest, needed: float, now: float) -> QuotaLease:
        needed = min(needed, math.floor(self._bucket.level))
        borrower = self._borrowers_by_id[request.instance]
        ahead = self._ahead(borrower, self._bucket.level - needed, now)
        tokens = needed + ahead
        if tokens < 1:
            return self._decline(request, now)
        self._bucket.lend(tokens)
        lease = _Lease(tokens, tokens, now + LEASE_TTL)
        borrower.leases_by_sequence[request.sequence] = lease
        return QuotaLease(
            request.account,
            tokens,
            LEASE_TTL,
            retry_after=self._backlog_time(),
            sequence=request.sequence,
        )

    def _ahead(self, borrower: _Borrower, left: float, now: float) -> float:
        if self._waiting_by_id:
            return 0.0
        wanted = borrower.demand.at(now)
        if wanted <= 0:
            return 0.0
        total = sum(other.demand.at(now) for other in self._borrowers_by_id.values())
        share = left * AHEAD_SHARE * wanted / total
        leases = borrower.leases_by_sequence.values()
        held = sum(lease.unspent for lease in leases)
        return float(math.floor(max(0.0, min(wanted * AHEAD - held, share))))

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
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))


class QuotaCoordinator:
    """Lend the tokens of all accounts of a group.

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
        """Apply new settings; accounts that are no longer listed lose their bucket."""
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
        """Take a request and return the answers that are due, to any instance.

        Raise KeyError if the account is not of this group.
        """
        return self.quotas_by_account[request.account].request(request, now)

    def advance(self, now: float) -> list[Answer]:
        """Return the answers that are due."""
        return [
            answer
            for quota in self.quotas_by_account.values()
            for answer in quota.advance(now)
        ]

    def next_time(self, now: float) -> float | None:
        """Return when ``advance`` has something to do, if anything waits."""
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
