"""Bound the extra load of hedges and retries."""

from collections import deque

__all__ = ["HedgePolicy", "RetryBudget"]

HEDGE_SHARE = 0.05
HEDGE_PERCENTILE = 0.95
HEDGE_BURST = 5.0  # hedges
WINDOW = 500  # latencies
MIN_SAMPLES = 20
REFRESH = 50  # latencies between two computations of the percentile
RETRY_SHARE = 0.10
RETRY_BURST = 10.0  # retries


class RetryBudget:
    """Allow retries up to a share of the requests seen."""

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def note_request(self) -> None:
        """Count one first attempt."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one retry from the budget and tell whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class HedgePolicy:
    """Allow a second copy of slow idempotent requests of services without keys."""

    def __init__(self, keyed: bool, share: float = HEDGE_SHARE) -> None:
        self._keyed = keyed
        self._budget = RetryBudget(share, HEDGE_BURST)
        self._latencies: deque[float] = deque(maxlen=WINDOW)
        self._since_refresh = 0
        self._delay: float | None = None

    def note_request(self) -> None:
        """Count one request."""
        self._budget.note_request()

    def note_latency(self, latency: float) -> None:
        """Take in the latency of a complete response in seconds."""
        self._latencies.append(latency)
        self._since_refresh += 1
        if len(self._latencies) < MIN_SAMPLES:
            return
        if self._delay is None or self._since_refresh >= REFRESH:
            ordered = sorted(self._latencies)
            self._delay = ordered[int(len(ordered) * HEDGE_PERCENTILE)]
            self._since_refresh = 0

    def delay(self, idempotent: bool) -> float | None:
        """Return after how many seconds to hedge, or ``None`` for never."""
        if self._keyed or not idempotent:
            return None
        return self._delay

    def allow(self, idempotent: bool) -> bool:
        """Spend one hedge if the request may be hedged and the budget allows it."""
        if self._keyed or not idempotent:
            return False
        return self._budget.spend()
