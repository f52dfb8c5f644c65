"""Choose a target for services that are not divided by key."""

from collections.abc import Callable, Sequence
from random import Random

from .targets import TargetAdmission

__all__ = ["BalancingPolicy", "balancing_policy", "balancing_policies_by_name"]

MIN_LATENCY = 0.001  # seconds; keeps unmeasured targets comparable

BalancingPolicy = Callable[[Sequence[TargetAdmission], Random, float], TargetAdmission]

balancing_policies_by_name: dict[str, BalancingPolicy] = {}


def balancing_policy(name: str) -> Callable[[BalancingPolicy], BalancingPolicy]:
    """Register a function that chooses among targets with a free slot."""

    def register(policy: BalancingPolicy) -> BalancingPolicy:
        balancing_policies_by_name[name] = policy
        return policy

    return register


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
