"""Obtain slots at targets from the desks that count them."""

from collections.abc import Callable
from random import Random

import attrs
import trio

from fireflystand_core.dispatch import (
    Desk,
    SlotAsk,
    SlotGranted,
    SlotRefused,
    SlotResult,
    TargetLoad,
)
from fireflystand_core.messages import (
    SlotGrant,
    SlotRefusal,
    SlotRequest,
    SlotReturn,
    SlotWithdrawal,
)

from ..events import PEER_CALL_FAILED, emit
from ..peers import PeerLink, PeerUnavailableError, Reply
from ..promise import Promise
from .mesh import Mesh
from .ports import CONFIGURATION, DEPARTURES, TARGETS
from .state import RoutingState

__all__ = ["Slot", "SlotClient", "SlotHost"]

TICK = 0.1  # seconds between two looks at what waits
# Under a storm of repeats most asks for a full target get the same answer; for this
# long it is given without asking again.
REFUSAL_MEMORY = 0.05  # seconds


@attrs.frozen
class _RecentRefusal:
    """Hold a refusal that also answers asks with no better chance."""

    refusal: SlotRefusal
    until: float  # seconds on trio's clock
    priority: int
    end_at: float  # seconds on trio's clock

    def answers(self, priority: int, end_at: float, now: float) -> bool:
        """Tell whether an ask would be refused for the same reason."""
        return now < self.until and priority >= self.priority and end_at <= self.end_at


@attrs.frozen
class Slot:
    """Hold a slot and the instance whose desk counts it."""

    service: str
    number: int
    target: str
    home: str


Decision = SlotGranted | SlotRefused


@attrs.frozen
class _Waiter:
    """Hold who is told the decision on an ask; ``link`` if a peer asked."""

    service: str
    tell: Callable[[Decision], None]
    link: PeerLink | None = None


