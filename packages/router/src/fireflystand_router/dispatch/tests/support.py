"""Stand in for the store, targets and peers of a coordinator of key ranges."""

from contextlib import suppress

import attrs
import trio

from fireflystand_core.exceptions import StoreConflictError, StoreUnavailableError
from fireflystand_core.ranges import KeyRange, LeaseTiming, RangeRecord
from fireflystand_core.replica import ObjectChange
from fireflystand_core.traffic import EntryLimits, RoutingTable, TargetRecord

from ...http_client import ConnectionFailedError
from ..ports import RANGES, TARGETS, GrantRefusedError
from ..ranges import RangeCoordinator
from ..state import RoutingState

SERVICE = "orders"


class FakeStore:
    """Hold versions of objects; ``down`` refuses calls, ``losing`` loses answers."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], ObjectChange] = {}
        self.history: list[ObjectChange] = []  # of all kinds
        self.revision = 0
        self.down = False
        self.delay = 0.0  # seconds beyond the usual answer time
        self.losing = 0  # answers of writes to lose

    async def get(self, kind, name):
        await self._answer()
        return self.objects.get((kind, name))

    async def put(self, kind, name, value, version):
        await self._answer()
        known = self.objects.get((kind, name))
        current = known.version if known else 0
        if version is not None and version != current:
            raise StoreConflictError("other version", step="put")
        self.revision += 1
        change = ObjectChange(name, self.revision, value)
        self.objects[kind, name] = change
        self.history.append(change)
        if self.losing:
            self.losing -= 1
            raise StoreUnavailableError("answer lost", step="put")
        return self.revision

    async def _answer(self):
        await trio.sleep(0.004 + self.delay)
        if self.down:
            raise StoreUnavailableError("down", step="call")


@attrs.define(eq=False)
class FakeTarget:
    """Hold keys as the platform's targets do, and note what breaks sole ownership."""

    id: str
    reachable: bool = True
    answering: bool = True
    work: float = 0.0  # seconds that running work takes when keys are released
    late: float = 0.0  # seconds after which unanswered grants are carried out
    holds: list[tuple[int, int, int, float]] = attrs.field(factory=list)
    seen: list[tuple[int, int, int]] = attrs.field(factory=list)

    def held(self, key: int) -> bool:
        now = trio.current_time()
        return any(f <= key <= t and until > now for f, t, _, until in self.holds)

    def fence_seen(self, first: int, last: int) -> int:
        return max(
            (fence for f, t, fence in self.seen if f <= last and first <= t),
            default=0,
        )


