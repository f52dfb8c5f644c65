"""Serve the requests of one caller's connection."""

import math
from collections.abc import Callable

import attrs
import h11
import trio

from fireflystand_core.admission import MemoryBudget

from ..events import CONNECTION_FAULT, MESSAGE_REFUSED, emit, emit_limited
from ..framing import MalformedMessageError, RequestFramer
from ..metrics import DEPARTED, MALFORMED, Metrics
from ..streams import DirectStream
from .body import CallerBody
from .caller_options import CallerOptions
from .protocols import Flow
from .refusals import RequestRefusedError
from .response_writer import PipelinedResponseWriter

__all__ = ["CallerConnection"]

READ_SIZE = 65536
BUFFER_LIMIT = 64 * 1024  # bytes that were received but not yet parsed
# While the bytes held for requests are at their limit, connections are read only as far
# as a request needs, in parts of this size.
FULL_READ_SIZE = 4 * 1024  # bytes
FULL_CHECK_INTERVAL = 0.1  # seconds between checks whether the limit still holds
LINGER_TIMEOUT = 1.0  # seconds for which unread bytes are discarded
PIPELINED_METHODS = frozenset([b"GET", b"HEAD"])


class CallerConnection:
    """Serve the requests of a caller's connection.

    One task reads from the connection. GET and HEAD requests without a body are
    served concurrently; a PipelinedResponseWriter for each request keeps the responses
    in order. ``options`` returns those in force, which may change while the connection
    is open.
    """

    def __init__(
        self,
        stream: DirectStream,
        flow: Flow,
        metrics: Metrics,
        options: Callable[[], CallerOptions] = CallerOptions,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.stream = stream
        self.memory = memory or MemoryBudget()
        self._counted = 0  # bytes of the buffer that are counted as held
        self._check_interval = (
            FULL_CHECK_INTERVAL if self.memory.is_bounded else math.inf
        )
        self._is_awaited = False  # whether a request needs more bytes
        self._options = options
        self.draining = False
        self.closing = False  # whether no further request is served
        self._flow = flow
        self._metrics = metrics
        self._framer = RequestFramer()
        self._responses: list[PipelinedResponseWriter] = []
        self._readable = trio.Event()
        self._buffer_has_space = trio.Event()
        self._response_ended = trio.Event()
        self._disconnected = False
        self._aborted = False
        self._ends_idle = False  # whether the connection ends for want of requests
        self._idle_scope: trio.CancelScope | None = None
        self._received_at = float("-inf")  # seconds; time of the last bytes

    @property
    def options(self) -> CallerOptions:
        """Return the options in force."""
        return self._options()

    @property
    def busy(self) -> int:
        """Return the number of requests being served."""
        return len(self._responses)

    @property
    def request_id(self) -> str:
        """Return the id of the oldest request being served."""
        return self._responses[0].request_id if self._responses else ""

    async def run(self) -> None:
        """Serve until either side ends the connection."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read)
                await self._serve_until_end()
                if self.closing and not self._aborted and not self._disconnected:
                    await self._linger()
                nursery.cancel_scope.cancel()
        finally:
            self.stream.close()
            self._framer.buffer.clear()
            self._count_buffer()

    def _count_buffer(self) -> None:
        """Count the unparsed bytes as held."""
        size = len(self._framer.buffer)
        self.memory.requests.add(size - self._counted)
        self._counted = size

    async def _serve_until_end(self) -> None:
        """Serve until the connection ends; close it here if it is idle."""
        while True:
            self._ends_idle = False
            async with trio.open_nursery() as response_nursery:
                await self._serve(response_nursery)
            if not self._ends_idle:
                return
            # A request may have arrived since the connection was found idle. No other
            # task runs between this check and the close.
            if self._is_idle():
                return self.stream.close()

    def drain(self) -> None:
        """Close an idle connection now, others after the requests that have arrived."""
        self.draining = True
        if self._idle_scope is not None and self._is_idle():
            self._idle_scope.cancel()

    def _is_idle(self) -> bool:
        """Tell whether no request is being served, received or about to be read."""
        unread = self._framer.buffer or not self.stream.is_idle()
        return not self._responses and not unread

    async def _read(self) -> None:
        """Read ahead up to the buffer limit; cancel all requests at a disconnect."""
        buffer = self._framer.buffer
        # The first request of a new connection often arrives with it, some iterations
        # of the event loop before it is read.
        received_at = None if self.stream.is_idle() else trio.current_time()
        while True:
            while not self._may_read():
                self._buffer_has_space = trio.Event()
                with trio.move_on_after(self._check_interval):
                    await self._buffer_has_space.wait()
            is_full = self.memory.requests.is_full
            read_size = FULL_READ_SIZE if is_full else READ_SIZE
            try:
                received = await self.stream.receive_some(read_size)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                received = b""
            if not received:
                break
            buffer += received
            now = trio.current_time()
            self._received_at = now if received_at is None else received_at
            received_at = None
            self._count_buffer()
            self._is_awaited = False
            self._readable.set()
        self._disconnected = True
        self._readable.set()
        for writer in self._responses:
            writer.scope.cancel()

    def _may_read(self) -> bool:
        """Tell whether to read ahead, or what a request needs."""
        size = len(self._framer.buffer)
        if size >= BUFFER_LIMIT and size > self.options.header_limit:
            return False
        return self._is_awaited or not self.memory.requests.is_full

    async def _wait_for_bytes(self) -> None:
        self._count_buffer()
        self._is_awaited = True
        self._buffer_has_space.set()
        if self._disconnected:
            raise MalformedMessageError("connection ended inside a request")
        self._readable = trio.Event()
        await self._readable.wait()

    async def _serve(self, response_nursery: trio.Nursery) -> None:
        try:
            while await self._serve_one(response_nursery):
                pass
        except MalformedMessageError as error:
            await self._wait_for_responses()
            await self._refuse_malformed(error)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _serve_one(self, response_nursery: trio.Nursery) -> bool:
        head = await self._next_head()
        if head is None:
            return False
        bodyless = self._framer.complete and self._framer.method in PIPELINED_METHODS
        if not bodyless:
            await self._wait_for_responses()
        while len(self._responses) >= self.options.pipeline_limit:
            await self._wait_for_response_end()
        if self.closing:
            return False
        previous = self._responses[-1] if self._responses else None
        writer = PipelinedResponseWriter(
            self, self._framer, previous, self._received_at
        )
        event = writer.parse(head)
        if _is_last_request(event):
            self.stop_reading()
        body = CallerBody(self._framer, writer.http, self._wait_for_bytes)
        self._responses.append(writer)
        if bodyless:
            response_nursery.start_soon(self._run_response, writer, event, body)
        else:
            await self._run_response(writer, event, body)
        return not self.closing

    async def _run_response(
        self, writer: PipelinedResponseWriter, event: h11.Request, body: CallerBody
    ) -> None:
        try:
            with writer.scope:
                if self._disconnected:
                    writer.scope.cancel()
                await self._run_flow(writer, event, body)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._disconnected = True
        finally:
            self._end_response(writer)

    async def _run_flow(
        self, writer: PipelinedResponseWriter, event: h11.Request, body: CallerBody
    ) -> None:
        """Serve a request; a fault of the router ends this request only."""
        try:
            await self._flow.run(event, body, writer)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise
        except Exception as error:
            emit_limited(CONNECTION_FAULT, error, request_id=writer.request_id)
            # A target may have got the request before the fault.
            await writer.refuse(
                RequestRefusedError(500, "fault of the router", outcome="unknown")
            )

    def _end_response(self, writer: PipelinedResponseWriter) -> None:
        if writer.scope.cancelled_caught:
            self._metrics.count(DEPARTED)
        writer.reset_if_cut()
        writer.discard_queue()
        if writer.closes_connection or self._disconnected:
            self.closing = True
            for later in self._responses[self._responses.index(writer) + 1 :]:
                later.scope.cancel()
            self._readable.set()
        self._responses.remove(writer)
        writer.done.set()
        self._response_ended.set()
        self._response_ended = trio.Event()
        # Wake up _next_head(), which applies the idle timeout from now on.
        self._readable.set()

    async def _wait_for_response_end(self) -> None:
        await self._response_ended.wait()

    async def _wait_for_responses(self) -> None:
        while self._responses:
            await self._wait_for_response_end()

    async def _next_head(self) -> bytes | None:
        """Return the next header section; None if no further request is served."""
        wait: _Wait | None = None
        while (head := self._read_header_section()) is None:
            if self.closing:
                return None
            idle = not self._framer.buffer
            if idle and self._disconnected:
                return None
            if idle and self.draining and self._is_idle():
                self._ends_idle = True
                return None
            if idle and self._responses:
                wait = None
                await self._wait_for_bytes()
                continue
            if wait is None or wait.idle != idle:
                wait = _Wait(idle, trio.current_time())
            wait.extend(self.options)
            with trio.CancelScope(deadline=wait.deadline) as scope:
                self._idle_scope = scope if idle else None
                await self._wait_for_bytes()
            self._idle_scope = None
            if not scope.cancelled_caught or not wait.is_over(self.options):
                continue
            if not idle:
                raise MalformedMessageError("header section is too slow", status=408)
            if not self._framer.buffer:
                self._ends_idle = True
                return None
        self._count_buffer()
        self._buffer_has_space.set()
        return head

    def _read_header_section(self) -> bytes | None:
        return self._framer.read_header_section(self.options.header_limit)

    async def _refuse_malformed(self, error: MalformedMessageError) -> None:
        if self.closing or (self._disconnected and not self._framer.buffer):
            return
        self._metrics.count(MALFORMED)
        emit(MESSAGE_REFUSED, status=error.status, reason=error.message)
        self.closing = True
        writer = PipelinedResponseWriter(self, self._framer, None, self._received_at)
        await writer.refuse(
            RequestRefusedError(error.status, error.message, close=True)
        )

    async def _linger(self) -> None:
        """Discard unread bytes before the connection is closed.

        Closing a socket with unread bytes resets the connection, and the caller may
        then lose the response.
        """
        with trio.move_on_after(LINGER_TIMEOUT):
            await self.stream.send_eof()
            while not self._disconnected:
                self._framer.buffer.clear()
                await self._wait_for_bytes()

    def stop_reading(self) -> None:
        """Serve no further request; those being served get their responses."""
        self.closing = True

    def is_last(self, writer: PipelinedResponseWriter) -> bool:
        """Tell whether no later request is being served."""
        return not self._responses or self._responses[-1] is writer

    def delivery_before(
        self, writer: PipelinedResponseWriter
    ) -> PipelinedResponseWriter | None:
        """Return the first response before ``writer`` that has started, if any."""
        for earlier in self._responses:
            if earlier is writer:
                return None
            if earlier.started:
                return earlier
        return None

    def abort(self) -> None:
        """Reset the connection so that the caller sees an incomplete response."""
        if not self._aborted:
            self._aborted = True
            self.stream.reset()


@attrs.define
class _Wait:
    """Hold for how long a caller may be idle, or take to send a header section.

    A limit that grows holds for a wait under way, one that shrinks for the next waits.
    Times are in seconds on trio's clock.
    """

    idle: bool
    began_at: float
    deadline: float = float("-inf")

    def extend(self, options: CallerOptions) -> None:
        """Apply the limits in force."""
        timeout = options.idle_timeout if self.idle else options.header_timeout
        self.deadline = max(self.deadline, self.began_at + timeout)

    def is_over(self, options: CallerOptions) -> bool:
        """Tell whether the caller has waited for too long."""
        self.extend(options)
        return trio.current_time() >= self.deadline


def _is_last_request(event: h11.Request) -> bool:
    """Tell whether the caller ends the connection after the request."""
    if event.http_version < b"1.1":
        return True
    options = [value for name, value in event.headers if name == b"connection"]
    return any(
        option.strip() == b"close"
        for value in options
        for option in value.lower().split(b",")
    )
