"""Merge the audit records of configuration, API keys, data centres and targets."""

import attrs

from fireflystand_core.configuration import AuditRecord, generation_key

from .context import Context
from .results import CommandResult, InputFaultError
from .states import DATA_CENTRES, TARGETS

__all__ = ["HistoryFilter", "show_history"]

MAX_GENERATIONS = 1000  # generations read, with one call to the store each
KINDS_BY_PREFIX = {
    "keys/": "key",
    DATA_CENTRES.prefix: "data-centre",
    TARGETS.prefix: "target",
}
CONFIGURATION = "configuration"
KINDS = (CONFIGURATION, *KINDS_BY_PREFIX.values())


@attrs.frozen
class AuditEntry:
    """Hold an audit record with the kind and name of the object changed."""

    kind: str
    name: str
    audit: AuditRecord

    def __str__(self) -> str:
        audit = self.audit
        why = f" ({audit.why})" if audit.why else ""
        return (
            f"{audit.when} {self.kind} {self.name}: {audit.before or 'nothing'} -> "
            f"{audit.after} by {audit.who}, operation {audit.operation_id}{why}"
        )


@attrs.frozen
class HistoryFilter:
    """Select audit records; ``name`` is a prefix, an empty field matches all."""

    kind: str = ""
    name: str = ""
    who: str = ""
    operation: str = ""
    since: str = ""  # UTC, ISO 8601
    limit: int = 50

    def matches(self, entry: AuditEntry) -> bool:
        """Tell whether an entry is selected."""
        return (
            self.kind in ("", entry.kind)
            and entry.name.startswith(self.name)
            and self.who in ("", entry.audit.who)
            and self.operation in ("", entry.audit.operation_id)
            and entry.audit.when >= self.since
        )


async def show_history(context: Context, criteria: HistoryFilter) -> CommandResult:
    """Show the newest ``limit`` entries of the audit trail, oldest first."""
    if criteria.kind not in ("", *KINDS):
        raise InputFaultError(
            f"kind {criteria.kind!r} does not exist; use one of {', '.join(KINDS)}"
        )
    entries: list[AuditEntry] = []
    for prefix, kind in KINDS_BY_PREFIX.items():
        if criteria.kind in ("", kind):
            entries += await _read_object_records(context, prefix, kind)
    cut = False
    if criteria.kind in ("", CONFIGURATION):
        generations, cut = await _read_generation_records(context, criteria.since)
        entries += generations
    entries = sorted(filter(criteria.matches, entries), key=lambda e: e.audit.when)
    entries = entries[-criteria.limit :]
    lines = [str(entry) for entry in entries]
    if cut:
        lines.append(f"generations before the last {MAX_GENERATIONS} were not read")
    data = [
        {"kind": entry.kind, "name": entry.name, **entry.audit.to_value()}
        for entry in entries
    ]
    return CommandResult(lines, {"entries": data, "cut": cut})


async def _read_object_records(
    context: Context, prefix: str, kind: str
) -> list[AuditEntry]:
    snapshot = await context.store.list(prefix)
    return [
        AuditEntry(kind, item.key.removeprefix(prefix), AuditRecord.from_value(value))
        for item in snapshot.items
        for value in item.value.get("history", [])
    ]


async def _read_generation_records(
    context: Context, since: str
) -> tuple[list[AuditEntry], bool]:
    """Follow the chain back from the generation in effect.

    Rejected generations are not in the chain. Tell also whether the chain was cut.
    """
    operation_id = (await context.current()).operation_id
    entries: list[AuditEntry] = []
    while operation_id and len(entries) < MAX_GENERATIONS:
        found = await context.generation(generation_key(operation_id))
        audit = attrs.evolve(found.audit, operation_id=operation_id)
        entries.append(AuditEntry(CONFIGURATION, str(found.generation), audit))
        if found.audit.when < since:
            return entries, False
        operation_id = found.previous
    return entries, bool(operation_id)
