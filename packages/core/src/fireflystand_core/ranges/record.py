"""Record which target owns which range of a service's keys."""

from bisect import bisect_right
from collections.abc import Iterable, Mapping
from functools import cached_property
from typing import Any

import attrs

__all__ = ["KEY_SPACE", "KeyRange", "RangeRecord"]

KEY_SPACE = 65536  # routing keys are numbers from 0 to 65535
# The bits of an epoch or fencing token below the store's era. Both stay below 2**53,
# the bound of whole numbers in JSON, up to era 8191.
ERA_BITS = 40
# A write uses one revision of the store and gives out fewer fencing tokens than this.
TOKENS_PER_REVISION = 4096
MAX_COUNTED_REVISION = 2**27  # leaves half of an era's tokens above its product


@attrs.frozen
class KeyRange:
    """Assign the keys ``first`` to ``last`` (both inclusive) to one target.

    If ``target`` is empty, the range has no owner. The fencing token ``fence`` is
    greater than every token under which another target, or another process of this
    target, owned the range. ``handover`` is what the last owner returned when it
    released the range.
    """

    first: int
    last: int
    target: str = ""
    started_at: int = 0
    fence: int = 0
    handover: str = ""

    @property
    def size(self) -> int:
        """Return the number of keys."""
        return self.last - self.first + 1

    def without(self, holes: Iterable[tuple[int, int]]) -> list["KeyRange"]:
        """Return the parts of the range outside the holes, in order."""
        pieces = [self]
        for first, last in holes:
            pieces = [part for item in pieces for part in _outside([item], first, last)]
        return pieces


