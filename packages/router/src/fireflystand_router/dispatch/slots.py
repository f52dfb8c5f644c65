"""Acquire target slots from the instances whose admission queues count them."""

from collections.abc import Callable, Collection
from functools import partial
from random import Random

import attrs
import trio

from fireflystand_core.dispatch import (
    ADAPTIVE_ADMISSION,
    COLD_GRANT_LIFETIME,
    AdmissionPolicy,
    AdmissionQueue,
    QueuedRequest,
    SlotGranted,
    SlotRefused,
    SlotResult,
    TargetLoad,
    TargetPauses,
    WarmupPolicy,
    honoured_wait,
)
from fireflystand_core.messages import (
    SlotGrant,
    SlotRefusal,
    SlotRequest,
    SlotReturn,
    SlotWithdrawal,
)
from fireflystand_core.traffic import TargetRecord

from ..events import (
    COLD_SLOT_GRANTED,
    PEER_CALL_FAILED,
    SLOT_OUTDATED,
    SLOT_REQUEST_REDIRECTED,
    TARGET_LIMIT_CHANGED,
    emit,
    emit_limited,
)
from ..future import Future
from ..http_client import ConnectionFailedError
from ..metrics import (
    COLD_SLOTS,
    OUTDATED_SLOTS,
    REDIRECTED_SLOT_REQUESTS,
    Metrics,
)
from ..peers import PeerLink, PeerUnavailableError, Reply
from ..timers import sleep_until_next
from .clock import lease_clock
from .membership import Membership
from .ports import CONFIGURATION, DEPARTURES, DispatchBounds, TargetControlPort
from .rollouts import ANY_VERSION, VersionUse
from .state import RoutingState

__all__ = ["Slot", "SlotClient", "SlotService"]

# Health checks of a target that may have restarted.
HEALTH_TIMEOUT = 0.5  # seconds
HEALTH_RETRY_INTERVAL = 0.1  # seconds, doubled for each further one
MAX_HEALTH_RETRY_INTERVAL = 0.8  # seconds
EXPIRY_CHECK_INTERVAL = 0.1  # seconds between two checks of requests and slots
# In a retry storm most slot requests for a full target are refused for the same reason.
# A refusal is reused for this long, without a request to the responsible instance.
REFUSAL_CACHE_TTL = 0.05  # seconds
MAX_CACHED_REFUSALS = 1000  # before expired ones are dropped
# A request is sent to the queues of so many other instances, if those before cannot be
# reached, and then decided by the queue of its own instance.
MAX_ASKED_INSTANCES = 3
# A peer that cannot be reached is not asked for this long: each request to it could
# wait for a connection.
PEER_RETRY_INTERVAL = 0.5  # seconds
MAX_USUAL_DELAY = 2.0  # seconds that a grant may take longer on a slow link


@attrs.frozen
class _CachedRefusal:
    """Hold a refusal, valid for requests no more urgent and with no later deadline."""

    refusal: SlotRefusal
    expires_at: float  # seconds on trio's clock
    priority: int
    deadline_at: float  # seconds on trio's clock

    def applies(self, priority: int, deadline_at: float, now: float) -> bool:
        """Tell whether a slot request would be refused for the same reason."""
        return (
            now < self.expires_at
            and priority >= self.priority
            and deadline_at <= self.deadline_at
        )


@attrs.frozen
class Slot:
    """Hold a granted slot and the instance whose admission queue counts it.

    ``granted_at`` is a time on the lease clock after which the slot was granted, None
    if it is not known. ``started_at`` is the start of the process that it was granted
    for, and ``version`` that of the target's record then.
    """

    service: str
    number: int
    target: str
    responsible: str
    granted_at: float | None = None
    cold: bool = False  # whether the target got no more than its warm-up rate
    started_at: int = 0
    version: int = 0


@attrs.define
class AnswerDelay:
    """Hold how long the grants of an instance usually take to arrive, in seconds.

    Slots that all come late by the same time are as far apart as they were granted. A
    freeze or a partition delays those that were under way, but not the next ones.
    """

    _last_two: tuple[float, float] = (0.0, 0.0)
    _measured_at: float = float("-inf")

    @property
    def usual(self) -> float:
        """Return the delay that two grants, one asked for after the other, had."""
        return min(*self._last_two, MAX_USUAL_DELAY)

    def record(self, asked_at: float, delay: float, now: float) -> None:
        """Add a delay unless its request was under way together with the last one."""
        if asked_at >= self._measured_at:
            self._last_two = self._last_two[1], delay
            self._measured_at = now


