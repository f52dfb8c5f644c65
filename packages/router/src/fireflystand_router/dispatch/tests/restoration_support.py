"""Run instances that share a store which is restored from earlier copies."""

from collections.abc import Collection
from contextlib import suppress

import attrs
import trio
import trio.testing

from fireflystand_core.exceptions import StoreUnavailableError
from fireflystand_core.messages import CoordinatorResigned
from fireflystand_core.ranges import (
    KEY_SPACE,
    KeyRange,
    RangeRecord,
    apply_patch,
    make_patch,
)
from fireflystand_core.replica import ObjectChange

from ...http_client import ConnectionFailedError
from ..ports import INSTANCES, RANGES, GrantRefusedError
from ..ranges import RangeCoordinator
from .support import SERVICE, FakeCluster, FakeControl, FakeMembership, FakeTarget

THAW_PERIOD = 0.3  # seconds in which an instance's grants after a freeze do not count
DETECTION_TIME = 1.3  # seconds until a silent instance is declared dead
SYNC_INTERVAL = 0.25  # seconds between two lists of the ranges by an instance
MAX_TOKEN = 2**53


class CheckingControl(FakeControl):
    """Check each grant against all keys and tokens of the other targets."""

    def _check_owner(self, target: FakeTarget, item: KeyRange) -> None:
        now = trio.current_time()
        keys = f"{item.first}-{item.last}"
        if item.fence >= MAX_TOKEN:
            self.violations.append(f"{now:.2f}: token {item.fence} is too large")
        for other in self.targets_by_id.values():
            if other is target:
                continue
            if other.max_fence(item.first, item.last) >= item.fence:
                self.violations.append(
                    f"{now:.2f}: {target.id} got {keys} with token {item.fence}, "
                    f"not above that of {other.id}"
                )
            if any(
                first <= item.last and item.first <= last and until > now
                for first, last, _, until in other.leases
            ):
                self.violations.append(
                    f"{now:.2f}: {target.id} got {keys}, held by {other.id}"
                )


@attrs.define(eq=False)
class Instance:
    """Hold an instance of the cluster, which can be frozen."""

    id: str
    incarnation: str
    coordinator: RangeCoordinator | None = None
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    frozen_since: float | None = None
    cut_since: float | None = None  # from its peers
    reaches_store: bool = True
    unreachable_targets: set[str] = attrs.field(factory=set)
    hears_peers: bool = True  # heartbeats and registrations
    thawed_at: float = float("-inf")
    thawed: trio.Event = attrs.field(factory=trio.Event)

    async def wait_while_frozen(self) -> None:
        """Wait until the instance is not frozen."""
        while self.frozen_since is not None:
            await self.thawed.wait()

    def is_silent(self) -> bool:
        """Tell whether the others have declared the instance dead."""
        now = trio.current_time()
        return any(
            since is not None and now - since > DETECTION_TIME
            for since in (self.frozen_since, self.cut_since)
        )


class InstanceStore:
    """Call the store for an instance."""

    def __init__(self, cluster: "RestorationCluster", instance: Instance) -> None:
        self._store = cluster.store
        self._instance = instance

    async def _call(self, function, *arguments):
        await self._instance.wait_while_frozen()
        if not self._instance.reaches_store:
            raise StoreUnavailableError("cut off", step="call")
        try:
            return await function(*arguments)
        finally:
            await self._instance.wait_while_frozen()

    async def get(self, kind, name):
        return await self._call(self._store.get, kind, name)

    async def put(self, kind, name, value, version):
        return await self._call(self._store.put, kind, name, value, version)

    async def list(self, kind):
        return await self._call(self._store.list, kind)


class InstanceControl:
    """Call the targets for an instance; grants just after a freeze have no effect."""

    def __init__(self, cluster: "RestorationCluster", instance: Instance) -> None:
        self._control = cluster.control
        self._instance = instance

    async def _connect(self, address: str) -> None:
        await self._instance.wait_while_frozen()
        if address in self._instance.unreachable_targets:
            raise ConnectionFailedError(
                "no response", step="connect", peer=address, refused=False
            )

    async def grant(self, address: str, item: KeyRange, lease: float) -> None:
        await self._connect(address)
        if trio.current_time() - self._instance.thawed_at < THAW_PERIOD:
            await trio.sleep(self._control.grant_time)
            target = self._control.targets_by_id[address]
            if target.max_fence(item.first, item.last) > item.fence:
                raise GrantRefusedError(target.id)
            return
        await self._control.grant(address, item, lease)

    async def reach(self, address: str, target: str) -> None:
        await self._connect(address)
        await self._control.reach(address, target)

    async def release(self, address: str, item: KeyRange, timeout: float) -> str:
        await self._connect(address)
        handover = await self._control.release(address, item, timeout)
        await self._instance.wait_while_frozen()
        return handover