class FakeControl:
    """Carry grants and releases to fake targets and check sole ownership."""

    def __init__(self, targets: list[FakeTarget]) -> None:
        self.by_id = {target.id: target for target in targets}
        self.violations: list[str] = []
        self.fences: dict[int, tuple[int, str]] = {}
        self.grants = 0
        self.grant_time = 0.001  # seconds

    async def grant(self, address: str, item: KeyRange, lease: float) -> None:
        target = self.by_id[address]
        await trio.sleep(self.grant_time)
        self._check_reachable(target, "grant")
        arrived_at = trio.current_time()
        if target.late:
            trio.lowlevel.spawn_system_task(self._carry_out, target, item, lease)
            raise self._failure(target, "grant")
        self._apply(target, item, arrived_at + lease)
        if not target.answering:
            raise self._failure(target, "grant")

    async def _carry_out(self, target: FakeTarget, item: KeyRange, hold: float):
        until = trio.current_time() + hold
        await trio.sleep(target.late)
        with suppress(GrantRefusedError):
            self._apply(target, item, until)

    def _apply(self, target: FakeTarget, item: KeyRange, until: float) -> None:
        if target.fence_seen(item.first, item.last) > item.fence:
            raise GrantRefusedError(target.id)
        self.grants += 1
        target.seen.append((item.first, item.last, item.fence))
        if until <= trio.current_time():
            return
        self._check_owner(target, item)
        target.holds = [
            h for h in target.holds if not (item.first <= h[0] and h[1] <= item.last)
        ]
        target.holds.append((item.first, item.last, item.fence, until))

    def _check_owner(self, target: FakeTarget, item: KeyRange) -> None:
        for key in {item.first, item.last, (item.first + item.last) // 2}:
            fence, owner = self.fences.get(key, (0, target.id))
            if owner != target.id and item.fence <= fence:
                self.violations.append(f"{key} to {target.id} with {item.fence}")
            self.fences[key] = max((item.fence, target.id), (fence, owner))
            for other in self.by_id.values():
                if other is not target and other.held(key):
                    self.violations.append(f"{key} at {other.id} and {target.id}")

    async def reach(self, address: str, target: str) -> None:
        await trio.sleep(0.001)
        answers = self.by_id[address]
        self._check_reachable(answers, "reach")
        if not answers.answering:
            raise self._failure(answers, "reach")

    async def release(self, address: str, item: KeyRange, timeout: float) -> str:
        target = self.by_id[address]
        await trio.sleep(0.001)
        self._check_reachable(target, "release")
        await trio.sleep(target.work)
        target.holds = [
            piece for hold in target.holds for piece in _remaining(hold, item)
        ]
        if not target.answering:
            raise self._failure(target, "release")
        return f"{address}-{item.fence}"

    def _check_reachable(self, target: FakeTarget, step: str) -> None:
        if not target.reachable:
            raise self._failure(target, step)

    def _failure(self, target: FakeTarget, step: str) -> ConnectionFailedError:
        return ConnectionFailedError("no answer", step=step, peer="", refused=False)


def _remaining(hold, item: KeyRange):
    first, last, fence, until = hold
    if last < item.first or first > item.last:
        yield hold
        return
    if first < item.first:
        yield (first, item.first - 1, fence, until)
    if last > item.last:
        yield (item.last + 1, last, fence, until)


@attrs.define(eq=False)
class FakeMesh:
    """Show a coordinator which instances live."""

    own_id: str = "a"
    incarnation: str = "a1"
    live: list[str] = attrs.field(factory=lambda: ["a"])
    visible_share: float = 1.0
    incarnations_by_id: dict[str, str] = attrs.field(factory=dict)
    ended: set[tuple[str, str]] = attrs.field(factory=set)

    def rank(self, name: str) -> int:
        return 0

    def is_live(self, instance: str) -> bool:
        return instance in self.live

    def has_ended(self, instance: str, incarnation: str) -> bool:
        return (instance, incarnation) in self.ended

    def broadcast(self, message: object) -> None:
        pass


class World:
    """Own a store, targets and the coordinators that share them."""

    def __init__(self, targets: int = 3) -> None:
        self.store = FakeStore()
        self.targets = [FakeTarget(f"t{number}") for number in range(targets)]
        self.control = FakeControl(self.targets)

    def coordinator(self, own_id: str = "a") -> RangeCoordinator:
        state = RoutingState(
            lambda value: None, lambda change: change.value, trio.current_time
        )
        state.table = RoutingTable(1, [], [], [], EntryLimits())
        state.replicas_by_kind[RANGES].revision = 1
        mesh = FakeMesh(own_id=own_id, incarnation=f"{own_id}1", live=[own_id])
        coordinator = RangeCoordinator(
            SERVICE,
            store=self.store,
            control=self.control,
            state=state,
            mesh=mesh,
            lease_timing=LeaseTiming(),
            max_lease=10.0,
            share=lambda *change: None,
            store_age=lambda: 0.0,
            clock=trio.current_time,
        )
        coordinator.state, coordinator.mesh = state, mesh
        for target in self.targets:
            self.announce(coordinator, target.id)
        return coordinator

    def announce(self, coordinator, target: str, *, started_at: int = 1, **fields):
        """Let a coordinator see a target's entry."""
        record = TargetRecord(
            id=target,
            service=SERVICE,
            address=target,
            data_centre="x",
            slots=3,
            started_at=started_at,
            **fields,
        )
        revision = coordinator.state.replicas_by_kind[TARGETS].revision + 1
        change = ObjectChange(target, revision, record)
        coordinator.state.apply(TARGETS, revision - 1, revision, [change], 0.0)

    def forget(self, coordinator, target: str) -> None:
        """Let a coordinator see that a target's entry ended."""
        revision = coordinator.state.replicas_by_kind[TARGETS].revision + 1
        change = ObjectChange(target, revision, None)
        coordinator.state.apply(TARGETS, revision - 1, revision, [change], 0.0)

    def record(self) -> RangeRecord:
        """Return the stored record."""
        return RangeRecord.from_value(self.store.objects[RANGES, SERVICE].value)

    def owners(self, key: int) -> list[str]:
        """Return the targets that hold a key now."""
        return [target.id for target in self.targets if target.held(key)]
