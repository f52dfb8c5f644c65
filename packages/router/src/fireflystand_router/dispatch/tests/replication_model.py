"""Model the replication of many instances in simulated time.

The network and the store are simulated; membership, replicas and routing state are
those of the router. Run on trio's mock clock.
"""

import heapq
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any

import attrs
import trio
import trio.testing

from fireflystand_core.exceptions import StoreUnavailableError
from fireflystand_core.messages import Decoder, Hello, ReplicaCopy
from fireflystand_core.replica import ObjectChange
from fireflystand_core.traffic import EntryLimits, RoutingTable

from ...peers import PeerLink, PeerUnavailableError
from ..membership import Membership
from ..ports import (
    CONFIGURATION,
    INSTANCES,
    KINDS,
    DispatchBounds,
    KindSnapshot,
)
from ..replicas import ReplicaSync
from ..state import RoutingState
from .node_support import SharedStore

DELAY = 0.001  # seconds in which a message reaches another instance
RESEND_INTERVAL = 0.4  # seconds between two attempts to send data again, in a cut
STORE_DELAY = 0.004  # seconds of a call to the store, at first
START_SECONDS = 6.0  # in which each pair of instances exchanges heartbeats
WATCH_TIMEOUT = 1.5  # seconds beyond its wait until a watch without response fails


@attrs.define(eq=False)
class _Stream:
    """Hold what a partition keeps on its way from one instance to another."""

    held: list[Callable[[], None]] = attrs.field(factory=list)
    open_at: float = 0.0  # seconds; when what was held is sent again


