"""Run real routers and targets behind fault-injecting proxies."""

import hashlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from collections import Counter
from itertools import cycle
from pathlib import Path
from typing import Any

import attrs
import cattrs
import trio

from fireflystand_core.configuration import Deployment
from fireflystand_router.http_client import (
    ConnectionFailedError,
    HttpClient,
    Response,
)
from fireflystand_router.store import StoreClient

from .instance_list import InstanceListServer
from .proxy import FaultProxy
from .store import StoreServer

__all__ = ["Fleet", "ProcessHandle", "api_key_of", "free_address", "wait_until"]

START_TIMEOUT = 20.0  # seconds
POLL_PERIOD = 0.05  # seconds
FIRST_PORT = 10_000
PORT_BLOCKS = 22
BLOCK_SIZE = 1_000


def _claim_block() -> tuple[socket.socket, cycle]:
    """Return a socket that keeps a block of ports for this process, and its ports."""
    for number in range(PORT_BLOCKS):
        first = FIRST_PORT + (os.getpid() + number) % PORT_BLOCKS * BLOCK_SIZE
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", first))
        except OSError:
            guard.close()
            continue
        return guard, cycle(range(first + 1, first + BLOCK_SIZE))
    raise RuntimeError("no block of ports is free")


_guard, _ports = _claim_block()


def api_key_of(account: str) -> str:
    """Return the API key that the fleet creates for an account."""
    return f"key-of-{account}"


def free_address() -> str:
    """Return a loopback address whose port is free and was not returned before.

    Ports below the ephemeral range are chosen, because an outgoing connection of
    another process could take an ephemeral one before it is listened on. Each
    process draws from a block of its own, in order: ports drawn at random met an
    earlier address of the same fleet that was not listened on yet.
    """
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return f"127.0.0.1:{port}"
    raise RuntimeError("no port is free")


async def wait_until(condition, timeout: float, what: str) -> float:
    """Wait until an async condition holds; return the seconds it took."""
    began = trio.current_time()
    with trio.move_on_after(timeout):
        while not await condition():
            await trio.sleep(POLL_PERIOD)
        return trio.current_time() - began
    raise AssertionError(f"not within {timeout} s: {what}")


