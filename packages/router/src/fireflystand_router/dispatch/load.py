"""Estimate the load of a service by key and the speed of its targets."""

import math
from collections import deque
from collections.abc import Collection, Mapping

import attrs

from fireflystand_core.dispatch import MeanDuration
from fireflystand_core.messages import WorkReport
from fireflystand_core.ranges import LoadView
from fireflystand_core.traffic import TargetRecord

__all__ = ["ColdTarget", "ServiceLoad"]

# Time constants in seconds of the decaying loads by key. The short one shows keys that
# became busy, the long one averages out random variation.
SHORT_TIME_CONSTANT = 1.5
LONG_TIME_CONSTANT = 8.0
MIN_KEY_LOAD = 0.002  # busy slots; keys with less load are dropped
INITIAL_MEAN = 0.1  # seconds; replaced by the first measured durations
MIN_SPEED, MAX_SPEED = 0.1, 4.0  # bounds of a target's measured speed
SERVICE_WEIGHT = 0.002  # of one request, in the mean of a service
# With this weight random variation moves a target's mean by about a tenth, and a target
# that becomes five times as slow is detected after about twenty requests.
TARGET_WEIGHT = 0.03  # of one request, in the mean of a target
PRIOR_REQUESTS = 10  # a new target starts with the service's mean, with this weight
SLOWDOWNS_KEPT = 20  # of a target, one for each plan of moves
# A fifth of the health responses come while neighbours disturb the target.
HEALTH_SAMPLES_KEPT = 5
# Slowness of up to a second is in three of these intervals of half a second, and so
# does not show in their median. Slowness that lasts shows after two seconds.
MEDIAN_INTERVALS = 7
# A target that is warm again sooner is so by the time of the next plan.
MIN_COLD = 0.5  # seconds
# Keys that leave a cold target pause twice, as they return when it is warm: for the
# requests that run, and for up to half a second until the next plan.
MIN_COLD_TO_MOVE = 1.5  # seconds


@attrs.frozen
class ColdTarget:
    """Hold for how many seconds a target stays cold, and its requests a second."""

    seconds: float
    rate: float


