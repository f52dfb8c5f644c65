"""Model clocks, targets and the store of a group as pure objects."""

from collections.abc import Callable
from typing import Any

import attrs

from fireflystand_core.groups import GroupCoordinator, GroupRecord
from fireflystand_core.membership import Witness

__all__ = [
    "GROUP",
    "Instance",
    "Message",
    "ModelClock",
    "ModelStore",
    "ModelTarget",
]

GROUP = ("winkel", 0)


@attrs.frozen
class ModelClock:
    """Read a clock that starts anywhere and runs fast or slow."""

    offset: float  # seconds
    rate: float

    def read(self, real: float) -> float:
        """Return the reading at a real time, in seconds."""
        return self.offset + real * self.rate


@attrs.define
class ModelTarget:
    """Model a target that keeps the newest grant and refuses lower epochs."""

    id: str
    clock: ModelClock
    checks_epoch: bool = True
    incarnation: int = 1
    alive: bool = True
    frozen: bool = False
    draining: bool = False
    epoch: int = 0
    sequence: int = 0
    shards: frozenset[int] = frozenset()
    expires_at_ms: float = 0.0

    def restart(self, clock: ModelClock) -> None:
        """Become a new process that remembers nothing."""
        self.incarnation += 1
        self.clock = clock
        self.alive, self.frozen = True, False
        self.epoch = self.sequence = 0
        self.shards = frozenset()

    def clock_ms(self, real: float) -> float:
        """Return the target's clock."""
        return self.clock.read(real) * 1000

    def accepts_epoch(self, epoch: int) -> bool:
        """Tell whether nothing of a higher epoch was seen."""
        return epoch >= self.epoch

    def grant(self, grant: Any) -> bool:
        """Keep a grant if it is the newest; tell whether it is kept now."""
        if not self.accepts_epoch(grant.epoch):
            return False
        if grant.epoch == self.epoch and grant.sequence <= self.sequence:
            return grant.sequence == self.sequence
        self.epoch, self.sequence = grant.epoch, grant.sequence
        self.shards, self.expires_at_ms = grant.shards, grant.expires_at_ms
        return True

    def owns(self, shard: int, real: float) -> bool:
        """Tell whether a grant for the shard is in force."""
        current = self.clock_ms(real) < self.expires_at_ms
        return self.alive and current and shard in self.shards

    def runs(self, shard: int, epoch: int, real: float) -> bool:
        """Tell whether a request with this shard and epoch is run."""
        if not self.checks_epoch:
            return True
        return self.accepts_epoch(epoch) and self.owns(shard, real)


@attrs.define
class ModelStore:
    """Model the record of one group with conditional updates."""

    version: int = 0
    record: GroupRecord | None = None
    available: bool = True
    lose_responses: int = 0
    history: list[tuple[int, GroupRecord]] = attrs.field(factory=list)

    def put(self, record: GroupRecord, expected: int) -> bool:
        """Write the record if the version is the expected one."""
        if expected != self.version:
            return False
        self._check(record)
        self.version += 1
        self.record = GroupRecord.from_value(record.to_value())
        self.history.append((self.version, self.record))
        return True

    def _check(self, record: GroupRecord) -> None:
        before = self.record
        if before is None:
            return
        assert record.epoch >= before.epoch, "an epoch went back"
        if record.coordinator != before.coordinator:
            assert record.epoch > before.epoch, "two coordinators share an epoch"
            assert record.owners == before.owners, "a claim lost an assignment"


@attrs.define(eq=False)
class Instance:
    """Model an instance: its clock, witness and coordinator."""

    id: str
    data_centre: str
    clock: ModelClock
    witness: Witness
    incarnation: int = 1
    alive: bool = True
    paused: bool = False
    coordinator: GroupCoordinator | None = None
    permits: list[tuple[str, int, float]] = attrs.field(factory=list)
    claim_after: float | None = None
    connections: int = 0
    ticked_at: float = 0.0
    inbox: list[Callable[[], None]] = attrs.field(factory=list)

    def pending(self, target: str, shard: int, now: float) -> bool:
        """Tell whether a permit is outstanding."""
        self.permits = [p for p in self.permits if p[2] > now]
        return any(p[0] == target and p[1] == shard for p in self.permits)


@attrs.define(order=True)
class Message:
    """Hold what is delivered at a real time unless the way is cut."""

    due: float
    number: int
    source: str = attrs.field(order=False)
    destination: str = attrs.field(order=False)
    deliver: Callable[[], None] = attrs.field(order=False)
