"""Hold the routes, targets and owners of keys that an instance knows."""

from collections.abc import Callable, Collection
from enum import Enum

import attrs
import trio

from fireflystand_core.ranges import KeyRange, RangeRecord
from fireflystand_core.replica import (
    KindReplica,
    ObjectChange,
    era_of,
    make_revision,
    number_of,
)
from fireflystand_core.rollouts import RolloutOrder, RolloutRecord
from fireflystand_core.traffic import RoutingTable, TargetRecord

from ..events import (
    CONFIGURATION_APPLIED,
    CONFIGURATION_UNREADABLE,
    DEPARTURES_CHANGED,
    ENTRY_UNREADABLE,
    STORE_RESTORED,
    TARGET_RECORD_CHANGED,
    TARGET_RECORD_REMOVED,
    TARGET_STATED_COLD,
    TARGET_STATED_LEAVING,
    emit,
)
from .clock import lease_clock
from .ports import (
    CONFIGURATION,
    DEPARTURES,
    INSTANCES,
    KINDS,
    RANGES,
    ROLLOUT_KINDS,
    TARGETS,
    ReadTable,
    ReadTarget,
)
from .restoration import MALFORMED, ContentOrder, TargetRemovals

__all__ = ["ChangeSource", "FrozenRange", "InstanceRecord", "RoutingState"]

