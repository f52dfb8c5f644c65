"""Keep the admission state of one target."""

from collections.abc import Iterable

import attrs

__all__ = ["SEND_WITHIN", "TRANSIT", "OutstandingPermit", "TargetAdmission"]

COLD_LIMIT = 1.0  # permits at a time
WARM_STEP = 0.25  # permits gained with each success in time
DECREASE = 0.7  # factor on a shed or on high latency
# One success raises a limit of 1 to 2. A target that sheds at 2 would refuse every
# third request, which spends the retry budget.
SHED_PAUSE = 2.0  # seconds after a shed without an increase
DECREASE_INTERVAL = 0.1  # seconds; one overload causes one decrease
SLOW_FACTOR = 3.0  # times the baseline at which latency counts as high
JUMP_FACTOR = 8.0  # times the baseline that a cold target shows
JUMP_SAMPLES = 4  # consecutive jumps; a single slow request proves nothing
BASELINE_WEIGHT = 0.05
RECENT_WEIGHT = 0.4
RECENT_HALF_LIFE = 0.25  # seconds until half of an old slowdown is forgotten
SAMPLE_CAP = 2.0  # times the baseline; bounds what one sample moves it
POOL_IDLE = 10.0  # seconds an entry instance keeps an unused connection
SEND_WITHIN = 0.5  # seconds from a permit's arrival in which it may be used
TRANSIT = 0.5  # seconds that a permit and its request may be on their way


@attrs.define
class OutstandingPermit:
    """Hold a permit that uses a slot; times are in seconds on the desk's clock."""

    permit_id: str
    request_id: str
    account: str
    entry: str
    target: str
    fingerprint: int
    idempotent: bool
    shard: int
    epoch: int
    issued_at: float
    deadline: float
    scope: str = ""
    journal_sequence: int = 0
    alone: bool = False
    hedge: bool = False
    attempt: int = 0
    crash_counted: bool = False
    lost_at: float | None = None


