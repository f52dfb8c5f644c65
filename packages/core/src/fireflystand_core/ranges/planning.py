"""Choose which key ranges move, from the load of targets and keys.

With ``LoadView.by_load`` the choice also covers the load pattern of services whose
callers are bounded by nothing but the targets' capacity: cold targets, targets of
unequal speed, and single keys with more traffic than one target can run.
"""

import math
from collections.abc import Collection, Mapping

import attrs

from .key_weights import KeyWeights
from .record import KEY_SPACE, KeyRange, RangeRecord

__all__ = [
    "HotKeys",
    "LoadView",
    "PlannedMove",
    "RisenLoads",
    "initial_moves",
    "isolating_moves",
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
COLD_SLOWDOWN = 2.0  # duration of a request on a cold target over that on a warm one
# Each piece of a divided range is a separate grant, and a fragment of the record.
MAX_PIECES = 8  # of a target's mean part, unless targets lack smaller pieces
MIN_PIECE_KEYS = 64
# Work expected at keys without known work, as a fraction of all work that is known.
UNSEEN_WORK = 0.1
MIN_KNOWN_WORK = 0.05  # busy slots; below this, ranges are divided by their keys
RISEN_AFTER = 1.0  # seconds; unless the target can no longer run it
CHANCE_DEVIATIONS = 3.0  # standard deviations that one target in 700 exceeds by chance
HOT_AFTER = 1.0  # seconds; shorter peaks move no keys
COOLED = 0.7  # of the fastest target's capacity; below it, a hot key is so no longer
# A target with a hot key is full, and so up to this many times slower than without it.
# Judged like an idle target, each owner in turn lost the key, 9 times in 60 s.
LOADED_SLOWDOWN = 2.0
# Keys that arrive without a handover are slow for this long, so a move of a hot key
# because of shorter slowness costs as much as it gains.
SLOW_OWNER_AFTER = 5.0  # seconds
# Neighbours of a hot key move if their work exceeds this share of its owner's capacity.
MIN_NEIGHBOUR_LOAD = 0.05


@attrs.frozen
class PlannedMove:
    """Move a range of keys to a target after its current owner has released it."""

    first: int
    last: int
    source: str
    destination: str


@attrs.define
class LoadView:
    """Hold recent work in busy slots, that is, seconds of work per second.

    ``limits_by_target`` holds the work that cold targets can take at their warm-up
    rate. Targets in ``soon_warm`` are warm again before their keys could move, so
    these stay. Those in ``closed`` have not shown that they respond, so they keep
    their keys and get none. Those in ``joining`` have just become warm and hold few
    keys. Keys in ``fixed_keys`` are moved by ``isolating_moves``
    only. ``by_load`` divides ranges by their work instead of by their keys. Random
    arrivals vary an amount of work by the square root of its product with
    ``variance``.
    """

    slots_by_target: Mapping[str, int]
    work_by_key: Mapping[int, float]
    speeds_by_target: Mapping[str, float] = attrs.field(factory=dict)
    limits_by_target: Mapping[str, float] = attrs.field(factory=dict)
    soon_warm: Collection[str] = ()
    closed: Collection[str] = ()
    joining: Collection[str] = ()
    fixed_keys: Collection[int] = ()
    by_load: bool = False
    variance: float = 0.0

    def capacity(self, target: str) -> float:
        """Return a target's capacity in slots of mean speed."""
        capacity = self.slots_by_target[target] * self.speeds_by_target.get(target, 1.0)
        return min(capacity, self.limits_by_target.get(target, capacity))

    @property
    def open_targets(self) -> list[str]:
        """Return the targets that may get keys."""
        return [t for t in self.slots_by_target if t not in self.closed]

    def is_cold(self, target: str) -> bool:
        """Tell whether a target gets no more than its warm-up rate."""
        return target in self.limits_by_target

    def cost(self, target: str, work: float) -> float:
        """Return the cost to callers of an amount of work at a target."""
        speed = self.speeds_by_target.get(target, 1.0)
        slots = self.slots_by_target[target]
        if self.is_cold(target):
            speed /= COLD_SLOWDOWN
            return _queue_cost(work, work / self.capacity(target), slots, speed)
        return work_cost(work, slots, speed)

    def weights(self) -> KeyWeights:
        """Return how much work to expect at each key."""
        total = sum(self.work_by_key.values())
        if total < MIN_KNOWN_WORK:
            return KeyWeights({}, 1 / KEY_SPACE)
        return KeyWeights(self.work_by_key, UNSEEN_WORK * total / KEY_SPACE)

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
    return _queue_cost(work, work / (slots * speed), slots, speed)


def _queue_cost(work: float, load: float, slots: int, speed: float) -> float:
    steady = min(load, SATURATED)
    waiting = steady ** math.sqrt(2 * (slots + 1)) / (slots * (1 - steady))
    if load > SATURATED:
        waiting += (load - SATURATED) * SATURATION_SLOPE
    return work * ((1 + waiting) / speed) ** 2


def initial_moves(
    record: RangeRecord, load: LoadView, former: RangeRecord | None = None
) -> list[PlannedMove]:
    """Divide the ranges without an owner among the targets by capacity.

    This is needed when a service starts or many targets are lost at once. Each range
    is divided into few pieces to keep the number of grants low. ``former`` names the
    owners before; by load, one that has restarted keeps what it can run of its keys.
    """
    targets = sorted(load.slots_by_target)
    if not targets:
        return []
    if load.by_load:
        return _initial_moves_by_load(record, load, former or record)
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
        # A smaller remainder is not worth a separate grant.
        if left - size < MIN_PIECE_KEYS:
            size = left
        last = first + size - 1
        moves.append(PlannedMove(first, last, "", target))
        wanted[target] -= size
        first = last + 1
    return moves


def _initial_moves_by_load(
    record: RangeRecord, load: LoadView, former: RangeRecord
) -> list[PlannedMove]:
    """Divide the ranges without an owner in proportion to work and capacity."""
    vacant = [item for item in record.ranges if not item.target]
    if not vacant or not load.open_targets:
        return []
    weights = load.weights()
    wanted = _wanted_work(record, load, weights)
    smallest = weights.weight(0, KEY_SPACE - 1) / len(load.slots_by_target) / MAX_PIECES
    moves, rest = [], []
    for item in vacant:
        kept = _kept_part(item, former, wanted, weights)
        if kept is not None:
            moves.append(kept)
            wanted[kept.destination] -= weights.weight(kept.first, kept.last)
            item = attrs.evolve(item, first=kept.last + 1)
        if item.size:
            rest.append(item)
    for item in rest:
        moves.extend(_divide_by_work(item, wanted, load, weights, smallest))
    return moves


def _kept_part(
    item: KeyRange,
    former: RangeRecord,
    wanted: Mapping[str, float],
    weights: KeyWeights,
) -> PlannedMove | None:
    """Return the part of a range that its restarted owner can run, if any."""
    owner = former.owner(item.first)
    amount = wanted.get(owner.target, 0.0)
    last = weights.last_within(item.first, min(item.last, owner.last), amount)
    if weights.weight(item.first, last) > amount:
        return None
    return PlannedMove(item.first, last, "", owner.target)


def _wanted_work(
    record: RangeRecord, load: LoadView, weights: KeyWeights
) -> dict[str, float]:
    """Return how much each open target has less than its part of their work.

    Closed targets keep what they hold. With their capacity in the total, the parts of
    the others would add up to less than the work to divide.
    """
    total = sum(load.capacity(t) for t in load.open_targets)
    all_work = weights.weight(0, KEY_SPACE - 1) - sum(
        weights.weight(item.first, item.last)
        for item in record.ranges
        if item.target in load.closed
    )
    wanted = {t: all_work * load.capacity(t) / total for t in sorted(load.open_targets)}
    for item in record.ranges:
        if item.target in wanted:
            wanted[item.target] -= weights.weight(item.first, item.last)
    return wanted


def _divide_by_work(
    item: KeyRange,
    wanted: dict[str, float],
    load: LoadView,
    weights: KeyWeights,
    smallest: float,
) -> list[PlannedMove]:
    """Divide a range into pieces; cold targets get no more than they want.

    If all targets are cold and none wants a whole piece, they get one all the same:
    the rest would otherwise be divided key by key.
    """
    moves: list[PlannedMove] = []
    first = item.first
    while first <= item.last:
        target = _next_target(wanted, load, max(smallest, weights.weight(first, first)))
        amount = wanted[target]
        if not load.is_cold(target) or amount < smallest:
            amount = max(amount, smallest)
        last = weights.last_within(first, item.last, amount)
        rest = weights.weight(last + 1, item.last)
        if item.last - last < MIN_PIECE_KEYS and rest < smallest:
            last = item.last
        wanted[target] -= weights.weight(first, last)
        if moves and moves[-1].destination == target:
            moves[-1] = attrs.evolve(moves[-1], last=last)
        else:
            moves.append(PlannedMove(first, last, "", target))
        first = last + 1
    return moves


def _next_target(wanted: Mapping[str, float], load: LoadView, piece: float) -> str:
    """Return the target that gets the next piece of a range."""
    target = max(wanted, key=lambda t: (wanted[t], t))
    if wanted[target] >= piece:
        return target
    # No target lacks a whole piece. Work beyond its part hurts a warm target less.
    warm = [t for t in wanted if not load.is_cold(t)] or list(wanted)
    return max(warm, key=lambda t: (wanted[t] / load.capacity(t), t))


def moves_to_idle_targets(
    record: RangeRecord, load: LoadView, limit: int = MOVES_PER_ROUND
) -> list[PlannedMove]:
    """Move a part of the widest or busiest ranges to targets without or with few keys.

    Targets that were added or have returned would otherwise stay idle until another
    target is overloaded.
    """
    owned: dict[str, list[KeyRange]] = {t: [] for t in load.slots_by_target}
    for item in record.ranges:
        if item.target in owned:
            owned[item.target].append(item)
    idle = [
        t
        for t in sorted(owned)
        if t not in load.closed and (not owned[t] or t in load.joining)
    ]
    sources = {t: items for t, items in owned.items() if items and t not in idle}
    if load.by_load:
        return _filling_moves(load, owned, idle, sources, limit)
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


def _filling_moves(
    load: LoadView,
    owned: Mapping[str, list[KeyRange]],
    idle: list[str],
    sources: Mapping[str, list[KeyRange]],
    limit: int,
) -> list[PlannedMove]:
    """Give idle targets what they lack of their share, each from another source."""
    weights = load.weights()
    total = sum(load.capacity(t) for t in owned)
    weight_by_source = {
        source: sum(weights.weight(item.first, item.last) for item in items)
        for source, items in sources.items()
    }
    busiest = sorted(weight_by_source, key=lambda t: (-weight_by_source[t], t))
    # Warm targets can take most.
    idle = sorted(idle, key=lambda t: (-load.capacity(t), t))
    moves = []
    for target, source in zip(idle[:limit], busiest, strict=False):
        widest = max(sources[source], key=lambda i: weights.weight(i.first, i.last))
        share = load.capacity(target) / total
        move = _part_for(target, widest, weights, share, owned[target])
        if move is not None:
            moves.append(move)
    return moves


def _part_for(
    target: str,
    item: KeyRange,
    weights: KeyWeights,
    share: float,
    owned: list[KeyRange],
) -> PlannedMove | None:
    """Return the end of a range with what a target lacks of its share of all work.

    It is at most half of the range. A busy key at the end of the range is left out, so
    the other end is tried too.
    """
    if item.size < 2:
        return None
    wanted = share * weights.weight(0, KEY_SPACE - 1)
    lacking = wanted - sum(weights.weight(part.first, part.last) for part in owned)
    if lacking < wanted / MAX_PIECES:
        return None
    amount = min(weights.weight(item.first, item.last) / 2, lacking)
    first = weights.first_within(item.first + 1, item.last, amount)
    if weights.weight(first, item.last) <= amount:
        return PlannedMove(first, item.last, item.target, target)
    last = weights.last_within(item.first, item.last - 1, amount)
    if weights.weight(item.first, last) <= amount:
        return PlannedMove(item.first, last, item.target, target)
    return None


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
    sources: Collection[str] | None = None,
) -> list[PlannedMove]:
    """Move busy keys from loaded or slow targets to idle or fast ones.

    This handles a few neighbouring keys with much of the traffic, and targets of
    different speeds: the range is split between its busy keys, and the parts move to
    the targets where their work costs callers least. One busy target may move parts
    to several others in one round. Load is counted by key, so a planned move is
    reflected at once. Targets whose load is below ``min_load`` of their capacity
    keep their keys, and so do those that are not among ``sources`` if these are given.
    """
    work, keys_by_target = _work_by_target(record, load)
    moves: list[PlannedMove] = []
    settled: set[str] = set(load.soon_warm)
    if sources is not None:
        settled |= work.keys() - set(sources)
    while True:
        loaded = [
            t
            for t in work
            if t not in settled and work[t] > _kept_load(load, t, min_load)
        ]
        if not loaded or len(work) < 2:
            break
        source = max(loaded, key=lambda t: _marginal_cost(load, t, work[t]))
        relieves = _is_overloaded(load, source, work[source])
        if len(moves) >= (max(limit, RELIEF_MOVES) if relieves else limit):
            break
        free = [t for t in work if t != source and t not in load.closed]
        if not free:
            break
        destination = min(free, key=lambda t: (_marginal_cost(load, t, work[t]), t))
        move = _best_move(record, load, work, keys_by_target, source, destination)
        if move is None:
            settled.add(source)
            continue
        moves.append(move)
        _apply_move(move, load, work, keys_by_target)
    return moves


