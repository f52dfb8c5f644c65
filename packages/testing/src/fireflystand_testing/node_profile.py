"""Measure the processor time of an instance on the platform's path, by part.

Callers, targets and instances run in one process. The time of the callers and targets
alone is measured first and subtracted, and the rest is given as a multiple of that of
a forwarder that only parses and copies messages with h11 on trio.
"""

import argparse
import cProfile
import pstats
import time
from collections.abc import Awaitable, Callable
from contextlib import contextmanager, nullcontext

import attrs
import h11
import trio
from loguru import logger

from fireflystand_core.traffic import ClientAccount
from fireflystand_router.dispatch.tests.node_support import (
    Caller,
    Fleet,
    open_fleet,
)

__all__ = ["main", "measure_idle", "measure_requests"]

READ_SIZE = 65536
REQUESTS = 1500  # for each figure
CONNECTIONS = 4  # of callers, in parallel
IDLE_SECONDS = 6.0
SETTLE_SECONDS = 3.0  # until starting instances have contacted each other
ACCOUNT = ClientAccount("shop", ("key-1",), rate=1e6, burst=1e6)

Send = Callable[[int], Awaitable[None]]


@attrs.frozen
class Figure:
    """Hold the processor time of one case, in microseconds."""

    name: str
    microseconds: float
    unit: str  # of what the time is spent on


class BareForwarder:
    """Forward requests on kept connections, without any decision."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self.port = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen on a free port."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        target = await trio.open_tcp_stream("127.0.0.1", self._target_port)
        caller_side, target_side = (
            h11.Connection(h11.SERVER),
            h11.Connection(h11.CLIENT),
        )
        async with stream, target:
            while True:
                if not await _copy(caller_side, stream, target_side, target):
                    return
                await _copy(target_side, target, caller_side, stream)
                caller_side.start_next_cycle()
                target_side.start_next_cycle()


async def _copy(source, source_stream, sink, sink_stream) -> bool:
    """Copy one message; return whether there was one."""
    data = b""
    while True:
        event = source.next_event()
        if event is h11.NEED_DATA:
            source.receive_data(await source_stream.receive_some(READ_SIZE))
            continue
        if isinstance(event, h11.ConnectionClosed):
            return False
        data += sink.send(event) or b""
        if isinstance(event, h11.EndOfMessage):
            await sink_stream.send_all(data)
            return True


async def _run_load(send: Send, count: int = REQUESTS) -> float:
    """Send requests on some connections; return the processor seconds of each."""
    began = time.process_time()
    async with trio.open_nursery() as nursery:
        for number in range(CONNECTIONS):
            nursery.start_soon(_send_some, send, number, count // CONNECTIONS)
    return (time.process_time() - began) / count


async def _send_some(send: Send, number: int, count: int) -> None:
    for _ in range(count):
        await send(number)


async def _load_on(port: int, path: str) -> float:
    """Return the processor seconds of a request on kept connections."""
    callers = [
        Caller(await trio.open_tcp_stream("127.0.0.1", port))
        for _ in range(CONNECTIONS)
    ]

    async def send(number: int) -> None:
        status, _ = await callers[number].request(
            path, key=7 * number, authorization="Bearer key-1"
        )
        if status != 200:
            raise RuntimeError(f"status {status} on {path}")

    await _run_load(send, REQUESTS // 5)
    seconds = await _run_load(send)
    for caller in callers:
        await caller.close()
    return seconds


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


async def _measure_requests(profiled: Callable) -> list[Figure]:
    async with open_fleet() as fleet:
        fleet.configure(2, accounts=[ACCOUNT])
        await fleet.add_target("keyed")
        await fleet.add_target("pooled")
        await fleet.add_node()
        await fleet.settle()
        port = _port(fleet.store.objects["targets"]["t2"].value["address"])
        forwarder = BareForwarder(port)
        await forwarder.start(fleet.nursery)
        ends = await _load_on(port, "/p/x")
        bare = await _load_on(forwarder.port, "/p/x") - ends
        figures = [Figure("bare forwarder", bare * 1e6, "request")]
        for name, path in (("keyed", "/k/x"), ("pooled", "/p/x")):
            with profiled(name):
                total = await _load_on(_port(fleet.nodes[0].entry.address), path)
            figures.append(
                Figure(f"{name}, one instance", (total - ends) * 1e6, "request")
            )
        await fleet.add_node()
        await fleet.settle()
        with profiled("both"):
            total = sum(
                [
                    await _load_on(_port(node.entry.address), path)
                    for node in fleet.nodes
                    for path in ("/k/x", "/p/x")
                ]
            )
        mean = total / 4 - ends
        figures.append(Figure("both, two instances", mean * 1e6, "request"))
        return figures


def measure_requests(profiled: Callable = lambda name: nullcontext()) -> list[Figure]:
    """Return the processor time of a request, beside a bare forwarder's."""
    return trio.run(_measure_requests, profiled)


async def _measure_idle(count: int, profiled: Callable) -> Figure:
    async with open_fleet() as fleet:
        await fleet.add_target("keyed")
        await fleet.add_target("pooled")
        await _start_nodes(fleet, count)
        await trio.sleep(SETTLE_SECONDS)
        with profiled(f"idle {count}"):
            began, began_at = time.process_time(), trio.current_time()
            await trio.sleep(IDLE_SECONDS)
            spent = time.process_time() - began
            passed = trio.current_time() - began_at
        return Figure(
            f"idle, {count} instances", spent / passed / count * 1e6, "second"
        )


async def _start_nodes(fleet: Fleet, count: int) -> None:
    first = await fleet.add_node()
    seeds = (first.network.address,)
    for _ in range(count - 1):
        await fleet.add_node(seeds)


def measure_idle(count: int, profiled: Callable = lambda name: nullcontext()) -> Figure:
    """Return the processor time of an instance without requests, for each second."""
    return trio.run(_measure_idle, count, profiled)


@contextmanager
def _profile(name: str):
    """Print the functions that took the most processor time."""
    profiler = cProfile.Profile(time.process_time)
    profiler.enable()
    try:
        yield
    finally:
        profiler.disable()
        print(f"\n{name}")
        pstats.Stats(profiler).sort_stats("tottime").print_stats(45)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--instances", default="2,12,30")
    parser.add_argument("--functions", action="store_true", help="print a profile")
    parser.add_argument("--only", default="", help="requests or idle")
    options = parser.parse_args()
    logger.remove()
    profiled = _profile if options.functions else lambda name: nullcontext()
    figures = measure_requests(profiled) if options.only != "idle" else []
    if options.only != "requests":
        for count in options.instances.split(","):
            figures.append(measure_idle(int(count), profiled))
    bare = figures[0].microseconds if options.only != "idle" else 0.0
    for figure in figures:
        ratio = f"{figure.microseconds / bare:6.2f}" if bare else ""
        print(
            f"{figure.name:28} {figure.microseconds:9.0f} us a {figure.unit:8} {ratio}"
        )


if __name__ == "__main__":
    main()
