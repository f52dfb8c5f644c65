"""Receive responses of targets on time although their callers read slowly."""

from collections import deque
from collections.abc import Callable

import trio

from fireflystand_core.admission import BytePool

from ..forward import Exchange
from ..forward.exchange import READ_SIZE
from ..scoped_tasks import run_in_scope

__all__ = ["ReadAhead"]


class ReadAhead:
    """Own the parts of a response that have arrived and were not passed on.

    Before ``start``, parts are received as they are asked for. From then on a task
    receives them within the bound of ``pool``, since a target cuts off a response that
    stays unread for some seconds. ``on_complete`` is called if it gets to the end.
    """

    def __init__(
        self,
        exchange: Exchange,
        pool: BytePool,
        start_soon: Callable[..., None],
        on_complete: Callable[[], None],
    ) -> None:
        self._on_complete = on_complete
        self._exchange = exchange
        self._pool = pool
        self._start_soon = start_soon
        self._parts: deque[bytes] = deque()
        self._held = 0  # bytes in parts
        self._error: Exception | None = None
        self._complete = False
        self._changed = trio.Event()
        self._scope: trio.CancelScope | None = None

    @property
    def is_started(self) -> bool:
        """Tell whether parts are received before they are asked for."""
        return self._scope is not None

    def start(self) -> None:
        """Receive in the background until the response ends; may be repeated."""
        if self.is_started or self._exchange.ended:
            return
        self._scope = trio.CancelScope()
        self._start_soon(run_in_scope, self._scope, self._run)

    async def _run(self) -> None:
        try:
            while part := await self._receive_next():
                self._parts.append(part)
                self._held += len(part)
                self._pool.add(len(part))
                self._notify()
            self._complete = True
            self._on_complete()
        except Exception as error:
            self._error = error  # raised to the task that delivers
        self._notify()

    async def _receive_next(self) -> bytes:
        # A part that the caller waits for is received whatever the pool holds.
        while self._parts and not self._pool.may_grow(self._held, READ_SIZE):
            await self._wait_for_change()
        return await self._exchange.receive()

    async def _wait_for_change(self) -> None:
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def receive_nowait(self) -> bytes | None:
        """Return a part that has arrived; empty at the end, None if there is none."""
        if not self.is_started:
            return self._exchange.receive_nowait()
        if self._parts:
            part = self._parts.popleft()
            self._held -= len(part)
            self._pool.remove(len(part))
            self._notify()
            return part
        if self._error is not None:
            raise self._error
        return b"" if self._complete else None

    async def receive_arrived(self) -> bytes | None:
        """Return a part if all its bytes have arrived, else None."""
        if not self.is_started:
            return await self._exchange.receive_arrived()
        return self.receive_nowait()

    async def receive(self) -> bytes:
        """Return the next part; empty once the response is complete."""
        if not self.is_started:
            return await self._exchange.receive()
        while (part := self.receive_nowait()) is None:
            await self._wait_for_change()
        return part

    def close(self) -> None:
        """Stop receiving and discard the parts; may be repeated."""
        if self._scope is not None:
            self._scope.cancel()
        self._pool.remove(self._held)
        self._held = 0
        self._parts.clear()
