"""Accept callers' connections and stop gracefully."""

import select
from collections.abc import Callable

import trio

from fireflystand_core.admission import MemoryBudget

from ..events import (
    CONNECTION_FAULT,
    ENTRY_STARTED,
    ENTRY_STOPPED,
    ENTRY_STOPPING,
    emit,
)
from ..metrics import CONNECTIONS, Metrics
from ..streams import DirectStream
from .caller_options import CallerOptions
from .connection import CallerConnection
from .protocols import Flow

__all__ = ["EntryServer"]

CONNECTION_LIMIT = 4096
GRACE_PERIOD = 2.0  # seconds between failing readiness and closing the listener
PENDING_TIMEOUT = 0.5  # seconds for connections that wait to be accepted
DRAIN_TIMEOUT = 60.0  # seconds for requests in flight
FINAL_RESPONSE_PERIOD = 0.2  # seconds to write the responses to those that remain
# Where memory is bounded. The kernel may keep several megabytes for a connection that
# is not read, and they count as memory of the process.
RECEIVE_BUFFER_BYTES = 128 * 1024
DRAIN_INTERVAL = 0.05  # seconds between checks for open connections


class EntryServer:
    """Own the listener and the callers' connections."""

    def __init__(
        self,
        flow: Flow,
        metrics: Metrics,
        *,
        options: Callable[[], CallerOptions] = CallerOptions,
        host: str = "127.0.0.1",
        port: int = 0,
        connection_limit: int = CONNECTION_LIMIT,
        grace_period: float = GRACE_PERIOD,
        drain_timeout: float = DRAIN_TIMEOUT,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._memory = memory or MemoryBudget()
        self._flow = flow
        self._metrics = metrics
        self._options = options
        self._host = host
        self._port = port
        self.address = ""
        self.connection_limit = connection_limit
        self._grace_period = grace_period
        self._drain_timeout = drain_timeout
        self._connections: set[CallerConnection] = set()
        self._listeners: list[trio.SocketListener] = []
        self._accept_scope: trio.CancelScope | None = None
        self._connection_nursery: trio.Nursery | None = None

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def in_flight(self) -> int:
        """Return the number of requests being served."""
        return sum(connection.busy for connection in self._connections)

    async def start(self, nursery: trio.Nursery) -> str:
        """Start listening and return the address."""
        self._connection_nursery = nursery
        self._listeners = await trio.open_tcp_listeners(self._port, host=self._host)
        port = self._listeners[0].socket.getsockname()[1]
        self._accept_scope = await nursery.start(self._accept)
        self.address = f"{self._host}:{port}"
        emit(ENTRY_STARTED, address=self.address)
        return self.address

    async def _accept(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        with trio.CancelScope() as scope:
            task_status.started(scope)
            await trio.serve_listeners(
                self._handle, self._listeners, handler_nursery=self._connection_nursery
            )

    async def _handle(self, stream: trio.SocketStream) -> None:
        if len(self._connections) >= self.connection_limit:
            return await trio.aclose_forcefully(stream)
        stream = DirectStream.from_trio(stream)
        if self._memory.is_bounded:
            stream.limit_receive_buffer(RECEIVE_BUFFER_BYTES)
        connection = CallerConnection(
            stream, self._flow, self._metrics, self._options, self._memory
        )
        self._connections.add(connection)
        self._metrics.gauge(CONNECTIONS, len(self._connections))
        try:
            await connection.run()
        except Exception as error:
            emit(CONNECTION_FAULT, error, request_id=connection.request_id)
        finally:
            self._connections.discard(connection)
            self._metrics.gauge(CONNECTIONS, len(self._connections))

    async def _accept_pending(self) -> None:
        """Wait until no connection is left that closing the listeners would reset."""
        poll = select.poll()
        for listener in self._listeners:
            poll.register(listener.socket, select.POLLIN)
        with trio.move_on_after(PENDING_TIMEOUT):
            while poll.poll(0):
                await trio.lowlevel.checkpoint()

    async def close(self, fail_readiness: Callable[[], None] = lambda: None) -> None:
        """Stop gracefully: fail readiness, wait, stop accepting, finish requests."""
        fail_readiness()
        drains_at = trio.current_time() + self._grace_period
        stops_at = drains_at + self._drain_timeout
        self._flow.begin_stop(drains_at, stops_at)
        await trio.sleep_until(drains_at)
        emit(ENTRY_STOPPING, in_flight=self.in_flight)
        await self._accept_pending()
        if self._accept_scope is not None:
            self._accept_scope.cancel()
        for listener in self._listeners:
            await listener.aclose()
        await trio.lowlevel.checkpoint()  # the last accepted connections are added
        for connection in list(self._connections):
            connection.drain()
        with trio.move_on_at(stops_at + FINAL_RESPONSE_PERIOD):
            while self._connections:
                await trio.sleep(DRAIN_INTERVAL)
        emit(ENTRY_STOPPED, in_flight=self.in_flight)
