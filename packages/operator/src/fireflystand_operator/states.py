"""Take data centres and targets out of service and bring them back."""

import attrs

from .changes import Author, append_history, last_operation, write_change
from .context import Context, WaitOptions, has_revision
from .results import CommandResult, InputFaultError, RejectedError

__all__ = ["DATA_CENTRES", "TARGETS", "StateKind", "change_state", "list_states"]

IN_SERVICE = "in"


@attrs.frozen
class StateKind:
    """Describe a kind of object, data centre or target, with a state in the store."""

    title: str
    prefix: str
    out_state: str  # the state while out of service


DATA_CENTRES = StateKind("data centre", "data-centres/", "out")
TARGETS = StateKind("target", "targets/", "draining")


def _configured_names(kind: StateKind, deployment) -> list[str]:
    if kind is DATA_CENTRES:
        return list(deployment.data_centres_by_id)
    services = deployment.services_by_id.values()
    return [name for service in services for name in service.targets_by_id]


async def change_state(
    context: Context,
    kind: StateKind,
    name: str,
    to: str,
    author: Author,
    wait_options: WaitOptions,
) -> CommandResult:
    """Change the state of a data centre or a target.

    Raise RejectedError if it already has this state or another change was written
    first.
    """
    names = _configured_names(kind, await context.required_deployment())
    key = kind.prefix + name
    found = await context.store.get(key)
    # A name that was removed from the configuration while out of service can still
    # be brought back.
    if name not in names and found is None:
        known = ", ".join(names)
        raise InputFaultError(f"{kind.title} {name!r} does not exist; known: {known}")
    value = found.value if found else None
    before = value["state"] if value else IN_SERVICE
    if before == to:
        earlier_operation = last_operation(value)
        cause = (
            f" since operation {earlier_operation}"
            if earlier_operation
            else " and was never changed"
        )
        raise RejectedError(
            f"{kind.title} {name} is already {to}{cause}", winner=earlier_operation
        )
    history = append_history(value, author.audit(before, to))
    version = await write_change(
        context.store,
        key,
        {"state": to, "history": history},
        found.version if found else 0,
        author.operation_id,
    )
    lines = [f"{kind.title} {name}: {before} -> {to}, operation {author.operation_id}"]
    data = {"name": name, "state": to, "operation_id": author.operation_id}
    return await context.finish(lines, data, wait_options, has_revision(version))


async def list_states(context: Context, kind: StateKind) -> CommandResult:
    """List data centres or targets with their states."""
    deployment = await context.required_deployment()
    states = await read_states(context, kind)
    rows = [
        {"name": name, "state": states.get(name, IN_SERVICE)}
        for name in _configured_names(kind, deployment)
    ]
    return CommandResult([f"{row['name']}: {row['state']}" for row in rows], rows)


async def read_states(context: Context, kind: StateKind) -> dict[str, str]:
    """Return the stored states by name; a name that is missing is in service."""
    snapshot = await context.store.list(kind.prefix)
    return {
        item.key.removeprefix(kind.prefix): item.value["state"]
        for item in snapshot.items
    }
