"""Pack the state of a permit desk for a handover."""

import attrs
import msgpack

from fireflystand_core.journal import JournalIndex

from .crashes import CrashHold
from .targets import OutstandingPermit, TargetAdmission

__all__ = ["export_state", "restore_state"]

_TARGET_FIELDS = [
    "id",
    "address",
    "slots",
    "connections",
    "draining",
    "alive",
    "incarnation",
    "inherited",
]
_LEARNED_FIELDS = ["limit", "warm_limit", "status_warm", "baseline"]


def export_state(
    targets_by_id: dict[str, TargetAdmission],
    departed: list[OutstandingPermit],
    hold: CrashHold,
    journal: JournalIndex,
    now: float,
) -> dict[str, bytes]:
    """Return the state with all times relative to ``now``."""
    targets = [_export_target(target, now) for target in targets_by_id.values()]
    return {
        "targets": msgpack.packb(targets),
        "departed": msgpack.packb([_export_permit(p, now) for p in departed]),
        "suspects": msgpack.packb(hold.store(now)),
        "journal": msgpack.packb(journal.export(now)),
        "gap": msgpack.packb(journal.gap_until - now),
    }


def restore_state(
    state: dict[str, bytes], hold: CrashHold, journal: JournalIndex, now: float
) -> tuple[dict[str, TargetAdmission], list[OutstandingPermit]]:
    """Restore suspects and journal; return targets by id and departed permits."""
    hold.load(msgpack.unpackb(state["suspects"]), now)
    journal.restore(msgpack.unpackb(state["journal"]), now)
    journal.gap_until = now + msgpack.unpackb(state["gap"])
    departed = [_permit(f, now) for f in msgpack.unpackb(state["departed"])]
    targets = [_target(f, now) for f in msgpack.unpackb(state["targets"])]
    return {target.id: target for target in targets}, departed


def _export_target(target: TargetAdmission, now: float) -> dict:
    fields = {name: getattr(target, name) for name in _TARGET_FIELDS + _LEARNED_FIELDS}
    fields["ready_after"] = target.ready_after - now
    fields["inherited_until"] = target.inherited_until - now
    fields["cold_since"] = target.cold_since - now
    permits = target.permits_by_id.values()
    fields["permits"] = [_export_permit(permit, now) for permit in permits]
    return fields


def _export_permit(permit: OutstandingPermit, now: float) -> dict:
    fields = attrs.asdict(permit)
    for name in ("issued_at", "deadline", "lost_at"):
        if fields[name] is not None:
            fields[name] -= now
    return fields


def _target(fields: dict, now: float) -> TargetAdmission:
    target = TargetAdmission(**{name: fields[name] for name in _TARGET_FIELDS})
    for name in _LEARNED_FIELDS:
        setattr(target, name, fields[name])
    target.recent = target.baseline
    target.ready_after = now + fields["ready_after"]
    target.inherited_until = now + fields["inherited_until"]
    target.cold_since = now + fields["cold_since"]
    for permit in fields["permits"]:
        target.issue(_permit(permit, now))
    return target


def _permit(fields: dict, now: float) -> OutstandingPermit:
    permit = OutstandingPermit(**fields)
    permit.issued_at += now
    permit.deadline += now
    if permit.lost_at is not None:
        permit.lost_at += now
    return permit
