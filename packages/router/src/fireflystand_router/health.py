"""Serve readiness, liveness and the state of the instance as JSON."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import attrs
import h11
import trio

from .framing import MalformedMessageError, RequestFramer

__all__ = ["HealthServer", "Readiness"]

READ_SIZE = 16 * 1024  # bytes
REQUEST_TIMEOUT = 10.0  # seconds
CONNECTION_LIMIT = 64
READY_PATH = "/fireflystand/v1/ready"


@attrs.define(eq=False)
class Readiness:
    """Tell whether the instance should receive requests.

    Each condition returns why it is not met, or an empty string if it is met.
    """

    conditions_by_name: dict[str, Callable[[], str]] = attrs.field(factory=dict)
    stopping: bool = False

    def stop(self) -> None:
        """Report not ready from now on, because a planned stop has begun."""
        self.stopping = True

    def reasons(self) -> dict[str, str]:
        """Return the reasons of the conditions that are not met, by condition name."""
        reasons = {"stopping": "planned stop"} if self.stopping else {}
        for name, condition in self.conditions_by_name.items():
            if reason := condition():
                reasons[name] = reason
        return reasons


class HealthServer:
    """Answer one request per connection from probes and operators."""

    def __init__(
        self,
        readiness: Readiness,
        *,
        state: Callable[[], Any],
        explain: Callable[[str, str], Any],
        host: str = "127.0.0.1",
        port: int = 0,
        ready_path: str = READY_PATH,
        pages_by_path: dict[str, Callable[[], str]] | None = None,
    ) -> None:
        self._ready_path = ready_path
        self._pages_by_path = pages_by_path or {}
        self._readiness = readiness
        self._state = state
        self._explain = explain
        self._host = host
        self._port = port
        self._scope = trio.CancelScope()
        self._open_connections = 0

    async def start(self, nursery: trio.Nursery) -> str:
        """Listen and return the address of the listener."""
        listeners = await trio.open_tcp_listeners(self._port, host=self._host)
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(self._serve, listeners)
        return f"{self._host}:{port}"

    async def _serve(self, listeners: list[trio.SocketListener]) -> None:
        with self._scope:
            await trio.serve_listeners(self._handle_connection, listeners)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        self._scope.cancel()

    async def _handle_connection(self, stream: trio.SocketStream) -> None:
        self._open_connections += 1
        try:
            with trio.move_on_after(REQUEST_TIMEOUT):
                if self._open_connections <= CONNECTION_LIMIT:
                    await self._handle_request(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._open_connections -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _handle_request(self, stream: trio.SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        framer = RequestFramer()
        try:
            while (head := framer.read_header_section()) is None:
                received = await stream.receive_some(READ_SIZE)
                if not received:
                    return
                framer.buffer += received
            http.receive_data(head)
            status, value = self._respond(http.next_event())
        except (MalformedMessageError, h11.RemoteProtocolError) as error:
            status, value = 400, {"error": str(error)}
        await stream.send_all(_encode(http, status, value))
        await stream.send_eof()

    def _respond(self, request: h11.Request) -> tuple[int, Any]:
        if request.method != b"GET":
            return 405, {"error": "only GET is served here"}
        path, _, query = request.target.decode("ascii").partition("?")
        if path == "/fireflystand/v1/live":
            return 200, {"live": True}
        if path in self._pages_by_path:
            return 200, self._pages_by_path[path]()
        if path == self._ready_path:
            reasons = self._readiness.reasons()
            return (503 if reasons else 200), {"ready": not reasons, "reasons": reasons}
        if path == "/fireflystand/v1/state":
            return 200, self._state()
        if path == "/fireflystand/v1/explain":
            return self._respond_to_explain(query)
        return 404, {"error": f"nothing is served at {path}"}

    def _respond_to_explain(self, query: str) -> tuple[int, Any]:
        fields = parse_qs(query)
        if "service" not in fields or "key" not in fields:
            return 400, {"error": "service and key are required"}
        return 200, self._explain(fields["service"][-1], fields["key"][-1])


def _encode(http: h11.Connection, status: int, value: Any) -> bytes:
    is_text = isinstance(value, str)
    body = (value if is_text else json.dumps(value, default=str)).encode()
    headers = [
        ("Content-Type", "text/plain" if is_text else "application/json"),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    data = http.send(h11.Response(status_code=status, headers=headers))
    return data + http.send(h11.Data(data=body)) + http.send(h11.EndOfMessage())
