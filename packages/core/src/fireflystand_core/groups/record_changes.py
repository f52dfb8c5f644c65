"""Choose the next change of the record."""

from .identity import GroupIdentity
from .lease import AuthorityLease
from .moves import MovePlan
from .overrides import OverridePlan
from .record import GroupRecord
from .release import ReleaseRules
from .witnesses import WitnessChoice

__all__ = ["RecordChanges"]


class RecordChanges:
    """Put moves before overrides, witnesses and the end of earlier epochs."""

    def __init__(
        self,
        identity: GroupIdentity,
        lease: AuthorityLease,
        rules: ReleaseRules,
        plan: MovePlan,
        overrides: OverridePlan,
        choice: WitnessChoice,
    ) -> None:
        self._identity = identity
        self._lease = lease
        self._rules = rules
        self._plan = plan
        self._overrides = overrides
        self._choice = choice

    def next_record(
        self, record: GroupRecord, op: str, now: float
    ) -> GroupRecord | None:
        """Return the record to write now, if any."""
        ready = {
            move.shard: move.destination
            for move in self._plan.moves_by_shard.values()
            if move.step == "write"
        }
        if ready:
            return record.move(ready, op)
        changed = self._overrides.next_record(
            record, lambda shard: self._may_override(record, shard, now), op
        )
        if changed is not None:
            return changed
        witnesses = self._choice.replacement(self._lease, now)
        if witnesses is not None:
            name, incarnation = self._identity.instance, self._identity.incarnation
            return record.claim(name, incarnation, witnesses, op)
        end = self._rules.earlier.grants_end()
        if record.predecessors and end is not None and now > end:
            return record.settle(op)
        return None

    def _may_override(self, record: GroupRecord, shard: int, now: float) -> bool:
        owner = record.owners.get(shard)
        if shard in self._plan.moves_by_shard:
            return False
        if owner is not None and self._rules.permits_pending(owner, shard, now):
            return False
        return self._rules.is_free(owner, shard, now)
