"""Forward TCP connections and inject faults on the way."""

import socket
import struct

import attrs
import trio

from fireflystand_router.streams import split_address

__all__ = ["FaultProxy", "LinkFaults"]

READ_SIZE = 65536


@attrs.define
class LinkFaults:
    """Hold the faults of one direction.

    ``cut`` keeps bytes back until it ends, as a partition does; ``delay`` is in
    seconds for each read, ``rate`` in bytes a second (0 is unlimited).
    """

    cut: bool = False
    delay: float = 0.0
    rate: float = 0.0
    reset_after: int | None = None  # bytes


class FaultProxy:
    """Own a listener in front of one address."""

    def __init__(self, destination: str, host: str = "127.0.0.1", port: int = 0):
        self.destination = destination
        self.address = ""
        self.forward = LinkFaults()
        self.backward = LinkFaults()
        self.bytes_forwarded = 0
        self._host = host
        self._port = port
        self._changed = trio.Event()
        self._scope: trio.CancelScope | None = None
        self._listeners: list[trio.SocketListener] = []
        self._streams: set[trio.SocketStream] = set()

    async def start(self, nursery: trio.Nursery) -> str:
        """Listen and return the address."""
        self._nursery = nursery
        await self._listen()
        return self.address

    async def _listen(self) -> None:
        self._listeners = await trio.open_tcp_listeners(self._port, host=self._host)
        self._port = self._listeners[0].socket.getsockname()[1]
        self.address = f"{self._host}:{self._port}"
        self._scope = await self._nursery.start(self._serve)

    async def _serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        with trio.CancelScope() as scope:
            task_status.started(scope)
            await trio.serve_listeners(self._connection, self._listeners)

    async def close(self) -> None:
        """Stop listening and drop every connection."""
        if self._scope is not None:
            self._scope.cancel()
        for listener in self._listeners:
            await listener.aclose()
        self._listeners = []

    async def refuse(self) -> None:
        """Drop every connection and refuse new ones."""
        await self.close()

    async def accept(self) -> None:
        """Accept connections again after ``refuse``."""
        if not self._listeners:
            await self._listen()

    def set_faults(self, *, forward: bool = True, backward: bool = True, **changes):
        """Change the faults of one or both directions."""
        for faults, chosen in ((self.forward, forward), (self.backward, backward)):
            if chosen:
                for name, value in changes.items():
                    setattr(faults, name, value)
        self._changed.set()
        self._changed = trio.Event()

    def cut(self) -> None:
        """Keep back all bytes of both directions."""
        self.set_faults(cut=True)

    def heal(self) -> None:
        """End all faults; what was kept back goes on."""
        self.set_faults(cut=False, delay=0.0, rate=0.0, reset_after=None)

    def reset(self) -> None:
        """Reset every open connection."""
        for stream in list(self._streams):
            _reset(stream)

    async def _connection(self, near: trio.SocketStream) -> None:
        await self._wait_while_cut(self.forward)
        host, port = split_address(self.destination)
        try:
            far = await trio.open_tcp_stream(host, port)
        except OSError:
            _reset(near)
            return
        self._streams |= {near, far}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, near, far, self.forward, nursery)
                nursery.start_soon(self._copy, far, near, self.backward, nursery)
        finally:
            self._streams -= {near, far}
            for stream in (near, far):
                await trio.aclose_forcefully(stream)

    async def _copy(self, source, sink, faults: LinkFaults, nursery) -> None:
        moved = 0
        try:
            while data := await source.receive_some(READ_SIZE):
                await self._wait_while_cut(faults)
                if faults.delay:
                    await trio.sleep(faults.delay)
                if faults.rate:
                    await trio.sleep(len(data) / faults.rate)
                moved += len(data)
                self.bytes_forwarded += len(data)
                limit = faults.reset_after
                if limit is not None and moved >= limit:
                    await sink.send_all(data[: max(0, len(data) - (moved - limit))])
                    _reset(source)
                    _reset(sink)
                    break
                await sink.send_all(data)
            else:
                await self._wait_while_cut(faults)
                await sink.send_eof()
                return
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            await self._wait_while_cut(faults)
        nursery.cancel_scope.cancel()

    async def _wait_while_cut(self, faults: LinkFaults) -> None:
        while faults.cut:
            await self._changed.wait()


def _reset(stream: trio.SocketStream) -> None:
    linger = struct.pack("ii", 1, 0)
    if stream.socket.fileno() >= 0:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        stream.socket.close()
