"""Run the group coordinators of this instance."""

from collections.abc import Callable, Mapping
from contextlib import suppress

import attrs
import trio

from fireflystand_core.exceptions import FireflystandError
from fireflystand_core.groups import (
    Action,
    AskStatus,
    ClaimPublished,
    GroupCoordinator,
    GroupIdentity,
    GroupRecord,
    ReadRecord,
    RequestSeal,
    SendGrant,
    Started,
    Stopped,
    TargetChanged,
    TargetInfo,
    WriteRecord,
)
from fireflystand_core.messages import (
    HandOver,
    HandOverReply,
    Seal,
    Sealed,
    WitnessReply,
)
from fireflystand_core.sharding import candidate_order, coordinator_witnesses

from .claim_items import claim_item_key, claim_item_text, record_key
from .claim_timing import ClaimTiming
from .group_callbacks import GroupCallbacks, LiveInstance
from .group_targets import group_names, group_shards, group_targets
from .target_calls import TargetCalls
from .target_control import TargetControl
from .view import ClusterView
from .witness_host import WitnessHost

__all__ = ["GroupCallbacks", "GroupHost", "LiveInstance"]

TICK = 0.05  # seconds
SEAL_TIMEOUT = 0.3  # seconds
HAND_OVER_TIMEOUT = 1.0  # seconds
# A store that takes 2 s a call is slow for every instance, so that a hand-over
# would only add calls.
STORE_PATIENCE = 2.5  # seconds that a needed write may wait before a hand-over

GroupName = tuple[str, int]


@attrs.define(eq=False)
class _Held:
    coordinator: GroupCoordinator
    handed_state: dict[str, bytes] | None
    decided: trio.Event = attrs.field(factory=trio.Event)
    asking: set[str] = attrs.field(factory=set)  # targets


