"""Rank instances and targets by rendezvous hash."""

from collections import Counter
from collections.abc import Iterable, Mapping
from functools import partial

from .hashing import stable_hash

__all__ = [
    "WITNESS_COUNT",
    "candidate_order",
    "choose_witnesses",
    "coordinator_witnesses",
    "home_groups",
    "rendezvous_first",
    "rendezvous_order",
    "rendezvous_score",
    "witness_list_size",
]

WITNESS_COUNT = 5


def rendezvous_score(name: str, member: str) -> tuple[int, str]:
    """Return a member's score for ``name``; the highest one comes first."""
    return stable_hash(name, member), member


def rendezvous_order(name: str, members: Iterable[str]) -> list[str]:
    """Return the members by falling rendezvous score for ``name``."""
    return sorted(members, key=partial(rendezvous_score, name), reverse=True)


def rendezvous_first(name: str, members: Iterable[str]) -> str:
    """Return the member with the highest rendezvous score for ``name``."""
    return max(members, key=partial(rendezvous_score, name))


def home_groups(service: str, targets: Iterable[str], groups: int) -> dict[str, int]:
    """Return the home group of each target; no group exceeds its equal part."""
    ordered = sorted(targets)
    room = dict.fromkeys(range(groups), -(-len(ordered) // groups))
    group_by_target: dict[str, int] = {}
    for target in ordered:
        names = rendezvous_order(f"{service}/{target}", map(str, room))
        group = next(int(name) for name in names if room[int(name)] > 0)
        room[group] -= 1
        group_by_target[target] = group
    return group_by_target


def candidate_order(service: str, group: int, instances: Iterable[str]) -> list[str]:
    """Return the instances in the order in which they may claim a group."""
    return rendezvous_order(f"{service}/{group}", instances)


def choose_witnesses(
    service: str,
    group: int,
    data_centres_by_instance: Mapping[str, str],
    count: int = WITNESS_COUNT,
    keep: Iterable[str] = (),
) -> list[str]:
    """Return ``count`` instances, those to keep first, spread over data centres."""
    ordered = candidate_order(service, group, data_centres_by_instance)
    chosen = [i for i in keep if i in data_centres_by_instance][:count]
    ordered = [i for i in ordered if i not in chosen]
    used = Counter(data_centres_by_instance[i] for i in chosen)
    while ordered and len(chosen) < count:
        best = min(ordered, key=lambda i: used[data_centres_by_instance[i]])
        ordered.remove(best)
        chosen.append(best)
        used[data_centres_by_instance[best]] += 1
    return chosen


def witness_list_size(available: int, has_spare: bool = False) -> int:
    """Return the odd number of witnesses that so many instances allow.

    With only two of them a spare, which may be dead, makes the third.
    """
    if available == 2 and has_spare:
        return 3
    count = min(WITNESS_COUNT, available)
    return count if count % 2 else max(1, count - 1)


def coordinator_witnesses(
    service: str,
    group: int,
    coordinator: str,
    data_centres_by_instance: Mapping[str, str],
    keep: Iterable[str] = (),
    spare: Iterable[str] = (),
) -> list[str]:
    """Return an odd number of witnesses that starts with the coordinator.

    If there is only one other instance, the first of ``spare`` makes the third. It
    may be dead: a list of the coordinator alone could not be taken over while the
    coordinator is paused.
    """
    kept = [coordinator, *(i for i in keep if i != coordinator)]
    available = len(data_centres_by_instance)
    third = next((i for i in spare if i not in data_centres_by_instance), None)
    size = witness_list_size(available, third is not None)
    chosen = choose_witnesses(service, group, data_centres_by_instance, size, kept)
    return [*chosen, third] if size > available > 0 else chosen
