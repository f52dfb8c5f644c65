"""Estimate the rate at which tokens are spent."""

import math

import attrs

__all__ = ["Demand"]

TIME_CONSTANT = 0.5  # seconds in which the weight of past use decays by a factor of e


@attrs.define
class Demand:
    """Hold an exponentially weighted rate in tokens per second."""

    updated_at: float  # seconds
    value: float = 0.0

    def add(self, tokens: float, now: float) -> None:
        """Count tokens that were spent at ``now``."""
        self.value = self.at(now) + tokens / TIME_CONSTANT
        self.updated_at = max(self.updated_at, now)

    def at(self, now: float) -> float:
        """Return the rate at ``now``."""
        elapsed = max(0.0, now - self.updated_at)
        return self.value * math.exp(-elapsed / TIME_CONSTANT)
