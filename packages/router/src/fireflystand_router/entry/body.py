"""Read the body of a caller's request within its limits."""

from collections.abc import Awaitable, Callable

import h11
import trio

from ..framing import MalformedMessageError, RequestFramer
from .refusals import RequestRefusedError

__all__ = ["CallerBody"]

BODY_TIMEOUT = 5.0  # seconds without a byte from the caller


class CallerBody:
    """Read the body of one request.

    ``complete`` is set once the whole body was read. ``partly_discarded`` is set once
    a part was read that is not kept, so that the request cannot be sent again.
    """

    def __init__(
        self,
        framer: RequestFramer,
        http: h11.Connection,
        wait: Callable[[], Awaitable[None]],
    ) -> None:
        self.length = framer.length
        self.complete = False
        self.partly_discarded = False
        self._framer = framer
        self._http = http
        self._wait = wait
        self._limit: int | None = None
        self._size = 0

    def set_size_limit(self, limit: int) -> None:
        """Refuse bodies of more than ``limit`` bytes with 413."""
        self._limit = limit
        if self.length is not None and self.length > limit:
            raise self._too_large()

    def _too_large(self) -> RequestRefusedError:
        return RequestRefusedError(
            413, f"body is larger than {self._limit} bytes", close=True
        )

    async def read_prefix(self, size: int) -> bytes:
        """Return at least the first ``size`` bytes of the body, or all if shorter."""
        parts = bytearray()
        while not self.complete and len(parts) < size:
            parts += await self._next_part()
        if not self.complete:
            self._check_end()
        return bytes(parts)

    async def read(self) -> bytes:
        """Return the next part; empty at the end."""
        self.partly_discarded = True
        return b"" if self.complete else await self._next_part()

    def _check_end(self) -> None:
        # The prefix may be the whole body although h11 has not reported its end.
        if self._framer.complete and self._size == self.length:
            self.complete = True

    async def _next_part(self) -> bytes:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise MalformedMessageError("malformed body") from error
            if isinstance(event, h11.Data):
                self._size += len(event.data)
                if self._limit is not None and self._size > self._limit:
                    raise self._too_large()
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self.complete = True
                return b""
            if event is not h11.NEED_DATA:
                raise MalformedMessageError("request ended inside its body")
            raw = self._framer.read_body()
            while not raw:
                await self._wait_for_bytes()
                raw = self._framer.read_body()
            self._http.receive_data(raw)

    async def _wait_for_bytes(self) -> None:
        with trio.move_on_after(BODY_TIMEOUT) as scope:
            await self._wait()
        if scope.cancelled_caught:
            raise MalformedMessageError("request body is too slow", status=408)
