"""Process a request from its header section to its outcome."""

import time
from collections import defaultdict
from collections.abc import Callable

import attrs
import h11
import trio
import xxhash

from fireflystand_core.admission import RetryBudget
from fireflystand_core.configuration import Deployment
from fireflystand_core.messages import PermitRefused, StoredAnswer
from fireflystand_core.outcomes import NotRun

from ..events import REQUEST_UNKNOWN, RESPONSE_BROKEN, emit
from ..forward import BrokenExchangeError, Exchange, Failure, Forwarder
from ..framing import MalformedMessageError
from ..metrics import (
    ANSWERED,
    LATENCY,
    REFUSALS,
    REPLAYS,
    REQUESTS,
    RETRIES,
    UNKNOWN,
    Metrics,
)
from .attempts import HeldPermit, PendingRequest, Sender
from .body import CallerBody
from .interfaces import AccountDirectory, Permits, Placement, Quotas
from .protocols import ResponseWriter
from .refusals import RequestRefusedError, failed_body_refusal
from .requests import (
    FINGERPRINT_BYTES,
    CallerRequest,
    read_request,
    request_fingerprint,
)
from .time_limits import STOPPING, TimeLimit, TimeLimits

__all__ = ["RequestFlow"]

STORED_BODY_LIMIT = 64 * 1024  # bytes
ATTEMPT_LIMIT = 5
RETRY_DELAY = 0.01  # seconds; retry n > 1 waits this times 2**(n - 1)
MAX_RETRY_DELAY = 0.16  # seconds
BROKEN_OFF = "response broke off"
DURABLE_TIMEOUT = 0.5  # seconds; send anyway if no coordinator has confirmed by then


@attrs.define
class _Progress:
    """Record which steps of a request were completed before its deadline."""

    has_quota: bool = False
    pending: PendingRequest | None = None


