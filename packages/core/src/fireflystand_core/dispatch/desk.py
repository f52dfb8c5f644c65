"""Decide which requests wait, run or are turned away at the targets of a service.

The desk answers load beyond what the targets take: a burst of callers, a key or an
account with most of the traffic, targets that turn slow or silent. Requests wait
here, not at the targets, so that urgent ones overtake and none is sent that cannot
end in time. Requests that can still meet their target latency go first, late ones
take what is left. A request that cannot end before its deadline is refused at once,
with the time at which there will be room.
"""

from collections.abc import Callable
from itertools import count

import attrs

from ..traffic import TargetRecord
from .estimates import MeanDuration, start_delay
from .slots import HeldSlot, TargetLoad, TargetSlots

__all__ = ["Desk", "SlotAsk", "SlotGranted", "SlotRefused", "SlotResult"]

INITIAL_MEAN = 0.1  # seconds; replaced by the first measured durations
LATE_MARGIN = 0.8  # part of the time left that may pass until the expected end
SHORTEST_RETURN = 0.05  # seconds of the shortest Retry-After
HOLD_SLACK = 0.5  # seconds after its deadline at which a lost slot is freed
# A target in another data centre is chosen only if it is expected to be this much
# faster: bytes between data centres are billed.
DISTANCE_FACTOR = 3.0


@attrs.frozen
class SlotAsk:
    """Ask for a slot; ``target`` is empty if any target of the service will do.

    ``aim_at`` and ``end_at`` (seconds) are when the answer is due to be in time, and
    when nobody waits for it any more.
    """

    id: str
    instance: str
    target: str
    priority: int
    aim_at: float
    end_at: float
    data_centre: str = ""


@attrs.frozen
class SlotGranted:
    """Let a request go to a target."""

    ask: SlotAsk
    number: int
    target: str


@attrs.frozen
class SlotRefused:
    """Turn a request away that has not run; ``retry_after`` in seconds."""

    ask: SlotAsk
    reason: str
    retry_after: float


@attrs.frozen
class SlotResult:
    """Tell how a request with a slot ended.

    ``seconds`` is how long it ran, or at least ran if it was not ``complete``.
    """

    number: int
    seconds: float | None = None
    complete: bool = True
    shed: bool = False
    unreachable: bool = False
    load: TargetLoad | None = None


Decision = SlotGranted | SlotRefused


