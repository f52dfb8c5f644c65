"""Give the hottest keys shards of their own."""

from collections.abc import Callable, Mapping

from .hot_keys import HotKeyCounter, spread_hot_keys
from .record import MAX_OVERRIDES, GroupRecord
from .timing import Timing

__all__ = ["OverridePlan"]

HOT_PART = 0.2  # of a target's equal part of the requests
DECAY = 0.5  # of the counts, each period


class OverridePlan:
    """Follow the change of overrides under way.

    The shards that a change touches are held: released by their owner and not
    served until the record is written, so that no key has two owners meanwhile.
    """

    def __init__(self, identity, timing: Timing) -> None:
        self._identity = identity
        self._timing = timing
        self.counter = HotKeyCounter()
        self.held: frozenset[int] = frozenset()
        self._added: dict[int, tuple[int, str]] = {}
        self._removed: frozenset[int] = frozenset()
        self._next_at: float | None = None

    def shard_of(self, key: int) -> int:
        """Return the shard that contains a key without an override."""
        return key * self._identity.total_shards >> 64

    def update(
        self, record: GroupRecord, weights: Mapping[str, float], now: float
    ) -> None:
        """Choose a change of overrides once in each period."""
        if self._next_at is None:
            self._next_at = now + self._timing.hot_key_period
        if now < self._next_at or self.held or len(weights) < 2:
            return
        self._next_at = now + self._timing.hot_key_period
        least = max(1.0, self.counter.total / len(weights) * HOT_PART)
        hot = self.counter.hottest(least)[:MAX_OVERRIDES]
        self.counter.decay(DECAY)
        self._choose(record, hot, weights)

    def _choose(self, record, hot, weights) -> None:
        owners = {
            key: record.owners.get(record.overrides.get(key, self.shard_of(key)))
            for key, _ in hot
        }
        moves = spread_hot_keys(hot, owners, weights)
        keys = {key for key, _ in hot}
        added = {k: t for k, t in moves.items() if k not in record.overrides}
        if not added:
            return
        cold = [k for k in record.overrides if k not in keys]
        excess = len(record.overrides) + len(added) - MAX_OVERRIDES
        self._removed = frozenset(cold[: max(0, excess)])
        freed = {record.overrides[k] for k in self._removed}
        numbers = self._free_numbers(set(record.overrides.values()) - freed)
        self._added = dict(
            (key, (number, target))
            for (key, target), number in zip(added.items(), numbers, strict=False)
        )
        touched = (*self._added, *self._removed)
        self.held = frozenset(self.shard_of(k) for k in touched) | freed

    def _free_numbers(self, used: set[int]) -> list[int]:
        first = self._identity.total_shards + self._identity.group
        step = self._identity.groups
        numbers = range(first, first + MAX_OVERRIDES * step, step)
        return [number for number in numbers if number not in used]

    def next_record(
        self, record: GroupRecord, free: Callable[[int], bool], op: str
    ) -> GroupRecord | None:
        """Return the record to write once all held shards are free."""
        if not self.held or not all(map(free, self.held)):
            return None
        return record.override(self._added, self._removed, op)

    def written(self, record: GroupRecord) -> None:
        """End the change that a written record contains."""
        if not self.held:
            return
        added = all(k in record.overrides for k in self._added)
        removed = not any(k in record.overrides for k in self._removed)
        if added and removed:
            self.held = frozenset()
            self._added = {}
            self._removed = frozenset()
