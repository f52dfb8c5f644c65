"""Check, render, plan and apply settings files."""

import difflib
import json

import attrs

from fireflystand_core.configuration import (
    CurrentPointer,
    Deployment,
    Generation,
    check_files,
    compare,
    generation_key,
    load_files,
    render,
    settings_of,
)
from fireflystand_core.exceptions import StoreUnavailableError
from fireflystand_router.store import StoredObject

from .changes import Author, write_change
from .context import CURRENT_KEY, Context, VersionedPointer, WaitOptions
from .results import (
    CheckCode,
    CommandResult,
    InputFaultError,
    RejectedError,
    fault_values,
)

__all__ = ["apply", "check", "check_against_store", "plan", "show_rendered"]

MAX_OBJECT_BYTES = 1_000_000  # the store's limit on one value


def check(
    base: str, overlay: str | None, before: Deployment | None = None
) -> CommandResult:
    """Check settings files; raise FaultySettingsError with every fault.

    ``before`` is the deployment in effect, if it is known.
    """
    deployment, warnings = check_files(base, overlay)
    counts = {
        "data_centres": len(deployment.data_centres_by_id),
        "services": len(deployment.services_by_id),
        "targets": sum(
            len(service.targets_by_id) for service in deployment.services_by_id.values()
        ),
        "accounts": len(deployment.accounts_by_id),
        "routes": len(deployment.routes),
    }
    summary = ", ".join(f"{n} {name.replace('_', ' ')}" for name, n in counts.items())
    found = f"{len(warnings)} warnings" if warnings else "no faults"
    differences = [] if before is None else _lines_changed(before, deployment)
    lines = [*map(str, warnings), f"{deployment.name}: {found}; {summary}"]
    return CommandResult(
        [*lines, *differences],
        {
            "name": deployment.name,
            **counts,
            "warnings": fault_values(warnings),
            "differences": differences,
        },
        CheckCode.WARNINGS if warnings else CheckCode.NONE,
    )


def _lines_changed(before: Deployment, after: Deployment) -> list[str]:
    """Return the lines of the rendered settings that differ."""
    old, new = render(before).splitlines(), render(after).splitlines()
    return list(difflib.unified_diff(old, new, "in effect", "files", lineterm="", n=1))


async def check_against_store(
    context: Context, base: str, overlay: str | None
) -> CommandResult:
    """Check settings files and compare them with the generation in effect."""
    check(base, overlay)  # faults are reported even if the store is unavailable
    return check(base, overlay, await context.deployment())


def show_rendered(base: str, overlay: str | None) -> CommandResult:
    """Return the merged settings as YAML."""
    deployment = load_files(base, overlay)
    return CommandResult(
        render(deployment).rstrip().split("\n"), settings_of(deployment)
    )


async def plan(context: Context, base: str, overlay: str | None) -> CommandResult:
    """Compare settings files with the generation in effect."""
    deployment = load_files(base, overlay)
    current = await context.current()
    before = None
    if current.pointer is not None:
        before = (await context.generation(current.pointer.object)).deployment
    differences = compare(before, deployment)
    noun = "difference" if len(differences) == 1 else "differences"
    heading = f"{len(differences)} {noun} from generation {current.generation}"
    return CommandResult(
        [heading, *map(str, differences)],
        {
            "generation": current.generation,
            "operation_id": current.operation_id,
            "differences": [attrs.asdict(item) for item in differences],
        },
    )


async def apply(
    context: Context,
    base: str,
    overlay: str | None,
    author: Author,
    wait_options: WaitOptions,
    onto: int | None = None,
) -> CommandResult:
    """Apply settings files as the next generation.

    ``onto`` is the generation that the files were prepared for; if another one is in
    effect, the change is rejected. Raise RejectedError or UnknownOutcomeError.
    """
    deployment = load_files(base, overlay)
    current = await context.current()
    if onto is not None and onto != current.generation:
        raise RejectedError(
            f"generation {current.generation} of operation {current.operation_id} "
            f"is in effect, not {onto}",
            winner=current.operation_id,
        )
    before = None
    if current.pointer is not None:
        before = (await context.generation(current.pointer.object)).deployment
    differences = compare(before, deployment)
    if before is not None and not differences:
        lines = [f"generation {current.generation} already has these settings"]
        number = current.generation
        data = {"generation": number, "operation_id": current.operation_id}
    else:
        generation = _next_generation(current, deployment, author)
        await _write_generation(context, current, generation)
        number = generation.generation
        lines = [
            f"generation {number} accepted as operation {author.operation_id}",
            *map(str, differences),
        ]
        data = {
            "generation": number,
            "operation_id": author.operation_id,
            "differences": [attrs.asdict(item) for item in differences],
        }
    return await context.finish(
        lines, data, wait_options, lambda state: state.generation >= number
    )


def _next_generation(
    current: VersionedPointer, deployment, author: Author
) -> Generation:
    number = current.generation + 1
    return Generation(
        number,
        author.operation_id,
        current.operation_id,
        deployment,
        author.audit(f"generation {current.generation}", f"generation {number}"),
    )


async def _write_generation(
    context: Context, current: VersionedPointer, generation: Generation
) -> None:
    operation_id = generation.operation_id
    key = generation_key(operation_id)
    value = generation.to_value()
    size = len(json.dumps(value, separators=(",", ":")))
    if size > MAX_OBJECT_BYTES:
        raise InputFaultError(
            f"the settings take {size} bytes in the store; at most "
            f"{MAX_OBJECT_BYTES} are allowed"
        )
    await write_change(
        context.store, key, value, 0, operation_id, _made_by_operation(operation_id)
    )
    pointer = CurrentPointer(generation.generation, operation_id, key, generation.audit)

    async def is_own_write(found: StoredObject) -> bool:
        made_by = await find_generation_operation(
            context, found.value, generation.generation
        )
        return made_by == operation_id

    try:
        await write_change(
            context.store,
            CURRENT_KEY,
            pointer.to_value(),
            current.version,
            operation_id,
            is_own_write,
            winner=lambda found: found["operation_id"],
        )
    except RejectedError:
        await _delete_generation(context, key)
        raise


def _made_by_operation(operation_id: str):
    async def is_own_write(found: StoredObject) -> bool:
        return found.value["operation_id"] == operation_id

    return is_own_write


async def find_generation_operation(
    context: Context, pointer: dict, number: int
) -> str:
    """Return the operation that made generation ``number``, or "" if none did.

    Follow the chain of generations back from ``pointer``.
    """
    operation_id, generation = pointer["operation_id"], pointer["generation"]
    while generation > number:
        found = await context.generation(generation_key(operation_id))
        operation_id, generation = found.previous, found.generation - 1
    return operation_id if generation == number else ""


async def _delete_generation(context: Context, key: str) -> None:
    """Delete the object of a rejected generation; it does no harm if it remains."""
    try:
        found = await context.store.get(key)
        if found is not None:
            await context.store.delete(key, found.version)
    except StoreUnavailableError:
        return
