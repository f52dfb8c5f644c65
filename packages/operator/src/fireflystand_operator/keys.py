"""Create, list, grant and withdraw API keys."""

import hashlib
import re
import secrets

from fireflystand_router.store import StoredObject

from .changes import Author, append_history, last_operation, write_change
from .context import Context, WaitOptions, has_revision
from .results import CommandResult, InputFaultError, RejectedError

__all__ = ["create_key", "grant_key", "list_keys", "withdraw_key"]

KEY_PREFIX = "keys/"
SECRET_BYTES = 32
MIN_HASH_DIGITS = 8  # hex digits that may stand for a whole hash
ACTIVE = "active"
WITHDRAWN = "withdrawn"
SHA256_HEX = re.compile(r"[0-9a-f]{64}")


async def create_key(
    context: Context, account: str, author: Author, wait_options: WaitOptions
) -> CommandResult:
    """Create an API key; only its SHA-256 is stored."""
    api_key = "ffs_" + secrets.token_urlsafe(SECRET_BYTES)
    digest = hashlib.sha256(api_key.encode()).hexdigest()
    result = await grant_key(context, digest, account, author, wait_options)
    lines = [f"API key (shown only now): {api_key}", *result.lines]
    return CommandResult(lines, {**result.data, "api_key": api_key}, result.code)


async def grant_key(
    context: Context,
    digest: str,
    account: str,
    author: Author,
    wait_options: WaitOptions,
) -> CommandResult:
    """Register an API key, by its SHA-256, for an account.

    Raise RejectedError if the hash is already stored; a withdrawn key stays withdrawn.
    """
    if not SHA256_HEX.fullmatch(digest):
        raise InputFaultError("write the SHA-256 of the API key as 64 hex digits")
    deployment = await context.required_deployment()
    if account not in deployment.accounts_by_id:
        known = ", ".join(deployment.accounts_by_id)
        raise InputFaultError(f"account {account!r} does not exist; known: {known}")
    found = await context.store.get(KEY_PREFIX + digest)
    if found is not None:
        raise _already_in_state(found)
    audit = author.audit("", f"{ACTIVE} for {account}")
    value = {
        "account": account,
        "state": ACTIVE,
        "history": append_history(None, audit),
    }
    version = await write_change(
        context.store, KEY_PREFIX + digest, value, 0, author.operation_id
    )
    lines = [f"key {digest} is active for {account}, operation {author.operation_id}"]
    data = {"sha256": digest, "account": account, "operation_id": author.operation_id}
    return await context.finish(lines, data, wait_options, has_revision(version))


async def withdraw_key(
    context: Context, digest: str, author: Author, wait_options: WaitOptions
) -> CommandResult:
    """Withdraw an API key permanently; a prefix of its SHA-256 is enough."""
    found = await _find_by_hash_prefix(context, digest)
    if found.value["state"] == WITHDRAWN:
        raise _already_in_state(found)
    value = {
        **found.value,
        "state": WITHDRAWN,
        "history": append_history(found.value, author.audit(ACTIVE, WITHDRAWN)),
    }
    version = await write_change(
        context.store, found.key, value, found.version, author.operation_id
    )
    digest = found.key.removeprefix(KEY_PREFIX)
    lines = [f"key {digest} withdrawn, operation {author.operation_id}"]
    data = {
        "sha256": digest,
        "account": found.value["account"],
        "operation_id": author.operation_id,
    }
    return await context.finish(lines, data, wait_options, has_revision(version))


async def list_keys(context: Context, account: str | None) -> CommandResult:
    """List the API keys of one account or of all by their SHA-256."""
    rows = [
        row for row in await read_keys(context) if account in (None, row["account"])
    ]
    lines = [f"{row['sha256']} {row['account']} {row['state']}" for row in rows]
    return CommandResult(lines, rows)


async def read_keys(context: Context) -> list[dict]:
    """Return the SHA-256, account and state of every API key."""
    snapshot = await context.store.list(KEY_PREFIX)
    return [
        {
            "sha256": item.key.removeprefix(KEY_PREFIX),
            "account": item.value["account"],
            "state": item.value["state"],
        }
        for item in snapshot.items
    ]


async def _find_by_hash_prefix(context: Context, digest: str) -> StoredObject:
    if not re.fullmatch(rf"[0-9a-f]{{{MIN_HASH_DIGITS},64}}", digest):
        raise InputFaultError(
            f"write {MIN_HASH_DIGITS} to 64 hex digits of the API key's SHA-256"
        )
    items = (await context.store.list(KEY_PREFIX + digest)).items
    if len(items) != 1:
        raise InputFaultError(
            f"{len(items)} keys start with {digest}; name exactly one"
        )
    return items[0]


def _already_in_state(found: StoredObject) -> RejectedError:
    earlier_operation = last_operation(found.value)
    state = found.value["state"]
    digest = found.key.removeprefix(KEY_PREFIX)
    return RejectedError(
        f"key {digest} is already {state} by operation {earlier_operation}",
        winner=earlier_operation,
    )
