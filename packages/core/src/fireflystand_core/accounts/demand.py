"""Estimate how fast tokens are used."""

import math

import attrs

__all__ = ["Demand"]

MEMORY = 0.5  # seconds over which past use loses most of its weight


@attrs.define
class Demand:
    """Hold an exponentially weighted rate in tokens a second."""

    updated_at: float  # seconds
    value: float = 0.0

    def add(self, tokens: float, now: float) -> None:
        """Note that tokens were used."""
        self.value = self.at(now) + tokens / MEMORY
        self.updated_at = max(self.updated_at, now)

    def at(self, now: float) -> float:
        """Return the rate at ``now``."""
        elapsed = max(0.0, now - self.updated_at)
        return self.value * math.exp(-elapsed / MEMORY)