Decision = SlotGranted | SlotRefused
Answer = SlotGrant | SlotRefusal


def responsible_for(
    membership: Membership,
    service: str,
    target: str,
    without: Collection[str] = (),
) -> str:
    """Return the instance whose queue grants the slots of a target.

    An empty ``target`` stands for any target of the service. Instances in ``without``
    cannot be asked.
    """
    queue_name = f"{service}/{target}"
    if target:
        return membership.responsible_instance(queue_name, without)
    # One queue takes the requests of all instances for the service.
    return membership.strongest_instance(queue_name, without)


def granting_rank(membership: Membership, service: str, target: str) -> int:
    """Return an instance's own position in the order that ``responsible_for`` uses.

    It counts the registered instances, reachable or not, so that instances that cannot
    reach each other agree.
    """
    queue_name = f"{service}/{target}"
    if target:
        return membership.registered_rank(queue_name)
    return membership.registered_rank(queue_name, by_capacity=True)


@attrs.frozen
class _Requester:
    """Hold who gets the answer to a slot request; ``link`` is set for a peer's.

    ``asked_at`` is when it was read, in seconds on trio's clock.
    """

    service: str
    deliver: Callable[[Answer], None]
    asked_at: float
    link: PeerLink | None = None

    def refuse(self, decision: SlotRefused) -> None:
        """Deliver a refusal."""
        self.deliver(SlotRefusal(decision.reason, decision.retry_after))

    def grant(self, decision: SlotGranted, target: TargetRecord) -> None:
        """Deliver the grant of a slot at a target."""
        grant = SlotGrant(
            decision.number,
            decision.target,
            waited=trio.current_time() - self.asked_at,
            cold=decision.cold_grants > 0,
            started_at=target.started_at,
            version=target.version,
        )
        self.deliver(grant)