def _kept_load(load: LoadView, target: str, min_load: float) -> float:
    """Return the work up to which a target keeps its keys.

    A cold target serves what its warm-up rate lets through, and is warm again soon.
    """
    share = 1.0 if load.is_cold(target) else min_load
    return share * load.capacity(target)


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
    """Return the keys that stay at the source.

    A key that saturates the source moves only to a faster destination.
    """
    capacity = load.capacity(source)
    if load.capacity(destination) >= CLEARLY_FASTER * capacity:
        return frozenset(load.fixed_keys)
    return frozenset(
        k
        for k in keys
        if k in load.fixed_keys or load.work_by_key[k] >= SATURATED * capacity
    )


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


@attrs.define
class RisenLoads:
    """Track the targets whose recent load exceeds what chance explains.

    The short-term load of a target that is half full varies by a sixth. Moves for that
    alone went on all the time, with 0.8 of all keys in 25 s.
    """

    _since_by_target: dict[str, float] = attrs.field(factory=dict)

    def update(
        self, record: RangeRecord, recent: LoadView, usual: LoadView, now: float
    ) -> frozenset[str]:
        """Return the targets whose load rose some time ago, or beyond what they run."""
        work, _ = _work_by_target(record, recent)
        usual_work, _ = _work_by_target(record, usual)
        since_by_target, urgent = {}, set()
        for target, amount in work.items():
            chance = math.sqrt(usual_work[target] * recent.variance)
            has_risen = amount > usual_work[target] + CHANCE_DEVIATIONS * chance
            is_full = amount > recent.capacity(target)
            if has_risen or is_full:
                since_by_target[target] = self._since_by_target.get(target, now)
            if (has_risen and is_full) or _is_overloaded(recent, target, amount):
                urgent.add(target)
        self._since_by_target = since_by_target
        lasting = {
            t for t, since in since_by_target.items() if now - since >= RISEN_AFTER
        }
        return frozenset(lasting | urgent)


