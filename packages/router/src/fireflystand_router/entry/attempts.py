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
from .interfaces import GroupLocation, Permits
from .requests import CallerRequest

__all__ = ["HeldPermit", "PendingRequest", "Sender"]


@attrs.define(eq=False)
class PendingRequest:
    """Hold a request and the state of its attempts; ``deadline`` is on trio's clock.

    ``may_have_run`` is set once a target may have run an attempt. ``attempt`` numbers
    all attempts; ``retries`` counts the retries except those after a 421 response.
    """

    request: CallerRequest
    location: GroupLocation
    fingerprint: int
    deadline: float
    body: "object"  # entry.body.CallerBody
    body_prefix: bytes
    may_have_run: bool = False
    attempt: int = 0
    retries: int = 0
    free_retry: bool = False
    permit_requested: bool = False

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
            control_fields=self._control_fields(request_id, permit),
            body=self.body_prefix,
            length=body.length,
            deadline=self.deadline,
            send_before=send_before,
            repeatable=request.idempotent,
            read_more_body=None if body.complete else body.read,
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


class HeldPermit:
    """Own one permit and the request sent under it."""

    def __init__(
        self,
        permits: Permits,
        pending: PendingRequest,
        permit: Permit,
        request_id: str,
        message: PermitRequest,
    ) -> None:
        self.permit = permit
        self.return_accepted: trio.Event | None = None
        self._permits = permits
        self._pending = pending
        self._acquired_at = trio.current_time()
        self._returned = False
        self._scope = scope_of(message)
        send_before = self._acquired_at + permit.send_within
        self.request = pending.forward_request(request_id, permit, send_before)
        self.request.on_cancelled = self._return_cancelled

    def return_permit(
        self, outcome: str, status: int, answer: StoredAnswer | None = None, **flags
    ) -> None:
        """Return the permit to its coordinator; later calls have no effect."""
        if self._returned:
            return
        self._returned = True
        if outcome == "unknown":
            self._pending.may_have_run = True
        returned = PermitReturn(
            service=self._pending.request.service.id,
            group=self._pending.location.group,
            permit_id=self.permit.permit_id,
            outcome=outcome,
            status=status,
            latency=trio.current_time() - self._acquired_at,
            answer=answer,
            scope=self._scope,
            fingerprint=self._pending.fingerprint,
            target=self.permit.target,
            **flags,
        )
        self.return_accepted = self._permits.give_back(returned)

    def return_after_failure(self, failure: Failure) -> None:
        """Return the permit after a failed attempt."""
        self.return_permit(
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
        if self.request.cancellation_pending:
            self._pending.may_have_run = True
            return
        self.return_permit(
            "unknown" if self.request.may_have_been_sent else "not-run", 0
        )

    def _return_cancelled(self, acknowledged: bool) -> None:
        self.return_permit("unknown", 0, ended=acknowledged)


class Sender:
    """Obtain permits and send attempts, with hedges where they are allowed."""

    def __init__(
        self, permits: Permits, forwarder: Forwarder, metrics: Metrics
    ) -> None:
        self._permits = permits
        self._forwarder = forwarder
        self._metrics = metrics

    async def acquire(
        self, pending: PendingRequest, suffix: str = "", hedge_of: str | None = None
    ) -> HeldPermit | PermitRefused:
        """Return a permit for the current attempt, or its refusal."""
        # Each attempt has its own id, so that cancelling one attempt cannot stop the
        # next attempt at the same target.
        request_id = f"{pending.request.id}-{pending.attempt}{suffix}"
        message = pending.permit_request(f"{pending.request.id}{suffix}", hedge_of)
        pending.permit_requested = True
        permit = await self._permits.acquire(message)
        if isinstance(permit, PermitRefused):
            return permit
        return HeldPermit(self._permits, pending, permit, request_id, message)

    async def send(
        self, pending: PendingRequest, held_permit: HeldPermit
    ) -> tuple[HeldPermit, Exchange | Failure]:
        """Send the attempt; return the first response head or the failure.

        The caller must close the returned permit; this method closes any other.
        """
        delay = held_permit.permit.hedge_after
        if (
            delay is None
            or not pending.request.idempotent
            or held_permit.request.read_more_body
        ):
            return held_permit, await self._open(held_permit)
        hedged_attempt = _HedgedAttempt(self, pending, held_permit)
        return await hedged_attempt.run(delay)

    async def _open(self, held_permit: HeldPermit) -> Exchange | Failure:
        result = await self._forwarder.open(held_permit.request)
        if isinstance(result, Failure):
            held_permit.return_after_failure(result)
        return result

    def cancel(self, exchange: Exchange) -> None:
        """Cancel a request at its target."""
        self._forwarder.cancel(exchange)


class _HedgedAttempt:
    """Run an attempt and its hedge until one receives a response head."""

    def __init__(
        self, sender: Sender, pending: PendingRequest, primary: HeldPermit
    ) -> None:
        self._sender = sender
        self._pending = pending
        self._primary = primary
        self._running_attempts = 0
        self._results: list[tuple[HeldPermit, Exchange | Failure]] = []
        self._attempt_ended = trio.Event()

    async def run(self, delay: float) -> tuple[HeldPermit, Exchange | Failure]:
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
        held_permit = await self._sender.acquire(
            self._pending, "-h", self._pending.request.id
        )
        if isinstance(held_permit, HeldPermit):
            self._sender._metrics.count(HEDGES)
            await self._run_attempt(held_permit)

    async def _run_attempt(self, held_permit: HeldPermit) -> None:
        try:
            result = await self._sender._open(held_permit)
        except BaseException:
            held_permit.close()
            raise
        self._results.append((held_permit, result))

    def _winner(self) -> tuple[HeldPermit, Exchange] | None:
        for held_permit, result in self._results:
            if isinstance(result, Exchange):
                return held_permit, result
        return None

    def _select_failure(self) -> tuple[HeldPermit, Failure]:
        for held_permit, result in self._results:
            if isinstance(result.outcome, Unknown):
                return held_permit, result
        return self._results[0]

    def _close_losers(self, winner) -> None:
        for held_permit, result in self._results:
            if winner is not None and held_permit is winner[0]:
                continue
            if isinstance(result, Exchange):
                self._sender.cancel(result)
            held_permit.close()
