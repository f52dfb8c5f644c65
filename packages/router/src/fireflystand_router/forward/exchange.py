"""Exchange one request and its response on a connection to a target."""

from collections.abc import Awaitable, Callable

import attrs
import h11
import trio

from fireflystand_core.exceptions import FireflystandError

from ..fields import VIA, Fields, end_to_end_fields
from ..framing import FINAL_STATUSES, MalformedMessageError, parse_framing_fields
from ..scoped_tasks import run_in_scope
from .pool import MAX_REFUSALS, PooledConnection, TargetPool
from .target_options import TargetOptions

__all__ = ["BrokenExchangeError", "Exchange", "ForwardRequest"]

READ_SIZE = 65536
RESPONSE_HEADER_LIMIT = 32 * 1024  # bytes
INFORMATIONAL_LIMIT = 8  # responses
BODYLESS_METHODS = frozenset([b"GET", b"HEAD", b"DELETE", b"OPTIONS"])


class BrokenExchangeError(FireflystandError):
    """Report a failure after bytes of the request may have reached the target."""


@attrs.define(eq=False)
class ForwardRequest:
    """Hold a request to a target; times are on trio's clock.

    ``body`` is the first part of the body. ``read_more_body`` returns the following
    parts and empty bytes at the end. ``length`` is None for a body of unknown length.
    """

    request_id: str
    address: str
    method: bytes
    target: bytes
    fields: Fields
    control_fields: Fields
    body: bytes
    length: int | None
    deadline: float
    send_before: float
    repeatable: bool
    read_more_body: Callable[[], Awaitable[bytes]] | None = None
    idle_limit: float | None = None  # seconds that the connection may have been idle
    may_have_been_sent: bool = False  # set once bytes may have reached the target
    cancellation_pending: bool = False  # at the target
    on_cancelled: Callable[[bool], None] | None = None  # gets True if acknowledged
    is_withdrawn: Callable[[], bool] = lambda: False  # asked before the first byte
    connections: int | None = None  # at most, to the target; None is the usual number


