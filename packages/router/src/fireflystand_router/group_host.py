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
from fireflystand_core.sharding import candidate_order

from .claim_items import claim_item_key, claim_item_text
from .claim_timing import ClaimTiming
from .group_callbacks import GroupCallbacks, LiveInstance
from .group_claims import claim_witnesses, group_identity
from .group_moves import GroupMoves
from .group_reports import GroupReports
from .group_targets import group_names, group_targets
from .record_calls import RecordCalls
from .target_calls import TargetCalls
from .target_control import TargetControl
from .view import ClusterView
from .witness_host import WitnessHost

__all__ = ["GroupCallbacks", "GroupHost", "LiveInstance"]

TICK = 0.05  # seconds
SEAL_TIMEOUT = 0.3  # seconds
HAND_OVER_TIMEOUT = 1.0  # seconds

GroupName = tuple[str, int]


@attrs.define(eq=False)
class _Held:
    coordinator: GroupCoordinator
    handed_state: dict[str, bytes] | None
    predecessor: str | None = None  # the lost coordinator, if any
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
        has_met_peers: Callable[[], bool] = lambda: True,
        reports: GroupReports | None = None,
    ) -> None:
        self._has_met_peers = has_met_peers
        self._reports = reports or GroupReports()
        self._network = network
        self._records = RecordCalls(store, self._reports, clock)
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
        self._moves = GroupMoves(
            self, network, store, self._calls, live_instances, clock
        )
        witnesses.holder = self
        view.listeners.append(self._note_change)
        network.set_handler(HandOver, self._take_over)

    def start(self, nursery: trio.Nursery) -> None:
        """Begin to claim and coordinate groups."""
        self._nursery = nursery
        nursery.start_soon(self._run)
        nursery.start_soon(self._moves.run)

    async def close(self) -> None:
        """Hand every group over and stop."""
        self._leaving = True
        self._moves.close()
        async with trio.open_nursery() as nursery:
            for name in list(self.active_coordinators()):
                nursery.start_soon(self.hand_over, name, None, "planned stop")
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

    def targets_of(self, name: GroupName) -> list[TargetInfo]:
        """Return the declared targets of a group."""
        if self._view.deployment is None:
            return []
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
            coordinator.set_targets(self.targets_of(name), now)
            coordinator.set_instances(
                {i: entry.incarnation for i, entry in live.items()},
                {i: entry.data_centre for i, entry in live.items()},
            )
            self._perform(name, held, coordinator.tick(now))
            if coordinator.phase == "active":
                self._reports.note_authority(name, coordinator, now)
        self._reports.coordinating(len(self.active_coordinators()))
        incarnations = {i: entry.incarnation for i, entry in live.items()}
        for name in group_names(self._view.deployment):
            if name in self._held or name in self._claiming or self._leaving:
                continue
            met = self._has_met_peers()
            if self._timing.should_claim(name, incarnations, now, met):
                self._claiming.add(name)
                self._nursery.start_soon(self._claim, name)

    # Claims

    async def _claim(
        self,
        name: GroupName,
        handed_epoch: int | None = None,
        state: dict[str, bytes] | None = None,
    ) -> _Held | None:
        try:
            record, version = await self._records.load(name)
        except FireflystandError:
            return None
        finally:
            self._claiming.discard(name)
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
        handed = handed_epoch is not None
        live = self._live_instances()
        witnesses = claim_witnesses(name, hello.instance, live, record, handed)
        settings = self._view.deployment.services_by_id.get(name[0])
        identity = group_identity(name, settings, hello)
        coordinator = GroupCoordinator(
            identity,
            permits_pending=lambda target, shard, at: self._callbacks.permits_pending(
                *name, target, shard, at
            ),
        )
        predecessor = record.coordinator if record and not handed else None
        held = self._held[name] = _Held(coordinator, state, predecessor)
        targets = self.targets_of(name)
        actions = coordinator.claim(
            record, version, witnesses, targets, now, handed_epoch
        )
        self._perform(name, held, actions)
        return held

    # Actions

    def _perform(self, name: GroupName, held: _Held, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Started():
                    held.decided.set()
                    self._reports.claimed(
                        name, held.coordinator.epoch, held.predecessor
                    )
                    self._callbacks.on_group_started(
                        *name, held.coordinator, held.handed_state
                    )
                case Stopped(reason=reason):
                    self._reports.ended(name, reason)
                    self._stop(name, held)
                case ClaimPublished(version=version):
                    text = claim_item_text(name, held.coordinator.record)
                    self._publish(claim_item_key(name), version, text)
                    self._witnesses.wake()
                case TargetChanged(target=target, reason=reason):
                    self._reports.target_changed(reason)
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
        actions = await self._records.write(name, held.coordinator, action)
        self._perform(name, held, actions)

    async def _read(self, name, held: _Held) -> None:
        actions = await self._records.read(name, held.coordinator)
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
        self._reports.instance_died(instance, incarnation)
        for name, held in list(self._held.items()):
            actions = held.coordinator.instance_died(instance, incarnation, now)
            self._perform(name, held, actions)

    # Hand-over

    async def hand_over(
        self,
        name: GroupName,
        successors: list[str] | None = None,
        reason: str = "asked for",
    ) -> bool:
        """Give a group to another instance and tell whether it was taken.

        Live witnesses are tried after ``successors``.
        """
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
        first = successors or []
        others = [w for w in candidate_order(*name, reaching) if w not in first]
        for successor in [*first, *others]:
            with suppress(FireflystandError):
                message = HandOver(*name, epoch, state)
                reply = await self._network.request(
                    successor, message, HAND_OVER_TIMEOUT
                )
                if isinstance(reply, HandOverReply) and reply.accepted:
                    self._reports.handed_over(name, successor, reason)
                    return True
        self._reports.hand_over_refused(name, reason)
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