class RequestFlow:
    """Serve requests with quotas, permits, retries and hedges."""

    def __init__(
        self,
        *,
        deployment: Callable[[], Deployment | None],
        accounts: AccountDirectory,
        quotas: Quotas,
        permits: Permits,
        placement: Placement,
        forwarder: Forwarder,
        metrics: Metrics,
        may_admit: Callable[[], bool] = lambda: True,
    ) -> None:
        self._deployment = deployment
        self._accounts = accounts
        self._quotas = quotas
        self._placement = placement
        self._metrics = metrics
        self._may_admit = may_admit
        self._sender = Sender(permits, forwarder, metrics)
        self._budgets_by_service = defaultdict(RetryBudget)
        self._time_limits = TimeLimits()

    def begin_stop(self, drains_at: float, stops_at: float) -> None:
        """Give every request a final response by ``stops_at``."""
        self._time_limits.begin_stop(drains_at, stops_at)

    async def run(
        self, event: h11.Request, body: CallerBody, writer: ResponseWriter
    ) -> None:
        """Serve one request; the call is cancelled if the caller disconnects."""
        self._metrics.count(REQUESTS)
        begin = time.perf_counter()
        try:
            try:
                await self._admit(event, body, writer)
            except MalformedMessageError as error:
                raise RequestRefusedError(
                    error.status, error.message, close=True
                ) from error
        except RequestRefusedError as refusal:
            self._metrics.count(REFUSALS)
            if refusal.outcome == "unknown":
                self._metrics.count(UNKNOWN)
            await writer.refuse(refusal)
        self._metrics.timing(LATENCY, time.perf_counter() - begin)

    async def _admit(self, event, body: CallerBody, writer: ResponseWriter) -> None:
        deployment = self._deployment()
        if deployment is None or not self._may_admit():
            raise RequestRefusedError(
                503, "instance does not admit requests", retry_after=1
            )
        request = read_request(event, deployment, self._accounts)
        writer.request_id = request.id
        body.set_size_limit(request.route.max_body_bytes)
        limit = TimeLimit(trio.current_time() + request.deadline)
        with self._time_limits.open(limit, writer.received_at):
            await self._serve(request, body, limit, writer)

    async def _serve(
        self, request, body: CallerBody, limit: TimeLimit, writer: ResponseWriter
    ) -> None:
        progress = _Progress()
        deadline = limit.ends_at
        # All steps share one cancel scope. With nested scopes of the same deadline,
        # the outer one would hide which step the deadline interrupted.
        with limit.scope:
            await self._take_quota(request, deadline)
            progress.has_quota = True
            pending = await self._prepare(request, body, deadline, writer)
            if pending.body_prefix:
                self._time_limits.check(limit, trio.current_time())
            progress.pending = pending
            return await self._run_attempts(pending, limit, writer)
        self._handle_expired(progress, limit, writer)

    async def _take_quota(self, request: CallerRequest, deadline: float) -> None:
        if not request.account:
            return
        refused = await self._quotas.take(request.account, deadline)
        if refused is not None:
            raise RequestRefusedError(
                429, "account is over its rate", retry_after=refused.retry_after
            )

    async def _prepare(
        self, request, body: CallerBody, deadline: float, writer: ResponseWriter
    ) -> PendingRequest:
        await writer.send_continue()
        prefix = await body.read_prefix(FINGERPRINT_BYTES)
        fingerprint = request_fingerprint(request, prefix)
        affinity = fingerprint
        if request.idempotency_key is not None:
            affinity = idempotency_affinity(request)
        location = self._placement.locate(
            request.service, request.routing_key, affinity
        )
        return PendingRequest(request, location, fingerprint, deadline, body, prefix)

    def _handle_expired(
        self, progress: "_Progress", limit: TimeLimit, writer: ResponseWriter
    ) -> None:
        """Refuse a request after its time, with the reason of the pending step."""
        pending = progress.pending
        if limit.shortened and pending is None:
            raise limit.refusal()
        if not progress.has_quota:
            raise RequestRefusedError(429, "no quota before the deadline")
        if pending is None:
            raise MalformedMessageError("request body is too slow", status=408)
        at_most_once = (
            pending.request.idempotency_key and not pending.request.idempotent
        )
        may_have_run = pending.may_have_run or writer.started
        if may_have_run or (at_most_once and pending.permit_requested):
            # The first request with this idempotency key may still be running.
            reason = STOPPING if limit.shortened else "deadline passed"
            raise self._unknown_outcome(pending, 504, reason)
        if limit.shortened:
            raise limit.refusal()
        raise RequestRefusedError(503, "deadline passed before the request was sent")

    async def _run_attempts(
        self, pending: PendingRequest, limit: TimeLimit, writer: ResponseWriter
    ) -> None:
        self._budgets_by_service[pending.request.service.id].note_request()
        while True:
            held_permit = await self._sender.acquire(pending)
            if isinstance(held_permit, PermitRefused):
                return await self._handle_permit_refused(pending, held_permit, writer)
            failure = await self._attempt(pending, held_permit, limit, writer)
            if failure is None:
                return
            if not self._may_retry(pending, failure):
                raise self._final_refusal(pending, failure)
            self._metrics.count(RETRIES)
            pending.free_retry = failure.stale or failure.refused
            pending.retries += not failure.stale
            if pending.attempt:
                delay = RETRY_DELAY * 2**pending.attempt
                await trio.sleep(min(delay, MAX_RETRY_DELAY))
            pending.attempt += 1

    async def _attempt(
        self,
        pending: PendingRequest,
        held_permit: HeldPermit,
        limit: TimeLimit,
        writer: ResponseWriter,
    ) -> Failure | None:
        try:
            held_permit, result = await self._sender.send(pending, held_permit)
            if isinstance(result, Failure):
                return result
            await self._deliver(pending, held_permit, result, limit, writer)
            return None
        except (RequestRefusedError, MalformedMessageError) as error:
            held_permit.close()
            raise failed_body_refusal(error) from error
        finally:
            held_permit.close()

    async def _deliver(
        self,
        pending: PendingRequest,
        held_permit: HeldPermit,
        exchange: Exchange,
        limit: TimeLimit,
        writer: ResponseWriter,
    ) -> None:
        limit.begin_delivery()
        stores_response = pending.request.idempotency_key is not None
        kept: bytearray | None = bytearray() if stores_response else None
        durable = stores_response and not pending.request.idempotent
        withheld = b""
        try:
            writer.start(
                exchange.status,
                exchange.fields,
                exchange.length,
                close=not exchange.upload_done,
            )
            while part := await self._next_part(exchange, writer):
                kept = _append_limited(kept, part)
                if durable:
                    # The last part is withheld until the outcome is durable.
                    withheld, part = part, withheld
                if part:
                    await writer.write(part)
        except BrokenExchangeError as error:
            exchange.abort()
            held_permit.return_permit("unknown", exchange.status, broken=True)
            emit(
                RESPONSE_BROKEN,
                error,
                request_id=pending.request.id,
                target=held_permit.permit.target,
                reason=error.message,
            )
            self._metrics.count(UNKNOWN)
            refusal = RequestRefusedError(502, BROKEN_OFF, outcome="unknown")
            return await writer.refuse(refusal)
        finally:
            self._sender.cancel(exchange)
        answer = None if kept is None else _stored_response(exchange, bytes(kept))
        held_permit.return_permit("answered", exchange.status, answer)
        self._metrics.count(ANSWERED)
        if durable and held_permit.return_accepted is not None:
            send_at = min(trio.current_time() + DURABLE_TIMEOUT, limit.ends_at)
            with trio.move_on_at(send_at):
                await held_permit.return_accepted.wait()
        if withheld:
            await writer.write(withheld)
        await writer.finish()

    async def _next_part(self, exchange: Exchange, writer: ResponseWriter) -> bytes:
        part = exchange.receive_nowait()
        if part is None and not writer.partly_sent:
            # If the response has broken off, another one can be sent in its place.
            await writer.wait_for_turn()
            part = await exchange.receive_arrived()
        if part is None:
            await writer.flush()
            part = await exchange.receive()
        return part

    async def _handle_permit_refused(
        self, pending: PendingRequest, refused: PermitRefused, writer: ResponseWriter
    ) -> None:
        if refused.replay is not None:
            return await self._replay(pending, refused.replay, writer)
        if pending.may_have_run and refused.outcome == "not-run":
            raise self._unknown_outcome(pending, 502, refused.reason)
        raise RequestRefusedError(
            refused.status,
            refused.reason,
            outcome=refused.outcome,
            retry_after=refused.retry_after,
        )

    async def _replay(
        self, pending: PendingRequest, answer: StoredAnswer, writer: ResponseWriter
    ) -> None:
        self._metrics.count(REPLAYS)
        fields = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in answer.headers]
        length = len(answer.body)
        if pending.request.method == b"HEAD" or answer.status in (204, 304):
            length = None
        writer.start(answer.status, fields, length, close=False)
        if answer.body:
            await writer.write(answer.body)
        await writer.finish()

    def _may_retry(self, pending: PendingRequest, failure: Failure) -> bool:
        if pending.body.partly_discarded:
            return False
        if failure.stale:
            # After a handover or a move, many requests get a 421 at the same time.
            # Each waits for the new owner, so only its deadline bounds its retries.
            return True
        if pending.retries + 1 >= ATTEMPT_LIMIT:
            return False
        ran = not isinstance(failure.outcome, NotRun)
        if ran and not pending.request.idempotent:
            return False
        return (
            failure.refused
            or self._budgets_by_service[pending.request.service.id].spend()
        )

    def _final_refusal(
        self, pending: PendingRequest, failure: Failure
    ) -> RequestRefusedError:
        outcome = failure.outcome
        if pending.may_have_run:
            return self._unknown_outcome(pending, 502, outcome.reason)
        return RequestRefusedError(outcome.status, outcome.reason, retry_after=1)

    def _unknown_outcome(
        self, pending: PendingRequest, status: int, reason: str
    ) -> RequestRefusedError:
        emit(REQUEST_UNKNOWN, request_id=pending.request.id, target="", reason=reason)
        return RequestRefusedError(status, reason, outcome="unknown")


def idempotency_affinity(request: CallerRequest) -> int:
    """Return a 64-bit hash that is equal for all repeats of an idempotency key."""
    text = "\0".join([request.account, request.routing_key, request.idempotency_key])
    return xxhash.xxh3_64_intdigest(text.encode())


def _append_limited(kept: bytearray | None, part: bytes) -> bytearray | None:
    if kept is None or len(kept) + len(part) > STORED_BODY_LIMIT:
        return None
    kept += part
    return kept


def _stored_response(exchange: Exchange, body: bytes) -> StoredAnswer:
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in exchange.fields
    ]
    return StoredAnswer(exchange.status, headers, body)
