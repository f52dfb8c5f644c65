"""Assign the shards of a group to its targets."""

import math
from collections.abc import Callable, Iterable, Mapping

import attrs

from .hashing import stable_hash

__all__ = [
    "Placement",
    "PlacementPolicy",
    "placement_policies_by_name",
    "placement_policy",
]

ROOM = 1.05  # bounded: highest load over the equal part


@attrs.frozen
class Placement:
    """State a placement problem; shards without a load count as 1.

    ``weights_by_target`` gives the share of load that each target should get,
    ``owners`` the assignment in force.
    """

    service: str
    shards: tuple[int, ...]
    weights_by_target: Mapping[str, float]
    owners: Mapping[int, str] = attrs.field(factory=dict)
    loads_by_shard: Mapping[int, float] = attrs.field(factory=dict)

    def load(self, shard: int) -> float:
        """Return the load of a shard."""
        return self.loads_by_shard.get(shard, 1.0)

    def equal_part(self) -> float:
        """Return the load for each unit of weight."""
        total = sum(map(self.load, self.shards))
        return total / sum(self.weights_by_target.values())


PlacementPolicy = Callable[[Placement], dict[int, str]]
placement_policies_by_name: dict[str, PlacementPolicy] = {}


def placement_policy(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a function as the placement policy called ``name``."""

    def register(policy: PlacementPolicy) -> PlacementPolicy:
        placement_policies_by_name[name] = policy
        return policy

    return register


@placement_policy("rendezvous")
def place_by_rendezvous(problem: Placement) -> dict[int, str]:
    """Give each shard to the target with its highest weighted score."""
    return {shard: _ranked(problem, shard)[0] for shard in problem.shards}


@placement_policy("bounded")
def place_bounded(problem: Placement) -> dict[int, str]:
    """Give each shard to the best-scoring target that still has room."""
    part = problem.equal_part()
    room = {
        target: math.ceil(part * weight * ROOM)
        for target, weight in problem.weights_by_target.items()
    }
    owners: dict[int, str] = {}
    for shard in sorted(problem.shards, key=lambda s: (-problem.load(s), s)):
        ranked = _ranked(problem, shard)
        fitting = (t for t in ranked if room[t] >= problem.load(shard))
        target = next(fitting, None) or max(ranked, key=room.__getitem__)
        owners[shard] = target
        room[target] -= problem.load(shard)
    return owners


@placement_policy("minimal_move")
def place_with_minimal_moves(problem: Placement) -> dict[int, str]:
    """Keep owners, place ownerless shards, and move what lowers the highest load."""
    weights = problem.weights_by_target
    owners = {s: t for s, t in problem.owners.items() if t in weights}
    owners = {s: owners[s] for s in problem.shards if s in owners}
    loads = dict.fromkeys(sorted(weights), 0.0)
    for shard, target in owners.items():
        loads[target] += problem.load(shard)
    free = [s for s in problem.shards if s not in owners]
    for shard in sorted(free, key=lambda s: (-problem.load(s), s)):
        load = problem.load(shard)
        target = min(loads, key=lambda t: (loads[t] + load) / weights[t])
        owners[shard] = target
        loads[target] += load
    while _improve(problem, owners, loads):
        pass
    return owners


def _improve(
    problem: Placement, owners: dict[int, str], loads: dict[str, float]
) -> bool:
    weights = problem.weights_by_target
    high = max(loads, key=lambda t: loads[t] / weights[t])
    low = min(loads, key=lambda t: loads[t] / weights[t])
    limit = loads[high] / weights[high] - 1e-9

    def highest_after(shard: int) -> float:
        load = problem.load(shard)
        return max(
            (loads[high] - load) / weights[high], (loads[low] + load) / weights[low]
        )

    mine = [s for s, t in owners.items() if t == high and problem.load(s) > 0]
    best = min(mine, key=lambda s: (highest_after(s), s), default=None)
    if best is None or highest_after(best) >= limit:
        return False
    owners[best] = low
    loads[high] -= problem.load(best)
    loads[low] += problem.load(best)
    return True


def _ranked(problem: Placement, shard: int) -> Iterable[str]:
    def score(target: str) -> float:
        value = stable_hash(problem.service, str(shard), target)
        uniform = (value + 1) / (2**64 + 1)
        return -problem.weights_by_target[target] / math.log(uniform)

    return sorted(problem.weights_by_target, key=score, reverse=True)
