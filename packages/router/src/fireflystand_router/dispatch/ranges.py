"""Coordinate which target owns which key range of a service.

The record in the store names the coordinator and the owners, and only a conditional
write by the coordinator changes it. A grant is sent only after the record that holds
it. So two coordinators at once cannot give one key to two targets: the older one's
writes fail, and its renewals only repeat what the record said when it was written.
What remains is a target that only the older one reaches; for that the newer one
waits until the older one's authority has ended.
"""

from collections.abc import Callable

import attrs
import trio

from fireflystand_core.exceptions import (
    ProtocolError,
    StoreUnavailableError,
)
from fireflystand_core.messages import (
    CoordinatorResigned,
    RangesFrozen,
)
from fireflystand_core.ranges import (
    HoldLedger,
    HoldTiming,
    KeyRange,
    PlannedMove,
    RangeRecord,
    initial_moves,
    joining_moves,
    levelling_moves,
)
from fireflystand_core.replica import ObjectChange
from fireflystand_core.traffic import TargetRecord

from ..events import (
    AUTHORITY_ENDED,
    AUTHORITY_RETURNED,
    COORDINATOR_CLAIMED,
    COORDINATOR_ENDED,
    GRANT_REFUSED,
    RANGE_GIVEN,
    RANGE_RELEASED,
    RECORD_WRITE_FAILED,
    TARGET_RETURNED,
    TARGET_SILENT,
    emit,
)
from ..http_client import ConnectionFailedError
from .clock import lease_clock
from .load import ServiceLoad
from .mesh import Mesh
from .ports import RANGES, GrantRefusedError, StorePort, TargetControlPort
from .record_writer import RecordWriter
from .state import FrozenRange, RoutingState

__all__ = ["RangeCoordinator"]

STEP = 0.1  # seconds between two looks at what is to be done
# A coordinator may act this long after the store last confirmed it. Outages of the
# store take 4 to 9 s; holds outlast the authority, and requests with an API key are
# not served after 4 s without the store in any case.
AUTHORITY = 6.0  # seconds
CONFIRM_INTERVAL = 1.5  # seconds
# A coordinator that the store turns away hands over if others reach the store.
HAND_OVER_AFTER = 2.5  # seconds without the store
MEETING_PERIOD = 1.6  # seconds after the start in which peers are met
CLAIM_DELAY = 0.3  # seconds by which the next candidate waits longer
ALONE_DELAY = 3.0  # seconds that an instance waits that sees few of the others
# A target that answers no grant for this long is given up; with a third of the
# answers lost, one in a hundred is given up wrongly.
SILENCE = 1.2  # seconds
GRANT_TIMEOUT = 0.3  # seconds of a call that targets answer at once
# A silent target is looked after in this interval, doubled each time it falls silent
# again: one that answers only now and then would draw keys and lose them.
PROBE_INTERVAL = 1.0  # seconds
LONGEST_PROBE_INTERVAL = 16.0  # seconds
RETRY_INTERVAL = 0.2  # seconds after a grant without an answer
RELEASE_TIMEOUT = 4.0  # seconds; a release is answered when running work has ended
RELEASE_RETRY = 0.5  # seconds between releases to a target that does not answer
PLAN_INTERVAL = 0.5  # seconds between two plans
# Chance moves recent loads by a third, so calm targets are levelled by the usual
# load, and only targets that are nearly full by the recent one.
BUSY_LOAD = 0.75  # part of a target's room
LEVEL_INTERVAL = 1.5  # seconds between two moves of the usual load
MOVES_IN_CALM = 6
MOVES_AT_ONCE = 64
FREEZE_SLACK = 0.3  # seconds that a freeze lasts beyond the expected move
GRANTS_PER_SECOND = 60.0  # renewals that a small instance sends beside its requests


@attrs.define
class _TargetContact:
    """Hold what the coordinator knows of its calls to one target."""

    lock: trio.Lock = attrs.field(factory=trio.Lock)
    next_renewal: float = 0.0
    next_probe: float = 0.0
    probe_interval: float = PROBE_INTERVAL
    failing_since: float | None = None
    silent: bool = False


