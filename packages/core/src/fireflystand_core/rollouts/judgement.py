"""Compare the responses of a new version with those of the old one.

The load is that of a rollout: the old version gets most of the requests and the new
one a small share, on routes that differ in duration, while neighbours and faults slow
or fail both at once for a few tenths of a second. So each response of the new version
is held against what the old one returned on that route at that time.
"""

from collections import deque
from collections.abc import Iterator
from enum import Enum
from math import inf, isfinite, log, sqrt

import attrs

__all__ = [
    "Judgement",
    "SLOW_FACTOR",
    "RolloutSample",
    "Verdict",
    "VersionComparison",
    "is_failed_response",
]

INTERVAL = 0.125  # seconds in which samples count as simultaneous
MAX_DISTANCE = 24  # intervals up to which the old version's samples compare
# In a cutover, what the old version returned before it is soon of another load.
MAX_NEAREST_DISTANCE = 2  # intervals to the nearest samples of the old version
RETENTION = 120  # intervals that are kept for when the old version gets nothing
ENOUGH_OLD = 80  # samples; fewer leave the old version's failures uncertain
FEW_OLD = 8  # samples; with fewer, a route has nothing to compare with at that time

# Failures. A version that fails one response in ten more than the old one is to be
# found; where the old one fails too, smaller differences are within its variation.
MIN_FAILURE_RATE = 0.01
EXTRA_FAILURE_RATE = 0.1
EXTRA_FAILURES_PER_FAILURE = 0.4
UNCERTAIN_FAILURE_RATE = 0.05  # without simultaneous samples of the old version
UNCERTAIN_EXTRA_RATE = 0.25
# A version that fails too rarely for the ratio test is bad after so many failures more
# than the old version's rate explains. The limit is 50 bad responses.
MAX_EXCESS_FAILURES = 30

# Slowness. The old version's 90th percentile separates slow responses; it includes
# the disturbed ones. The hypothesis is that the new version takes three times as long.
SLOW_QUANTILE = 0.9
SLOW_FACTOR = 3.0
MIN_EXTRA_SLOW_RATE = 0.25  # of the slow hypothesis
MAX_EXTRA_SLOW_RATE = 0.35
# A target is disturbed in spans. A trial at one target, of about so many responses a
# second, may meet twice the share of slow responses that all old targets have.
ONE_TARGET = 4.0  # responses a second
UNCERTAIN_SLOWDOWN = 1.25  # of the percentile, without simultaneous samples
# Neighbours slow a target for some 0.4 s, which may be the only one in the trial. So
# several intervals must speak against the version.
MAX_SLOWNESS_OF_INTERVAL = 2.25  # log-likelihood ratio
# The fastest and the slowest hosts. Where a target states more, neighbours or its
# version slow it down, and the whole duration counts.
MIN_HOST_SLOWDOWN = 0.5
MAX_HOST_SLOWDOWN = 1.7

# Log-likelihood ratios. A run of responses of a good version exceeds the bounds for
# bad with a probability of about exp(-bound); the one for good misses exp(-bound).
BAD_BOUND = 9.0
BAD_BOUND_OF_ROUTE = 10.0  # there are several routes
GOOD_BOUND = 2.0
# At one target that is disturbed for long, slowness stays uncertain; a version that is
# several times slower is far above zero after so many responses.
GOOD_BOUND_OF_SLOWNESS = 0.5
MIN_TIMES = 20  # responses
# Evidence against the version at which it is not called good. Two failures are such
# evidence where the old version has none.
DOUBT_BY_FAILURES = 2.0
DOUBT = 3.0
DOUBT_OF_ROUTE = 4.0
# A route with so much of the old version's traffic must have been tried.
MAJOR_ROUTE_SHARE = 0.15
MIN_MAJOR_SAMPLES = 3

MISDIRECTED = 421  # the target does not own the key


