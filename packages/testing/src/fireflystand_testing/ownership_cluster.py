"""Run group hosts of several instances in one process over fake transports."""

import json
from collections.abc import Callable
from functools import partial

import trio

from fireflystand_core.configuration import (
    DataCentreSettings,
    Deployment,
    JournalSettings,
    ServiceSettings,
    TargetSettings,
)
from fireflystand_core.exceptions import StoreConflictError, StoreUnavailableError
from fireflystand_core.membership import Witness
from fireflystand_core.messages import Hello
from fireflystand_router.group_host import GroupHost, LiveInstance
from fireflystand_router.peers import PeerLink, PeerUnavailableError
from fireflystand_router.store import StoredObject
from fireflystand_router.view import ClusterView
from fireflystand_router.witness_host import WitnessHost

from .fuzz.ownership_parts import ModelClock, ModelTarget
from .ownership_fakes import LATENCY, FakeControl, FakeStore

__all__ = ["Cluster", "Node"]

STORE_TIMEOUT = 5.0  # seconds
SERVICE = "winkel"
CENTRES = ("namur-a", "namur-b", "gent-a", "gent-b")


class Node:
    """Model one instance; it is also its own network and store client."""

    def __init__(self, cluster: "Cluster", name: str, data_centre: str) -> None:
        self.cluster = cluster
        self.name = name
        self.data_centre = data_centre
        self.starts = 0
        self.alive = False
        self.paused = False
        self.resumed = trio.Event()
        self.view = ClusterView()
        self.start()

    def start(self) -> None:
        """Begin as a new process."""
        self.starts += 1
        self.alive = True
        self.hello = Hello(self.name, str(self.starts), self.data_centre, "")
        self.handlers: dict[type, Callable] = {}
        self.links: dict[str, PeerLink] = {}
        self.view = ClusterView()
        self.view.deployment = self.cluster.deployment
        self.view.data_centre_states_by_id = dict(self.cluster.states)
        self.witnesses = WitnessHost(self, Witness(self.name, str(self.starts)))
        self.host = GroupHost(
            self,
            self,
            self.view,
            self.witnesses,
            self,
            self.publish,
            self.cluster.live_instances,
            partial(FakeControl, self),
        )
        self.events: list[str] = []

    # Callbacks of the group host

    def on_group_started(self, service, group, coordinator, handed_state) -> None:
        """Note the start of a group."""
        self.events.append(f"started {service}/{group} {handed_state}")

    def on_group_stopped(self, service, group) -> None:
        """Note the end of a group."""
        self.events.append(f"stopped {service}/{group}")

    def on_target_changed(self, service, group, target, reason) -> None:
        """Note a change of a target."""
        self.events.append(f"{reason} {target}")

    def on_target_status(self, service, group, target, answer, at) -> None:
        """Ignore what a target reports; no permits are issued here."""

    def collect_state(self, service, group) -> dict[str, bytes]:
        """Return a state that tests recognise."""
        return {"from": self.name.encode()}

    def permits_pending(self, service, group, target, shard, now) -> bool:
        """Tell that no permit is outstanding."""
        return False

    def publish(self, key: str, version: int, text: str) -> None:
        """Give a claim to every node that can be reached."""
        for node in self.cluster.nodes.values():
            if node is self or self.cluster.reaches(self.name, node.name):
                value = json.loads(text)
                name = (value["service"], value["group"])
                known = node.view.claims_by_group.get(name)
                if known is None or known.epoch <= value["epoch"]:
                    node.view.apply(key, text)

    # Network

    def set_handler(self, message_class: type, handler: Callable) -> None:
        """Answer messages of a class through a handler."""
        self.handlers[message_class] = handler

    async def request(self, peer: str, message: object, timeout: float = 1.0):
        """Send a message to a node and return its answer."""
        try:
            with trio.fail_after(timeout):
                await self.cluster.travel(self.name, peer)
                node = self.cluster.nodes[peer]
                handler = node.handlers[type(message)]
                answer = await handler(message, node.link_from(self))
                await self.cluster.travel(peer, self.name)
                return answer
        except trio.TooSlowError:
            raise PeerUnavailableError(
                f"no answer within {timeout} s", step="request", peer=peer
            ) from None

    @property
    def addresses_by_id(self) -> dict[str, str]:
        """Return the addresses of all nodes, which are their names."""
        return {name: name for name in self.cluster.nodes}

    def link_from(self, node: "Node") -> PeerLink:
        """Return the stream from a node."""
        link = self.links.get(node.name)
        if link is None or link.hello.incarnation != node.hello.incarnation:
            link = self.links[node.name] = PeerLink(node.hello)
        return link

    async def gate(self) -> None:
        """Wait while the node is paused."""
        while self.paused:
            await self.resumed.wait()

    # Store client

    async def get(self, key: str) -> StoredObject | None:
        """Return an object."""
        store = await self._reach_store()
        found = store.objects_by_key.get(key)
        await self.gate()
        return None if found is None else StoredObject(key, found[0], _load(found[1]))

    async def put(self, key: str, value: object, expected_version: int) -> int:
        """Write an object if it has the expected version."""
        store = await self._reach_store()
        version = store.objects_by_key.get(key, (0, ""))[0]
        if version != expected_version:
            raise StoreConflictError("another version", step="put", peer="store")
        store.revision += 1
        version = store.revision
        store.objects_by_key[key] = (version, json.dumps(value))
        if store.lose_responses > 0:
            store.lose_responses -= 1
            await trio.sleep(STORE_TIMEOUT)
            raise StoreUnavailableError("lost response", step="put", peer="store")
        await self.gate()
        return version

    async def _reach_store(self) -> FakeStore:
        store = self.cluster.store
        await self.gate()
        reached = self.cluster.reaches(self.name, "store")
        if not store.up or not reached or store.delay >= STORE_TIMEOUT:
            await trio.sleep(STORE_TIMEOUT)
            raise StoreUnavailableError("no answer", step="call", peer="store")
        await trio.sleep(store.delay)
        return store


