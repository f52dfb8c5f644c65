"""Write changes conditionally and find out what became of them."""

import datetime
import getpass
import secrets
from collections.abc import Awaitable, Callable

import attrs
import trio

from fireflystand_core.configuration import AuditRecord
from fireflystand_core.exceptions import (
    FireflystandError,
    ProtocolError,
    StoreConflictError,
    StoreUnavailableError,
)
from fireflystand_router.store import StoreClient, StoredObject

from .results import RejectedError, UnknownOutcomeError

__all__ = ["Author", "append_history", "last_operation", "write_change"]

ATTEMPTS = 4
FIRST_PAUSE = 0.1  # seconds; doubled after each attempt
MAX_HISTORY = 500  # entries kept in an object; about 100 KB

Recognise = Callable[[StoredObject], Awaitable[bool]]


@attrs.frozen
class Author:
    """Name the operation, who makes it and why."""

    who: str = attrs.field(factory=getpass.getuser)
    why: str = ""
    operation_id: str = attrs.field(factory=lambda: _new_operation_id())

    def audit(self, before: str, after: str) -> AuditRecord:
        """Return the audit record of a change made now."""
        when = datetime.datetime.now(datetime.UTC).isoformat(timespec="milliseconds")
        return AuditRecord(self.operation_id, self.who, when, before, after, self.why)


def _new_operation_id() -> str:
    now = datetime.datetime.now(datetime.UTC)
    return f"{now:%Y%m%dT%H%M%S}-{secrets.token_hex(6)}"


def append_history(value: dict | None, audit: AuditRecord) -> list[dict]:
    """Return the history of an object with one more audit record."""
    history = (value or {}).get("history", [])
    return [*history, audit.to_value()][-MAX_HISTORY:]


def last_operation(value: dict | None) -> str:
    """Return the operation that wrote an object last."""
    history = (value or {}).get("history", [])
    return history[-1]["operation_id"] if history else ""


async def write_change(
    store: StoreClient,
    key: str,
    value: dict,
    version: int,
    operation_id: str,
    recognise: Recognise | None = None,
    winner: Callable[[dict], str] = last_operation,
) -> int:
    """Write ``value`` if the object has ``version``, and return the new version.

    After a lost response the object is read back; ``recognise`` tells whether it
    contains this operation. Raise RejectedError if another change won and
    UnknownOutcomeError if the store did not settle the outcome.
    """
    recognise = recognise or _in_history(operation_id)
    for attempt in range(ATTEMPTS):
        if attempt:
            await trio.sleep(FIRST_PAUSE * 2**attempt)
        try:
            return await _attempt(store, key, value, version, recognise, winner)
        except StoreUnavailableError:
            continue
        except ProtocolError:
            # An earlier attempt may have taken effect although this one did not.
            if attempt == 0:
                raise
    raise UnknownOutcomeError(
        f"the store did not settle operation {operation_id} on {key}; "
        f"look for it with 'fireflystand history --operation {operation_id}'",
        operation_id=operation_id,
    )


async def _attempt(store, key, value, version, recognise, winner) -> int:
    """Put once; a repeat is safe because the version allows only one success."""
    try:
        return await store.put(key, value, version)
    except (StoreConflictError, StoreUnavailableError) as error:
        found, own = await _read_back(store, key, recognise)
        if own:
            return found.version
        if (found.version if found else 0) == version:
            raise StoreUnavailableError("not written yet", step="put") from error
        by = winner(found.value) if found else ""
        raise RejectedError(
            f"{key} was changed first by operation {by}", winner=by
        ) from None


async def _read_back(
    store: StoreClient, key: str, recognise: Recognise
) -> tuple[StoredObject | None, bool]:
    """Return the object and whether it contains this operation."""
    try:
        found = await store.get(key)
        return found, found is not None and await recognise(found)
    except FireflystandError as error:
        # The write may have taken effect, so no failure to read settles it.
        raise StoreUnavailableError(str(error), step="read back") from error


def _in_history(operation_id: str) -> Recognise:
    async def recognise(found: StoredObject) -> bool:
        history = found.value.get("history", [])
        return any(entry["operation_id"] == operation_id for entry in history)

    return recognise
