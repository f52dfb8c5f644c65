"""Define what a coordinator asks its host to do."""

import attrs

from .record import GroupRecord

__all__ = [
    "Action",
    "AskStatus",
    "ClaimPublished",
    "ReadRecord",
    "RequestConfirmation",
    "RequestSeal",
    "SendGrant",
    "Started",
    "Stopped",
    "TargetChanged",
    "WriteRecord",
]


@attrs.frozen
class WriteRecord:
    """Write the record if the store has the expected version, 0 for none."""

    record: GroupRecord
    expected_version: int


@attrs.frozen
class ReadRecord:
    """Read the record back."""


@attrs.frozen
class RequestConfirmation:
    """Ask a witness to confirm the epoch."""

    witness: str
    witness_incarnation: str
    epoch: int
    unjournaled: bool


@attrs.frozen
class RequestSeal:
    """Ask a witness of an earlier epoch to confirm nothing below ``epoch``."""

    witness: str
    epoch: int


@attrs.frozen
class SendGrant:
    """Send a grant on the connection that the clock reading came from."""

    target: str
    connection: int
    epoch: int
    sequence: int
    shards: frozenset[int]
    expires_at_ms: float  # in the target's clock


@attrs.frozen
class AskStatus:
    """Ask a target for its status."""

    target: str


@attrs.frozen
class ClaimPublished:
    """Tell everyone who coordinates the group; ``version`` is the store's."""

    version: int
    epoch: int


@attrs.frozen
class Started:
    """Tell that the claim is durable."""

    epoch: int


@attrs.frozen
class Stopped:
    """Tell that this coordinator decides nothing any more."""

    reason: str


@attrs.frozen
class TargetChanged:
    """Tell that a target died, came back, fell silent or turned cold."""

    target: str
    reason: str


Action = (
    WriteRecord
    | ReadRecord
    | RequestConfirmation
    | RequestSeal
    | SendGrant
    | AskStatus
    | ClaimPublished
    | Started
    | Stopped
    | TargetChanged
)
