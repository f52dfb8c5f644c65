"""Model callers, targets and one admission queue in simulated time."""

import heapq
from collections.abc import Callable
from itertools import count
from random import Random

import attrs

from fireflystand_core.admission import SharedRetryBudget
from fireflystand_core.dispatch import (
    ADAPTIVE_ADMISSION,
    AdmissionPolicy,
    AdmissionQueue,
    QueuedRequest,
    SlotGranted,
    SlotResult,
    TargetLoad,
)
from fireflystand_core.traffic import TargetRecord

__all__ = [
    "CallerClass",
    "ClassResult",
    "Load",
    "ModelTarget",
    "play",
    "policy_by_name",
]

CALLER_DELAY = 0.008  # seconds one way between callers and instances
TICK = 0.1  # seconds between two looks of the admission queue at what waits
WAY = 0.003  # seconds between an admission queue's decision and the target, and back
NOISE_INTERVAL = 0.4  # seconds for which a machine's neighbours stay quiet or loud
LOUD_FACTOR = 3.0  # by which loud neighbours lengthen work
# A request beyond what a target runs well delays the others, so that the target ends
# fewer requests the more it runs.
CROWDING_EXPONENT = 2.0
LATE_REFUSAL = 0.1  # seconds after which a refusal is not at once
# What the router does with shed requests, as in its dispatch flow.
MAX_ATTEMPTS = 3
RETRY_DELAY = 0.02  # seconds
SHED_RETRY_AFTER = 0.1  # seconds
RETRY_SHARE = 0.1  # of the requests, half of what the operators allow
RETRY_BURST = 43.0  # retries in 10 s, a half of what the operators allow one service


@attrs.frozen
class CallerClass:
    """Describe one kind of request; times in seconds, ``rate`` in requests a second."""

    name: str
    rate: float
    work: float
    aim: float
    deadline: float
    timeout: float
    priority: int = 1
    worth: float = 1.0
    late_worth: float = 0.1
    retries: int = 1
    spread: float = 0.5
    patient: bool = True  # whether Retry-After is honoured
    target: str = ""  # empty if any target may run it
    since: float = 0.0
    until: float = float("inf")
    route: str = ""  # the name if it is empty


@attrs.frozen
class ModelTarget:
    """Describe a target; for a part ``noise`` of the time work takes thrice as long.

    Work takes longer with more than ``runs_well`` requests at once. ``slow_spans`` are
    times of slower work: begin, end and factor. A part ``shed`` of the requests is
    shed, and any that find ``queue_limit`` others waiting.
    """

    id: str
    slots: int
    speed: float = 1.0
    noise: float = 0.2
    runs_well: float = float("inf")
    slow_spans: tuple[tuple[float, float, float], ...] = ()
    shed: float = 0.0
    queue_limit: float = float("inf")

    def slowdown(self, is_loud: bool, running: int, now: float) -> float:
        """Return how long work that starts now takes, relative to the usual."""
        factor = (LOUD_FACTOR if is_loud else 1.0) / self.speed
        factor *= max(1.0, running / self.runs_well) ** CROWDING_EXPONENT
        for since, until, span_factor in self.slow_spans:
            if since <= now < until:
                factor *= span_factor
        return factor


@attrs.frozen
class Load:
    """Describe targets, callers and the length of one play in seconds."""

    targets: tuple[ModelTarget, ...]
    classes: tuple[CallerClass, ...]
    seconds: float = 30.0
    reports_load: bool = False  # whether responses tell how slow their target is


@attrs.define
class ClassResult:
    """Count how the requests of one class ended."""

    asked: int = 0
    in_aim: int = 0
    late: int = 0
    failed: int = 0
    refused: int = 0
    refused_late: int = 0  # of the refused, those that had waited for it
    resent: int = 0  # after they were shed
    held: float = 0.0  # seconds that refused requests were kept waiting
    credit: float = 0.0
    owed: float = 0.0

    @property
    def served(self) -> float:
        """Return the share of the requests that got an answer."""
        return (self.in_aim + self.late) / max(1, self.asked)

    @property
    def earned(self) -> float:
        """Return the earned share of the credit."""
        return self.credit / self.owed if self.owed else 0.0


