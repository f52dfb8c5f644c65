"""Send the attempts of a request; return each permit exactly once."""

import attrs
import trio

from fireflystand_core.journal import scope_of
from fireflystand_core.messages import (
    Permit,
    PermitRefused,
    PermitRequest,
    PermitReturn,
    StoredAnswer,
)
from fireflystand_core.outcomes import Unknown

from ..fields import Fields
from ..forward import Exchange, Failure, Forwarder, ForwardRequest
from ..metrics import HEDGES, Metrics
from .interfaces import Location, Permits
from .requests import CallerRequest

__all__ = ["Hold", "Job", "Sender"]


@attrs.define(eq=False)
class Job:
    """Hold a request and the state of its attempts; ``deadline`` is on trio's clock.

    ``unsure`` is set once a target may have run an attempt. ``attempt`` numbers all
    attempts; ``retries`` counts the retries except those after a 421 response.
    """

    request: CallerRequest
    location: Location
    fingerprint: int
    deadline: float
    body: "object"  # entry.body.CallerBody
    prefix: bytes
    unsure: bool = False
    attempt: int = 0
    retries: int = 0
    free_retry: bool = False
    asked: bool = False  # set once a permit was requested

    def permit_request(self, request_id: str, hedge_of: str | None) -> PermitRequest:
        """Return the permit request for the current attempt."""
        request, location = self.request, self.location
        return PermitRequest(
            request_id=request_id,
            service=request.service.id,
            group=location.group,
            shard=location.shard,
            key_hash=location.key_hash,
            account=request.account,
            idempotent=request.idempotent,
            fingerprint=self.fingerprint,
            deadline=max(0.0, self.deadline - trio.current_time()),
            idempotency_key=request.idempotency_key,
            hedge_of=hedge_of,
            attempt=self.attempt,
            free_retry=self.free_retry,
        )

    def forward_request(
        self, request_id: str, permit: Permit, send_before: float
    ) -> ForwardRequest:
        """Return the request to send to the target that the permit names."""
        request, body = self.request, self.body
        return ForwardRequest(
            request_id=request_id,
            address=permit.address,
            method=request.method,
            target=request.target,
            fields=request.fields,
            control=self._control_fields(request_id, permit),
            body=self.prefix,
            length=body.length,
            deadline=self.deadline,
            send_before=send_before,
            repeatable=request.idempotent,
            rest=None if body.complete else body.read,
        )

    def _control_fields(self, request_id: str, permit: Permit) -> Fields:
        values = {
            b"Fireflystand-Service": self.request.service.id,
            b"Fireflystand-Group": str(self.location.group),
            b"Fireflystand-Epoch": str(permit.epoch),
            b"Fireflystand-Request-Id": request_id,
            b"Fireflystand-Client-Account": self.request.account,
        }
        if self.request.route.routing_key_segment is None and self.request.routing_key:
            values[b"Fireflystand-Routing-Key"] = self.request.routing_key
        if self.request.service.keyed:
            values[b"Fireflystand-Shard"] = str(permit.shard)
        return [(name, value.encode()) for name, value in values.items()]


class Hold:
    """Own one permit and the request sent under it."""

    def __init__(
        self,
        permits: Permits,
        job: Job,
        permit: Permit,
        request_id: str,
        asked: PermitRequest,
    ) -> None:
        self.permit = permit
        self.acknowledged: trio.Event | None = None
        self._permits = permits
        self._job = job
        self._acquired_at = trio.current_time()
        self._settled = False
        self._scope = scope_of(asked)
        send_before = self._acquired_at + permit.send_within
        self.request = job.forward_request(request_id, permit, send_before)
        self.request.on_cancelled = self._settle_cancelled

    def settle(
        self, outcome: str, status: int, answer: StoredAnswer | None = None, **flags
    ) -> None:
        """Return the permit to its coordinator; later calls have no effect."""
        if self._settled:
            return
        self._settled = True
        if outcome == "unknown":
            self._job.unsure = True
        returned = PermitReturn(
            service=self._job.request.service.id,
            group=self._job.location.group,
            permit_id=self.permit.permit_id,
            outcome=outcome,
            status=status,
            latency=trio.current_time() - self._acquired_at,
            answer=answer,
            scope=self._scope,
            fingerprint=self._job.fingerprint,
            target=self.permit.target,
            **flags,
        )
        self.acknowledged = self._permits.give_back(returned)

    def settle_failure(self, failure: Failure) -> None:
        """Return the permit after a failed attempt."""
        self.settle(
            failure.outcome.tag,
            failure.outcome.status,
            refused=failure.refused,
            broken=failure.broken,
            shed=failure.shed,
            stale=failure.stale,
        )

    def close(self) -> None:
        """Return the permit if it has not been returned yet.

        While a cancellation at the target is pending, the permit is returned only
        when the cancellation ends, because an acknowledged cancellation frees the slot
        at once.
        """
        if self.request.cancelling:
            self._job.unsure = True
            return
        self.settle("unknown" if self.request.handed else "not-run", 0)

    def _settle_cancelled(self, acknowledged: bool) -> None:
        self.settle("unknown", 0, ended=acknowledged)


