"""Send small HTTP requests over one persistent connection (h11 on trio)."""

import json
import math
from typing import Any

import attrs
import h11
import trio

from fireflystand_core.exceptions import FireflystandError

from .framing import FINAL_STATUSES
from .streams import DirectStream, connect

__all__ = [
    "ConnectionFailedError",
    "HttpClient",
    "HttpClientPool",
    "Response",
]

READ_SIZE = 65536
MAX_BODY_BYTES = 2 * 1024 * 1024
MAX_INFORMATIONAL = 8  # responses before the final one


class ConnectionFailedError(FireflystandError):
    """Report an exchange that failed.

    ``refused`` is true if the connection was refused.
    """

    def __init__(self, message: str, *, step: str, peer: str, refused: bool) -> None:
        super().__init__(message, step=step, peer=peer)
        self.refused = refused


@attrs.frozen
class Response:
    """Hold a complete response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return json.loads(self.body)


class HttpClient:
    """Own one connection to a server and send one request at a time.

    With ``transit`` (seconds), a request that a network partition delays for longer
    is never delivered, even if this process ends in the meantime. A response body of
    more than ``max_body`` bytes ends the exchange.
    """

    def __init__(
        self,
        address: str,
        timeout: float = 1.0,
        transit: float | None = None,
        max_body: int = MAX_BODY_BYTES,
    ) -> None:
        self._max_body = max_body
        self.address = address
        self.timeout = timeout  # seconds
        self._transit = transit
        self._stream: DirectStream | None = None
        self._connection: h11.Connection | None = None
        self._lock = trio.Lock()

    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout: float | None = None,
    ) -> Response:
        """Send a request and return the complete response.

        Raise ConnectionFailedError if the exchange fails or takes longer than
        ``timeout`` seconds; the server may have acted on the request nevertheless.
        """
        limit = self.timeout if timeout is None else timeout
        async with self._lock:
            completed = False
            step = "connect"
            try:
                with trio.fail_after(limit):
                    if self._stream is None:
                        await self._connect()
                    step = "exchange"
                    response = await self._exchange(method, path, headers, body)
                completed = True
                return response
            except trio.TooSlowError as error:
                raise ConnectionFailedError(
                    f"no complete response within {limit} s",
                    step=step,
                    peer=self.address,
                    refused=False,
                ) from error
            except (OSError, trio.BrokenResourceError, h11.ProtocolError) as error:
                raise ConnectionFailedError(
                    f"{method} {path}: {error!r}",
                    step=step,
                    peer=self.address,
                    refused=isinstance(error, ConnectionRefusedError),
                ) from error
            finally:
                if not completed:
                    self.abort()

    async def _connect(self) -> None:
        self._stream = await connect(self.address)
        self._stream.enable_keepalive()
        if self._transit is not None:
            self._stream.set_user_timeout(self._transit)
        self._connection = h11.Connection(h11.CLIENT)

    async def _exchange(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None,
        body: bytes,
    ) -> Response:
        fields = [("Host", self.address), ("Content-Length", str(len(body)))]
        fields.extend((headers or {}).items())
        connection = self._connection
        data = connection.send(
            h11.Request(method=method, target=path, headers=fields),
        )
        if body:
            data += connection.send(h11.Data(data=body))
        data += connection.send(h11.EndOfMessage())
        await self._stream.send_all(data)
        response = await self._next_event()
        if response.status_code not in FINAL_STATUSES:
            raise OSError(f"invalid status {response.status_code}")
        # Chunks may be as short as a byte, so they are not kept as separate objects.
        content = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if isinstance(event, h11.Data):
                content += event.data
                if len(content) > self._max_body:
                    raise OSError(f"response body exceeds {self._max_body} bytes")
        self._start_next_cycle()
        decoded = {
            k.decode("latin-1"): v.decode("latin-1") for k, v in response.headers
        }
        return Response(response.status_code, decoded, bytes(content))

    async def _next_event(self) -> Any:
        informational = 0
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA:
                received = await self._stream.receive_some(READ_SIZE)
                if not received:
                    raise OSError("server closed the connection")
                self._connection.receive_data(received)
            elif isinstance(event, h11.InformationalResponse):
                informational += 1
                if informational > MAX_INFORMATIONAL:
                    raise OSError("too many informational responses")
            elif isinstance(event, h11.ConnectionClosed):
                raise OSError("server closed the connection")
            else:
                return event

    def _start_next_cycle(self) -> None:
        if self._connection.trailing_data[0]:
            # They would be taken for the response to the next request.
            self.abort()
            return
        try:
            self._connection.start_next_cycle()
        except h11.LocalProtocolError:
            self.abort()

    @property
    def connected(self) -> bool:
        """Tell whether a connection is open."""
        return self._stream is not None

    def is_idle(self) -> bool:
        """Tell whether a connection is open on which nothing has arrived."""
        return self._stream is not None and self._stream.is_idle()

    def abort(self) -> None:
        """Reset the connection, so that data in transit is not delivered later."""
        if self._stream is not None:
            self._stream.reset()
        self._stream = None
        self._connection = None

    async def close(self) -> None:
        """Close the connection."""
        self.abort()


class HttpClientPool:
    """Own the connections to one server, one for each request in progress.

    A connection is used again if nothing arrives on it for up to ``max_idle`` seconds;
    ``transit`` and ``max_body`` are those of HttpClient.
    """

    def __init__(
        self,
        address: str,
        timeout: float = 1.0,
        *,
        max_idle: float = math.inf,
        transit: float | None = None,
        max_body: int = MAX_BODY_BYTES,
    ) -> None:
        self.address = address
        self.timeout = timeout  # seconds
        self._max_idle = max_idle
        self._transit = transit
        self._max_body = max_body
        self._idle: list[tuple[float, HttpClient]] = []  # since when

    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout: float | None = None,
    ) -> Response:
        """Send a request on an idle connection, or a new one, and return the response.

        Raise ConnectionFailedError as HttpClient.request does.
        """
        client = self.take()
        try:
            response = await client.request(
                method, path, headers=headers, body=body, timeout=timeout
            )
        except ConnectionFailedError:
            # What broke this connection has probably broken the idle ones too.
            await self.close()
            raise
        self.put(client)
        return response

    def take(self) -> HttpClient:
        """Return an idle connection, or a new one."""
        while self._idle:
            idle_since, client = self._idle.pop()
            if self._is_usable(idle_since, client):
                return client
            client.abort()
        return self.new()

    def new(self) -> HttpClient:
        """Return a new connection, which is not of the pool until it is put there."""
        return HttpClient(self.address, self.timeout, self._transit, self._max_body)

    def put(self, client: HttpClient) -> None:
        """Add a connection whose last exchange is complete to the idle ones."""
        if client.connected:
            self._idle.append((trio.current_time(), client))

    def close_unusable(self) -> bool:
        """Close idle connections that are unusable; tell whether none is left."""
        kept = []
        for idle_since, client in self._idle:
            if self._is_usable(idle_since, client):
                kept.append((idle_since, client))
            else:
                client.abort()
        self._idle = kept
        return not kept

    def _is_usable(self, idle_since: float, client: HttpClient) -> bool:
        return trio.current_time() - idle_since < self._max_idle and client.is_idle()

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            _, client = self._idle.pop()
            await client.close()
