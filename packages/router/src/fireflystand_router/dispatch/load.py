"""Follow the work of a service by key, and the speed of its targets."""

import math
from collections.abc import Mapping

import attrs

from fireflystand_core.dispatch import MeanDuration
from fireflystand_core.messages import WorkReport
from fireflystand_core.ranges import LoadView
from fireflystand_core.traffic import TargetRecord

__all__ = ["ServiceLoad"]

MEMORY = 2.0  # seconds over which past work loses most of its weight
FORGOTTEN = 0.002  # busy slots below which a key is dropped
INITIAL_MEAN = 0.1  # seconds; replaced by the first measured durations
SLOWEST, FASTEST = 0.2, 2.0  # bounds of a target's measured speed
SAMPLES_FOR_SPEED = 5  # requests before a target's speed is believed


@attrs.define
class ServiceLoad:
    """Own what the instances reported."""

    mean: MeanDuration = attrs.field(factory=lambda: MeanDuration(INITIAL_MEAN))
    work_by_key: dict[int, float] = attrs.field(factory=dict)
    means_by_target: dict[str, MeanDuration] = attrs.field(factory=dict)
    updated_at: float = 0.0

    def take(self, report: WorkReport) -> None:
        """Add a report."""
        for target, count, seconds in report.targets:
            mean = seconds / count
            self.mean.add(mean)
            known = self.means_by_target.get(target)
            if known is None:
                known = self.means_by_target[target] = MeanDuration(self.mean.seconds)
            for _ in range(min(count, SAMPLES_FOR_SPEED)):
                known.add(mean)
        for key, count in report.keys:
            work = count * self.mean.seconds / MEMORY
            self.work_by_key[key] = self.work_by_key.get(key, 0.0) + work

    def decay(self, now: float) -> None:
        """Let past work lose weight."""
        factor = math.exp(-max(0.0, now - self.updated_at) / MEMORY)
        self.updated_at = now
        self.work_by_key = {
            key: work * factor
            for key, work in self.work_by_key.items()
            if work * factor > FORGOTTEN
        }

    def speed(self, target: str) -> float:
        """Return how much faster than the mean a target works."""
        known = self.means_by_target.get(target)
        if known is None or known.samples < SAMPLES_FOR_SPEED:
            return 1.0
        return min(FASTEST, max(SLOWEST, self.mean.seconds / known.seconds))

    def view(self, targets: Mapping[str, TargetRecord]) -> LoadView:
        """Return the load of the targets that may own keys."""
        return LoadView(
            slots_by_target={t.id: t.slots for t in targets.values()},
            work_by_key=self.work_by_key,
            speeds_by_target={t: self.speed(t) for t in targets},
        )
