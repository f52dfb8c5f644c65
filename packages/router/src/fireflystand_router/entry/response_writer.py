"""Write the response to one request of a caller's connection."""

from typing import TYPE_CHECKING

import h11
import trio

from ..fields import VIA, Fields
from ..framing import MalformedMessageError, RequestFramer
from .refusals import RequestRefusedError

if TYPE_CHECKING:
    from .connection import CallerConnection

__all__ = ["PipelinedResponseWriter"]

FLUSH_THRESHOLD = (
    64 * 1024
)  # bytes; a queue of this size is sent without waiting for more
REFUSAL_TIMEOUT = 5.0  # seconds to write a refusal


class PipelinedResponseWriter:
    """Write the response to one request after the responses to earlier requests."""

    def __init__(
        self,
        connection: "CallerConnection",
        framer: RequestFramer,
        previous: "PipelinedResponseWriter | None",
        received_at: float,
    ) -> None:
        self.request_id = ""
        self.received_at = received_at  # seconds on trio's clock
        self.started = False  # whether the header section is queued
        self.closes_connection = False
        self.scope = trio.CancelScope()
        self.done = trio.Event()
        self.http = h11.Connection(h11.SERVER)
        self._connection = connection
        self._framer = framer
        self._method = framer.method
        self._has_no_body = framer.complete
        self._previous = previous
        self._queued = bytearray()
        self._held_bytes = connection.memory.responses
        self.partly_sent = False
        self._ends_with_connection = False  # until the last byte is sent
        self._head = b""
        self._expects_continue = False

    def parse(self, head: bytes) -> h11.Request:
        """Parse a header section and return the request."""
        self._head = head
        try:
            self.http.receive_data(head)
            event = self.http.next_event()
        except h11.RemoteProtocolError as error:
            # The h11 error quotes the line, which may contain the API key, so its text
            # must not reach the log or the response.
            raise MalformedMessageError("malformed request") from error
        self._expects_continue = self.http.they_are_waiting_for_100_continue
        return event

    @property
    def caller_left(self) -> bool:
        """Tell whether the request was cancelled for the end of its connection."""
        return self.scope.cancel_called

    @property
    def has_turn(self) -> bool:
        """Tell whether all earlier responses are sent."""
        return self._previous is None or self._previous.done.is_set()

    async def wait_for_turn(self) -> None:
        """Wait until all earlier responses are sent."""
        if self._previous is not None:
            await self._previous.done.wait()
            self._previous = None

    @property
    def follows_delivery(self) -> bool:
        """Tell whether an earlier response of the connection is being delivered."""
        return self._connection.delivery_before(self) is not None

    async def wait_for_deliveries(self) -> None:
        """Wait until no earlier response of the connection is being delivered."""
        while (earlier := self._connection.delivery_before(self)) is not None:
            await earlier.done.wait()

    async def refuse(self, refusal: RequestRefusedError) -> None:
        """Send the refusal in place of a queued response; cut one that is partly sent.

        The connection is then reset, so that the caller sees an incomplete response.
        """
        if self.partly_sent:
            return self._abort()
        if self.started:
            self._discard_response()
        if refusal.close:
            self._connection.stop_reading()
        # Whether this response is the last one of its connection is decided when it can
        # be sent: until then, further requests may arrive and be served.
        await self.wait_for_turn()
        body = refusal.body(self.request_id)
        options = self._connection.options
        headers = refusal.headers(self.request_id, len(body), options)
        if self._decide_close():
            headers.append(("Connection", "close"))
        self.started = True
        self._enqueue(h11.Response(status_code=refusal.status, headers=headers))
        if self._method != b"HEAD":
            self._enqueue(h11.Data(data=body))
        with trio.move_on_after(REFUSAL_TIMEOUT) as scope:
            # If the header section was refused, h11 does not know that the method is
            # HEAD and would expect the declared body.
            head_not_parsed = self.http.their_state in (h11.IDLE, h11.ERROR)
            if self._method == b"HEAD" and head_not_parsed:
                self.closes_connection = True
                await self.flush()
            else:
                await self.finish()
        if scope.cancelled_caught:
            self._abort()

    def _discard_response(self) -> None:
        """Discard a queued response of which nothing has been sent."""
        self.discard_queue()
        self.started = False
        self.http = h11.Connection(h11.SERVER)
        self.parse(self._head)

    def _decide_close(self) -> bool:
        ends = self._connection.draining or self._connection.closing
        # The framer is shared, and for a request without a body it may already be
        # reading the body of a later request.
        if (ends and self._connection.is_last(self)) or not (
            self._has_no_body or self._framer.complete
        ):
            self.closes_connection = True
        if self.closes_connection:
            # The connection closes after this response, so a request that is read
            # later would get none.
            self._connection.stop_reading()
        return self.closes_connection

    async def send_continue(self) -> None:
        """Send ``100 Continue`` if the caller waits for it."""
        if self._expects_continue and not self._framer.buffer:
            self._enqueue(h11.InformationalResponse(status_code=100, headers=[]))
            await self.flush()

    def start(
        self, status: int, fields: Fields, length: int | None, close: bool
    ) -> None:
        """Queue the status line and header fields of the response."""
        headers = [field for field in fields if field[0] != b"content-length"]
        if length is not None:
            headers.append((b"Content-Length", str(length).encode()))
        headers.append(VIA)
        if self._connection.options.adds_router_fields:
            headers.append((b"Fireflystand-Outcome", b"answered"))
            headers.append((b"Fireflystand-Request-Id", self.request_id.encode()))
        self.closes_connection = self.closes_connection or close
        if self._decide_close():
            headers.append((b"Connection", b"close"))
        self.started = True
        old_caller = self.http.their_http_version == b"1.0"
        self._ends_with_connection = length is None and old_caller
        self._enqueue(h11.Response(status_code=status, headers=headers))

    def _enqueue(self, event: h11.Event) -> None:
        data = self.http.send(event) or b""
        self._queued += data
        self._held_bytes.add(len(data))

    def discard_queue(self) -> None:
        """Discard the queued bytes."""
        self._held_bytes.remove(len(self._queued))
        self._queued.clear()

    async def write(self, part: bytes) -> None:
        """Queue a part of the body; send the queue if it has grown large."""
        self._enqueue(h11.Data(data=part))
        if len(self._queued) >= FLUSH_THRESHOLD:
            await self.flush()

    async def flush(self) -> None:
        """Send the queued bytes once all earlier responses have been sent."""
        if not self._queued:
            return
        await self.wait_for_turn()
        if self._queued:
            data, self._queued = self._queued, bytearray()
            self.partly_sent = self.started
            try:
                await self._connection.stream.send_all(data)
            finally:
                self._held_bytes.remove(len(data))

    async def finish(self) -> None:
        """Send the end of the response."""
        self._enqueue(h11.EndOfMessage())
        await self.flush()
        self._ends_with_connection = False
        if self.http.our_state is not h11.DONE:
            self.closes_connection = True

    def reset_if_cut(self) -> None:
        """Reset the connection if its close would look like the response's end."""
        if self.partly_sent and self._ends_with_connection:
            self._abort()

    def _abort(self) -> None:
        """Reset the connection so that the caller sees an incomplete response."""
        self.closes_connection = True
        self.discard_queue()
        self._connection.abort()
