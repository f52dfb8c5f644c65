"""Divide an account's rate among instances that draw tokens from one of them."""

import attrs

from .bucket import TokenBucket
from .demand import Demand

__all__ = ["TokenReserve", "SharedTokenBucket"]

# Operators allow a tenth above the rate. Part of that compensates for tokens that are
# drawn but not spent in time.
RATE_FACTOR = 1.05
DRAW_SECONDS = 0.3  # seconds of its own demand that an instance draws at once
MAX_DRAW = 16  # tokens
MIN_RETRY_AFTER = 0.02  # seconds


class SharedTokenBucket:
    """Own the token bucket of one account.

    ``share`` is the share of the instances that this bucket's instance can reach, so
    that buckets on both sides of a partition together grant no more than the rate.
    """

    def __init__(self, rate: float, burst: float, share: float, now: float) -> None:
        burst = max(1.0, burst) * share
        self._bucket = TokenBucket(rate * RATE_FACTOR * share, burst, now, burst / 2)

    def change(self, rate: float, burst: float, share: float, now: float) -> None:
        """Apply the account's settings and the share of reachable instances."""
        rate *= RATE_FACTOR * share
        burst = max(1.0, burst) * share
        if (rate, burst) != (self._bucket.rate, self._bucket.burst):
            self._bucket.change(rate, burst, now)

    def cap_level(self, share: float) -> None:
        """Limit the level to a share of the burst.

        Another bucket may have granted the rest.
        """
        self._bucket.level = min(self._bucket.level, self._bucket.burst * share)

    def draw(self, tokens: int, now: float) -> tuple[int, float]:
        """Return the tokens given and, if none, the seconds until there is one."""
        self._bucket.refill(now)
        given = min(tokens, int(self._bucket.level))
        self._bucket.level -= given
        if given:
            return given, 0.0
        return 0, max(MIN_RETRY_AFTER, self._bucket.time_until(1.0))


@attrs.define
class TokenReserve:
    """Hold the tokens that an instance drew and has not spent."""

    demand: Demand
    tokens: int = 0
    refused_until: float = float("-inf")

    def spend(self, now: float) -> bool:
        """Spend one token if there is one."""
        self.demand.add(1.0, now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def draw_size(self, now: float) -> int:
        """Return how many tokens to draw."""
        return max(1, min(MAX_DRAW, round(self.demand.at(now) * DRAW_SECONDS)))
