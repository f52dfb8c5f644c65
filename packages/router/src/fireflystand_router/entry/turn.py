"""Write the response to one request of a caller's connection."""

from typing import TYPE_CHECKING

import h11
import trio

from ..fields import VIA, Fields
from ..framing import MalformedMessageError, RequestFramer
from .refusals import RequestRefusedError

if TYPE_CHECKING:
    from .connection import CallerConnection

__all__ = ["Turn"]

SEND_SIZE = 64 * 1024  # queued bytes that are sent at once
REFUSAL_TIMEOUT = 5.0  # seconds to write a refusal


class Turn:
    """Own the response to one request; it is sent after the earlier ones."""

    def __init__(
        self,
        connection: "CallerConnection",
        framer: RequestFramer,
        previous: "Turn | None",
    ) -> None:
        self.request_id = ""
        self.started = False
        self.closes = False
        self.scope = trio.CancelScope()
        self.done = trio.Event()
        self.http = h11.Connection(h11.SERVER)
        self._connection = connection
        self._framer = framer
        self._method = framer.method
        self._bodyless = framer.complete
        self._previous = previous
        self._queued = bytearray()
        self._aborted = False
        self._wants_continue = False

    def parse(self, head: bytes) -> h11.Request:
        """Return the request of a header section."""
        try:
            self.http.receive_data(head)
            event = self.http.next_event()
        except h11.RemoteProtocolError as error:
            # h11 quotes the line, which may hold the API key.
            raise MalformedMessageError("malformed request") from error
        self._wants_continue = self.http.they_are_waiting_for_100_continue
        return event

    @property
    def _is_next(self) -> bool:
        return self._previous is None or self._previous.done.is_set()

    async def _wait_for_turn(self) -> None:
        if self._previous is not None:
            await self._previous.done.wait()
            self._previous = None
            if self._aborted:
                self._connection.abort()

    async def refuse(self, refusal: RequestRefusedError) -> None:
        """Send a response of the router's own."""
        if self.started:
            return self.abort()
        body = refusal.body(self.request_id)
        interface = self._connection.interface
        headers = refusal.headers(self.request_id, len(body), interface)
        self.closes = self.closes or refusal.close
        if self._must_close() and not refusal.close:
            headers.append(("Connection", "close"))
        self.started = True
        self._send(h11.Response(status_code=refusal.status, headers=headers))
        if self._method != b"HEAD":
            self._send(h11.Data(data=body))
        await self._wait_for_turn()
        with trio.move_on_after(REFUSAL_TIMEOUT) as scope:
            # h11 does not know the method of a request that was refused for its head.
            unknown = self.http.their_state in (h11.IDLE, h11.ERROR)
            if self._method == b"HEAD" and unknown:
                self.closes = True
                await self.flush()
            else:
                await self.finish()
        if scope.cancelled_caught:
            self.abort()

    def _must_close(self) -> bool:
        drains = self._connection.draining and self._connection.is_last(self)
        # The framer may have begun the body of a later request.
        if drains or not (self._bodyless or self._framer.complete):
            self.closes = True
        if self.closes:
            # A request that is read behind this response would be cut off.
            self._connection.stop_reading()
        return self.closes

    async def permit_body(self) -> None:
        """Send ``100 Continue`` if the caller waits for it."""
        if self._wants_continue and not self._framer.buffer:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
            await self.flush()

    def start(
        self, status: int, fields: Fields, length: int | None, close: bool
    ) -> None:
        """Queue the head of a response."""
        headers = [field for field in fields if field[0] != b"content-length"]
        if length is not None:
            headers.append((b"Content-Length", str(length).encode()))
        headers.append(VIA)
        if self._connection.interface.own_fields:
            headers.append((b"Fireflystand-Outcome", b"answered"))
            headers.append((b"Fireflystand-Request-Id", self.request_id.encode()))
        self.closes = self.closes or close
        if self._must_close():
            headers.append((b"Connection", b"close"))
        self.started = True
        self._send(h11.Response(status_code=status, headers=headers))

    def _send(self, event: h11.Event) -> None:
        self._queued += self.http.send(event) or b""

    async def write(self, part: bytes) -> None:
        """Queue a part of the body; send if much is queued."""
        self._send(h11.Data(data=part))
        if len(self._queued) >= SEND_SIZE:
            await self.flush()

    async def flush(self) -> None:
        """Send what is queued once the earlier responses are sent."""
        if not self._queued:
            return
        await self._wait_for_turn()
        if self._queued:
            data, self._queued = self._queued, bytearray()
            await self._connection.stream.send_all(data)

    async def finish(self) -> None:
        """Send the end of the response."""
        self._send(h11.EndOfMessage())
        await self.flush()
        if self.http.our_state is not h11.DONE:
            self.closes = True

    def abort(self) -> None:
        """Break the connection off so that the response is seen as incomplete."""
        self._aborted = True
        self.closes = True
        self._queued.clear()
        if self._is_next:
            self._connection.abort()
