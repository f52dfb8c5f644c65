"""Send requests to targets and classify the outcomes."""

import attrs
import h11
import trio

from fireflystand_core.outcomes import NotRun, Unknown

from ..events import CANCEL_FAILED, emit
from ..fields import Fields
from ..http_client import ConnectionFailedError, HttpClient
from .exchange import BrokenExchangeError, Exchange, ForwardRequest
from .pool import IDLE_LIMIT, UNREPEATABLE_IDLE_LIMIT, TargetPool
from .target_options import TargetOptions

__all__ = ["Failure", "Forwarder", "connection_share"]

CONNECTIONS_PER_TARGET = 16
CANCEL_TIMEOUT = 1.0  # seconds
CLOSE_INTERVAL = 2.0  # seconds
MAX_CONCURRENT_CANCELS = 64
DISCARDED_BODY_LIMIT = 64 * 1024  # bytes
DISCARDED_BODY_TIMEOUT = 0.2  # seconds
# To each target, for the calls of all instances that are not requests of callers.
CONTROL_CONNECTIONS = 4


def connection_share(accepted: int, instances: int) -> int:
    """Return how many of the connections that a target accepts an instance may open.

    Each one needs a connection, so more instances than these open more together.
    """
    return max(1, (accepted - CONTROL_CONNECTIONS) // max(1, instances))


@attrs.frozen
class Failure:
    """Describe a failed attempt; the flags are copied into ``PermitReturn``.

    ``status`` and ``fields`` are those of the target's refusal, if there is one.
    ``may_have_restarted`` tells that no open connection to the target was left.
    """

    outcome: NotRun | Unknown
    refused: bool = False
    broken: bool = False
    shed: bool = False
    stale: bool = False
    withdrawn: bool = False  # before it was sent
    may_have_restarted: bool = False
    status: int = 0
    fields: Fields = attrs.field(factory=list)


class Forwarder:
    """Send requests through a connection pool for each target."""

    def __init__(
        self,
        connections: int = CONNECTIONS_PER_TARGET,
        options: TargetOptions | None = None,
        receive_buffer: int | None = None,
    ) -> None:
        self._receive_buffer = receive_buffer
        self.pools_by_address: dict[str, TargetPool] = {}
        self._options = options or TargetOptions()
        self._connections_per_target = connections
        self._nursery: trio.Nursery | None = None
        self._cancel_semaphore = trio.Semaphore(MAX_CONCURRENT_CANCELS)

    def start_soon(self, function, *args) -> None:
        """Run a task that belongs to an exchange."""
        self._nursery.start_soon(function, *args)

    async def start(self, nursery: trio.Nursery) -> None:
        """Run uploads and cancellations in ``nursery``."""
        self._nursery = nursery
        nursery.start_soon(self._close_ended)

    async def _close_ended(self) -> None:
        """Close idle connections that are unusable, at intervals, until cancelled."""
        while True:
            await trio.sleep(CLOSE_INTERVAL)
            for address, pool in list(self.pools_by_address.items()):
                if pool.close_ended():
                    del self.pools_by_address[address]

    async def close(self) -> None:
        """Close every idle connection."""
        for pool in self.pools_by_address.values():
            pool.close()

    def _pool_for(self, address: str, connections: int | None) -> TargetPool:
        limit = self._connections_per_target
        if connections is not None:
            limit = min(limit, connections)
        pool = self.pools_by_address.get(address)
        if pool is None:
            pool = TargetPool(address, limit, self._receive_buffer)
            self.pools_by_address[address] = pool
        pool.limit = limit
        return pool

    async def open(self, request: ForwardRequest) -> Exchange | Failure:
        """Send the request; return the exchange after the response head, or a failure.

        Cancelling the call also cancels the request at the target.
        """
        pool = self._pool_for(request.address, request.connections)
        idle_limit = request.idle_limit
        if idle_limit is None:
            idle_limit = IDLE_LIMIT if request.repeatable else UNREPEATABLE_IDLE_LIMIT
        try:
            connection = await pool.acquire(idle_limit, request.request_id)
        except (OSError, trio.TooSlowError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            return Failure(NotRun("target cannot be reached"), refused=refused)
        if trio.current_time() > request.send_before:
            pool.release(connection)
            return Failure(NotRun("permit expired before the request was sent"))
        if request.is_withdrawn():
            pool.release(connection)
            return Failure(NotRun("target takes no new requests"), withdrawn=True)
        exchange = Exchange(pool, connection, request, self._options)
        try:
            await exchange.start(self._nursery)
        except BrokenExchangeError as error:
            exchange.abort()
            return Failure(
                Unknown(error.message),
                broken=True,
                may_have_restarted=exchange.may_have_restarted,
            )
        except trio.Cancelled:
            self.cancel(exchange)
            raise
        except BaseException:
            exchange.abort()
            raise
        if exchange.states_not_run:
            return await self._not_run_failure(exchange)
        return exchange

    async def _not_run_failure(self, exchange: Exchange) -> Failure:
        status = exchange.status
        await self._discard(exchange)
        reason = "target sheds load" if status == 503 else "target is not the owner"
        return Failure(
            NotRun(reason),
            shed=status == 503,
            stale=status == 421,
            status=status,
            fields=exchange.fields,
        )

    async def reject(self, exchange: Exchange) -> Failure:
        """Discard a response that must not be delivered; its request may have run."""
        await self._discard(exchange)
        return Failure(
            Unknown(f"target failed the request with status {exchange.status}"),
            status=exchange.status,
            fields=exchange.fields,
        )

    async def _discard(self, exchange: Exchange) -> None:
        """End an exchange whose response head has already determined the outcome."""
        try:
            # A response without the request's id could be mistaken for one of the next
            # request if the target wrote it again, so its connection is not reused.
            if exchange.names_request and exchange.upload_done:
                with trio.move_on_after(DISCARDED_BODY_TIMEOUT):
                    await self._drain(exchange)
        except BrokenExchangeError:
            pass
        finally:
            exchange.abort()

    async def _drain(self, exchange: Exchange) -> None:
        """Receive the body of a response if it is short, to reuse the connection."""
        size = 0
        while part := await exchange.receive():
            size += len(part)
            if size > DISCARDED_BODY_LIMIT:
                return

    def cancel(self, exchange: Exchange) -> None:
        """Close the exchange and ask the target to stop the request."""
        if exchange.ended:
            return
        exchange.abort()
        if not self._options.cancel_path:
            return
        exchange.request.cancellation_pending = True
        self._nursery.start_soon(self._cancel_at_target, exchange.request)

    async def _cancel_at_target(self, request: ForwardRequest) -> None:
        path = f"{self._options.cancel_path}{request.request_id}"
        acknowledged = False
        async with self._cancel_semaphore:
            client = HttpClient(request.address, CANCEL_TIMEOUT)
            try:
                response = await client.request("DELETE", path)
                acknowledged = response.status == 200
            except (ConnectionFailedError, h11.ProtocolError) as error:
                emit(CANCEL_FAILED, error, request_id=request.request_id)
            finally:
                await client.close()
        if request.on_cancelled is not None:
            request.on_cancelled(acknowledged)
