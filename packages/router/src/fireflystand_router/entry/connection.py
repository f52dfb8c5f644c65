"""Serve the requests of one caller's connection."""

import h11
import trio

from ..events import MESSAGE_REFUSED, emit
from ..framing import MalformedMessageError, RequestFramer
from ..metrics import DEPARTED, MALFORMED, Metrics
from ..streams import DirectStream
from .body import CallerBody
from .caller_interface import CallerInterface
from .flow import Flow
from .refusals import RequestRefusedError
from .turn import Turn

__all__ = ["CallerConnection"]

READ_SIZE = 65536
BUFFER_LIMIT = 64 * 1024  # unread bytes of a caller
LINGER_TIMEOUT = 1.0  # seconds in which unread bytes are discarded
PIPELINED_METHODS = frozenset([b"GET", b"HEAD"])


class CallerConnection:
    """Own a caller's connection.

    One task reads from it. Each request has a turn: requests without a body are
    served at once, and their responses are sent in the order of the requests.
    """

    def __init__(
        self,
        stream: DirectStream,
        flow: Flow,
        metrics: Metrics,
        interface: CallerInterface | None = None,
    ) -> None:
        self.stream = stream
        self.interface = interface or CallerInterface()
        self.draining = False
        self._flow = flow
        self._metrics = metrics
        self._framer = RequestFramer(self.interface.header_limit)
        self._turns: list[Turn] = []
        self._readable = trio.Event()
        self._room = trio.Event()
        self._turn_ended = trio.Event()
        self._departed = False
        self._aborted = False
        self._closing = False
        self._idle_scope: trio.CancelScope | None = None

    @property
    def busy(self) -> int:
        """Return the number of requests being served."""
        return len(self._turns)

    @property
    def request_id(self) -> str:
        """Return the id of the oldest request being served."""
        return self._turns[0].request_id if self._turns else ""

    async def run(self) -> None:
        """Serve until either side ends the connection."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read)
                async with trio.open_nursery() as turns:
                    await self._serve(turns)
                if self._closing and not self._aborted and not self._departed:
                    await self._linger()
                nursery.cancel_scope.cancel()
        finally:
            self.stream.close()

    def drain(self) -> None:
        """Close an idle connection now, a busy one after its responses."""
        self.draining = True
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
                received = await self.stream.receive_some(READ_SIZE)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                received = b""
            if not received:
                break
            buffer += received
            self._readable.set()
        self._departed = True
        self._readable.set()
        for turn in self._turns:
            turn.scope.cancel()

    async def _wait(self) -> None:
        self._room.set()
        if self._departed:
            raise MalformedMessageError("connection ended inside a request")
        self._readable = trio.Event()
        await self._readable.wait()

    async def _serve(self, turns: trio.Nursery) -> None:
        try:
            while await self._serve_one(turns):
                pass
        except MalformedMessageError as error:
            await self._wait_for_turns()
            await self._refuse_malformed(error)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _serve_one(self, turns: trio.Nursery) -> bool:
        head = await self._next_head()
        if head is None:
            return False
        bodyless = self._framer.complete and self._framer.method in PIPELINED_METHODS
        if not bodyless:
            await self._wait_for_turns()
        while len(self._turns) >= self.interface.pipeline_limit:
            await self._wait_for_end()
        if self._closing:
            return False
        turn = Turn(self, self._framer, self._turns[-1] if self._turns else None)
        event = turn.parse(head)
        body = CallerBody(self._framer, turn.http, self._wait)
        self._turns.append(turn)
        if bodyless:
            turns.start_soon(self._run_turn, turn, event, body)
        else:
            await self._run_turn(turn, event, body)
        return not self._closing

    async def _run_turn(self, turn: Turn, event: h11.Request, body: CallerBody) -> None:
        try:
            with turn.scope:
                if self._departed:
                    turn.scope.cancel()
                await self._flow.run(event, body, turn)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._departed = True
        finally:
            self._end_turn(turn)

    def _end_turn(self, turn: Turn) -> None:
        if turn.scope.cancelled_caught:
            self._metrics.count(DEPARTED)
        if turn.closes or self._departed:
            self._closing = True
            for later in self._turns[self._turns.index(turn) + 1 :]:
                later.scope.cancel()
            self._readable.set()
        self._turns.remove(turn)
        turn.done.set()
        self._turn_ended.set()
        self._turn_ended = trio.Event()
        # An idle connection is watched by the idle timeout from now on.
        self._readable.set()

    async def _wait_for_end(self) -> None:
        await self._turn_ended.wait()

    async def _wait_for_turns(self) -> None:
        while self._turns:
            await self._wait_for_end()

    async def _next_head(self) -> bytes | None:
        """Return the next head; None if the connection ends between requests."""
        header_deadline = None
        while (head := self._framer.read_head()) is None:
            if self._closing:
                return None
            limit = None
            if self._framer.buffer:
                if header_deadline is None:
                    timeout = self.interface.header_timeout
                    header_deadline = trio.current_time() + timeout
                limit = header_deadline
            elif self._departed or (self.draining and not self._turns):
                return None
            elif not self._turns:
                limit = trio.current_time() + self.interface.idle_timeout
            if limit is None:
                await self._wait()
                continue
            idle = not self._framer.buffer
            with trio.CancelScope(deadline=limit) as scope:
                self._idle_scope = scope if idle else None
                await self._wait()
            self._idle_scope = None
            if scope.cancelled_caught:
                if not self._framer.buffer:
                    return None
                raise MalformedMessageError("header section is too slow", status=408)
        self._room.set()
        return head

    async def _refuse_malformed(self, error: MalformedMessageError) -> None:
        if self._closing or (self._departed and not self._framer.buffer):
            return
        self._metrics.count(MALFORMED)
        emit(MESSAGE_REFUSED, status=error.status, reason=error.message)
        self._closing = True
        turn = Turn(self, self._framer, None)
        await turn.refuse(RequestRefusedError(error.status, error.message, close=True))

    async def _linger(self) -> None:
        """Let the caller read the response before unread bytes reset it."""
        with trio.move_on_after(LINGER_TIMEOUT):
            await self.stream.send_eof()
            while not self._departed:
                self._framer.buffer.clear()
                await self._wait()

    def stop_reading(self) -> None:
        """Serve no further request, as a response announced the end."""
        self._closing = True

    def is_last(self, turn: Turn) -> bool:
        """Tell whether no later request is being served."""
        return not self._turns or self._turns[-1] is turn

    def abort(self) -> None:
        """Break the connection off so that a response is seen as incomplete."""
        if not self._aborted:
            self._aborted = True
            self.stream.reset()
