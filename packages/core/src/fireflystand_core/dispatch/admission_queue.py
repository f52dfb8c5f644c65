"""Decide which requests wait, run or are refused at the targets of a service.

The admission queue handles load beyond the capacity of the targets: bursts of
requests, a key or an account with most of the traffic, and targets that become slow
or stop responding. Requests wait here rather than at the targets, so that urgent ones
can overtake and no request is sent that cannot end in time. Requests that can still
meet their target latency go first; late ones get the remaining capacity. A request
that cannot end before its deadline is refused at once, with the time after which
capacity is expected.
"""

from collections.abc import Callable, Iterable
from functools import partial
from heapq import nsmallest
from itertools import count

import attrs

from ..traffic import TargetRecord
from .estimates import MeanDuration, RouteDurations, StartSequence, start_delay
from .policy import AdmissionPolicy
from .returns import ReturnSchedule
from .slots import HeldSlot, TargetLoad, TargetSlots
from .turns import KindTurns, most_ahead
from .warmup import WarmupPolicy

__all__ = [
    "TARGET_GONE",
    "TARGET_PAUSES",
    "AdmissionQueue",
    "QueuedRequest",
    "SlotGranted",
    "SlotRefused",
    "SlotResult",
]

TARGET_GONE = "target is gone"  # reason of a refusal
TARGET_PAUSES = "target wants no requests now"  # reason of a refusal
NO_ROOM = "no room before the deadline"  # reason of a refusal
INITIAL_MEAN = 0.1  # seconds; replaced by the first measured durations
# A request that has to wait is queued only if its expected end leaves a margin before
# its deadline.
USABLE_TIME_SHARE = 0.8  # of the time left, within which the request must end
# A request with little time goes before those that can wait longer.
MAX_SOFT_DEADLINE_SHARE = 0.5  # of the time left when the request arrives
# Durations are skewed, so most requests take less than the mean. By the mean, requests
# that would be in time go behind those that are late.
TYPICAL_SHARE = 0.7  # of a target's mean duration
# A queued request is refused early only if few requests like it would end in time.
HOPELESS_SHARE = 0.5  # of the expected duration, which must fit before the deadline
# A recheck takes time in proportion to the queue.
MAX_RECHECKED = 16  # queued requests of one queue, ten times a second
# The slots of all targets are many, and few of them change within this time.
STARTS_LIFETIME = 0.005  # seconds
MIN_RETRY_AFTER = 0.05  # seconds
EXPIRY_GRACE = 0.5  # seconds after its deadline at which an unreturned slot is freed
# A target in another data centre is chosen only if it is expected to be this many
# times faster, because traffic between data centres is billed.
REMOTE_COST_FACTOR = 3.0
# An instance can use a connection that was idle for less than this for any request.
CONNECTION_REUSE_PERIOD = 3.0  # seconds
# A new connection takes a round trip and the target's handshake, which holds a slot.
CONNECT_SECONDS = 0.01
NO_WARMUP = WarmupPolicy()
USUAL_ADMISSION = AdmissionPolicy()


@attrs.frozen
class QueuedRequest:
    """Request a slot at ``target``, or at any target of the service if it is empty.

    ``soft_deadline_at`` is the latency target and ``deadline_at`` the deadline, both
    in seconds on the clock of the admission queue. Only targets of the program version
    ``version`` may be used, any if it is empty, none of ``excluded_versions`` and, if
    there are any, only those in ``targets``.
    """

    id: str
    instance: str
    target: str
    priority: int
    soft_deadline_at: float
    deadline_at: float
    data_centre: str = ""
    route: str = ""  # empty if unknown
    version: str = ""
    excluded_versions: frozenset[str] = frozenset()
    targets: frozenset[str] = frozenset()

    @property
    def is_selective(self) -> bool:
        """Tell whether only some targets may run the request."""
        return bool(self.version or self.excluded_versions or self.targets)

    def admits(self, record: TargetRecord) -> bool:
        """Tell whether a target may run the request, by its version."""
        return (
            self.version in ("", record.software)
            and record.software not in self.excluded_versions
            and (not self.targets or record.id in self.targets)
        )


@attrs.frozen
class SlotGranted:
    """Allow a request to be sent to a target.

    ``cold_grants`` counts the slots that the queue granted at the cold target within
    the last second, this one included; it is 0 for other targets.
    """

    request: QueuedRequest
    number: int
    target: str
    cold_grants: int = 0


@attrs.frozen
class SlotRefused:
    """Refuse a request that has not run; ``retry_after`` in seconds."""

    request: QueuedRequest
    reason: str
    retry_after: float


