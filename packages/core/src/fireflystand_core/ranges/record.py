"""Record which target owns which range of a service's keys."""

from bisect import bisect_right
from collections.abc import Iterable, Mapping
from functools import cached_property
from typing import Any

import attrs

__all__ = ["KEY_SPACE", "KeyRange", "RangeRecord"]

KEY_SPACE = 65536  # routing keys are numbers from 0 to 65535


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

    ``epoch`` counts the claims of coordinators; ``next_fence`` only increases.
    ``holder`` and ``holder_incarnation`` name the process that may change it.
    """

    service: str
    ranges: tuple[KeyRange, ...] = (KeyRange(0, KEY_SPACE - 1),)
    next_fence: int = 1
    epoch: int = 0
    holder: str = ""
    holder_incarnation: str = ""
    _firsts: tuple[int, ...] = attrs.field(init=False, repr=False, eq=False)

    @_firsts.default
    def _index(self) -> tuple[int, ...]:
        return tuple(item.first for item in self.ranges)

    def owner(self, key: int) -> KeyRange:
        """Return the range of a key."""
        return self.ranges[bisect_right(self._firsts, key) - 1]

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

    def claim(self, holder: str, incarnation: str) -> "RangeRecord":
        """Return the record with the next epoch, under a new coordinator."""
        return attrs.evolve(
            self,
            epoch=self.epoch + 1,
            holder=holder,
            holder_incarnation=incarnation,
        )

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
        return {
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
        record = cls(
            service=value["service"],
            ranges=tuple(KeyRange(*item) for item in value["ranges"]),
            next_fence=value["next_fence"],
            epoch=value["epoch"],
            holder=value["holder"],
            holder_incarnation=value["holder_incarnation"],
        )
        record._check_types()
        return record

    def _check_types(self) -> None:
        texts = [self.service, self.holder, self.holder_incarnation]
        numbers = [self.next_fence, self.epoch]
        for item in self.ranges:
            texts += (item.target, item.handover)
            numbers += (item.first, item.last, item.started_at, item.fence)
        if not all(type(text) is str for text in texts):
            raise ValueError("something else than text in a range record")
        if not numbers[2:] or not all(type(number) is int for number in numbers):
            raise ValueError("something else than whole numbers in a range record")


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
