"""Keep what an instance knows when the store is restored from an earlier copy."""

from collections.abc import Callable
from typing import Any

import attrs

from fireflystand_core.replica import ObjectChange, era_of
from fireflystand_core.traffic import RoutingTable, TargetRecord

from .ports import CONFIGURATION, RANGES, TARGETS, ReadTable, ReadTarget

__all__ = ["MALFORMED", "ContentOrder", "TargetRemovals"]

TABLES_KEPT = 2  # the configuration in force and the one that is compared with it
# What decoding a malformed object may raise.
MALFORMED = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
# The restored copy is some seconds old, so it holds no target that was removed longer
# ago than this.
REMOVALS_KEPT = 60.0  # seconds
MAX_REMOVALS = 10_000
# The platform removes the record of a target after three missed heartbeats.
LAPSE_PERIOD = 3.0  # seconds


class ContentOrder:
    """Order contents of an object by what they tell, whatever the store's revision.

    A configuration is ordered by its own version, and the record of key ranges by its
    epoch and its next fencing token, both of which only grow.
    """

    def __init__(self, read_table: ReadTable, read_target: ReadTarget) -> None:
        self._read_table = read_table
        self._read_target = read_target
        self._tables: list[tuple[Any, RoutingTable]] = []

    def read_table(self, value: Any) -> RoutingTable:
        """Return the routing table of a configuration."""
        for known, table in self._tables:
            if known is value:
                return table
        table = self._read_table(value)
        self._tables = [(value, table), *self._tables[: TABLES_KEPT - 1]]
        return table

    def is_older(self, kind: str, change: ObjectChange, known: ObjectChange) -> bool:
        """Tell whether a change holds older content than what is known."""
        if change.value is None or known.value is None or change.value == known.value:
            return False
        if kind == TARGETS:
            return self._is_older_target(change, known)
        key, known_key = self._key(kind, change.value), self._key(kind, known.value)
        return key is not None and known_key is not None and key < known_key

    def _key(self, kind: str, value: Any) -> tuple[int, ...] | None:
        try:
            if kind == CONFIGURATION:
                return (self.read_table(value).version,)
            if kind == RANGES:
                return (int(value["epoch"]), int(value["next_fence"]))
        except MALFORMED:
            return None
        return None

    def _is_older_target(self, change: ObjectChange, known: ObjectChange) -> bool:
        if era_of(change.version) <= era_of(known.version):
            # Within an era the store's order is that of the target's reports.
            return False
        try:
            record, before = self._read_target(change), self._read_target(known)
        except MALFORMED:
            return False
        if record is None or before is None:
            return False
        if record.started_at == before.started_at:
            return before.leaving and not record.leaving
        return record.started_at < before.started_at


@attrs.frozen
class _Removal:
    """Hold which process of a target was removed, and when."""

    started_at: int
    removed_at: float  # seconds


class TargetRemovals:
    """Remember removed targets, which a restored copy of the store may still hold.

    The record of such a target is doubtful until the target has written it again, or
    until it would have lapsed if nobody wrote it.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._removals_by_target: dict[str, _Removal] = {}
        self._doubtful_until_by_target: dict[str, float] = {}

    def add(self, target: TargetRecord) -> None:
        """Remember that a target was removed."""
        now = self._clock()
        self._doubtful_until_by_target.pop(target.id, None)
        self._removals_by_target.pop(target.id, None)
        self._removals_by_target[target.id] = _Removal(target.started_at, now)
        # In the order of removal, so the oldest are the first.
        for name, removal in list(self._removals_by_target.items()):
            is_recent = now - removal.removed_at < REMOVALS_KEPT
            if is_recent and len(self._removals_by_target) <= MAX_REMOVALS:
                break
            del self._removals_by_target[name]

    def add_restored(self, target: TargetRecord) -> None:
        """Doubt a record in a restored copy if its process was removed before."""
        removal = self._removals_by_target.get(target.id)
        if removal is not None and target.started_at <= removal.started_at:
            self._doubtful_until_by_target[target.id] = self._clock() + LAPSE_PERIOD

    def add_written(self, target_id: str) -> None:
        """Trust a record that was written after the restoration."""
        self._doubtful_until_by_target.pop(target_id, None)
        self._removals_by_target.pop(target_id, None)

    def is_doubtful(self, target_id: str) -> bool:
        """Tell whether a target's record may be one that had been removed."""
        return target_id in self._doubtful_until_by_target

    def expire(self, read_at: float) -> bool:
        """Trust the records that have not lapsed; tell whether there are any.

        ``read_at`` is the time at which the store was last read.
        """
        lasting = [
            name
            for name, until in self._doubtful_until_by_target.items()
            if until <= read_at
        ]
        for name in lasting:
            self.add_written(name)
        return bool(lasting)
