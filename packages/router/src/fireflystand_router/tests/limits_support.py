"""Run instances in one process over a network and a store without sockets."""

from random import Random
from urllib.parse import parse_qs, urlsplit

import attrs
import trio
import trio.testing

from fireflystand_core.exceptions import StoreUnavailableError
from fireflystand_core.groups import GroupRecord
from fireflystand_core.membership import PeerEntry, PeerTable
from fireflystand_core.messages import Accepted, Hello
from fireflystand_router.gossip import Gossip
from fireflystand_router.http_client import Response
from fireflystand_router.peers import PeerLink, PeerUnavailableError
from fireflystand_router.quota_host import QuotaHost
from fireflystand_router.quotas import Quotas
from fireflystand_router.store import StoreClient
from fireflystand_router.view import ClusterView
from fireflystand_router.watch import StoreWatcher
from fireflystand_testing.http_server import Request
from fireflystand_testing.store import StoreServer

DELAY = 0.0005  # seconds one way
HASH = "ab" * 32


class MemoryNetwork:
    """Carry messages between the instances of one world."""

    def __init__(self, world, hello: Hello) -> None:
        self.world = world
        self.hello = hello
        self.addresses_by_id: dict[str, str] = {}
        self.links_by_id = {}
        self.handlers = {}

    def set_handler(self, message_class, handler):
        self.handlers[message_class] = handler

    def set_address(self, instance, address):
        self.addresses_by_id[instance] = address

    def remove_peer(self, instance):
        self.addresses_by_id.pop(instance, None)

    def send(self, instance, message):
        self._check_address(instance)
        self.world.nursery.start_soon(self._deliver, instance, message)

    async def _deliver(self, instance, message):
        await trio.sleep(DELAY)
        peer = self.world.networks.get(instance)
        if not self.world.connected(self.hello.instance, instance):
            return None
        peer.addresses_by_id.setdefault(self.hello.instance, self.hello.address)
        handler = peer.handlers.get(type(message))
        if handler is None:
            return Accepted()
        answer = await handler(message, PeerLink(self.hello)) or Accepted()
        await trio.sleep(DELAY)
        return answer if self.world.connected(self.hello.instance, instance) else None

    def _check_address(self, instance):
        if instance not in self.addresses_by_id:
            raise PeerUnavailableError("no address", step="connect", peer=instance)

    async def request(self, instance, message, timeout=1.0):
        self._check_address(instance)
        with trio.move_on_after(timeout):
            answer = await self._deliver(instance, message)
            if answer is not None:
                return answer
            await trio.sleep_forever()
        raise PeerUnavailableError("no answer", step="request", peer=instance)


class MemoryStore(StoreClient):
    """Call the store stand-in without a socket."""

    def __init__(self, world, instance: str) -> None:
        super().__init__("store")
        self.world = world
        self.instance = instance

    async def _call(self, kind, method, path, *, headers=None, body=b"", timeout=None):
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1
        await trio.sleep(DELAY)
        parts = urlsplit(path)
        query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        fields = {name.lower(): value for name, value in (headers or {}).items()}
        request = Request(method, parts.path, query, fields, body)
        ends_at = trio.current_time() + (timeout or 2.0)
        reply = await self.world.server._handle(request)
        if self.instance in self.world.hung_from_store:
            await trio.sleep_until(max(trio.current_time(), ends_at))
            raise StoreUnavailableError("no answer", step=kind, peer="store")
        cut = self.instance in self.world.cut_from_store
        if reply.drop or cut or reply.status in (429, 503):
            raise StoreUnavailableError("refused", step=kind, peer="store")
        names = {name.lower(): value for name, value in reply.headers.items()}
        return Response(reply.status, names, reply.body)


@attrs.define
class Authority:
    """Hold authority until told otherwise."""

    held: bool = True

    def has_authority(self, now: float) -> bool:
        return self.held


