"""Schedule the grants of one target and bound what it may still own."""

from collections import deque

import attrs

from .actions import SendGrant
from .timing import Timing

__all__ = ["TargetGrants", "TargetInfo"]

DEAD_INCARNATIONS = 8  # remembered for each target


@attrs.frozen
class TargetInfo:
    """Describe a target of the group; ``admits`` tells that it may own shards."""

    id: str
    admits: bool = True
    checks_epoch: bool = True
    weight: float = 1.0


@attrs.define
class _Sent:
    sequence: int
    epoch: int
    sent_at: float
    shards: frozenset[int]


@attrs.define
class _Hold:
    until: float
    sequence: int


class TargetGrants:
    """Hold what a target was granted; times are in the coordinator's clock."""

    def __init__(self, info: TargetInfo, timing: Timing, now: float) -> None:
        self.info = info
        self.incarnation: str | None = None
        self.heard_at: float | None = None
        self.died_at: float | None = None
        self.silent_at: float | None = None
        self.draining = False
        self._leaving_since: float | None = None
        self._timing = timing
        self._created_at = now
        self._connection = -1
        self._clock: tuple[float, float] | None = None  # ms, received at
        self._sequence = 0
        self._sent: _Sent | None = None
        self._acked: _Sent | None = None
        self._holds: dict[int, _Hold] = {}
        self._dead = deque(maxlen=DEAD_INCARNATIONS)

    def heard(
        self, connection: int, incarnation: str, clock_ms: float, now: float
    ) -> str:
        """Take over a status; return ``""``, ``stale``, ``new`` or ``returned``."""
        if connection < self._connection or incarnation in self._dead:
            return "stale"
        was_dead = self.died_at is not None and self.incarnation is None
        restarted = self.incarnation not in (None, incarnation)
        if restarted:
            self.died(now)
        fresh = self.incarnation is None
        self.incarnation = incarnation
        self.heard_at = now
        self._connection = connection
        self._clock = (clock_ms, now)
        if was_dead:
            return "returned"
        return "new" if fresh or restarted else ""

    def died(self, now: float) -> None:
        """Drop everything that the process held; it is known to be dead."""
        if self.incarnation is not None:
            self._dead.append(self.incarnation)
        self.incarnation = None
        self.died_at = now
        self._clock = None
        self._sent = self._acked = None
        self._holds.clear()

    def fenced(self, epoch: int) -> bool:
        """Tell whether the process refuses everything below ``epoch``."""
        return self._acked is not None and self._acked.epoch == epoch

    def note_leaving(self, now: float) -> None:
        """Follow since when the target has been leaving."""
        if self.info.admits and not self.draining:
            self._leaving_since = None
        elif self._leaving_since is None:
            self._leaving_since = now

    def has_left(self, now: float) -> bool:
        """Tell whether the target has been leaving for too long to serve."""
        since = self._leaving_since
        return since is not None and now - since > self._timing.leave_limit

    def silent(self, now: float) -> bool:
        """Tell whether the target has answered nothing lately."""
        heard = self._created_at if self.heard_at is None else self.heard_at
        return now - heard > self._timing.target_silence

    def usable(self, now: float) -> bool:
        """Tell whether the target may be given shards."""
        if not self.info.admits or self.draining:
            return False
        if self.incarnation is None and self.died_at is not None:
            return False
        if self.silent(now):
            self.silent_at = now
            return False
        waited = self.silent_at is None or (
            now - self.silent_at > self._timing.rejoin_wait
        )
        return waited

    def may_hold(self, shard: int, now: float) -> bool:
        """Tell whether a grant of this coordinator may still be in force."""
        hold = self._holds.get(shard)
        return hold is not None and now <= hold.until

    def serves(self, shard: int, epoch: int, now: float) -> bool:
        """Tell whether the target confirmed a grant that is still in force."""
        return self.granted(epoch, now) and shard in self._acked.shards

    def granted(self, epoch: int, now: float) -> bool:
        """Tell whether the target confirmed a grant of the epoch still in force."""
        acked = self._acked
        if acked is None or acked.epoch != epoch:
            return False
        margin = self._timing.grant_ttl * self._timing.drift * 3
        return now < acked.sent_at + self._timing.grant_ttl - margin

    def next_grant(
        self, wanted: frozenset[int], epoch: int, now: float
    ) -> SendGrant | None:
        """Return the grant that is due; the caller has checked its authority now."""
        if self._clock is None or not self._is_due(wanted, epoch, now):
            return None
        self._sequence += 1
        self._sent = _Sent(self._sequence, epoch, now, wanted)
        until = now + self._timing.grant_ttl
        for shard in wanted:
            self._holds[shard] = _Hold(until, self._sequence)
        return SendGrant(
            self.info.id,
            self._connection,
            epoch,
            self._sequence,
            wanted,
            self._expiry(until),
        )

    def _is_due(self, wanted: frozenset[int], epoch: int, now: float) -> bool:
        if self._sent is not None:
            # A grant sent again to a target that does not answer would only
            # lengthen the time until its shards may move.
            heard_since = self.heard_at > self._sent.sent_at + self._timing.answer_wait
            return heard_since
        acked = self._acked
        if acked is None or acked.epoch != epoch or acked.shards != wanted:
            return True
        return now - acked.sent_at >= self._timing.grant_period

    def _expiry(self, until: float) -> float:
        # The reading was taken no later than it was received, and the target's
        # clock runs at least (1 - drift) as fast as this one.
        clock_ms, received_at = self._clock
        left = (until - received_at) * (1 - self._timing.drift)
        return clock_ms + left * 1000

    def acknowledged(self, epoch: int, sequence: int, incarnation: str) -> bool:
        """Note that the target keeps the grant that was sent last."""
        sent = self._sent
        if sent is None or (sent.epoch, sent.sequence) != (epoch, sequence):
            return False
        if incarnation != self.incarnation:
            return False
        self._sent = None
        self._acked = sent
        self._holds = {s: h for s, h in self._holds.items() if s in sent.shards}
        return True