@attrs.define
class HotKeys:
    """Track the keys with more work than any one warm target can run."""

    _since_by_key: dict[int, float] = attrs.field(factory=dict)
    # Owners that were fast when they had the key, and since when they are slow.
    _owner_by_key: dict[int, str] = attrs.field(factory=dict)
    _slow_since_by_key: dict[int, float] = attrs.field(factory=dict)

    def update(self, load: LoadView, now: float) -> frozenset[int]:
        """Return the keys that have been hot for some time, and still are."""
        largest = _largest_warm(load)
        since_by_key = {}
        for key, work in load.work_by_key.items():
            least = COOLED if key in self._since_by_key else SATURATED
            if largest and work >= least * largest:
                since_by_key[key] = self._since_by_key.get(key, now)
        self._since_by_key = since_by_key
        return frozenset(
            key for key, since in since_by_key.items() if now - since >= HOT_AFTER
        )

    def update_owners(
        self, record: RangeRecord, load: LoadView, keys: Collection[int], now: float
    ) -> frozenset[int]:
        """Return the hot keys that stay where they are although their owner is slower.

        That is so for an owner that was fast when it had the key, unless it is cold, or
        slower for some time than the key explains.
        """
        least = _largest_warm(load) / CLEARLY_FASTER
        owner_by_key, slow_since_by_key = {}, {}
        for key in keys:
            owner = record.owner(key).target
            if owner not in load.slots_by_target or load.is_cold(owner):
                continue
            capacity = load.capacity(owner)
            if capacity < least and self._owner_by_key.get(key) != owner:
                continue
            if capacity < least / LOADED_SLOWDOWN:
                since = self._slow_since_by_key.get(key, now)
                if now - since >= SLOW_OWNER_AFTER:
                    continue
                slow_since_by_key[key] = since
            owner_by_key[key] = owner
        self._owner_by_key = owner_by_key
        self._slow_since_by_key = slow_since_by_key
        return frozenset(owner_by_key)


