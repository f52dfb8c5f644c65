"""Limit what a cold target gets from all instances that grant its slots.

One instance grants the slots of a target for all, unless some cannot reach it: it is
lost, or the fleet is in parts. Then several grant at once and none knows of the others.
Therefore only a few instances of the registered fleet may grant slots of a cold target,
each no more than its share, and the shares of all of them keep the limit.
"""

from collections.abc import Callable

import attrs

from ..accounts import TokenBucket

__all__ = ["COLD_GRANT_LIFETIME", "WarmupLimit", "WarmupPolicy", "WarmupShare"]

COLD_BURST = 2.0  # requests that a cold target may get at once
# Instances after the first that may grant slots of a cold target, as far as the limit
# allows. They are asked while those before them cannot be.
MAX_DEPUTIES = 2
MAX_DEPUTY_SHARE = 0.5  # of the warm-up rate
DEPUTY_BURST = 1.0  # requests
MIN_DEPUTY_LIMIT = 2.0  # requests within a second that make a deputy worthwhile
# A slot may be used for this long, so that the requests that arrive within a second
# were granted in that second and the time before it.
COLD_GRANT_LIFETIME = 0.5  # seconds from the grant to the first byte
HEALTH_CHECK_DURATION = 0.02  # seconds expected


@attrs.frozen
class WarmupShare:
    """Hold what one instance may grant: ``rate`` a second and ``burst`` at once."""

    rate: float
    burst: float

    @property
    def per_second(self) -> float:
        """Return the most requests sent within any second."""
        return self.burst + self.rate * (1 + COLD_GRANT_LIFETIME)

    @classmethod
    def within(cls, limit: float, rate: float, burst: float) -> "WarmupShare":
        """Return the largest share up to a rate that keeps a limit within a second."""
        return cls(
            max(0.0, min(rate, (limit - burst) / (1 + COLD_GRANT_LIFETIME))), burst
        )


NO_SHARE = WarmupShare(0.0, 0.0)


@attrs.frozen
class WarmupPolicy:
    """Say what cold targets of a service get.

    ``rate`` is in requests a second, 0 for no limit; a target that starts stays cold
    for ``duration`` seconds. ``limit`` bounds the requests within any second from all
    instances.
    """

    rate: float = 0.0
    duration: float = 0.0
    limit: float = float("inf")

    def share(self, rank: int) -> WarmupShare:
        """Return what the instance of a rank may grant; 0 is the first for a target."""
        spread = (1 + COLD_GRANT_LIFETIME) * self.rate
        burst = max(1.0, min(COLD_BURST, self.limit - spread))
        first = WarmupShare.within(self.limit, self.rate, burst)
        if rank == 0:
            return first
        left = self.limit - first.per_second
        deputies = int(min(MAX_DEPUTIES, left / MIN_DEPUTY_LIMIT))
        if rank > deputies:
            return NO_SHARE
        rate = MAX_DEPUTY_SHARE * self.rate
        return WarmupShare.within(left / deputies, rate, DEPUTY_BURST)


class WarmupLimit:
    """Own what this instance may grant at one target that is cold, or may be.

    ``rank`` returns this instance's position among those that may grant its slots.
    """

    def __init__(
        self,
        policy: WarmupPolicy,
        cold_for: float,
        now: float,
        rank: Callable[[], int] = lambda: 0,
    ) -> None:
        self.policy = policy
        self._rank = rank
        self._applied_rank: int | None = None
        self._share = NO_SHARE
        self._cold_until = now + cold_for
        self._suspected_at = float("-inf")
        self._has_failed_check = False
        self._bucket = TokenBucket(policy.rate, COLD_BURST, now, COLD_BURST)

    def update(self, policy: WarmupPolicy, cold_for: float, now: float) -> None:
        """Apply newer settings, and that the target stays cold for some seconds.

        An earlier statement that it stays cold for longer holds nevertheless: it may
        have come by a shorter way than this one.
        """
        self._cold_until = max(self._cold_until, now + cold_for)
        if policy != self.policy:
            self.policy = policy
            self._applied_rank = None

    def is_cold(self, now: float) -> bool:
        """Tell whether the target is known to be cold."""
        return self.policy.rate > 0 and now < self._cold_until

    def cold_left(self, now: float) -> float:
        """Return for how many seconds the target is known to stay cold."""
        return max(0.0, self._cold_until - now)

    @property
    def rate(self) -> float:
        """Return how many requests a second this instance may grant when it is cold."""
        return self._share.rate

    def is_suspect(self, now: float) -> bool:
        """Tell whether the target is suspected to have restarted, and so to be cold."""
        return self.policy.rate > 0 and now < self.suspected_until

    @property
    def suspected_until(self) -> float:
        """Return when a suspicion ends without a health check."""
        return self._suspected_at + self.policy.duration

    def suspect_restart(self, now: float) -> None:
        """Treat the target as cold for its warm-up time, as it may have restarted."""
        self._suspected_at = now
        self._has_failed_check = False

    def note_failed_check(self) -> None:
        """Apply that the target did not state its health when it was asked."""
        self._has_failed_check = True

    def clear_suspicion(self, checked_at: float) -> None:
        """End the suspicion unless it arose after the health check began."""
        if self._suspected_at < checked_at:
            self._suspected_at = float("-inf")

    def available(self, now: float, uncounted: int) -> int:
        """Return how many requests may be granted now.

        ``uncounted`` requests were granted before the target was limited and may still
        arrive.
        """
        self._refresh(now)
        return max(0, int(self._bucket.level) - uncounted)

    def spend(self, now: float) -> None:
        """Count a request that the target gets.

        Those that ran before the limit may be many, and delay others by a second.
        """
        self._refresh(now)
        self._bucket.level = max(self._bucket.level - 1, -self._share.rate)

    def drain(self, now: float) -> None:
        """Take the tokens for a burst, which may have been spent elsewhere."""
        self._bucket.refill(now)
        self._bucket.level = min(self._bucket.level, 0.0)

    def wait(self, now: float, uncounted: int) -> float:
        """Return the seconds until the next request may be granted."""
        self._refresh(now)
        if self._share.rate > 0:
            return self._bucket.time_until(1.0 + uncounted)
        if self.is_cold(now):
            return self._cold_until - now
        if self._has_failed_check:
            return max(HEALTH_CHECK_DURATION, self.suspected_until - now)
        return HEALTH_CHECK_DURATION

    def _refresh(self, now: float) -> None:
        """Add the tokens accrued, at this instance's share by its present rank."""
        rank = self._rank()
        if rank == self._applied_rank:
            return self._bucket.refill(now)
        has_changed = self._applied_rank is not None
        self._applied_rank = rank
        self._share = self.policy.share(rank)
        self._bucket.change(self._share.rate, self._share.burst, now)
        if has_changed:
            # Another instance may have granted its share within the last second.
            self.drain(now)
