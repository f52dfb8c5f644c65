"""Count the slots of one target and limit the rate of a cold one."""

from collections import deque
from collections.abc import Callable

import attrs

from ..traffic import TargetRecord
from .concurrency import ConcurrencyLimit
from .estimates import MeanDuration, remaining_work
from .warmup import WarmupLimit, WarmupPolicy

__all__ = ["UNUSED_PERIOD", "HeldSlot", "TargetLoad", "TargetSlots"]

# A target without requests for this long may have restarted unnoticed: no instance
# need have a connection that would have ended with its process.
UNUSED_PERIOD = 3.0  # seconds
# A target may shed a request by chance while it has free capacity, most of which a
# long pause would waste.
SHED_PAUSE = 0.03  # seconds without new requests for a target that shed one
MAX_SHED_PAUSE = 0.24  # seconds, after several requests shed in a row
# A target that refuses connections has stopped or is still starting.
UNREACHABLE_PAUSE = 0.5  # seconds until the next request is sent to the target
MAX_LOAD_AGE = 0.5  # seconds after which a target's load report is ignored
# Time between the end of a request at its target and the arrival of the next one. It
# covers the transmission of the response, the returned slot, the next grant and the
# next request.
TURNAROUND = 0.01  # seconds
MAX_QUEUED_SHARE = 0.5  # of a target's slots, for requests that wait at the target
# Reported slowdowns are clamped to between 1 / MAX_SLOWDOWN and MAX_SLOWDOWN.
MAX_SLOWDOWN = 10.0
MAX_TRANSIT = 1.0  # seconds from the grant of a slot to the arrival of its request
# Requests that an estimate refuses cannot correct it, so a probe has to.
PROBE_INTERVAL = 1.0  # seconds without a complete request
PROBE_WEIGHT = 0.5  # of one probe's duration in the means
COLD_WINDOW = 1.0  # seconds over which the requests to a cold target are counted


