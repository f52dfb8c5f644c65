"""Generate the responses of two versions of a service for tests."""

import random
from collections.abc import Callable
from math import inf

import attrs

from ..decider import RolloutDecider
from ..judgement import RolloutSample, Verdict, VersionComparison
from ..model import Phase, RolloutOrder, RolloutPolicy

__all__ = ["Behaviour", "Outcome", "RolloutOutcome", "ServiceLoad"]

REPORT_INTERVAL = 0.25  # seconds
TICK = 0.125  # seconds; the reports of many instances come one after another
LEASE_DELAY = 0.5  # seconds until all instances act on a step
MEDIAN_WORK = 0.18  # seconds
WORK_SPREAD = 0.5  # standard deviation of the logarithm
DISTURBED_SHARE = 0.2  # of the responses
DISTURBED_FACTOR = 3.0


@attrs.frozen
class Behaviour:
    """Say how a version responds: its failure rate and how long it takes."""

    failure_rate: float = 0.002
    factor: float = 1.0


@attrs.define
class Outcome:
    """Hold what a comparison came to, and after how many bad responses.

    ``all_requests`` counts those of both versions.
    """

    verdict: Verdict
    seconds: float
    new_requests: int
    bad_responses: int
    all_requests: int
    fiftieth_bad_at: float


@attrs.define
class RolloutOutcome:
    """Hold the last phase of a rollout, and what the new version got until then.

    ``limit`` is what a bad version may get.
    """

    phase: Phase
    reason: str
    seconds: float
    new_requests: int
    bad_responses: int
    limit: float
    fiftieth_bad_at: float


@attrs.define
class ServiceLoad:
    """Send requests of some routes to both versions and report the responses.

    ``old`` and ``new`` return the behaviour on a route at a time. Each of some hosts
    is disturbed for a fifth of the time, in spans of 0.4 s. The new version's requests
    go to as many hosts as have the load of an old one each. If ``states_slowdown``,
    targets state how slow they are, also where that comes from their version.
    """

    old: Callable[[str, float], Behaviour]
    new: Callable[[str, float], Behaviour]
    rate: float = 900.0  # requests a second
    share: Callable[[float], float] = lambda _: 0.05
    routes: tuple[str, ...] = ("a", "b", "c")
    hosts: int = 121
    cold_until: float = 0.0
    states_slowdown: bool = False
    host_factors: tuple[float, ...] = (1.0,)
    seed: int = 0
    new_requests: int = 0
    all_requests: int = 0
    bad_responses: int = 0
    fiftieth_bad_at: float = inf

    def run(self, seconds: float, until_good: bool = False) -> Outcome:
        """Judge the responses every eighth of a second until the version is bad."""
        comparison = VersionComparison()
        verdict = comparison.verdict(0.0)
        for now, samples in self._reports(seconds):
            for sample in samples:
                comparison.add(sample, now)
            verdict = comparison.verdict(now)
            if verdict.is_bad or (until_good and verdict.is_good):
                break
        return Outcome(
            verdict,
            now,
            self.new_requests,
            self.bad_responses,
            self.all_requests,
            self.fiftieth_bad_at,
        )

    def run_rollout(
        self, duration: float, policy: RolloutPolicy, time_limit: float = 1.5
    ) -> RolloutOutcome:
        """Follow a decider from the order to the end, or to twice the duration."""
        order = RolloutOrder("s", "v2", duration, 1)
        decider = RolloutDecider(order, policy, 0.0, longest_time_limit=time_limit)
        slack = policy.trial_slack / (duration / 2) / self.rate
        changes: list[tuple[float, float]] = [(0.0, policy.trial_share + slack)]
        self.share = lambda at: [share for since, share in changes if since <= at][-1]
        reason = ""
        for now, samples in self._reports(2 * duration):
            phase = decider.phase
            is_late = now - decider._phase_since >= LEASE_DELAY
            decider.add_report("i", samples, 0 if is_late else 1, phase, now)
            step = decider.tick(now, ["i"], ["i"], True)
            if step is not None:
                decider.note_written(step.phase, now)
                reason = step.reason
            if decider.phase.is_final:
                break
            share = decider.share(now)
            if decider.phase is not Phase.TRIAL and share != changes[-1][1]:
                changes.append((now + LEASE_DELAY / 2, share))
        # Instances send on until the rollback has reached them.
        late = LEASE_DELAY * self.rate * self.share(now)
        got = self.new_requests + (late if decider.phase is Phase.ROLLED_BACK else 0)
        limit = policy.exposure_share * self.rate * duration + policy.exposure_slack
        return RolloutOutcome(
            decider.phase,
            reason,
            now,
            round(got),
            self.bad_responses,
            limit,
            self.fiftieth_bad_at,
        )

    def _reports(self, seconds: float):
        """Yield what is reported every eighth of a second."""
        rng = random.Random(self.seed)
        pending: list[tuple[float, RolloutSample, bool]] = []
        self.new_requests = self.all_requests = self.bad_responses = 0
        self.fiftieth_bad_at = inf
        for step in range(1, int(seconds / TICK) + 1):
            now = step * TICK
            for _ in range(self._count(rng)):
                at = now - rng.random() * TICK
                pending.append(self._respond(rng, at))
            due = [item for item in pending if item[0] <= now]
            pending = [item for item in pending if item[0] > now]
            bad = sorted(at for at, _, is_bad in due if is_bad)
            if self.bad_responses < 50 <= self.bad_responses + len(bad):
                self.fiftieth_bad_at = bad[49 - self.bad_responses] - REPORT_INTERVAL
            self.bad_responses += len(bad)
            yield now, [sample for _, sample, _ in due]

    def _count(self, rng: random.Random) -> int:
        mean = self.rate * TICK
        return max(0, round(rng.gauss(mean, mean**0.5)))

    def _respond(self, rng: random.Random, at: float):
        is_new = rng.random() < self.share(at)
        self.new_requests += is_new
        self.all_requests += 1
        route = rng.choice(self.routes)
        behaviour = (self.new if is_new else self.old)(route, at)
        failed = rng.random() < behaviour.failure_rate
        share = self.share(at) if is_new else 1.0
        host = rng.randrange(max(1, int(share * self.hosts)))
        span = random.Random(f"{self.seed} {is_new} {host} {int(at / 0.4)}")
        disturbed = span.random() < DISTURBED_SHARE
        work = MEDIAN_WORK * (1 + self.routes.index(route))
        work *= rng.lognormvariate(0, WORK_SPREAD) * behaviour.factor
        kind = random.Random(f"{self.seed} {is_new} {host}")
        speed = kind.choice(self.host_factors)
        work *= speed
        slowdown = behaviour.factor * speed if self.states_slowdown else 1.0
        if disturbed:
            work *= DISTURBED_FACTOR
        cold = is_new and at < self.cold_until
        if cold:
            work *= 2
        is_bad = is_new and (failed or behaviour.factor > 2)
        reported = at + work + rng.random() * REPORT_INTERVAL
        sample = RolloutSample(is_new, route, failed, work, slowdown, cold)
        return reported, sample, is_bad