class SlotHost:
    """Own the desks of all services for the targets that this instance counts."""

    def __init__(self, state: RoutingState, mesh: Mesh, random: Random) -> None:
        self.desks_by_service: dict[str, Desk] = {}
        self._state = state
        self._mesh = mesh
        self._random = random
        self._waiters_by_ask: dict[str, _Waiter] = {}
        network = mesh.network
        network.handle_directly(SlotRequest, self._answer)
        network.handle_directly(SlotReturn, self._take_return)
        network.handle_directly(SlotWithdrawal, self._take_withdrawal)
        network.on_link_end = self._link_ended
        state.listeners.append(self._state_changed)

    def _desk(self, service: str) -> Desk:
        desk = self.desks_by_service.get(service)
        if desk is None:
            desk = self.desks_by_service[service] = Desk(self._random.random)
        return desk

    def _state_changed(self, kind: str) -> None:
        """Follow the targets that may get work."""
        if self._state.table is None or kind not in (
            CONFIGURATION,
            DEPARTURES,
            TARGETS,
        ):
            return
        now = trio.current_time()
        usable_by_service: dict[str, set[str]] = {}
        for target in self._state.targets_by_id.values():
            if not self._state.usable(target.id):
                continue
            usable_by_service.setdefault(target.service, set()).add(target.id)
            policy = self._state.table.services_by_name.get(target.service)
            rate = policy.warmup_rate if policy else 0.0
            self._desk(target.service).set_target(target, rate, now)
        for service, desk in self.desks_by_service.items():
            usable = usable_by_service.get(service, set())
            for target_id in set(desk.targets_by_id) - usable:
                self._deliver(desk.remove_target(target_id))

    async def run(self) -> None:
        """Turn away what waits too long, until cancelled."""
        while True:
            await trio.sleep(TICK)
            now = trio.current_time()
            for desk in self.desks_by_service.values():
                self._deliver(desk.tick(now))

    async def acquire(self, service: str, ask: SlotAsk) -> Decision:
        """Wait for a decision; a cancelled call withdraws the ask."""
        decision: Promise[Decision] = Promise()
        self._ask(ask, _Waiter(service, decision.set))
        try:
            return await decision.wait()
        except trio.Cancelled:
            self.withdraw(service, ask.id)
            raise

    def _ask(self, ask: SlotAsk, waiter: _Waiter) -> None:
        self._waiters_by_ask[ask.id] = waiter
        desk = self._desk(waiter.service)
        self._deliver(desk.ask(ask, trio.current_time()))

    def _deliver(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            waiter = self._waiters_by_ask.pop(decision.ask.id, None)
            if waiter is not None:
                waiter.tell(decision)

    def _link_ended(self, link: PeerLink) -> None:
        """Withdraw the asks whose answers cannot be sent any more."""
        for ask_id, waiter in list(self._waiters_by_ask.items()):
            if waiter.link is link:
                self.withdraw(waiter.service, ask_id)

    def withdraw(self, service: str, ask_id: str) -> None:
        """Drop an ask, or free the slot that it was given."""
        self._waiters_by_ask.pop(ask_id, None)
        now = trio.current_time()
        self._deliver(self._desk(service).withdraw(ask_id, now))

    def give_back(self, service: str, result: SlotResult) -> None:
        """Free a slot of one of the own desks."""
        self._deliver(self._desk(service).give_back(result, trio.current_time()))

    def instance_lost(self, instance: str) -> None:
        """Free what a lost instance held."""
        now = trio.current_time()
        for desk in self.desks_by_service.values():
            self._deliver(desk.release_instance(instance, now))

    def _answer(self, request: SlotRequest, link: PeerLink, reply: Reply) -> None:
        now = trio.current_time()
        ask = SlotAsk(
            id=request.ask_id,
            instance=link.hello.instance,
            target=request.target,
            priority=request.priority,
            aim_at=now + request.aim_left,
            end_at=now + request.time_left,
            data_centre=request.data_centre,
        )

        def tell(decision: Decision) -> None:
            if isinstance(decision, SlotGranted):
                reply(SlotGrant(decision.number, decision.target))
            else:
                reply(SlotRefusal(decision.reason, decision.retry_after))

        self._ask(ask, _Waiter(request.service, tell, link))

    def _take_return(self, message: SlotReturn, link: PeerLink, reply: Reply) -> None:
        self.give_back(message.service, result_of(message))

    def _take_withdrawal(
        self, message: SlotWithdrawal, link: PeerLink, reply: Reply
    ) -> None:
        self.withdraw(message.service, message.ask_id)


def result_of(message: SlotReturn) -> SlotResult:
    """Return what a message tells of a request that had a slot."""
    load = None
    if message.load is not None:
        running, waiting, slots, pace = message.load
        load = TargetLoad(int(running), int(waiting), int(slots), pace)
    return SlotResult(
        number=message.number,
        seconds=message.seconds,
        complete=message.complete,
        shed=message.shed,
        unreachable=message.unreachable,
        load=load,
    )


class SlotClient:
    """Ask the desk of a target for a slot, wherever it is."""

    def __init__(
        self, host: SlotHost, mesh: Mesh, state: RoutingState, data_centre: str
    ) -> None:
        self._host = host
        self._mesh = mesh
        self._state = state
        self._data_centre = data_centre
        self._number = 0
        self._refusals_by_name: dict[str, _RecentRefusal] = {}

    def _next_id(self) -> str:
        self._number += 1
        return f"{self._mesh.own_id}/{self._mesh.incarnation[:8]}/{self._number}"

    async def acquire(
        self,
        service: str,
        target: str,
        priority: int,
        aim_at: float,
        end_at: float,
    ) -> Slot | SlotRefusal:
        """Wait for a slot at a target, or at any if ``target`` is empty.

        The caller cancels the wait at ``end_at``.
        """
        name = f"{service}/{target}"
        recent = self._refusals_by_name.get(name)
        if recent and recent.answers(priority, end_at, trio.current_time()):
            return recent.refusal
        ask = SlotAsk(
            id=self._next_id(),
            instance=self._mesh.own_id,
            target=target,
            priority=priority,
            aim_at=aim_at,
            end_at=end_at,
            data_centre=self._data_centre,
        )
        answer = await self._acquire(name, service, ask)
        if isinstance(answer, SlotRefusal):
            now = trio.current_time()
            self._refusals_by_name[name] = _RecentRefusal(
                answer, now + REFUSAL_MEMORY, priority, end_at
            )
        return answer

    async def _acquire(
        self, name: str, service: str, ask: SlotAsk
    ) -> Slot | SlotRefusal:
        home = self._mesh.home(name)
        if home != self._mesh.own_id:
            now = trio.current_time()
            request = SlotRequest(
                service=service,
                ask_id=ask.id,
                target=ask.target,
                priority=ask.priority,
                aim_left=ask.aim_at - now,
                time_left=ask.end_at - now,
                data_centre=ask.data_centre,
            )
            try:
                answer = await self._ask_peer(home, request)
            except PeerUnavailableError as error:
                # Without its desk a request goes by the own count: two desks may
                # overfill a target's queue for a moment, and no request waits.
                emit(PEER_CALL_FAILED, error, message="slot-request")
            else:
                if isinstance(answer, SlotGrant):
                    return Slot(service, answer.number, answer.target, home)
                return answer
        decision = await self._host.acquire(service, ask)
        if isinstance(decision, SlotGranted):
            return Slot(service, decision.number, decision.target, self._mesh.own_id)
        return SlotRefusal(decision.reason, decision.retry_after)

    async def _ask_peer(self, home: str, request: SlotRequest):
        try:
            # The caller of acquire gives up at the end that the request names.
            return await self._mesh.network.request(home, request, None)
        except trio.Cancelled:
            withdrawal = SlotWithdrawal(request.service, request.ask_id)
            self._send(home, withdrawal)
            raise

    def give_back(self, slot: Slot, result: SlotReturn) -> None:
        """Return a slot to its desk."""
        if slot.home == self._mesh.own_id:
            self._host.give_back(slot.service, result_of(result))
        else:
            self._send(slot.home, result)

    def _send(self, home: str, message: SlotReturn | SlotWithdrawal) -> None:
        try:
            self._mesh.network.send(home, message)
        except PeerUnavailableError as error:
            # The desk frees the slot when it notices the loss of the stream, or at
            # the request's deadline.
            emit(PEER_CALL_FAILED, error, message="slot-return")
