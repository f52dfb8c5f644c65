"""Choose which key ranges move, from the load of targets and keys."""

from collections.abc import Mapping

import attrs

from .record import KEY_SPACE, KeyRange, RangeRecord

__all__ = [
    "LoadView",
    "PlannedMove",
    "initial_moves",
    "joining_moves",
    "levelling_moves",
]

# A target above this part of its slots delays requests that come in bursts.
BUSY_SHARE = 0.65
# Moves between targets of similar load do not pay for the pause of the keys.
LEAST_GAP_SHARE = 0.25
MOVES_PER_ROUND = 4


@attrs.frozen
class PlannedMove:
    """Give a range of keys to a target; its present owner must release it first."""

    first: int
    last: int
    source: str
    destination: str


@attrs.define
class LoadView:
    """Hold work in busy slots: seconds of work a second, measured lately."""

    slots_by_target: Mapping[str, float]
    work_by_key: Mapping[int, float]
    data_centres_by_target: Mapping[str, str] = attrs.field(factory=dict)

    def work_of(self, item: KeyRange) -> float:
        """Return the work of a range."""
        if item.size < len(self.work_by_key):
            keys = range(item.first, item.last + 1)
            return sum(self.work_by_key.get(key, 0.0) for key in keys)
        return sum(
            work
            for key, work in self.work_by_key.items()
            if item.first <= key <= item.last
        )


def initial_moves(record: RangeRecord, load: LoadView) -> list[PlannedMove]:
    """Divide the ranges without an owner among the targets by room.

    Answers the start of a service and the loss of many targets at once: each
    range goes in few pieces, so that the grants stay few.
    """
    targets = sorted(load.slots_by_target)
    if not targets:
        return []
    sizes = dict.fromkeys(targets, 0)
    for item in record.ranges:
        if item.target in sizes:
            sizes[item.target] += item.size
    total_slots = sum(load.slots_by_target.values()) or 1.0
    wanted = {
        t: KEY_SPACE * load.slots_by_target[t] / total_slots - sizes[t] for t in targets
    }
    moves = []
    for item in record.ranges:
        if not item.target:
            moves.extend(_divide(item, wanted))
    return moves


def _divide(item: KeyRange, wanted: dict[str, float]) -> list[PlannedMove]:
    moves = []
    first = item.first
    while first <= item.last:
        target = max(wanted, key=lambda t: (wanted[t], t))
        left = item.last - first + 1
        size = max(1, round(wanted[target])) if wanted[target] > 0 else left
        # A sliver would cost a grant of its own for next to no keys.
        if left - size < 64:
            size = left
        last = first + size - 1
        moves.append(PlannedMove(first, last, "", target))
        wanted[target] -= size
        first = last + 1
    return moves


def joining_moves(
    record: RangeRecord, load: LoadView, fixed: frozenset[str] = frozenset()
) -> list[PlannedMove]:
    """Give targets without keys a part of the widest or busiest ranges.

    Answers targets that were added or that return: without keys they would stay
    idle until another target is overloaded.
    """
    owned: dict[str, list[KeyRange]] = {t: [] for t in load.slots_by_target}
    for item in record.ranges:
        if item.target in owned:
            owned[item.target].append(item)
    idle = [t for t in sorted(owned) if not owned[t] and t not in fixed]
    sources = {t: items for t, items in owned.items() if items and t not in fixed}
    moves = []
    for target in idle[:MOVES_PER_ROUND]:
        if not sources:
            break
        source = max(sources, key=lambda t: _weight(sources[t], load))
        widest = max(sources.pop(source), key=lambda item: _weight([item], load))
        if widest.size < 2:
            continue
        first = _middle(widest, load)
        moves.append(PlannedMove(first, widest.last, source, target))
    return moves


def _weight(items: list[KeyRange], load: LoadView) -> float:
    """Return the work of ranges, with their width to tell idle ones apart."""
    work = sum(load.work_of(item) for item in items)
    return work + sum(item.size for item in items) / KEY_SPACE


def _middle(item: KeyRange, load: LoadView) -> int:
    """Return the key from which on half of a range's work is done."""
    total = load.work_of(item)
    if total <= 0:
        return item.first + item.size // 2
    done = 0.0
    for key in sorted(load.work_by_key):
        if item.first <= key <= item.last:
            done += load.work_by_key[key]
            if done >= total / 2:
                return min(item.last, max(item.first + 1, key))
    return item.first + item.size // 2


def levelling_moves(
    record: RangeRecord, load: LoadView, fixed: frozenset[str] = frozenset()
) -> list[PlannedMove]:
    """Move busy keys from overloaded targets to idle ones.

    Answers a few neighbouring keys that get much of the traffic: the range is cut
    between its busy keys, and the cut part goes to the target with most room.
    Targets in ``fixed`` take part in a move already.
    """
    work = {t: 0.0 for t in load.slots_by_target}
    keys_by_target: dict[str, list[int]] = {}
    for key in sorted(load.work_by_key):
        owner = record.owner(key).target
        if owner in work:
            work[owner] += load.work_by_key[key]
            keys_by_target.setdefault(owner, []).append(key)
    moves: list[PlannedMove] = []
    used = set(fixed)
    for source in sorted(work, key=lambda t: _share(t, work, load), reverse=True):
        if len(moves) >= MOVES_PER_ROUND or _share(source, work, load) < BUSY_SHARE:
            break
        if source in used:
            continue
        free = [t for t in work if t not in used and t != source]
        if not free:
            break
        destination = min(free, key=lambda t: (_share(t, work, load), t))
        gap = _share(source, work, load) - _share(destination, work, load)
        if gap < LEAST_GAP_SHARE:
            break
        amount = gap * load.slots_by_target[destination] / 2
        move = _cut(record, load, keys_by_target.get(source, []), amount)
        if move is not None:
            moves.append(attrs.evolve(move, source=source, destination=destination))
            used |= {source, destination}
    return moves


def _share(target: str, work: dict[str, float], load: LoadView) -> float:
    return work[target] / max(0.1, load.slots_by_target[target])


def _cut(
    record: RangeRecord, load: LoadView, keys: list[int], amount: float
) -> PlannedMove | None:
    """Return the run of neighbouring keys whose work is nearest to ``amount``."""
    best, best_error = None, amount
    for start, first in enumerate(keys):
        item = record.owner(first)
        total = 0.0
        for key in keys[start:]:
            if key > item.last:
                break
            total += load.work_by_key[key]
            error = abs(total - amount)
            if error < best_error:
                best, best_error = PlannedMove(first, key, "", ""), error
            if total > amount:
                break
    return best
