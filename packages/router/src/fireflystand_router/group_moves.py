"""Give groups to instances that should coordinate them."""

from collections.abc import Callable, Mapping

import trio

from fireflystand_core.exceptions import FireflystandError
from fireflystand_core.groups import GroupCoordinator
from fireflystand_core.messages import ReachReply, ReachRequest
from fireflystand_core.sharding import candidate_order

from .claim_items import record_key
from .group_callbacks import LiveInstance
from .target_calls import TargetCalls

__all__ = ["GroupMoves"]

PERIOD = 0.5  # seconds between moves of one instance
LIVE_FOR = 10.0  # seconds for which a successor has been live
RETRY_AFTER = 10.0  # seconds after a move was not possible
# A store that takes 2 s a call is slow for every instance, so that a hand-over
# would only add calls.
STORE_PATIENCE = 2.5  # seconds that a needed write may wait before a hand-over
QUICK_STORE = 0.25  # seconds; a hand-over takes one read and one write
REACH_TIMEOUT = 1.0  # seconds

GroupName = tuple[str, int]
Live = Mapping[str, LiveInstance]


class GroupMoves:
    """Move one group at a time to the first candidate or to one that reaches targets.

    ``host`` has ``active_coordinators()``, ``targets_of(name)`` and
    ``hand_over(name, successors, reason)``.
    """

    def __init__(
        self,
        host,
        network,
        store,
        calls: TargetCalls,
        live_instances: Callable[[], Live],
        clock: Callable[[], float],
    ) -> None:
        self._host = host
        self._network = network
        self._store = store
        self._calls = calls
        self._live_instances = live_instances
        self._clock = clock
        self._live_since: dict[tuple[str, str], float] = {}
        self._not_before: dict[GroupName, float] = {}
        self._closing = False
        network.set_handler(ReachRequest, self._tell_reach)

    async def run(self) -> None:
        """Look for groups to move until closed."""
        while not self._closing:
            await trio.sleep(PERIOD)
            live = dict(self._live_instances())
            self._note_live(live)
            if await self._leave_store(live):
                continue
            if not await self._leave_unreached(live):
                await self._move_one(live)

    def close(self) -> None:
        """Move no more groups; a hand-over under way goes on."""
        self._closing = True

    def _note_live(self, live: Live) -> None:
        now = self._clock()
        known = {(i, entry.incarnation) for i, entry in live.items()}
        self._live_since = {i: self._live_since.get(i, now) for i in known}

    # Rebalancing

    async def _move_one(self, live: Live) -> None:
        for name, coordinator in self._host.active_coordinators().items():
            successor = self._successor(name, coordinator, live)
            if successor is None:
                continue
            self._not_before[name] = self._clock() + RETRY_AFTER
            if not await self._store_is_quick(name):
                return
            if await self._reaches_as_many(name, coordinator, successor):
                await self._host.hand_over(name, [successor], "rebalancing")
            return

    def _successor(
        self, name: GroupName, coordinator: GroupCoordinator, live: Live
    ) -> str | None:
        now = self._clock()
        own = self._network.hello.instance
        first = candidate_order(*name, {*live, own})[0]
        if first == own or now < self._not_before.get(name, 0.0):
            return None
        if now - self._live_since[first, live[first].incarnation] < LIVE_FOR:
            return None
        if not (live[first].reaches_store and live[own].reaches_store):
            return None
        writing = coordinator.store_blocked_for(now) > 0
        settled = coordinator.has_authority(now) and coordinator.earlier_ended(now)
        return first if settled and not writing else None

    async def _store_is_quick(self, name: GroupName) -> bool:
        with trio.move_on_after(QUICK_STORE):
            try:
                await self._store.get(record_key(name))
            except FireflystandError:
                return False
            return True
        return False

    async def _reaches_as_many(
        self, name: GroupName, coordinator: GroupCoordinator, successor: str
    ) -> bool:
        now = self._clock()
        targets = coordinator.targets_by_id.values()
        heard = sum(not target.silent(now) for target in targets)
        return not heard or await self._reach_of(name, successor) >= heard

    # Store out of reach

    async def _leave_store(self, live: Live) -> bool:
        for name, coordinator in self._host.active_coordinators().items():
            if coordinator.store_blocked_for(self._clock()) <= STORE_PATIENCE:
                continue
            own = self._network.hello.instance
            others = [w for w in coordinator.witnesses if w != own and w in live]
            if any(live[w].reaches_store for w in others):
                await self._host.hand_over(name, None, "store out of reach")
                return True
        return False

    # Targets out of reach

    async def _leave_unreached(self, live: Live) -> bool:
        for name, coordinator in self._host.active_coordinators().items():
            now = self._clock()
            targets = coordinator.targets_by_id.values()
            if not targets or not all(target.silent(now) for target in targets):
                continue
            successor = await self._best_reach(name, coordinator, live)
            if successor is not None:
                self._not_before[name] = self._clock() + RETRY_AFTER
                reason = "targets out of reach"
                return await self._host.hand_over(name, [successor], reason)
        return False

    async def _best_reach(
        self, name: GroupName, coordinator: GroupCoordinator, live: Live
    ) -> str | None:
        own = self._network.hello.instance
        asked = [w for w in coordinator.witnesses if w != own and w in live]
        reach: dict[str, int] = {}

        async def ask(witness: str) -> None:
            reach[witness] = await self._reach_of(name, witness)

        async with trio.open_nursery() as nursery:
            for witness in asked:
                nursery.start_soon(ask, witness)
        order = candidate_order(*name, asked)
        best = max(
            order, key=lambda w: (reach[w] > 0, live[w].reaches_store), default=None
        )
        return best if best is not None and reach[best] else None

    async def _reach_of(self, name: GroupName, instance: str) -> int:
        try:
            reply = await self._network.request(
                instance, ReachRequest(*name), REACH_TIMEOUT
            )
        except FireflystandError:
            return 0
        return reply.reached if isinstance(reply, ReachReply) else 0

    async def _tell_reach(self, request: ReachRequest, link) -> ReachReply:
        name = (request.service, request.group)
        targets = [info.id for info in self._host.targets_of(name)]
        return ReachReply(await self._calls.count_reached(request.service, targets))
