"""Let the open connections to one router go silent, as seen by the other routers."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "harness-3"))

from harness import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    Record,
    Router,
    Store,
    call,
    configuration,
    entry,
    free_port,
    route,
    run,
    service,
)

# The names decide which router keeps the queue of a service: that of "packs1" the last
# one, that of "packs0" the first one.
SERVICES = ("packs1", "packs0")
UPSTREAMS = 3  # of each service
SLOTS = 6
ROUTERS = 6
DEADLINE_MS = 1500
STABLE_WINDOW = 3.0  # seconds; of the rules
BEFORE = 6.0  # seconds of calls before the silence
AFTER = 45.0  # seconds in which calls are counted
RATES = {"/first/": 6.0, "/little/": 1.0, "/added/": 2.0}  # a second, to each router


class Network:
    """Pass connections to a router on; those that are open can go silent for good."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.opened = 0
        self.silenced = 0
        self._silent: set[int] = set()
        self._open: set[int] = set()

    async def start(self, address: str) -> None:
        """Listen in the place of the router."""
        host, port = address.rsplit(":", 1)
        await asyncio.start_server(self._pass_on, host, int(port))

    def silence(self) -> None:
        """Let nothing pass any more on the connections that are open."""
        self._silent |= self._open
        self.silenced = len(self._open)

    async def _pass_on(self, reader, writer) -> None:
        self.opened += 1
        number = self.opened
        host, port = self.target.rsplit(":", 1)
        try:
            to_reader, to_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._open.add(number)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(number, reader, to_writer))
                group.create_task(self._copy(number, to_reader, writer))
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(number)
            writer.transport.abort()
            to_writer.transport.abort()

    async def _copy(self, number: int, reader, writer) -> None:
        while data := await reader.read(65536):
            if number not in self._silent:
                writer.write(data)
                await writer.drain()
        if number in self._silent:
            await asyncio.Event().wait()  # its end does not pass either
        raise ConnectionResetError


class ProxiedStore(Store):
    """A store in which the first router is found at the address of the network.

    This stands for the links between the machines, in which the script cannot put
    anything in another way.
    """

    peer, address = "", ""

    async def _answer(self, method, target, body):
        text = method in ("POST", "PUT") and "fireflystand-instances" in target
        if text and body["metadata"]["name"] == self.peer:
            body["spec"]["address"] = self.address
        return await super()._answer(method, target, body)


async def main(record: Record, folder: Path) -> int:
    store = ProxiedStore()
    store_address = await store.start()
    resources = [
        route("r-first", "/first/", "safe", SERVICES[0], timeout="1200ms"),
        route("r-little", "/little/", "safe", SERVICES[1], timeout="1200ms"),
        service(SERVICES[0], warmup="0s", warmupPerS=0),
        service(SERVICES[1], warmup="0s", warmupPerS=0),
    ]
    store.write("config", "main", {"spec": configuration(7, resources)})
    zones = ["lima-centro"] + ["lima-norte"] * (ROUTERS - 1)
    routers = [Router(n, folder, store_address, z) for n, z in enumerate(zones)]
    network = Network(routers[0].control)
    store.peer = routers[0].name
    store.address = f"127.0.0.1:{free_port()}"
    await network.start(store.address)
    processes, tasks = [], []
    results: dict[str, Counter] = {path: Counter() for path in RATES}
    counting = False

    async def send(router: Router, path: str) -> None:
        number = 0
        while True:
            number += 1
            tasks.append(asyncio.create_task(send_one(router, path, number)))
            await asyncio.sleep(1 / RATES[path])

    async def send_one(router: Router, path: str, number: int) -> None:
        request_id = f"{router.name[-1]}{ord(path[1]):02x}{number:013x}"
        counts = counting
        answer = await call(
            router.front, "GET", f"{path}x", request_id, deadline_ms=DEADLINE_MS
        )
        if counts:
            results[path][router.name, answer.status] += 1

    try:
        for service_name in SERVICES:
            for number in range(UPSTREAMS):
                port, name = free_port(), f"i-{service_name}-{number}"
                processes.append(
                    await asyncio.create_subprocess_exec(
                        sys.executable, str(CASE / "upstream.py"), name, str(port)
                    )
                )
                born = int(time.time() * 1000)
                item = entry(
                    service_name, f"127.0.0.1:{port}", zones[-1], SLOTS, born
                )
                store.write("servers", name, item)
        seeds = [f"127.0.0.1:{free_port()}"]  # down, as seeds may be
        for number, router in enumerate(routers):
            router.seeds = seeds
            await router.start()
            if number == 0:
                await router.wait_until_ready()
                await asyncio.sleep(2)
        for router in routers:
            await router.wait_until_ready()
        await asyncio.sleep(5)
        record.note("ready")
        for path in ("/first/", "/little/"):
            tasks += [asyncio.create_task(send(router, path)) for router in routers]
        await asyncio.sleep(BEFORE)
        if TROUBLE:
            network.silence()
            record.note(f"{network.silenced} connections to {routers[0].name} are silent")
        await asyncio.sleep(STABLE_WINDOW + 1)
        added = route("r-added", "/added/", "safe", SERVICES[1], timeout="1200ms")
        content = {"spec": configuration(12, [added, *resources])}
        store.write("config", "main", content)
        record.note("version 12 adds a route")
        await asyncio.sleep(3)  # configApply is 2 s
        counting = True
        tasks += [asyncio.create_task(send(router, "/added/")) for router in routers]
        await asyncio.sleep(AFTER)
        counting = False
        await asyncio.sleep(DEADLINE_MS / 1000 + 0.5)
        shares = {}
        for path, counts in results.items():
            served = sum(n for (_, status), n in counts.items() if status == 200)
            shares[path] = served / max(1, sum(counts.values()))
            record.note(f"{path}: served {served} of {sum(counts.values())}")
            for (name, status), n in sorted(counts.items(), key=str):
                record.note(f"  {name}: {status}: {n}")
        record.note(f"connections opened to {routers[0].name}: {network.opened}")
        first = [c for path, c in results.items() if path != "/added/"]
        total = sum(sum(c.values()) for c in first)
        served = sum(n for c in first for (_, s), n in c.items() if s == 200)
        share = served / total
        record.note(f"served: {share:.3f} on the first routes, {shares['/added/']:.3f} on the added one")
        enough = sum(results["/added/"].values()) >= 20
        return BROKEN if enough and shares["/added/"] < share / 4 else HELD
    finally:
        for task in tasks:
            task.cancel()
        for process in processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for router in routers:
            await router.end()


run(main, CASE)