@attrs.frozen
class RolloutSample:
    """Hold one response, or its absence, at a target of the old or new version.

    ``seconds`` is the time to the head of the response. ``slowdown`` is how long work
    takes at the target's host, relative to the usual: the smallest of the figures that
    the target has stated, as larger ones come from its neighbours; 1 if it is unknown.
    Samples of ``cold`` targets say nothing about speed.
    """

    is_new: bool
    route: str
    failed: bool
    seconds: float
    slowdown: float = 1.0
    cold: bool = False

    @property
    def has_time(self) -> bool:
        """Tell whether the duration says something about the version."""
        return not self.failed and not self.cold

    @property
    def normal_seconds(self) -> float:
        """Return the time that the response would take at a host of usual speed."""
        if MIN_HOST_SLOWDOWN <= self.slowdown <= MAX_HOST_SLOWDOWN:
            return self.seconds / self.slowdown
        return self.seconds


def is_failed_response(
    status: int | None, *, not_run: bool = False, caller_left: bool = False
) -> bool | None:
    """Tell whether a response is a failure of its version; None if it says nothing.

    ``status`` is None if the response broke off, was malformed or did not come before
    the time limit. A caller that left, a target that says that the request did not run
    and one that does not own the key say nothing about the version.
    """
    if caller_left or not_run or status == MISDIRECTED:
        return None
    return status is None or status >= 500


class Judgement(Enum):
    """Name what the comparison may come to."""

    UNDECIDED = "undecided"
    GOOD = "good"
    BAD = "bad"


@attrs.frozen
class Verdict:
    """Hold a judgement and the reason for it."""

    judgement: Judgement
    reason: str = ""

    @property
    def is_good(self) -> bool:
        """Tell whether the new version is as good as the old one."""
        return self.judgement is Judgement.GOOD

    @property
    def is_bad(self) -> bool:
        """Tell whether the new version is worse than the old one."""
        return self.judgement is Judgement.BAD


@attrs.define
class _Responses:
    """Count the responses of one version on one route in one interval."""

    requests: int = 0
    failures: int = 0
    times: list[float] = attrs.Factory(list)

    def add(self, sample: RolloutSample) -> None:
        self.requests += 1
        self.failures += sample.failed
        if sample.has_time:
            self.times.append(sample.normal_seconds)

    def merge(self, other: "_Responses") -> None:
        self.requests += other.requests
        self.failures += other.failures
        self.times += other.times


@attrs.define
class _Interval:
    """Hold the responses of both versions in one interval by route."""

    number: int
    old_by_route: dict[str, _Responses] = attrs.Factory(dict)
    new_by_route: dict[str, _Responses] = attrs.Factory(dict)

    def add(self, sample: RolloutSample) -> None:
        by_route = self.new_by_route if sample.is_new else self.old_by_route
        by_route.setdefault(sample.route, _Responses()).add(sample)


@attrs.define
class _Evidence:
    """Sum up the log-likelihood ratios of one hypothesis against the new version.

    ``total`` is the sequential test since the start. ``recent`` is the same without
    what spoke for the version before it became worse (Page's cumulative sum).
    """

    total: float = 0.0
    recent: float = 0.0

    def add(self, ratio: float) -> None:
        self.total += ratio
        self.recent = max(0.0, self.recent + ratio)


@attrs.define
class _RouteEvidence:
    """Hold the evidence about one route, or about all of them together."""

    failures: _Evidence = attrs.Factory(_Evidence)
    slowness: _Evidence = attrs.Factory(_Evidence)
    excess: float = 0.0  # failures more than the old version's rate explains
    requests: int = 0
    times: int = 0

    def add_failures(
        self, old: _Responses, new: _Responses, is_simultaneous: bool
    ) -> None:
        """Apply the failures of an interval."""
        self.requests += new.requests
        rate, worse = _failure_rates(old, is_simultaneous)
        self.failures.add(_ratio(new.failures, new.requests, rate, worse))
        excess = new.failures - rate * new.requests
        self.excess = max(0.0, self.excess + excess)

    def bad_reason(self, bound: float) -> str:
        """Return why the version is bad, or an empty string."""
        if self.failures.recent >= bound:
            return "more failures than the old version"
        if self.excess >= MAX_EXCESS_FAILURES:
            return "more failures than the old version over a longer time"
        if self.slowness.recent >= bound:
            return "slower than the old version"
        return ""

    def has_doubt(self, slowness: float) -> bool:
        """Tell whether the latest responses speak against the version."""
        if self.failures.recent >= DOUBT_BY_FAILURES:
            return True
        return self.slowness.recent >= slowness

    def speaks_for(self, has_times: bool) -> bool:
        """Tell whether enough responses were as good as the old version's."""
        if self.failures.total > -GOOD_BOUND:
            return False
        if not has_times:
            return True
        is_fast = self.slowness.total <= -GOOD_BOUND_OF_SLOWNESS
        return is_fast and self.times >= MIN_TIMES


