"""Support the tests of planned stops."""

import unittest
from contextlib import suppress

import attrs
import h11
import trio

from fireflystand_core.traffic import ClientAccount

from ...entry import CallerOptions
from ..ports import DispatchBounds
from .node_support import HOST, HttpTarget, play_fleet

GRACE = 3.0  # seconds from the signal to the end of the process
LONG = "20000"  # milliseconds; a deadline long after the end of the process
SILENT = 60.0  # seconds of work of a target that does not answer in time


@attrs.frozen
class Answer:
    """Hold one response as its caller saw it; seconds on trio's clock."""

    status: int
    fields: dict[str, str]
    at: float


class PipeliningCaller:
    """Send requests on one connection without waiting for their responses."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.answers: list[Answer] = []
        self.sent = 0
        self.cut = False  # whether the connection ended inside a response
        self.ended = trio.Event()

    @classmethod
    async def connect(cls, nursery: trio.Nursery, node) -> "PipeliningCaller":
        host, port = node.entry.address.rsplit(":", 1)
        caller = cls(await trio.open_tcp_stream(host, int(port)))
        nursery.start_soon(caller._receive)
        return caller

    async def send(
        self, *paths: str, method: str = "GET", deadline: str = LONG, key: int = 7
    ) -> bool:
        """Send a request for each path; return whether the connection was open."""
        lines = []
        for path in paths:
            lines += [
                f"{method} {path} HTTP/1.1",
                f"Host: {HOST}",
                f"Fireflystand-Routing-Key: {key}",
                f"Fireflystand-Deadline-Ms: {deadline}",
                "Authorization: Bearer key-1",
            ]
            if method == "POST":
                lines.append("Content-Length: 0")
            lines.append("")
        if self.ended.is_set():
            return False
        try:
            await self._stream.send_all("\r\n".join([*lines, ""]).encode())
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        self.sent += len(paths)
        return True

    async def _receive(self) -> None:
        buffer = b""
        with suppress(trio.BrokenResourceError):
            while received := await self._stream.receive_some(65536):
                buffer = self._parse(buffer + received)
        self.cut = bool(buffer)
        self.ended.set()
        await self._stream.aclose()

    def _parse(self, buffer: bytes) -> bytes:
        """Take the complete responses from the buffer and return the rest."""
        while b"\r\n\r\n" in buffer:
            head, _, rest = buffer.partition(b"\r\n\r\n")
            status, *lines = head.decode().split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in lines)
            length = int(fields["content-length"])
            if len(rest) < length:
                break
            answer = Answer(int(status.split()[1]), fields, trio.current_time())
            self.answers.append(answer)
            buffer = rest[length:]
        return buffer

    @property
    def statuses(self) -> list[int]:
        """Return the status of each response, in order."""
        return [answer.status for answer in self.answers]


def passed_on(target) -> list[str]:
    """Return the paths of the callers' requests that a target got."""
    paths = [fields[b":target"].decode() for fields in target.requests]
    return [path for path in paths if not path.startswith("/fireflystand/")]


async def send_bytes(node, line: str, *fields: str, body: bytes = b""):
    """Send one request on a new connection and return its stream."""
    host, port = node.entry.address.rsplit(":", 1)
    stream = await trio.open_tcp_stream(host, int(port))
    lines = [
        line,
        f"Host: {HOST}",
        f"Fireflystand-Deadline-Ms: {LONG}",
        "Authorization: Bearer key-1",
        *fields,
    ]
    await stream.send_all("\r\n".join([*lines, "", ""]).encode() + body)
    return stream


@attrs.define(eq=False)
class StreamingTarget(HttpTarget):
    """Answer paths that contain "slow" in parts; break off those with "broken"."""

    part_interval: float = 0.1  # seconds
    parts: int = 100
    part: bytes = b"ok"
    chunked: bool = False
    pause: float = 0.0  # seconds before a response breaks off

    async def _answer(self, connection, stream, fields) -> bool:
        path = self.requests[-1][b":target"]
        if b"slow" not in path and b"broken" not in path:
            return await super()._answer(connection, stream, fields)
        echoed = fields.get(b"fireflystand-request-id", b"")
        headers = [("Fireflystand-Request-Id", echoed)]
        if not self.chunked:
            headers.append(("Content-Length", str(len(self.part) * self.parts)))
        data = connection.send(h11.Response(status_code=200, headers=headers))
        await stream.send_all(data + connection.send(h11.Data(data=self.part)))
        if b"broken" in path:
            await trio.sleep(self.pause)
            return False
        for _ in range(self.parts - 1):
            await trio.sleep(self.part_interval)
            await stream.send_all(connection.send(h11.Data(data=self.part)))
        await stream.send_all(connection.send(h11.EndOfMessage()))
        return True


class StopTestCase(unittest.TestCase):
    """Start a fleet and stop instances of it."""

    def play(self, scenario, *, nodes=1, grace=GRACE, pooled=None, **route) -> None:
        """Start a fleet and run a scenario."""

        async def with_nodes(fleet):
            fleet.bounds = DispatchBounds(stop_grace=grace)
            fleet.caller_options = CallerOptions(pipeline_limit=16)
            accounts = [ClientAccount("shop", ("key-1",))]
            fleet.configure(2, accounts=accounts, **{"timeout": 30.0} | route)
            await fleet.add_target("keyed")
            await fleet.add_target("pooled", target=pooled)
            seeds = ()
            for _ in range(nodes):
                node = await fleet.add_node(seeds)
                seeds = (node.network.address,)
            await fleet.settle()
            await scenario(fleet)

        play_fleet(with_nodes)

    async def callers(self, fleet, node, count, path="/p/x"):
        """Send one request on each of several connections."""
        callers = []
        for _ in range(count):
            caller = await PipeliningCaller.connect(fleet.nursery, node)
            await caller.send(path)
            callers.append(caller)
        return callers

    async def stop(self, node) -> float:
        """Stop an instance and return how long that took."""
        began_at = trio.current_time()
        await node.stop()
        return trio.current_time() - began_at
