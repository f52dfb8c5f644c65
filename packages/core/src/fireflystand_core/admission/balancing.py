"""Choose a target for services that are not divided by key."""

from collections.abc import Callable, Sequence
from random import Random

from .targets import TargetAdmission

__all__ = ["BalancingPolicy", "balancing_policy", "balancing_policies_by_name"]

MIN_LATENCY = 0.001  # seconds; keeps unmeasured targets comparable
CHOICES = 2

BalancingPolicy = Callable[[Sequence[TargetAdmission], Random, float], TargetAdmission]

balancing_policies_by_name: dict[str, BalancingPolicy] = {}


def balancing_policy(name: str) -> Callable[[BalancingPolicy], BalancingPolicy]:
    """Register a function that chooses among targets with a free slot."""

    def register(policy: BalancingPolicy) -> BalancingPolicy:
        balancing_policies_by_name[name] = policy
        return policy

    return register


def _load(target: TargetAdmission) -> tuple[float, int]:
    """Return the share of slots in use; the lagging report only breaks ties."""
    return (target.in_use / target.slots, target.reported_in_flight)


@balancing_policy("least_loaded")
def least_loaded(targets, random, now):
    """Choose the target with the smallest share of its slots in use."""
    return min(targets, key=lambda target: (*_load(target), random.random()))


@balancing_policy("power_of_two")
def power_of_two(targets, random, now):
    """Choose the less loaded of two targets drawn at random."""
    drawn = random.sample(list(targets), min(CHOICES, len(targets)))
    return min(drawn, key=_load)


@balancing_policy("latency_aware")
def latency_aware(targets, random, now):
    """Choose the target with the smallest expected completion time.

    Its lagging load report only breaks ties.
    """

    def expected(target):
        latency = max(MIN_LATENCY, target.expected_latency(now))
        time = latency * (target.in_use + 1) / target.slots
        return (time, target.reported_in_flight, random.random())

    return min(targets, key=expected)