class Cluster:
    """Hold nodes, targets and the store, and what is cut from what."""

    def __init__(self, nodes: int = 8, targets: int = 8) -> None:
        self.store = FakeStore()
        self.cuts: set[frozenset[str]] = set()
        self.states: dict[str, str] = {}
        self.targets: dict[str, ModelTarget] = {}
        settings: dict[str, TargetSettings] = {}
        for index in range(targets):
            name, centre = f"t{index}", CENTRES[index % 4]
            clock = ModelClock(index * 100.0, 1 + (index % 3 - 1) * 0.004)
            self.targets[name] = ModelTarget(name, clock)
            settings[name] = TargetSettings(name, "", centre, 3, 130)
        centres = {c: DataCentreSettings(c, "be-central") for c in CENTRES}
        service = ServiceSettings(SERVICE, True, settings, 16, 1)
        self.deployment = Deployment(
            "test", centres, {SERVICE: service}, {}, (), JournalSettings(0), 0
        )
        self.nodes: dict[str, Node] = {}
        for index in range(nodes):
            name = f"i{index}"
            self.nodes[name] = Node(self, name, CENTRES[index % 4])
        self.two_owners = 0
        self.lagging = False  # the membership still names dead nodes
        self._nursery: trio.Nursery | None = None
        self._scopes: dict[str, trio.CancelScope] = {}

    def reaches(self, first: str, second: str) -> bool:
        """Tell whether two processes can exchange messages."""
        return frozenset((first, second)) not in self.cuts

    def live_instances(self) -> dict[str, LiveInstance]:
        """Return the nodes that the membership believes to live."""
        return {
            node.name: LiveInstance(
                node.hello.incarnation,
                node.data_centre,
                self.store.up and self.reaches(node.name, "store"),
                node.name,
            )
            for node in self.nodes.values()
            if node.alive or self.lagging
        }

    async def travel(self, source: str, destination: str) -> None:
        """Carry a message from node to node."""
        await self.nodes[source].gate()
        await trio.sleep(LATENCY)
        if source != destination and not self.reaches(source, destination):
            await trio.sleep_forever()
        if not self.nodes[destination].alive:
            raise PeerUnavailableError(
                "refused", step="connect", peer=destination, refused=True
            )
        await self.nodes[destination].gate()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start every node at once."""
        self._nursery = nursery
        for node in self.nodes.values():
            nursery.start_soon(self._run, node)
        nursery.start_soon(self._watch)

    async def _run(self, node: Node) -> None:
        tick = node.host._tick
        node.host._tick = lambda: None if node.paused else tick()
        with trio.CancelScope() as scope:
            self._scopes[node.name] = scope
            async with trio.open_nursery() as nursery:
                node.witnesses.start(nursery)
                node.host.start(nursery)
                await trio.sleep_forever()

    async def _watch(self) -> None:
        while True:
            now = trio.current_time()
            for shard in range(16):
                owners = [t for t in self.targets.values() if t.owns(shard, now)]
                self.two_owners += len(owners) > 1
            await trio.sleep(0.01)

    # Faults

    def kill(self, node: Node) -> None:
        """End a node's process; its streams break."""
        node.alive = False
        self._scopes[node.name].cancel()
        for peer in self.nodes.values():
            link = peer.links.pop(node.name, None)
            if link is not None:
                link.lost.set()

    def restart(self, node: Node) -> None:
        """Start a node's process again."""
        node.start()
        self._nursery.start_soon(self._run, node)

    def pause(self, node: Node) -> None:
        """Stop a node's process without ending it."""
        node.paused = True

    def resume(self, node: Node) -> None:
        """Let a paused node go on."""
        node.paused = False
        node.resumed.set()
        node.resumed = trio.Event()

    def cut(self, inside: set[str], outside: set[str]) -> None:
        """Cut two sets of processes off from each other."""
        self.cuts |= {frozenset((a, b)) for a in inside for b in outside}

    def set_data_centre(self, name: str, state: str) -> None:
        """Take a data centre out or bring it back."""
        self.states[name] = state
        for node in self.nodes.values():
            node.view.apply(f"data-centres/{name}", json.dumps({"state": state}))

    def coordinator_node(self) -> Node | None:
        """Return the node that acts for the group now."""
        now = trio.current_time()
        for node in self.nodes.values():
            held = node.host.coordinator(SERVICE, 0)
            if node.alive and not node.paused and held and held.has_authority(now):
                return node
        return None

    def served_by(self, shard: int) -> str | None:
        """Return the target that serves a shard now, if one does."""
        now = trio.current_time()
        node = self.coordinator_node()
        if node is None:
            return None
        held = node.host.coordinator(SERVICE, 0)
        found = held.owner_of(shard << 60, shard, now)
        if found is None:
            return None
        target = self.targets[found[0]]
        reached = self.reaches(node.name, target.id) and not target.frozen
        runs = reached and target.runs(shard, found[1], now)
        return target.id if runs else None

    def owners(self) -> dict[int, str | None]:
        """Return the target that serves each shard."""
        return {shard: self.served_by(shard) for shard in range(16)}

    async def until_served(self, limit: float, without: str = "") -> float:
        """Wait until every shard is served and return how long that took.

        ``without`` names a target that must own nothing any more. Raise
        AssertionError after ``limit`` seconds.
        """
        started = trio.current_time()
        while True:
            owners = set(self.owners().values())
            if None not in owners and without not in owners:
                return trio.current_time() - started
            if trio.current_time() - started > limit:
                raise AssertionError(f"not served in {limit} s: {self.owners()}")
            await trio.sleep(0.01)


def _load(text: str) -> object:
    return json.loads(text)