class Fabric:
    """Deliver messages between instances, in order on each stream.

    Messages sent during a cut are delivered after it, since a kernel sends
    unacknowledged data again.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.networks_by_id: dict[str, SimulatedNetwork] = {}
        self.cut: set[str] = set()  # instances without a path to any other or the store
        self.isolated: set[str] = set()  # instances without a path to any other
        self.push_loss = 0.0  # share of the pushed changes that are lost
        self.store_delay = STORE_DELAY
        self._streams: dict[tuple[str, str], _Stream] = {}
        self._agenda: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._scheduled = trio.Event()

    def is_cut(self, source: str, destination: str) -> bool:
        """Tell whether there is no path between two instances."""
        return not {source, destination}.isdisjoint(self.cut | self.isolated)

    def send(self, source: str, destination: str, deliver: Callable[[], None]) -> None:
        """Deliver a message after all earlier ones of its stream."""
        stream = self._streams.setdefault((source, destination), _Stream())
        if self.is_cut(source, destination):
            stream.held.append(deliver)
        else:
            due = max(trio.current_time(), stream.open_at) + DELAY
            self._schedule(due, deliver)

    def heal(self, instances: set[str]) -> None:
        """End the cut of instances and deliver what was held up."""
        self.cut -= instances
        for pair, stream in self._streams.items():
            if not stream.held or self.is_cut(*pair):
                continue
            resent_after = RESEND_INTERVAL * self.random.random()
            stream.open_at = trio.current_time() + resent_after
            held, stream.held = stream.held, []
            for deliver in held:
                self._schedule(stream.open_at + DELAY, deliver)

    def _schedule(self, due: float, deliver: Callable[[], None]) -> None:
        heapq.heappush(self._agenda, (due, next(self._numbers), deliver))
        scheduled, self._scheduled = self._scheduled, trio.Event()
        scheduled.set()

    async def run(self) -> None:
        """Deliver messages when they are due until cancelled."""
        while True:
            scheduled = self._scheduled
            if not self._agenda:
                await scheduled.wait()
                continue
            due = self._agenda[0][0]
            if due > trio.current_time():
                with trio.move_on_at(due):
                    await scheduled.wait()
                continue
            heapq.heappop(self._agenda)[2]()


class SimulatedNetwork:
    """Stand in for the PeerNetwork of one instance."""

    def __init__(self, fabric: Fabric, hello: Hello) -> None:
        self.hello = hello
        self.addresses_by_id: dict[str, str] = {}
        self.on_stream_end = lambda peer, refused: None
        self._fabric = fabric
        self._handlers: dict[type, Callable] = {}
        fabric.networks_by_id[hello.instance] = self

    def set_direct_handler(self, message_class: type, handler: Callable) -> None:
        self._handlers[message_class] = handler

    def set_address(self, instance: str, address: str) -> None:
        self.addresses_by_id[instance] = address

    def remove_peer(self, instance: str) -> None:
        self.addresses_by_id.pop(instance, None)

    def close_stream(self, instance: str) -> None:
        pass

    def send_encoded(self, instance: str, data: bytes) -> None:
        (envelope,) = Decoder().feed(data)
        is_push = isinstance(envelope.message, ReplicaCopy)
        if is_push and self._fabric.random.random() < self._fabric.push_loss:
            return
        peer = self._peer(instance)
        self._fabric.send(
            self.hello.instance,
            instance,
            lambda: peer.handle(envelope.message, self.hello, lambda reply: None),
        )

    async def request(self, instance: str, message: object, timeout: float) -> object:
        peer = self._peer(instance)
        replied = trio.Event()
        replies: list[object] = []

        def reply(response: object) -> None:
            def deliver() -> None:
                replies.append(response)
                replied.set()

            self._fabric.send(instance, self.hello.instance, deliver)

        self._fabric.send(
            self.hello.instance,
            instance,
            lambda: peer.handle(message, self.hello, reply),
        )
        with trio.move_on_after(timeout):
            await replied.wait()
            return replies[0]
        raise PeerUnavailableError(
            "no reply", step=type(message).__name__, peer=instance
        )

    def _peer(self, instance: str) -> "SimulatedNetwork":
        peer = self._fabric.networks_by_id.get(instance)
        if peer is None:
            raise PeerUnavailableError(
                "refused", step="connect", peer=instance, refused=True
            )
        return peer

    def handle(self, message: object, hello: Hello, reply: Callable) -> None:
        """Handle a message from a peer."""
        self._handlers[type(message)](message, PeerLink(hello), reply)


class CutStore:
    """Give one instance access to the store unless it is cut off."""

    def __init__(self, store: SharedStore, fabric: Fabric, own_id: str) -> None:
        self._store = store
        self._fabric = fabric
        self._own_id = own_id
        self.without_store = False
        self.watched_kinds: set[str] = set()

    @property
    def _unreachable(self) -> bool:
        return self.without_store or self._own_id in self._fabric.cut

    async def list(self, kind: str) -> KindSnapshot:
        await self._wait_out(self._fabric.store_delay, WATCH_TIMEOUT)
        return await self._store.list(kind)

    async def watch(self, kind: str, since: int, wait: float) -> KindSnapshot | None:
        self.watched_kinds.add(kind)
        times_out_at = trio.current_time() + wait + WATCH_TIMEOUT
        await self._wait_out(self._fabric.store_delay, wait + WATCH_TIMEOUT)
        snapshot = await self._store.watch(kind, since, wait)
        await self._wait_out(0.0, times_out_at - trio.current_time())
        return snapshot

    async def _wait_out(self, delay: float, timeout: float) -> None:
        await trio.sleep(timeout if self._unreachable else delay)
        if self._unreachable:
            raise StoreUnavailableError("no response", step="call")


class ModelInstance:
    """Own the replicas of one instance."""

    def __init__(self, model: "ReplicationModel", number: int) -> None:
        self.id = f"n{number:03}"
        is_strong = number % 10 == 0 and not model.is_uniform
        self.capacity = 2.0 if is_strong else 0.4  # processor cores
        self.store = CutStore(model.store, model.fabric, self.id)
        self.state = RoutingState(_read_table, lambda change: None, trio.current_time)
        self.data_centre = f"dc{number % model.data_centres}"
        hello = Hello(self.id, f"{self.id}-1", self.data_centre, f"{self.id}:1")
        random = Random(f"{model.seed}/{self.id}")
        network = SimulatedNetwork(model.fabric, hello)
        self.membership = Membership(
            network,
            self.state,
            random=random,
            capacity=self.capacity,
            bounds=model.bounds,
            clock=trio.current_time,
        )
        self.sync = ReplicaSync(
            self.store,
            self.state,
            self.membership,
            bounds=model.bounds,
            clock=trio.current_time,
        )
        self.membership.set_callbacks(self.sync.handle_confirmations, lambda peer: None)

    @property
    def version(self) -> int:
        """Return the version of the configuration in force; 0 if none is known."""
        return self.state.table.version if self.state.table else 0

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.sync.run)
            nursery.start_soon(self.membership.run)


class ReplicationModel:
    """Own a store, a network and the instances on it."""

    def __init__(
        self,
        count: int,
        *,
        seed: int,
        bounds: DispatchBounds,
        is_uniform: bool,
        data_centres: int,
    ) -> None:
        self.seed = seed
        self.data_centres = data_centres
        self.is_uniform = is_uniform
        self.bounds = bounds
        self.random = Random(seed)
        self.store = SharedStore()
        self.fabric = Fabric(Random(f"{seed}/fabric"))
        self.acknowledged_at_by_version: dict[int, float] = {}
        self.instances: list[ModelInstance] = []
        for _ in range(count):
            self._add_instance()

    def _add_instance(self) -> None:
        instance = ModelInstance(self, len(self.instances))
        self.instances.append(instance)
        value = {
            "incarnation": f"{instance.id}-1",
            "address": f"{instance.id}:1",
            "data_centre": instance.data_centre,
            "capacity": instance.capacity,
        }
        self.store.write(INSTANCES, instance.id, value)

    async def run(self) -> None:
        """Run the network and the instances until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.fabric.run)
            for instance in self.instances:
                nursery.start_soon(instance.run)

    def configure(self, version: int) -> None:
        """Write a version of the configuration; the store acknowledges it now."""
        self.store.write(CONFIGURATION, "main", {"version": version})
        self.acknowledged_at_by_version[version] = trio.current_time()

    def find_false_confirmations(self) -> list[str]:
        """Return what instances lack of the state that they count as confirmed."""
        found = []
        for instance in self.instances:
            for kind in KINDS:
                replica = instance.state.replicas_by_kind[kind]
                found += [
                    f"{instance.id} lacks {name} of {kind}"
                    for name in self._missing_names(kind, replica.revision, replica)
                ]
            known = instance.version
            confirmed_at = instance.state.replicas_by_kind[CONFIGURATION].confirmed_at
            found += [
                f"{instance.id} has version {known} and not {version}, confirmed "
                f"{confirmed_at - acknowledged_at:.2f} s after its acknowledgement"
                for version, acknowledged_at in self.acknowledged_at_by_version.items()
                if known < version and acknowledged_at < confirmed_at
            ]
        return found

    def _missing_names(self, kind: str, revision: int, replica: Any) -> list[str]:
        latest_by_name: dict[str, ObjectChange] = {}
        for changed_kind, change in self.store.history:
            if changed_kind == kind and change.version <= revision:
                latest_by_name[change.name] = change
        missing = []
        for name, change in latest_by_name.items():
            known = replica.by_name.get(name)
            if change.value is None:
                if known is not None and known.version < change.version:
                    missing.append(name)
            elif known is None:
                if replica.deleted_by_name.get(name, 0) < change.version:
                    missing.append(name)
            elif known.version < change.version:
                missing.append(name)
        return missing


def _read_table(value: dict) -> RoutingTable:
    return RoutingTable(value["version"], [], [], [], EntryLimits())


def play_model(
    count: int,
    scenario: Callable[[ReplicationModel], Any],
    *,
    seed: int,
    bounds: DispatchBounds | None = None,
    is_uniform: bool = False,
    data_centres: int = 1,
) -> None:
    """Run a scenario once all instances have contacted each other.

    If ``is_uniform``, each kind has watchers of its own; otherwise the strongest
    instances watch all kinds.
    """

    async def main() -> None:
        model = ReplicationModel(
            count,
            seed=seed,
            bounds=bounds or DispatchBounds(),
            is_uniform=is_uniform,
            data_centres=data_centres,
        )
        model.configure(1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(model.run)
            await trio.sleep(START_SECONDS)
            await scenario(model)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
