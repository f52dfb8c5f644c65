"""Hold the routes, targets and owners of keys that an instance knows."""

from collections.abc import Callable
from enum import Enum

import attrs
import trio

from fireflystand_core.ranges import KeyRange, RangeRecord
from fireflystand_core.replica import KindReplica, ObjectChange
from fireflystand_core.traffic import RoutingTable, TargetRecord

from ..events import (
    CONFIGURATION_APPLIED,
    CONFIGURATION_UNREADABLE,
    DEPARTURES_CHANGED,
    ENTRY_UNREADABLE,
    TARGET_RECORD_CHANGED,
    TARGET_RECORD_REMOVED,
    emit,
)
from .clock import lease_clock
from .ports import (
    CONFIGURATION,
    KINDS,
    RANGES,
    TARGETS,
    ReadTable,
    ReadTarget,
)

__all__ = ["ChangeSource", "FrozenRange", "InstanceRecord", "RoutingState"]

# Target records that expired during an outage of the store are written again within
# 2 s of its end.
RETURN_PERIOD = 2.2  # seconds
MAX_CAPACITY = 1e6  # cores
# What decoding a malformed object may raise.
MALFORMED = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
# An instance asks the store itself before its confirmation is this old. An older one
# means that no instance can reach the store, not merely that the store is slow.
OUTAGE_AGE = 2.5  # seconds


class ChangeSource(Enum):
    """State how a change came to this instance."""

    STORE = "store"  # the instance watched or listed the kind
    PUSH = "push"  # a peer sent it unasked
    PULL = "pull"  # a peer sent it on request
    SEED = "seed"  # a seed sent it at the start of the process


@attrs.frozen
class InstanceRecord:
    """Hold the address at which an instance accepts its peers, and its capacity."""

    id: str
    incarnation: str
    address: str
    data_centre: str
    capacity: float = 0.0  # of its processor and its link, in cores

    def check(self) -> None:
        """Raise ValueError if a part is not of its type."""
        texts = (self.incarnation, self.address, self.data_centre)
        if not all(isinstance(text, str) for text in texts):
            raise ValueError("an instance record holds something else than text")
        if not 0 <= self.capacity <= MAX_CAPACITY:
            raise ValueError("the capacity is out of range")


@attrs.frozen
class FrozenRange:
    """Hold a range of keys that is about to move; requests for its keys wait."""

    service: str
    first: int
    last: int
    until: float  # seconds on trio's clock


