"""Choose which key ranges move, from the load of targets and keys."""

import math
from collections.abc import Mapping

import attrs

from .record import KEY_SPACE, KeyRange, RangeRecord

__all__ = [
    "LoadView",
    "PlannedMove",
    "initial_moves",
    "moves_to_idle_targets",
    "rebalancing_moves",
    "work_cost",
]

# A move pauses its keys until their running requests end. It is worth that only if it
# reduces the cost of the two targets by more than this share.
MIN_COST_REDUCTION = 0.2
SATURATED = 0.95  # load beyond which the queue grows and its formula no longer holds
SATURATION_SLOPE = 20.0  # growth of the relative wait beyond that load
# Shares of the source's work that are tried as the size of a move.
MOVE_SHARES = (0.1, 0.2, 0.35, 0.5)
MOVES_PER_ROUND = 8
# Busy neighbouring keys may give one target the work of forty. Halving its work in each
# round took six rounds, about 5 s, which is as long as such keys stay busy. A target
# beyond OVERLOAD therefore fills each of the others to RELIEF_LOAD in one round.
OVERLOAD = 1.5  # of a target's capacity
RELIEF_LOAD = 0.7  # of a target's capacity; the rest remains for its own keys
RELIEF_MOVES = 32  # in one round; each release uses a connection to the target
# A key that overloads its owner alone gains nothing on another target unless that is
# clearly faster. Measured speeds of equal targets differ by less than this factor.
CLEARLY_FASTER = 1.25


@attrs.frozen
class PlannedMove:
    """Move a range of keys to a target after its current owner has released it."""

    first: int
    last: int
    source: str
    destination: str


@attrs.define
class LoadView:
    """Hold recent work in busy slots, that is, seconds of work per second."""

    slots_by_target: Mapping[str, int]
    work_by_key: Mapping[int, float]
    speeds_by_target: Mapping[str, float] = attrs.field(factory=dict)

    def capacity(self, target: str) -> float:
        """Return a target's capacity in slots of mean speed."""
        return self.slots_by_target[target] * self.speeds_by_target.get(target, 1.0)

    def cost(self, target: str, work: float) -> float:
        """Return the cost to callers of an amount of work at a target."""
        speed = self.speeds_by_target.get(target, 1.0)
        return work_cost(work, self.slots_by_target[target], speed)

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


def work_cost(work: float, slots: int, speed: float) -> float:
    """Return the work times the square of its relative duration.

    The duration is that of a queue with ``slots`` servers (Sakasegawa's formula,
    1977). The square accounts for late responses: their share grows
    about twice as fast as the duration.
    """
    load = work / (slots * speed)
    steady = min(load, SATURATED)
    waiting = steady ** math.sqrt(2 * (slots + 1)) / (slots * (1 - steady))
    if load > SATURATED:
        waiting += (load - SATURATED) * SATURATION_SLOPE
    return work * ((1 + waiting) / speed) ** 2


def initial_moves(record: RangeRecord, load: LoadView) -> list[PlannedMove]:
    """Divide the ranges without an owner among the targets by capacity.

    This is needed when a service starts or many targets are lost at once. Each range
    is divided into few pieces to keep the number of grants low.
    """
    targets = sorted(load.slots_by_target)
    if not targets:
        return []
    sizes = dict.fromkeys(targets, 0)
    for item in record.ranges:
        if item.target in sizes:
            sizes[item.target] += item.size
    total = sum(load.capacity(t) for t in targets)
    wanted = {t: KEY_SPACE * load.capacity(t) / total - sizes[t] for t in targets}
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
        # A remainder of fewer than 64 keys is not worth a separate grant.
        if left - size < 64:
            size = left
        last = first + size - 1
        moves.append(PlannedMove(first, last, "", target))
        wanted[target] -= size
        first = last + 1
    return moves


def moves_to_idle_targets(
    record: RangeRecord, load: LoadView, limit: int = MOVES_PER_ROUND
) -> list[PlannedMove]:
    """Move a part of the widest or busiest ranges to targets without keys.

    Targets that were added or have returned would otherwise stay idle until another
    target is overloaded.
    """
    owned: dict[str, list[KeyRange]] = {t: [] for t in load.slots_by_target}
    for item in record.ranges:
        if item.target in owned:
            owned[item.target].append(item)
    idle = [t for t in sorted(owned) if not owned[t]]
    sources = {t: items for t, items in owned.items() if items}
    moves = []
    for target in idle[:limit]:
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
    """Return the work of ranges, plus their width so that idle ranges differ."""
    work = sum(load.work_of(item) for item in items)
    return work + sum(item.size for item in items) / KEY_SPACE


def _middle(item: KeyRange, load: LoadView) -> int:
    """Return the key that divides the work of a range into halves."""
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