@attrs.frozen
class SlotResult:
    """Report how a request that held a slot ended.

    ``seconds`` is how long it ran, or a lower bound of that if not ``complete``. It
    says nothing of the target if the instance ``stood_still`` meanwhile, as if frozen.
    ``pause`` is for how many seconds the target wants nothing from the instance.
    ``may_have_restarted`` tells that no open connection to the target was left.
    """

    number: int
    seconds: float | None = None
    complete: bool = True
    shed: bool = False
    unreachable: bool = False
    load: TargetLoad | None = None
    pause: float = 0.0
    may_have_restarted: bool = False
    stood_still: bool = False

    @property
    def ran(self) -> bool:
        """Tell whether the target ran the request to its end."""
        return self.complete and self.seconds is not None

    @property
    def has_duration(self) -> bool:
        """Tell whether ``seconds`` was measured, at least as a lower bound."""
        return self.seconds is not None and not self.stood_still


Decision = SlotGranted | SlotRefused


class AdmissionQueue:
    """Own the queues and the slots of the targets of one service.

    Requests for one target wait in the queue of that target. Requests that any target
    may run wait in a separate queue, whose name is the empty string.
    """

    def __init__(
        self,
        jitter: Callable[[], float] = lambda: 0.5,
        rank: Callable[[str], int] = lambda target: 0,
        *,
        is_first_start: bool = True,
        policy: AdmissionPolicy = USUAL_ADMISSION,
    ) -> None:
        """Create an empty queue.

        ``rank`` returns the position of this queue's instance among those that may
        grant slots of a cold target. ``is_first_start`` tells that the targets start
        with this process, so that those added first cannot have restarted since.
        """
        self.policy = policy
        self._rank = rank
        self._is_first_start = is_first_start
        self.targets_by_id: dict[str, TargetSlots] = {}
        # Those that may have a free slot: a busy service has few of them, and each
        # request for any target would look at all.
        self._open_targets_by_id: dict[str, TargetSlots] = {}
        # Targets that may have restarted and whose health has to be checked.
        self.suspects: set[str] = set()
        self._has_pauses = False  # whether some target may pause for an instance
        # Whether a queued request may be one that only some targets may run.
        self._has_selective = False
        self.mean = MeanDuration(INITIAL_MEAN)
        self.route_durations = RouteDurations()
        self._queues_by_target: dict[str, dict[str, QueuedRequest]] = {}
        # Of the requests for any target, and when it was estimated.
        self._starts: tuple[float, StartSequence] | None = None
        self._returns_by_target: dict[str, ReturnSchedule] = {}
        self._changed_limits: dict[str, int] = {}  # by target, not logged yet
        self._turns_by_target: dict[str, KindTurns] = {}
        self._targets_by_slot: dict[int, TargetSlots] = {}
        self._slot_numbers = count(1)
        self._first_target_at: float | None = None
        # When an instance last used a target, the longest ago first.
        self._used_at_by_connection: dict[tuple[str, str], float] = {}
        self._jitter = jitter

    @property
    def queued_count(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queue) for queue in self._queues_by_target.values())

    @property
    def held_count(self) -> int:
        """Return the number of held slots."""
        return len(self._targets_by_slot)

    @property
    def withheld_count(self) -> int:
        """Return the number of slots that learned limits withhold."""
        limits = [t.concurrency for t in self.targets_by_id.values() if t.concurrency]
        return sum(limit.slots - limit.limit for limit in limits)

    def count_returns(self, now: float) -> int:
        """Return how many refused callers were given a time that is still to come."""
        schedules = self._returns_by_target.values()
        return sum(schedule.count(now, float("inf")) for schedule in schedules)

    def take_changed_limits(self) -> dict[str, int]:
        """Return the learned limits by target that changed since the last call."""
        changed, self._changed_limits = self._changed_limits, {}
        return {t: limit for t, limit in changed.items() if t in self.targets_by_id}

    def set_target(
        self,
        record: TargetRecord,
        now: float,
        warmup: WarmupPolicy = NO_WARMUP,
    ) -> None:
        """Add a target or apply its newer record."""
        self._starts = None
        known = self.targets_by_id.get(record.id)
        learns = self.policy.learns_concurrency
        if known is not None and known.record.started_at == record.started_at:
            known.learn_concurrency(learns, now)
            self._open_targets_by_id[record.id] = known
            return known.update(record, warmup, now)
        rank = partial(self._rank, record.id)
        slots = TargetSlots(record, warmup, now, self.mean.seconds, rank)
        slots.learn_concurrency(learns, now)
        if self._first_target_at is None:
            self._first_target_at = now
        if now > self._first_target_at or not self._is_first_start:
            self._take_over_held_slots(slots)
            slots.limit_until_verified(now)
        self.targets_by_id[record.id] = self._open_targets_by_id[record.id] = slots

    def _take_over_held_slots(self, slots: TargetSlots) -> None:
        """Count the slots that a target had before it was removed or restarted.

        Their requests may arrive at the process that there is now.
        """
        for number, former in self._targets_by_slot.items():
            if former.record.id == slots.record.id:
                slots.held_by_number[number] = former.held_by_number[number]
                self._targets_by_slot[number] = slots

    def remove_target(self, target: str) -> list[Decision]:
        """Remove a target and refuse the requests in its queue."""
        self._starts = None
        self.targets_by_id.pop(target, None)
        self._open_targets_by_id.pop(target, None)
        self._returns_by_target.pop(target, None)
        self._turns_by_target.pop(target, None)
        queue = self._queues_by_target.pop(target, {})
        return [
            SlotRefused(request, TARGET_GONE, MIN_RETRY_AFTER)
            for request in queue.values()
        ]

    def submit(self, request: QueuedRequest, now: float) -> list[Decision]:
        """Grant a slot to a request, queue the request, or refuse it."""
        if request.target and request.target not in self.targets_by_id:
            return [SlotRefused(request, "target is not known", MIN_RETRY_AFTER)]
        if wait := self._unreachable_for(request.target, now):
            return [self._refusal(request, "target cannot be reached", wait, now)]
        if not self._queues_by_target.get(request.target):
            slots = self._choose_target(request, now)
            if slots is not None:
                return [self._grant_at_once(request, slots, now)]
        self._verify_unused(request.target, now)
        left = request.deadline_at - now
        latest = now + MAX_SOFT_DEADLINE_SHARE * left
        if request.soft_deadline_at > latest:
            request = attrs.evolve(request, soft_deadline_at=latest)
        delay, duration = self._estimate(request, now)
        if duration > left or delay + duration > left * USABLE_TIME_SHARE and delay > 0:
            return [self._refusal(request, NO_ROOM, delay, now)]
        self._has_selective = self._has_selective or request.is_selective
        self._queues_by_target.setdefault(request.target, {})[request.id] = request
        return self._dispatch(request.target, now)

    def _verify_unused(self, target: str, now: float) -> None:
        """Have the health of a target checked that no request may show to be warm."""
        for slots in self._open_targets(target):
            if slots.needs_check(now):
                return self._suspect_restart(slots, now)

    def _grant_at_once(
        self, request: QueuedRequest, slots: TargetSlots, now: float
    ) -> Decision:
        """Grant a free slot to a request that nothing is queued before."""
        duration = slots.mean.seconds * self.route_durations.ratio(request.route)
        left = request.deadline_at - now
        if duration <= left:
            return self._grant(request, slots, now)
        if self.policy.estimates_by_target and slots.may_probe(left, now):
            return self._grant_probe(request, slots, now)
        return self._refusal(request, NO_ROOM, 0.0, now)

    def _grant_probe(
        self, request: QueuedRequest, slots: TargetSlots, now: float
    ) -> SlotGranted:
        """Grant a slot of an idle target to measure whether it is still slow."""
        granted = self._grant(request, slots, now)
        slots.held_by_number[granted.number].is_probe = True
        return granted

    def _estimate(self, request: QueuedRequest, now: float) -> tuple[float, float]:
        """Return the expected start delay and duration of a request, in seconds."""
        targets = self._candidates_for(request)
        if not targets:
            return float("inf"), self.mean.seconds
        if wait := self._pause_left_for(request, now):
            return wait, self.mean.seconds
        targets = [t for t in targets if not t.pause_left_for(request.instance, now)]
        if self.policy.estimates_by_target:
            return self._estimate_by_target(request, targets, now)
        mean = sum(target.mean.seconds for target in targets) / len(targets)
        queue = self._queues_by_target.get(request.target, {})
        ahead = [mean] * self._count_ahead(request, queue.values(), now)
        running = [s for target in targets for s in target.remaining_durations(now)]
        free = sum(target.free_slots(now) for target in targets)
        pause = min(target.pause_left(now) for target in targets)
        delay = start_delay(running, free, ahead, mean) + pause
        return delay, mean * self.route_durations.ratio(request.route)

    def _estimate_by_target(
        self, request: QueuedRequest, targets: list[TargetSlots], now: float
    ) -> tuple[float, float]:
        """Return start delay and duration at the target that is expected to run it."""
        urgency = self._urgency(now, request.target)
        queue = self._queues_by_target.get(request.target, {})
        places = [_Place.of(other, urgency) for other in queue.values()]
        ahead = self._places_ahead(_Place.of(request, urgency), places)
        ratio = self.route_durations.ratio(request.route)
        age, starts = self._recent_starts(request.target, targets, now)
        if starts:
            delay, duration = starts.start_after(ahead)
            if delay > age and self.policy.plans_returns:
                promised = self._count_promised(request.target, delay - age, now)
                delay, duration = starts.start_after(ahead + promised)
            return max(0.0, delay - age), duration * ratio
        return self._estimate_without_slots(targets, ahead, ratio, now)

    def _estimate_without_slots(
        self, targets: list[TargetSlots], ahead: int, ratio: float, now: float
    ) -> tuple[float, float]:
        duration = min(target.mean.seconds for target in targets)
        pause = min(target.pause_left(now) for target in targets)
        return pause + duration * (ahead + 1), duration * ratio

    def _recent_starts(
        self, target: str, targets: list[TargetSlots], now: float
    ) -> tuple[float, StartSequence]:
        """Return when requests can start, and for how long that has been known."""
        if target or self._must_scan:
            return 0.0, _starts_at(targets, now)
        if self._starts is None or now - self._starts[0] >= STARTS_LIFETIME:
            self._starts = now, _starts_at(targets, now)
        return now - self._starts[0], self._starts[1]

    def _places_ahead(self, own: "_Place", places: Iterable["_Place"]) -> int:
        """Count the queued requests that may start before one at a place."""
        priorities = [place.priority for place in places if own.may_be_passed_by(place)]
        ahead = len(priorities)
        if self.policy.bounds_passing_over and ahead:
            return most_ahead(priorities.count(own.priority), ahead)
        return ahead

    def _count_ahead(
        self, request: QueuedRequest, queued: Iterable[QueuedRequest], now: float
    ) -> int:
        """Count the queued requests that may start before a request."""
        urgency = self._urgency(now, request.target)
        own = _Place.of(request, urgency)
        return sum(own.may_be_passed_by(_Place.of(o, urgency)) for o in queued)

    def _pause_left_for(self, request: QueuedRequest, now: float) -> float:
        """Return the seconds for which all targets pause for the request's instance."""
        if not self._has_pauses:
            return 0.0
        targets = self._candidates_for(request)
        return min(
            (t.pause_left_for(request.instance, now) for t in targets), default=0
        )

    def _unreachable_for(self, target: str, now: float) -> float:
        return self.targets_by_id[target].unreachable_for(now) if target else 0.0

    def _candidates(self, target: str) -> list[TargetSlots]:
        if target:
            return [self.targets_by_id[target]]
        return [t for t in self.targets_by_id.values() if not t.record.leaving]

    def _candidates_for(self, request: QueuedRequest) -> list[TargetSlots]:
        targets = self._candidates(request.target)
        if request.is_selective:
            return [t for t in targets if request.admits(t.record)]
        return targets

    def _refusal(
        self, request: QueuedRequest, reason: str, delay: float, now: float
    ) -> SlotRefused:
        # Without jitter all refused callers would retry at the same time and meet
        # the same queue again.
        if self.policy.plans_returns:
            wait = self._plan_return(request, delay, now)
            return SlotRefused(request, reason, wait)
        wait = delay if delay != float("inf") else request.deadline_at - now
        wait = max(MIN_RETRY_AFTER, wait) * (0.75 + 0.5 * self._jitter())
        return SlotRefused(request, reason, wait)

    def _plan_return(self, request: QueuedRequest, delay: float, now: float) -> float:
        """Return the seconds after which a refused request's caller comes back."""
        schedule = self._returns_by_target.setdefault(request.target, ReturnSchedule())
        targets = self._candidates(request.target)
        rate = sum(min(t.limit, t.record.slots) / t.mean.seconds for t in targets)
        return schedule.promise(
            _kind(request),
            now,
            delay=delay,
            gap=1 / rate if rate else 0.0,
            left=request.deadline_at - now,
            fraction=self._jitter(),
        )

    def _count_promised(self, target: str, delay: float, now: float) -> int:
        """Count the refused callers that come back before a request can start."""
        schedule = self._returns_by_target.get(target)
        return schedule.count(now, now + delay) if schedule else 0

    def _dispatch(self, target: str, now: float) -> list[Decision]:
        """Grant free slots to the requests of a queue, the most urgent first."""
        queue = self._queues_by_target.get(target)
        decisions: list[Decision] = []
        if not queue:
            return decisions
        # Hundreds of requests wait for the same few versions; no slot is freed here.
        may_fit: set[tuple] = set()
        if self._must_scan:
            may_fit = {self._selection(request) for request in queue.values()}
        for request in self._by_urgency(queue, target, now):
            if self._must_scan and self._selection(request) not in may_fit:
                continue
            slots = self._choose_target(request, now)
            if slots is None:
                may_fit.discard(self._selection(request))
                if not may_fit or not self._must_scan:
                    break
                continue
            del queue[request.id]
            if self._is_too_late(request, slots.mean, now):
                reason = "no time left for the work"
                decisions.append(SlotRefused(request, reason, MIN_RETRY_AFTER))
            else:
                if self.policy.bounds_passing_over:
                    waiting = map(_priority, queue.values())
                    self._turns(target).note_grant(request.priority, waiting)
                decisions.append(self._grant(request, slots, now))
        return decisions

    def _selection(self, request: QueuedRequest) -> tuple:
        """Return what decides which targets may run a request at a moment."""
        instance = request.instance if self._has_pauses else ""
        versions = request.version, request.excluded_versions, request.targets
        return *versions, instance

    def _by_urgency(
        self, queue: dict[str, QueuedRequest], target: str, now: float
    ) -> Iterable[QueuedRequest]:
        """Yield the requests of a queue while a target has a free slot."""
        urgency = self._urgency(now, target)
        if self._must_scan:
            if self.policy.bounds_passing_over:
                yield from self._each_by_turns(queue, target, now)
            elif self._has_free_slot(target, now):
                yield from sorted(queue.values(), key=urgency)
            return
        # Mostly one slot is free, so the others need not be sorted.
        while queue and self._has_free_slot(target, now):
            if self.policy.bounds_passing_over:
                yield self._turns(target).choose(queue.values(), _priority, urgency)
            else:
                yield min(queue.values(), key=urgency)

    def _each_by_turns(
        self, queue: dict[str, QueuedRequest], target: str, now: float
    ) -> Iterable[QueuedRequest]:
        """Yield each request once while a target has a free slot, due kinds first.

        Some of them may be of instances for which the free targets pause.
        """
        left = sorted(queue.values(), key=self._urgency(now, target))
        turns = self._turns(target)
        while left and self._has_free_slot(target, now):
            due = turns.due_kinds()
            first = 0
            if due:
                first = next((i for i, r in enumerate(left) if r.priority in due), 0)
            yield left.pop(first)

    def _turns(self, target: str) -> KindTurns:
        """Return the turns of the kinds that wait in one queue."""
        return self._turns_by_target.setdefault(target, KindTurns())

    @property
    def _must_scan(self) -> bool:
        """Tell whether a request may be stuck while one behind it has a target."""
        return self._has_pauses or self._has_selective

    def _has_free_slot(self, target: str, now: float) -> bool:
        return any(slots.free_slots(now) > 0 for slots in self._open_targets(target))

    def _open_targets(self, target: str) -> list[TargetSlots]:
        """Return the targets among which a free slot may be found."""
        if target:
            return [self.targets_by_id[target]]
        return list(self._open_targets_by_id.values())

    def _is_too_late(
        self, request: QueuedRequest, mean: MeanDuration, now: float
    ) -> bool:
        """Tell whether a request that starts now can hardly end before its deadline."""
        duration = mean.seconds * self.route_durations.ratio(request.route)
        return now + duration / 2 > request.deadline_at

    def _mean_of(self, target: str) -> MeanDuration:
        """Return the mean duration by which the requests of a queue are judged."""
        if target and self.policy.estimates_by_target:
            return self.targets_by_id[target].mean
        return self.mean

    def _urgency(self, now: float, target: str) -> Callable[[QueuedRequest], tuple]:
        """Return a sort key: can meet its soft deadline, priority, soft deadline."""
        ratio = self.route_durations.ratio
        mean = self._mean_of(target).seconds
        if target and self.policy.estimates_by_target:
            mean *= TYPICAL_SHARE

        def key(request: QueuedRequest) -> tuple:
            earliest_end = now + mean * ratio(request.route)
            return (
                request.soft_deadline_at < earliest_end,
                request.priority,
                request.soft_deadline_at,
            )

        return key

    def _choose_target(self, request: QueuedRequest, now: float) -> TargetSlots | None:
        free = [
            target
            for target in self._open_targets(request.target)
            if target.free_slots(now) > 0
            and not target.pause_left_for(request.instance, now)
            and request.admits(target.record)
        ]
        if not free:
            return None

        def cost(target: TargetSlots) -> float:
            duration = target.expected_duration(now)
            if not self._is_connected(request.instance, target.record.id, now):
                duration += CONNECT_SECONDS
            local = target.record.data_centre == request.data_centre
            return duration * (1.0 if local else REMOTE_COST_FACTOR)

        return min(free, key=cost)

    def _is_connected(self, instance: str, target: str, now: float) -> bool:
        """Tell whether an instance has an idle connection to a target, presumably."""
        used_at = self._used_at_by_connection.get((instance, target))
        return used_at is not None and now - used_at < CONNECTION_REUSE_PERIOD

    def _note_use(self, instance: str, target: str, now: float) -> None:
        self._used_at_by_connection.pop((instance, target), None)
        self._used_at_by_connection[instance, target] = now

    def _warmup_wait(self, target: str, now: float) -> float:
        """Return for how long all targets of a queue are limited, in seconds."""
        targets = self._candidates(target)
        return min((t.pause_left(now) for t in targets), default=0.0)

    def _drop_ended_pauses(self, now: float) -> None:
        for slots in self.targets_by_id.values():
            slots.drop_ended_pauses(now)
        self._has_pauses = any(t.has_pauses for t in self.targets_by_id.values())

    def _drop_unused_connections(self, now: float) -> None:
        oldest = now - CONNECTION_REUSE_PERIOD
        while self._used_at_by_connection:
            connection = next(iter(self._used_at_by_connection))
            if self._used_at_by_connection[connection] >= oldest:
                break
            del self._used_at_by_connection[connection]

    def _grant(
        self, request: QueuedRequest, target: TargetSlots, now: float
    ) -> SlotGranted:
        if target.needs_check(now):
            self._suspect_restart(target, now)
        target.used_at = now
        slot = HeldSlot(
            number=next(self._slot_numbers),
            request_id=request.id,
            target=target.record.id,
            instance=request.instance,
            since=now,
            expires_at=request.deadline_at + EXPIRY_GRACE,
            route=request.route,
        )
        target.occupy(slot, now)
        if target.is_full:
            self._open_targets_by_id.pop(slot.target, None)
        self._targets_by_slot[slot.number] = target
        cold_grants = target.count_cold_grants(now)
        return SlotGranted(request, slot.number, slot.target, cold_grants)

    def release(self, result: SlotResult, now: float) -> list[Decision]:
        """Free a slot and update the estimates of its target from the result."""
        target = self._targets_by_slot.pop(result.number, None)
        if target is None:
            return []
        slot = self._free(target, result.number)
        if result.ran:
            target.count_arrival(slot, now)
            target.note_response()
            target.used_at = now
            self._note_use(slot.instance, slot.target, now)
        if result.has_duration:
            self._record_duration(target, slot, result, now)
            self._learn_concurrency(target, slot, result, now)
        if result.load is not None:
            target.record_load(result.load, now)
        if result.shed and self.policy.tolerates_shedding:
            target.pause_after_sheds_in_row(now)
        elif result.shed:
            target.pause_after_shed(now)
        if result.unreachable or result.may_have_restarted:
            self._suspect_restart(target, now)
        decisions: list[Decision] = []
        if result.pause > 0:
            target.pause_for(slot.instance, now + result.pause)
            self._has_pauses = True
            decisions = self._refuse_paused(target.record.id, slot.instance, now)
        if result.unreachable:
            target.pause_as_unreachable(now)
            return decisions + self._refuse_queue(target, now)
        return decisions + self._dispatch_freed(target, now)

    def _learn_concurrency(
        self, target: TargetSlots, slot: HeldSlot, result: SlotResult, now: float
    ) -> None:
        """Add a response, unless it is of a route of shorter work or of a cold target.

        A request that was not complete took at least so long.
        """
        if target.concurrency is None or target.is_cold(now):
            return
        before = target.concurrency.limit
        if self.route_durations.ratio(slot.route) == 1.0:
            target.concurrency.record(
                result.seconds, slot.level, slot.since, now, complete=result.complete
            )
        else:
            # With shorter work alone, nothing else would end a limit learned before.
            target.concurrency.raise_unused(now)
        if target.concurrency.limit != before:
            self._changed_limits[slot.target] = target.concurrency.limit

    def _suspect_restart(self, target: TargetSlots, now: float) -> None:
        """Limit a target that may have restarted to its warm-up rate."""
        if self.targets_by_id.get(target.record.id) is not target:
            return
        target.warmup.suspect_restart(now)
        if target.warmup.is_suspect(now):
            self.suspects.add(target.record.id)

    def is_suspect(self, target: str, now: float) -> bool:
        """Tell whether a target is limited until its health has been checked."""
        slots = self.targets_by_id.get(target)
        return slots is not None and slots.warmup.is_suspect(now)

    def clear_suspicion(
        self, target: str, checked_at: float, now: float
    ) -> list[Decision]:
        """Apply that a target passed the health check that began at ``checked_at``.

        For how long it stays cold is part of its record.
        """
        slots = self.targets_by_id.get(target)
        if slots is None:
            return []
        slots.clear_suspicion(checked_at)
        return self._dispatch_freed(slots, now)

    def note_failed_check(self, target: str) -> None:
        """Apply that a health check of a suspected target gave no answer."""
        slots = self.targets_by_id.get(target)
        if slots is not None:
            slots.warmup.note_failed_check()

    def _free(self, target: TargetSlots, number: int) -> HeldSlot:
        """Take back a slot of a target."""
        if self.targets_by_id.get(target.record.id) is target:
            self._open_targets_by_id[target.record.id] = target
        return target.release(number)

    def _refuse_paused(self, target: str, instance: str, now: float) -> list[Decision]:
        """Refuse the requests of an instance that no target takes in their time."""
        decisions: list[Decision] = []
        for name in (target, ""):
            queue = self._queues_by_target.get(name, {})
            for request in [r for r in queue.values() if r.instance == instance]:
                wait = self._pause_left_for(request, now)
                if now + wait >= request.deadline_at:
                    del queue[request.id]
                    decisions.append(self._refusal(request, TARGET_PAUSES, wait, now))
        return decisions

    def _record_duration(
        self, target: TargetSlots, slot: HeldSlot, result: SlotResult, now: float
    ) -> None:
        """Update the mean durations; an incomplete request took at least so long."""
        if result.complete:
            target.note_duration(result.seconds, now)
        ratio = result.seconds / target.mean.seconds
        if result.complete or ratio > self.route_durations.ratio(slot.route):
            self.route_durations.add(slot.route, ratio)
        if result.complete and slot.is_probe:
            target.record_probe(result.seconds)
        if result.complete or result.seconds > target.mean.seconds:
            slowdown = result.load.slowdown if result.load is not None else 1.0
            target.record_duration(result.seconds, slowdown)
            self.mean.add(result.seconds)

    def _refuse_queue(self, target: TargetSlots, now: float) -> list[Decision]:
        """Refuse all requests in the queue of an unreachable target."""
        wait = target.unreachable_for(now)
        queue = self._queues_by_target.pop(target.record.id, {})
        reason = "target cannot be reached"
        return [self._refusal(request, reason, wait, now) for request in queue.values()]

    def _dispatch_freed(self, target: TargetSlots, now: float) -> list[Decision]:
        return [*self._dispatch(target.record.id, now), *self._dispatch("", now)]

    def withdraw(self, request_id: str, now: float) -> list[Decision]:
        """Drop a request whose caller has disconnected and free any slot it holds."""
        for queue in self._queues_by_target.values():
            if queue.pop(request_id, None) is not None:
                return []
        for number, target in self._targets_by_slot.items():
            if target.held_by_number[number].request_id == request_id:
                return self.release(SlotResult(number), now)
        return []

    def release_instance(self, instance: str, now: float) -> list[Decision]:
        """Drop the requests of an instance declared dead and free their slots.

        Targets end the work of these requests when the instance's connection closes.
        """
        for queue in self._queues_by_target.values():
            for request in [r for r in queue.values() if r.instance == instance]:
                del queue[request.id]
        lost = [
            (number, target)
            for number, target in self._targets_by_slot.items()
            if target.held_by_number[number].instance == instance
        ]
        return self._free_slots(lost, now)

    def _free_slots(
        self, slots: list[tuple[int, TargetSlots]], now: float
    ) -> list[Decision]:
        decisions: list[Decision] = []
        for number, target in slots:
            del self._targets_by_slot[number]
            self._free(target, number)
            decisions += self._dispatch_freed(target, now)
        return decisions

    def tick(self, now: float) -> list[Decision]:
        """Free expired slots and refuse requests that cannot end in time any more."""
        expired = [
            (number, target)
            for number, target in self._targets_by_slot.items()
            if target.held_by_number[number].expires_at <= now
        ]
        self._drop_unused_connections(now)
        for schedule in self._returns_by_target.values():
            schedule.drop_past(now)
        if self._has_selective:
            self._has_selective = any(
                request.is_selective
                for queue in self._queues_by_target.values()
                for request in queue.values()
            )
        if self._has_pauses:
            self._drop_ended_pauses(now)
        decisions = self._free_slots(expired, now)
        for target, queue in list(self._queues_by_target.items()):
            if not queue:
                continue
            warm_at = now + self._warmup_wait(target, now)
            for request in list(queue.values()):
                if self._is_too_late(request, self._mean_of(target), now):
                    del queue[request.id]
                    reason = "no slot before the deadline"
                    decisions.append(SlotRefused(request, reason, MIN_RETRY_AFTER))
                elif warm_at > request.deadline_at:
                    del queue[request.id]
                    decisions.append(
                        self._refusal(request, NO_ROOM, warm_at - now, now)
                    )
            decisions += self._dispatch(target, now)
            if self.policy.estimates_by_target:
                decisions += self._refuse_hopeless(target, queue, now)
            if queue:
                self._verify_unused(target, now)
        return decisions

    def _refuse_hopeless(
        self, target: str, queue: dict[str, QueuedRequest], now: float
    ) -> list[Decision]:
        """Refuse queued requests that can no longer be expected to end in time."""
        decisions: list[Decision] = []
        recheck = _Recheck(self._candidates(target))
        doubtful = self._doubtful(queue, recheck, now)
        if not doubtful:
            return decisions
        urgency = self._urgency(now, target)
        for name, request in queue.items():
            recheck.places_by_id[name] = _Place.of(request, urgency)
        for request in nsmallest(MAX_RECHECKED, doubtful, key=_deadline):
            delay, duration = self._estimate_queued(request, recheck, now)
            if delay + HOPELESS_SHARE * duration > request.deadline_at - now:
                del queue[request.id], recheck.places_by_id[request.id]
                decisions.append(self._refusal(request, NO_ROOM, delay, now))
        return decisions

    def _doubtful(
        self, queue: dict[str, QueuedRequest], recheck: "_Recheck", now: float
    ) -> list[QueuedRequest]:
        """Return the queued requests that might not end in time in the last place."""
        if self._has_pauses:
            return list(queue.values())
        targets, starts = recheck.usable("", now)
        if not starts:
            return list(queue.values())
        delay, _ = starts.start_after(len(queue))
        longest = max(target.mean.seconds for target in targets)
        latest = now + delay + HOPELESS_SHARE * longest
        return [r for r in queue.values() if r.deadline_at < latest]

    def _estimate_queued(
        self, request: QueuedRequest, recheck: "_Recheck", now: float
    ) -> tuple[float, float]:
        """Return the expected start delay and duration of a queued request.

        Times promised to refused callers do not count, as the request came first.
        """
        if not recheck.targets:
            return float("inf"), self.mean.seconds
        if wait := self._pause_left_for(request, now):
            return wait, self.mean.seconds
        own = recheck.places_by_id[request.id]
        others = [p for p in recheck.places_by_id.values() if p is not own]
        ahead = self._places_ahead(own, others)
        ratio = self.route_durations.ratio(request.route)
        instance = request.instance if self._has_pauses else ""
        targets, starts = recheck.usable(instance, now)
        if not starts:
            return self._estimate_without_slots(targets, ahead, ratio, now)
        delay, duration = starts.start_after(ahead)
        return delay, duration * ratio


