"""Keep a bounded number of connections to each target."""

import h11
import trio

from ..streams import DirectStream, connect

__all__ = ["PooledConnection", "TargetPool"]

CONNECT_TIMEOUT = 1.0  # seconds
IDLE_LIMIT = 30.0  # seconds
# A target may close an idle connection while a request is being written. A request
# that must not be repeated would then end with an unknown outcome.
UNREPEATABLE_IDLE_LIMIT = 1.0  # seconds
# Targets keep an idle connection for a second at least, so one that was closed sooner
# may have ended with its target's process.
MIN_IDLE_TIMEOUT = 1.0  # seconds
LOSS_PERIOD = 10.0  # seconds for which such an end is kept in mind
MAX_REFUSALS = 16  # by a target on one connection, which is then closed


class PooledConnection:
    """Own one connection to a target."""

    def __init__(self, stream: DirectStream) -> None:
        self.stream = stream
        self.http = h11.Connection(h11.CLIENT)
        self.idle_since = trio.current_time()
        self.refused_ids: set[str] = set()
        # Whether every earlier connection to the target had ended before its time.
        self.replaces_lost = False
        self.names_requests = False  # whether a response here carried its request's id

    def is_idle(self) -> bool:
        """Tell whether neither bytes nor the end of the stream have arrived."""
        return self.stream.is_idle()

    def close(self) -> None:
        """Close the connection at once."""
        self.stream.close()

    def reset(self) -> None:
        """Reset the connection so that bytes in transit do not arrive later."""
        self.stream.reset()


class TargetPool:
    """Own the connections to one target; at most ``limit`` are open."""

    def __init__(self, address: str, limit: int) -> None:
        self.address = address
        self._limit = limit
        self._idle: list[PooledConnection] = []
        self._connection_semaphore = trio.Semaphore(limit)
        self.in_use = 0
        self._waiting = 0  # tasks that have yet to get a connection
        self._lost_at = float("-inf")  # when one that had ended early was closed here

    @property
    def idle(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    async def acquire(
        self, idle_limit: float = IDLE_LIMIT, request_id: str = ""
    ) -> PooledConnection:
        """Return a connection without unread bytes that has not refused the request.

        Raise OSError or trio.TooSlowError if no connection can be made; no byte of
        the request has been sent then.
        """
        self._waiting += 1
        try:
            await self._connection_semaphore.acquire()
        finally:
            self._waiting -= 1
        self.in_use += 1
        try:
            connection, is_lost = self._reuse(idle_limit, request_id)
            if connection is None:
                connection = await self._connect()
            connection.replaces_lost = is_lost
            return connection
        except BaseException:
            self._end_use()
            raise

    def _reuse(
        self, idle_limit: float, request_id: str
    ) -> tuple[PooledConnection | None, bool]:
        """Return an idle connection, if there is one.

        Also tell whether all connections that could have been used had ended early.
        """
        now = trio.current_time()
        is_lost, self._lost_at = self._has_lost(now), float("-inf")
        while self._idle and now - self._idle[-1].idle_since <= idle_limit:
            connection = self._idle.pop()
            is_open = connection.is_idle()
            # If the target wrote its refusal again, the refusal could not be told from
            # the answer to the same request, so another connection has to carry it.
            if is_open and request_id not in connection.refused_ids:
                return connection, False
            is_lost = not is_open and (is_lost or self._has_ended_early(connection))
            connection.close()
        return None, is_lost and not self.has_open_idle()

    def has_open_idle(self) -> bool:
        """Tell whether an idle connection to the target is still open."""
        return any(connection.is_idle() for connection in self._idle)

    async def _connect(self) -> PooledConnection:
        while self._idle and len(self._idle) + self.in_use > self._limit:
            self._idle.pop(0).close()
        with trio.fail_after(CONNECT_TIMEOUT):
            stream = await connect(self.address)
        connection = PooledConnection(stream)
        if not connection.is_idle():
            connection.close()
            raise OSError("target sent bytes before the request")
        return connection

    def release(self, connection: PooledConnection) -> None:
        """Return a connection to the pool; its last exchange must be complete."""
        self._end_use()
        now = connection.idle_since = trio.current_time()
        self._idle.append(connection)
        while self._idle and now - self._idle[0].idle_since > IDLE_LIMIT:
            self._idle.pop(0).close()

    def close_ended(self) -> bool:
        """Close idle connections that are unusable; tell whether none is left at all.

        A target that has ended, or that sends bytes without a request, would otherwise
        keep them open until the next request to its address.
        """
        now = trio.current_time()
        kept = []
        for connection in self._idle:
            is_open = connection.is_idle()
            if is_open and now - connection.idle_since <= IDLE_LIMIT:
                kept.append(connection)
                continue
            if not is_open and self._has_ended_early(connection):
                self._lost_at = now
            connection.close()
        self._idle = kept
        return not (kept or self.in_use or self._waiting or self._has_lost(now))

    def _has_lost(self, now: float) -> bool:
        return now - self._lost_at < LOSS_PERIOD

    def _has_ended_early(self, connection: PooledConnection) -> bool:
        idle = trio.current_time() - connection.idle_since
        return idle < MIN_IDLE_TIMEOUT

    def discard(self, connection: PooledConnection) -> None:
        """Close a connection that must not be used again."""
        self._end_use()
        connection.close()

    def reset(self, connection: PooledConnection) -> None:
        """Reset a connection whose exchange has not ended."""
        self._end_use()
        connection.reset()

    def _end_use(self) -> None:
        self.in_use -= 1
        self._connection_semaphore.release()

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
