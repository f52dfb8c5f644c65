"""Issue the permits of a group's targets."""

from collections.abc import Callable
from itertools import count
from random import Random

import attrs

from fireflystand_core.messages import Permit

from .balancing import balancing_policies_by_name
from .budgets import HedgePolicy
from .crashes import CrashHold
from .queues import FairQueue, WaitingRequest
from .targets import SEND_WITHIN, OutstandingPermit, TargetAdmission

__all__ = ["Issued", "Issuer", "Owner", "OwnerOf", "ShardOf"]

PERMIT_GRACE = 0.5  # seconds for a return to arrive after the request's deadline
RESERVE_TIME = 2.0  # seconds a target drains for a request that must run alone
SERVICE_TIME_WEIGHT = 0.1
SERVICE_MARGIN = 3.0  # times the mean; what ends past its deadline wastes a slot
SERVICE_TIME_DECAY = 0.98  # on each refusal, so that an old slowdown is forgotten
UNOWNED = ""

Owner = tuple[str, int]
ShardOf = Callable[[int, int], int]
OwnerOf = Callable[[int, int, float], Owner | None]


@attrs.frozen
class Issued:
    """Hold what became of a waiting request; without a permit it is refused."""

    item: WaitingRequest
    permit: Permit | None = None
    reason: str = ""


