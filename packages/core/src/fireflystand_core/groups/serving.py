"""Judge whether a shard can be served safely now."""

from .identity import Explanation
from .lease import AuthorityLease
from .moves import MovePlan
from .overrides import OverridePlan
from .record import GroupRecord
from .release import ReleaseRules
from .targets import TargetSet

__all__ = ["ServingRules"]


class ServingRules:
    """Hold what has to be true before a request may go to an owner."""

    def __init__(
        self,
        lease: AuthorityLease,
        targets: TargetSet,
        rules: ReleaseRules,
        plan: MovePlan,
        overrides: OverridePlan,
    ) -> None:
        self._lease = lease
        self._targets = targets
        self._rules = rules
        self._plan = plan
        self._overrides = overrides

    def explain(
        self, record: GroupRecord, shard: int, authority: bool, now: float
    ) -> Explanation:
        """Tell the owner of a shard and why it is served or not."""
        owner = record.owners.get(shard)
        reason = "no majority of witnesses"
        if authority:
            reason = self._refusal(record.epoch, shard, owner, now)
        moves = tuple(
            (m.shard, m.source, m.destination, m.step)
            for m in self._plan.moves_by_shard.values()
        )
        left = max(0.0, self._lease.valid_until() - now)
        return Explanation(
            shard, owner, record.epoch, not reason, reason or "owned", left, moves
        )

    def _refusal(self, epoch: int, shard: int, owner: str | None, now: float) -> str:
        if shard in self._plan.moves_by_shard or shard in self._overrides.held:
            return "shard is moving"
        known = self._targets.by_id.get(owner)
        if known is None:
            return "no owner"
        if known.has_left(now):
            return "target is leaving"
        if not known.info.checks_epoch:
            ended = self._rules.earlier_permits_ended(now)
            ready = known.incarnation is not None and ended
            return "" if ready else "permits of an earlier epoch may be in use"
        served = known.serves(shard, epoch, now)
        return "" if served else "target has not confirmed its grant"
