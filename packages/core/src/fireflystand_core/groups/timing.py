"""Hold the times that claims, grants and moves follow."""

import attrs

__all__ = ["Timing"]


@attrs.frozen
class Timing:
    """Hold times in seconds and the assumed relative drift of two clocks."""

    lease: float = 0.5  # authority after a majority confirmed
    witness_period: float = 0.15
    grant_ttl: float = 1.0
    grant_period: float = 0.33
    drift: float = 0.01
    target_silence: float = 0.7  # a silent target counts as unreachable
    answer_wait: float = 0.5  # wait for the answer to a grant
    rejoin_wait: float = 2.0  # a target that was silent gets no shards
    witness_silence: float = 2.0  # a silent witness is replaced
    retry_wait: float = 0.1  # between attempts of a store call
    leave_limit: float = 2.0  # a leaving target still serves shards that have not moved
    marker_wait: float = 1.0  # for witnesses that may hold an earlier marker
    settle: float = 0.25  # a moved shard still counts as moving
    hot_key_period: float = 5.0  # between changes of overrides

    def lengthen(self, duration: float) -> float:
        """Return a wait that covers ``duration`` on a slower clock."""
        return duration * (1 + self.drift)