class SlotService:
    """Own this instance's admission queues, one for each service."""

    def __init__(
        self,
        state: RoutingState,
        membership: Membership,
        random: Random,
        control: TargetControlPort,
        metrics: Metrics,
        bounds: DispatchBounds,
        *,
        is_first_start: bool,
    ) -> None:
        self._is_first_start = is_first_start
        self._control = control
        self._metrics = metrics
        self._bounds = bounds
        self._nursery: trio.Nursery | None = None
        self._targets_in_check: set[str] = set()
        self.queues_by_service: dict[str, AdmissionQueue] = {}
        self._state = state
        self._membership = membership
        self._random = random
        self._requesters_by_id: dict[str, _Requester] = {}
        network = membership.network
        network.set_direct_handler(SlotRequest, self._handle_request)
        network.set_direct_handler(SlotReturn, self._handle_return)
        network.set_direct_handler(SlotWithdrawal, self._handle_withdrawal)
        network.on_link_end = self._on_link_end
        state.listeners.append(self._on_state_change)
        state.target_listeners.append(self._on_targets_change)

    def _queue(self, service: str) -> AdmissionQueue:
        queue = self.queues_by_service.get(service)
        if queue is None:
            queue = self.queues_by_service[service] = AdmissionQueue(
                self._random.random,
                partial(self._rank, service),
                is_first_start=self._is_first_start,
                policy=self._admission_policy(),
            )
        return queue

    def _admission_policy(self) -> AdmissionPolicy:
        table = self._state.table
        if table is not None and table.limits_by_capacity:
            return ADAPTIVE_ADMISSION
        return AdmissionPolicy()

    def _rank(self, service: str, target: str) -> int:
        """Return this instance's position for the slots of a target."""
        name = target if self._state.is_keyed(service) else ""
        return granting_rank(self._membership, service, name)

    def _warmup_policy(self, service: str) -> WarmupPolicy:
        policy = self._state.table.services_by_name.get(service)
        if policy is None:
            return WarmupPolicy()
        limit = self._bounds.warmup_limit(policy.warmup_rate)
        return WarmupPolicy(policy.warmup_rate, policy.warmup, limit)

    def _on_state_change(self, kind: str) -> None:
        """Update the queues for a change that may concern all targets."""
        if self._state.table is None or kind not in (CONFIGURATION, DEPARTURES):
            return
        if kind == CONFIGURATION:
            for queue in self.queues_by_service.values():
                queue.policy = self._admission_policy()
                queue.route_durations.keep(self._state.table.routes_by_name.keys())
        self._on_targets_change(None)

    def _on_targets_change(self, names: Collection[str] | None) -> None:
        """Update the queues as targets become usable or unusable."""
        if self._state.table is None:
            return
        if names is None:
            # In the order of the records, by which equal targets are chosen.
            names = list(self._state.targets_by_id)
            for queue in self.queues_by_service.values():
                names += queue.targets_by_id.keys() - self._state.targets_by_id.keys()
        now = trio.current_time()
        for name in names:
            self._update_target(name, now)

    def _update_target(self, name: str, now: float) -> None:
        target = self._state.usable_target(name)
        for service, queue in self.queues_by_service.items():
            is_gone = target is None or target.service != service
            if is_gone and name in queue.targets_by_id:
                self._deliver(queue, queue.remove_target(name))
        if target is not None:
            warmup = self._warmup_policy(target.service)
            self._queue(target.service).set_target(target, now, warmup)

    async def run(self) -> None:
        """Refuse late requests and free expired slots at intervals, until cancelled."""
        async with trio.open_nursery() as self._nursery:
            while True:
                await sleep_until_next(EXPIRY_CHECK_INTERVAL)
                now = trio.current_time()
                for service, queue in self.queues_by_service.items():
                    self._deliver(queue, queue.tick(now))
                    self._log_limits(service, queue)

    def _log_limits(self, service: str, queue: AdmissionQueue) -> None:
        for target, limit in queue.take_changed_limits().items():
            slots = queue.targets_by_id[target].record.slots
            emit_limited(
                TARGET_LIMIT_CHANGED,
                service=service,
                target=target,
                limit=limit,
                slots=slots,
            )

    async def acquire(self, service: str, queued: QueuedRequest) -> Answer:
        """Wait for an answer; cancellation withdraws the slot request."""
        answer: Future[Answer] = Future()
        self._enqueue(queued, _Requester(service, answer.set, trio.current_time()))
        try:
            return await answer.wait()
        except trio.Cancelled:
            self.withdraw(service, queued.id)
            raise

    def _enqueue(self, queued: QueuedRequest, requester: _Requester) -> None:
        self._requesters_by_id[queued.id] = requester
        queue = self._queue(requester.service)
        self._deliver(queue, queue.submit(queued, trio.current_time()))

    def _deliver(self, queue: AdmissionQueue, decisions: list[Decision]) -> None:
        """Deliver a queue's decisions and start the health checks that it needs."""
        for decision in decisions:
            requester = self._requesters_by_id.pop(decision.request.id, None)
            if requester is None:
                continue
            if isinstance(decision, SlotRefused):
                requester.refuse(decision)
                continue
            if decision.cold_grants:
                self._record_cold_grant(requester.service, decision)
            requester.grant(decision, queue.targets_by_id[decision.target].record)
        while queue.suspects and self._nursery is not None:
            target = queue.suspects.pop()
            if target not in self._targets_in_check:
                self._targets_in_check.add(target)
                self._nursery.start_soon(self._check_health, queue, target)

    def _record_cold_grant(self, service: str, decision: SlotGranted) -> None:
        """Log what tells which instances granted the slots of a flooded target."""
        self._metrics.count(COLD_SLOTS)
        target = self.queues_by_service[service].targets_by_id[decision.target]
        emit_limited(
            COLD_SLOT_GRANTED,
            service=service,
            target=decision.target,
            started_at=target.record.started_at,
            instance=decision.request.instance,
            recent=decision.cold_grants,
            suspected=target.warmup.is_suspect(trio.current_time()),
            responsible=responsible_for(
                self._membership, service, decision.request.target
            ),
            live=len(self._membership.live),
        )

    def _on_link_end(self, link: PeerLink) -> None:
        """Withdraw the queued slot requests of a peer that no reply can reach."""
        for request_id, requester in list(self._requesters_by_id.items()):
            if requester.link is link:
                self.withdraw(requester.service, request_id)

    def withdraw(self, service: str, request_id: str) -> None:
        """Remove a queued slot request, or free the slot that it was granted."""
        self._requesters_by_id.pop(request_id, None)
        now = trio.current_time()
        queue = self._queue(service)
        self._deliver(queue, queue.withdraw(request_id, now))

    def release(self, service: str, result: SlotResult) -> None:
        """Free a slot that this instance counts."""
        queue = self._queue(service)
        self._deliver(queue, queue.release(result, trio.current_time()))

    async def _check_health(self, queue: AdmissionQueue, name: str) -> None:
        """Check a target's health until it states it or is no longer suspect.

        The control port reports the remaining seconds of its warm-up.
        """
        interval = HEALTH_RETRY_INTERVAL
        try:
            while queue.is_suspect(name, trio.current_time()):
                target = self._state.usable_target(name)
                if target is None:
                    return
                checked_at = trio.current_time()
                try:
                    with trio.fail_after(HEALTH_TIMEOUT):
                        stated = await self._control.reach(target.address, target.id)
                except (ConnectionFailedError, trio.TooSlowError):
                    stated = False
                now = trio.current_time()
                if stated:
                    self._deliver(queue, queue.clear_suspicion(name, checked_at, now))
                else:
                    queue.note_failed_check(name)
                    await trio.sleep(interval)
                    interval = min(MAX_HEALTH_RETRY_INTERVAL, 2 * interval)
        finally:
            self._targets_in_check.discard(name)

    def release_instance(self, instance: str) -> None:
        """Drop the slot requests of an instance declared dead and free its slots."""
        now = trio.current_time()
        for queue in self.queues_by_service.values():
            self._deliver(queue, queue.release_instance(instance, now))

    def _handle_request(
        self, request: SlotRequest, link: PeerLink, reply: Reply
    ) -> None:
        now = trio.current_time()
        queued = QueuedRequest(
            id=request.ask_id,
            instance=link.hello.instance,
            target=request.target,
            priority=request.priority,
            soft_deadline_at=now + request.aim_left,
            deadline_at=now + request.time_left,
            data_centre=request.data_centre,
            route=request.route,
            version=request.version,
            excluded_versions=frozenset(request.excluded_versions),
            targets=frozenset(request.targets),
        )

        self._enqueue(queued, _Requester(request.service, reply, now, link))

    def _handle_return(self, message: SlotReturn, link: PeerLink, reply: Reply) -> None:
        if message.leaving:
            self._state.mark_leaving(*message.leaving)
        if message.cold:
            self._state.mark_cold(*message.cold)
        self.release(message.service, _slot_result(message))

    def _handle_withdrawal(
        self, message: SlotWithdrawal, link: PeerLink, reply: Reply
    ) -> None:
        self.withdraw(message.service, message.ask_id)


