"""Choose the keys of which targets of a new version may run the requests for a while.

The load is that of a keyed service whose new version is not judged yet: a target of
that version gets neighbouring keys with a small part of the service's work.
"""

from collections.abc import Collection

from .planning import LoadView, PlannedMove
from .record import KEY_SPACE, KeyRange, RangeRecord

__all__ = ["trial_moves"]


def trial_moves(
    record: RangeRecord, load: LoadView, targets: Collection[str], share: float
) -> list[PlannedMove]:
    """Move keys with at most ``share`` of the work to the first of some targets.

    Nothing moves if one of them has keys already, or has been given some.
    """
    if not targets or any(item.target in targets for item in record.ranges):
        return []
    limit = share * sum(load.work_by_key.values())
    best, most = None, 0.0
    for item in record.ranges:
        if item.target not in load.slots_by_target:
            continue
        run, work = _busiest_run(item, load, limit)
        if run is not None and work > most:
            best, most = PlannedMove(*run, item.target, min(targets)), work
    if best is not None:
        return [best]
    return _idle_move(record, load, min(targets), share) if limit <= 0 else []


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
