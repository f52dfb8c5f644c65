"""Compare the edge with a bare forwarder and the bare target, one process each."""

import os
import selectors
import socket
import subprocess
import sys
import time

import attrs
import fire
import h11
import trio

from fireflystand_router.adapters import GroupPlacement
from fireflystand_router.entry import EntryServer, RequestFlow
from fireflystand_router.forward import Forwarder
from fireflystand_router.metrics import Metrics
from fireflystand_testing.edge import (
    API_KEY,
    FakeAccounts,
    FakePermits,
    FakeQuotas,
    edge_deployment,
)

__all__ = ["Sample", "main"]

READ_SIZE = 65536
TICKS = os.sysconf("SC_CLK_TCK")  # per second of processor time
BODY = b"x" * 1024
REQUEST = (
    b"GET /stock/k1 HTTP/1.1\r\nHost: a\r\nAccept: */*\r\n"
    b"Authorization: Bearer " + API_KEY.encode() + b"\r\n\r\n"
)


class _BenchPermits(FakePermits):
    """Issue permits and forget them."""

    def give_back(self, returned) -> None:
        self.requests.clear()


async def _next(http: h11.Connection, stream):
    while (event := http.next_event()) is h11.NEED_DATA:
        http.receive_data(await stream.receive_some(READ_SIZE))
    return event


async def _serve_target(stream) -> None:
    http = h11.Connection(h11.SERVER)
    while isinstance(await _next(http, stream), h11.Request):
        await _next(http, stream)
        headers = [("Content-Length", str(len(BODY)))]
        data = http.send(h11.Response(status_code=200, headers=headers))
        data += http.send(h11.Data(data=BODY)) + http.send(h11.EndOfMessage())
        await stream.send_all(data)
        http.start_next_cycle()


async def _serve_forwarder(stream, port: int) -> None:
    """Forward with h11 on both sides and decide nothing."""
    caller, target = h11.Connection(h11.SERVER), h11.Connection(h11.CLIENT)
    onward = await trio.open_tcp_stream("127.0.0.1", port)
    while isinstance(request := await _next(caller, stream), h11.Request):
        data = target.send(request)
        while isinstance(event := await _next(caller, stream), h11.Data):
            data += target.send(event)
        await onward.send_all(data + target.send(event))
        response = await _next(target, onward)
        data = caller.send(
            h11.Response(status_code=response.status_code, headers=response.headers)
        )
        while isinstance(event := await _next(target, onward), h11.Data):
            data += caller.send(event)
        await stream.send_all(data + caller.send(event))
        caller.start_next_cycle()
        target.start_next_cycle()


async def _run_role(role: str, port: int) -> None:
    async with trio.open_nursery() as nursery:
        if role == "edge":
            address = await _start_edge(nursery, port)
            print(address.rpartition(":")[2], flush=True)
            return

        async def handle(stream) -> None:
            try:
                if role == "target":
                    await _serve_target(stream)
                else:
                    await _serve_forwarder(stream, port)
            except (trio.BrokenResourceError, h11.ProtocolError):
                pass  # The load ends in the middle of requests.
            finally:
                await trio.aclose_forcefully(stream)

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        print(listeners[0].socket.getsockname()[1], flush=True)
        await trio.serve_listeners(handle, listeners)


async def _start_edge(nursery: trio.Nursery, port: int) -> str:
    deployment = edge_deployment()
    forwarder = Forwarder(connections=64)
    metrics = Metrics()
    await forwarder.start(nursery)
    flow = RequestFlow(
        deployment=lambda: deployment,
        accounts=FakeAccounts(deployment),
        quotas=FakeQuotas(),
        permits=_BenchPermits([f"127.0.0.1:{port}"]),
        placement=GroupPlacement(),
        forwarder=forwarder,
        metrics=metrics,
    )
    nursery.start_soon(metrics.run)
    return await EntryServer(flow, metrics).start(nursery)


@attrs.frozen
class Sample:
    """Hold one measurement; ``processor`` is in seconds per request."""

    rate: float
    processor: float


class _Process:
    """Own one server process."""

    def __init__(self, role: str, port: int = 0) -> None:
        command = [sys.executable, "-m", __spec__.name, "--role", role]
        command += ["--port", str(port)]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE)
        self.port = int(self._process.stdout.readline())

    def processor_time(self) -> float:
        """Return the processor time used so far, in seconds."""
        with open(f"/proc/{self._process.pid}/stat") as file:
            fields = file.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def close(self) -> None:
        """End the process."""
        self._process.terminate()
        self._process.wait()


def _load(port: int, connections: int, seconds: float) -> int:
    """Send requests on kept connections and return the number of responses."""
    selector = selectors.DefaultSelector()
    received: dict[socket.socket, bytearray] = {}
    for _ in range(connections):
        client = socket.create_connection(("127.0.0.1", port))
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        received[client] = bytearray()
        selector.register(client, selectors.EVENT_READ)
        client.sendall(REQUEST)
    responses = 0
    end = time.perf_counter() + seconds
    while time.perf_counter() < end:
        for key, _ in selector.select(1.0):
            buffer = received[key.fileobj]
            buffer += key.fileobj.recv(READ_SIZE)
            if buffer.endswith(BODY):
                if not buffer.startswith(b"HTTP/1.1 200"):
                    raise OSError(f"unexpected response {bytes(buffer[:80])!r}")
                responses += 1
                buffer.clear()
                key.fileobj.sendall(REQUEST)
    for client in received:
        client.close()
    return responses


def _measure(process: _Process, connections: int, seconds: float) -> Sample:
    before, begin = process.processor_time(), time.perf_counter()
    responses = _load(process.port, connections, seconds)
    elapsed = time.perf_counter() - begin
    return Sample(responses / elapsed, (process.processor_time() - before) / responses)


def _compare(connections: int, seconds: float, rounds: int) -> None:
    target = _Process("target")
    processes = {"target": target}
    try:
        for role in ("forwarder", "edge"):
            processes[role] = _Process(role, target.port)
        samples = {role: [] for role in processes}
        for _ in range(rounds):
            for role, process in processes.items():
                samples[role].append(_measure(process, connections, seconds))
    finally:
        for process in processes.values():
            process.close()
    _report(samples)


def _report(samples: dict[str, list[Sample]]) -> None:
    middle = {}
    for role, found in samples.items():
        rate = sorted(s.rate for s in found)[len(found) // 2]
        processor = sorted(s.processor for s in found)[len(found) // 2]
        middle[role] = Sample(rate, processor)
        print(f"{role:10}{rate:8.0f} requests/s {processor * 1e6:7.0f} us/request")
    edge = middle["edge"]
    for role in ("forwarder", "target"):
        other = middle[role]
        print(
            f"edge / {role}: rate {edge.rate / other.rate:.2f}, "
            f"processor time {edge.processor / other.processor:.2f}"
        )


def main(
    role: str = "",
    port: int = 0,
    connections: int = 16,
    seconds: float = 2.0,
    rounds: int = 3,
) -> None:
    """Print rates, processor times and ratios of one run."""
    if role:
        trio.run(_run_role, role, port)
    else:
        _compare(connections, seconds, rounds)


if __name__ == "__main__":
    fire.Fire(main)
