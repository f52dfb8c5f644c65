"""Fakes of the store, the targets and the peers of a coordinator of key ranges."""

from contextlib import suppress

import attrs
import trio

from fireflystand_core.exceptions import StoreConflictError, StoreUnavailableError
from fireflystand_core.ranges import KeyRange, LeaseTiming, RangeRecord
from fireflystand_core.replica import (
    ObjectChange,
    era_of,
    make_revision,
    number_of,
)
from fireflystand_core.traffic import EntryLimits, RoutingTable, TargetRecord

from ...http_client import ConnectionFailedError
from ..ports import INSTANCES, RANGES, TARGETS, GrantRefusedError, KindSnapshot
from ..ranges import RangeCoordinator
from ..state import RoutingState

SERVICE = "orders"


class FakeStore:
    """Store objects with versions; simulate outages, lost responses and restorations.

    ``objects`` and ``history`` hold the store's own numbers, as before any restoration.
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], ObjectChange] = {}
        self.history: list[ObjectChange] = []  # all writes, of every kind
        self.revision = 0
        self.era = 0
        self.down = False
        self.delay = 0.0  # seconds beyond the usual response time
        self.write_response_delay = 0.0  # seconds from a write to its response
        self.lost_responses = 0  # number of writes whose responses are dropped
        self.held_writes = 0  # number of writes to be carried out later
        self._held: list[tuple[str, str, object, int]] = []
        self._copies: list[tuple[float, int, dict[tuple[str, str], ObjectChange]]] = []

    async def list(self, kind) -> KindSnapshot:
        await self._respond()
        return self.snapshot(kind)

    def snapshot(self, kind) -> KindSnapshot:
        """Return the objects of a kind at once."""
        items = [
            self._current(change)
            for (of_kind, _), change in self.objects.items()
            if of_kind == kind
        ]
        return KindSnapshot(make_revision(self.era, self.revision), items)

    async def get(self, kind, name):
        await self._respond()
        known = self.objects.get((kind, name))
        return known and self._current(known)

    async def put(self, kind, name, value, version):
        await self._respond()
        if self.held_writes:
            self.held_writes -= 1
            self._held.append((kind, name, value, number_of(version)))
            raise StoreUnavailableError("response was lost", step="put")
        if version is not None and version and era_of(version) != self.era:
            raise StoreConflictError("version of an earlier era", step="put")
        number = None if version is None else number_of(version)
        change = self._write(kind, name, value, number)
        await trio.sleep(self.write_response_delay)
        if self.lost_responses:
            self.lost_responses -= 1
            raise StoreUnavailableError("response was lost", step="put")
        return self._current(change).version

    def write_registration(self, instance: str, incarnation: str) -> ObjectChange:
        """Write the record of an instance at once and return the change."""
        value = {"incarnation": incarnation, "address": "", "data_centre": "x"}
        return self._current(self._write(INSTANCES, instance, value, None))

    def carry_out_held_writes(self) -> None:
        """Carry out the writes held up whose condition holds now."""
        held, self._held = self._held, []
        for kind, name, value, number in held:
            with suppress(StoreConflictError):
                self._write(kind, name, value, number)

    def restore(self, seconds: float) -> None:
        """Go back to the copy of some seconds ago."""
        at = trio.current_time() - seconds
        self._restore([copy for copy in self._copies if copy[0] <= at])

    def restore_number(self, number: int) -> None:
        """Go back to the copy with the given last number."""
        self._restore([copy for copy in self._copies if copy[1] <= number])

    def _restore(self, kept: list) -> None:
        _, self.revision, objects = kept[-1] if kept else (0.0, 0, {})
        self.objects = dict(objects)
        self._copies = kept
        self.era += 1

    def _write(self, kind, name, value, number) -> ObjectChange:
        known = self.objects.get((kind, name))
        current = known.version if known else 0
        if number is not None and number != current:
            raise StoreConflictError("object has another version", step="put")
        self.revision += 1
        change = ObjectChange(name, self.revision, value)
        self.objects[kind, name] = change
        self.history.append(change)
        self._copies.append((trio.current_time(), self.revision, dict(self.objects)))
        return change

    def _current(self, change: ObjectChange) -> ObjectChange:
        return attrs.evolve(change, version=make_revision(self.era, change.version))

    async def _respond(self):
        await trio.sleep(0.004 + self.delay)
        if self.down:
            raise StoreUnavailableError("store is down", step="call", refused=True)


@attrs.define(eq=False)
class FakeTarget:
    """Apply leases and fencing tokens like the platform's targets."""

    id: str
    reachable: bool = True
    responding: bool = True
    listening: bool = True  # whether it accepts connections
    work: float = 0.0  # seconds until running work ends on a release
    grant_delay: float = 0.0  # seconds until a grant without response is applied
    leases: list[tuple[int, int, int, float]] = attrs.field(factory=list)
    granted_fences: list[tuple[int, int, int]] = attrs.field(factory=list)

    def restart(self) -> None:
        """Run a later process, which holds and knows nothing."""
        self.leases.clear()
        self.granted_fences.clear()

    def owns(self, key: int) -> bool:
        now = trio.current_time()
        return any(f <= key <= t and until > now for f, t, _, until in self.leases)

    def max_fence(self, first: int, last: int) -> int:
        return max(
            (fence for f, t, fence in self.granted_fences if f <= last and first <= t),
            default=0,
        )


