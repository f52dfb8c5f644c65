"""Process a request from its header section to its outcome."""

import time
from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

import attrs
import h11
import trio
import xxhash

from fireflystand_core.admission import RetryBudget
from fireflystand_core.configuration import Deployment
from fireflystand_core.messages import PermitRefused, StoredAnswer
from fireflystand_core.outcomes import NotRun

from ..events import REQUEST_UNKNOWN, RESPONSE_BROKEN, emit
from ..fields import Fields
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
from .attempts import Hold, Job, Sender
from .body import CallerBody
from .interfaces import Accounts, Permits, Placement, Quotas
from .refusals import RequestRefusedError
from .requests import FINGERPRINT_BYTES, CallerRequest, fingerprint_of, read_request

__all__ = ["Flow", "RequestFlow", "Responder"]

STORED_BODY_LIMIT = 64 * 1024  # bytes
ATTEMPT_LIMIT = 5
RETRY_DELAY = 0.01  # seconds; retry n > 1 waits this times 2**(n - 1)
MAX_RETRY_DELAY = 0.16  # seconds
DURABLE_TIMEOUT = 0.5  # seconds; send anyway if no coordinator has confirmed by then


class Responder(Protocol):
    """Write the response to one request of a caller."""

    request_id: str
    started: bool

    async def refuse(self, refusal: RequestRefusedError) -> None:
        """Send the refusal; if a response was started, abort it instead."""

    async def permit_body(self) -> None:
        """Send ``100 Continue`` if the caller waits for it."""

    def start(self, status: int, fields: Fields, length: int | None, close: bool):
        """Queue the status line and header fields of the response."""

    async def write(self, part: bytes) -> None:
        """Queue a part of the body; send the queue if it has grown large."""

    async def flush(self) -> None:
        """Send the queued bytes."""

    async def finish(self) -> None:
        """Send the end of the response."""

    def abort(self) -> None:
        """Reset the connection so that the caller sees an incomplete response."""


class Flow(Protocol):
    """Serve the requests of callers."""

    async def run(
        self, event: h11.Request, body: CallerBody, responder: Responder
    ) -> None:
        """Serve one request; the call is cancelled if the caller disconnects."""


@attrs.define
class _Progress:
    """Record which steps of a request were completed before its deadline."""

    has_quota: bool = False
    job: Job | None = None


