"""Merge the audit records of all kinds of object."""

import attrs

from fireflystand_core.configuration import AuditRecord, generation_key

from .context import Context
from .results import CommandResult, InputFaultError
from .states import DATA_CENTRES, TARGETS

__all__ = ["HistoryFilter", "show_history"]

MAX_GENERATIONS = 1000  # generations read back, one store read each
KINDS_BY_PREFIX = {
    "keys/": "key",
    DATA_CENTRES.prefix: "data-centre",
    TARGETS.prefix: "target",
}
CONFIGURATION = "configuration"
KINDS = (CONFIGURATION, *KINDS_BY_PREFIX.values())


@attrs.frozen
class Entry:
    """Hold an audit record and what it is about."""

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
    """Choose audit records; empty fields match everything."""

    kind: str = ""
    name: str = ""
    who: str = ""
    operation: str = ""
    since: str = ""  # UTC, ISO 8601
    limit: int = 50

    def matches(self, entry: Entry) -> bool:
        """Tell whether an entry is wanted."""
        return (
            self.kind in ("", entry.kind)
            and entry.name.startswith(self.name)
            and self.who in ("", entry.audit.who)
            and self.operation in ("", entry.audit.operation_id)
            and entry.audit.when >= self.since
        )


async def show_history(context: Context, wanted: HistoryFilter) -> CommandResult:
    """Show the audit trail, oldest first, with the newest ``limit`` entries."""
    if wanted.kind not in ("", *KINDS):
        raise InputFaultError(
            f"kind {wanted.kind!r} does not exist; use one of {', '.join(KINDS)}"
        )
    entries: list[Entry] = []
    for prefix, kind in KINDS_BY_PREFIX.items():
        if wanted.kind in ("", kind):
            entries += await _embedded(context, prefix, kind)
    cut = False
    if wanted.kind in ("", CONFIGURATION):
        generations, cut = await _generations(context, wanted.since)
        entries += generations
    entries = sorted(filter(wanted.matches, entries), key=lambda e: e.audit.when)
    entries = entries[-wanted.limit :]
    lines = [str(entry) for entry in entries]
    if cut:
        lines.append(f"generations before the last {MAX_GENERATIONS} were not read")
    data = [
        {"kind": entry.kind, "name": entry.name, **entry.audit.to_value()}
        for entry in entries
    ]
    return CommandResult(lines, {"entries": data, "cut": cut})


async def _embedded(context: Context, prefix: str, kind: str) -> list[Entry]:
    snapshot = await context.store.list(prefix)
    return [
        Entry(kind, item.key.removeprefix(prefix), AuditRecord.from_value(value))
        for item in snapshot.items
        for value in item.value.get("history", [])
    ]


async def _generations(context: Context, since: str) -> tuple[list[Entry], bool]:
    """Follow the chain from the generation in effect; what lost is not in it."""
    operation_id = (await context.current()).operation_id
    entries: list[Entry] = []
    while operation_id and len(entries) < MAX_GENERATIONS:
        found = await context.generation(generation_key(operation_id))
        audit = attrs.evolve(found.audit, operation_id=operation_id)
        entries.append(Entry(CONFIGURATION, str(found.generation), audit))
        if found.audit.when < since:
            return entries, False
        operation_id = found.previous
    return entries, bool(operation_id)