class TargetDurationEstimate:
    """Estimate the duration of requests on one target.

    The slowdown that a target reports (measured over nominal duration) depends on the
    speed of its machine and, for some tenths of a second, on other load on the machine.
    Such load ends before keys could move and can only slow the target down, so the
    33rd percentile of the recent slowdowns is used.
    """

    def __init__(
        self, initial_mean: float, slowdown: float = 1.0, *, ignores_peaks: bool = False
    ) -> None:
        self._nominal_mean = MeanDuration(
            initial_mean, weight=TARGET_WEIGHT, prior=PRIOR_REQUESTS
        )
        self._slowdowns: deque[float] = deque(maxlen=SLOWDOWNS_KEPT)
        self._interval_means: deque[float] = deque(maxlen=MEDIAN_INTERVALS)
        self._ignores_peaks = ignores_peaks
        self._count = 0
        self._seconds = 0.0
        self._nominal_seconds = 0.0
        self._slowdown = slowdown

    def add(self, count: int, seconds: float, nominal_seconds: float) -> None:
        """Add requests, with their total seconds as measured and at slowdown 1."""
        if not self._ignores_peaks:
            self._nominal_mean.add(nominal_seconds / count, count)
        self._count += count
        self._seconds += seconds
        self._nominal_seconds += nominal_seconds

    def end_interval(self) -> None:
        """Record the mean slowdown since the last call."""
        if self._nominal_seconds > 0:
            self._slowdowns.append(self._seconds / self._nominal_seconds)
            self._slowdown = sorted(self._slowdowns)[len(self._slowdowns) // 3]
            if self._ignores_peaks:
                self._add_interval(self._nominal_seconds / self._count)
            self._count = 0
            self._seconds = self._nominal_seconds = 0.0

    def _add_interval(self, mean: float) -> None:
        self._interval_means.append(mean)
        median = sorted(self._interval_means)[(len(self._interval_means) - 1) // 2]
        self._nominal_mean.add(median, self._count)

    @property
    def expected(self) -> float:
        """Return the expected seconds of a request on an otherwise idle machine."""
        return self._nominal_mean.seconds * self._slowdown


@attrs.define
class ServiceLoad:
    """Hold the load of one service, as reported by the instances.

    With ``by_load`` the view serves placement by load: cold targets, speeds by health
    responses, and ranges that are divided by work.
    """

    mean: MeanDuration = attrs.field(
        factory=lambda: MeanDuration(INITIAL_MEAN, weight=SERVICE_WEIGHT)
    )
    short_term_by_key: dict[int, float] = attrs.field(factory=dict)
    long_term_by_key: dict[int, float] = attrs.field(factory=dict)
    nominal_mean: MeanDuration = attrs.field(
        factory=lambda: MeanDuration(INITIAL_MEAN, weight=SERVICE_WEIGHT)
    )
    expected_mean: MeanDuration = attrs.field(
        factory=lambda: MeanDuration(INITIAL_MEAN, weight=SERVICE_WEIGHT)
    )
    durations_by_target: dict[str, TargetDurationEstimate] = attrs.field(factory=dict)
    updated_at: float = 0.0
    observed_seconds: float = 0.0  # while keys had load
    by_load: bool = False
    cold_by_target: Mapping[str, ColdTarget] = attrs.field(factory=dict)
    closed_targets: Collection[str] = ()  # those that get no further keys
    joining_targets: Collection[str] = ()  # those that have just become warm
    _health_slowdowns: dict[str, deque[float]] = attrs.field(factory=dict)
    _starts_by_target: dict[str, int] = attrs.field(factory=dict)

    def add_report(self, report: WorkReport) -> None:
        """Add a work report of an instance."""
        for target, count, seconds, nominal_seconds in report.targets:
            if target in self.cold_by_target:
                # The target is faster once it is warm.
                continue
            self.mean.add(seconds / count, count)
            self.nominal_mean.add(nominal_seconds / count, count)
            known = self.durations_by_target.get(target)
            if known is None:
                known = self._new_estimate(target)
                self.durations_by_target[target] = known
            known.add(count, seconds, nominal_seconds)
            self.expected_mean.add(known.expected, count)
        for key, count in report.keys:
            work = count * self.mean.seconds
            short_term, long_term = self.short_term_by_key, self.long_term_by_key
            short_term[key] = short_term.get(key, 0.0) + work / SHORT_TIME_CONSTANT
            long_term[key] = long_term.get(key, 0.0) + work / self._long_time_constant()

    def _new_estimate(self, target: str) -> TargetDurationEstimate:
        if not self.by_load:
            return TargetDurationEstimate(self.nominal_mean.seconds)
        return TargetDurationEstimate(
            self.nominal_mean.seconds,
            self._health_slowdown(target) or 1.0,
            ignores_peaks=True,
        )

    def add_health(self, target: str, slowdown: float) -> None:
        """Add the slowdown that a target stated in a health response."""
        samples = self._health_slowdowns.setdefault(
            target, deque(maxlen=HEALTH_SAMPLES_KEPT)
        )
        samples.append(min(1 / MIN_SPEED, max(1 / MAX_SPEED, slowdown)))

    def _health_slowdown(self, target: str) -> float | None:
        """Return the least of a target's recent slowdowns, None if it stated none.

        Neighbours can only slow a machine down.
        """
        return min(self._health_slowdowns.get(target, ()), default=None)

    def forget_states(self) -> None:
        """Drop what placement by load knows of the targets, as it is switched off."""
        self.cold_by_target = {}
        self.closed_targets = self.joining_targets = ()

    def keep(self, targets: Mapping[str, TargetRecord]) -> None:
        """Drop what health responses stated of other targets and earlier processes.

        A process that has restarted may run on another machine.
        """
        starts = {t.id: t.started_at for t in targets.values()}
        for target in list(self._health_slowdowns):
            known = self._starts_by_target.get(target, starts.get(target))
            if target not in starts or starts[target] != known:
                del self._health_slowdowns[target]
        self._starts_by_target = starts

    def _long_time_constant(self) -> float:
        """Return the long time constant, limited to the time observed so far."""
        return max(SHORT_TIME_CONSTANT, min(LONG_TIME_CONSTANT, self.observed_seconds))

    def decay(self, now: float) -> None:
        """Decay past work up to ``now`` and end the targets' intervals."""
        elapsed = max(0.0, min(LONG_TIME_CONSTANT, now - self.updated_at))
        self.updated_at = now
        if self.long_term_by_key:
            self.observed_seconds += elapsed
        for durations in self.durations_by_target.values():
            durations.end_interval()
        self.short_term_by_key = _decayed(
            self.short_term_by_key, math.exp(-elapsed / SHORT_TIME_CONSTANT)
        )
        self.long_term_by_key = _decayed(
            self.long_term_by_key, math.exp(-elapsed / self._long_time_constant())
        )

    def speed(self, target: str) -> float:
        """Return a target's speed relative to the mean of the service."""
        known = self.durations_by_target.get(target)
        if known is not None:
            expected = known.expected
        elif self.by_load and (slowdown := self._health_slowdown(target)):
            expected = slowdown * self.nominal_mean.seconds
        else:
            return 1.0
        return min(MAX_SPEED, max(MIN_SPEED, self._usual_duration() / expected))

    def _usual_duration(self) -> float:
        """Return the seconds that a request takes on the service's mean target."""
        if self.durations_by_target or not self._health_slowdowns:
            return self.expected_mean.seconds
        least = [min(samples) for samples in self._health_slowdowns.values()]
        return self.nominal_mean.seconds * sum(least) / len(least)

    def view(
        self,
        targets: Mapping[str, TargetRecord],
        *,
        recent: bool,
        fixed_keys: Collection[int] = (),
    ) -> LoadView:
        """Return the short-term or the long-term load of targets that may own keys."""
        slots_by_target = {t.id: t.slots for t in targets.values()}
        speeds_by_target = {t: self.speed(t) for t in targets}
        # Work beyond the capacity of any target is refused and retried repeatedly.
        # Counting it all would make the owner of such a key look ever more overloaded.
        max_work = max(
            (slots_by_target[t] * speeds_by_target[t] for t in targets), default=0.0
        )
        work_by_key = self.short_term_by_key if recent else self.long_term_by_key
        time_constant = SHORT_TIME_CONSTANT if recent else self._long_time_constant()
        return LoadView(
            slots_by_target=slots_by_target,
            work_by_key={key: min(work, max_work) for key, work in work_by_key.items()},
            speeds_by_target=speeds_by_target,
            limits_by_target={
                target: cold.rate * self.mean.seconds
                for target, cold in self.cold_by_target.items()
                if target in slots_by_target and cold.seconds > MIN_COLD
            },
            soon_warm=[
                target
                for target, cold in self.cold_by_target.items()
                if target in slots_by_target and cold.seconds <= MIN_COLD_TO_MOVE
            ],
            closed=self.closed_targets,
            joining=self.joining_targets,
            fixed_keys=fixed_keys,
            by_load=self.by_load,
            variance=self.mean.seconds / (2 * time_constant),
        )


def _decayed(work_by_key: dict[int, float], factor: float) -> dict[int, float]:
    return {
        key: work * factor
        for key, work in work_by_key.items()
        if work * factor > MIN_KEY_LOAD
    }