def _slot_result(message: SlotReturn) -> SlotResult:
    """Return the result that a message reports for a request with a slot."""
    return SlotResult(
        number=message.number,
        seconds=message.seconds,
        complete=message.complete,
        shed=message.shed,
        unreachable=message.unreachable,
        load=_target_load(message.load),
        pause=message.pause,
        may_have_restarted=message.may_have_restarted,
        stood_still=message.stood_still,
    )


def _target_load(figures: list[float] | None) -> TargetLoad | None:
    """Return the load that a target reported, or None if the figures are malformed."""
    try:
        running, waiting, slots, slowdown = figures or ()
        return TargetLoad(int(running), int(waiting), int(slots), float(slowdown))
    except (ValueError, TypeError, OverflowError):
        return None


class SlotClient:
    """Acquire slots from the responsible instances, local or remote."""

    def __init__(
        self,
        slot_service: SlotService,
        membership: Membership,
        state: RoutingState,
        data_centre: str,
        pauses: TargetPauses | None = None,
        metrics: Metrics | None = None,
        clock: Callable[[], float] = lease_clock,
        jitter: Callable[[], float] | None = None,
    ) -> None:
        self._clock = clock
        self._jitter = jitter
        self._metrics = metrics or Metrics()
        self._pauses = pauses or TargetPauses()
        self._slot_service = slot_service
        self._membership = membership
        self._state = state
        self._data_centre = data_centre
        self._number = 0
        self._failed_at_by_peer: dict[str, float] = {}
        self._delays_by_instance: dict[str, AnswerDelay] = {}
        # Routes differ in how long their requests take, so a refusal holds for one.
        self._refusals_by_queue_and_route: dict[tuple, _CachedRefusal] = {}

    def _next_id(self) -> str:
        self._number += 1
        return (
            f"{self._membership.own_id}/{self._membership.incarnation[:8]}"
            f"/{self._number}"
        )

    async def acquire(
        self,
        service: str,
        target: str,
        priority: int,
        soft_deadline_at: float,
        deadline_at: float,
        route: str = "",
        use: VersionUse = ANY_VERSION,
    ) -> Slot | SlotRefusal:
        """Wait for a slot at a target, or at any that ``use`` admits if it is empty.

        The caller cancels the wait at ``deadline_at``.
        """
        cache_key = (f"{service}/{target}", route, use.key)
        cached = self._refusals_by_queue_and_route.get(cache_key)
        if cached and cached.applies(priority, deadline_at, trio.current_time()):
            return self._spread(cached.refusal, deadline_at)
        queued = QueuedRequest(
            id=self._next_id(),
            instance=self._membership.own_id,
            target=target,
            priority=priority,
            soft_deadline_at=soft_deadline_at,
            deadline_at=deadline_at,
            data_centre=self._data_centre,
            route=route,
            version=use.version,
            excluded_versions=use.excluded_versions,
            targets=use.targets,
        )
        answer = await self._acquire(service, queued)
        if isinstance(answer, SlotRefusal):
            expires_at = trio.current_time() + REFUSAL_CACHE_TTL
            refusal = _CachedRefusal(answer, expires_at, priority, deadline_at)
            self._cache_refusal(cache_key, refusal)
        return answer

    def _spread(self, refusal: SlotRefusal, deadline_at: float) -> SlotRefusal:
        """Return a reused refusal with a time of its own where times are planned."""
        if self._jitter is None or not self._state.table.limits_by_capacity:
            return refusal
        longest = honoured_wait(deadline_at - trio.current_time())
        # Bounded before it is spread, as else many would be told the longest time.
        wait = min(refusal.retry_after, longest / 1.25)
        wait *= 0.75 + 0.5 * self._jitter()
        return attrs.evolve(refusal, retry_after=wait)

    def _cache_refusal(self, key: tuple, refusal: _CachedRefusal) -> None:
        if self.cached_refusal_count >= MAX_CACHED_REFUSALS:
            now = trio.current_time()
            self._refusals_by_queue_and_route = {
                known_key: known
                for known_key, known in self._refusals_by_queue_and_route.items()
                if known.expires_at > now
            }
        self._refusals_by_queue_and_route[key] = refusal

    @property
    def cached_refusal_count(self) -> int:
        """Return the number of cached refusals, some of them perhaps expired."""
        return len(self._refusals_by_queue_and_route)

    async def _acquire(self, service: str, queued: QueuedRequest) -> Slot | SlotRefusal:
        own_id = self._membership.own_id
        for _ in range(MAX_ASKED_INSTANCES):
            # The next one in the order that all instances use. If each granted slots
            # for itself instead, they would overfill the target.
            peer = responsible_for(
                self._membership, service, queued.target, self._unreachable_peers()
            )
            if peer == own_id:
                break
            try:
                return await self._acquire_from_peer(peer, service, queued)
            except PeerUnavailableError as error:
                emit(PEER_CALL_FAILED, error, message="slot-request")
            self._failed_at_by_peer[peer] = trio.current_time()
            self._record_redirection(service, queued.target, peer)
        asked_at = self._clock()
        answer = await self._slot_service.acquire(service, queued)
        return self._slot(service, answer, own_id, asked_at)

    def _slot(
        self, service: str, answer: Answer, responsible: str, asked_at: float
    ) -> Slot | SlotRefusal:
        """Return the slot that an answer grants, or the refusal.

        Neither a late answer nor a freeze of this process makes a slot look younger.
        """
        if isinstance(answer, SlotRefusal):
            return answer
        granted_at = None
        if answer.waited is not None:
            granted_at = asked_at + answer.waited
            now = self._clock()
            delay = self._delays_by_instance.setdefault(responsible, AnswerDelay())
            delay.record(asked_at, now - granted_at, now)
        return Slot(
            service,
            answer.number,
            answer.target,
            responsible,
            granted_at,
            answer.cold,
            answer.started_at,
            answer.version,
        )

    def check(self, slot: Slot, stood_still_until: float = float("-inf")) -> bool:
        """Tell whether a slot may be used now; log one that has to be given back.

        Until ``stood_still_until``, on the lease clock, this process learned nothing.
        """
        if not self._is_outdated(slot, stood_still_until):
            return True
        self._metrics.count(OUTDATED_SLOTS)
        emit_limited(
            SLOT_OUTDATED,
            service=slot.service,
            target=slot.target,
            responsible=slot.responsible,
            age=round(self._clock() - slot.granted_at, 3),
            started_at=slot.started_at,
        )
        return False

    def _is_outdated(self, slot: Slot, stood_still_until: float) -> bool:
        """Tell whether a slot no longer allows its request to be sent.

        At a cold target it is for one process and for a short time.
        """
        if slot.granted_at is None:
            return False
        if self._was_for_warm_process(slot):
            return True
        age = self._clock() - slot.granted_at
        target = self._state.targets_by_id.get(slot.target)
        if slot.cold or target is not None and self._state.is_cold(target):
            usual = self._delays_by_instance[slot.responsible].usual
            return age > COLD_GRANT_LIFETIME + usual
        # The target may have turned cold meanwhile.
        return (
            slot.granted_at < stood_still_until
            and age > COLD_GRANT_LIFETIME
            and self._state.limits_cold_targets(slot.service)
        )

    def _was_for_warm_process(self, slot: Slot) -> bool:
        """Tell whether a slot was granted for a process before the present cold one."""
        target = self._state.targets_by_id.get(slot.target)
        return (
            target is not None
            and not slot.cold
            # With an earlier record this instance lags behind the granting one.
            and target.version > slot.version
            and target.started_at != slot.started_at
            and self._state.is_cold(target)
        )

    def _unreachable_peers(self) -> Collection[str]:
        """Return the peers to which a slot request failed lately."""
        if self._failed_at_by_peer:
            earliest = trio.current_time() - PEER_RETRY_INTERVAL
            for peer, failed_at in list(self._failed_at_by_peer.items()):
                if failed_at < earliest:
                    del self._failed_at_by_peer[peer]
        return self._failed_at_by_peer.keys()

    async def _acquire_from_peer(
        self, peer: str, service: str, queued: QueuedRequest
    ) -> Slot | SlotRefusal:
        asked_at = self._clock()
        now = trio.current_time()
        request = SlotRequest(
            service=service,
            ask_id=queued.id,
            target=queued.target,
            priority=queued.priority,
            aim_left=queued.soft_deadline_at - now,
            time_left=queued.deadline_at - now,
            data_centre=queued.data_centre,
            route=queued.route,
            version=queued.version,
            excluded_versions=sorted(queued.excluded_versions),
            targets=sorted(queued.targets),
        )
        answer = await self._request_from_peer(peer, request)
        return self._slot(service, answer, peer, asked_at)

    def _record_redirection(self, service: str, target: str, responsible: str) -> None:
        self._metrics.count(REDIRECTED_SLOT_REQUESTS)
        emit_limited(
            SLOT_REQUEST_REDIRECTED,
            service=service,
            target=target,
            responsible=responsible,
        )

    def report_cold(self, target: TargetRecord, seconds: float) -> None:
        """Apply that a target is cold, also at the instance that counts its slots.

        Others may have asked this instance for its slots instead.
        """
        name = target.id if self._state.is_keyed(target.service) else ""
        responsible = responsible_for(self._membership, target.service, name)
        cold = [target.id, target.started_at, seconds]
        self._state.mark_cold(*cold)
        if responsible != self._membership.own_id:
            self._send(responsible, SlotReturn(target.service, 0, cold=cold))

    async def _request_from_peer(self, responsible: str, request: SlotRequest):
        try:
            # No timeout: the caller of acquire cancels at the request's deadline.
            return await self._membership.network.request(responsible, request, None)
        except trio.Cancelled:
            withdrawal = SlotWithdrawal(request.service, request.ask_id)
            self._send(responsible, withdrawal)
            raise

    def release(self, slot: Slot, result: SlotReturn) -> None:
        """Return a slot to the queue that counts it."""
        target = self._state.latest_records_by_target.get(slot.target)
        if target is not None:
            if self._state.has_stated_leaving(target):
                leaving = [target.id, target.started_at]
                result = attrs.evolve(result, leaving=leaving)
            now = trio.current_time()
            if pause := self._pauses.left(target.id, target.started_at, now):
                result = attrs.evolve(result, pause=pause)
        if slot.granted_at is not None and self._was_for_warm_process(slot):
            # The granting instance may not know the present process yet.
            result = attrs.evolve(result, may_have_restarted=True)
        if slot.responsible == self._membership.own_id:
            self._slot_service.release(slot.service, _slot_result(result))
        else:
            # If the message is lost, the slot is freed soon after the request's
            # deadline. Probes for it would double the replies on a quiet stream.
            self._send(slot.responsible, result, acknowledged=False)

    def _send(
        self,
        responsible: str,
        message: SlotReturn | SlotWithdrawal,
        *,
        acknowledged: bool = True,
    ) -> None:
        network = self._membership.network
        try:
            network.send(responsible, message, acknowledged=acknowledged)
        except PeerUnavailableError as error:
            # The responsible instance drops a queued request when the stream ends. It
            # frees a slot when it declares this instance dead, or soon after the
            # request's deadline.
            emit(PEER_CALL_FAILED, error, message="slot-return")