# Target records that expired during an outage of the store, or are missing in the copy
# from which it was restored, are written again within 2 s of its return.
RETURN_PERIOD = 2.2  # seconds
# An instance may miss the push that shows that its record is lost. It then learns that
# with a heartbeat, which takes 2 s with many instances, and the others with a watch.
REGISTRATION_PERIOD = 8.0  # seconds
MAX_CAPACITY = 1e6  # cores
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
        *,
        follows_rollouts: bool = False,
    ) -> None:
        kinds = KINDS + ROLLOUT_KINDS if follows_rollouts else KINDS
        self.replicas_by_kind = {kind: KindReplica(kind) for kind in kinds}
        self.table: RoutingTable | None = None
        self.table_applied_at = float("-inf")  # seconds
        self._first_routes: frozenset[str] = frozenset()
        self.targets_by_id: dict[str, TargetRecord] = {}
        # Also the records of targets that were removed.
        self.latest_records_by_target: dict[str, TargetRecord] = {}
        # The start of the process that stated that it is cold, and until when it is.
        self._cold_processes_by_target: dict[str, tuple[int, float]] = {}
        self.departed_data_centres: frozenset[str] = frozenset()
        self.records_by_service: dict[str, RangeRecord] = {}
        self._record_values_by_service: dict[str, dict] = {}  # their stored forms
        self.instances_by_id: dict[str, InstanceRecord] = {}
        self.orders_by_service: dict[str, RolloutOrder] = {}
        self.rollouts_by_service: dict[str, RolloutRecord] = {}
        self.frozen: list[FrozenRange] = []
        self.changed = trio.Event()
        self.listeners: list[Callable[[str], None]] = []  # called with the kind
        # Called with the ids of the targets that changed, None if any may have.
        self.target_listeners: list[Callable[[Collection[str] | None], None]] = []
        self._content_order = ContentOrder(read_table, read_target)
        self._read_target = read_target
        self._clock = clock
        # Of the changes that are being decoded.
        self._source = ChangeSource.STORE
        self._is_restored = False  # whether they are of a restored store's first list
        self._in_outage = False
        self._deletions_by_target: dict[str, int] = {}  # revision of the deletion
        self._recovery_ends_at = float("-inf")
        # Start times of the processes that stated in a response that they leave.
        self._leaving_starts_by_target: dict[str, int] = {}
        self._unreadable: set[tuple[str, str]] = set()  # kinds and names, as logged
        self._removals = TargetRemovals(clock)
        # The revision of the list of the restored store that lacks an object.
        self._missing_by_kind: dict[str, dict[str, int]] = {
            DEPARTURES: {},
            INSTANCES: {},
        }
        self._restored_at_by_kind: dict[str, float] = {}

    def confirmation_age(self, kind: str) -> float:
        """Return the seconds since the store confirmed the replica of a kind."""
        return self._clock() - self.replicas_by_kind[kind].confirmed_at

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration in force; 0 if there is none."""
        return 0 if self.table is None else self.table.version

    @property
    def table_age(self) -> float:
        """Return the seconds since the configuration in force was applied."""
        return self._clock() - self.table_applied_at

    def mark_leaving(self, target_id: str, started_at: int) -> None:
        """Send a target no new requests as long as its process is the given one."""
        # The record may be gone and come back while the process still answers.
        target = self.latest_records_by_target.get(target_id)
        if target is None or target.started_at != started_at:
            return
        if self.has_stated_leaving(target):
            return
        self._leaving_starts_by_target[target_id] = started_at
        emit(TARGET_STATED_LEAVING, target=target_id, service=target.service)
        target = self._with_statement(target)
        self.latest_records_by_target[target_id] = target
        if target_id in self.targets_by_id:
            self.targets_by_id[target_id] = target
            self.notify(TARGETS, [target_id])

    def mark_cold(self, target_id: str, started_at: int, seconds: float) -> None:
        """Apply that a target says of itself that it stays cold for some seconds."""
        target = self.targets_by_id.get(target_id)
        if target is None or target.started_at != started_at:
            return
        emit(
            TARGET_STATED_COLD,
            target=target_id,
            service=target.service,
            seconds=round(seconds, 2),
        )
        target = attrs.evolve(target, cold_for=seconds)
        self.targets_by_id[target_id] = target
        self._record_cold(target)
        self.notify(TARGETS, [target_id])

    def _record_cold(self, target: TargetRecord) -> None:
        if target.cold_for > 0:
            cold_until = self._clock() + target.cold_for
            self._cold_processes_by_target[target.id] = (target.started_at, cold_until)

    def cold_for(self, target: TargetRecord) -> float:
        """Return for how many seconds a target stays cold; 0 if it is warm."""
        started_at, cold_until = self._cold_processes_by_target.get(
            target.id, (0, float("-inf"))
        )
        if started_at != target.started_at:
            return 0.0
        if not self.limits_cold_targets(target.service):
            return 0.0
        return max(0.0, cold_until - self._clock())

    def is_cold(self, target: TargetRecord) -> bool:
        """Tell whether a target gets its warm-up rate, as far as it has stated that."""
        return self.cold_for(target) > 0

    def is_keyed(self, service: str) -> bool:
        """Tell whether each request to a service has a key with one owner."""
        policy = self.table and self.table.services_by_name.get(service)
        return policy is not None and policy.keyed

    def limits_cold_targets(self, service: str) -> bool:
        """Tell whether the cold targets of a service get a limited rate."""
        return self.warmup_rate(service) > 0

    def warmup_rate(self, service: str) -> float:
        """Return the requests a second that a cold target gets; 0 for no limit."""
        policy = self.table and self.table.services_by_name.get(service)
        return policy.warmup_rate if policy is not None else 0.0

    def has_stated_leaving(self, target: TargetRecord) -> bool:
        """Tell whether the process of a record stated that it leaves."""
        return self._leaving_starts_by_target.get(target.id) == target.started_at

    def _with_statement(self, target: TargetRecord) -> TargetRecord:
        """Return a record that says what the target's process has stated since."""
        if self.has_stated_leaving(target):
            return attrs.evolve(target, leaving=True)
        self._leaving_starts_by_target.pop(target.id, None)
        return target

    def stated_leaving(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that stated that they leave."""
        return [
            target
            for target_id in self._leaving_starts_by_target
            if (target := self.targets_by_id.get(target_id))
            and target.service == service
        ]

    @property
    def leaving_count(self) -> int:
        """Return the number of known targets that stated that they leave."""
        return len(self._leaving_starts_by_target.keys() & self.targets_by_id.keys())

    def usable_target(self, target_id: str) -> TargetRecord | None:
        """Return a target if new requests may be sent to it."""
        target = self.targets_by_id.get(target_id)
        if (
            target is None
            or target.leaving
            or target.data_centre in self.departed_data_centres
            or self._removals.is_doubtful(target_id)
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

    def range_id(self, service: str, key: int) -> tuple[str, int, int]:
        """Return what names the range of a key until it gets another owner."""
        record = self.records_by_service.get(service)
        if record is None:
            return service, 0, 0
        item = record.owner(key)
        return service, item.first, item.fence

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

    def thaw(self, service: str, first: int, last: int) -> None:
        """End the wait of requests for a range that did not move."""
        self.frozen = [
            item
            for item in self.frozen
            if (item.service, item.first, item.last) != (service, first, last)
        ]
        self.notify(RANGES)

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
        era_before = era_of(replica.revision)
        if replica.revision and era_of(revision) > era_before:
            return self._restore(kind, revision, items, confirmed_at, source)
        items = self._with_missing(kind, revision, items)
        items, learned = self._with_newest_content(kind, items)
        changes = replica.replace(revision, items, confirmed_at)
        return self._decode(kind, learned + changes, source)

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
        items, learned = self._with_newest_content(kind, items)
        changes = replica.apply(since, revision, items, confirmed_at)
        return self._decode(kind, learned + changes, source)

    def _restore(
        self,
        kind: str,
        revision: int,
        items: list[ObjectChange],
        confirmed_at: float,
        source: ChangeSource,
    ) -> list[ObjectChange]:
        """Replace the contents by the first list of a store that was restored."""
        replica = self.replicas_by_kind[kind]
        era_before = era_of(replica.revision)
        before_by_name = dict(replica.by_name)
        listed = self._with_missing(kind, revision, items)
        newest, learned = self._with_newest_content(kind, listed)
        kept = len(listed) - len(items)
        kept += sum(a.value is not b.value for a, b in zip(listed, newest, strict=True))
        changes = replica.replace(revision, newest, confirmed_at)
        self._restored_at_by_kind[kind] = self._clock()
        changed = [
            change
            for change in changes
            if change.name not in before_by_name
            or before_by_name[change.name].value != change.value
        ]
        self._decode(kind, learned + changed, source, restored=True)
        emit(
            STORE_RESTORED,
            kind=kind,
            era_before=era_before,
            era=era_of(revision),
            revision=number_of(revision),
            changed=len(changed),
            kept=kept + self._count_missing(kind),
            source=source.value,
        )
        return learned + changes

    def _with_missing(
        self, kind: str, revision: int, items: list[ObjectChange]
    ) -> list[ObjectChange]:
        """Add what the restored store lost and this system or its operators need.

        The version of such an object is the beginning of the era, as the store has
        none.
        """
        if kind not in (CONFIGURATION, RANGES) or not era_of(revision):
            return items
        replica = self.replicas_by_kind[kind]
        if revision < replica.revision:
            return items
        era_begin = make_revision(era_of(revision), 0)
        listed = {item.name for item in items}
        return items + [
            ObjectChange(name, era_begin, known.value)
            for name, known in replica.by_name.items()
            if name not in listed and known.version <= era_begin
        ]

    def _with_newest_content(
        self, kind: str, items: list[ObjectChange]
    ) -> tuple[list[ObjectChange], list[ObjectChange]]:
        """Return the items with the newest known content, and what was learned.

        An object of the restored store may be older than what is known, and an object
        that is known by the same or a later version may be older than an item.
        """
        if kind not in (CONFIGURATION, RANGES, TARGETS):
            return items, []
        replica = self.replicas_by_kind[kind]
        newest, learned = [], []
        for item in items:
            known = replica.by_name.get(item.name)
            if known is None or item.value is None:
                newest.append(item)
            elif item.version > known.version:
                newest.append(self._newest_content(kind, item, known))
            elif kind != TARGETS and self._content_order.is_older(kind, known, item):
                held = ObjectChange(item.name, known.version, item.value)
                replica.hold(held)
                newest.append(held)
                learned.append(held)
            else:
                newest.append(item)
        return newest, learned

    def _newest_content(
        self, kind: str, item: ObjectChange, known: ObjectChange
    ) -> ObjectChange:
        if self._content_order.is_older(kind, item, known):
            return ObjectChange(item.name, item.version, known.value)
        return item

    def _count_missing(self, kind: str) -> int:
        """Return how many objects are kept until they could be written again."""
        if kind == TARGETS:
            return len(self._deletions_by_target)
        return len(self._missing_by_kind.get(kind, {}))

    @property
    def era(self) -> int:
        """Return the latest known era of the store."""
        return max(era_of(r.revision) for r in self.replicas_by_kind.values())

    def _is_recovering(self, kind: str) -> bool:
        """Tell whether what a restored store lacks may still be written again."""
        restored_at = self._restored_at_by_kind.get(kind, float("-inf"))
        if kind == TARGETS:
            return self._clock() < restored_at + RETURN_PERIOD
        period = REGISTRATION_PERIOD if kind == INSTANCES else RETURN_PERIOD
        return self._store_read_at < restored_at + period

    @property
    def _store_read_at(self) -> float:
        """Return when an instance last read the store, as far as is known here."""
        return self.replicas_by_kind[CONFIGURATION].confirmed_at

    def _decode(
        self,
        kind: str,
        changes: list[ObjectChange],
        source: ChangeSource,
        *,
        restored: bool = False,
    ) -> list[ObjectChange]:
        self._source = source
        self._is_restored = restored
        decode = getattr(self, f"_decode_{kind}")
        for change in changes:
            try:
                decode(change)
            except MALFORMED as error:
                self._report_unreadable(kind, change.name, error)
            else:
                self._unreadable.discard((kind, change.name))
        if changes:
            self.notify(kind, [change.name for change in changes])
        return changes

    def _report_unreadable(self, kind: str, name: str, error: Exception) -> None:
        """Log an object once until it can be read again or is deleted."""
        if (kind, name) not in self._unreadable:
            self._unreadable.add((kind, name))
            emit(ENTRY_UNREADABLE, error, kind=kind, name=name)

    def notify(self, kind: str, names: Collection[str] | None = None) -> None:
        """Wake the tasks that wait for a change and call the listeners.

        ``names`` are those of the changed objects, None if any may have changed.
        """
        changed, self.changed = self.changed, trio.Event()
        changed.set()
        for listener in self.listeners:
            listener(kind)
        if kind == TARGETS:
            for target_listener in self.target_listeners:
                target_listener(names)

    def _decode_configuration(self, change: ObjectChange) -> None:
        if change.value is None:
            return
        try:
            table = self._content_order.read_table(change.value)
        except MALFORMED as error:
            emit(
                CONFIGURATION_UNREADABLE,
                error,
                era=era_of(change.version),
                revision=number_of(change.version),
            )
            return
        if table is self.table:
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
            era=era_of(change.version),
            revision=number_of(change.version),
            source=self._source.value,
            proof_age=round(min(self.confirmation_age(CONFIGURATION), 1e6), 2),
        )

    def _decode_departures(self, change: ObjectChange) -> None:
        missing = self._missing_by_kind[DEPARTURES]
        if change.value is None and self._is_restored:
            missing[change.name] = change.version
            return
        missing.pop(change.name, None)
        if change.value is None:
            self._end_departure(change.name, change.version)
        else:
            self.departed_data_centres |= {change.name}
            self._log_departures(change.version)

    def _end_departure(self, name: str, version: int) -> None:
        self.departed_data_centres -= {name}
        self._log_departures(version)

    def _log_departures(self, version: int) -> None:
        emit(
            DEPARTURES_CHANGED,
            data_centres=sorted(self.departed_data_centres),
            era=era_of(version),
            revision=number_of(version),
        )

    def _decode_targets(self, change: ObjectChange) -> None:
        if change.value is None:
            return self._handle_deletion(change)
        self._deletions_by_target.pop(change.name, None)
        target = self._read_target(change)
        if target is None:
            self._remove_target(change.name, change.version)
            raise ValueError("the object describes no target")
        if self._is_restored:
            self._removals.add_restored(target)
        else:
            self._removals.add_written(target.id)
        target = self._with_statement(target)
        known = self.targets_by_id.get(target.id)
        if known is None or attrs.evolve(known, version=target.version) != target:
            emit(
                TARGET_RECORD_CHANGED,
                target=target.id,
                service=target.service,
                address=target.address,
                leaving=target.leaving,
                cold_for=round(target.cold_for, 2),
                era=era_of(change.version),
                revision=number_of(change.version),
            )
        self.targets_by_id[target.id] = target
        self.latest_records_by_target[target.id] = target
        self._record_cold(target)

    def _handle_deletion(self, change: ObjectChange) -> None:
        known = self.targets_by_id.get(change.name)
        if known is None:
            return
        may_return = self._is_restored or self._check_outage()
        if self._removals.is_doubtful(change.name):
            may_return = False
        if may_return and not known.leaving:
            # The record may have expired because its target could not reach the store,
            # or may have been written after the copy.
            self._deletions_by_target[change.name] = change.version
            return
        self._remove_target(change.name, change.version)

    def _remove_target(self, name: str, revision: int) -> None:
        known = self.targets_by_id.pop(name, None)
        self._cold_processes_by_target.pop(name, None)
        if known is not None:
            self._removals.add(known)
            emit(
                TARGET_RECORD_REMOVED,
                target=name,
                service=known.service,
                era=era_of(revision),
                revision=number_of(revision),
            )

    def expire(self) -> set[str]:
        """Remove what was not written again after an outage or a restoration.

        Return the kinds of which something changed.
        """
        changed = {kind for kind in self._missing_by_kind if self._expire_missing(kind)}
        if self._expire_targets() | self._removals.expire(self._store_read_at):
            changed.add(TARGETS)
        for kind in changed:
            self.notify(kind)
        return changed

    def _expire_missing(self, kind: str) -> bool:
        missing = self._missing_by_kind[kind]
        if not missing or self._is_recovering(kind):
            return False
        for name, revision in missing.items():
            if kind == DEPARTURES:
                self._end_departure(name, revision)
            else:
                self.instances_by_id.pop(name, None)
        missing.clear()
        return True

    def _expire_targets(self) -> bool:
        in_outage = self._check_outage()
        if in_outage or self._is_recovering(TARGETS) or not self._deletions_by_target:
            return False
        for name, revision in self._deletions_by_target.items():
            self._remove_target(name, revision)
        self._deletions_by_target.clear()
        return True

    def _decode_ranges(self, change: ObjectChange) -> None:
        if change.value is None:
            self.records_by_service.pop(change.name, None)
            self._record_values_by_service.pop(change.name, None)
            return
        known = self.records_by_service.get(change.name)
        if known is None:
            record = RangeRecord.from_value(change.value)
        else:
            before = self._record_values_by_service[change.name]
            record = known.after(before, change.value)
        self.records_by_service[change.name] = record
        self._record_values_by_service[change.name] = change.value
        self.frozen = [
            item
            for item in self.frozen
            if item.service != change.name or not _has_moved(item, known, record)
        ]

    def _decode_instances(self, change: ObjectChange) -> None:
        missing = self._missing_by_kind[INSTANCES]
        if change.value is None and self._is_restored:
            # The instance registers again.
            missing[change.name] = change.version
            return
        missing.pop(change.name, None)
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

    def _decode_rollouts(self, change: ObjectChange) -> None:
        if change.value is None:
            self.orders_by_service.pop(change.name, None)
            return
        order = RolloutOrder(**change.value)
        order.check()
        if order.service != change.name:
            raise ValueError("the order is not named after its service")
        self.orders_by_service[change.name] = order

    def _decode_rollout_records(self, change: ObjectChange) -> None:
        if change.value is None:
            self.rollouts_by_service.pop(change.name, None)
            return
        record = RolloutRecord.from_value(change.value)
        if record.service != change.name:
            raise ValueError("the record is not named after its service")
        known = self.rollouts_by_service.get(change.name)
        if known is not None and not record.is_newer_than(known):
            return
        self.rollouts_by_service[change.name] = record

    def version_of(self, kind: str, name: str) -> int:
        """Return the version of an object in the store; its number is 0 if none is."""
        known = self.replicas_by_kind[kind].by_name.get(name)
        return 0 if known is None else known.version

    @property
    def registered_share(self) -> float:
        """Return one instance's part of the registered ones; 0 until they are known.

        Those out of reach count too: what holds for all instances together is divided
        by it, and they may go on with their parts.
        """
        count = self.registered_count
        return 1 / count if count else 0.0

    @property
    def registered_count(self) -> int:
        """Return the number of registered instances; 0 until they are known."""
        if not self.replicas_by_kind[INSTANCES].revision:
            return 0
        return max(1, len(self.instances_by_id))

    def is_registered(self, instance: str, incarnation: str) -> bool:
        """Tell whether the store has the record of an instance's process."""
        known = self.replicas_by_kind[INSTANCES].by_name.get(instance)
        return (
            known is not None
            and isinstance(known.value, dict)
            and known.value.get("incarnation") == incarnation
        )

    def has_other_process_since(
        self, version: int, instance: str, incarnation: str
    ) -> bool:
        """Tell whether an instance registered another process after a version.

        The store's versions have one order for all kinds, but within an era only, and
        its own number is 0 for an object that it has lost.
        """
        known = self.replicas_by_kind[INSTANCES].by_name.get(instance)
        if known is None or not isinstance(known.value, dict):
            return False
        registered = known.value.get("incarnation")
        if not isinstance(registered, str) or registered == incarnation:
            return False
        is_same_era = era_of(known.version) == era_of(version)
        return is_same_era and known.version > version and number_of(version) > 0

    def range_version(self, service: str) -> int:
        """Return the version of a service's range record in the store.

        The number of the version is 0 if the store has none.
        """
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