def rebalancing_moves(
    record: RangeRecord,
    load: LoadView,
    limit: int = MOVES_PER_ROUND,
    min_load: float = 0.0,
) -> list[PlannedMove]:
    """Move busy keys from loaded or slow targets to idle or fast ones.

    This handles a few neighbouring keys with much of the traffic, and targets of
    different speeds: the range is split between its busy keys, and the parts move to
    the targets where their work costs callers least. One busy target may move parts
    to several others in one round. Load is counted by key, so a planned move is
    reflected at once. Targets whose load is below ``min_load`` of their capacity
    keep their keys.
    """
    work, keys_by_target = _work_by_target(record, load)
    moves: list[PlannedMove] = []
    settled: set[str] = set()
    while True:
        sources = [
            t
            for t in work
            if t not in settled and work[t] > min_load * load.capacity(t)
        ]
        if not sources or len(work) < 2:
            break
        source = max(sources, key=lambda t: _marginal_cost(load, t, work[t]))
        relieves = _is_overloaded(load, source, work[source])
        if len(moves) >= (max(limit, RELIEF_MOVES) if relieves else limit):
            break
        free = [t for t in work if t != source]
        destination = min(free, key=lambda t: (_marginal_cost(load, t, work[t]), t))
        move = _best_move(record, load, work, keys_by_target, source, destination)
        if move is None:
            settled.add(source)
            continue
        moves.append(move)
        _apply_move(move, load, work, keys_by_target)
    return moves


def _best_move(
    record: RangeRecord,
    load: LoadView,
    work: Mapping[str, float],
    keys_by_target: Mapping[str, list[int]],
    source: str,
    destination: str,
) -> PlannedMove | None:
    amount = _best_amount(load, work, source, destination)
    if not amount:
        return None
    unmovable = _unmovable_keys(
        load, keys_by_target.get(source, []), source, destination
    )
    move = _nearest_run(record, load, keys_by_target.get(source, []), amount, unmovable)
    if move is None:
        return None
    return attrs.evolve(move, source=source, destination=destination)


def _unmovable_keys(
    load: LoadView, keys: list[int], source: str, destination: str
) -> frozenset[int]:
    """Return the keys that each saturate the source; none for a faster destination."""
    capacity = load.capacity(source)
    if load.capacity(destination) >= CLEARLY_FASTER * capacity:
        return frozenset()
    return frozenset(k for k in keys if load.work_by_key[k] >= SATURATED * capacity)


def _apply_move(
    move: PlannedMove,
    load: LoadView,
    work: dict[str, float],
    keys_by_target: dict[str, list[int]],
) -> None:
    """Count the work of a move at its destination and drop its keys at the source.

    The keys are not added at the destination, so none moves twice in one round.
    """
    moved = [k for k in keys_by_target[move.source] if move.first <= k <= move.last]
    amount = sum(load.work_by_key[key] for key in moved)
    work[move.source] -= amount
    work[move.destination] += amount
    keys_by_target[move.source] = [
        k for k in keys_by_target[move.source] if not move.first <= k <= move.last
    ]


def _work_by_target(
    record: RangeRecord, load: LoadView
) -> tuple[dict[str, float], dict[str, list[int]]]:
    work = dict.fromkeys(load.slots_by_target, 0.0)
    keys_by_target: dict[str, list[int]] = {}
    for key in sorted(load.work_by_key):
        owner = record.owner(key).target
        if owner in work:
            work[owner] += load.work_by_key[key]
            keys_by_target.setdefault(owner, []).append(key)
    return work, keys_by_target


def _marginal_cost(load: LoadView, target: str, work: float) -> float:
    """Return the cost of a little more work for each unit of it."""
    step = 0.05 * load.slots_by_target[target]
    return (load.cost(target, work + step) - load.cost(target, work)) / step


def _is_overloaded(load: LoadView, target: str, work: float) -> bool:
    return work > OVERLOAD * load.capacity(target)


def _best_amount(
    load: LoadView, work: Mapping[str, float], source: str, destination: str
) -> float:
    """Return how much work to move; 0 if no amount reduces the cost enough."""
    free = RELIEF_LOAD * load.capacity(destination) - work[destination]
    if _is_overloaded(load, source, work[source]) and free > 0:
        return min(free, work[source] / 2)
    before = load.cost(source, work[source]) + load.cost(destination, work[destination])
    best, best_cost = 0.0, before * (1 - MIN_COST_REDUCTION)
    for share in MOVE_SHARES:
        amount = share * work[source]
        after = load.cost(source, work[source] - amount) + load.cost(
            destination, work[destination] + amount
        )
        if after < best_cost:
            best, best_cost = amount, after
    return best


def _nearest_run(
    record: RangeRecord,
    load: LoadView,
    keys: list[int],
    amount: float,
    unmovable: frozenset[int],
) -> PlannedMove | None:
    """Return the run of neighbouring keys whose work is nearest to ``amount``."""
    best, best_error = None, amount
    start, total = 0, 0.0
    for end, key in enumerate(keys):
        if key in unmovable:
            start, total = end + 1, 0.0
            continue
        if key > record.owner(keys[start]).last:
            start, total = end, 0.0
        total += load.work_by_key[key]
        while start < end and total - load.work_by_key[keys[start]] >= amount:
            total -= load.work_by_key[keys[start]]
            start += 1
        error = abs(total - amount)
        if error < best_error:
            best, best_error = PlannedMove(keys[start], key, "", ""), error
    return best
