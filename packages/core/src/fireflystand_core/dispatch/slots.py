"""Count the slots of one target and pace a cold one."""

import attrs

from ..accounts import TokenBucket
from ..traffic import TargetRecord
from .estimates import MeanDuration, remaining_work

__all__ = ["HeldSlot", "TargetLoad", "TargetSlots"]

COLD_BURST = 2.0  # requests a cold target gets at once
# A target that shed a request may do so by chance while it has room: a long pause
# would then waste most of it.
SHED_PAUSE = 0.03  # seconds in which it gets no new one
# A target that refuses connections has ended or is starting.
UNREACHABLE_PAUSE = 0.5  # seconds until the next request tries it
LOAD_AGE_LIMIT = 0.5  # seconds after which a target's report says nothing any more
# Time between the end of a request at its target and the arrival of the next one: the
# ways of the response, of the returned slot, of the next grant and of its request.
TURNAROUND = 0.01  # seconds
MOST_AHEAD = 0.5  # requests that wait at a target, as a part of its slots
SLOWEST_PACE = 10.0  # reports beyond this factor are taken as this factor


@attrs.frozen
class TargetLoad:
    """Hold what a target told of its load; ``pace`` 1 is its usual speed."""

    running: int = 0
    waiting: int = 0
    slots: int = 0
    pace: float = 1.0


@attrs.define(eq=False)
class HeldSlot:
    """Hold one slot for a request of an instance; times in seconds."""

    number: int
    ask_id: str
    target: str
    instance: str
    since: float
    expires_at: float


class TargetSlots:
    """Own the slots of one target."""

    def __init__(
        self, record: TargetRecord, warmup_rate: float, now: float, mean: float
    ) -> None:
        self.record = record
        self.held_by_number: dict[int, HeldSlot] = {}
        self.mean = MeanDuration(mean)
        self._usual_mean = MeanDuration(mean)  # at pace 1
        self._paused_until = float("-inf")
        self._unreachable_until = float("-inf")
        self._pace = 1.0
        self._pace_at = float("-inf")
        self._cold_until = now + record.cold_for
        self._bucket = TokenBucket(warmup_rate, COLD_BURST, now, COLD_BURST)

    def update(self, record: TargetRecord, warmup_rate: float, now: float) -> None:
        """Take over a newer entry of the same process."""
        if record.cold_for > 0:
            self._cold_until = now + record.cold_for
        if warmup_rate != self._bucket.rate:
            self._bucket.change(warmup_rate, COLD_BURST, now)
        self.record = record

    def is_cold(self, now: float) -> bool:
        """Tell whether the target takes requests only at its warm-up rate."""
        return self._bucket.rate > 0 and now < self._cold_until

    def free_slots(self, now: float) -> int:
        """Return how many requests the target can take now."""
        if self.record.leaving or now < max(
            self._paused_until, self._unreachable_until
        ):
            return 0
        free = max(0, self.record.slots + self._ahead - len(self.held_by_number))
        if free and self.is_cold(now):
            self._bucket.refill(now)
            free = min(free, int(self._bucket.level))
        return free

    @property
    def _ahead(self) -> int:
        """Return how many requests wait at the target, so that no slot stands idle.

        Few, as they cannot be overtaken there any more and targets queue only a few.
        """
        slots = self.record.slots
        wanted = round(slots * TURNAROUND / self.mean.seconds)
        return min(wanted, max(1, round(slots * MOST_AHEAD)))

    def take(self, slot: HeldSlot, now: float) -> None:
        """Hold a slot."""
        self.held_by_number[slot.number] = slot
        if self.is_cold(now):
            self._bucket.refill(now)
            self._bucket.level -= 1

    def give_back(self, number: int) -> HeldSlot | None:
        """Free a slot."""
        return self.held_by_number.pop(number, None)

    def note_done(self, seconds: float, pace: float = 1.0) -> None:
        """Take in the duration of a request that ran at a pace."""
        self.mean.add(seconds)
        self._usual_mean.add(seconds / _bounded(pace))

    def note_load(self, load: TargetLoad, now: float) -> None:
        """Take in what the target told."""
        self._pace = _bounded(load.pace)
        self._pace_at = now

    def note_shed(self, now: float) -> None:
        """Pause after the target refused a request for want of room."""
        self._paused_until = now + SHED_PAUSE

    def note_unreachable(self, now: float) -> None:
        """Give no requests to the target for a while, as it takes no connection."""
        self._unreachable_until = now + UNREACHABLE_PAUSE

    def unreachable_for(self, now: float) -> float:
        """Return the seconds until the target is tried again; 0 if it is not down."""
        return max(0.0, self._unreachable_until - now)

    def expected(self, now: float) -> float:
        """Return the expected duration of a request that starts now."""
        if now - self._pace_at <= LOAD_AGE_LIMIT:
            return self._usual_mean.seconds * self._pace
        return self.mean.seconds

    def running(self, now: float) -> list[float]:
        """Return the remaining seconds of the requests that hold a slot."""
        mean = self.mean.seconds
        return [
            remaining_work(now - slot.since, mean)
            for slot in self.held_by_number.values()
        ]

    def next_room(self, now: float) -> float:
        """Return the seconds until a pause or the warm-up lets a request through."""
        wait = max(0.0, self._paused_until - now)
        if self.is_cold(now):
            self._bucket.refill(now)
            wait = max(wait, self._bucket.time_until(1.0))
        return wait


def _bounded(pace: float) -> float:
    return min(SLOWEST_PACE, max(1 / SLOWEST_PACE, pace))
