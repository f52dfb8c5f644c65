"""Bound the extra load of hedges and retries."""

from collections import deque

__all__ = ["HedgePolicy", "RetryBudget", "SharedRetryBudget"]

HEDGE_SHARE = 0.05
HEDGE_PERCENTILE = 0.95
HEDGE_BURST = 5.0  # hedges
WINDOW = 500  # latencies
MIN_SAMPLES = 20
REFRESH = 50  # latencies between two computations of the percentile
RETRY_SHARE = 0.10
RETRY_BURST = 10.0  # retries
RETRY_WINDOW = 10.0  # seconds
RETRY_RETENTION = 5.0  # seconds; a window may add what was earned before it
START_SECONDS = 1.0  # of its part of the burst with which an instance starts


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


class SharedRetryBudget:
    """Allow an instance's part of the retries that all instances may send in a window.

    Retries are earned as a share of the requests, and with time at the instance's part
    of the burst for each window. Fractions of them begin at a random ``phase``, so that
    all instances together earn what they may, however small their parts are. What is
    not spent lapses, so that calm instances do not save a retry each. Times are in
    seconds.
    """

    def __init__(self, share: float, burst: float, phase: float, now: float) -> None:
        self._share = share
        self._burst = burst
        self._fraction = phase  # of the next retry
        self._has_started = False
        self._updated_at = now
        self._earned_at: deque[float] = deque()  # when unspent retries were earned

    def note_request(self, part: float, now: float) -> None:
        """Count one first attempt; ``part`` is one instance's part of all."""
        self._accrue(part, now)
        self._earn(self._share, now)

    def spend(self, part: float, now: float) -> bool:
        """Take one retry from the budget and tell whether there was one."""
        self._accrue(part, now)
        if not self._earned_at:
            return False
        self._earned_at.popleft()
        return True

    def _accrue(self, part: float, now: float) -> None:
        """Earn what the time since the last call gives; drop what has lapsed."""
        rate = self._burst * part / RETRY_WINDOW
        if rate and not self._has_started:
            self._has_started = True
            self._earn(min(1.0, rate * START_SECONDS), now)
        at = max(self._updated_at, now - RETRY_RETENTION)
        while rate and (missing := (1.0 - self._fraction) / rate) <= now - at:
            at += missing
            self._earn(1.0 - self._fraction, at)
        self._fraction += rate * max(0.0, now - at)
        self._updated_at = max(self._updated_at, now)
        while self._earned_at and self._earned_at[0] < now - RETRY_RETENTION:
            self._earned_at.popleft()

    def _earn(self, retries: float, at: float) -> None:
        self._fraction += retries
        if self._fraction >= 1.0:
            self._fraction -= 1.0
            self._earned_at.append(at)


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
