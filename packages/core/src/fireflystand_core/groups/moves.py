"""Plan which shards move and follow each move to its end."""

from collections.abc import Iterable, Mapping

import attrs

from fireflystand_core.sharding import Placement, placement_policies_by_name

__all__ = ["Move", "MovePlan"]

MIN_PLANNED_MOVES = 8
PLANNED_PART = 16  # one in so many shards of the group moves at once


@attrs.define
class Move:
    """Follow a shard from its source; steps are drain, release and write."""

    shard: int
    source: str | None
    destination: str
    planned: bool
    step: str = "drain"


class MovePlan:
    """Hold the moves under way, with a bound on planned ones."""

    def __init__(self, service: str, shards: tuple[int, ...], policy: str) -> None:
        self._service = service
        self._shards = shards
        self._policy = placement_policies_by_name[policy]
        self._inputs: object = None
        self._waiting = False
        self._settling: dict[int, float] = {}
        self.moves_by_shard: dict[int, Move] = {}
        self.limit = max(MIN_PLANNED_MOVES, len(shards) // PLANNED_PART)

    def assign(
        self,
        shards: Iterable[int],
        owners: Mapping[int, str],
        weights: Mapping[str, float],
        loads: Mapping[int, float],
    ) -> dict[int, str]:
        """Return where the policy places shards."""
        problem = Placement(self._service, tuple(shards), weights, owners, loads)
        return self._policy(problem)

    def update(
        self,
        owners: Mapping[int, str],
        extra: Iterable[int],
        weights: Mapping[str, float],
        lost: frozenset[str],
        loads: Mapping[int, float],
        now: float,
    ) -> None:
        """Start the moves that the usable targets and the loads call for."""
        self._settling = {s: t for s, t in self._settling.items() if t > now}
        inputs = (tuple(weights.items()), lost, tuple(owners.items()), id(loads))
        if not weights or (inputs == self._inputs and not self._waiting):
            return
        self._inputs = inputs
        self._waiting = False
        shards = (*self._shards, *extra)
        effective = dict(owners)
        for move in self.moves_by_shard.values():
            effective[move.shard] = move.destination
        wanted = self.assign(shards, effective, weights, loads)
        for shard, target in wanted.items():
            if effective.get(shard) != target:
                self._start(shard, owners.get(shard), target, lost)

    def _start(
        self, shard: int, source: str | None, target: str, lost: frozenset[str]
    ) -> None:
        move = self.moves_by_shard.get(shard)
        if move is not None:
            if move.step != "write":
                move.destination = target
            return
        planned = source is not None and source not in lost
        if planned and self.planned_count() >= self.limit:
            self._waiting = True
            return
        self.moves_by_shard[shard] = Move(shard, source, target, planned)

    def planned_count(self) -> int:
        """Return how many planned moves count as under way."""
        running = sum(move.planned for move in self.moves_by_shard.values())
        return running + len(self._settling)

    def written(self, owners: Mapping[int, str], until: float) -> None:
        """End the moves that are durable; planned ones count until ``until``."""
        for shard, move in list(self.moves_by_shard.items()):
            if move.step != "write" or owners.get(shard) != move.destination:
                continue
            del self.moves_by_shard[shard]
            if move.planned:
                self._settling[shard] = until
        self._inputs = None

    def reset(self) -> None:
        """Drop all moves."""
        self.moves_by_shard.clear()
        self._settling.clear()
        self._inputs = None