class Exchange:
    """Own a connection until the response ends or the exchange is aborted."""

    def __init__(
        self,
        pool: TargetPool,
        connection: PooledConnection,
        request: ForwardRequest,
        options: TargetOptions,
    ) -> None:
        self.request = request
        self._options = options
        self.status = 0
        self.fields: Fields = []
        self.length: int | None = None
        self.upload_done = request.read_more_body is None
        self.upload_error: Exception | None = None
        self._upload_scope = (
            trio.CancelScope() if request.read_more_body is not None else None
        )
        self._pool = pool
        self._connection = connection
        self._http = connection.http
        self._received = 0
        self._ended = False
        self._is_aborted = False  # before the response ended
        self._is_broken = False
        self._follows_early_end = connection.follows_early_end
        self._not_run_value: bytes | None = None
        self.names_request = False  # whether the response carries the request's id

    @property
    def states_not_run(self) -> bool:
        """Tell whether the response states that the request did not run."""
        return self._options.states_not_run(self.status, self._not_run_value)

    async def start(self, nursery: trio.Nursery) -> None:
        """Send the request; return once the final response head has arrived."""
        self.request.may_have_been_sent = True
        try:
            await self._send_head()
            if self.request.read_more_body is not None:
                nursery.start_soon(run_in_scope, self._upload_scope, self._upload)
            await self._read_head()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise self._broken_error(f"connection broke: {error!r}", "head") from error
        except (h11.ProtocolError, MalformedMessageError) as error:
            raise self._broken_error(f"irregular response: {error}", "head") from error

    @property
    def may_have_restarted(self) -> bool:
        """Tell whether no open connection shows that the target has not restarted."""
        if self._is_broken:
            # The exchanges in progress will show it: they end with the target.
            return not (self._pool.in_use or self._pool.has_open_idle())
        return self._follows_early_end

    def _broken_error(self, reason: str, step: str) -> Exception:
        self._is_broken = True
        if self.upload_error is not None:
            return self.upload_error
        return BrokenExchangeError(reason, step=step, peer=self.request.address)

    async def _send_head(self) -> None:
        request = self.request
        left = max(1, int((request.deadline - trio.current_time()) * 1000))
        headers = [*request.fields, *request.control_fields, VIA]
        headers.append((self._options.deadline_field, str(left).encode()))
        if request.length is None:
            headers.append((b"Transfer-Encoding", b"chunked"))
        elif request.length or request.method not in BODYLESS_METHODS:
            headers.append((b"Content-Length", str(request.length).encode()))
        data = self._http.send(
            h11.Request(method=request.method, target=request.target, headers=headers)
        )
        if request.body:
            data += self._http.send(h11.Data(data=request.body))
        if request.read_more_body is None:
            data += self._http.send(h11.EndOfMessage())
        await self._connection.stream.send_all(data)

    async def _upload(self) -> None:
        try:
            while part := await self.request.read_more_body():
                data = self._http.send(h11.Data(data=part))
                await self._connection.stream.send_all(data)
            data = self._http.send(h11.EndOfMessage())
            if data:
                await self._connection.stream.send_all(data)
            self.upload_done = True
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # The target may have responded before it stopped reading the body.
            return
        except (FireflystandError, h11.ProtocolError) as error:
            self.upload_error = error
            self.abort()

    async def _read_head(self) -> None:
        buffer = bytearray()
        for _ in range(INFORMATIONAL_LIMIT):
            head = await self._receive_head(buffer)
            found = parse_framing_fields(head)
            response_id = self._request_id_of(head)
            if response_id not in (None, self.request.request_id.encode()):
                if not self._options.skips_mismatched_responses:
                    raise MalformedMessageError("response belongs to another request")
                await self._discard_body(buffer, found)
                continue
            self._http.receive_data(head)
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                if event.status_code not in FINAL_STATUSES:
                    raise MalformedMessageError("invalid status")
                self.names_request = response_id is not None
                self._store_response_head(event, found)
                self._check_name()
                if buffer:
                    self._http.receive_data(bytes(buffer))
                return
        raise MalformedMessageError("too many informational responses")

    def _check_name(self) -> None:
        """Raise MalformedMessageError if the response may be an earlier one's copy.

        A target that names the requests of its responses on a connection may write one
        of them again, and without a name it could not be told from this response.
        """
        connection = self._connection
        if connection.names_requests and not self.names_request:
            if not self.states_not_run:
                raise MalformedMessageError("response does not name its request")
        connection.names_requests = connection.names_requests or self.names_request

    async def _receive_head(self, buffer: bytearray) -> bytes:
        while (end := buffer.find(b"\r\n\r\n")) < 0:
            if len(buffer) > RESPONSE_HEADER_LIMIT:
                raise MalformedMessageError("response header section too large")
            received = await self._connection.stream.receive_some(READ_SIZE)
            if not received:
                raise MalformedMessageError("connection ended before the response")
            buffer += received
        head = bytes(buffer[: end + 4])
        del buffer[: end + 4]
        return head

    def _request_id_of(self, head: bytes) -> bytes | None:
        """Return the request id that a response head carries, if there is one."""
        name = b"\r\n" + self._options.request_id_field + b":"
        start = head.lower().find(name)
        if start < 0:
            return None
        return head[start + len(name) :].partition(b"\r\n")[0].strip()

    async def _discard_body(self, buffer: bytearray, found) -> None:
        """Discard the body of a response to another request."""
        if b"content-length" not in found:
            raise MalformedMessageError("response belongs to another request")
        left = int(found[b"content-length"][0])
        while True:
            taken = min(left, len(buffer))
            del buffer[:taken]
            left -= taken
            if left == 0:
                return
            received = await self._connection.stream.receive_some(READ_SIZE)
            if not received:
                raise MalformedMessageError("connection ended before the response")
            buffer += received

    def _store_response_head(self, event: h11.Response, found) -> None:
        self.status = event.status_code
        for name, value in event.headers:
            if name == self._options.not_run_field:
                self._not_run_value = value
        bodyless = self.request.method == b"HEAD" or event.status_code in (204, 304)
        if not found and not bodyless and not self._options.allows_unframed_responses:
            # Such a body ends with the connection, and the end cannot be told from
            # a crash of the target.
            raise MalformedMessageError("response without a length")
        if b"content-length" in found:
            self.length = int(found[b"content-length"][0])
        self.fields = end_to_end_fields(event.headers)

    async def receive(self) -> bytes:
        """Return the next part of the body; empty once it is complete.

        Raise BrokenExchangeError if the response is cut off or too long.
        """
        while (part := self.receive_nowait()) is None:
            await self._receive_bytes()
        return part

    async def receive_arrived(self) -> bytes | None:
        """Return a part if all its bytes are in the socket, else None.

        Raise BrokenExchangeError if the response is cut off or too long.
        """
        while (part := self.receive_nowait()) is None:
            if self._connection.stream.is_idle():
                return None
            await self._receive_bytes()
        return part

    async def _receive_bytes(self) -> None:
        try:
            received = await self._connection.stream.receive_some(READ_SIZE)
            self._http.receive_data(received)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise self._broken_error(f"connection broke: {error!r}", "body") from error

    def receive_nowait(self) -> bytes | None:
        """Return a part that has already arrived; None if more bytes are needed."""
        if self._ended:
            if self.upload_error is not None:
                raise self.upload_error
            if self._is_aborted:
                raise BrokenExchangeError(
                    "exchange was aborted", step="body", peer=self.request.address
                )
            return b""
        try:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.Data):
                self._received += len(event.data)
                # Check the end of the message before the last part is returned.
                if self._received == self.length:
                    self._http.next_event()
                    self._finish()
                return bytes(event.data)
        except h11.ProtocolError as error:
            raise self._broken_error(f"irregular response: {error}", "body") from error
        if not isinstance(event, h11.EndOfMessage):
            raise self._broken_error("connection ended inside the response", "body")
        self._finish()
        return b""

    def _finish(self) -> None:
        if self._http.trailing_data[0]:
            raise self._broken_error("more bytes than the response declares", "body")
        self._ended = True
        self._cancel_upload()
        complete = self.upload_done and self._http.states == {
            h11.CLIENT: h11.DONE,
            h11.SERVER: h11.DONE,
        }
        if self.states_not_run:
            self._connection.refused_ids.add(self.request.request_id)
        # The copy of a response that names no request could not be recognised.
        names_are_needed = self._options.skips_mismatched_responses
        is_safe = self.names_request or not names_are_needed
        if complete and is_safe and len(self._connection.refused_ids) < MAX_REFUSALS:
            self._http.start_next_cycle()
            self._pool.release(self._connection)
        else:
            self._pool.discard(self._connection)

    @property
    def ended(self) -> bool:
        """Tell whether the connection was returned to the pool or closed."""
        return self._ended

    def abort(self) -> None:
        """Reset the connection unless the exchange has ended; may be repeated."""
        if not self._ended:
            self._ended = self._is_aborted = True
            self._cancel_upload()
            self._pool.reset(self._connection)

    def _cancel_upload(self) -> None:
        if self._upload_scope is not None:
            self._upload_scope.cancel()
