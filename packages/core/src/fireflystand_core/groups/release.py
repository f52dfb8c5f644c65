"""Judge when a shard has left the target that owned it."""

from collections.abc import Callable

from .identity import GroupIdentity
from .lease import EarlierEpochs
from .moves import Move
from .targets import TargetSet

__all__ = ["PermitsPending", "ReleaseRules"]

PermitsPending = Callable[[str, int, float], bool]


class ReleaseRules:
    """Hold the rules under which a shard may get another owner."""

    def __init__(
        self, identity: GroupIdentity, targets: TargetSet, pending: PermitsPending
    ) -> None:
        self._identity = identity
        self._targets = targets
        self.permits_pending = pending
        self.earlier = EarlierEpochs((), None)
        self.epoch = 0
        self.handed = False

    def drained(self, move: Move, now: float) -> bool:
        """Tell whether no permit for the shard is outstanding any more.

        A silent target that checks epochs refuses late requests by itself.
        """
        if move.source is None:
            return True
        known = self._targets.by_id.get(move.source)
        if known is not None and known.info.checks_epoch and known.silent(now):
            return True
        return not self.permits_pending(move.source, move.shard, now)

    def earlier_permits_ended(self, now: float) -> bool:
        """Tell whether no permit of an earlier coordinator can be in use."""
        end = self.earlier.permits_known_from()
        if end == 0.0:
            return True
        if end is None or now <= end:
            return False
        wait = 0.0 if self.handed else self._identity.max_deadline
        return now > end + wait

    def is_free(self, target: str | None, shard: int, now: float) -> bool:
        """Tell whether the target cannot own the shard any more."""
        end = self.earlier.authority_end()
        if end is None or now < end:
            return False
        if target is None:
            return True
        known = self._targets.by_id.get(target)
        if known is not None and not known.info.checks_epoch:
            return self.earlier_permits_ended(now)
        if known is not None and known.may_hold(shard, now):
            return False
        if end == 0.0 or now > self.earlier.grants_end():
            return True
        if known is None:
            return False
        # A process that started before the old authority ended may have been
        # granted the shard again by the previous coordinator.
        died = known.died_at is not None and known.died_at >= end
        return died or known.fenced(self.epoch)