@attrs.define(eq=False)
class _Request:
    caller: CallerClass
    first_at: float
    tries: int = 0
    asked_at: float = 0.0
    started_at: float = 0.0
    attempts: int = 0


class _Play:
    """Own the events of one play."""

    def __init__(self, load: Load, seed: int, policy: AdmissionPolicy) -> None:
        self.results_by_class = {item.name: ClassResult() for item in load.classes}
        self._load = load
        self._random = Random(seed)
        self._admission_queue = AdmissionQueue(Random(seed + 1).random, policy=policy)
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._numbers = count()
        self._requests_by_id: dict[str, _Request] = {}
        self._loud_by_target: dict[str, bool] = {}
        self._retry_budget = SharedRetryBudget(RETRY_SHARE, RETRY_BURST, 0.5, 0.0)
        self._running_by_target = dict.fromkeys((t.id for t in load.targets), 0)
        self._queues_by_target: dict[str, list] = {t.id: [] for t in load.targets}
        self._targets_by_id = {target.id: target for target in load.targets}
        for target in load.targets:
            record = TargetRecord(
                id=target.id,
                service="service",
                address="10.0.0.1:1",
                data_centre="",
                slots=target.slots,
            )
            self._admission_queue.set_target(record, 0.0)

    def run(self) -> dict[str, ClassResult]:
        for item in self._load.classes:
            if item.rate > 0:
                self._at(item.since + self._gap(item), self._arrive, item)
        self._at(0.0, self._change_noise)
        self._at(0.0, self._tick)
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return self.results_by_class

    def _at(self, time: float, action: Callable, *arguments) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), action, arguments))

    def _gap(self, item: CallerClass) -> float:
        return self._random.expovariate(item.rate)

    def _change_noise(self, now: float) -> None:
        for target in self._load.targets:
            self._loud_by_target[target.id] = self._random.random() < target.noise
        if now < self._load.seconds:
            self._at(now + NOISE_INTERVAL, self._change_noise)

    def _tick(self, now: float) -> None:
        self._deliver(self._admission_queue.tick(now), now)
        if now < self._load.seconds + 5.0:
            self._at(now + TICK, self._tick)

    def _arrive(self, now: float, item: CallerClass) -> None:
        if now < min(self._load.seconds, item.until):
            self._at(now + self._gap(item), self._arrive, item)
            result = self.results_by_class[item.name]
            result.asked += 1
            result.owed += item.worth
            self._at(now + CALLER_DELAY, self._ask, _Request(item, now))

    def _ask(self, now: float, request: _Request) -> None:
        request.tries += 1
        request.attempts = 0
        request.asked_at = now
        self._retry_budget.note_request(1.0, now)
        self._submit(now, request)

    def _submit(self, now: float, request: _Request) -> None:
        item = request.caller
        end = min(request.first_at + item.deadline, request.asked_at + item.timeout)
        queued = QueuedRequest(
            id=str(next(self._numbers)),
            instance="a",
            target=item.target,
            priority=item.priority,
            soft_deadline_at=request.first_at + item.aim - CALLER_DELAY,
            deadline_at=end - CALLER_DELAY,
            route=item.route or item.name,
        )
        self._requests_by_id[queued.id] = request
        self._deliver(self._admission_queue.submit(queued, now), now)

    def _deliver(self, decisions, now: float) -> None:
        for decision in decisions:
            request = self._requests_by_id.pop(decision.request.id)
            if isinstance(decision, SlotGranted):
                self._start(decision, request, now)
            else:
                self._refuse(request, decision.retry_after, now)

    def _start(self, granted: SlotGranted, request: _Request, now: float) -> None:
        request.started_at = now
        self._at(now + WAY, self._reach_target, granted, request)

    def _reach_target(
        self, now: float, granted: SlotGranted, request: _Request
    ) -> None:
        target = self._targets_by_id[granted.target]
        queue = self._queues_by_target[target.id]
        if target.shed and self._random.random() < target.shed:
            self._at(now + WAY, self._shed, granted.number, request)
        elif self._running_by_target[target.id] < target.slots:
            self._run(now, granted, request)
        elif len(queue) >= target.queue_limit:
            self._at(now + WAY, self._shed, granted.number, request)
        else:
            queue.append((granted, request))

    def _shed(self, now: float, number: int, request: _Request) -> None:
        """Send a shed request again as the router does, or refuse it."""
        result = SlotResult(number, shed=True)
        self._deliver(self._admission_queue.release(result, now), now)
        request.attempts += 1
        if request.attempts < MAX_ATTEMPTS and self._retry_budget.spend(1.0, now):
            self.results_by_class[request.caller.name].resent += 1
            self._at(now + RETRY_DELAY, self._submit, request)
        else:
            wait = SHED_RETRY_AFTER * (0.5 + self._random.random())
            self._refuse(request, wait, now)

    def _run(self, now: float, granted: SlotGranted, request: _Request) -> None:
        target = self._targets_by_id[granted.target]
        self._running_by_target[target.id] += 1
        item = request.caller
        seconds = item.work * self._random.lognormvariate(
            -(item.spread**2) / 2, item.spread
        )
        seconds *= self._slowdown(target, now)
        end = max(now, min(now + seconds, granted.request.deadline_at))
        self._at(end, self._end_run, granted, request, end == now + seconds)

    def _slowdown(self, target: ModelTarget, now: float) -> float:
        running = self._running_by_target[target.id]
        return target.slowdown(self._loud_by_target[target.id], running, now)

    def _end_run(
        self, now: float, granted: SlotGranted, request: _Request, done: bool
    ) -> None:
        target = self._targets_by_id[granted.target]
        load = None
        if self._load.reports_load:
            running = self._running_by_target[target.id]
            waiting = len(self._queues_by_target[target.id])
            slowdown = self._slowdown(target, now)
            load = TargetLoad(running, waiting, target.slots, slowdown)
        self._running_by_target[target.id] -= 1
        slot_result = SlotResult(granted.number, complete=done, load=load)
        self._at(now + WAY, self._finish, slot_result, request)
        queue = self._queues_by_target[granted.target]
        if queue:
            self._run(now, *queue.pop(0))

    def _finish(self, now: float, given_back: SlotResult, request: _Request) -> None:
        result = self.results_by_class[request.caller.name]
        item = request.caller
        if not given_back.complete:
            result.failed += 1
        elif now + CALLER_DELAY <= request.first_at + item.aim:
            result.in_aim += 1
            result.credit += item.worth
        else:
            result.late += 1
            result.credit += item.late_worth
        given_back = attrs.evolve(given_back, seconds=now - request.started_at)
        self._deliver(self._admission_queue.release(given_back, now), now)

    def _refuse(self, request: _Request, retry_after: float, now: float) -> None:
        item = request.caller
        result = self.results_by_class[item.name]
        result.held += now - request.asked_at
        left = request.first_at + item.deadline - now - 2 * CALLER_DELAY
        wait = min(retry_after, left / 3) if item.patient else 0.0
        if request.tries > item.retries or left <= 2 * CALLER_DELAY:
            result.refused += 1
            result.refused_late += now - request.asked_at > LATE_REFUSAL
        else:
            self._at(now + 2 * CALLER_DELAY + wait, self._ask, request)


def policy_by_name(name: str) -> AdmissionPolicy:
    """Return the usual policy, the adaptive one, or one with a single decision."""
    if name == "adaptive":
        return ADAPTIVE_ADMISSION
    names = [part for part in name.split("+") if part]
    return AdmissionPolicy(**dict.fromkeys(names, True))


def play(
    load: Load, seed: int = 1, policy: AdmissionPolicy | None = None
) -> dict[str, ClassResult]:
    """Play a load against an admission queue and return the results by class."""
    return _Play(load, seed, policy or AdmissionPolicy()).run()
