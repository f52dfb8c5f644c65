"""Put a proxy before the peer address of each instance, and cut some links."""

import json
import re
import socket
import struct
from contextvars import ContextVar

import trio

from fireflystand_testing.fleet import free_address
from fireflystand_testing.http_server import HttpServer, Reply, Request

READ_SIZE = 65536
INSTANCES_PATH = "/api/objects/fireflystand-instances"
_NAME = re.compile(rb"edge-[a-z]+-[a-z]-[0-9]+")

# The connection on which the handler's request came.
CONNECTION: ContextVar[object] = ContextVar("connection")


class Links:
    """Hold which parties are cut off, and the changes of that."""

    def __init__(self) -> None:
        self.cut: set[str] = set()

    def is_cut(self, *names: str) -> bool:
        """Tell whether a link leads out of the part that is cut off."""
        inside = [name in self.cut for name in names]
        return any(inside) and not all(inside)

    async def wait(self, *names: str) -> None:
        """Wait while a link is cut."""
        while self.is_cut(*names):
            await trio.sleep(0.02)


class PeerProxy:
    """Forward the streams of peers to one instance."""

    def __init__(self, name: str, destination: str, links: Links) -> None:
        self.name = name
        self.destination = destination
        self.address = free_address()
        self._links = links
        self._streams: set[trio.SocketStream] = set()
        self._scope: trio.CancelScope | None = None
        self._listeners: list[trio.SocketListener] = []

    async def listen(self, nursery: trio.Nursery) -> None:
        """Accept streams."""
        host, port = self.address.rsplit(":", 1)
        self._listeners = await trio.open_tcp_listeners(int(port), host=host)
        self._scope = await nursery.start(self._serve)

    async def _serve(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        with trio.CancelScope() as scope:
            task_status.started(scope)
            await trio.serve_listeners(self._pass_on, self._listeners)

    async def refuse(self) -> None:
        """End all streams and refuse new ones, as the host of an ended process does."""
        for stream in list(self._streams):
            linger = struct.pack("ii", 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._scope.cancel()
        for listener in self._listeners:
            await listener.aclose()

    async def _pass_on(self, near: trio.SocketStream) -> None:
        try:
            first = await near.receive_some(READ_SIZE)
            found = _NAME.search(first)
            source = found[0].decode() if found else ""
            await self._links.wait(source, self.name)
            host, port = self.destination.rsplit(":", 1)
            far = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.BrokenResourceError):
            await trio.aclose_forcefully(near)
            return
        self._streams |= {near, far}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, near, far, source, first, nursery)
                nursery.start_soon(self._copy, far, near, source, b"", nursery)
        finally:
            self._streams -= {near, far}
            for stream in (near, far):
                await trio.aclose_forcefully(stream)

    async def _copy(self, source, sink, name: str, first: bytes, nursery) -> None:
        try:
            data = first or await source.receive_some(READ_SIZE)
            while data:
                await self._links.wait(name, self.name)
                await sink.send_all(data)
                data = await source.receive_some(READ_SIZE)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        await self._links.wait(name, self.name)
        nursery.cancel_scope.cancel()


class StoreGate:
    """Pass one instance's calls to the store, none while it is cut off from it."""

    def __init__(self, name: str, store, links: Links, proxy: PeerProxy, on_call):
        self.name = name
        self._store = store
        self._links = links
        self._proxy = proxy
        self._on_call = on_call
        self.server = HttpServer(self._serve)

    async def _serve(self, request: Request) -> Reply:
        await self._links.wait(self.name, "store")
        if request.path.startswith(INSTANCES_PATH) and request.body:
            # The peers reach the instance through its proxy.
            body = request.json()
            if isinstance(body.get("spec"), dict) and "address" in body["spec"]:
                body["spec"]["address"] = self._proxy.address
                request.body = json.dumps(body).encode()
        reply = await self._store.serve(request)
        if self._links.is_cut(self.name, "store"):
            return Reply(drop=True)
        self._on_call(self.name, request, reply)
        return reply


class ConnectionServer(HttpServer):
    """Tell the handler of each request on which connection it came."""

    async def _connection(self, stream: trio.SocketStream) -> None:
        CONNECTION.set(stream)
        await super()._connection(stream)