class Issuer:
    """Match waiting requests with free slots."""

    def __init__(
        self,
        name: str,
        epoch: int,
        owner_of: OwnerOf | None,
        balancing: str,
        hold: CrashHold,
        hedges: HedgePolicy,
        seed: int = 0,
        shard_of: ShardOf | None = None,
    ) -> None:
        self.epoch = epoch
        self.targets_by_id: dict[str, TargetAdmission] = {}
        self.service_time = 0.0  # seconds
        self._name = name
        self._first_epoch = epoch
        self._shard_of = shard_of or (lambda key, shard: shard)
        self._owner_of = owner_of
        self._choose = balancing_policies_by_name[balancing]
        self._hold = hold
        self._hedges = hedges
        self._random = Random(seed)
        self._numbers = count(1)
        self._queues_by_target: dict[str, FairQueue] = {}
        self._reserved_by_target: dict[str, tuple[WaitingRequest, float]] = {}
        self._no_reserve_until: dict[str, float] = {}

    @property
    def keyed(self) -> bool:
        """Tell whether one target owns each key."""
        return self._owner_of is not None

    def permits(self):
        """Return all outstanding permits."""
        return [
            permit
            for target in self.targets_by_id.values()
            for permit in target.permits_by_id.values()
        ]

    def waiting(self) -> list[WaitingRequest]:
        """Return all requests that wait for a permit."""
        items = [item for queue in self._queues_by_target.values() for item in queue]
        return items + [item for item, _ in self._reserved_by_target.values()]

    def waits(self, request_id: str) -> bool:
        """Tell whether a request waits for a permit."""
        if any(request_id in queue for queue in self._queues_by_target.values()):
            return True
        reserved = self._reserved_by_target.values()
        return any(item.request.request_id == request_id for item, _ in reserved)

    def enqueue(self, item: WaitingRequest, now: float) -> str | None:
        """Queue a request, or return why it is refused at once."""
        if self._hold.is_refused(item.request.fingerprint):
            return "request crashed targets"
        owner = self._owner(item, now)
        place = UNOWNED if owner is None else owner[0]
        queue = self._queue(place)
        reason = None
        if owner is not None or not self.keyed:
            servers = self._servers(place)
            reason = queue.refusal(item, now, self.service_time, servers)
        else:
            reason = queue.refusal(item, now, 0.0, 1)
        if reason is None:
            queue.push(item)
        return reason

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove a request that waits."""
        for target, (item, _) in list(self._reserved_by_target.items()):
            if item.request.request_id == request_id:
                del self._reserved_by_target[target]
                return item
        for queue in self._queues_by_target.values():
            item = queue.remove(request_id)
            if item is not None:
                return item
        return None

    def note_service_time(self, seconds: float) -> None:
        """Take in how long a permit was used."""
        if self.service_time == 0.0:
            self.service_time = seconds
        self.service_time += SERVICE_TIME_WEIGHT * (seconds - self.service_time)

    def expire(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = []
        for queue in self._queues_by_target.values():
            expired += queue.expire(now)
        for target, (item, since) in list(self._reserved_by_target.items()):
            if item.deadline <= now:
                del self._reserved_by_target[target]
                expired.append(item)
            elif since + RESERVE_TIME <= now:
                del self._reserved_by_target[target]
                self._no_reserve_until[target] = now + RESERVE_TIME
                self._queue_of(item, now).push(item)
        return expired

    def dispatch(self, now: float) -> list[Issued]:
        """Issue permits while requests wait and slots are free."""
        results = self._serve_reserved(now)
        for place, queue in list(self._queues_by_target.items()):
            if len(queue) and (place != UNOWNED or not self.keyed):
                results += self._serve(place, queue, now)
        return results

    def hedge(self, item: WaitingRequest, primary: str, now: float) -> Permit | None:
        """Issue a second copy on another target that is free at once."""
        targets = [t for t in self._candidates(UNOWNED, item, now) if t.id != primary]
        held = self._hold.must_run_alone(item.request.fingerprint)
        if held or not targets or not self._hedges.allow(item.request.idempotent):
            return None
        target = self._choose(targets, self._random, now)
        return self._issue(item, target, self.epoch, now, hedge=True)

    def requeue(self, now: float) -> None:
        """Move requests whose key has another owner by now."""
        if not self.keyed:
            return
        for place, queue in list(self._queues_by_target.items()):
            for item in queue:
                owner = self._owner(item, now)
                target = UNOWNED if owner is None else owner[0]
                if target != place:
                    queue.remove(item.request.request_id)
                    self._queue(target).push(item)

    def _serve_reserved(self, now: float) -> list[Issued]:
        results = []
        for target_id, (item, _) in list(self._reserved_by_target.items()):
            target = self.targets_by_id.get(target_id)
            owner = self._owner(item, now)
            if target is None or (self.keyed and (owner or ("",))[0] != target_id):
                del self._reserved_by_target[target_id]
                self._queue_of(item, now).push(item)
            elif target.in_use == 0 and target.free > 0:
                del self._reserved_by_target[target_id]
                epoch = owner[1] if owner else self.epoch
                permit = self._issue(item, target, epoch, now, alone=True)
                results.append(Issued(item, permit))
        return results

    def _serve(self, place: str, queue: FairQueue, now: float) -> list[Issued]:
        results, deferred = [], []
        while len(queue) and self._has_room(place):
            item = queue.pop()
            if item is None:
                break
            result = self._try(item, place, bool(len(queue)), now)
            if result is None:
                deferred.append(item)
            elif result.permit or result.reason:
                results.append(result)
        for item in deferred:
            queue.push(item)
        return results

    def _try(self, item, place: str, others_wait: bool, now: float) -> Issued | None:
        """Serve one request; ``None`` puts it back into the queue."""
        fingerprint = item.request.fingerprint
        owner = self._owner(item, now)
        if self.keyed and (owner is None or owner[0] != place):
            self._queue_of(item, now).push(item)
            return Issued(item)
        if self._hold.is_refused(fingerprint):
            return Issued(item, reason="request crashed targets")
        if item.deadline - now < SERVICE_MARGIN * self.service_time and others_wait:
            self.service_time *= SERVICE_TIME_DECAY
            return Issued(item, reason="cannot be served before its deadline")
        if self._hold.must_run_alone(fingerprint):
            return self._try_alone(item, place, now)
        targets = self._candidates(place, item, now)
        if not targets:
            return None
        target = self._choose(targets, self._random, now)
        epoch = owner[1] if owner else self.epoch
        return Issued(item, self._issue(item, target, epoch, now))

    def _try_alone(self, item, place: str, now: float) -> Issued | None:
        fingerprint = item.request.fingerprint
        if self._runs(fingerprint):
            return None
        reserved = [i for i, _ in self._reserved_by_target.values()]
        if any(i.request.fingerprint == fingerprint for i in reserved):
            return None
        targets = [
            target
            for target in self._candidates(place, item, now)
            if self._no_reserve_until.get(target.id, 0.0) <= now
        ]
        if not targets:
            return None
        target = min(targets, key=lambda target: target.in_use)
        if target.in_use:
            self._reserved_by_target[target.id] = (item, now)
            return Issued(item)
        owner = self._owner(item, now)
        epoch = owner[1] if owner else self.epoch
        return Issued(item, self._issue(item, target, epoch, now, alone=True))

    def _runs(self, fingerprint: int) -> bool:
        """Tell whether a request that no crash has ended yet may be running."""
        return any(
            permit.fingerprint == fingerprint and not permit.crash_counted
            for permit in self.permits()
        )

    def _issue(
        self, item, target, epoch: int, now: float, alone=False, hedge=False
    ) -> Permit:
        request = item.request
        permit_id = f"{self._name}.{self._first_epoch}.{next(self._numbers)}"
        outstanding = OutstandingPermit(
            permit_id,
            request.request_id,
            request.account,
            item.entry,
            target.id,
            request.fingerprint,
            request.idempotent,
            self._shard_of(request.key_hash, request.shard),
            epoch,
            now,
            item.deadline + PERMIT_GRACE,
            item.scope,
            item.journal_sequence,
            alone,
            hedge,
            request.attempt,
        )
        target.issue(outstanding)
        return self.permit_of(outstanding, now)

    def permit_of(self, outstanding: OutstandingPermit, now: float) -> Permit:
        """Return the message for an outstanding permit."""
        target = self.targets_by_id[outstanding.target]
        hedge_after = None
        if not outstanding.hedge:
            hedge_after = self._hedges.delay(outstanding.idempotent)
        left = outstanding.deadline - PERMIT_GRACE - now
        return Permit(
            outstanding.permit_id,
            target.id,
            target.address,
            outstanding.epoch,
            max(0.0, min(SEND_WITHIN, left)),
            hedge_after,
            outstanding.shard,
        )

    def _candidates(self, place: str, item, now: float) -> list[TargetAdmission]:
        return [
            target
            for target in self._places(place)
            if self._is_open(target) and target.may_connect(item.entry, now)
        ]

    def _places(self, place: str) -> list[TargetAdmission]:
        if not self.keyed:
            return list(self.targets_by_id.values())
        target = self.targets_by_id.get(place)
        return [] if target is None else [target]

    def _is_open(self, target: TargetAdmission) -> bool:
        if target.free == 0 or target.id in self._reserved_by_target:
            return False
        return not any(permit.alone for permit in target.permits_by_id.values())

    def _has_room(self, place: str) -> bool:
        return any(self._is_open(target) for target in self._places(place))

    def _servers(self, place: str) -> int:
        return sum(target.capacity for target in self._places(place))

    def _owner(self, item: WaitingRequest, now: float) -> Owner | None:
        if self._owner_of is None:
            return None
        return self._owner_of(item.request.key_hash, item.request.shard, now)

    def _queue_of(self, item: WaitingRequest, now: float) -> FairQueue:
        owner = self._owner(item, now)
        return self._queue(UNOWNED if owner is None else owner[0])

    def _queue(self, place: str) -> FairQueue:
        return self._queues_by_target.setdefault(place, FairQueue())
