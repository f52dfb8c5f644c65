"""Serve small HTTP requests for the stand-ins (h11 on trio)."""

import json
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any
from urllib.parse import parse_qs, urlsplit

import attrs
import h11
import trio

__all__ = ["Handler", "HttpServer", "Reply", "Request", "json_reply"]

READ_SIZE = 65536


@attrs.define
class Request:
    """Hold a whole request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


@attrs.define
class Reply:
    """Hold an answer; ``drop`` closes the connection without sending it.

    One that is ``repeated`` is written twice.
    """

    status: int = 200
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    drop: bool = False
    repeated: bool = False


Handler = Callable[[Request], Awaitable[Reply]]


def json_reply(status: int, value: Any, **headers: str) -> Reply:
    """Return an answer with a JSON body."""
    fields = {"Content-Type": "application/json", **headers}
    return Reply(status, fields, json.dumps(value).encode())


class HttpServer:
    """Own a listener and answer each request through a handler."""

    def __init__(self, handler: Handler, host: str = "127.0.0.1", port: int = 0):
        self._handler = handler
        self._host = host
        self._port = port
        self._listeners: list[trio.SocketListener] = []
        self._scope: trio.CancelScope | None = None

    async def start(self, nursery: trio.Nursery) -> str:
        """Listen and return the address."""
        self._listeners = await trio.open_tcp_listeners(self._port, host=self._host)
        port = self._listeners[0].socket.getsockname()[1]
        self._scope = await nursery.start(self._serve)
        return f"{self._host}:{port}"

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

    async def _connection(self, stream: trio.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            while True:
                request = await _read_request(connection, stream)
                if request is None:
                    return
                reply = await _answer(self._handler, request, stream)
                if reply.drop:
                    return
                await _send_reply(connection, stream, request, reply)
                if connection.our_state is not h11.DONE:
                    return
                connection.start_next_cycle()
        except* (OSError, trio.BrokenResourceError, h11.ProtocolError):
            pass
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)


async def _answer(handler, request: Request, stream) -> Reply:
    """Run the handler, but give up when the caller closes the connection."""
    reply = Reply(drop=True)

    async def run() -> None:
        nonlocal reply
        reply = await handler(request)
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run)
        peeked = await stream.socket.recv(1, trio.socket.MSG_PEEK)
        if not peeked:
            nursery.cancel_scope.cancel()
    return reply


async def _read_request(connection, stream) -> Request | None:
    request = await _next_event(connection, stream)
    if not isinstance(request, h11.Request):
        return None
    chunks = []
    while True:
        event = await _next_event(connection, stream)
        if isinstance(event, h11.EndOfMessage):
            break
        if not isinstance(event, h11.Data):
            return None
        chunks.append(bytes(event.data))
    parts = urlsplit(request.target.decode("latin-1"))
    query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
    headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in request.headers}
    method = request.method.decode("latin-1")
    return Request(method, parts.path, query, headers, b"".join(chunks))


async def _next_event(connection, stream):
    receive = partial(stream.receive_some, READ_SIZE)
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await receive())


async def _send_reply(connection, stream, request: Request, reply: Reply) -> None:
    headers = [("Content-Length", str(len(reply.body))), *reply.headers.items()]
    data = connection.send(h11.Response(status_code=reply.status, headers=headers))
    if reply.body and request.method != "HEAD":
        data += connection.send(h11.Data(data=reply.body))
    data += connection.send(h11.EndOfMessage())
    await stream.send_all(data + data if reply.repeated else data)