class GroupHost:
    """Claim groups, carry out what their coordinators ask for and hand them over.

    ``publish(key, version, value)`` takes a feed item whose value is JSON text.
    """

    def __init__(
        self,
        network,
        store,
        view: ClusterView,
        witnesses: WitnessHost,
        callbacks: GroupCallbacks,
        publish: Callable[[str, int, str], None],
        live_instances: Callable[[], Mapping[str, LiveInstance]],
        make_control: Callable[[str, str], TargetControl] = TargetControl,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._network = network
        self._store = store
        self._view = view
        self._witnesses = witnesses
        self._callbacks = callbacks
        self._publish = publish
        self._live_instances = live_instances
        self._calls = TargetCalls(view, make_control, clock, callbacks)
        self._clock = clock
        self._held: dict[GroupName, _Held] = {}
        self._claiming: set[GroupName] = set()
        self._timing = ClaimTiming(network.hello.instance, witnesses.witness, view)
        self._leaving = False
        self._nursery: trio.Nursery | None = None
        self._scope = trio.CancelScope()
        self._infos_by_group: dict[GroupName, list[TargetInfo]] = {}
        witnesses.holder = self
        view.listeners.append(self._note_change)
        network.handle(HandOver, self._take_over)

    def start(self, nursery: trio.Nursery) -> None:
        """Begin to claim and coordinate groups."""
        self._nursery = nursery
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Hand every group over and stop."""
        self._leaving = True
        async with trio.open_nursery() as nursery:
            for name in list(self.active_coordinators()):
                nursery.start_soon(self.hand_over, name)
        self._scope.cancel()
        await self._calls.close()

    def coordinator(self, service: str, group: int) -> GroupCoordinator | None:
        """Return the active coordinator of a group, if it is here."""
        return self.active_coordinators().get((service, group))

    def active_coordinators(self) -> dict[GroupName, GroupCoordinator]:
        """Return the coordinators whose claims are in force."""
        return {
            name: held.coordinator
            for name, held in self._held.items()
            if held.coordinator.phase == "active"
        }

    def _note_change(self, key: str) -> None:
        if key.partition("/")[0] in ("config", "data-centres", "targets"):
            self._infos_by_group.clear()

    def _targets_of(self, name: GroupName) -> list[TargetInfo]:
        if name not in self._infos_by_group:
            self._infos_by_group[name] = group_targets(self._view, *name)
        return self._infos_by_group[name]

    async def _run(self) -> None:
        with self._scope:
            while True:
                if self._view.deployment is not None:
                    self._tick()
                await trio.sleep(TICK)

    def _tick(self) -> None:
        now = self._clock()
        live = dict(self._live_instances())
        for name, held in list(self._held.items()):
            coordinator = held.coordinator
            coordinator.set_targets(self._targets_of(name), now)
            coordinator.set_instances(
                {i: entry.incarnation for i, entry in live.items()},
                {i: entry.data_centre for i, entry in live.items()},
            )
            self._perform(name, held, coordinator.tick(now))
            self._consider_hand_over(name, coordinator, live, now)
        incarnations = {i: entry.incarnation for i, entry in live.items()}
        for name in group_names(self._view.deployment):
            if name in self._held or name in self._claiming or self._leaving:
                continue
            if self._timing.should_claim(name, incarnations, now):
                self._claiming.add(name)
                self._nursery.start_soon(self._claim, name)

    def _consider_hand_over(self, name, coordinator, live, now) -> None:
        blocked = coordinator.store_blocked_for(now) > STORE_PATIENCE
        if coordinator.phase != "active" or not blocked:
            return
        own = self._network.hello.instance
        witnesses = [w for w in coordinator.witnesses if w != own]
        if any(w in live and live[w].reaches_store for w in witnesses):
            self._nursery.start_soon(self.hand_over, name)

    # Claims

    async def _claim(
        self,
        name: GroupName,
        handed_epoch: int | None = None,
        state: dict[str, bytes] | None = None,
    ) -> _Held | None:
        try:
            found = await self._store.get(record_key(name))
        except FireflystandError:
            return None
        finally:
            self._claiming.discard(name)
        record = None if found is None else GroupRecord.from_value(found.value)
        version = 0 if found is None else found.version
        if handed_epoch is None and self._is_news(name, record, version):
            return None
        if name in self._held:
            return None
        return self._begin(name, record, version, handed_epoch, state)

    def _is_news(self, name, record: GroupRecord | None, version: int) -> bool:
        claim = self._view.claims_by_group.get(name)
        if record is None or (claim is not None and claim.epoch >= record.epoch):
            return False
        self._publish(claim_item_key(name), version, claim_item_text(name, record))
        return True

    def _begin(self, name, record, version, handed_epoch, state) -> _Held | None:
        now = self._clock()
        hello = self._network.hello
        witnesses = self._choose_witnesses(name, record, handed_epoch is not None)
        settings = self._view.deployment.services_by_id.get(name[0])
        identity = GroupIdentity(
            *name,
            group_shards(settings, name[1]),
            hello.instance,
            hello.incarnation,
            settings.shards if settings else 0,
            settings.groups if settings else 1,
            max_deadline=settings.max_deadline if settings else 60.0,
        )
        coordinator = GroupCoordinator(
            identity,
            permits_pending=lambda target, shard, at: self._callbacks.permits_pending(
                *name, target, shard, at
            ),
        )
        held = self._held[name] = _Held(coordinator, state)
        targets = self._targets_of(name)
        actions = coordinator.claim(
            record, version, witnesses, targets, now, handed_epoch
        )
        self._perform(name, held, actions)
        return held

    def _choose_witnesses(
        self, name: GroupName, record: GroupRecord | None, handed: bool
    ) -> dict[str, str]:
        own = self._network.hello.instance
        live = self._live_instances()
        known = dict(record.witnesses) if record else {}
        known |= {i: entry.incarnation for i, entry in live.items()}
        centres = {i: entry.data_centre for i, entry in live.items()}
        if record and not handed and record.coordinator != own:
            centres.pop(record.coordinator, None)
        spare = record.witnesses if record else ()
        chosen = coordinator_witnesses(*name, own, centres, spare=spare)
        return {i: known[i] for i in chosen}

    # Actions

    def _perform(self, name: GroupName, held: _Held, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Started():
                    held.decided.set()
                    self._callbacks.on_group_started(
                        *name, held.coordinator, held.handed_state
                    )
                case Stopped():
                    self._stop(name, held)
                case ClaimPublished(version=version):
                    text = claim_item_text(name, held.coordinator.record)
                    self._publish(claim_item_key(name), version, text)
                    self._witnesses.wake()
                case TargetChanged(target=target, reason=reason):
                    self._callbacks.on_target_changed(*name, target, reason)
                case WriteRecord():
                    self._nursery.start_soon(self._write, name, held, action)
                case ReadRecord():
                    self._nursery.start_soon(self._read, name, held)
                case RequestSeal():
                    self._nursery.start_soon(self._seal, name, held, action)
                case AskStatus(target=target):
                    if target not in held.asking:
                        self._nursery.start_soon(self._call, name, held, target, None)
                case SendGrant(target=target):
                    self._nursery.start_soon(self._call, name, held, target, action)

    async def _call(self, name, held: _Held, target, grant: SendGrant | None) -> None:
        held.asking.add(target)
        try:
            call = self._calls.exchange
            actions = await call(name, held.coordinator, target, grant)
        finally:
            held.asking.discard(target)
        self._perform(name, held, actions)

    def perform(self, service: str, group: int, actions: list[Action]) -> None:
        """Carry out what a coordinator of this host asks for."""
        held = self._held.get((service, group))
        if held is not None:
            self._perform((service, group), held, actions)

    def _stop(self, name: GroupName, held: _Held) -> None:
        held.decided.set()
        if self._held.get(name) is held:
            del self._held[name]
            self._callbacks.on_group_stopped(*name)

    async def _write(self, name, held: _Held, action: WriteRecord) -> None:
        operation = action.record.operation_id
        value = action.record.to_value()
        try:
            version = await self._store.put(
                record_key(name), value, action.expected_version
            )
        except FireflystandError:
            actions = held.coordinator.write_failed(operation, self._clock())
        else:
            actions = held.coordinator.written(operation, version, self._clock())
        self._perform(name, held, actions)

    async def _read(self, name, held: _Held) -> None:
        try:
            found = await self._store.get(record_key(name))
        except FireflystandError:
            actions = held.coordinator.read_failed(self._clock())
        else:
            record = None if found is None else GroupRecord.from_value(found.value)
            version = 0 if found is None else found.version
            actions = held.coordinator.read(record, version, self._clock())
        self._perform(name, held, actions)

    async def _seal(self, name, held: _Held, action: RequestSeal) -> None:
        request = Seal(*name, action.epoch)
        incarnation = self.listening_incarnation(action.witness)
        try:
            answer = await self._witnesses.request(
                action.witness, request, SEAL_TIMEOUT
            )
        except FireflystandError as error:
            if getattr(error, "refused", False):
                self.instance_died(action.witness, incarnation)
            return
        if isinstance(answer, Sealed):
            actions = held.coordinator.sealed(
                answer.witness,
                answer.incarnation,
                answer.epoch,
                answer.confirmed_age,
                answer.unjournaled,
                self._clock(),
            )
            self._perform(name, held, actions)

    # Witnesses

    def witness_answered(self, reply: WitnessReply, asked_at: float) -> None:
        """Take over which claims a witness confirmed."""
        now = self._clock()
        for claim in reply.confirmed:
            held = self._held.get((claim.service, claim.group))
            if held is not None:
                actions = held.coordinator.confirmed(
                    reply.witness, reply.incarnation, claim.epoch, asked_at, now
                )
                self._perform((claim.service, claim.group), held, actions)
        for claim in reply.higher:
            held = self._held.get((claim.service, claim.group))
            if held is not None:
                actions = held.coordinator.higher_epoch(claim.epoch, now)
                self._perform((claim.service, claim.group), held, actions)

    def listening_incarnation(self, instance: str) -> str | None:
        """Return the process known to listen at the address in use."""
        entry = self._live_instances().get(instance)
        address = self._network.addresses_by_id.get(instance)
        if entry is None or not address or entry.address != address:
            return None
        return entry.incarnation

    def instance_died(self, instance: str, incarnation: str | None) -> None:
        """Take over that a process that listened refuses connections."""
        if incarnation is None:
            return
        now = self._clock()
        for name, held in list(self._held.items()):
            actions = held.coordinator.instance_died(instance, incarnation, now)
            self._perform(name, held, actions)

    # Hand-over

    async def hand_over(self, name: GroupName) -> bool:
        """Give a group to a live witness and tell whether it was taken."""
        held = self._held.get(name)
        if held is None or held.coordinator.phase != "active":
            return False
        epoch = held.coordinator.epoch
        live = self._live_instances()
        own = self._network.hello.instance
        reachable = [w for w in held.coordinator.witnesses if w in live and w != own]
        reaching = [w for w in reachable if live[w].reaches_store] or reachable
        actions = held.coordinator.give_up()
        state = self._callbacks.collect_state(*name)
        self._perform(name, held, actions)
        for successor in candidate_order(*name, reaching):
            with suppress(FireflystandError):
                message = HandOver(*name, epoch, state)
                reply = await self._network.request(
                    successor, message, HAND_OVER_TIMEOUT
                )
                if isinstance(reply, HandOverReply) and reply.accepted:
                    return True
        return False

    async def _take_over(self, message: HandOver, link) -> HandOverReply:
        name = (message.service, message.group)
        if self._leaving or name in self._held:
            return HandOverReply(False, reason="leaving or already coordinating")
        held = await self._claim(name, message.epoch, message.state)
        if held is None:
            return HandOverReply(False, reason="the store did not answer")
        with trio.move_on_after(HAND_OVER_TIMEOUT):
            await held.decided.wait()
        accepted = held.coordinator.phase == "active"
        return HandOverReply(accepted, held.coordinator.epoch)
