"""Find the hottest keys of a group and spread them over targets."""

from collections.abc import Iterable, Mapping

import attrs

__all__ = ["HotKeyCounter", "spread_hot_keys"]


@attrs.define
class _Count:
    count: float
    error: float


class HotKeyCounter:
    """Count the hottest keys in bounded memory (space-saving)."""

    def __init__(self, capacity: int = 128) -> None:
        self.capacity = capacity
        self.total = 0.0
        self._counts: dict[int, _Count] = {}

    def add(self, key: int, amount: float = 1.0) -> None:
        """Count a request; a new key replaces the coldest one when full."""
        self.total += amount
        known = self._counts.get(key)
        if known is not None:
            known.count += amount
        elif len(self._counts) < self.capacity:
            self._counts[key] = _Count(amount, 0.0)
        else:
            coldest = min(self._counts, key=lambda k: self._counts[k].count)
            floor = self._counts.pop(coldest).count
            self._counts[key] = _Count(floor + amount, floor)

    def decay(self, factor: float) -> None:
        """Weigh past requests down, so that keys that cooled are forgotten."""
        self.total *= factor
        for entry in self._counts.values():
            entry.count *= factor
            entry.error *= factor

    def hottest(self, least: float) -> list[tuple[int, float]]:
        """Return keys with a sure count of at least ``least``, hottest first."""
        sure = [(key, c.count - c.error) for key, c in self._counts.items()]
        hot = [(key, count) for key, count in sure if count >= least]
        return sorted(hot, key=lambda pair: (-pair[1], pair[0]))


def spread_hot_keys(
    hot: Iterable[tuple[int, float]],
    target_by_key: Mapping[int, str],
    targets: Iterable[str],
) -> dict[int, str]:
    """Return the keys to move and their targets, so that few hot keys share one.

    A key moves only if that lowers the hot load it meets by more than its own.
    """
    loads = dict.fromkeys(sorted(targets), 0.0)
    moves: dict[int, str] = {}
    for key, load in hot:
        current = target_by_key.get(key)
        coolest = min(loads, key=loads.__getitem__)
        if current not in loads or loads[current] - loads[coolest] > load / 2:
            moves[key] = current = coolest
        loads[current] += load
    return moves