@attrs.frozen
class TargetLoad:
    """Hold the load that a target reported.

    ``slowdown`` is how long requests take there relative to the usual duration: 1 is
    the target's usual speed, 2 is half of it.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 0
    slowdown: float = 1.0


@attrs.define(eq=False)
class HeldSlot:
    """Hold one slot for a request of an instance; times in seconds.

    ``counted`` tells that the request was counted against the limit of a cold target.
    """

    number: int
    request_id: str
    target: str
    instance: str
    since: float
    expires_at: float
    route: str = ""
    counted: bool = False
    level: int = 0  # requests that held a slot of the target with it, this one included
    is_probe: bool = False  # granted only to measure the target again


class TargetSlots:
    """Own the slots of one target."""

    def __init__(
        self,
        record: TargetRecord,
        warmup: WarmupPolicy,
        now: float,
        mean: float,
        rank: Callable[[], int] = lambda: 0,
    ) -> None:
        self.record = record
        self.held_by_number: dict[int, HeldSlot] = {}
        self.mean = MeanDuration(mean)
        self._nominal_mean = MeanDuration(mean)  # at slowdown 1
        # The first responses may all be bad, so what was expected before counts too.
        self._shortest = mean  # seconds
        self._last_seconds = mean
        self._measured_at = now
        self._paused_until = float("-inf")
        self._shed_in_row = 0  # requests since the last response
        self._unreachable_until = float("-inf")
        self._pause_ends_by_instance: dict[str, float] = {}
        self._slowdown = 1.0
        self._slowdown_at = float("-inf")
        self.warmup = WarmupLimit(warmup, record.cold_for, now, rank)
        self.used_at = now  # when a request was last sent or answered, as far as known
        self.concurrency: ConcurrencyLimit | None = None  # None if it is not learned
        self._cold_grants: deque[float] = deque()  # times of the last second

    def update(self, record: TargetRecord, warmup: WarmupPolicy, now: float) -> None:
        """Apply a newer target record of the same process, or newer settings."""
        cold_for = record.cold_for if record is not self.record else 0.0
        self.warmup.update(warmup, cold_for, now)
        self.record = record
        if self.concurrency is not None:
            self.concurrency.set_slots(record.slots)

    def learn_concurrency(self, enabled: bool, now: float) -> None:
        """Begin or end to learn how many requests at once the target runs well."""
        if not enabled:
            self.concurrency = None
        elif self.concurrency is None:
            self.concurrency = ConcurrencyLimit(self.record.slots, now)

    @property
    def limit(self) -> int:
        """Return how many requests the target may hold."""
        if self.concurrency is not None and self.concurrency.is_lowered:
            # A slot that is not to be used would run what is to queue at the target.
            return self.concurrency.limit
        return self.record.slots + self._queue_allowance

    @property
    def is_full(self) -> bool:
        """Tell whether only a returned slot can make room."""
        return len(self.held_by_number) >= self.limit

    def is_cold(self, now: float) -> bool:
        """Tell whether the target takes requests only at its warm-up rate."""
        warmup = self.warmup
        return warmup.is_cold(now) or warmup.is_suspect(now) or self.is_unverified(now)

    def is_unverified(self, now: float) -> bool:
        """Tell whether the target may have restarted while nothing was sent to it."""
        if self.warmup.policy.rate <= 0:
            return False
        return now - self.used_at > UNUSED_PERIOD and not self.warmup.is_suspect(now)

    def needs_check(self, now: float) -> bool:
        """Tell whether only a health check can show that the target is warm."""
        return self.is_unverified(now) and not self.warmup.is_cold(now)

    def limit_until_verified(self, now: float) -> None:
        """Apply that the target may have been used before it was added.

        It may be one that returns, and may have become cold meanwhile.
        """
        self.used_at = float("-inf")
        self.warmup.drain(now)

    def clear_suspicion(self, checked_at: float) -> None:
        """Apply that the target passed the health check that began then."""
        self.warmup.clear_suspicion(checked_at)
        self.used_at = max(self.used_at, checked_at)

    def free_slots(self, now: float) -> int:
        """Return how many requests the target can take now."""
        if self.record.leaving or now < max(
            self._paused_until, self._unreachable_until
        ):
            return 0
        free = max(0, self.limit - len(self.held_by_number))
        if free and self.is_cold(now):
            free = min(free, self.warmup.available(now, self._count_in_transit(now)))
        return free

    def _count_in_transit(self, now: float) -> int:
        """Count the requests granted before the limit that may still arrive."""
        return sum(
            not slot.counted and now - slot.since < MAX_TRANSIT
            for slot in self.held_by_number.values()
        )

    @property
    def _queue_allowance(self) -> int:
        """Return how many requests to queue at the target, so that no slot is idle.

        The queue is short because urgent requests cannot overtake the requests in it
        and targets queue only a few.
        """
        slots = self.record.slots
        wanted = round(slots * TURNAROUND / self.mean.seconds)
        return min(wanted, max(1, round(slots * MAX_QUEUED_SHARE)))

    def occupy(self, slot: HeldSlot, now: float) -> None:
        """Mark a slot as held."""
        self.held_by_number[slot.number] = slot
        slot.level = len(self.held_by_number)
        if self.is_cold(now):
            slot.counted = True
            self.warmup.spend(now)
            self._cold_grants.append(now)

    def count_cold_grants(self, now: float) -> int:
        """Return how many slots were granted within a second while it was cold."""
        while self._cold_grants and self._cold_grants[0] <= now - COLD_WINDOW:
            self._cold_grants.popleft()
        return len(self._cold_grants)

    def release(self, number: int) -> HeldSlot | None:
        """Free a slot and return it, or None if it is not held."""
        return self.held_by_number.pop(number, None)

    def count_arrival(self, slot: HeldSlot, now: float) -> None:
        """Count a request that ran, if it was granted before the target was limited."""
        if not slot.counted and self.is_cold(now):
            self.warmup.spend(now)

    def record_duration(self, seconds: float, slowdown: float = 1.0) -> None:
        """Add the duration of a request that ran at the given slowdown to the means."""
        self.mean.add(seconds)
        self._nominal_mean.add(seconds / _clamp_slowdown(slowdown))

    def note_duration(self, seconds: float, now: float) -> None:
        """Note a complete request, to tell later whether the mean is in doubt."""
        self._shortest = min(seconds, self._shortest)
        self._last_seconds = seconds
        self._measured_at = now

    def may_probe(self, left: float, now: float) -> bool:
        """Tell whether a request that has ``left`` seconds may show that it is faster.

        So it may at an idle target if the mean is old or the last request was faster.
        """
        is_old = now - self._measured_at >= PROBE_INTERVAL
        is_doubtful = self._last_seconds < self.mean.seconds * PROBE_WEIGHT
        has_time = left > self._shortest
        return not self.held_by_number and has_time and (is_old or is_doubtful)

    def record_probe(self, seconds: float) -> None:
        """Apply a response that came although the target was expected to be slow."""
        if seconds < self.mean.seconds:
            self.mean.shift(seconds, PROBE_WEIGHT)
            self._nominal_mean.shift(seconds, PROBE_WEIGHT)

    def record_load(self, load: TargetLoad, now: float) -> None:
        """Store the slowdown that the target reported."""
        self._slowdown = _clamp_slowdown(load.slowdown)
        self._slowdown_at = now

    def pause_after_shed(self, now: float) -> None:
        """Pause after the target refused a request for lack of free capacity."""
        self._paused_until = now + SHED_PAUSE

    def pause_after_sheds_in_row(self, now: float) -> None:
        """Pause after requests shed without a response in between, longer for more.

        One shed by chance tells nothing about the next request.
        """
        self._shed_in_row += 1
        if self._shed_in_row > 1:
            pause = SHED_PAUSE * 2 ** min(self._shed_in_row - 2, 8)
            self._paused_until = now + min(MAX_SHED_PAUSE, pause)

    def note_response(self) -> None:
        """Apply that the target ran a request."""
        self._shed_in_row = 0

    def pause_for(self, instance: str, until: float) -> None:
        """Send the target nothing from an instance until the given time."""
        known = self._pause_ends_by_instance.get(instance, until)
        self._pause_ends_by_instance[instance] = max(known, until)

    def pause_left_for(self, instance: str, now: float) -> float:
        """Return the seconds until the target gets requests from an instance again."""
        if not self._pause_ends_by_instance:
            return 0.0
        return max(0.0, self._pause_ends_by_instance.get(instance, now) - now)

    def drop_ended_pauses(self, now: float) -> None:
        """Forget the instances that may send the target requests again."""
        for instance, until in list(self._pause_ends_by_instance.items()):
            if until <= now:
                del self._pause_ends_by_instance[instance]

    @property
    def has_pauses(self) -> bool:
        """Tell whether some instance may not send the target requests now."""
        return bool(self._pause_ends_by_instance)

    def pause_as_unreachable(self, now: float) -> None:
        """Send the target no requests for a while, as it refuses connections."""
        self._unreachable_until = now + UNREACHABLE_PAUSE

    def unreachable_for(self, now: float) -> float:
        """Return the seconds until requests are sent again; 0 if it is reachable."""
        return max(0.0, self._unreachable_until - now)

    def expected_duration(self, now: float) -> float:
        """Return the expected seconds of a request that starts now."""
        if now - self._slowdown_at <= MAX_LOAD_AGE:
            return self._nominal_mean.seconds * self._slowdown
        return self.mean.seconds

    def remaining_durations(self, now: float) -> list[float]:
        """Return the expected remaining seconds of each request that holds a slot."""
        mean = self.mean.seconds
        return [
            remaining_work(now - slot.since, mean)
            for slot in self.held_by_number.values()
        ]

    def expected_starts(self, now: float) -> list[tuple[float, float, float]]:
        """Return for each slot the next start, the time between two, and the duration.

        The reported slowdown is that of the moment, which mostly ends before a queued
        request starts, so the mean says more.
        """
        duration = self.mean.seconds
        pause = self.pause_left(now)
        starts = [
            (
                max(pause, remaining_work(now - slot.since, duration)),
                duration,
                duration,
            )
            for slot in self.held_by_number.values()
        ]
        if len(starts) > self.limit:
            # After the limit was lowered, the first ones to end make no room.
            starts = sorted(starts)[len(starts) - self.limit :]
        if self.warmup.is_cold(now):
            return self._cold_starts(starts, pause, now)
        return starts + [(pause, duration, duration)] * self.free_slots(now)

    def _cold_starts(
        self, starts: list[tuple[float, float, float]], pause: float, now: float
    ) -> list[tuple[float, float, float]]:
        """Return the starts at the warm-up rate, then those of all slots."""
        duration = self.mean.seconds
        warm_in = self.warmup.cold_left(now)
        starts += [(pause, duration, duration)] * (self.limit - len(starts))
        first = min(starts, default=(pause,))[0]
        warm = [(max(warm_in, start), duration, duration) for start, _, _ in starts]
        if self.warmup.rate > 0 and not self.record.leaving:
            return [(first, 1 / self.warmup.rate, duration), *warm]
        return warm

    def pause_left(self, now: float) -> float:
        """Return the seconds until shed pause and warm-up rate allow a request."""
        wait = max(0.0, self._paused_until - now)
        if self.is_cold(now):
            wait = max(wait, self.warmup.wait(now, self._count_in_transit(now)))
        return wait


def _clamp_slowdown(slowdown: float) -> float:
    return min(MAX_SLOWDOWN, max(1 / MAX_SLOWDOWN, slowdown))
