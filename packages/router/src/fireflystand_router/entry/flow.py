"""Lead a request from its header section to its outcome."""

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

KEPT_BODY_LIMIT = 64 * 1024  # bytes
ATTEMPT_LIMIT = 5
RETRY_DELAY = 0.01  # seconds before the second retry, doubled for each further one
LONGEST_RETRY_DELAY = 0.16  # seconds
DURABLE_WAIT = 0.5  # seconds; without a coordinator the answer is not kept back


class Responder(Protocol):
    """Write the response to one request of a caller."""

    request_id: str
    started: bool

    async def refuse(self, refusal: RequestRefusedError) -> None:
        """Send a response of the router's own."""

    async def permit_body(self) -> None:
        """Send ``100 Continue`` if the caller waits for it."""

    def start(self, status: int, fields: Fields, length: int | None, close: bool):
        """Queue the head of a response."""

    async def write(self, part: bytes) -> None:
        """Queue a part of the body; send if much is queued."""

    async def flush(self) -> None:
        """Send what is queued."""

    async def finish(self) -> None:
        """Send the end of the response."""

    def abort(self) -> None:
        """Break the connection off so that the response is seen as incomplete."""


class Flow(Protocol):
    """Answer the requests of callers."""

    async def run(
        self, event: h11.Request, body: CallerBody, responder: Responder
    ) -> None:
        """Answer one request; a cancelled call means that the caller left."""


@attrs.define
class _Progress:
    """Tell how far a request came before its deadline."""

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
        """Answer one request; a cancelled call means that the caller left."""
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
        # One scope for all steps: with nested scopes of the same deadline the outer
        # one would hide which step was cut off.
        with trio.move_on_at(deadline):
            await self._take_quota(request, deadline)
            progress.has_quota = True
            job = await self._prepare(request, body, deadline, responder)
            progress.job = job
            return await self._attempt_all(job, responder)
        self._expire(progress, responder)

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
            affinity = hash_of_repeat(request)
        location = self._placement.locate(
            request.service, request.routing_key, affinity
        )
        return Job(request, location, fingerprint, deadline, body, prefix)

    def _expire(self, progress: "_Progress", responder: Responder) -> None:
        """Refuse a request whose deadline passed by what it was waiting for."""
        job = progress.job
        if not progress.has_quota:
            raise RequestRefusedError(429, "no quota before the deadline")
        if job is None:
            raise MalformedMessageError("request body is too slow", status=408)
        if responder.started:
            return responder.abort()
        repeatable = job.request.idempotency_key and not job.request.idempotent
        if job.unsure or (repeatable and job.asked):
            # The first request with the idempotency key may be running.
            raise self._unknown(job, 504, "deadline passed")
        raise RequestRefusedError(503, "deadline passed before the request was sent")

    async def _attempt_all(self, job: Job, responder: Responder) -> None:
        self._budgets_by_service[job.request.service.id].note_request()
        while True:
            hold = await self._sender.acquire(job)
            if isinstance(hold, PermitRefused):
                return await self._refused(job, hold, responder)
            failure = await self._attempt(job, hold, responder)
            if failure is None:
                return
            if not self._may_repeat(job, failure):
                raise self._final(job, failure)
            self._metrics.count(RETRIES)
            job.free_retry = failure.stale or failure.refused
            job.retries += not failure.stale
            if job.attempt:
                delay = RETRY_DELAY * 2**job.attempt
                await trio.sleep(min(delay, LONGEST_RETRY_DELAY))
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
            # The caller's body failed while the target was receiving it.
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
        keep = job.request.idempotency_key is not None
        kept: bytearray | None = bytearray() if keep else None
        durable = keep and not job.request.idempotent
        held = b""
        try:
            responder.start(
                exchange.status,
                exchange.fields,
                exchange.length,
                close=not exchange.upload_done,
            )
            while part := await self._next_part(exchange, responder):
                kept = _keep(kept, part)
                if durable:
                    # The last part waits until the outcome is durable.
                    held, part = part, held
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
        answer = None if kept is None else _stored(exchange, bytes(kept))
        hold.settle("answered", exchange.status, answer)
        self._metrics.count(ANSWERED)
        if durable and hold.acknowledged is not None:
            with trio.move_on_after(DURABLE_WAIT):
                await hold.acknowledged.wait()
        if held:
            await responder.write(held)
        await responder.finish()

    async def _next_part(self, exchange: Exchange, responder: Responder) -> bytes:
        part = exchange.receive_ready()
        if part is None:
            await responder.flush()
            part = await exchange.receive()
        return part

    async def _refused(
        self, job: Job, refused: PermitRefused, responder: Responder
    ) -> None:
        if refused.replay is not None:
            return await self._replay(job, refused.replay, responder)
        if job.unsure and refused.outcome == "not-run":
            raise self._unknown(job, 502, refused.reason)
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

    def _may_repeat(self, job: Job, failure: Failure) -> bool:
        if job.body.streamed:
            return False
        if failure.stale:
            # A handover or a move makes a wave of these, and each request waits
            # for the new owner; only its deadline bounds it.
            return True
        if job.retries + 1 >= ATTEMPT_LIMIT:
            return False
        ran = not isinstance(failure.outcome, NotRun)
        if ran and not job.request.idempotent:
            return False
        return (
            failure.refused or self._budgets_by_service[job.request.service.id].spend()
        )

    def _final(self, job: Job, failure: Failure) -> RequestRefusedError:
        outcome = failure.outcome
        if job.unsure:
            return self._unknown(job, 502, outcome.reason)
        return RequestRefusedError(outcome.status, outcome.reason, retry_after=1)

    def _unknown(self, job: Job, status: int, reason: str) -> RequestRefusedError:
        emit(REQUEST_UNKNOWN, request_id=job.request.id, target="", reason=reason)
        return RequestRefusedError(status, reason, outcome="unknown")


def hash_of_repeat(request: CallerRequest) -> int:
    """Return a 64-bit hash that all repeats of an idempotency key share."""
    text = "\0".join([request.account, request.routing_key, request.idempotency_key])
    return xxhash.xxh3_64_intdigest(text.encode())


def _keep(kept: bytearray | None, part: bytes) -> bytearray | None:
    if kept is None or len(kept) + len(part) > KEPT_BODY_LIMIT:
        return None
    kept += part
    return kept


def _stored(exchange: Exchange, body: bytes) -> StoredAnswer:
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in exchange.fields
    ]
    return StoredAnswer(exchange.status, headers, body)
