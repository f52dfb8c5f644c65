"""Define what a permit desk asks its host to do."""

import attrs

from fireflystand_core.messages import JournalEntry, Permit, PermitRefused

__all__ = ["Action", "Reply", "StoreSuspects", "WriteIntent", "WriteOutcome"]


@attrs.frozen
class Reply:
    """Answer a permit request of an entry instance."""

    entry: str
    request_id: str
    answer: Permit | PermitRefused


@attrs.frozen
class WriteIntent:
    """Make an intent durable, then call ``PermitDesk.journaled``."""

    request_id: str
    sequence: int
    entry: JournalEntry


@attrs.frozen
class WriteOutcome:
    """Make an outcome durable; nothing waits for it."""

    entry: JournalEntry


@attrs.frozen
class StoreSuspects:
    """Write the crash suspects (fingerprint, crashes, seconds left) durably."""

    suspects: list[tuple[int, int, float]]


Action = Reply | WriteIntent | WriteOutcome | StoreSuspects
