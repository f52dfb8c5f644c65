"""Decide on all permits of one group."""

from collections.abc import Callable

from fireflystand_core.journal import JournalIndex, scope_of
from fireflystand_core.messages import (
    Permit,
    PermitCancel,
    PermitRefused,
    PermitRequest,
    PermitReturn,
    StoredAnswer,
)

from .actions import Action, Reply, StoreSuspects, WriteIntent, WriteOutcome
from .budgets import HedgePolicy, RetryBudget
from .crashes import CrashHold
from .desk_state import export_state, restore_state
from .desk_targets import TargetEvents
from .issuing import Issuer, OwnerOf, ShardOf
from .queues import WaitingRequest
from .targets import OutstandingPermit, TargetAdmission

__all__ = ["PermitDesk"]

LONGEST_DEADLINE = 60.0  # seconds
RETRY_AFTER = 1.0  # seconds
MAX_REMEMBERED = 1000  # request or permit ids


class PermitDesk(TargetEvents):
    """Issue the permits of one group while its host has authority.

    ``may_issue`` tells whether the host's claim is confirmed at a time. Without
    ``owner_of`` the service is not divided by key and ``balancing`` chooses.
    """

    def __init__(
        self,
        service: str,
        group: int,
        epoch: int,
        journal: JournalIndex,
        *,
        owner_of: OwnerOf | None = None,
        balancing: str = "latency_aware",
        may_issue: Callable[[float], bool] = lambda now: True,
        hedging: bool = True,
        longest_deadline: float = LONGEST_DEADLINE,
        seed: int = 0,
        shard_of: ShardOf | None = None,
    ) -> None:
        self.service = service
        self.group = group
        self.epoch = epoch
        self.journal = journal
        self.hold = CrashHold(journal.retention)
        self.hedges = HedgePolicy(keyed=owner_of is not None or not hedging)
        self.retries = RetryBudget()
        self.issuer = Issuer(
            f"{service}.{group}",
            epoch,
            owner_of,
            balancing,
            self.hold,
            self.hedges,
            seed,
            shard_of,
        )
        self.closed = False
        self._may_issue = may_issue
        self._longest_deadline = longest_deadline
        self._intents_by_id: dict[str, WaitingRequest] = {}
        self._repeats_by_id: dict[str, WaitingRequest] = {}
        self._departed_by_id: dict[str, OutstandingPermit] = {}
        self._foreign_ids: dict[str, None] = {}

    def request(self, request: PermitRequest, entry: str, now: float) -> list[Action]:
        """Take in a request for a permit."""
        deadline = min(request.deadline, self._longest_deadline)
        item = WaitingRequest(request, entry, now, now + deadline, scope_of(request))
        if self.closed or request.deadline <= 0:
            return [self._refusal(item, "deadline has passed or group has moved")]
        repeated = self._repeated(item, now)
        if repeated is not None:
            return repeated
        if request.hedge_of is not None:
            return [self._hedge(item, now)]
        if not self._within_retries(request):
            return [self._refusal(item, "retry budget is spent")]
        return self._admit(item, now) + self._dispatch(now)

    def _repeated(self, item: WaitingRequest, now: float) -> list[Action] | None:
        """Answer a message that was sent twice."""
        request = item.request
        for permit in self.issuer.permits():
            if permit.request_id != request.request_id:
                continue
            if permit.attempt >= request.attempt and permit.lost_at is None:
                if permit.entry != item.entry or not self._may_issue(now):
                    return []
                answer = self.issuer.permit_of(permit, now)
                return [Reply(item.entry, request.request_id, answer)]
        waits = request.request_id in self._intents_by_id
        waits = waits or request.request_id in self._repeats_by_id
        waits = waits or self.issuer.waits(request.request_id)
        return [] if waits else None

    def _hedge(self, item: WaitingRequest, now: float) -> Reply:
        primary = next(
            (
                permit.target
                for permit in self.issuer.permits()
                if permit.request_id == item.request.hedge_of
            ),
            None,
        )
        permit = None
        if primary is not None and self._may_issue(now):
            permit = self.issuer.hedge(item, primary, now)
        if permit is None:
            return self._refusal(item, "no hedge is possible now")
        return Reply(item.entry, item.request.request_id, permit)

    def _within_retries(self, request: PermitRequest) -> bool:
        if request.attempt == 0:
            self.retries.note_request()
            self.hedges.note_request()
            return True
        # A handover, a move or a dead target makes a wave of these, which ends by
        # itself.
        return request.free_retry or self.retries.spend()

    def _admit(self, item: WaitingRequest, now: float) -> list[Action]:
        """Pass a request through the journal into the queue."""
        if not item.scope:
            return self._enqueue(item, now)
        request = item.request
        begin = self.journal.begin(
            item.scope, request.fingerprint, request.request_id, request.idempotent, now
        )
        if begin.action == "wait":
            self._repeats_by_id[request.request_id] = item
            return []
        if begin.action != "run":
            outcome = begin.outcome or "answered"
            refused = PermitRefused(
                outcome, begin.reason, begin.status, replay=begin.answer
            )
            return [Reply(item.entry, request.request_id, refused)]
        item.journal_sequence = begin.sequence
        if request.idempotent:
            return self._enqueue(item, now)
        self._intents_by_id[request.request_id] = item
        entry = self.journal.entry(item.scope, now)
        return [WriteIntent(request.request_id, begin.sequence, entry)]

    def journaled(
        self, request_id: str, sequence: int, durable: bool, now: float
    ) -> list[Action]:
        """Continue a request whose intent is durable, or refuse it."""
        item = self._intents_by_id.get(request_id)
        if item is None or item.journal_sequence != sequence:
            return []
        del self._intents_by_id[request_id]
        if not durable:
            actions = self._not_run(item, "journal is not available", now)
        elif item.deadline <= now:
            actions = self._not_run(item, "deadline has passed", now)
        else:
            actions = self._enqueue(item, now)
        return actions + self._dispatch(now)

    def _enqueue(self, item: WaitingRequest, now: float) -> list[Action]:
        reason = self.issuer.enqueue(item, now)
        return [] if reason is None else self._not_run(item, reason, now)

    def _not_run(self, item: WaitingRequest, reason: str, now: float) -> list[Action]:
        """Refuse a request that was never issued a permit."""
        refusal = self._refusal(item, reason)
        return [
            refusal,
            *self._finish(item.scope, item.journal_sequence, "not-run", now),
        ]

    def _refusal(self, item: WaitingRequest, reason: str) -> Reply:
        outcome, status = "not-run", 503
        if item.scope and self.journal.may_have_run(item.scope):
            outcome, status = "unknown", 502
        refused = PermitRefused(outcome, reason, status, RETRY_AFTER)
        return Reply(item.entry, item.request.request_id, refused)

    def _finish(
        self,
        scope: str,
        sequence: int,
        state: str,
        now: float,
        answer: StoredAnswer | None = None,
    ) -> list[Action]:
        if not scope:
            return []
        waiting = self.journal.finish(scope, sequence, state, answer, now)
        if waiting is None:
            return []
        entry = self.journal.entry(scope, now)
        actions: list[Action] = [] if entry is None else [WriteOutcome(entry)]
        for request_id in waiting:
            item = self._repeats_by_id.pop(request_id, None)
            if item is not None:
                actions += self._admit(item, now)
        return actions

    def cancel(self, cancel: PermitCancel, now: float) -> list[Action]:
        """Withdraw a request that waits, or whose permit did not arrive."""
        actions = self._withdraw(cancel.request_id, "cancelled by its caller", now)
        for permit in self.issuer.permits():
            unused = (permit.request_id, permit.attempt) == (
                cancel.request_id,
                cancel.attempt,
            )
            if unused and permit.lost_at is None:
                self.targets_by_id[permit.target].release(permit.permit_id)
                sequence = permit.journal_sequence
                actions += self._finish(permit.scope, sequence, "not-run", now)
        return actions + self._dispatch(now)

    def _withdraw(self, request_id: str, reason: str, now: float) -> list[Action]:
        repeat = self._repeats_by_id.pop(request_id, None)
        if repeat is not None:
            self.journal.leave(repeat.scope, request_id)
            return [_unknown(repeat, reason)]
        item = self._intents_by_id.pop(request_id, None)
        item = item or self.issuer.remove(request_id)
        return [] if item is None else self._not_run(item, reason, now)

    def returned(self, returned: PermitReturn, now: float) -> list[Action]:
        """Take back a permit with what became of its request."""
        permit = self._departed_by_id.get(returned.permit_id)
        target = None
        for admission in self.targets_by_id.values():
            if returned.permit_id in admission.permits_by_id:
                target = admission
                permit = admission.permits_by_id[returned.permit_id]
        if permit is None:
            return self._foreign(returned, now) + self._dispatch(now)
        self._judge(returned, permit, target, now)
        actions = self._finish(
            permit.scope,
            permit.journal_sequence,
            returned.outcome,
            now,
            returned.answer,
        )
        if returned.broken:
            actions.append(StoreSuspects(self.hold.store(now)))
        return actions + self._dispatch(now)

    def _judge(self, returned, permit, target: TargetAdmission | None, now) -> None:
        if returned.outcome == "unknown":
            if returned.broken and not permit.crash_counted:
                permit.crash_counted = True
                self.hold.broken(permit.target, permit.fingerprint, now)
            if target is not None and returned.ended:
                target.release(permit.permit_id)
                target.cancelled(returned.latency, now)
            elif target is not None:
                target.mark_lost(permit.permit_id, now)
            return
        self._departed_by_id.pop(permit.permit_id, None)
        if target is not None:
            target.release(permit.permit_id)
        if returned.outcome == "answered":
            self._judge_answer(returned, permit, target, now)
        elif returned.shed and target is not None:
            target.shed(now)
        elif returned.refused and target is not None:
            target.refused(now)

    def _judge_answer(self, returned, permit, target, now: float) -> None:
        if permit.alone:
            self.hold.survived(permit.fingerprint)
        if target is None or returned.status >= 500:
            return
        target.succeeded(returned.latency, now, permit.issued_at)
        self.issuer.note_service_time(returned.latency)
        if not permit.hedge:
            self.hedges.note_latency(returned.latency)

    def _foreign(self, returned: PermitReturn, now: float) -> list[Action]:
        """Take back a permit that an earlier coordinator issued."""
        if returned.broken and returned.fingerprint:
            self._foreign_broken(returned, now)
            return [StoreSuspects(self.hold.store(now))]
        if returned.outcome != "answered" or not returned.scope:
            return []
        scope = returned.scope
        answer = returned.answer
        fingerprint = returned.fingerprint
        if not self.journal.finish_foreign(scope, fingerprint, answer, now):
            return []
        entry = self.journal.entry(scope, now)
        return [] if entry is None else [WriteOutcome(entry)]

    def _foreign_broken(self, returned: PermitReturn, now: float) -> None:
        """Count a crash at once: the target's earlier incarnation is not known."""
        if returned.permit_id in self._foreign_ids:
            return
        self._foreign_ids[returned.permit_id] = None
        if len(self._foreign_ids) > MAX_REMEMBERED:
            self._foreign_ids.pop(next(iter(self._foreign_ids)))
        self.hold.crashed(returned.target, {returned.fingerprint}, now)

    def entry_lost(self, entry: str, now: float) -> list[Action]:
        """Take in that an entry instance is gone; its permits keep their slots."""
        for target in self.targets_by_id.values():
            for permit in target.permits_by_id.values():
                if permit.entry == entry:
                    target.mark_lost(permit.permit_id, now)
        actions: list[Action] = []
        for item in self.waiting():
            if item.entry == entry:
                reason = "entry instance was lost"
                actions += self._withdraw(item.request.request_id, reason, now)
        return actions + self._dispatch(now)

    def tick(self, now: float) -> list[Action]:
        """End what has passed its deadline and issue permits."""
        actions: list[Action] = []
        for target in self.targets_by_id.values():
            for permit in target.expire(now):
                actions += self._expired(permit, now)
        for permit in list(self._departed_by_id.values()):
            if permit.deadline <= now:
                del self._departed_by_id[permit.permit_id]
                actions += self._expired(permit, now)
        for item in self.issuer.expire(now):
            actions += self._not_run(item, "deadline has passed", now)
        for item in [*self._intents_by_id.values(), *self._repeats_by_id.values()]:
            if item.deadline <= now:
                request_id = item.request.request_id
                actions += self._withdraw(request_id, "deadline has passed", now)
        self.hold.expire(now)
        self.journal.expire(now)
        self.issuer.requeue(now)
        return actions + self._dispatch(now)

    def _expired(self, permit: OutstandingPermit, now: float) -> list[Action]:
        return self._finish(permit.scope, permit.journal_sequence, "unknown", now)

    def _dispatch(self, now: float) -> list[Action]:
        actions: list[Action] = []
        if self.closed or not self._may_issue(now):
            return actions
        for issued in self.issuer.dispatch(now):
            if issued.permit is None:
                actions += self._not_run(issued.item, issued.reason, now)
                continue
            answer: Permit = issued.permit
            request_id = issued.item.request.request_id
            actions.append(Reply(issued.item.entry, request_id, answer))
        return actions

    def set_epoch(self, epoch: int) -> None:
        """Issue permits at an epoch that the same coordinator has raised."""
        self.epoch = self.issuer.epoch = epoch

    def permits_pending(self, target: str, shard: int) -> bool:
        """Tell whether a request for the shard may still run on the target."""
        permits = [*self.issuer.permits(), *self._departed_by_id.values()]
        return any((p.target, p.shard) == (target, shard) for p in permits)

    def waiting(self) -> list[WaitingRequest]:
        """Return every request that has no answer yet."""
        items = [*self._intents_by_id.values(), *self._repeats_by_id.values()]
        return items + self.issuer.waiting()

    def close(self, now: float, reason: str = "group moves") -> list[Action]:
        """Stop issuing and refuse everything that waits."""
        self.closed = True
        actions: list[Action] = []
        for item in sorted(self.waiting(), key=self._is_first):
            actions += self._withdraw(item.request.request_id, reason, now)
        return actions

    def _is_first(self, item: WaitingRequest) -> bool:
        """Sort repeats before the requests whose end would admit them."""
        return item.request.request_id not in self._repeats_by_id

    def export(self, now: float) -> dict[str, bytes]:
        """Return the state for a handover; call ``close`` first."""
        departed = list(self._departed_by_id.values())
        return export_state(self.targets_by_id, departed, self.hold, self.journal, now)

    def restore(self, state: dict[str, bytes], now: float) -> None:
        """Take over the state of a handover."""
        targets, departed = restore_state(state, self.hold, self.journal, now)
        self.targets_by_id.update(targets)
        self._departed_by_id.update({p.permit_id: p for p in departed})


def _unknown(item: WaitingRequest, reason: str) -> Reply:
    """Refuse a repeat while the first request may be running."""
    refused = PermitRefused("unknown", reason, 504)
    return Reply(item.entry, item.request.request_id, refused)