class Sender:
    """Obtain permits and send attempts, with hedges where they are allowed."""

    def __init__(
        self, permits: Permits, forwarder: Forwarder, metrics: Metrics
    ) -> None:
        self._permits = permits
        self._forwarder = forwarder
        self._metrics = metrics

    async def acquire(
        self, job: Job, suffix: str = "", hedge_of: str | None = None
    ) -> Hold | PermitRefused:
        """Return a permit for the current attempt, or its refusal."""
        # Each attempt has its own id, so that cancelling one attempt cannot stop the
        # next attempt at the same target.
        request_id = f"{job.request.id}-{job.attempt}{suffix}"
        asked = job.permit_request(f"{job.request.id}{suffix}", hedge_of)
        job.asked = True
        permit = await self._permits.acquire(asked)
        if isinstance(permit, PermitRefused):
            return permit
        return Hold(self._permits, job, permit, request_id, asked)

    async def send(self, job: Job, hold: Hold) -> tuple[Hold, Exchange | Failure]:
        """Send the attempt; return the first response head or the failure.

        The caller must close the returned hold; this method closes any other.
        """
        delay = hold.permit.hedge_after
        if delay is None or not job.request.idempotent or hold.request.rest:
            return hold, await self._open(hold)
        hedged_attempt = _HedgedAttempt(self, job, hold)
        return await hedged_attempt.run(delay)

    async def _open(self, hold: Hold) -> Exchange | Failure:
        result = await self._forwarder.open(hold.request)
        if isinstance(result, Failure):
            hold.settle_failure(result)
        return result

    def cancel(self, exchange: Exchange) -> None:
        """Cancel a request at its target."""
        self._forwarder.cancel(exchange)


class _HedgedAttempt:
    """Run an attempt and its hedge until one receives a response head."""

    def __init__(self, sender: Sender, job: Job, primary: Hold) -> None:
        self._sender = sender
        self._job = job
        self._primary = primary
        self._running_attempts = 0
        self._results: list[tuple[Hold, Exchange | Failure]] = []
        self._attempt_ended = trio.Event()

    async def run(self, delay: float) -> tuple[Hold, Exchange | Failure]:
        """Run the attempt, and a hedge if ``delay`` seconds pass without a result."""
        try:
            async with trio.open_nursery() as nursery:
                self._start(nursery, self._run_primary)
                with trio.move_on_after(delay):
                    await self._attempt_ended.wait()
                if not self._results:
                    self._start(nursery, self._run_hedge)
                while self._running_attempts and not self._winner():
                    self._attempt_ended = trio.Event()
                    await self._attempt_ended.wait()
                nursery.cancel_scope.cancel()
        except BaseException:
            self._close_losers(None)
            raise
        winner = self._winner() or self._select_failure()
        self._close_losers(winner)
        return winner

    def _start(self, nursery: trio.Nursery, function) -> None:
        self._running_attempts += 1
        nursery.start_soon(self._run, function)

    async def _run(self, function) -> None:
        try:
            await function()
        finally:
            self._running_attempts -= 1
            self._attempt_ended.set()

    async def _run_primary(self) -> None:
        await self._run_attempt(self._primary)

    async def _run_hedge(self) -> None:
        hold = await self._sender.acquire(self._job, "-h", self._job.request.id)
        if isinstance(hold, Hold):
            self._sender._metrics.count(HEDGES)
            await self._run_attempt(hold)

    async def _run_attempt(self, hold: Hold) -> None:
        try:
            result = await self._sender._open(hold)
        except BaseException:
            hold.close()
            raise
        self._results.append((hold, result))

    def _winner(self) -> tuple[Hold, Exchange] | None:
        for hold, result in self._results:
            if isinstance(result, Exchange):
                return hold, result
        return None

    def _select_failure(self) -> tuple[Hold, Failure]:
        for hold, result in self._results:
            if isinstance(result.outcome, Unknown):
                return hold, result
        return self._results[0]

    def _close_losers(self, winner) -> None:
        for hold, result in self._results:
            if winner is not None and hold is winner[0]:
                continue
            if isinstance(result, Exchange):
                self._sender.cancel(result)
            hold.close()
