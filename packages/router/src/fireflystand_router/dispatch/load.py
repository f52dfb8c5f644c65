"""Follow the work of a service by key, and the speed of its targets."""

import math
from collections import deque
from collections.abc import Mapping

import attrs

from fireflystand_core.dispatch import MeanDuration
from fireflystand_core.messages import WorkReport
from fireflystand_core.ranges import LoadView
from fireflystand_core.traffic import TargetRecord

__all__ = ["ServiceLoad"]

# Seconds over which past work loses most of its weight: the short one shows keys
# that became busy, the long one evens out chance.
SHORT_MEMORY = 1.5
LONG_MEMORY = 8.0
FORGOTTEN = 0.002  # busy slots below which a key is dropped
INITIAL_MEAN = 0.1  # seconds; replaced by the first measured durations
SLOWEST, FASTEST = 0.1, 4.0  # bounds of a target's measured speed
SERVICE_WEIGHT = 0.002  # of one request in the mean of a service
# With this weight chance moves the mean of a target by about a tenth, and one that
# turns five times as slow shows after some twenty requests.
TARGET_WEIGHT = 0.03  # of one request
PRIOR_REQUESTS = 10  # requests as which the service's mean counts for a new target
PACES_KEPT = 20  # paces of a target, one for each plan of moves


class TargetDurations:
    """Own what the requests of one target took.

    The pace of a target's machine tells its speed, and for some tenths of a second
    what its neighbours take away. That is over before keys have moved, and neighbours
    only slow it down, so the lower third of the paces counts.
    """

    def __init__(self, usual_mean: float) -> None:
        self._at_usual_pace = MeanDuration(
            usual_mean, weight=TARGET_WEIGHT, prior=PRIOR_REQUESTS
        )
        self._paces: deque[float] = deque(maxlen=PACES_KEPT)
        self._seconds = 0.0
        self._usual_seconds = 0.0
        self._pace = 1.0

    def add(self, count: int, seconds: float, usual_seconds: float) -> None:
        """Take in some requests, with their seconds as measured and at pace 1."""
        self._at_usual_pace.add(usual_seconds / count, count)
        self._seconds += seconds
        self._usual_seconds += usual_seconds

    def end_interval(self) -> None:
        """Take over the pace since the last call."""
        if self._usual_seconds > 0:
            self._paces.append(self._seconds / self._usual_seconds)
            self._pace = sorted(self._paces)[len(self._paces) // 3]
            self._seconds = self._usual_seconds = 0.0

    @property
    def expected(self) -> float:
        """Return the seconds that a request takes without loud neighbours."""
        return self._at_usual_pace.seconds * self._pace


@attrs.define
class ServiceLoad:
    """Own what the instances reported."""

    mean: MeanDuration = attrs.field(
        factory=lambda: MeanDuration(INITIAL_MEAN, weight=SERVICE_WEIGHT)
    )
    recent_by_key: dict[int, float] = attrs.field(factory=dict)
    usual_by_key: dict[int, float] = attrs.field(factory=dict)
    usual_mean: MeanDuration = attrs.field(
        factory=lambda: MeanDuration(INITIAL_MEAN, weight=SERVICE_WEIGHT)
    )
    expected_mean: MeanDuration = attrs.field(
        factory=lambda: MeanDuration(INITIAL_MEAN, weight=SERVICE_WEIGHT)
    )
    durations_by_target: dict[str, TargetDurations] = attrs.field(factory=dict)
    updated_at: float = 0.0
    observed: float = 0.0  # seconds with reports

    def take(self, report: WorkReport) -> None:
        """Add a report."""
        for target, count, seconds, usual_seconds in report.targets:
            self.mean.add(seconds / count, count)
            self.usual_mean.add(usual_seconds / count, count)
            known = self.durations_by_target.get(target)
            if known is None:
                known = TargetDurations(self.usual_mean.seconds)
                self.durations_by_target[target] = known
            known.add(count, seconds, usual_seconds)
            self.expected_mean.add(known.expected, count)
        for key, count in report.keys:
            work = count * self.mean.seconds
            recent, usual = self.recent_by_key, self.usual_by_key
            recent[key] = recent.get(key, 0.0) + work / SHORT_MEMORY
            usual[key] = usual.get(key, 0.0) + work / self._long_memory()

    def _long_memory(self) -> float:
        """Return the long memory, shorter while there is less to remember."""
        return max(SHORT_MEMORY, min(LONG_MEMORY, self.observed))

    def decay(self, now: float) -> None:
        """Let past work lose weight."""
        elapsed = max(0.0, min(LONG_MEMORY, now - self.updated_at))
        self.updated_at = now
        if self.usual_by_key:
            self.observed += elapsed
        for durations in self.durations_by_target.values():
            durations.end_interval()
        self.recent_by_key = _decayed(
            self.recent_by_key, math.exp(-elapsed / SHORT_MEMORY)
        )
        self.usual_by_key = _decayed(
            self.usual_by_key, math.exp(-elapsed / self._long_memory())
        )

    def speed(self, target: str) -> float:
        """Return how much faster than the mean a target works."""
        known = self.durations_by_target.get(target)
        if known is None:
            return 1.0
        return min(FASTEST, max(SLOWEST, self.expected_mean.seconds / known.expected))

    def view(self, targets: Mapping[str, TargetRecord], *, recent: bool) -> LoadView:
        """Return the recent or the usual load of the targets that may own keys."""
        slots_by_target = {t.id: t.slots for t in targets.values()}
        speeds_by_target = {t: self.speed(t) for t in targets}
        # What no target can take is refused and asked for again and again; counted
        # as work it would make the owner of such a key look ever more overloaded.
        most = max(
            (slots_by_target[t] * speeds_by_target[t] for t in targets), default=0.0
        )
        work_by_key = self.recent_by_key if recent else self.usual_by_key
        return LoadView(
            slots_by_target=slots_by_target,
            work_by_key={key: min(work, most) for key, work in work_by_key.items()},
            speeds_by_target=speeds_by_target,
        )


def _decayed(work_by_key: dict[int, float], factor: float) -> dict[int, float]:
    return {
        key: work * factor
        for key, work in work_by_key.items()
        if work * factor > FORGOTTEN
    }