@attrs.define(eq=False)  # not frozen, as many are made and that takes longer
class _Place:
    """Hold what decides whether a queued request goes before another."""

    priority: int
    deadline_at: float
    urgency: tuple

    @classmethod
    def of(cls, request: QueuedRequest, urgency: Callable) -> "_Place":
        return cls(request.priority, request.deadline_at, urgency(request))

    def may_be_passed_by(self, other: "_Place") -> bool:
        """Tell whether another request may start first.

        One with a later deadline does only while it is at least as urgent.
        """
        return other.priority <= self.priority and (
            other.deadline_at <= self.deadline_at or other.urgency <= self.urgency
        )


@attrs.define
class _Recheck:
    """Hold what the rechecked requests of one queue have in common."""

    targets: list[TargetSlots]
    places_by_id: dict[str, _Place] = attrs.field(factory=dict)
    _usable_by_instance: dict[str, tuple] = attrs.field(factory=dict)

    def usable(self, instance: str, now: float) -> tuple:
        """Return the targets that do not pause for an instance, and their starts."""
        if instance not in self._usable_by_instance:
            targets = [t for t in self.targets if not t.pause_left_for(instance, now)]
            self._usable_by_instance[instance] = targets, _starts_at(targets, now)
        return self._usable_by_instance[instance]


def _starts_at(targets: list[TargetSlots], now: float) -> StartSequence:
    return StartSequence(
        start for target in targets for start in target.expected_starts(now)
    )


def _deadline(request: QueuedRequest) -> float:
    return request.deadline_at


def _kind(request: QueuedRequest) -> tuple[int, str]:
    return request.priority, request.route


def _priority(request: QueuedRequest) -> int:
    return request.priority