@attrs.define(eq=False)
class ProcessHandle:
    """Own one child process."""

    name: str
    command: list[str]
    log: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process; its output goes to the log file."""
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    @property
    def running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: int) -> None:
        """Send a signal to a process that still runs."""
        if self.running:
            self.process.send_signal(number)

    def close(self) -> None:
        """Kill the process and collect it."""
        if self.process is None:
            return
        if self.running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait(10)


@attrs.define(eq=False)
class RouterPlace:
    """Hold the addresses, proxies and process of one router."""

    id: str
    data_centre: str
    listen: str
    peer: str
    health: str
    store_proxy: FaultProxy
    peer_proxies_by_source: dict[str, FaultProxy]
    instance_list: InstanceListServer
    handle: ProcessHandle | None = None


@attrs.define(eq=False)
class TargetPlace:
    """Hold the address, proxy and process of one target."""

    id: str
    data_centre: str
    address: str
    proxy: FaultProxy
    handle: ProcessHandle


class Fleet:
    """Own a store, instance lists, targets and routers for one test.

    ``declare`` receives the proxied target addresses by id and returns the
    deployment.
    """

    def __init__(
        self,
        declare,
        targets: dict[str, str],
        routers: dict[str, str],
        target_flags: tuple[str, ...] = (),
        target_flags_by_id: dict[str, tuple[str, ...]] | None = None,
        list_lag: float = 0.5,
    ) -> None:
        self._declare = declare
        self._target_data_centres = targets
        self._router_data_centres = routers
        self._target_flags = target_flags
        self._target_flags_by_id = target_flags_by_id or {}
        self._list_lag = list_lag  # seconds
        self._folder = tempfile.TemporaryDirectory()
        self._nursery: trio.Nursery | None = None
        self.store = StoreServer()
        self.store_address = ""
        self.deployment: Deployment | None = None
        self.targets_by_id: dict[str, TargetPlace] = {}
        self.routers_by_id: dict[str, RouterPlace] = {}

    async def start(self, nursery: trio.Nursery) -> None:
        """Start everything and wait until every router is ready."""
        self._nursery = nursery
        self.store_address = await self.store.start(nursery)
        for target, data_centre in self._target_data_centres.items():
            await self._add_target(target, data_centre)
        addresses = {t.id: t.proxy.address for t in self.targets_by_id.values()}
        self.deployment = self._declare(addresses)
        await self._publish()
        for router, data_centre in self._router_data_centres.items():
            await self._add_router(router, data_centre)
        await self._connect_routers()
        for place in self.routers_by_id.values():
            place.handle.start()
        for place in self.routers_by_id.values():
            await wait_until(
                lambda place=place: self.is_ready(place.id),
                START_TIMEOUT,
                f"{place.id} is ready\n{self.log_of(place.handle)}",
            )

    async def close(self) -> None:
        """End every process and proxy."""
        places = [*self.routers_by_id.values(), *self.targets_by_id.values()]
        for place in places:
            if place.handle is not None:
                place.handle.close()
        self._folder.cleanup()
        self._nursery.cancel_scope.cancel()

    def log_of(self, handle: ProcessHandle, characters: int = 12_000) -> str:
        """Return the end of a process's output."""
        if not handle.log.exists():
            return ""
        return handle.log.read_text(errors="replace")[-characters:]

    async def _add_target(self, target: str, data_centre: str) -> None:
        address = free_address()
        proxy = FaultProxy(address)
        await proxy.start(self._nursery)
        port = address.rpartition(":")[2]
        flags = self._target_flags_by_id.get(target, self._target_flags)
        handle = self._process(
            target,
            "fireflystand_testing.target",
            *("--id", target, "--port", port, *flags),
        )
        handle.start()
        self.targets_by_id[target] = TargetPlace(
            target, data_centre, address, proxy, handle
        )

    async def _add_router(self, router: str, data_centre: str) -> None:
        store_proxy = FaultProxy(self.store_address)
        await store_proxy.start(self._nursery)
        self.routers_by_id[router] = RouterPlace(
            id=router,
            data_centre=data_centre,
            listen=free_address(),
            peer=free_address(),
            health=free_address(),
            store_proxy=store_proxy,
            peer_proxies_by_source={},
            instance_list=InstanceListServer([], self._list_lag),
        )

    async def _connect_routers(self) -> None:
        for place in self.routers_by_id.values():
            for source in self.routers_by_id:
                proxy = FaultProxy(place.peer)
                await proxy.start(self._nursery)
                place.peer_proxies_by_source[source] = proxy
        for place in self.routers_by_id.values():
            place.instance_list.set_instances(self._listing(place.id))
            address = await place.instance_list.start(self._nursery)
            place.handle = self._router_process(place, address)

    def _listing(self, viewer: str) -> list[dict[str, Any]]:
        return [
            {
                "id": place.id,
                "address": place.peer_proxies_by_source[viewer].address,
                "health_address": place.health,
                "data_centre": place.data_centre,
                "state": "live",
            }
            for place in self.routers_by_id.values()
        ]

    def _router_process(self, place: RouterPlace, list_address: str) -> ProcessHandle:
        return self._process(
            place.id,
            "fireflystand_router.daemon",
            f"--instance_id={place.id}",
            f"--data_centre={place.data_centre}",
            f"--listen_address={place.listen}",
            f"--peer_address={place.peer}",
            f"--health_address={place.health}",
            f"--store_address={place.store_proxy.address}",
            f"--instance_list_address={list_address}",
        )

    def _process(self, name: str, module: str, *flags: str) -> ProcessHandle:
        log = Path(self._folder.name) / f"{name}.log"
        return ProcessHandle(name, [sys.executable, "-m", module, *flags], log)

    async def _publish(self) -> None:
        store = StoreClient(self.store_address)
        generation = {"deployment": cattrs.unstructure(self.deployment)}
        await store.put("config/generations/first", generation, 0)
        pointer = {
            "generation": 1,
            "operation_id": "first",
            "object": "config/generations/first",
        }
        await store.put("config/current", pointer, 0)
        for account in self.deployment.accounts_by_id:
            await store.put(
                f"keys/{_digest(account)}", {"account": account, "state": "active"}, 0
            )
        await store.close()

    async def withdraw_key(self, account: str) -> None:
        """Withdraw the account's API key in the store."""
        store = StoreClient(self.store_address)
        key = f"keys/{_digest(account)}"
        found = await store.get(key)
        await store.put(key, {**found.value, "state": "withdrawn"}, found.version)
        await store.close()

    async def put_state(self, key: str, state: str) -> None:
        """Write ``{"state": state}`` to an object of the store."""
        store = StoreClient(self.store_address)
        found = await store.get(key)
        await store.put(key, {"state": state}, found.version if found else 0)
        await store.close()

    async def is_ready(self, router: str) -> bool:
        """Tell whether a router answers its readiness check with 200."""
        return await self._get_status(router, "/fireflystand/v1/ready") == 200

    async def state(self, router: str) -> dict[str, Any]:
        """Return what a router tells of itself."""
        response = await self._health(router, "/fireflystand/v1/state")
        return response.json()

    async def explain(self, router: str, service: str, key: str) -> dict[str, Any]:
        """Return what a router knows of a key's owner."""
        path = f"/fireflystand/v1/explain?service={service}&key={key}"
        return (await self._health(router, path)).json()

    async def _get_status(self, router: str, path: str) -> int | None:
        try:
            return (await self._health(router, path)).status
        except ConnectionFailedError:
            return None

    async def _health(self, router: str, path: str) -> Response:
        client = HttpClient(self.routers_by_id[router].health, timeout=2.0)
        try:
            return await client.request("GET", path)
        finally:
            await client.close()

    async def call(
        self,
        router: str,
        path: str,
        *,
        account: str,
        method: str = "GET",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: float = 10.0,
    ) -> Response:
        """Send one call as a caller would."""
        client = HttpClient(self.routers_by_id[router].listen, timeout=timeout)
        fields = {"Authorization": f"Bearer {api_key_of(account)}", **(headers or {})}
        try:
            return await client.request(method, path, headers=fields, body=body)
        finally:
            await client.close()

    async def target_counts(self, target: str) -> dict[str, Any]:
        """Return what a target has run so far."""
        return await self._control(target, "GET", b"")

    async def runs_by_path(self) -> Counter:
        """Return how often all running targets ran each path."""
        runs = Counter()
        for target, place in self.targets_by_id.items():
            if place.handle.running:
                runs.update((await self.target_counts(target))["runs_by_path"])
        return runs

    async def change_targets(self, **changes: Any) -> None:
        """Change the behaviour of all targets."""
        for target in self.targets_by_id:
            await self.change_target(target, **changes)

    async def change_target(self, target: str, **changes: Any) -> dict[str, Any]:
        """Change the behaviour of a target."""
        return await self._control(target, "PUT", json.dumps(changes).encode())

    async def _control(self, target: str, method: str, body: bytes) -> dict[str, Any]:
        client = HttpClient(self.targets_by_id[target].address, timeout=5.0)
        try:
            return (await client.request(method, "/control", body=body)).json()
        finally:
            await client.close()

    async def kill_target(self, target: str) -> None:
        """Kill a target; its address refuses connections from then on."""
        place = self.targets_by_id[target]
        place.handle.send_signal(signal.SIGKILL)
        place.handle.process.wait(10)
        await place.proxy.refuse()

    async def restart_target(self, target: str) -> None:
        """Start a target that ended."""
        place = self.targets_by_id[target]
        place.handle.close()
        place.handle.start()
        await place.proxy.accept()

    async def kill_router(self, router: str) -> None:
        """Kill a router; its peer address refuses connections from then on."""
        place = self.routers_by_id[router]
        place.handle.send_signal(signal.SIGKILL)
        place.handle.process.wait(10)
        await self.refuse_router(router)

    async def refuse_router(self, router: str) -> None:
        """Refuse connections to a router that ended, as its own address does."""
        for proxy in self.routers_by_id[router].peer_proxies_by_source.values():
            await proxy.refuse()

    async def restart_router(self, router: str) -> None:
        """Start a router that ended and wait until it is ready."""
        place = self.routers_by_id[router]
        place.handle.close()
        place.handle.start()
        for proxy in place.peer_proxies_by_source.values():
            await proxy.accept()
        await wait_until(lambda: self.is_ready(router), START_TIMEOUT, "restart")

    def cut_router(self, router: str, *, store: bool, peers: bool) -> None:
        """Partition a router from the store, from its peers, or from both."""
        place = self.routers_by_id[router]
        if store:
            place.store_proxy.cut()
        if peers:
            for proxy in self._links_of(router):
                proxy.cut()

    def heal_router(self, router: str) -> None:
        """End the partition of a router."""
        self.routers_by_id[router].store_proxy.heal()
        for proxy in self._links_of(router):
            proxy.heal()

    def _links_of(self, router: str) -> list[FaultProxy]:
        links = []
        for place in self.routers_by_id.values():
            for source, proxy in place.peer_proxies_by_source.items():
                if (source == router) != (place.id == router):
                    links.append(proxy)
        return links


def _digest(account: str) -> str:
    return hashlib.sha256(api_key_of(account).encode()).hexdigest()
