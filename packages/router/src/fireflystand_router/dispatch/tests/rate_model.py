"""Model a fleet whose instances grant the rates of accounts, in parts and whole."""

import math
from collections.abc import Callable, Iterable
from contextlib import ExitStack
from random import Random
from unittest import mock

import attrs
import trio
import trio.testing

from fireflystand_core.messages import Hello
from fireflystand_core.replica import ObjectChange
from fireflystand_core.traffic import ClientAccount, EntryLimits, RoutingTable

from ...peers import PeerUnavailableError
from ..membership import HEARTBEAT_INTERVAL, Membership
from ..ports import INSTANCES
from ..rate_limits import SharedRateLimiter
from ..state import RoutingState

__all__ = ["ACCOUNTS", "FleetModel", "RateCheck", "play_model"]

STEP = 0.1  # seconds
WANTED = 300.0  # requests a second for each account
STEPS_PER_HEARTBEAT = round(HEARTBEAT_INTERVAL / STEP)
# The operators' limits for all instances together.
WINDOW = 5.0  # seconds
OVERAGE, SLACK = 0.1, 20.0
ACCOUNTS = (
    ClientAccount("small", ("k1",), rate=3.0, burst=3.0),
    ClientAccount("usual", ("k2",), rate=20.0, burst=20.0),
    ClientAccount("large", ("k3",), rate=200.0, burst=200.0),
)


class ModelNetwork:
    """Carry the messages of one instance to those that it can reach."""

    def __init__(self, model: "FleetModel", number: int, incarnation: str) -> None:
        self.hello = Hello(name_of(number), incarnation, "x", "127.0.0.1:1")
        self.addresses_by_id: dict[str, str] = {}
        self.handlers: dict[type, Callable] = {}
        self.on_stream_end = None
        self.number = number
        self._model = model

    def set_direct_handler(self, kind: type, handler: Callable) -> None:
        """Call a handler for messages of a kind."""
        self.handlers[kind] = handler

    def close_stream(self, peer: str) -> None:
        """Ignore that a stream is to be opened again."""

    async def request(self, peer: str, message: object, timeout: float) -> object:
        """Return a peer's answer; raise PeerUnavailableError if it is out of reach."""
        other = self._model.instances[int(peer[1:])]
        if not self._model.is_linked(self.number, other.number):
            refused = other.number in self._model.killed
            step = type(message).__name__
            raise PeerUnavailableError(
                "out of reach", step=step, peer=peer, refused=refused
            )
        answers: list[object] = []
        other.network.handlers[type(message)](message, None, answers.append)
        return answers[0]


@attrs.frozen
class ModelInstance:
    """Hold the parts of one instance that limit the rates of accounts."""

    number: int
    network: ModelNetwork
    membership: Membership
    limiter: SharedRateLimiter


def name_of(number: int) -> str:
    """Return the id of an instance."""
    return f"n{number:03}"


class FleetModel:
    """Let all instances send as much as they may, and count what they grant.

    ``parts`` is the number of parts that cannot reach each other. The instances that
    are ``frozen`` or ``killed`` do nothing.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.parts = 1
        self.frozen: set[int] = set()
        self.killed: set[int] = set()
        self.granted: dict[str, list[int]] = {a.name: [] for a in ACCOUNTS}
        self._state = RoutingState(lambda value: None, lambda change: None)
        self._state.table = RoutingTable(1, [], [], ACCOUNTS, EntryLimits())
        self._register(count)
        self.instances = [self._new_instance(number) for number in range(count)]
        # Of each instance in a step; together they want more than any account's rate.
        self._wanted = math.ceil(WANTED * STEP / count)

    def _register(self, count: int) -> None:
        items = [
            ObjectChange(
                name_of(number),
                1,
                {"incarnation": "i", "address": "127.0.0.1:1", "data_centre": "x"},
            )
            for number in range(count)
        ]
        self._state.replace(INSTANCES, 1, items, 0.0)

    def _new_instance(self, number: int, incarnation: str = "i") -> ModelInstance:
        network = ModelNetwork(self, number, incarnation)
        membership = Membership(
            network,
            self._state,
            random=Random(number),
            clock=trio.current_time,
        )
        limiter = SharedRateLimiter(self._state, membership)
        return ModelInstance(number, network, membership, limiter)

    def is_linked(self, one: int, other: int) -> bool:
        """Tell whether two instances reach each other."""
        if (self.frozen | self.killed) & {one, other}:
            return False
        return one % self.parts == other % self.parts

    def kill(self, number: int) -> None:
        """End an instance's process; its peers notice that their streams end."""
        self.killed.add(number)
        for instance in self.instances:
            instance.network.on_stream_end(name_of(number), True)

    def start_again(self, number: int) -> None:
        """Start a killed instance as a new process."""
        self.killed.discard(number)
        incarnation = f"after {trio.current_time()}"
        self.instances[number] = self._new_instance(number, incarnation)

    async def run(self, seconds: float, *, calm: bool = False) -> None:
        """Go on for some seconds, without requests if it is calm."""
        for _ in range(round(seconds / STEP)):
            await trio.sleep(STEP)
            step = round(trio.current_time() / STEP)
            stopped = self.frozen | self.killed
            running = [i for i in self.instances if i.number not in stopped]
            for instance in running:
                if (step - instance.number) % STEPS_PER_HEARTBEAT == 0:
                    await self._exchange_heartbeats(instance.membership)
            for account in ACCOUNTS:
                await self._send(account, [] if calm else running)

    async def _exchange_heartbeats(self, membership: Membership) -> None:
        for peer in membership._next_peers():
            await membership._send_heartbeat(peer)
        membership._expire_peers()

    async def _send(
        self, account: ClientAccount, running: Iterable[ModelInstance]
    ) -> None:
        granted = 0
        for instance in running:
            for _ in range(self._wanted):
                granted += await instance.limiter.acquire(account, 0.0) is None
        self.granted[account.name].append(granted)

    def responsible(self, account: ClientAccount) -> int:
        """Return the instance that keeps an account's bucket while all are in touch."""
        membership = self.instances[0].membership
        return int(membership.responsible_instance(f"account/{account.name}")[1:])


@attrs.frozen
class RateCheck:
    """Compare what a fleet granted an account with its limits."""

    account: ClientAccount
    granted: list[int]  # for each step

    def most(self) -> int:
        """Return the most requests granted in a window."""
        length = round(WINDOW / STEP)
        return max(
            sum(self.granted[first : first + length])
            for first in range(len(self.granted))
        )

    def allowed(self) -> float:
        """Return how many requests the operators allow in a window."""
        expected = self.account.rate * WINDOW + self.account.burst
        return expected * (1 + OVERAGE) + SLACK

    def last_rate(self, seconds: float) -> float:
        """Return the requests granted a second at the end."""
        return sum(self.granted[-round(seconds / STEP) :]) / seconds


def play_model(count: int, scenario) -> list[RateCheck]:
    """Run a scenario on a fleet; return what it granted to each account."""

    async def main() -> FleetModel:
        model = FleetModel(count)
        await scenario(model)
        return model

    with ExitStack() as stack:
        for module in ("membership", "rate_limits"):
            name = f"fireflystand_router.dispatch.{module}.emit"
            stack.enter_context(mock.patch(name))
        clock = trio.testing.MockClock(autojump_threshold=0)
        model = trio.run(main, clock=clock)
    return [RateCheck(a, model.granted[a.name]) for a in ACCOUNTS]