class FakeControl:
    """Apply grants and releases to fake targets; record violations of ownership."""

    def __init__(self, targets: list[FakeTarget]) -> None:
        self.targets_by_id = {target.id: target for target in targets}
        self.violations: list[str] = []
        self.highest_grants_by_key: dict[int, tuple[int, str]] = {}
        self.grants = 0
        self.grant_time = 0.001  # seconds

    async def grant(self, address: str, item: KeyRange, lease: float) -> None:
        target = self.targets_by_id[address]
        await trio.sleep(self.grant_time)
        self._check_reachable(target, "grant")
        received_at = trio.current_time()
        if target.grant_delay:
            trio.lowlevel.spawn_system_task(self._apply_late, target, item, lease)
            raise self._no_response(target, "grant")
        self._apply(target, item, received_at + lease)
        if not target.responding:
            raise self._no_response(target, "grant")

    async def _apply_late(self, target: FakeTarget, item: KeyRange, lease: float):
        until = trio.current_time() + lease
        await trio.sleep(target.grant_delay)
        with suppress(GrantRefusedError):
            self._apply(target, item, until)

    def _apply(self, target: FakeTarget, item: KeyRange, until: float) -> None:
        if target.max_fence(item.first, item.last) > item.fence:
            raise GrantRefusedError(target.id)
        self.grants += 1
        target.granted_fences.append((item.first, item.last, item.fence))
        if until <= trio.current_time():
            return
        self._check_owner(target, item)
        target.leases = [
            lease
            for lease in target.leases
            if not (item.first <= lease[0] and lease[1] <= item.last)
        ]
        target.leases.append((item.first, item.last, item.fence, until))

    def _check_owner(self, target: FakeTarget, item: KeyRange) -> None:
        for key in {item.first, item.last, (item.first + item.last) // 2}:
            fence, owner = self.highest_grants_by_key.get(key, (0, target.id))
            if owner != target.id and item.fence <= fence:
                self.violations.append(
                    f"key {key} granted to {target.id} with fence {item.fence}"
                )
            self.highest_grants_by_key[key] = max(
                (item.fence, target.id), (fence, owner)
            )
            for other in self.targets_by_id.values():
                if other is not target and other.owns(key):
                    self.violations.append(
                        f"key {key} owned by {other.id} and {target.id}"
                    )

    async def reach(self, address: str, target: str) -> None:
        await trio.sleep(0.001)
        responder = self.targets_by_id[address]
        self._check_reachable(responder, "reach")
        if not responder.responding or responder.id != target:
            raise self._no_response(responder, "reach")

    async def release(self, address: str, item: KeyRange, timeout: float) -> str:
        target = self.targets_by_id[address]
        await trio.sleep(0.001)
        self._check_reachable(target, "release")
        await trio.sleep(target.work)
        target.leases = [
            part for lease in target.leases for part in _remaining(lease, item)
        ]
        if not target.responding:
            raise self._no_response(target, "release")
        return f"{address}-{item.fence}"

    def _check_reachable(self, target: FakeTarget, step: str) -> None:
        if not target.listening:
            raise ConnectionFailedError(
                "refused", step="connect", peer="", refused=True
            )
        if not target.reachable:
            raise self._no_response(target, step)

    def _no_response(self, target: FakeTarget, step: str) -> ConnectionFailedError:
        return ConnectionFailedError("no response", step=step, peer="", refused=False)


def _remaining(lease, item: KeyRange):
    first, last, fence, until = lease
    if last < item.first or first > item.last:
        yield lease
        return
    if first < item.first:
        yield (first, item.first - 1, fence, until)
    if last > item.last:
        yield (item.last + 1, last, fence, until)


@attrs.define(eq=False)
class FakeMembership:
    """Give a coordinator a membership that the test sets."""

    own_id: str = "a"
    incarnation: str = "a1"
    live: list[str] = attrs.field(factory=lambda: ["a"])
    reachable_share: float = 1.0
    incarnations_by_id: dict[str, str] = attrs.field(factory=dict)
    unreachable_since_by_id: dict[str, float] = attrs.field(factory=dict)

    def rank(self, name: str) -> int:
        return 0

    def is_live(self, instance: str) -> bool:
        return instance in self.live

    def seconds_unreachable(self, instance: str) -> float:
        now = trio.current_time()
        return now - self.unreachable_since_by_id.setdefault(instance, now)

    def broadcast(self, message: object) -> None:
        pass


class FakeCluster:
    """Create a store, targets and the coordinators that share them."""

    def __init__(self, targets: int = 3) -> None:
        self.store = FakeStore()
        self.targets = [FakeTarget(f"t{number}") for number in range(targets)]
        self.control = FakeControl(self.targets)

    def new_coordinator(self, own_id: str = "a", **options) -> RangeCoordinator:
        """Return a coordinator of an instance; ``options`` replace its fakes."""
        state = RoutingState(
            lambda value: None, lambda change: change.value, trio.current_time
        )
        state.table = RoutingTable(1, [], [], [], EntryLimits())
        state.replicas_by_kind[RANGES].revision = 1
        membership = options.pop("membership", None) or FakeMembership(
            own_id=own_id, incarnation=f"{own_id}1", live=[own_id]
        )
        kind = options.pop("kind", RangeCoordinator)
        fakes = {
            "store": self.store,
            "control": self.control,
            "share": lambda *change: None,
            "is_first_start": True,
        }
        coordinator = kind(
            SERVICE,
            state=state,
            membership=membership,
            lease_timing=LeaseTiming(),
            max_lease=10.0,
            store_age=lambda: 0.0,
            clock=trio.current_time,
            **(fakes | options),
        )
        coordinator.state, coordinator.membership = state, membership
        for target in self.targets:
            self.add_target_record(coordinator, target.id)
        return coordinator

    def add_target_record(
        self, coordinator, target: str, *, started_at: int = 1, **fields
    ):
        """Add a target record to a coordinator's replica."""
        values = {"service": SERVICE, "address": target} | fields
        record = TargetRecord(
            id=target, data_centre="x", slots=3, started_at=started_at, **values
        )
        revision = coordinator.state.replicas_by_kind[TARGETS].revision + 1
        change = ObjectChange(target, revision, record)
        coordinator.state.apply(TARGETS, revision - 1, revision, [change], 0.0)

    def remove_target_record(self, coordinator, target: str) -> None:
        """Remove a target record from a coordinator's replica."""
        revision = coordinator.state.replicas_by_kind[TARGETS].revision + 1
        change = ObjectChange(target, revision, None)
        coordinator.state.apply(TARGETS, revision - 1, revision, [change], 0.0)

    def register(self, coordinator, instance: str, incarnation: str) -> None:
        """Let a coordinator see the registration of a process, written just now."""
        change = self.store.write_registration(instance, incarnation)
        revision = coordinator.state.replicas_by_kind[INSTANCES].revision
        coordinator.state.apply(INSTANCES, revision, change.version, [change], 0.0)

    def record(self) -> RangeRecord:
        """Return the stored range record."""
        return RangeRecord.from_value(self.store.objects[RANGES, SERVICE].value)

    def owners(self, key: int) -> list[str]:
        """Return the targets that own a key now."""
        return [target.id for target in self.targets if target.owns(key)]