def _largest_warm(load: LoadView) -> float:
    """Return the capacity of the fastest warm target; 0 if all are cold."""
    warm = [load.capacity(t) for t in load.slots_by_target if not load.is_cold(t)]
    return max(warm, default=0.0)


def isolating_moves(
    record: RangeRecord,
    load: LoadView,
    keys: Collection[int],
    kept: Collection[int] = (),
) -> list[PlannedMove]:
    """Place each hot key alone on one of the fastest targets.

    A hot key moves once: an owner that is nearly as fast as the fastest keeps it, and
    so do the owners of the keys in ``kept``, which are slower because of the key. The
    other keys of its owner move to targets that have room for them.
    """
    work, _ = _work_by_target(record, load)
    owners = {key: record.owner(key).target for key in keys}
    open_targets = load.open_targets
    least = _largest_warm(load) / CLEARLY_FASTER
    taken: set[str] = set()
    moves: list[PlannedMove] = []
    for key in sorted(keys, key=lambda k: (-load.work_by_key.get(k, 0.0), k)):
        owner = owners[key]
        if owner not in work or owner in load.soon_warm:
            continue
        is_fast = key in kept or load.capacity(owner) >= least
        is_fast = is_fast and not load.is_cold(owner)
        if is_fast and owner not in taken:
            taken.add(owner)
            moves.extend(_clearing_moves(record, load, work, owner, keys))
            continue
        busy = taken | set(owners.values())
        fast = [
            t
            for t in open_targets
            if t not in busy and not load.is_cold(t) and load.capacity(t) >= least
        ]
        if not fast:
            continue
        best = min(fast, key=lambda t: (work[t], t))
        taken.add(best)
        moves.append(PlannedMove(key, key, owner, best))
        amount = load.work_by_key[key]
        work[owner] -= amount
        work[best] += amount
    return moves


def _clearing_moves(
    record: RangeRecord,
    load: LoadView,
    work: dict[str, float],
    owner: str,
    keys: Collection[int],
) -> list[PlannedMove]:
    """Move the other keys of a hot key's owner to the targets with most room."""
    hot = [(key, key) for key in keys]
    items = [
        part for item in record.owned_by(owner) for part in item.without(sorted(hot))
    ]
    if sum(map(load.work_of, items)) < MIN_NEIGHBOUR_LOAD * load.capacity(owner):
        return []
    hot_owners = {record.owner(key).target for key in keys}
    room = {
        t: RELIEF_LOAD * load.capacity(t) - work[t]
        for t in sorted(load.open_targets)
        if t not in hot_owners and not load.is_cold(t)
    }
    if not room:
        return []
    weights = load.weights()
    smallest = sum(weights.weight(i.first, i.last) for i in items) / MAX_PIECES
    moves = []
    for item in items:
        for move in _divide_by_work(item, room, load, weights, smallest):
            amount = load.work_of(KeyRange(move.first, move.last))
            work[owner] -= amount
            work[move.destination] += amount
            moves.append(attrs.evolve(move, source=owner))
    return moves
