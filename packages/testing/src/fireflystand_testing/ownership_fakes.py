"""Stand in for the store and for targets' control connections in one process."""

import attrs
import trio

from fireflystand_router.http_client import ConnectionFailedError
from fireflystand_router.target_control import TargetAnswer, TargetDiedError

__all__ = ["LATENCY", "FakeControl", "FakeStore"]

LATENCY = 0.0005  # seconds one way
CONTROL_TIMEOUT = 0.5  # seconds


@attrs.define
class FakeStore:
    """Hold versioned objects, with faults; times are in seconds."""

    up: bool = True
    delay: float = 0.002
    lose_responses: int = 0
    revision: int = 0
    objects_by_key: dict[str, tuple[int, str]] = attrs.field(factory=dict)


class FakeControl:
    """Exchange status and grants with a model target."""

    def __init__(self, node, target: str, address: str) -> None:
        self.node = node
        self.target = node.cluster.targets[target]
        self.connection = 0
        self.seen: int | None = None

    async def status(self) -> TargetAnswer:
        """Return the status."""
        await self._travel()
        if self.seen != self.target.incarnation:
            self.seen = self.target.incarnation
            self.connection += 1
        return await self._answer(False)

    async def grant(self, service: str, group: int, grant) -> TargetAnswer | None:
        """Send a grant."""
        if self.connection != grant.connection:
            return None
        await self._travel()
        if self.seen != self.target.incarnation:
            return None
        kept = self.target.grant(grant)
        if not kept and grant.epoch < self.target.epoch:
            epoch = self.target.epoch
            return TargetAnswer(self.connection, "", 0, False, 0, 0, False, epoch)
        return await self._answer(kept)

    async def _travel(self) -> None:
        cluster, target = self.node.cluster, self.target
        await self.node.gate()
        await trio.sleep(LATENCY)
        if not cluster.reaches(self.node.name, target.id):
            await self._time_out()
        if not target.alive:
            raise TargetDiedError("refused", step="connect", peer=target.id)
        if target.frozen:
            await self._time_out()

    async def _time_out(self) -> None:
        await trio.sleep(CONTROL_TIMEOUT)
        raise ConnectionFailedError(
            "no answer", step="exchange", peer=self.target.id, refused=False
        )

    async def _answer(self, kept: bool) -> TargetAnswer:
        clock = self.target.clock_ms(trio.current_time())
        incarnation = str(self.target.incarnation)
        await trio.sleep(LATENCY)
        await self.node.gate()
        draining = self.target.draining
        return TargetAnswer(self.connection, incarnation, clock, draining, 1.0, 0, kept)

    async def close(self) -> None:
        """Do nothing; there is no connection."""
