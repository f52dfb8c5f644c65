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
# Targets keep idle connections for a second at least. One that ended sooner may have
# ended with the target's process.
MIN_IDLE_TIMEOUT = 1.0  # seconds
EARLY_END_RETENTION = 10.0  # seconds
MAX_REFUSALS = 16  # by a target on one connection, which is then closed


class PooledConnection:
    """Own one connection to a target."""

    def __init__(self, stream: DirectStream) -> None:
        self.stream = stream
        self.http = h11.Connection(h11.CLIENT)
        self.idle_since = trio.current_time()
        self.refused_ids: set[str] = set()
        # Whether all earlier connections to the target were ended before their timeout.
        self.follows_early_end = False
        self.names_requests = False  # whether a response here carried its request's id
        self.use: object = None  # the use for which the pool lent the connection

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
    """Own the connections to one target; at most ``limit`` are open.

    The kernel keeps about ``receive_buffer`` unread bytes of each, if that is given.
    """

    def __init__(
        self, address: str, limit: int, receive_buffer: int | None = None
    ) -> None:
        self.address = address
        self._receive_buffer = receive_buffer
        self._idle: list[PooledConnection] = []
        self._uses = trio.CapacityLimiter(limit)
        self._waiting = 0  # tasks that have yet to get a connection
        self._early_end_at = float("-inf")  # when such an end was last found

    @property
    def idle(self) -> int:
        """Return the number of idle connections."""
        return len(self._idle)

    @property
    def in_use(self) -> int:
        """Return the number of connections in use, with those that are being made."""
        return self._uses.borrowed_tokens

    @property
    def limit(self) -> int:
        """Return how many connections may be open."""
        return int(self._uses.total_tokens)

    @limit.setter
    def limit(self, limit: int) -> None:
        if limit != self._uses.total_tokens:
            self._uses.total_tokens = limit
            self._close_excess()

    async def acquire(
        self, idle_limit: float = IDLE_LIMIT, request_id: str = ""
    ) -> PooledConnection:
        """Return a connection without unread bytes that has not refused the request.

        Raise OSError or trio.TooSlowError if no connection can be made; no byte of
        the request has been sent then.
        """
        self._waiting += 1
        use = object()
        try:
            await self._uses.acquire_on_behalf_of(use)
        finally:
            self._waiting -= 1
        try:
            connection, ended_early = self._reuse(idle_limit, request_id)
            if connection is None:
                connection = await self._connect()
            connection.follows_early_end = ended_early
            connection.use = use
            return connection
        except BaseException:
            self._uses.release_on_behalf_of(use)
            raise

    def _reuse(
        self, idle_limit: float, request_id: str
    ) -> tuple[PooledConnection | None, bool]:
        """Return an idle connection, if there is one.

        Also tell whether all connections that could have been used had ended early.
        """
        now = trio.current_time()
        ended_early, self._early_end_at = self._had_early_end(now), float("-inf")
        while self._idle and now - self._idle[-1].idle_since <= idle_limit:
            connection = self._idle.pop()
            is_open = connection.is_idle()
            # If the target wrote its refusal again, the refusal could not be told from
            # the answer to the same request, so another connection has to carry it.
            if is_open and request_id not in connection.refused_ids:
                return connection, False
            ended_early = not is_open and (ended_early or self._is_early(connection))
            connection.close()
        return None, ended_early and not self.has_open_idle()

    def has_open_idle(self) -> bool:
        """Tell whether an idle connection to the target is still open."""
        return any(connection.is_idle() for connection in self._idle)

    async def _connect(self) -> PooledConnection:
        self._close_excess()
        with trio.fail_after(CONNECT_TIMEOUT):
            stream = await connect(self.address)
        if self._receive_buffer is not None:
            stream.limit_receive_buffer(self._receive_buffer)
        connection = PooledConnection(stream)
        if not connection.is_idle():
            connection.close()
            raise OSError("target sent bytes before the request")
        return connection

    def _close_excess(self) -> None:
        """Close idle connections beyond the limit, the oldest first."""
        while self._idle and len(self._idle) + self.in_use > self.limit:
            self._idle.pop(0).close()

    def release(self, connection: PooledConnection) -> None:
        """Return a connection to the pool; its last exchange must be complete."""
        self._end_use(connection)
        now = connection.idle_since = trio.current_time()
        self._idle.append(connection)
        self._close_excess()
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
            if not is_open and self._is_early(connection):
                self._early_end_at = now
            connection.close()
        self._idle = kept
        return not (kept or self.in_use or self._waiting or self._had_early_end(now))

    def _had_early_end(self, now: float) -> bool:
        return now - self._early_end_at < EARLY_END_RETENTION

    def _is_early(self, connection: PooledConnection) -> bool:
        idle = trio.current_time() - connection.idle_since
        return idle < MIN_IDLE_TIMEOUT

    def discard(self, connection: PooledConnection) -> None:
        """Close a connection that must not be used again."""
        self._end_use(connection)
        connection.close()

    def reset(self, connection: PooledConnection) -> None:
        """Reset a connection whose exchange has not ended."""
        self._end_use(connection)
        connection.reset()

    def _end_use(self, connection: PooledConnection) -> None:
        self._uses.release_on_behalf_of(connection.use)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()