@attrs.frozen
class RangeRecord:
    """Hold the ranges of a service in order, without gaps, and its coordinator.

    ``epoch`` rises with each claim of a coordinator; ``next_fence`` only increases.
    ``holder`` and ``holder_incarnation`` name the process that may change it. With
    ``awaits_leases``, a restored store may have lost the latest assignments, and no
    range is granted until every lease under them has ended. ``lease_validity_ms`` tells
    for how many milliseconds after sending a target may act on a grant of the holder;
    None if the holder runs a build that does not state it. ``earlier_leases_ms`` tells
    for how many milliseconds after the claim a target may act on grants of coordinators
    before the holder; 0 if the leases of the holder last longer than these.
    """

    service: str
    ranges: tuple[KeyRange, ...] = (KeyRange(0, KEY_SPACE - 1),)
    next_fence: int = 1
    epoch: int = 0
    holder: str = ""
    holder_incarnation: str = ""
    awaits_leases: bool = False
    lease_validity_ms: int | None = None
    earlier_leases_ms: int = 0
    _firsts: tuple[int, ...] = attrs.field(init=False, repr=False, eq=False)

    @_firsts.default
    def _index(self) -> tuple[int, ...]:
        return tuple(item.first for item in self.ranges)

    def owner(self, key: int) -> KeyRange:
        """Return the range of a key."""
        return self.ranges[bisect_right(self._firsts, key) - 1]

    def parts_owned_differently(self, other: "RangeRecord") -> list[KeyRange]:
        """Return the parts of the ranges that another record gives another owner."""
        parts = []
        for item in self.ranges:
            first = item.first
            while first <= item.last:
                found = other.owner(first)
                last = min(item.last, found.last)
                if (found.target, found.started_at) != (item.target, item.started_at):
                    parts.append(attrs.evolve(item, first=first, last=last))
                first = last + 1
        return parts

    def assign(
        self,
        first: int,
        last: int,
        target: str,
        started_at: int = 0,
    ) -> "RangeRecord":
        """Assign the keys to a target under a new fencing token."""
        fence = self.next_fence
        given = KeyRange(first, last, target, started_at, fence if target else 0)
        ranges = [*_outside(self.ranges, first, last), given]
        ranges.sort(key=lambda item: item.first)
        return attrs.evolve(self, ranges=_merged(ranges), next_fence=fence + 1)

    @property
    def era(self) -> int:
        """Return the store's era in which the coordinator claimed the service."""
        return self.epoch >> ERA_BITS

    @property
    def progress(self) -> tuple[int, int]:
        """Return what orders the records of a service by their content."""
        return self.epoch, self.next_fence

    def is_held_by(self, holder: str, incarnation: str) -> bool:
        """Tell whether the record names this process as its coordinator."""
        return (self.holder, self.holder_incarnation) == (holder, incarnation)

    def claim(
        self,
        holder: str,
        incarnation: str,
        *,
        era: int = 0,
        number: int = 0,
        is_complete: bool = False,
        lease_validity_ms: int | None = None,
        earlier_leases_ms: int = 0,
    ) -> "RangeRecord":
        """Return the record with a later epoch, under a new coordinator.

        The claim replaces the version ``number`` of the store's ``era``. The first
        claim in an era raises the epoch and the fencing tokens above all that earlier
        coordinators may have given out in records that are lost. ``is_complete`` tells
        that no assignment can be missing here.
        """
        is_first = era > self.era
        counted = min(number, MAX_COUNTED_REVISION) * TOKENS_PER_REVISION
        floor = (era << ERA_BITS) + counted if is_first else 0
        return attrs.evolve(
            self,
            epoch=max(self.epoch + 1, floor),
            next_fence=max(self.next_fence, floor),
            holder=holder,
            holder_incarnation=incarnation,
            awaits_leases=self.awaits_leases or (is_first and not is_complete),
            lease_validity_ms=lease_validity_ms,
            earlier_leases_ms=earlier_leases_ms,
        )

    def with_earlier_leases(self, duration_ms: int) -> "RangeRecord":
        """Return the record with another duration of the earlier leases.

        The next fencing token orders the records of a claim.
        """
        return attrs.evolve(
            self, earlier_leases_ms=duration_ms, next_fence=self.next_fence + 1
        )

    def settle(self, started_at_by_target: Mapping[str, int]) -> "RangeRecord":
        """Assign all ranges again once every earlier lease has ended.

        A range whose owner's process is not among the given ones gets no owner.
        """
        if not self.awaits_leases:
            return self
        record = attrs.evolve(self, awaits_leases=False)
        for item in self.ranges:
            target = item.target
            if target and started_at_by_target.get(target) != item.started_at:
                target = ""
            started_at = item.started_at if target else 0
            record = record.assign(item.first, item.last, target, started_at)
        return record

    def owned_by(self, target: str) -> list[KeyRange]:
        """Return the ranges of a target."""
        return self.ranges_by_target.get(target, [])

    @cached_property
    def ranges_by_target(self) -> Mapping[str, list[KeyRange]]:
        """Return the ranges of each target that has some, in order."""
        ranges_by_target: dict[str, list[KeyRange]] = {}
        for item in self.ranges:
            if item.target:
                ranges_by_target.setdefault(item.target, []).append(item)
        return ranges_by_target

    def to_value(self) -> dict[str, Any]:
        """Return the form that is stored in the object store."""
        value: dict[str, Any] = {"awaits_leases": True} if self.awaits_leases else {}
        if self.lease_validity_ms is not None:
            value["lease_validity_ms"] = self.lease_validity_ms
        if self.earlier_leases_ms:
            value["earlier_leases_ms"] = self.earlier_leases_ms
        return value | {
            "service": self.service,
            "epoch": self.epoch,
            "holder": self.holder,
            "holder_incarnation": self.holder_incarnation,
            "next_fence": self.next_fence,
            "ranges": [
                [item.first, item.last, item.target, item.started_at, item.fence]
                for item in self.ranges
            ],
        }

    @classmethod
    def from_value(cls, value: dict[str, Any]) -> "RangeRecord":
        """Return the record of a stored form; raise ValueError if a type is wrong."""
        ranges = tuple(KeyRange(*item) for item in value["ranges"])
        _check_types(ranges)
        return cls._from_header(value, ranges)

    def after(self, before: dict[str, Any], value: dict[str, Any]) -> "RangeRecord":
        """Return the record of a later stored form; raise ValueError as from_value.

        ``before`` is the stored form of this record. A range that is the same object
        in both forms is not read again: a change of one range in hundreds comes to
        every instance.
        """
        earlier, later = before["ranges"], value["ranges"]
        shortest = min(len(earlier), len(later))
        start = 0
        while start < shortest and earlier[start] is later[start]:
            start += 1
        rest = 0
        while rest < shortest - start and earlier[-1 - rest] is later[-1 - rest]:
            rest += 1
        end = len(later) - rest
        changed = tuple(KeyRange(*item) for item in later[start:end])
        _check_types(changed)
        kept = self.ranges[len(earlier) - rest :]
        return type(self)._from_header(value, self.ranges[:start] + changed + kept)

    @classmethod
    def _from_header(
        cls, value: dict[str, Any], ranges: tuple[KeyRange, ...]
    ) -> "RangeRecord":
        record = cls(
            service=value["service"],
            ranges=ranges,
            next_fence=value["next_fence"],
            epoch=value["epoch"],
            holder=value["holder"],
            holder_incarnation=value["holder_incarnation"],
            awaits_leases=value.get("awaits_leases", False),
            lease_validity_ms=value.get("lease_validity_ms"),
            earlier_leases_ms=value.get("earlier_leases_ms", 0),
        )
        _check_all([record.service, record.holder, record.holder_incarnation], str)
        _check_all([record.next_fence, record.epoch, record.earlier_leases_ms], int)
        if record.lease_validity_ms is not None:
            _check_all([record.lease_validity_ms], int)
        if not ranges:
            raise ValueError("a range record without ranges")
        return record


def _check_types(ranges: Iterable[KeyRange]) -> None:
    for item in ranges:
        _check_all((item.target, item.handover), str)
        _check_all((item.first, item.last, item.started_at, item.fence), int)


def _check_all(values: Iterable[Any], kind: type) -> None:
    if not all(type(value) is kind for value in values):
        raise ValueError(f"a value in a range record is not of type {kind.__name__}")


def _outside(ranges: Iterable[KeyRange], first: int, last: int):
    for item in ranges:
        if item.last < first or item.first > last:
            yield item
            continue
        if item.first < first:
            yield attrs.evolve(item, last=first - 1)
        if item.last > last:
            yield attrs.evolve(item, first=last + 1)


def _merged(ranges: list[KeyRange]) -> tuple[KeyRange, ...]:
    """Merge adjacent ranges of one owner under the highest of their fencing tokens.

    No other target owned any of their keys under that token or a higher one.
    """
    merged: list[KeyRange] = []
    for item in ranges:
        last = merged[-1] if merged else None
        if last and (last.target, last.started_at) == (item.target, item.started_at):
            fence = max(last.fence, item.fence)
            merged[-1] = attrs.evolve(last, last=item.last, fence=fence)
        else:
            merged.append(item)
    return tuple(merged)
