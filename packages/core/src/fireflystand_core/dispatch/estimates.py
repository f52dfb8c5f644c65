"""Estimate when a target has a free slot, from its requests and their durations."""

import heapq
from collections.abc import Collection, Iterable, Sequence

import attrs

__all__ = [
    "MeanDuration",
    "RouteDurations",
    "StartSequence",
    "remaining_work",
    "start_delay",
]

WEIGHT = 0.1  # of one sample; a change of speed shows after about ten requests
# A request that has run for twice the mean duration is on a slow or unresponsive
# target. Its elapsed time is then the better estimate of its remaining time.
OVERDUE_FACTOR = 2.0
RATIO_WEIGHT = 0.02  # of one sample in the ratio of a route
# Above this ratio the duration varies more between requests than between routes.
SHORT_RATIO = 0.5


class MeanDuration:
    """Keep an exponentially weighted mean of durations in seconds.

    ``initial`` has the weight of ``prior`` samples.
    """

    def __init__(
        self, initial: float, *, weight: float = WEIGHT, prior: int = 1
    ) -> None:
        self.seconds = initial
        self.samples = 0
        self._weight = weight
        self._prior = prior

    def shift(self, seconds: float, weight: float) -> None:
        """Move the mean toward a duration that outweighs the earlier ones."""
        self.seconds += weight * (seconds - self.seconds)

    def add(self, seconds: float, count: int = 1) -> None:
        """Add a duration, or the mean of ``count`` durations."""
        self.samples += count
        minimum = 1 - (1 - self._weight) ** count
        weight = max(minimum, count / (self.samples + self._prior))
        self.seconds += weight * (seconds - self.seconds)


class RouteDurations:
    """Keep how long the requests of each route take, relative to their targets' means.

    A request of a route that was not measured yet counts as short. With the mean of
    the other routes it would be refused at busy targets, and its route never measured.
    """

    def __init__(self) -> None:
        self._ratios_by_route: dict[str, _MeanRatio] = {}

    def ratio(self, route: str) -> float:
        """Return a route's duration over the mean of its targets, 1 unless shorter."""
        if not route:
            return 1.0
        known = self._ratios_by_route.get(route)
        if known is None:
            return 0.0
        return known.value if known.value < SHORT_RATIO else 1.0

    def add(self, route: str, ratio: float) -> None:
        """Add the duration of one request, over the mean of its target."""
        if route:
            self._ratios_by_route.setdefault(route, _MeanRatio()).add(ratio)

    def keep(self, routes: Collection[str]) -> None:
        """Drop what is known of all other routes."""
        for route in self._ratios_by_route.keys() - routes:
            del self._ratios_by_route[route]


@attrs.define
class _MeanRatio:
    """Hold the mean of the first samples, then an exponentially weighted one."""

    value: float = 0.0
    samples: int = 0

    def add(self, ratio: float) -> None:
        self.samples += 1
        self.value += max(RATIO_WEIGHT, 1 / self.samples) * (ratio - self.value)


def remaining_work(elapsed: float, mean: float) -> float:
    """Return the expected remaining seconds of work that has run for ``elapsed``."""
    if elapsed > OVERDUE_FACTOR * mean:
        return elapsed
    return max(mean - elapsed, mean / 2)


def start_delay(
    running: Iterable[float], free_slots: int, queued: Sequence[float], mean: float
) -> float:
    """Return the seconds until the next request can start.

    ``running`` lists the remaining seconds of the requests that hold a slot, and
    ``queued`` the durations of the queued requests that start before it.
    """
    slots = [0.0] * free_slots + list(running)
    if not slots:
        return mean * (len(queued) + 1)
    heapq.heapify(slots)
    for duration in queued:
        heapq.heapreplace(slots, slots[0] + duration)
    return slots[0]


class StartSequence:
    """Tell when the requests of a queue can start and how long they will run.

    ``slots`` lists for each slot the seconds until it is free, the seconds between two
    starts there and the duration of the requests. The starts are found in order, once
    for all requests.
    """

    def __init__(self, slots: Iterable[tuple[float, float, float]]) -> None:
        self._slots = list(slots)
        heapq.heapify(self._slots)
        self._starts: list[tuple[float, float]] = []

    def __bool__(self) -> bool:
        """Tell whether there is any slot."""
        return bool(self._slots)

    def start_after(self, ahead: int) -> tuple[float, float]:
        """Return the start and duration of a request behind ``ahead`` others."""
        while len(self._starts) <= ahead:
            free_at, gap, duration = self._slots[0]
            self._starts.append((free_at, duration))
            heapq.heapreplace(self._slots, (free_at + gap, gap, duration))
        return self._starts[ahead]
