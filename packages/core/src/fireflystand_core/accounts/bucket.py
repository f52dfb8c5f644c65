"""Count tokens that accrue at a rate up to a burst."""

import attrs

__all__ = ["TokenBucket"]


@attrs.define
class TokenBucket:
    """Hold the tokens of an account; ``rate`` is in tokens a second.

    ``lent`` tokens are held unspent by borrowers; ``withheld`` tokens may be. Both
    count against the burst, so that the tokens spent in any period never exceed what
    the rate allows plus one burst.
    """

    rate: float
    burst: float
    updated_at: float  # seconds
    level: float = 0.0
    lent: float = 0.0
    withheld: float = 0.0

    @property
    def _max_level(self) -> float:
        return max(0.0, self.burst - self.lent - self.withheld)

    def refill(self, now: float) -> None:
        """Add the tokens accrued since the last call."""
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        self.level = min(self._max_level, self.level + elapsed * self.rate)

    def lend(self, tokens: float) -> None:
        """Move tokens from the bucket to a borrower."""
        if tokens > self.level:
            raise ValueError(f"{tokens} tokens lent out of {self.level}")
        self.level -= tokens
        self.lent += tokens

    def spend(self, tokens: float) -> None:
        """Remove lent tokens that were spent."""
        self.lent = max(0.0, self.lent - tokens)

    def take_back(self, tokens: float) -> None:
        """Return unspent lent tokens to the bucket."""
        self.lent = max(0.0, self.lent - tokens)
        self.level = min(self._max_level, self.level + tokens)

    def restore(self, level: float, lent: float) -> None:
        """Continue with the tokens of another bucket."""
        self.lent = lent
        self.level = min(self._max_level, level)

    def change(self, rate: float, burst: float, now: float) -> None:
        """Apply new settings from ``now`` on."""
        self.refill(now)
        self.rate = rate
        self.burst = burst
        self.refill(now)

    def time_until(self, tokens: float) -> float:
        """Return the seconds until that many tokens are available."""
        missing = tokens - self.level
        if missing <= 0:
            return 0.0
        if self.rate <= 0:
            return float("inf")
        return missing / self.rate