@attrs.define
class TargetAdmission:
    """Decide how many requests a target may have at once."""

    id: str
    address: str
    slots: int
    connections: int
    draining: bool = False
    alive: bool = True
    incarnation: str | None = None
    sampled_at: float = float("-inf")
    cold_since: float = float("-inf")
    inherited: int | None = 0
    ready_after: float = 0.0
    inherited_until: float = 0.0
    limit: float = attrs.field(init=False)
    warm_limit: float = COLD_LIMIT
    status_warm: float = 1.0
    reported_in_flight: int = 0
    baseline: float | None = None
    recent: float | None = None
    recent_at: float = 0.0
    permits_by_id: dict[str, OutstandingPermit] = attrs.field(factory=dict)
    _jumps: int = 0
    _decreased_at: float = -1.0e9
    _shed_at: float = -1.0e9
    _refused_at: float = float("-inf")
    _pools_by_entry: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.limit = float(self.slots)

    @property
    def in_use(self) -> int:
        """Return the number of slots taken, those of a predecessor included."""
        return len(self.permits_by_id) + (self.inherited or 0)

    @property
    def capacity(self) -> int:
        """Return the number of permits allowed at once."""
        if self.draining or not self.alive or self.inherited is None:
            return 0
        if self._refused_at > self.sampled_at:
            return 0
        status_limit = max(COLD_LIMIT, self.slots * self.status_warm)
        allowed = min(self.limit, self.warm_limit, status_limit)
        return max(1, min(self.slots, self.connections, int(allowed)))

    @property
    def free(self) -> int:
        """Return how many more permits may be issued now."""
        return max(0, self.capacity - self.in_use)

    def may_connect(self, entry: str, now: float) -> bool:
        """Tell whether an entry instance may open or reuse a connection."""
        in_use = sum(p.entry == entry for p in self.permits_by_id.values())
        pools = {
            name: size
            for name, (size, until) in self._pools_by_entry.items()
            if until > now
        }
        pools[entry] = max(pools.get(entry, 0), in_use + 1)
        return sum(pools.values()) <= self.connections

    def issue(self, permit: OutstandingPermit) -> None:
        """Take a slot."""
        self.permits_by_id[permit.permit_id] = permit
        size, until = self._pools_by_entry.get(permit.entry, (0, 0.0))
        if until <= permit.issued_at:
            size = 0
        in_use = sum(p.entry == permit.entry for p in self.permits_by_id.values())
        idle_at = permit.deadline + POOL_IDLE
        self._pools_by_entry[permit.entry] = (max(size, in_use), max(until, idle_at))

    def release(self, permit_id: str) -> OutstandingPermit | None:
        """Give a slot back."""
        return self.permits_by_id.pop(permit_id, None)

    def mark_lost(self, permit_id: str, now: float) -> None:
        """Keep a slot taken although nobody will return its permit."""
        permit = self.permits_by_id.get(permit_id)
        if permit is not None and permit.lost_at is None:
            permit.lost_at = now

    def succeeded(
        self, latency: float, now: float, issued_at: float = float("inf")
    ) -> None:
        """Take in a complete response; grow if it came in time.

        A request from before the cold turn says nothing about the warm-up.
        """
        in_time = self._measure(latency, now)
        if not in_time or issued_at < self.cold_since:
            return
        self.warm_limit = min(float(self.slots), self.warm_limit + WARM_STEP)
        if now - self._shed_at >= SHED_PAUSE:
            self.limit = min(float(self.slots), self.limit + 1.0 / self.limit)

    def cancelled(self, age: float, now: float) -> None:
        """Take in how long a request ran in vain before its cancellation."""
        if self.recent is not None and age > self.recent:
            self.recent = age
            self.recent_at = now

    def shed(self, now: float) -> None:
        """Lower the limit because the target refused work."""
        self._shed_at = now
        self._decrease(now)

    def refused(self, now: float) -> None:
        """Close until the next status, because a connection was refused."""
        self._refused_at = now

    def turn_cold(self, now: float) -> None:
        """Start the warm-up again."""
        self.cold_since = now
        self.warm_limit = COLD_LIMIT
        self._jumps = 0

    def report(
        self,
        incarnation: str,
        warm: float,
        in_flight: int,
        sampled_at: float,
    ) -> list[OutstandingPermit]:
        """Take in a status and return the lost permits that it frees.

        ``in_flight`` counts running requests of live and lost permits alike, so
        only as many lost permits as exceed it are known to have ended.
        """
        self.sampled_at = sampled_at
        if self.incarnation is not None and self.incarnation != incarnation:
            self.turn_cold(sampled_at)
        self.incarnation = incarnation
        self.alive = True
        self.status_warm = min(1.0, max(0.0, warm))
        self.reported_in_flight = in_flight
        self._report_inherited(in_flight, sampled_at)
        lost = self._lost_before(sampled_at)
        ended = lost[: max(0, len(lost) - in_flight)]
        return [self.permits_by_id.pop(permit.permit_id) for permit in ended]

    def _report_inherited(self, in_flight: int, sampled_at: float) -> None:
        if self.inherited is not None:
            self.inherited = min(self.inherited, in_flight)
        elif sampled_at >= self.ready_after:
            self.inherited = in_flight

    def take_over(self, now: float, wait: float, longest: float) -> None:
        """Start cold with unknown requests of a predecessor in flight.

        Nothing is issued until a status sampled ``wait`` seconds from now tells
        how many there are; after ``longest`` seconds none is left.
        """
        self.turn_cold(now)
        self.inherited = None
        self.ready_after = now + wait
        self.inherited_until = now + longest

    def lose(self, now: float) -> list[OutstandingPermit]:
        """Take in evidence of death and return the permits that were in flight.

        Their slots stay taken, because a permit that is still on its way may
        reach the target's next incarnation.
        """
        self.alive = False
        self.sampled_at = now
        self.turn_cold(now)
        for permit in self.permits_by_id.values():
            self.mark_lost(permit.permit_id, now)
        return list(self.permits_by_id.values())

    def expire(self, now: float) -> list[OutstandingPermit]:
        """Return the permits whose deadline has passed and free their slots."""
        if self.inherited and self.inherited_until <= now:
            self.inherited = 0
        expired = [p for p in self.permits_by_id.values() if p.deadline <= now]
        for permit in expired:
            del self.permits_by_id[permit.permit_id]
        return expired

    def expected_latency(self, now: float) -> float:
        """Return the latency to expect in seconds.

        A request that is still running counts with its age, so that a slowdown
        shows before the first slow response arrives.
        """
        base = self.baseline or 0.0
        recent = base if self.recent is None else self.recent
        age = max(0.0, now - self.recent_at)
        recent = base + (recent - base) * 0.5 ** (age / RECENT_HALF_LIFE)
        oldest = max((now - issued for issued in self._live_issues()), default=0.0)
        return max(recent, oldest)

    def _live_issues(self) -> Iterable[float]:
        return (p.issued_at for p in self.permits_by_id.values() if p.lost_at is None)

    def _lost_before(self, sampled_at: float) -> list[OutstandingPermit]:
        return [
            permit
            for permit in self.permits_by_id.values()
            if permit.lost_at is not None
            and permit.lost_at < sampled_at
            and permit.issued_at + SEND_WITHIN + TRANSIT < sampled_at
        ]

    def _measure(self, latency: float, now: float) -> bool:
        if self.baseline is None:
            self.baseline = self.recent = latency
            self.recent_at = now
            return True
        slow = latency > SLOW_FACTOR * self.baseline
        jump = latency > JUMP_FACTOR * self.baseline
        self._jumps = self._jumps + 1 if jump else 0
        sample = min(latency, SAMPLE_CAP * self.baseline)
        self.baseline += BASELINE_WEIGHT * (sample - self.baseline)
        self.recent += RECENT_WEIGHT * (latency - self.recent)
        self.recent_at = now
        if self._jumps >= JUMP_SAMPLES:
            self.turn_cold(now)
        # Single slow requests are normal; they cost a third of a small target.
        if self.recent > SLOW_FACTOR * self.baseline:
            self._decrease(now)
        return not slow

    def _decrease(self, now: float) -> None:
        if now - self._decreased_at < DECREASE_INTERVAL:
            return
        self._decreased_at = now
        self.limit = max(COLD_LIMIT, self.limit * DECREASE)
