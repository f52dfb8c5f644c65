"""Choose the keys of which targets of a new version may run the requests for a while.

The load is that of a keyed service whose new version is not judged yet: a target of
that version gets neighbouring keys with a small part of the service's work.
"""

from collections.abc import Collection

from .planning import LoadView, PlannedMove
from .record import KEY_SPACE, KeyRange, RangeRecord

__all__ = ["trial_moves"]

MIN_TOP_UP = 0.2  # of the wanted work


def trial_moves(
    record: RangeRecord, load: LoadView, targets: Collection[str], share: float
) -> list[PlannedMove]:
    """Move keys until some of the targets have about ``share`` of the work, not more.

    As many targets get keys as give each about the load of another one. A call moves
    one run of neighbouring keys; the work that is known changes with every request, so
    that small differences move nothing.
    """
    if not targets:
        return []
    given = {name: 0.0 for name in targets}
    for item in record.ranges:
        if item.target in given:
            given[item.target] += load.work_of(item)
    wanted = share * sum(load.work_by_key.values())
    if wanted <= 0:
        is_given = any(item.target in given for item in record.ranges)
        return [] if is_given else _idle_move(record, load, min(targets), share)
    missing = wanted - sum(given.values())
    if missing < MIN_TOP_UP * wanted:
        return []
    best, most = None, 0.0
    count = max(1, int(share * len(load.slots_by_target)))
    destination = min(sorted(targets)[:count], key=given.__getitem__)
    for item in record.ranges:
        if item.target not in load.slots_by_target:
            continue
        run, work = _busiest_run(item, load, missing)
        if run is not None and work > most:
            best, most = PlannedMove(*run, item.target, destination), work
    return [best] if best is not None else []


def _busiest_run(
    item: KeyRange, load: LoadView, limit: float
) -> tuple[tuple[int, int] | None, float]:
    """Return the keys of a range with the most work up to a limit, and that work."""
    keys = sorted(key for key in load.work_by_key if item.first <= key <= item.last)
    best, most = None, 0.0
    start, work = 0, 0.0
    for end, key in enumerate(keys):
        work += load.work_by_key[key]
        while work > limit and start <= end:
            work -= load.work_by_key[keys[start]]
            start += 1
        if start <= end and work > most:
            best, most = (keys[start], key), work
    return best, most


def _idle_move(
    record: RangeRecord, load: LoadView, target: str, share: float
) -> list[PlannedMove]:
    """Move a part of the widest range, while no key has known work."""
    owned = [item for item in record.ranges if item.target in load.slots_by_target]
    if not owned:
        return []
    widest = max(owned, key=lambda item: item.size)
    size = max(1, min(widest.size, int(share * KEY_SPACE)))
    last = widest.first + size - 1
    return [PlannedMove(widest.first, last, widest.target, target)]
