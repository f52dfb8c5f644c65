"""Compare ways of holding ownership through a long store outage.

(a) acts only with fresh evidence from the store, (b) acts until it is replaced
and moves keys only on release or evidence of death, (c) asks a majority of
witnesses. Each runs the same script over the pure state machine.
"""

from collections.abc import Iterator
from contextlib import contextmanager, nullcontext
from unittest.mock import patch

import attrs

from fireflystand_core.groups.coordinator import GroupCoordinator
from fireflystand_core.groups.lease import EarlierEpochs
from fireflystand_core.groups.target_grants import TargetGrants
from fireflystand_testing.fuzz.ownership_world import SHARDS, World

__all__ = ["main"]

STEP = 0.02  # seconds
OUTAGE = 60.0  # seconds
LIMIT = 30.0  # seconds a fault lasts
STORE_EVIDENCE = 1.0  # seconds for which (a) acts on what the store said
CASES = ("kill", "freeze", "partition")
SUBJECTS = ("coordinator", "target", "both")
SEED = 7


@attrs.define
class Run:
    """Hold a world and count the moments with two owners."""

    world: World
    two_owners: int = 0
    away: set[str] = attrs.field(factory=set)

    def count_owners(self) -> None:
        """Count a moment at which two targets own a shard."""
        world = self.world
        for shard in SHARDS:
            owners = [t for t in world.targets.values() if t.owns(shard, world.real)]
            self.two_owners += len(owners) > 1

    def served(self) -> int:
        """Return how many shards a caller outside a partition is served."""
        return sum(any(map(self._serves, self._acting(), [s] * 6)) for s in SHARDS)

    def _acting(self) -> list:
        instances = self.world.instances.values()
        usable = (i for i in instances if i.id not in self.away and not i.paused)
        return [i for i in usable if i.alive and i.coordinator is not None]

    def _serves(self, instance, shard: int) -> bool:
        world = self.world
        now = instance.clock.read(world.real)
        found = instance.coordinator.owner_of(shard << 61, shard, now)
        if found is None:
            return False
        target = world.targets[found[0]]
        cut = frozenset((instance.id, target.id)) in world.cuts
        reached = target.alive and not target.frozen and not cut
        return reached and target.runs(shard, found[1], world.real)


@contextmanager
def store_evidence(world: World) -> Iterator[None]:
    """Act only for a time after the store showed the own claim."""
    heard: dict[str, float] = {}
    begin = GroupCoordinator._begin

    def has_authority(self, now):
        name = self.identity.instance
        cut = frozenset((name, "store")) in world.cuts
        if world.store.available and not cut and world.store.record is not None:
            if world.store.record.coordinator == name:
                heard[name] = now
        fresh = now - heard.get(name, float("-inf")) < STORE_EVIDENCE
        return self.phase == "active" and fresh

    def begin_after_evidence(self, before, now):
        actions = begin(self, before, now)
        for predecessor in self.record.predecessors:
            end = now + STORE_EVIDENCE * 1.01
            self._rules.earlier.given_up(predecessor.epoch, end)
        return actions

    with (
        patch.object(GroupCoordinator, "has_authority", has_authority),
        patch.object(GroupCoordinator, "_begin", begin_after_evidence),
        patch.object(EarlierEpochs, "unsealed_witnesses", lambda self: []),
    ):
        yield


@contextmanager
def until_replaced(world: World) -> Iterator[None]:
    """Act until a higher epoch is known; move only on release or death."""
    with (
        patch.object(
            GroupCoordinator, "has_authority", lambda self, now: self.phase == "active"
        ),
        patch.object(
            TargetGrants, "may_hold", lambda self, shard, now: shard in self._holds
        ),
        patch.object(
            EarlierEpochs, "authority_end", lambda self: 1e-9 if self._epochs else 0.0
        ),
        patch.object(EarlierEpochs, "grants_end", lambda self: float("inf")),
    ):
        yield


WAYS = {
    "a": store_evidence,
    "b": until_replaced,
    "c": lambda world: nullcontext(),
}


def start() -> Run:
    """Return a world whose shards are all served."""
    run = Run(World(SEED, unchecked=0))
    run.world.check = run.count_owners
    return run


def settle(run: Run) -> None:
    """Claim the group and wait until it is steady."""
    run.world.claim(run.world.instances["i0"])
    for _ in range(6):
        run.world.refresh_instances()
        run.world.advance(0.5)


def through_outage(run: Run) -> float:
    """Return the part of the outage for which shards were served."""
    run.world.store.available = False
    samples = []
    while len(samples) < OUTAGE / 0.1:
        run.world.advance(0.1)
        samples.append(run.served() / len(SHARDS))
    return sum(samples) / len(samples)


def apply_fault(run: Run, case: str, subject: str) -> None:
    """Put a fault in force."""
    world = run.world
    target = world.targets["t1"]
    instance = world.instances["i0"]
    names = {"coordinator": {"i0"}, "target": {"t1"}, "both": {"i0", "t1"}}[subject]
    if case == "partition":
        run.away = names
        rest = (set(world.instances) | set(world.targets) | {"store"}) - names
        world.cuts |= {frozenset((a, b)) for a in names for b in rest}
    if case == "kill":
        instance.alive = "i0" not in names
        target.alive = "t1" not in names
    if case == "freeze":
        instance.paused = "i0" in names
        target.frozen = "t1" in names


def until_served(run: Run) -> str:
    """Return after how many seconds all shards are served again."""
    started = run.world.real
    lost = False
    while run.world.real - started < LIMIT:
        run.world.refresh_instances()
        run.world.advance(STEP)
        served = run.served() == len(SHARDS)
        lost = lost or not served
        if served and (lost or run.world.real - started > 3.0):
            return f"{run.world.real - started:.1f}"
    return f"over {LIMIT:.0f}"


def main() -> None:
    """Print the table."""
    cells = [(case, subject) for case in CASES for subject in SUBJECTS]
    heads = [f"{case} {subject}" for case, subject in cells]
    print(f"| way | served in outage | {' | '.join(heads)} | two owners |")
    print("|" + "---|" * (len(heads) + 3))
    for name, way in WAYS.items():
        run = start()
        with way(run.world):
            settle(run)
            served = through_outage(run)
        moments = run.two_owners
        times = []
        for case, subject in cells:
            run = start()
            with way(run.world):
                settle(run)
                apply_fault(run, case, subject)
                times.append(until_served(run))
                run.world.heal()
                run.world.advance(3.0)
            moments += run.two_owners
        print(f"| {name} | {served:.0%} | {' | '.join(times)} | {moments} |")


if __name__ == "__main__":
    main()
