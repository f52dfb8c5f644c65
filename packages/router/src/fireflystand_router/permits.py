"""Get permits for requests at an entry instance, and return them."""

from collections.abc import Callable
from contextlib import suppress

import attrs
import trio

from fireflystand_core.journal import scope_of
from fireflystand_core.messages import (
    Accepted,
    Permit,
    PermitCancel,
    PermitRefused,
    PermitRequest,
    PermitReturn,
)

from .events import RETURN_GIVEN_UP, emit
from .journal_writer import Network
from .peers import PeerUnavailableError
from .permit_host import NOT_COORDINATOR, PermitHost
from .view import ClusterView

__all__ = ["PermitClient"]

RETRY_PAUSE = 0.05  # seconds while no coordinator answers
CLAIM_PAUSE = 0.1  # seconds between two looks at the group's claim
RETURN_PAUSE = 0.2  # seconds between two attempts to return a permit
RETURN_TIMEOUT = 0.5  # seconds
RETURN_GRACE = 1.0  # seconds beyond the deadline; the slot is free by then
ANSWER_GRACE = 0.1  # seconds for a refusal at the deadline to arrive


class PermitClient:
    """Ask the coordinators of groups for permits."""

    def __init__(
        self,
        instance: str,
        network: Network,
        view: ClusterView,
        host: PermitHost | None = None,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self.unacknowledged = 0
        self._instance = instance
        self._network = network
        self._view = view
        self._host = host
        self._clock = clock
        self._held: dict[str, tuple[PermitRequest, str, float]] = {}
        self._nursery: trio.Nursery | None = None
        self._scope: trio.CancelScope | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the task that returns permits."""
        self._scope = await nursery.start(self._run)

    async def close(self) -> None:
        """Stop returning permits; wait for ``unacknowledged`` to be 0 before."""
        if self._scope is not None:
            self._scope.cancel()

    async def _run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started(scope)
                await trio.sleep_forever()

    async def acquire(self, request: PermitRequest) -> Permit | PermitRefused:
        """Return a permit or a refusal within the request's deadline.

        While a takeover is going on, the request is asked again. If the caller
        leaves, the coordinator is told that no permit will be used.
        """
        deadline = self._clock() + request.deadline
        asked: set[str] = set()
        finished = False
        try:
            with trio.move_on_after(request.deadline + ANSWER_GRACE):
                answer = await self._ask_until(request, deadline, asked)
                finished = answer is not None
        finally:
            if not finished:
                self._cancel(request, asked)
        if not finished:
            return _too_late(request)
        if isinstance(answer, Permit):
            self._held[answer.permit_id] = (request, answer.target, deadline)
        return answer

    async def _ask_until(
        self, request: PermitRequest, deadline: float, asked: set[str]
    ) -> Permit | PermitRefused | None:
        hint: str | None = None
        while (left := deadline - self._clock()) > 0:
            instance, hint = hint or self._coordinator(request), None
            answer = None
            if instance is not None:
                asked.add(instance)
                message = attrs.evolve(request, deadline=left)
                answer = await self._ask(instance, message)
            if isinstance(answer, PermitRefused) and answer.reason == NOT_COORDINATOR:
                hint = answer.coordinator
                if hint is not None and hint not in asked:
                    continue
                hint = None
            elif answer is not None:
                return answer
            await trio.sleep(RETRY_PAUSE)
        return None

    async def _ask(self, instance: str, message: PermitRequest):
        if instance == self._instance and self._host is not None:
            return await self._host.request(message, self._instance)
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._leave_on_new_claim, message, nursery.cancel_scope)
            timeout = message.deadline + ANSWER_GRACE
            with suppress(PeerUnavailableError):
                answers.append(await self._network.request(instance, message, timeout))
            nursery.cancel_scope.cancel()
        answer = answers[0] if answers else None
        return answer if isinstance(answer, Permit | PermitRefused) else None

    async def _leave_on_new_claim(
        self, message: PermitRequest, scope: trio.CancelScope
    ) -> None:
        """Stop waiting for a coordinator that was replaced; it may be paused."""
        key = (message.service, message.group)
        claim = self._view.claims_by_group.get(key)
        while self._view.claims_by_group.get(key) == claim:
            await trio.sleep(CLAIM_PAUSE)
        scope.cancel()

    def _coordinator(self, message: PermitRequest | PermitReturn) -> str | None:
        claim = self._view.claims_by_group.get((message.service, message.group))
        return None if claim is None else claim.instance

    def _cancel(self, request: PermitRequest, asked: set[str]) -> None:
        cancel = PermitCancel(
            request.service, request.group, request.request_id, request.attempt
        )
        for instance in asked:
            if instance == self._instance and self._host is not None:
                self._host.cancel(cancel)
                continue
            with suppress(PeerUnavailableError):
                self._network.send(instance, cancel)

    def give_back(self, returned: PermitReturn) -> trio.Event:
        """Return a permit, again until acknowledged or its request's deadline.

        What a later coordinator needs to judge the return is added here. The
        event is set once the return is acknowledged or given up.
        """
        request, target, deadline = self._held.pop(returned.permit_id)
        returned = attrs.evolve(
            returned,
            scope=scope_of(request),
            fingerprint=request.fingerprint,
            target=target,
        )
        self.unacknowledged += 1
        done = trio.Event()
        self._nursery.start_soon(self._give_back, returned, deadline, done)
        return done

    async def _give_back(
        self, returned: PermitReturn, deadline: float, done: trio.Event
    ) -> None:
        hint: str | None = None
        try:
            while self._clock() < deadline + RETURN_GRACE:
                instance = hint or self._coordinator(returned)
                answer = None
                if instance is not None:
                    answer = await self._send_return(instance, returned)
                if isinstance(answer, Accepted):
                    return
                new_hint = getattr(answer, "coordinator", None)
                hint = new_hint if new_hint != instance else None
                await trio.sleep(RETURN_PAUSE)
            emit(
                RETURN_GIVEN_UP,
                service=returned.service,
                group=returned.group,
                permit_id=returned.permit_id,
            )
        finally:
            self.unacknowledged -= 1
            done.set()

    async def _send_return(self, instance: str, returned: PermitReturn):
        if instance == self._instance and self._host is not None:
            with trio.move_on_after(RETURN_TIMEOUT):
                return await self._host.take_back(returned)
            return None
        try:
            return await self._network.request(instance, returned, RETURN_TIMEOUT)
        except PeerUnavailableError:
            return None


def _too_late(request: PermitRequest) -> PermitRefused:
    """Refuse at the deadline; a repeat's first request may have run."""
    if request.idempotency_key is not None:
        return PermitRefused("unknown", "no coordinator answered in time", 504)
    return PermitRefused("not-run", "no coordinator answered in time", 503)