class VersionComparison:
    """Judge a new version by sequential tests against the old one.

    An interval is judged once the next one is over, so that trouble that affects both
    versions is seen at both. Times are in seconds.
    """

    def __init__(self) -> None:
        self.new_requests = 0
        self.new_failures = 0
        self._intervals: deque[_Interval] = deque(maxlen=RETENTION)
        self._judged = -1  # number of the last interval that was judged
        self._all = _RouteEvidence()
        self._by_route: dict[str, _RouteEvidence] = {}
        self._old_requests_by_route: dict[str, int] = {}
        self._old_times_by_route: dict[str, int] = {}
        self._old_seconds = 0.0  # sum over all routes
        self._bad_reason = ""

    def add(self, sample: RolloutSample, now: float) -> None:
        """Count a response that was reported now; ignore one with odd figures."""
        if not (isfinite(sample.slowdown) and 0 <= sample.seconds < inf):
            return
        number = int(now / INTERVAL)
        if not self._intervals or self._intervals[-1].number < number:
            self._intervals.append(_Interval(number))
        self._intervals[-1].add(sample)
        if sample.is_new:
            self.new_requests += 1
            self.new_failures += sample.failed
        else:
            _count(self._old_requests_by_route, sample.route)
            if sample.has_time:
                _count(self._old_times_by_route, sample.route)
                self._old_seconds += sample.seconds

    @property
    def usual_seconds(self) -> float:
        """Return the old version's mean duration; 0 if it is unknown."""
        count = sum(self._old_times_by_route.values())
        return self._old_seconds / count if count else 0.0

    def verdict(self, now: float) -> Verdict:
        """Return the judgement by what was reported until now; bad remains bad."""
        self._judge_until(int(now / INTERVAL) - 2)
        if self._bad_reason:
            return Verdict(Judgement.BAD, self._bad_reason)
        reason = self._missing_evidence()
        if reason:
            return Verdict(Judgement.UNDECIDED, reason)
        reason = f"{self.new_requests} responses as good as the old version's"
        return Verdict(Judgement.GOOD, reason)

    def _judge_until(self, number: int) -> None:
        for index, interval in enumerate(self._intervals):
            if self._judged < interval.number <= number:
                self._judged = interval.number
                self._judge(interval, index)

    def _judge(self, interval: _Interval, index: int) -> None:
        slowness = 0.0
        usual = self._usual_slow_rate(index)
        for route, new in interval.new_by_route.items():
            old, is_simultaneous = self._old_responses(route, index)
            evidence = self._by_route.setdefault(route, _RouteEvidence())
            for item in (evidence, self._all):
                item.add_failures(old, new, is_simultaneous)
            if len(old.times) >= FEW_OLD and new.times:
                ratio = _slowness_ratio(old.times, new.times, usual, is_simultaneous)
                evidence.slowness.add(min(ratio, MAX_SLOWNESS_OF_INTERVAL))
                slowness += ratio
                self._all.times += len(new.times)
        self._all.slowness.add(min(slowness, MAX_SLOWNESS_OF_INTERVAL))
        for route in interval.new_by_route:
            self._bad_reason = self._bad_reason or self._find_reason(route)

    def _usual_slow_rate(self, index: int) -> float:
        """Return the share of slow responses of a version like the old one."""
        number = self._intervals[index].number
        recent = sum(
            new.requests
            for interval in self._intervals
            if number - 1 / INTERVAL < interval.number <= number
            for new in interval.new_by_route.values()
        )
        spread = min(1.0, sqrt(ONE_TARGET / max(1, recent)))
        return (1 - SLOW_QUANTILE) * (1 + spread)

    def _find_reason(self, route: str) -> str:
        reason = self._all.bad_reason(BAD_BOUND)
        if not reason:
            reason = self._by_route[route].bad_reason(BAD_BOUND_OF_ROUTE)
            reason = reason and f"route {route}: {reason}"
        if not reason:
            return ""
        counts = f"{self.new_failures} of {self.new_requests} responses failed"
        return f"{reason} ({counts})"

    def _old_responses(self, route: str, index: int) -> tuple[_Responses, bool]:
        """Return the old version's responses nearest to an interval.

        The second value tells whether there are some of about the same time.
        """
        number = self._intervals[index].number
        found = _Responses()
        nearest = inf
        for interval in self._nearest(index):
            distance = abs(interval.number - number)
            if distance > MAX_DISTANCE or found.requests >= ENOUGH_OLD:
                break
            if route in interval.old_by_route:
                nearest = min(nearest, distance)
                found.merge(interval.old_by_route[route])
        if found.requests < FEW_OLD:
            return self._earlier_responses(route, index), False
        return found, nearest <= MAX_NEAREST_DISTANCE

    def _earlier_responses(self, route: str, index: int) -> _Responses:
        found = _Responses()
        for position in range(index, -1, -1):
            if found.requests >= ENOUGH_OLD:
                break
            if route in self._intervals[position].old_by_route:
                found.merge(self._intervals[position].old_by_route[route])
        return found

    def _nearest(self, index: int) -> Iterator[_Interval]:
        """Yield the intervals by their distance from one."""
        number = self._intervals[index].number
        yield from sorted(
            self._intervals, key=lambda item: (abs(item.number - number), item.number)
        )

    def _has_old_times(self) -> bool:
        return max(self._old_times_by_route.values(), default=0) >= FEW_OLD

    def _missing_evidence(self) -> str:
        """Return why the version cannot be called good, or an empty string."""
        if not self._all.speaks_for(self._has_old_times()):
            return f"{self.new_requests} responses of the new version are not enough"
        if self._all.has_doubt(DOUBT):
            return "the latest responses are worse than the old version's"
        for route, evidence in self._by_route.items():
            if evidence.has_doubt(DOUBT_OF_ROUTE):
                return f"route {route}: the latest responses are worse"
        total = sum(self._old_requests_by_route.values())
        for route, count in self._old_requests_by_route.items():
            tried = self._by_route.get(route)
            if count >= MAJOR_ROUTE_SHARE * total and (
                tried is None or tried.requests < MIN_MAJOR_SAMPLES
            ):
                return f"route {route}: too few responses of the new version"
        return ""


