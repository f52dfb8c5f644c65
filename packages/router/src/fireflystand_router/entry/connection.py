"""Serve the requests of one caller's connection in order."""

import socket
import struct

import h11
import trio

from ..events import MESSAGE_REFUSED, emit
from ..fields import VIA, Fields
from ..framing import MalformedMessageError, RequestFramer
from ..metrics import DEPARTED, MALFORMED, Metrics
from .body import CallerBody
from .caller_interface import CallerInterface
from .flow import Flow
from .refusals import RequestRefusedError

__all__ = ["CallerConnection"]

READ_SIZE = 65536
BUFFER_LIMIT = 64 * 1024  # unread bytes of a caller
SEND_SIZE = 64 * 1024  # queued bytes that are sent at once
REFUSAL_TIMEOUT = 5.0  # seconds to write a refusal
LINGER_TIMEOUT = 1.0  # seconds in which unread bytes are discarded


class CallerConnection:
    """Own a caller's connection; one task reads from it, another answers."""

    def __init__(
        self,
        stream: trio.SocketStream,
        flow: Flow,
        metrics: Metrics,
        interface: CallerInterface | None = None,
    ) -> None:
        self._interface = interface or CallerInterface()
        self.request_id = ""
        self.started = False
        self.busy = False
        self._stream = stream
        self._flow = flow
        self._metrics = metrics
        self._framer = RequestFramer(self._interface.header_limit)
        self._http = h11.Connection(h11.SERVER)
        self._queued = bytearray()
        self._readable = trio.Event()
        self._room = trio.Event()
        self._departed = False
        self._draining = False
        self._aborted = False
        self._closing = False
        self._wants_continue = False
        self._idle_scope: trio.CancelScope | None = None
        self._request_scope: trio.CancelScope | None = None

    async def run(self) -> None:
        """Serve until either side ends the connection."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read)
                await self._serve()
                nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)

    def drain(self) -> None:
        """Close an idle connection now, a busy one after its response."""
        self._draining = True
        if self._idle_scope is not None:
            self._idle_scope.cancel()

    async def _read(self) -> None:
        """Read ahead up to the buffer limit, and notice that the caller left."""
        buffer = self._framer.buffer
        while True:
            while len(buffer) >= BUFFER_LIMIT:
                self._room = trio.Event()
                await self._room.wait()
            try:
                received = await self._stream.receive_some(READ_SIZE)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                received = b""
            if not received:
                break
            buffer += received
            self._readable.set()
        self._departed = True
        self._readable.set()
        if self._request_scope is not None:
            self._request_scope.cancel()

    async def _wait(self) -> None:
        self._room.set()
        if self._departed:
            raise MalformedMessageError("connection ended inside a request")
        self._readable = trio.Event()
        await self._readable.wait()

    async def _serve(self) -> None:
        try:
            while await self._serve_one():
                pass
        except MalformedMessageError as error:
            await self._refuse_malformed(error)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        if self._closing and not self._aborted and not self._departed:
            await self._linger()

    async def _serve_one(self) -> bool:
        head = await self._next_head()
        if head is None:
            return False
        event = self._parse(head)
        body = CallerBody(self._framer, self._http, self._wait)
        self.request_id, self.started = "", False
        self.busy = True
        with trio.CancelScope() as self._request_scope:
            if self._departed:
                self._request_scope.cancel()
            await self._flow.run(event, body, self)
        caught = self._request_scope.cancelled_caught
        self._request_scope = None
        self.busy = False
        if caught:
            self._metrics.count(DEPARTED)
            return False
        return self._next_cycle()

    async def _next_head(self) -> bytes | None:
        """Return the next head; None if the connection ends between requests."""
        header_deadline = None
        while (head := self._framer.read_head()) is None:
            if not self._framer.buffer:
                limit = trio.current_time() + self._interface.idle_timeout
                if self._departed or self._draining:
                    return None
            elif header_deadline is None:
                header_deadline = trio.current_time() + self._interface.header_timeout
                limit = header_deadline
            with trio.CancelScope(deadline=limit) as scope:
                self._idle_scope = None if self._framer.buffer else scope
                await self._wait()
            self._idle_scope = None
            if scope.cancelled_caught:
                if not self._framer.buffer:
                    return None
                raise MalformedMessageError("header section is too slow", status=408)
        self._room.set()
        return head

    def _parse(self, head: bytes) -> h11.Request:
        try:
            self._http.receive_data(head)
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            # h11 quotes the line, which may hold the API key.
            raise MalformedMessageError("malformed request") from error
        self._wants_continue = self._http.they_are_waiting_for_100_continue
        return event

    def _next_cycle(self) -> bool:
        if self._aborted:
            return False
        reusable = self._framer.complete and self._http.our_state is h11.DONE
        if reusable and self._http.their_state is h11.SEND_BODY:
            # The body ended, but its end was not needed to answer.
            while isinstance(self._http.next_event(), h11.Data):
                pass
        if not reusable or self._http.their_state is not h11.DONE:
            self._closing = True
            return False
        self._http.start_next_cycle()
        return True

    async def _refuse_malformed(self, error: MalformedMessageError) -> None:
        if self._departed and not self._framer.buffer:
            return
        self._metrics.count(MALFORMED)
        emit(MESSAGE_REFUSED, status=error.status, reason=error.message)
        self._closing = True
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self.refuse(
                RequestRefusedError(error.status, error.message, close=True)
            )

    async def _linger(self) -> None:
        """Let the caller read the response before unread bytes reset it."""
        with trio.move_on_after(LINGER_TIMEOUT):
            await self._stream.send_eof()
            while not self._departed:
                self._framer.buffer.clear()
                await self._wait()

    async def refuse(self, refusal: RequestRefusedError) -> None:
        """Send a response of the router's own."""
        if self.started:
            return self.abort()
        body = refusal.body(self.request_id)
        headers = refusal.headers(self.request_id, len(body), self._interface)
        if not refusal.close and (self._draining or not self._framer.complete):
            headers.append(("Connection", "close"))
        self.started = True
        self._send(h11.Response(status_code=refusal.status, headers=headers))
        if self._framer.method != b"HEAD":
            self._send(h11.Data(data=body))
        with trio.move_on_after(REFUSAL_TIMEOUT) as scope:
            # h11 does not know the method of a request that was refused for its head.
            unknown = self._http.their_state in (h11.IDLE, h11.ERROR)
            if self._framer.method == b"HEAD" and unknown:
                await self.flush()
            else:
                await self.finish()
        if scope.cancelled_caught:
            self.abort()

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
        if self._interface.own_fields:
            headers.append((b"Fireflystand-Outcome", b"answered"))
            headers.append((b"Fireflystand-Request-Id", self.request_id.encode()))
        if close or self._draining or not self._framer.complete:
            headers.append((b"Connection", b"close"))
        self.started = True
        self._send(h11.Response(status_code=status, headers=headers))

    def _send(self, event: h11.Event) -> None:
        self._queued += self._http.send(event) or b""

    async def write(self, part: bytes) -> None:
        """Queue a part of the body; send if much is queued."""
        self._send(h11.Data(data=part))
        if len(self._queued) >= SEND_SIZE:
            await self.flush()

    async def flush(self) -> None:
        """Send what is queued."""
        if self._queued:
            data, self._queued = self._queued, bytearray()
            await self._stream.send_all(data)

    async def finish(self) -> None:
        """Send the end of the response."""
        self._send(h11.EndOfMessage())
        await self.flush()

    def abort(self) -> None:
        """Break the connection off so that the response is seen as incomplete."""
        if self._aborted:
            return
        self._aborted = True
        self._queued.clear()
        # A reset, because an HTTP/1.0 caller takes a close for the response's end.
        linger = struct.pack("ii", 1, 0)
        self._stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._stream.socket.close()
