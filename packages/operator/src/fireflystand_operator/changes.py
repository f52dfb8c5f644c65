"""Write changes conditionally and determine whether they took effect."""

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

MAX_ATTEMPTS = 4
BACKOFF_UNIT = 0.1  # seconds; the pause before retry n is this times 2**n
MAX_HISTORY_RECORDS = 500  # audit records kept in an object; about 100 KB

OwnWriteCheck = Callable[[StoredObject], Awaitable[bool]]


@attrs.frozen
class Author:
    """Identify an operation, its author and the reason for it."""

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
    return [*history, audit.to_value()][-MAX_HISTORY_RECORDS:]


def last_operation(value: dict | None) -> str:
    """Return the id of the operation that wrote an object last."""
    history = (value or {}).get("history", [])
    return history[-1]["operation_id"] if history else ""


async def write_change(
    store: StoreClient,
    key: str,
    value: dict,
    version: int,
    operation_id: str,
    is_own_write: OwnWriteCheck | None = None,
    winner: Callable[[dict], str] = last_operation,
) -> int:
    """Write ``value`` if the object has ``version``, and return the new version.

    After a conflict or a lost response the object is read back; ``is_own_write`` tells
    whether it contains this operation. Raise RejectedError if another change was
    written first and UnknownOutcomeError if the store did not confirm the outcome.
    """
    is_own_write = is_own_write or _history_contains(operation_id)
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            await trio.sleep(BACKOFF_UNIT * 2**attempt)
        try:
            return await _try_write(store, key, value, version, is_own_write, winner)
        except StoreUnavailableError:
            continue
        except ProtocolError:
            # An earlier attempt may have taken effect although this one did not.
            if attempt == 0:
                raise
    raise UnknownOutcomeError(
        f"the store did not confirm operation {operation_id} on {key}; "
        f"look for it with 'fireflystand history --operation {operation_id}'",
        operation_id=operation_id,
    )


async def _try_write(store, key, value, version, is_own_write, winner) -> int:
    """Put once; a retry is safe because only one put of a version succeeds."""
    try:
        return await store.put(key, value, version)
    except (StoreConflictError, StoreUnavailableError) as error:
        found, is_own = await _read_back(store, key, is_own_write)
        if is_own:
            return found.version
        if (found.version if found else 0) == version:
            raise StoreUnavailableError("not written yet", step="put") from error
        earlier_operation = winner(found.value) if found else ""
        raise RejectedError(
            f"{key} was changed first by operation {earlier_operation}",
            winner=earlier_operation,
        ) from None


async def _read_back(
    store: StoreClient, key: str, is_own_write: OwnWriteCheck
) -> tuple[StoredObject | None, bool]:
    """Return the object and whether it contains this operation."""
    try:
        found = await store.get(key)
        return found, found is not None and await is_own_write(found)
    except FireflystandError as error:
        # The write may have taken effect; a failed read does not show whether it did.
        raise StoreUnavailableError(str(error), step="read back") from error


def _history_contains(operation_id: str) -> OwnWriteCheck:
    async def is_own_write(found: StoredObject) -> bool:
        history = found.value.get("history", [])
        return any(entry["operation_id"] == operation_id for entry in history)

    return is_own_write