class Desk:
    """Own the queues and the slots of the targets of one service.

    Requests for one target wait in its queue, those that any target may run in a
    queue of their own, named by the empty text.
    """

    def __init__(self, spread: Callable[[], float] = lambda: 0.5) -> None:
        self.targets_by_id: dict[str, TargetSlots] = {}
        self.mean = MeanDuration(INITIAL_MEAN)
        self._queues_by_target: dict[str, dict[str, SlotAsk]] = {}
        self._targets_by_number: dict[int, TargetSlots] = {}
        self._numbers = count(1)
        self._spread = spread

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait."""
        return sum(len(queue) for queue in self._queues_by_target.values())

    @property
    def held(self) -> int:
        """Return the number of slots that are taken."""
        return len(self._targets_by_number)

    def set_target(self, record: TargetRecord, warmup_rate: float, now: float) -> None:
        """Add a target or take over its newer entry."""
        known = self.targets_by_id.get(record.id)
        if known is not None and known.record.started_at == record.started_at:
            return known.update(record, warmup_rate, now)
        slots = TargetSlots(record, warmup_rate, now, self.mean.seconds)
        self.targets_by_id[record.id] = slots

    def remove_target(self, target: str) -> list[Decision]:
        """Drop a target; requests that wait for it are turned away."""
        self.targets_by_id.pop(target, None)
        queue = self._queues_by_target.pop(target, {})
        return [
            SlotRefused(ask, "target is gone", SHORTEST_RETURN)
            for ask in queue.values()
        ]

    def ask(self, ask: SlotAsk, now: float) -> list[Decision]:
        """Grant a slot, let the request wait, or turn it away."""
        if ask.target and ask.target not in self.targets_by_id:
            return [SlotRefused(ask, "target is not known", SHORTEST_RETURN)]
        if wait := self._unreachable_for(ask.target, now):
            return [self._turned_away(ask, "target cannot be reached", wait, now)]
        start, expected = self._estimate(ask, now)
        room = ask.end_at - now
        if expected > room or start + expected > room * LATE_MARGIN and start > 0:
            return [self._turned_away(ask, "no room before the deadline", start, now)]
        self._queues_by_target.setdefault(ask.target, {})[ask.id] = ask
        return self._dispatch(ask.target, now)

    def _estimate(self, ask: SlotAsk, now: float) -> tuple[float, float]:
        """Return the seconds until the request could start, and those it takes."""
        targets = self._candidates(ask.target)
        if not targets:
            return float("inf"), self.mean.seconds
        mean = sum(target.mean.seconds for target in targets) / len(targets)
        queue = self._queues_by_target.get(ask.target, {})
        ahead = [mean for other in queue.values() if other.priority <= ask.priority]
        running = [left for target in targets for left in target.running(now)]
        free = sum(target.free_slots(now) for target in targets)
        held = min(target.next_room(now) for target in targets)
        return start_delay(running, free, ahead, mean) + held, mean

    def _unreachable_for(self, target: str, now: float) -> float:
        return self.targets_by_id[target].unreachable_for(now) if target else 0.0

    def _candidates(self, target: str) -> list[TargetSlots]:
        if target:
            return [self.targets_by_id[target]]
        return [t for t in self.targets_by_id.values() if not t.record.leaving]

    def _turned_away(
        self, ask: SlotAsk, reason: str, start: float, now: float
    ) -> SlotRefused:
        # Callers return spread over the time in which a slot becomes free, or all
        # of them would meet the same queue again.
        wait = start if start != float("inf") else ask.end_at - now
        wait = max(SHORTEST_RETURN, wait) * (0.75 + 0.5 * self._spread())
        return SlotRefused(ask, reason, wait)

    def _dispatch(self, target: str, now: float) -> list[Decision]:
        """Grant free slots to the requests of a queue, the most urgent first."""
        queue = self._queues_by_target.get(target)
        if not queue or not any(
            t.free_slots(now) > 0 for t in self._candidates(target)
        ):
            return []
        decisions: list[Decision] = []
        for ask in sorted(queue.values(), key=self._urgency(now)):
            slots = self._choose(ask, now)
            if slots is None:
                break
            del queue[ask.id]
            if now + slots.mean.seconds / 2 > ask.end_at:
                reason = "no time left for the work"
                decisions.append(SlotRefused(ask, reason, SHORTEST_RETURN))
            else:
                decisions.append(self._grant(ask, slots, now))
        return decisions

    def _urgency(self, now: float) -> Callable[[SlotAsk], tuple]:
        """Order by who can still be in time, then by priority and age."""
        soonest = now + self.mean.seconds

        def key(ask: SlotAsk) -> tuple:
            return (ask.aim_at < soonest, ask.priority, ask.aim_at)

        return key

    def _choose(self, ask: SlotAsk, now: float) -> TargetSlots | None:
        free = [t for t in self._candidates(ask.target) if t.free_slots(now) > 0]
        if not free:
            return None

        def cost(target: TargetSlots) -> float:
            near = target.record.data_centre == ask.data_centre
            return target.expected(now) * (1.0 if near else DISTANCE_FACTOR)

        return min(free, key=cost)

    def _grant(self, ask: SlotAsk, target: TargetSlots, now: float) -> SlotGranted:
        slot = HeldSlot(
            number=next(self._numbers),
            ask_id=ask.id,
            target=target.record.id,
            instance=ask.instance,
            since=now,
            expires_at=ask.end_at + HOLD_SLACK,
        )
        target.take(slot, now)
        self._targets_by_number[slot.number] = target
        return SlotGranted(ask, slot.number, slot.target)

    def give_back(self, result: SlotResult, now: float) -> list[Decision]:
        """Free a slot and learn from how its request went."""
        target = self._targets_by_number.pop(result.number, None)
        if target is None:
            return []
        target.give_back(result.number)
        if result.seconds is not None:
            if result.complete or result.seconds > target.mean.seconds:
                pace = result.load.pace if result.load is not None else 1.0
                target.note_done(result.seconds, pace)
                self.mean.add(result.seconds)
        if result.load is not None:
            target.note_load(result.load, now)
        if result.shed:
            target.note_shed(now)
        if result.unreachable:
            target.note_unreachable(now)
            return self._turn_all_away(target, now)
        return self._freed(target, now)

    def _turn_all_away(self, target: TargetSlots, now: float) -> list[Decision]:
        """Turn the queue of a target away that takes no connection."""
        wait = target.unreachable_for(now)
        queue = self._queues_by_target.pop(target.record.id, {})
        reason = "target cannot be reached"
        return [self._turned_away(ask, reason, wait, now) for ask in queue.values()]

    def _freed(self, target: TargetSlots, now: float) -> list[Decision]:
        return [*self._dispatch(target.record.id, now), *self._dispatch("", now)]

    def withdraw(self, ask_id: str, now: float) -> list[Decision]:
        """Drop a request whose caller has left, with the slot it may hold."""
        for queue in self._queues_by_target.values():
            if queue.pop(ask_id, None) is not None:
                return []
        for number, target in self._targets_by_number.items():
            if target.held_by_number[number].ask_id == ask_id:
                return self.give_back(SlotResult(number), now)
        return []

    def release_instance(self, instance: str, now: float) -> list[Decision]:
        """Free what a lost instance held: targets end work with its connection."""
        for queue in self._queues_by_target.values():
            for ask in [a for a in queue.values() if a.instance == instance]:
                del queue[ask.id]
        lost = [
            (number, target)
            for number, target in self._targets_by_number.items()
            if target.held_by_number[number].instance == instance
        ]
        return self._free_all(lost, now)

    def _free_all(
        self, slots: list[tuple[int, TargetSlots]], now: float
    ) -> list[Decision]:
        decisions: list[Decision] = []
        for number, target in slots:
            del self._targets_by_number[number]
            target.give_back(number)
            decisions += self._freed(target, now)
        return decisions

    def tick(self, now: float) -> list[Decision]:
        """Turn away what cannot be served any more and free lost slots."""
        expired = [
            (number, target)
            for number, target in self._targets_by_number.items()
            if target.held_by_number[number].expires_at <= now
        ]
        decisions = self._free_all(expired, now)
        for target, queue in list(self._queues_by_target.items()):
            if not queue:
                continue
            for ask in list(queue.values()):
                if now + self.mean.seconds / 2 > ask.end_at:
                    del queue[ask.id]
                    reason = "no slot before the deadline"
                    decisions.append(SlotRefused(ask, reason, SHORTEST_RETURN))
            decisions += self._dispatch(target, now)
        return decisions