def _failure_rates(old: _Responses, is_simultaneous: bool) -> tuple[float, float]:
    """Return the failure rates of a version like the old one and of a bad one."""
    rate = (old.failures + 0.3) / (old.requests + 1)
    rate += sqrt(rate * (1 - rate) / (old.requests + 1))
    extra = EXTRA_FAILURE_RATE
    if is_simultaneous:
        rate = max(rate, MIN_FAILURE_RATE)
    else:
        rate = UNCERTAIN_FAILURE_RATE
        if old.requests:
            rate = max(rate, old.failures / old.requests)
        extra = UNCERTAIN_EXTRA_RATE
    rate = min(rate, 0.95)
    extra = min(1.0, extra + EXTRA_FAILURES_PER_FAILURE * rate)
    return rate, min(0.99, 1 - (1 - rate) * (1 - extra))


def _slowness_ratio(
    old: list[float], new: list[float], usual: float, is_simultaneous: bool
) -> float:
    """Return the log-likelihood ratio of the new version's share of slow responses.

    ``usual`` is the share that is expected of a version like the old one.
    """
    ordered = sorted(old)
    bound = ordered[min(len(ordered) - 1, int(SLOW_QUANTILE * len(ordered)))]
    slower = sum(SLOW_FACTOR * seconds > bound for seconds in ordered) / len(ordered)
    extra = min(MAX_EXTRA_SLOW_RATE, max(MIN_EXTRA_SLOW_RATE, slower - usual))
    if not is_simultaneous:
        bound *= UNCERTAIN_SLOWDOWN
    slow = sum(seconds > bound for seconds in new)
    return _ratio(slow, len(new), usual, usual + extra)


def _count(counts: dict[str, int], name: str) -> None:
    counts[name] = counts.get(name, 0) + 1


def _ratio(hits: int, count: int, rate: float, worse: float) -> float:
    """Return the log-likelihood ratio of a higher rate against the usual one."""
    worse = max(worse, rate + 0.01)
    return hits * log(worse / rate) + (count - hits) * log((1 - worse) / (1 - rate))