class RoutingState:
    """Hold the replicas of the store's kinds and the records decoded from them."""

    def __init__(
        self,
        read_table: ReadTable,
        read_target: ReadTarget,
        clock: Callable[[], float] = lease_clock,
    ) -> None:
        self.replicas_by_kind = {kind: KindReplica(kind) for kind in KINDS}
        self.table: RoutingTable | None = None
        self.table_applied_at = float("-inf")  # seconds
        self._first_routes: frozenset[str] = frozenset()
        self.targets_by_id: dict[str, TargetRecord] = {}
        # Also the records of targets that were removed.
        self.latest_records_by_target: dict[str, TargetRecord] = {}
        self.departed_data_centres: frozenset[str] = frozenset()
        self.records_by_service: dict[str, RangeRecord] = {}
        self.instances_by_id: dict[str, InstanceRecord] = {}
        self.frozen: list[FrozenRange] = []
        self.changed = trio.Event()
        self.listeners: list[Callable[[str], None]] = []
        self._read_table = read_table
        self._read_target = read_target
        self._clock = clock
        self._source = ChangeSource.STORE  # of the changes that are being decoded
        self._in_outage = False
        self._deletions_by_target: dict[str, int] = {}  # revision of the deletion
        self._recovery_ends_at = float("-inf")
        self._unreadable: set[tuple[str, str]] = set()  # kinds and names, as logged

    def confirmation_age(self, kind: str) -> float:
        """Return the seconds since the store confirmed the replica of a kind."""
        return self._clock() - self.replicas_by_kind[kind].confirmed_at

    @property
    def table_age(self) -> float:
        """Return the seconds since the configuration in force was applied."""
        return self._clock() - self.table_applied_at

    def usable_target(self, target_id: str) -> TargetRecord | None:
        """Return a target if new requests may be sent to it."""
        target = self.targets_by_id.get(target_id)
        if (
            target is None
            or target.leaving
            or target.data_centre in self.departed_data_centres
        ):
            return None
        return target

    def usable_targets(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that may be sent new requests."""
        return [
            target
            for target in self.targets_by_id.values()
            if target.service == service and self.usable_target(target.id)
        ]

    def owner(self, service: str, key: int) -> KeyRange | None:
        """Return the range that contains a key, unless the key is about to move."""
        record = self.records_by_service.get(service)
        if record is None or self.is_frozen(service, key):
            return None
        return record.owner(key)

    def is_frozen(self, service: str, key: int) -> bool:
        """Tell whether requests for a key have to wait because the key is moving."""
        now = trio.current_time()
        return any(
            frozen.service == service
            and frozen.first <= key <= frozen.last
            and frozen.until > now
            for frozen in self.frozen
        )

    def freeze(self, frozen: FrozenRange) -> None:
        """Make requests for a range of keys wait."""
        now = trio.current_time()
        self.frozen = [item for item in self.frozen if item.until > now]
        self.frozen.append(frozen)

    def _check_outage(self) -> bool:
        """Tell whether the store is in an outage or has just recovered from one."""
        now = self._clock()
        replica = self.replicas_by_kind[CONFIGURATION]
        if replica.revision and self.confirmation_age(CONFIGURATION) > OUTAGE_AGE:
            self._in_outage = True
        elif self._in_outage:
            self._in_outage = False
            self._recovery_ends_at = now + RETURN_PERIOD
        return self._in_outage or now < self._recovery_ends_at

    def is_added_route(self, route: str) -> bool:
        """Tell whether the first configuration of this process lacked a route."""
        return route not in self._first_routes

    def replace(
        self,
        kind: str,
        revision: int,
        items: list[ObjectChange],
        confirmed_at: float,
        source: ChangeSource = ChangeSource.STORE,
    ) -> list[ObjectChange]:
        """Replace the contents of a kind by a complete list and return the changes."""
        replica = self.replicas_by_kind[kind]
        changes = replica.replace(revision, items, confirmed_at)
        return self._decode(kind, changes, source)

    def apply(
        self,
        kind: str,
        since: int,
        revision: int,
        items: list[ObjectChange],
        confirmed_at: float,
        source: ChangeSource = ChangeSource.STORE,
    ) -> list[ObjectChange]:
        """Apply changes of a kind and return those that were new."""
        replica = self.replicas_by_kind[kind]
        changes = replica.apply(since, revision, items, confirmed_at)
        return self._decode(kind, changes, source)

    def _decode(
        self, kind: str, changes: list[ObjectChange], source: ChangeSource
    ) -> list[ObjectChange]:
        self._source = source
        decode = getattr(self, f"_decode_{kind}")
        for change in changes:
            try:
                decode(change)
            except MALFORMED as error:
                self._report_unreadable(kind, change.name, error)
            else:
                self._unreadable.discard((kind, change.name))
        if changes:
            self.notify(kind)
        return changes

    def _report_unreadable(self, kind: str, name: str, error: Exception) -> None:
        """Log an object once until it can be read again or is deleted."""
        if (kind, name) not in self._unreadable:
            self._unreadable.add((kind, name))
            emit(ENTRY_UNREADABLE, error, kind=kind, name=name)

    def notify(self, kind: str) -> None:
        """Wake the tasks that wait for a change and call the listeners."""
        changed, self.changed = self.changed, trio.Event()
        changed.set()
        for listener in self.listeners:
            listener(kind)

    def _decode_configuration(self, change: ObjectChange) -> None:
        if change.value is None:
            return
        try:
            table = self._read_table(change.value)
        except MALFORMED as error:
            emit(CONFIGURATION_UNREADABLE, error, revision=change.version)
            return
        if self.table is not None and table.version < self.table.version:
            return
        if self.table is None:
            self._first_routes = frozenset(table.routes_by_name)
        self.table = table
        self.table_applied_at = self._clock()
        emit(
            CONFIGURATION_APPLIED,
            version=table.version,
            revision=change.version,
            source=self._source.value,
            proof_age=round(min(self.confirmation_age(CONFIGURATION), 1e6), 2),
        )

    def _decode_departures(self, change: ObjectChange) -> None:
        if change.value is None:
            self.departed_data_centres -= {change.name}
        else:
            self.departed_data_centres |= {change.name}
        emit(
            DEPARTURES_CHANGED,
            data_centres=sorted(self.departed_data_centres),
            revision=change.version,
        )

    def _decode_targets(self, change: ObjectChange) -> None:
        if change.value is None:
            return self._handle_deletion(change)
        self._deletions_by_target.pop(change.name, None)
        target = self._read_target(change)
        if target is None:
            self._remove_target(change.name, change.version)
            raise ValueError("the object describes no target")
        known = self.targets_by_id.get(target.id)
        if known is None or attrs.evolve(known, version=target.version) != target:
            emit(
                TARGET_RECORD_CHANGED,
                target=target.id,
                service=target.service,
                address=target.address,
                leaving=target.leaving,
                cold_for=round(target.cold_for, 2),
                revision=change.version,
            )
        self.targets_by_id[target.id] = target
        self.latest_records_by_target[target.id] = target

    def _handle_deletion(self, change: ObjectChange) -> None:
        known = self.targets_by_id.get(change.name)
        if known is None:
            return
        if self._check_outage() and not known.leaving:
            # The record may have expired because its target could not reach the store.
            self._deletions_by_target[change.name] = change.version
            return
        self._remove_target(change.name, change.version)

    def _remove_target(self, name: str, revision: int) -> None:
        known = self.targets_by_id.pop(name, None)
        if known is not None:
            emit(
                TARGET_RECORD_REMOVED,
                target=name,
                service=known.service,
                revision=revision,
            )

    def expire(self) -> None:
        """Remove the targets that did not register again after an outage."""
        if self._check_outage() or not self._deletions_by_target:
            return
        for name, revision in self._deletions_by_target.items():
            self._remove_target(name, revision)
        self._deletions_by_target.clear()
        self.notify(TARGETS)

    def _decode_ranges(self, change: ObjectChange) -> None:
        if change.value is None:
            self.records_by_service.pop(change.name, None)
            return
        record = RangeRecord.from_value(change.value)
        known = self.records_by_service.get(change.name)
        self.records_by_service[change.name] = record
        self.frozen = [
            item
            for item in self.frozen
            if item.service != change.name or not _has_moved(item, known, record)
        ]

    def _decode_instances(self, change: ObjectChange) -> None:
        if change.value is None:
            self.instances_by_id.pop(change.name, None)
            return
        value = change.value
        record = InstanceRecord(
            id=change.name,
            incarnation=value["incarnation"],
            address=value["address"],
            data_centre=value["data_centre"],
            capacity=float(value.get("capacity", 0.0)),
        )
        record.check()
        self.instances_by_id[change.name] = record

    def range_version(self, service: str) -> int:
        """Return the version of a service's range record in the store; 0 if none."""
        known = self.replicas_by_kind[RANGES].by_name.get(service)
        return 0 if known is None else known.version

    async def wait_for_change(self, seconds: float) -> None:
        """Wait until anything changes, for ``seconds`` at most."""
        with trio.move_on_after(seconds):
            await self.changed.wait()


def _has_moved(
    frozen: FrozenRange, before: RangeRecord | None, after: RangeRecord
) -> bool:
    """Tell whether the first key of a frozen range has a new owner or fencing token."""
    if before is None:
        return True
    return before.owner(frozen.first).fence != after.owner(frozen.first).fence
