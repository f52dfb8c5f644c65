"""Decide for one group: authority, owners, grants and moves."""

from collections.abc import Iterable, Mapping

from .actions import (
    Action,
    ClaimPublished,
    RequestConfirmation,
    RequestSeal,
    Started,
    Stopped,
)
from .identity import Explanation, GroupIdentity
from .lease import AuthorityLease, EarlierEpochs
from .moves import MovePlan
from .overrides import OverridePlan
from .record import GroupRecord
from .record_changes import RecordChanges
from .release import PermitsPending, ReleaseRules
from .serving import ServingRules
from .target_grants import TargetGrants, TargetInfo
from .targets import TargetSet
from .timing import Timing
from .witnesses import WitnessChoice
from .writes import RecordWrites

__all__ = ["Explanation", "GroupCoordinator", "GroupIdentity", "TargetInfo"]


class GroupCoordinator:
    """Take events with ``now`` and return the actions of the host.

    ``permits_pending(target, shard, now)`` tells whether a permit for the shard at
    the target was neither returned nor passed its deadline.
    """

    def __init__(
        self,
        identity: GroupIdentity,
        timing: Timing | None = None,
        permits_pending: PermitsPending = lambda target, shard, now: False,
    ) -> None:
        self.identity = identity
        self.timing = timing or Timing()
        self.phase = "idle"  # idle, claiming, active, given-up or stopped
        self.unjournaled = False
        self._marker_seen = False
        self._claimed_at = 0.0
        self._targets = TargetSet(self.timing)
        self._rules = ReleaseRules(identity, self._targets, permits_pending)
        self._lease = AuthorityLease(self.timing)
        self._writes = RecordWrites(None, 0, identity.owner_name, self.timing)
        self._plan = MovePlan(identity.service, identity.shards, identity.policy)
        self._overrides = OverridePlan(identity, self.timing)
        self._serving = ServingRules(
            self._lease, self._targets, self._rules, self._plan, self._overrides
        )
        self._choice = WitnessChoice(identity, self.timing)
        self._changes = RecordChanges(
            identity,
            self._lease,
            self._rules,
            self._plan,
            self._overrides,
            self._choice,
        )
        self._loads: dict[int, float] = {}
        self._asked_at: float | None = None
        self._sealed_at = 0.0

    @property
    def targets_by_id(self) -> Mapping[str, TargetGrants]:
        """Return the targets with their state."""
        return self._targets.by_id

    # Claim

    def claim(
        self,
        record: GroupRecord | None,
        version: int,
        witnesses: Mapping[str, str],
        targets: Iterable[TargetInfo],
        now: float,
        handed_epoch: int | None = None,
    ) -> list[Action]:
        """Begin to claim the group against the record that was read.

        ``handed_epoch`` is the epoch that its coordinator has given up, if it was
        handed over.
        """
        self.phase = "claiming"
        handed = record is not None and record.epoch == handed_epoch
        self._rules.handed = handed
        self._writes = RecordWrites(
            record, version, self.identity.owner_name, self.timing
        )
        self.set_targets(targets, now)
        op = self._writes.next_operation()
        name, incarnation = self.identity.instance, self.identity.incarnation
        if record is None:
            claimed = GroupRecord.first(name, incarnation, witnesses, op)
            weights = self._targets.weights(now)
            if weights:
                owners = self._plan.assign(self.identity.shards, {}, weights, {})
                claimed = claimed.move(owners, op)
        else:
            self._choice.note_former(record.witnesses)
            claimed = record.claim(name, incarnation, witnesses, op)
        return [self._writes.start(claimed, now)]

    @property
    def record(self) -> GroupRecord | None:
        """Return the durable record as last known."""
        return self._writes.record

    @property
    def epoch(self) -> int:
        """Return the epoch of the record, 0 before the claim."""
        return self.record.epoch if self.phase == "active" else 0

    @property
    def witnesses(self) -> Mapping[str, str]:
        """Return the incarnations of the witnesses in force."""
        return self._lease.witnesses

    def store_blocked_for(self, now: float) -> float:
        """Return for how long a needed store write has been waiting, in seconds."""
        return self._writes.pending_for(now)

    def written(self, operation_id: str, version: int, now: float) -> list[Action]:
        """Note that a write succeeded."""
        before = self._writes.record
        if self.phase in ("stopped", "given-up"):
            return []
        if not self._writes.written(operation_id, version):
            return []
        return self._accept(before, now) + self.tick(now)

    def write_failed(self, operation_id: str, now: float) -> list[Action]:
        """Note that a write failed, conflicted or has an unknown effect."""
        self._writes.unsure(operation_id, now)
        return self.tick(now)

    def read_failed(self, now: float) -> list[Action]:
        """Note that the record could not be read."""
        self._writes.read_failed(now)
        return self.tick(now)

    def read(
        self, record: GroupRecord | None, version: int, now: float
    ) -> list[Action]:
        """Judge the record as the store has it."""
        if self.phase in ("stopped", "given-up"):
            return []
        before = self._writes.record
        result = self._writes.read(record, version, now)
        if result == "lost":
            return self.stop("another instance wrote the record")
        actions = self._accept(before, now) if result == "written" else []
        return actions + self.tick(now)

    def _accept(self, before: GroupRecord | None, now: float) -> list[Action]:
        record = self.record
        if self.phase == "claiming":
            return self._begin(before, now)
        self._plan.written(record.owners, now + self.timing.settle)
        self._rules.epoch = record.epoch
        self._overrides.written(record)
        if record.epoch == before.epoch:
            return []
        if record.predecessors != before.predecessors:
            self._rules.earlier = self._rebuild_earlier(before.epoch, now)
        self._lease.name_witnesses(record.witnesses, now)
        self._asked_at = None
        return [ClaimPublished(self._writes.version, record.epoch)]

    def _begin(self, before: GroupRecord | None, now: float) -> list[Action]:
        self.phase = "active"
        self._claimed_at = now
        record = self.record
        self._rules.epoch = record.epoch
        self._lease.name_witnesses(record.witnesses, now)
        self._rules.earlier = EarlierEpochs(record.predecessors, self.timing)
        if self._rules.handed and before is not None:
            self._rules.earlier.given_up(before.epoch, now)
        self._overrides.written(record)
        published = ClaimPublished(self._writes.version, record.epoch)
        return [Started(record.epoch), published]

    def _rebuild_earlier(self, own_epoch: int, now: float) -> EarlierEpochs:
        earlier = EarlierEpochs(self.record.predecessors, self.timing)
        earlier.take_over(self._rules.earlier)
        earlier.given_up(own_epoch, now, own=True)
        return earlier

    # Authority

    def has_authority(self, now: float) -> bool:
        """Tell whether a majority of the witnesses confirmed the epoch lately."""
        return self.phase == "active" and now < self._lease.valid_until()

    def earlier_ended(self, now: float) -> bool:
        """Tell whether no earlier coordinator of the group can act any more.

        The witnesses that may hold a marker of an earlier one get a second to answer.
        """
        end = self._rules.earlier.authority_end()
        if self.phase != "active" or end is None or now < end:
            return False
        waited = now >= self._claimed_at + self.timing.marker_wait
        return waited or self._rules.earlier.markers_known()

    @property
    def predecessor_unjournaled(self) -> bool:
        """Tell whether an earlier coordinator may have run requests unjournaled."""
        return self._marker_seen or not self._rules.earlier.markers_known()

    def confirmed(
        self, witness: str, incarnation: str, epoch: int, asked_at: float, now: float
    ) -> list[Action]:
        """Count a confirmation from the time at which it was asked for."""
        if self.phase == "active" and epoch == self.epoch:
            self._lease.confirm(witness, incarnation, asked_at)
        return self.tick(now)

    def higher_epoch(self, epoch: int, now: float) -> list[Action]:
        """Stop if a witness or a target knows a higher epoch."""
        if self.phase == "active" and epoch > self.epoch:
            return self.stop(f"epoch {epoch} is known")
        return []

    def sealed(
        self,
        witness: str,
        incarnation: str,
        epoch: int,
        confirmed_age: float | None,
        unjournaled: bool,
        now: float,
    ) -> list[Action]:
        """Note that a witness confirms nothing below ``epoch`` any more."""
        if self.phase != "active" or epoch < self.epoch:
            return []
        if epoch > self.epoch:
            return self.higher_epoch(epoch, now)
        self._marker_seen |= unjournaled
        self._rules.earlier.sealed(witness, incarnation, confirmed_age, now)
        return self.tick(now)

    def instance_died(
        self, instance: str, incarnation: str, now: float
    ) -> list[Action]:
        """Note that the process of an instance is known to be dead."""
        self._rules.earlier.died(instance, incarnation, now)
        self._choice.note_dead(instance, incarnation, now)
        return self.tick(now)

    def set_instances(
        self, incarnations: Mapping[str, str], data_centres: Mapping[str, str]
    ) -> None:
        """Take over which instances may be witnesses."""
        self._choice.set_instances(incarnations, data_centres)

    def give_up(self) -> list[Action]:
        """Stop deciding so that the group can be handed over."""
        self.phase = "given-up"
        return [Stopped("handed over")]

    def stop(self, reason: str) -> list[Action]:
        """Stop deciding."""
        if self.phase == "stopped":
            return []
        self.phase = "stopped"
        return [Stopped(reason)]

    # Targets

    def set_targets(self, targets: Iterable[TargetInfo], now: float) -> None:
        """Take over the targets of the group and their states."""
        self._targets.set_infos(targets, now)

    def target_status(
        self,
        target: str,
        connection: int,
        incarnation: str,
        clock_ms: float,
        draining: bool,
        now: float,
    ) -> list[Action]:
        """Take over a status; connections are numbered in the order of opening."""
        changes = self._targets.heard(
            target, connection, incarnation, clock_ms, draining, now
        )
        return changes + self.tick(now)

    def grant_acknowledged(
        self, target: str, epoch: int, sequence: int, incarnation: str, now: float
    ) -> list[Action]:
        """Note that a target keeps a grant."""
        known = self.targets_by_id.get(target)
        if known is not None:
            known.acknowledged(epoch, sequence, incarnation)
        return self.tick(now)

    def target_died(self, target: str, now: float) -> list[Action]:
        """Note evidence that the process of a target is dead."""
        return self._targets.died(target, now) + self.tick(now)

    # Requests

    def note_request(self, key: int, shard: int, amount: float = 1.0) -> None:
        """Count a request for the choice of hot keys."""
        self._overrides.counter.add(key, amount)

    def set_loads(self, loads_by_shard: Mapping[int, float]) -> None:
        """Take over measured loads; shards that are not named count as 1."""
        self._loads = dict(loads_by_shard)

    def shard_for(self, key: int, shard: int) -> int:
        """Return the shard that a key belongs to, its own if it is a hot key."""
        return self.record.overrides.get(key, shard)

    def owner_of(self, key: int, shard: int, now: float) -> tuple[str, int] | None:
        """Return target and epoch if the key can be served safely now."""
        found = self.explain(key, shard, now)
        return (found.owner, found.epoch) if found.served else None

    def explain(self, key: int, shard: int, now: float) -> Explanation:
        """Tell the owner of a key and the reason why it is served or not."""
        if self.phase != "active":
            return Explanation(shard, None, 0, False, self.phase, 0.0, ())
        own = self.shard_for(key, shard)
        return self._serving.explain(self.record, own, self.has_authority(now), now)

    # Schedule

    def tick(self, now: float) -> list[Action]:
        """Return what is due; call it at least every 0.05 s."""
        actions: list[Action] = []
        call = self._writes.due(now)
        if call is not None and self.phase in ("claiming", "active"):
            actions.append(call)
        if self.phase != "active":
            return actions
        actions += self._ask_witnesses(now)
        actions += self._targets.ask_status(now)
        self._update_moves(now)
        self._advance_moves(now)
        actions += self._write_due(now)
        if self.has_authority(now):
            actions += self._grants(now)
        return actions

    def _ask_witnesses(self, now: float) -> list[Action]:
        actions: list[Action] = []
        period = self.timing.witness_period
        if self._asked_at is None or now - self._asked_at >= period:
            self._asked_at = now
            actions += [
                RequestConfirmation(witness, incarnation, self.epoch, self.unjournaled)
                for witness, incarnation in self._lease.witnesses.items()
            ]
        if now - self._sealed_at >= period:
            waiting = self._rules.earlier.unsealed_witnesses()
            actions += [RequestSeal(witness, self.epoch) for witness in waiting]
            self._sealed_at = now
        return actions

    def _update_moves(self, now: float) -> None:
        weights = self._targets.weights(now)
        lost = self._targets.lost(now)
        own = self.record.overrides.values()
        self._plan.update(self.record.owners, own, weights, lost, self._loads, now)
        self._overrides.update(self.record, weights, now)

    def _advance_moves(self, now: float) -> None:
        for move in self._plan.moves_by_shard.values():
            if move.step == "drain" and self._rules.drained(move, now):
                move.step = "release"
            if move.step == "release" and self._rules.is_free(
                move.source, move.shard, now
            ):
                move.step = "write"

    def _write_due(self, now: float) -> list[Action]:
        if self._writes.busy:
            return []
        op = self._writes.next_operation()
        record = self._changes.next_record(self.record, op, now)
        return [] if record is None else [self._writes.start(record, now)]

    def _grants(self, now: float) -> list[Action]:
        wanted: dict[str, set[int]] = {name: set() for name in self.targets_by_id}
        for shard, target in self.record.owners.items():
            move = self._plan.moves_by_shard.get(shard)
            kept = move is None or move.step == "drain"
            if kept and shard not in self._overrides.held and target in wanted:
                wanted[target].add(shard)
        return list(self._targets.grants(wanted, self.epoch, now))

    def write_suspects(self, fingerprints: tuple[str, ...], now: float) -> list[Action]:
        """Write crash suspects on their own; return nothing while a write runs."""
        if self.phase != "active" or self._writes.busy:
            return []
        op = self._writes.next_operation()
        return [self._writes.start(self.record.suspect(fingerprints, op), now)]