class Instance:
    """Hold the parts of one instance."""

    def __init__(self, world, name: str, data_centre: str) -> None:
        hello = Hello(name, "1", data_centre, name)
        self.scope = trio.CancelScope()
        self.network = MemoryNetwork(world, hello)
        self.view = ClusterView()
        own = PeerEntry(name, name, data_centre)
        self.table = PeerTable(own, Random(name))
        self.gossip = Gossip(self.network, self.view, self.table, Random(name))
        self.watcher = StoreWatcher(MemoryStore(world, name), self.gossip)
        self.host = QuotaHost(self.network, self.view)
        self.quotas = Quotas(self.network, self.view, self.host)

    async def run(self) -> None:
        with self.scope:
            async with trio.open_nursery() as nursery:
                for part in (self.gossip, self.watcher, self.host, self.quotas):
                    await part.start(nursery)
                await trio.sleep_forever()

    def key_state(self) -> str | None:
        """Return the state of the API key, or ``None`` while none is admitted."""
        known = self.view.keys_by_hash.get(HASH)
        return known.state if known and self.gossip.may_admit() else None


class World:
    """Run instances in some data centres and a store."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.server = StoreServer()
        self.cut_from_store: set[str] = set()
        self.hung_from_store: set[str] = set()  # get no answer until a timeout
        self.cut_from_peers: set[str] = set()
        self.networks: dict[str, MemoryNetwork] = {}
        self.instances: dict[str, Instance] = {}
        self.operator = MemoryStore(self, "operator")

    def connected(self, first: str, second: str) -> bool:
        if second not in self.networks:
            return False
        return not self.cut_from_peers & {first, second}

    def entries(self, names=None) -> list[PeerEntry]:
        found = self.instances if names is None else names
        return [PeerEntry(n, n, self.instances[n].table.own.data_centre) for n in found]

    async def start(
        self, rate=100.0, burst=20.0, count=6, data_centres=("namur-a", "gent-a")
    ) -> None:
        await self.write_deployment(rate, burst)
        await self.write_key("active")
        for number in range(count):
            data_centre = data_centres[number * len(data_centres) // count]
            instance = Instance(self, f"i{number}", data_centre)
            self.instances[f"i{number}"] = instance
            self.networks[f"i{number}"] = instance.network
        for instance in self.instances.values():
            self.seed(instance, self.entries())
            self.nursery.start_soon(instance.run)
        await self.until(lambda: all(i.key_state() for i in self.instances.values()))

    def seed(self, instance: Instance, entries: list[PeerEntry]) -> None:
        """Pass the platform's list to an instance as ``PlatformList`` does."""
        for entry in entries:
            if entry.id != instance.table.own.id:
                instance.network.set_address(entry.id, entry.address)
        for peer in instance.table.seed(entries, trio.current_time()):
            instance.network.remove_peer(peer)

    def kill(self, name: str) -> None:
        self.networks.pop(name)
        self.instances.pop(name).scope.cancel()

    async def write_deployment(self, rate: float, burst: float, number=1) -> None:
        account = {"id": "gent", "rate": rate, "burst": burst, "services": ["winkel"]}
        deployment = {
            "name": "test",
            "data_centres_by_id": {},
            "services_by_id": {},
            "accounts_by_id": {"gent": account},
            "routes": [],
            "account_groups": 1,
        }
        key = f"config/generations/op{number}"
        await self.operator.put(key, {"deployment": deployment}, 0)
        pointer = {"generation": number, "operation_id": f"op{number}", "object": key}
        await self.write("config/current", pointer)

    async def write_key(self, state: str) -> None:
        await self.write(f"keys/{HASH}", {"account": "gent", "state": state})

    async def claim(self, name: str, epoch: int) -> None:
        record = GroupRecord(epoch, name, "1", {name: "1"})
        await self.write("groups/accounts/0", record.to_value())

    async def write(self, key: str, value) -> None:
        found = await self.operator.get(key)
        await self.operator.put(key, value, found.version if found else 0)

    async def until(self, condition, limit=20.0) -> float:
        """Wait for a condition and return the seconds that it took."""
        start = trio.current_time()
        while not condition():
            if trio.current_time() - start > limit:
                raise AssertionError(f"not reached within {limit} s")
            await trio.sleep(0.01)
        return trio.current_time() - start


def run_world(scenario, **kwargs) -> None:
    """Run a scenario on a mock clock."""

    async def main():
        async with trio.open_nursery() as nursery:
            world = World(nursery)
            await world.start(**kwargs)
            await scenario(world)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


__all__ = ["HASH", "Authority", "World", "run_world"]