class FreezableCoordinator(RangeCoordinator):
    """Stand still while the instance is frozen; count the confirmations."""

    instance: Instance
    confirmations = 0

    async def _confirm(self) -> None:
        await super()._confirm()
        self.confirmations += not self.writer.is_failing

    async def _coordinate(self) -> None:
        await self.instance.wait_while_frozen()
        if self.is_coordinator:
            await super()._coordinate()

    async def _claim_if_due(self) -> None:
        await self.instance.wait_while_frozen()
        await super()._claim_if_due()


@attrs.define(eq=False)
class ClusterMembership(FakeMembership):
    """Rank the instances by their ids and send their messages to each other."""

    cluster: "RestorationCluster | None" = None

    def rank(self, name: str) -> int:
        return sorted(self.live).index(self.own_id)

    def broadcast(self, message: object) -> None:
        if isinstance(message, CoordinatorResigned):
            for peer in self.cluster.peers_of(self.own_id):
                peer.coordinator.record_resignation(message.epoch)


class RestorationCluster(FakeCluster):
    """Run instances on a store that is restored; ``nursery`` runs their tasks."""

    def __init__(self, nursery: trio.Nursery, targets: int = 4) -> None:
        super().__init__(targets)
        self.control = CheckingControl(self.targets)
        self.instances_by_id: dict[str, Instance] = {}
        self.whole_shares = 0  # number of records sent as a whole
        self._cut_targets: set[str] = set()
        self._starts = 0
        self._began_at = float("-inf")  # when the first instances started
        self._nursery = nursery
        nursery.start_soon(self._follow_membership)

    def start(self, own_id: str) -> Instance:
        """Start a process of an instance."""
        self._starts += 1
        if self._starts == 1:
            self._began_at = trio.current_time()
        instance = Instance(own_id, f"{own_id}{self._starts}")
        membership = ClusterMembership(
            own_id=own_id,
            incarnation=instance.incarnation,
            live=[own_id],
            cluster=self,
        )
        coordinator = self.new_coordinator(
            own_id,
            kind=FreezableCoordinator,
            membership=membership,
            store=InstanceStore(self, instance),
            control=InstanceControl(self, instance),
            share=lambda change, before: self._share(instance, change, before),
            is_first_start=trio.current_time() == self._began_at,
        )
        coordinator.instance = instance
        instance.coordinator = coordinator
        self.instances_by_id[own_id] = instance
        self._update_cut_targets(instance)
        self.store.write_registration(own_id, instance.incarnation)
        self._update_membership()
        self._nursery.start_soon(self._run, instance)
        return instance

    def kill(self, own_id: str) -> None:
        """End the process of an instance."""
        instance = self.instances_by_id.pop(own_id)
        instance.scope.cancel()
        self._update_membership()

    def freeze(self, own_id: str) -> None:
        """Freeze the process of an instance."""
        self.instances_by_id[own_id].frozen_since = trio.current_time()

    def thaw(self, own_id: str) -> None:
        """Let a frozen process go on."""
        instance = self.instances_by_id[own_id]
        instance.frozen_since = None
        instance.thawed_at = trio.current_time()
        instance.thawed.set()
        instance.thawed = trio.Event()

    def cut(
        self, own_id: str, *, from_store: bool = False, refuses: bool = False
    ) -> None:
        """Cut an instance off from its peers, but not from the targets.

        A cut that ``refuses`` connections is noticed at once, as the end of a process.
        """
        instance = self.instances_by_id[own_id]
        instance.cut_since = trio.current_time()
        if refuses:
            instance.cut_since -= 2 * DETECTION_TIME
        instance.reaches_store = not from_store
        self._update_membership()

    def heal(self, own_id: str) -> None:
        """Let an instance reach its peers again."""
        instance = self.instances_by_id[own_id]
        instance.cut_since, instance.reaches_store = None, True

    def cut_targets(self, targets: Collection[str], *, reached_by: str = "") -> None:
        """Cut targets off from the store and from all instances but one."""
        self._cut_targets.update(targets)
        for instance in self.instances_by_id.values():
            if instance.id != reached_by:
                self._update_cut_targets(instance)

    def heal_targets(self) -> None:
        """Let all instances reach all targets again, and the targets the store."""
        for instance in self.instances_by_id.values():
            instance.unreachable_targets.clear()
            for target in self._cut_targets:
                self.add_target_record(instance.coordinator, target)
        self._cut_targets.clear()

    def _update_cut_targets(self, instance: Instance) -> None:
        instance.unreachable_targets |= self._cut_targets
        for target in self._cut_targets:
            self.remove_target_record(instance.coordinator, target)

    def coordinator(self) -> Instance | None:
        """Return the instance that coordinates, if it is the only one."""
        found = [
            instance
            for instance in self.instances_by_id.values()
            if instance.coordinator.is_coordinator and instance.frozen_since is None
        ]
        return found[0] if len(found) == 1 else None

    def peers_of(self, own_id: str) -> list[Instance]:
        """Return the instances to which an instance sends its messages."""
        sender = self.instances_by_id.get(own_id)
        if sender is None or sender.cut_since is not None:
            return []
        return [
            peer
            for peer in self.instances_by_id.values()
            if peer.id in sender.coordinator.membership.live
            and peer is not sender
            and peer.cut_since is None
        ]

    def set_usable(self, target: str, usable: bool) -> None:
        """Add or remove the record of a target at all instances."""
        for instance in self.instances_by_id.values():
            if usable:
                self.add_target_record(instance.coordinator, target)
            else:
                self.remove_target_record(instance.coordinator, target)

    async def restore(self, seconds: float, *, outage: float = 0.0) -> None:
        """Let the store be away and come back from an earlier copy."""
        self.store.down = True
        await trio.sleep(outage)
        self.store.restore(outage + seconds)
        for instance in self.instances_by_id.values():
            self.store.write_registration(instance.id, instance.incarnation)
        self.store.down = False

    def unowned_keys(self) -> list[int]:
        """Return those of some keys that have no owner, or several."""
        keys = range(0, KEY_SPACE, 997)
        return [key for key in keys if len(self.owners(key)) != 1]

    async def _run(self, instance: Instance) -> None:
        with instance.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(instance.coordinator.run)
                nursery.start_soon(self._sync, instance)

    async def _sync(self, instance: Instance) -> None:
        """Keep the replica of the ranges current."""
        store, state = InstanceStore(self, instance), instance.coordinator.state
        while True:
            with suppress(StoreUnavailableError):
                now = trio.current_time()
                found = await store.list(RANGES)
                state.replace(RANGES, found.revision, found.items, now)
            await trio.sleep(SYNC_INTERVAL)

    def _share(
        self, sender: Instance, change: ObjectChange, before: ObjectChange | None
    ) -> None:
        self.whole_shares += before is None
        for peer in self.peers_of(sender.id):
            self._nursery.start_soon(self._deliver, peer, change, before)

    async def _deliver(
        self, peer: Instance, change: ObjectChange, before: ObjectChange | None
    ) -> None:
        await trio.sleep(0.001)
        await peer.wait_while_frozen()
        state = peer.coordinator.state
        known = state.replicas_by_kind[RANGES].by_name.get(change.name)
        if before and known and known.version == before.version:
            patch = make_patch(before.value, change.value)
            change = attrs.evolve(change, value=apply_patch(known.value, patch))
        never = float("-inf")
        state.apply(RANGES, change.version, change.version, [change], never)

    async def _follow_membership(self) -> None:
        while True:
            self._update_membership()
            await trio.sleep(0.1)

    def _update_membership(self) -> None:
        for instance in self.instances_by_id.values():
            if instance.frozen_since is None and instance.hears_peers:
                self._update_members_of(instance)

    def _update_members_of(self, instance: Instance) -> None:
        membership, state = instance.coordinator.membership, instance.coordinator.state
        membership.live = [instance.id]
        found = self.store.snapshot(INSTANCES)
        if found.revision > state.replicas_by_kind[INSTANCES].revision:
            state.replace(INSTANCES, found.revision, found.items, 0.0)
        for other in self.instances_by_id.values():
            if other is instance:
                continue
            if not other.is_silent() and not instance.is_silent():
                membership.live.append(other.id)
                membership.incarnations_by_id[other.id] = other.incarnation
                membership.unreachable_since_by_id.pop(other.id, None)

    def records(self) -> list[RangeRecord | None]:
        """Return the records that the instances route by."""
        return [
            instance.coordinator.state.records_by_service.get(SERVICE)
            for instance in self.instances_by_id.values()
        ]

    def stored(self) -> RangeRecord | None:
        """Return the stored range record, or None if there is none."""
        known = self.store.objects.get((RANGES, SERVICE))
        return known and RangeRecord.from_value(known.value)

    def stored_number(self) -> int:
        """Return the store's number of the range record."""
        return self.store.objects[RANGES, SERVICE].version


def run_scenario(scenario, targets: int = 4) -> None:
    """Run a scenario on a cluster, with a clock that skips waits."""

    async def main():
        async with trio.open_nursery() as nursery:
            await scenario(RestorationCluster(nursery, targets))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
