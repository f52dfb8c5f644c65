"""Raise a limit of the configuration while clients keep their connections."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "harness-3"))

from harness import (  # noqa: E402
    API_KEY,
    BROKEN,
    HELD,
    HOST,
    TROUBLE,
    Answer,
    Record,
    Router,
    Store,
    configuration,
    entry,
    free_port,
    read_answer,
    route,
    run,
    service,
)

UPSTREAMS = 4
SLOTS = 6
ZONES = ("lima-norte", "lima-centro")
EARLIER_LIMIT = 8192 if TROUBLE else 16384  # bytes; maxHeaderBytes of version 7
LIMIT = 16384  # bytes; maxHeaderBytes of version 12
LARGE = 12_000  # bytes of a field that clients send once version 12 allows it
CLIENTS = 15  # for each router, each with one connection that it keeps
PAUSE = 1.0  # seconds between two requests of a client; idleTimeout is 15 s
BEFORE, AFTER = 5.0, 15.0  # seconds
APPLY = 2.0  # seconds; configApply


class Client:
    """Send requests one after the other, on one connection as long as it is open."""

    def __init__(self, router: Router, number: int) -> None:
        self.router, self.number = router, number
        self.connections = 0
        self.sent = 0
        self._streams = None

    async def request(self, padding: int) -> tuple[str, Answer, bool]:
        """Send a request; also tell whether its connection had been used before."""
        is_kept = self._streams is not None
        if not is_kept:
            host, port = self.router.front.rsplit(":", 1)
            self._streams = await asyncio.open_connection(host, int(port))
            self.connections += 1
        reader, writer = self._streams
        self.sent += 1
        request_id = f"{self.router.name[-1]}{self.number:02x}{self.sent:013x}"
        lines = [
            "GET /look/x HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            "Deadline-Ms: 2000",
            f"Authorization: Token {API_KEY}",
        ]
        if padding:
            lines.append(f"X-Basket: {'b' * padding}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        try:
            async with asyncio.timeout(4):
                answer = await read_answer(reader)
        except TimeoutError:
            answer = Answer()
        closes = answer.fields.get("connection", "").lower() == "close"
        if closes or not answer.complete:
            self.close()
        return request_id, answer, is_kept

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


def content(version: int, limit: int) -> dict:
    """Return a version of the configuration."""
    resources = [
        route("r-look", "/look/", "safe", "packs"),
        service("packs", warmup="0s", warmupPerS=0),
    ]
    value = configuration(version, resources)
    for item in value["resources"]:
        if item["resourceType"] == "limits":
            item["spec"]["maxHeaderBytes"] = limit
    return {"spec": value}


async def main(record: Record, folder: Path) -> int:
    store = Store()
    address = await store.start()
    store.write("config", "main", content(7, EARLIER_LIMIT))
    routers = [Router(n, folder, address, z) for n, z in enumerate(ZONES)]
    processes, counts = [], Counter()
    padding = 0
    is_over = False

    async def send(client: Client) -> None:
        await asyncio.sleep(client.number * PAUSE / CLIENTS)
        while not is_over:
            large = padding
            request_id, answer, is_kept = await client.request(large)
            what = "large" if large else "small"
            kept = "kept" if is_kept else "new"
            counts[what, kept, answer.status] += 1
            if answer.status != 200:
                record.note(f"{request_id} ({what}, {kept} connection): {answer}")
            await asyncio.sleep(PAUSE)
        client.close()

    try:
        for number in range(UPSTREAMS):
            port, name = free_port(), f"i-{number}"
            processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable, str(CASE / "upstream.py"), name, str(port)
                )
            )
            born = int(time.time() * 1000)
            item = entry("packs", f"127.0.0.1:{port}", ZONES[number % 2], SLOTS, born)
            store.write("servers", name, item)
        for router in routers:
            router.seeds = [r.control for r in routers]
            await router.start()
        for router in routers:
            await router.wait_until_ready()
        await asyncio.sleep(4)
        record.note("ready")
        clients = [Client(router, n) for router in routers for n in range(CLIENTS)]
        tasks = [asyncio.create_task(send(client)) for client in clients]
        await asyncio.sleep(BEFORE)
        store.write("config", "main", content(12, LIMIT))
        record.note(f"version 12: maxHeaderBytes is {LIMIT}, was {EARLIER_LIMIT}")
        await asyncio.sleep(APPLY + 1)
        padding = LARGE
        record.note(f"requests have a field of {LARGE} bytes from now on")
        await asyncio.sleep(AFTER)
        is_over = True
        await asyncio.gather(*tasks)
        for (what, kept, status), n in sorted(counts.items(), key=str):
            record.note(f"{what} requests on {kept} connections: {status}: {n}")
        total = sum(counts.values())
        denied = sum(n for (_, _, status), n in counts.items() if status == 431)
        record.note(f"{denied} of {total} requests denied; {5 + total / 500:.1f} may be")
        return BROKEN if denied > 5 + total / 500 else HELD
    finally:
        for process in processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for router in routers:
            await router.end()


run(main, CASE)