class RangeCoordinator:
    """Own the claim on one service and, while it holds, the grants to its targets."""

    def __init__(
        self,
        service: str,
        *,
        store: StorePort,
        control: TargetControlPort,
        state: RoutingState,
        mesh: Mesh,
        holds: HoldTiming,
        longest_hold: float,
        share: Callable[[ObjectChange, ObjectChange | None], None],
        store_age: Callable[[], float],
        clock: Callable[[], float] = lease_clock,
    ) -> None:
        self.service = service
        self._clock = clock
        self.load = ServiceLoad()
        self._store = store
        self._control = control
        self._state = state
        self._mesh = mesh
        self._base_holds = holds
        self._longest_hold = longest_hold
        self._store_age = store_age
        self._ledger = HoldLedger(holds)
        self._contacts: dict[str, _TargetContact] = {}
        self._moving: dict[tuple[int, int], str] = {}
        self._freezing: list[tuple[int, int]] = []
        self._authority_until = float("-inf")
        self._others_act_until = float("-inf")
        self._authorised = False
        self._next_confirm = 0.0
        self._next_plan = 0.0
        self._next_levelling = 0.0
        self._started_at = self._clock()
        self._tasks: set[trio.CancelScope] = set()
        self._vacant_since: float | None = None
        self._vacant_epoch = 0
        self._resigned_epoch = -1
        self._stopping = False
        self.writer = RecordWriter(
            service, store, state, share, may_write=self.may_act, clock=clock
        )
        self._nursery: trio.Nursery | None = None

    @property
    def record(self) -> RangeRecord | None:
        """Return the record of the claim; None without one."""
        return self.writer.record

    @property
    def leading(self) -> bool:
        """Tell whether this process holds the claim."""
        return self.record is not None

    async def run(self) -> None:
        """Claim and coordinate until cancelled."""
        async with trio.open_nursery() as self._nursery:
            while True:
                if self.leading:
                    await self._lead()
                elif not self._stopping:
                    await self._consider_claim()
                await trio.sleep(STEP)

    def _start_task(self, task: Callable, *arguments) -> None:
        """Start a task that ends with the claim."""
        scope = trio.CancelScope()
        self._tasks.add(scope)
        self._nursery.start_soon(self._run_task, scope, task, *arguments)

    async def _run_task(
        self, scope: trio.CancelScope, task: Callable, *arguments
    ) -> None:
        try:
            with scope:
                await task(*arguments)
        finally:
            self._tasks.discard(scope)

    # Claims

    async def _consider_claim(self) -> None:
        if not self._state.replicas_by_kind[RANGES].revision:
            return
        settling = self._clock() - self._started_at < MEETING_PERIOD
        record = self._state.records_by_service.get(self.service)
        if settling and record is not None and record.holder != self._mesh.own_id:
            # The peers, and so the holder, are not all in touch yet.
            return
        delay = self._claim_delay(record)
        if delay is None:
            self._vacant_since = None
            return
        now = self._clock()
        epoch = record.epoch if record is not None else 0
        if self._vacant_since is None or self._vacant_epoch != epoch:
            # A new holder may live, though this instance has not met it yet.
            self._vacant_since, self._vacant_epoch = now, epoch
        if now - self._vacant_since >= delay:
            self._vacant_since = None
            await self._claim(record)

    def _claim_delay(self, record: RangeRecord | None) -> float | None:
        """Return how long to wait before a claim; None if the holder acts."""
        delay = self._mesh.rank(f"coordinate/{self.service}") * CLAIM_DELAY
        if self._mesh.visible_share < 0.5:
            delay += ALONE_DELAY
        if record is None or record.epoch == self._resigned_epoch:
            return delay
        if record.holder == self._mesh.own_id:
            return 0.0
        if self._is_replaced(record):
            return delay
        if self._mesh.is_live(record.holder):
            return None
        return delay

    def _is_replaced(self, record: RangeRecord) -> bool:
        """Tell whether the process that holds the claim has ended."""
        known = self._state.instances_by_id.get(record.holder)
        current = self._mesh.incarnations_by_id.get(record.holder)
        incarnations = {current, known.incarnation if known else None} - {None}
        return bool(incarnations) and record.holder_incarnation not in incarnations

    async def _claim(self, record: RangeRecord | None) -> None:
        asked_at = self._clock()
        if record is None:
            record = RangeRecord(self.service)
        version = self._state.range_version(self.service)
        claimed = record.claim(self._mesh.own_id, self._mesh.incarnation)
        if not await self.writer.claim(claimed, version):
            return
        others_until = asked_at
        previous_acts = record.holder and not (
            record.holder == self._mesh.own_id
            or record.epoch == self._resigned_epoch
            or self._is_replaced(record)
            or self._mesh.has_ended(record.holder, record.holder_incarnation)
        )
        now = self._clock()
        if previous_acts:
            others_until = now + AUTHORITY
        elif not record.holder:
            others_until = float("-inf")
        self._ledger.timing = self._timing()
        self._contacts.clear()
        self._moving.clear()
        self._freezing.clear()
        self._others_act_until = others_until
        self._authority_until = asked_at + AUTHORITY
        self._authorised = True
        self._next_confirm = now + CONFIRM_INTERVAL
        self._next_plan = now
        emit(
            COORDINATOR_CLAIMED,
            service=self.service,
            epoch=claimed.epoch,
            predecessor=record.holder,
            ranges=len(claimed.ranges),
            waits_for_predecessor=bool(previous_acts),
        )

    # Authority

    async def _lead(self) -> None:
        now = self._clock()
        known = self._state.records_by_service.get(self.service)
        if known is not None and known.epoch > self.record.epoch:
            return self._end("another instance claimed the service")
        if now >= self._next_confirm:
            self._next_confirm = now + CONFIRM_INTERVAL
            self._start_task(self._confirm)
        self._note_authority(now)
        if not self._authorised:
            return
        if self._should_hand_over(now):
            return self.resign("the store turns this instance away")
        self._renew(now)
        self._probe_silent(now)
        if now >= self._next_plan:
            self._next_plan = now + PLAN_INTERVAL
            self._plan(now)

    def _note_authority(self, now: float) -> None:
        authorised = now < self._authority_until
        if authorised != self._authorised:
            self._authorised = authorised
            event = AUTHORITY_RETURNED if authorised else AUTHORITY_ENDED
            emit(event, service=self.service, epoch=self.record.epoch)

    def may_act(self) -> bool:
        """Tell whether this process may send grants now."""
        return self.leading and self._clock() < self._authority_until

    async def _confirm(self) -> None:
        """Ask the store whether the claim still holds."""
        asked_at = self._clock()
        try:
            stored = await self._store.get(RANGES, self.service)
        except (StoreUnavailableError, ProtocolError) as error:
            emit(RECORD_WRITE_FAILED, error, service=self.service, what="confirm")
            return
        if self.record is None:
            return
        if stored is None or stored.value["epoch"] != self.record.epoch:
            return self._end("the record has another coordinator")
        self._authority_until = max(self._authority_until, asked_at + AUTHORITY)

    def _should_hand_over(self, now: float) -> bool:
        if self._authority_until - AUTHORITY > now - HAND_OVER_AFTER:
            return False
        if self._store_age() < HAND_OVER_AFTER:
            return False
        # Copies that others confirmed lately show that they reach the store.
        return self._state.proof_age(RANGES) < HAND_OVER_AFTER + 1.0 and (
            len(self._mesh.live) > 1
        )

    def resign(self, reason: str) -> None:
        """Give the claim up and let another instance take over at once."""
        epoch = self.record.epoch
        self._end(reason)
        self._resigned_epoch = epoch
        message = CoordinatorResigned(self.service, epoch)
        self._mesh.broadcast(message)

    def note_resigned(self, epoch: int) -> None:
        """Note that the coordinator of an epoch acts no more."""
        self._resigned_epoch = max(self._resigned_epoch, epoch)

    async def stop(self) -> None:
        """End the moves in progress, then give the claim up."""
        self._stopping = True
        with trio.move_on_after(RELEASE_TIMEOUT / 4):
            while self._moving:
                await trio.sleep(STEP / 2)
        if self.leading:
            self.resign("planned stop")

    def _end(self, reason: str) -> None:
        emit(
            COORDINATOR_ENDED,
            service=self.service,
            epoch=self.record.epoch,
            reason=reason,
        )
        # Another claim of this process may follow; what the tasks of this one know
        # of other coordinators would be out of date then.
        for scope in list(self._tasks):
            scope.cancel()
        self.writer.end()
        self._authorised = False
        self._authority_until = float("-inf")

    # Grants

    def _timing(self) -> HoldTiming:
        """Return holds that keep the renewals within what an instance can send."""
        targets = len(self._state.usable_targets(self.service))
        base = self._base_holds
        renewal = max(base.renewal, targets / GRANTS_PER_SECOND)
        hold = min(self._longest_hold * 0.9, base.hold * renewal / base.renewal)
        return attrs.evolve(base, renewal=renewal, hold=hold)

    def _contact(self, target: str) -> _TargetContact:
        return self._contacts.setdefault(target, _TargetContact())

    def _renew(self, now: float) -> None:
        """Start the renewals that are due."""
        for target_id in self.record.ranges_by_target:
            contact = self._contact(target_id)
            if contact.silent or now < contact.next_renewal:
                continue
            target = self._state.targets_by_id.get(target_id)
            if target is None or contact.lock.locked():
                continue
            if self._is_restarted(target):
                continue
            contact.next_renewal = now + self._ledger.timing.renewal
            self._start_task(self._renew_target, target, contact)

    def _is_restarted(self, target: TargetRecord) -> bool:
        """Tell whether the record names an earlier process of the target."""
        return any(
            item.started_at != target.started_at
            for item in self.record.owned_by(target.id)
        )

    async def _renew_target(
        self, target: TargetRecord, contact: _TargetContact
    ) -> None:
        async with contact.lock:
            if not self.may_act():
                return
            part = self._next_renewal(target.id, 0)
            while part is not None:
                if not await self._grant(target, part, contact):
                    contact.next_renewal = self._clock() + RETRY_INTERVAL
                    return
                if not self.may_act():
                    return
                part = self._next_renewal(target.id, part.last + 1)

    def _next_renewal(self, target: str, first: int) -> KeyRange | None:
        """Return the target's next range from a key on that does not move.

        The record is read anew for each grant: a range that moved during the last
        grant must not be renewed.
        """
        for item in self.record.owned_by(target):
            for part in item.without(list(self._moving)):
                if part.first >= first:
                    return part
                if part.last >= first:
                    return attrs.evolve(part, first=first)
        return None

    def _is_moving(self, item: KeyRange) -> bool:
        return any(
            first <= item.last and item.first <= last for first, last in self._moving
        )

    async def _grant(
        self, target: TargetRecord, item: KeyRange, contact: _TargetContact
    ) -> bool:
        """Send one grant and tell whether the target took it."""
        sent_at = self._clock()
        self._ledger.note_sent(target.id, sent_at)
        try:
            with trio.fail_after(GRANT_TIMEOUT):
                await self._control.grant(
                    target.address, item, self._ledger.timing.hold
                )
        except GrantRefusedError:
            emit(
                GRANT_REFUSED,
                service=self.service,
                target=target.id,
                first=item.first,
                last=item.last,
                fence=item.fence,
            )
            self._next_confirm = 0.0
            return False
        except (ConnectionFailedError, trio.TooSlowError):
            self._ledger.note_unanswered(target.id, sent_at)
            self._note_silence(target, contact, sent_at)
            return False
        contact.failing_since = None
        return True

    def _note_silence(
        self, target: TargetRecord, contact: _TargetContact, sent_at: float
    ) -> None:
        if contact.failing_since is None:
            contact.failing_since = sent_at
        if contact.silent or self._clock() - contact.failing_since < SILENCE:
            return
        contact.silent = True
        contact.next_probe = self._clock() + contact.probe_interval
        contact.probe_interval = min(2 * contact.probe_interval, LONGEST_PROBE_INTERVAL)
        emit(
            TARGET_SILENT,
            service=self.service,
            target=target.id,
            address=target.address,
            seconds=round(self._clock() - contact.failing_since, 2),
        )

    def _probe_silent(self, now: float) -> None:
        """Look whether targets that were given up answer again."""
        for target_id, contact in self._contacts.items():
            if not contact.silent or now < contact.next_probe:
                continue
            contact.next_probe = now + contact.probe_interval
            target = self._state.usable(target_id)
            if target is not None:
                self._start_task(self._probe, target, contact)

    async def _probe(self, target: TargetRecord, contact: _TargetContact) -> None:
        try:
            with trio.fail_after(GRANT_TIMEOUT):
                await self._control.reach(target.address, target.id)
        except (ConnectionFailedError, trio.TooSlowError):
            return  # event 6037 told that it is silent; the next look follows
        contact.silent = False
        contact.failing_since = None
        emit(
            TARGET_RETURNED,
            service=self.service,
            target=target.id,
            address=target.address,
        )

    # Moves

    def _plan(self, now: float) -> None:
        """Start the moves that targets and load ask for."""
        self.load.decay(now)
        usable = self._assignable()
        if not usable or len(self._moving) >= MOVES_AT_ONCE:
            return
        record = self.record
        vacated = self._vacate(record, usable)
        view = self.load.view(usable, recent=False)
        moves = initial_moves(vacated, view)
        if not moves:
            # Keys on their way count where they go.
            planned = record
            for (first, last), destination in self._moving.items():
                planned = planned.assign(first, last, destination)
            moves = joining_moves(planned, view, MOVES_AT_ONCE - len(self._moving))
            if not moves:
                recent = self.load.view(usable, recent=True)
                moves = levelling_moves(planned, recent, least_load=BUSY_LOAD)
            if not moves and now >= self._next_levelling:
                self._next_levelling = now + LEVEL_INTERVAL
                moves = levelling_moves(planned, view, MOVES_IN_CALM)
        self._start_moves(record, moves)

    def _assignable(self) -> dict[str, TargetRecord]:
        return {
            target.id: target
            for target in self._state.usable_targets(self.service)
            if not self._contact(target.id).silent
        }

    def _vacate(
        self, record: RangeRecord, usable: dict[str, TargetRecord]
    ) -> RangeRecord:
        """Return the record without the owners that cannot go on."""
        ranges = []
        for item in record.ranges:
            owner = usable.get(item.target)
            gone = owner is None or owner.started_at != item.started_at
            if item.target and gone:
                item = attrs.evolve(item, target="")
            ranges.append(item)
        return attrs.evolve(record, ranges=tuple(ranges))

    def _start_moves(self, record: RangeRecord, moves: list[PlannedMove]) -> None:
        """Give vacant ranges out at once and start to move the others."""
        vacant = []
        for move in moves[: MOVES_AT_ONCE - len(self._moving)]:
            for part in self._parts(record, move):
                self._moving[part.first, part.last] = move.destination
                if part.target:
                    self._start_task(self._move, part, move.destination)
                else:
                    vacant.append((part, move.destination))
        if vacant:
            self._start_task(self._give_vacant, vacant)

    def _parts(self, record: RangeRecord, move: PlannedMove) -> list[KeyRange]:
        """Return the owned parts of a move that are not moving already."""
        parts = []
        for item in record.ranges:
            first, last = max(item.first, move.first), min(item.last, move.last)
            if first > last:
                continue
            part = attrs.evolve(item, first=first, last=last)
            if not self._is_moving(part) and item.target != move.destination:
                parts.append(part)
        return parts

    async def _give_vacant(self, vacant: list[tuple[KeyRange, str]]) -> None:
        """Give ranges without an owner to targets with one write of the record."""
        try:
            items = await self._assign_all(vacant)
            async with trio.open_nursery() as nursery:
                for (part, _), item in zip(vacant, items, strict=False):
                    target = self._state.usable(item.target)
                    if target is not None:
                        nursery.start_soon(self._grant_until_taken, part, target, item)
        finally:
            for part, _ in vacant:
                self._moving.pop((part.first, part.last), None)

    async def _assign_all(self, vacant: list[tuple[KeyRange, str]]) -> list[KeyRange]:
        def change(record: RangeRecord) -> RangeRecord:
            for part, destination in vacant:
                target = self._state.usable(destination)
                if target is not None:
                    record = record.assign(
                        part.first, part.last, target.id, target.started_at
                    )
            return record

        record = await self.writer.change(change)
        if record is None:
            return []
        return [_granted(record, part, "") for part, _ in vacant]

    async def _move(self, part: KeyRange, destination: str) -> None:
        try:
            handover = await self._take_from(part)
            if handover is None or not self.may_act():
                return
            await self._give(part, destination, handover)
        finally:
            self._moving.pop((part.first, part.last), None)

    async def _take_from(self, part: KeyRange) -> str | None:
        """End a target's hold on a range; return the handover, None if in vain."""
        target = self._state.targets_by_id.get(part.target)
        if self._is_succeeded(part, target):
            self._ledger.forget(part.target)
            return ""
        contact = self._contact(part.target)
        last = target or self._state.last_records_by_target.get(part.target)
        address = last.address if last is not None else ""
        self._freeze(part)
        # Grants of an earlier coordinator may be carried out late.
        fenced = self._clock() >= self._ledger.free_after_silence(
            "", self._others_act_until
        )
        async with contact.lock:
            if not fenced and last is not None:
                part, fenced = await self._fence_off(part, last, contact)
        while self.may_act():
            if address:
                handover = await self._release(part, address)
                if handover is not None and not fenced:
                    # An earlier coordinator may still renew this grant.
                    async with contact.lock:
                        part, fenced = await self._fence_off(part, last, contact)
                    if fenced:
                        continue
                if handover is not None:
                    free_at = self._free_after_release(part, fenced)
                    await trio.sleep(max(0.0, free_at - self._clock()))
                    return handover
            free_at = self._ledger.free_after_silence(
                part.target, self._others_act_until
            )
            if free_at <= self._clock():
                return ""
            if self._is_succeeded(part, self._state.targets_by_id.get(part.target)):
                return ""
            await trio.sleep(min(RELEASE_RETRY, max(0.01, free_at - self._clock())))
        return None

    def _free_after_release(self, part: KeyRange, fenced: bool) -> float:
        if fenced:
            return self._ledger.free_after_release(part.target, self._clock())
        return self._ledger.free_after_silence(part.target, self._others_act_until)

    async def _fence_off(
        self, part: KeyRange, target: TargetRecord, contact: _TargetContact
    ) -> tuple[KeyRange, bool]:
        """Give the range to its owner under a new fence.

        The target then refuses what an earlier coordinator may still send.
        """
        item = await self._assign(part, target, "")
        if item is None:
            return part, False
        return item, await self._grant(target, item, contact)

    def _is_succeeded(self, part: KeyRange, target: TargetRecord | None) -> bool:
        """Tell whether the process that holds a range is known to have ended."""
        if target is not None:
            # The hold ended with the earlier process.
            return target.started_at != part.started_at
        known = self._state.last_records_by_target.get(part.target)
        if known is None:
            return False
        # An address is given to another target only after its last one has ended.
        return any(
            other.address == known.address and other.started_at > part.started_at
            for other in self._state.targets_by_id.values()
        )

    async def _release(self, part: KeyRange, address: str) -> str | None:
        try:
            handover = await self._control.release(address, part, RELEASE_TIMEOUT)
        except (ConnectionFailedError, trio.TooSlowError):
            return None
        emit(
            RANGE_RELEASED,
            service=self.service,
            first=part.first,
            last=part.last,
            target=part.target,
            fence=part.fence,
            handover=bool(handover),
        )
        return handover

    def _freeze(self, part: KeyRange) -> None:
        """Let all instances hold back requests for a range until it has moved.

        The moves of one plan begin together, and are told in one message.
        """
        if not self._freezing:
            self._start_task(self._tell_frozen)
        self._freezing.append((part.first, part.last))

    async def _tell_frozen(self) -> None:
        frozen, self._freezing = self._freezing, []
        seconds = self._ledger.timing.longest + FREEZE_SLACK
        until = trio.current_time() + seconds
        for first, last in frozen:
            self._state.freeze(FrozenRange(self.service, first, last, until))
        self._mesh.broadcast(RangesFrozen(self.service, frozen, seconds))

    async def _give(self, part: KeyRange, destination: str, handover: str) -> None:
        target = self._state.usable(destination)
        if target is None:
            # The plan is out of date; the keys get an owner with the next one.
            await self.writer.change(
                lambda record: record.assign(part.first, part.last, "")
            )
            return
        item = await self._assign(part, target, handover)
        if item is not None:
            await self._grant_until_taken(part, target, item)

    async def _assign(
        self, part: KeyRange, target: TargetRecord, handover: str
    ) -> KeyRange | None:
        """Write a new owner and return the range as it is to be granted."""
        record = await self.writer.change(
            lambda record: record.assign(
                part.first, part.last, target.id, target.started_at
            )
        )
        if record is None:
            return None
        return _granted(record, part, handover)

    async def _grant_until_taken(
        self, part: KeyRange, target: TargetRecord, item: KeyRange
    ) -> None:
        contact = self._contact(target.id)
        async with contact.lock:
            while self.may_act() and not contact.silent:
                if await self._grant(target, item, contact):
                    break
                await trio.sleep(RETRY_INTERVAL / 4)
        emit(
            RANGE_GIVEN,
            service=self.service,
            first=part.first,
            last=part.last,
            source=part.target,
            target=target.id,
            fence=item.fence,
            handover=bool(item.handover),
        )


def _granted(record: RangeRecord, part: KeyRange, handover: str) -> KeyRange:
    """Return a part under the fence of the range that holds it in the record."""
    return attrs.evolve(
        record.owner(part.first),
        first=part.first,
        last=part.last,
        handover=handover,
    )