class RequestFlow:
    """Serve requests with quotas, permits, retries and hedges."""

    def __init__(
        self,
        *,
        deployment: Callable[[], Deployment | None],
        accounts: Accounts,
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

    async def run(
        self, event: h11.Request, body: CallerBody, responder: Responder
    ) -> None:
        """Serve one request; the call is cancelled if the caller disconnects."""
        self._metrics.count(REQUESTS)
        begin = time.perf_counter()
        try:
            try:
                await self._admit(event, body, responder)
            except MalformedMessageError as error:
                raise RequestRefusedError(
                    error.status, error.message, close=True
                ) from error
        except RequestRefusedError as refusal:
            self._metrics.count(REFUSALS)
            if refusal.outcome == "unknown":
                self._metrics.count(UNKNOWN)
            await responder.refuse(refusal)
        self._metrics.timing(LATENCY, time.perf_counter() - begin)

    async def _admit(self, event, body: CallerBody, responder: Responder) -> None:
        deployment = self._deployment()
        if deployment is None or not self._may_admit():
            raise RequestRefusedError(
                503, "instance does not admit requests", retry_after=1
            )
        request = read_request(event, deployment, self._accounts)
        responder.request_id = request.id
        body.set_limit(request.route.max_body_bytes)
        deadline = trio.current_time() + request.deadline
        progress = _Progress()
        # All steps share one cancel scope. With nested scopes of the same deadline,
        # the outer one would hide which step the deadline interrupted.
        with trio.move_on_at(deadline):
            await self._take_quota(request, deadline)
            progress.has_quota = True
            job = await self._prepare(request, body, deadline, responder)
            progress.job = job
            return await self._run_attempts(job, responder)
        self._handle_expired(progress, responder)

    async def _take_quota(self, request: CallerRequest, deadline: float) -> None:
        if not request.account:
            return
        refused = await self._quotas.take(request.account, deadline)
        if refused is not None:
            raise RequestRefusedError(
                429, "account is over its rate", retry_after=refused.retry_after
            )

    async def _prepare(
        self, request, body: CallerBody, deadline: float, responder: Responder
    ) -> Job:
        await responder.permit_body()
        prefix = await body.read_prefix(FINGERPRINT_BYTES)
        fingerprint = fingerprint_of(request, prefix)
        affinity = fingerprint
        if request.idempotency_key is not None:
            affinity = idempotency_affinity(request)
        location = self._placement.locate(
            request.service, request.routing_key, affinity
        )
        return Job(request, location, fingerprint, deadline, body, prefix)

    def _handle_expired(self, progress: "_Progress", responder: Responder) -> None:
        """Refuse a request after its deadline, with the reason of the pending step."""
        job = progress.job
        if not progress.has_quota:
            raise RequestRefusedError(429, "no quota before the deadline")
        if job is None:
            raise MalformedMessageError("request body is too slow", status=408)
        if responder.started:
            return responder.abort()
        at_most_once = job.request.idempotency_key and not job.request.idempotent
        if job.unsure or (at_most_once and job.asked):
            # The first request with this idempotency key may still be running.
            raise self._unknown_outcome(job, 504, "deadline passed")
        raise RequestRefusedError(503, "deadline passed before the request was sent")

    async def _run_attempts(self, job: Job, responder: Responder) -> None:
        self._budgets_by_service[job.request.service.id].note_request()
        while True:
            hold = await self._sender.acquire(job)
            if isinstance(hold, PermitRefused):
                return await self._handle_permit_refused(job, hold, responder)
            failure = await self._attempt(job, hold, responder)
            if failure is None:
                return
            if not self._may_retry(job, failure):
                raise self._final_refusal(job, failure)
            self._metrics.count(RETRIES)
            job.free_retry = failure.stale or failure.refused
            job.retries += not failure.stale
            if job.attempt:
                delay = RETRY_DELAY * 2**job.attempt
                await trio.sleep(min(delay, MAX_RETRY_DELAY))
            job.attempt += 1

    async def _attempt(
        self, job: Job, hold: Hold, responder: Responder
    ) -> Failure | None:
        try:
            hold, result = await self._sender.send(job, hold)
            if isinstance(result, Failure):
                return result
            await self._deliver(job, hold, result, responder)
            return None
        except (RequestRefusedError, MalformedMessageError) as error:
            # Reading the caller's body failed while it was being sent to the target.
            hold.close()
            if responder.started:
                return responder.abort()
            raise RequestRefusedError(
                error.status, error.message, outcome="unknown", close=True
            ) from error
        finally:
            hold.close()

    async def _deliver(
        self, job: Job, hold: Hold, exchange: Exchange, responder: Responder
    ) -> None:
        stores_response = job.request.idempotency_key is not None
        kept: bytearray | None = bytearray() if stores_response else None
        durable = stores_response and not job.request.idempotent
        withheld = b""
        try:
            responder.start(
                exchange.status,
                exchange.fields,
                exchange.length,
                close=not exchange.upload_done,
            )
            while part := await self._next_part(exchange, responder):
                kept = _append_limited(kept, part)
                if durable:
                    # The last part is withheld until the outcome is durable.
                    withheld, part = part, withheld
                if part:
                    await responder.write(part)
        except BrokenExchangeError as error:
            exchange.abort()
            hold.settle("unknown", exchange.status, broken=True)
            emit(
                RESPONSE_BROKEN,
                error,
                request_id=job.request.id,
                target=hold.permit.target,
                reason=error.message,
            )
            self._metrics.count(UNKNOWN)
            return responder.abort()
        finally:
            self._sender.cancel(exchange)
        answer = None if kept is None else _stored_response(exchange, bytes(kept))
        hold.settle("answered", exchange.status, answer)
        self._metrics.count(ANSWERED)
        if durable and hold.acknowledged is not None:
            with trio.move_on_after(DURABLE_TIMEOUT):
                await hold.acknowledged.wait()
        if withheld:
            await responder.write(withheld)
        await responder.finish()

    async def _next_part(self, exchange: Exchange, responder: Responder) -> bytes:
        part = exchange.receive_ready()
        if part is None:
            await responder.flush()
            part = await exchange.receive()
        return part

    async def _handle_permit_refused(
        self, job: Job, refused: PermitRefused, responder: Responder
    ) -> None:
        if refused.replay is not None:
            return await self._replay(job, refused.replay, responder)
        if job.unsure and refused.outcome == "not-run":
            raise self._unknown_outcome(job, 502, refused.reason)
        raise RequestRefusedError(
            refused.status,
            refused.reason,
            outcome=refused.outcome,
            retry_after=refused.retry_after,
        )

    async def _replay(
        self, job: Job, answer: StoredAnswer, responder: Responder
    ) -> None:
        self._metrics.count(REPLAYS)
        fields = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in answer.headers]
        length = len(answer.body)
        if job.request.method == b"HEAD" or answer.status in (204, 304):
            length = None
        responder.start(answer.status, fields, length, close=False)
        if answer.body:
            await responder.write(answer.body)
        await responder.finish()

    def _may_retry(self, job: Job, failure: Failure) -> bool:
        if job.body.streamed:
            return False
        if failure.stale:
            # After a handover or a move, many requests get a 421 at the same time.
            # Each waits for the new owner, so only its deadline bounds its retries.
            return True
        if job.retries + 1 >= ATTEMPT_LIMIT:
            return False
        ran = not isinstance(failure.outcome, NotRun)
        if ran and not job.request.idempotent:
            return False
        return (
            failure.refused or self._budgets_by_service[job.request.service.id].spend()
        )

    def _final_refusal(self, job: Job, failure: Failure) -> RequestRefusedError:
        outcome = failure.outcome
        if job.unsure:
            return self._unknown_outcome(job, 502, outcome.reason)
        return RequestRefusedError(outcome.status, outcome.reason, retry_after=1)

    def _unknown_outcome(
        self, job: Job, status: int, reason: str
    ) -> RequestRefusedError:
        emit(REQUEST_UNKNOWN, request_id=job.request.id, target="", reason=reason)
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
