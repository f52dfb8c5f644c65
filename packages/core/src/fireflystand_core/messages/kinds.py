"""Define the messages that instances exchange."""

import attrs

from .registry import message

__all__ = [
    "WitnessRequest",
    "WitnessReply",
    "FeedItem",
    "FeedItems",
    "FeedPull",
    "GroupClaim",
    "HandOver",
    "HandOverReply",
    "Heartbeat",
    "HeartbeatReply",
    "JournalAppend",
    "JournalAppended",
    "JournalEntry",
    "LeaseReport",
    "Permit",
    "PermitCancel",
    "PermitRefused",
    "PermitRequest",
    "PermitReturn",
    "QuotaLease",
    "QuotaRequest",
    "ReachReply",
    "ReachRequest",
    "Seal",
    "Sealed",
    "StoredAnswer",
]


@message("feed-item")
@attrs.frozen
class FeedItem:
    """Carry one versioned item; ``value`` is JSON text, ``None`` once deleted."""

    key: str
    version: int
    value: str | None


@message("heartbeat")
@attrs.frozen
class Heartbeat:
    """Report the sender's liveness and feed state to a random peer.

    ``digest`` is the hash of the sender's whole feed state, ``revision`` the
    highest store version in it.
    """

    instance: str
    incarnation: str
    revision: int
    digest: int
    store_age: float  # seconds since the last direct response of the store


@message("heartbeat-reply")
@attrs.frozen
class HeartbeatReply:
    """Reply to a heartbeat with the receiver's own feed state."""

    instance: str
    incarnation: str
    revision: int
    digest: int
    store_age: float  # seconds since the last direct response of the store


@message("feed-pull")
@attrs.frozen
class FeedPull:
    """Request the feed items newer than the versions that the sender has.

    With ``since``, request all items with a higher version than that instead.
    """

    versions: dict[str, int]
    since: int | None = None


@message("feed-items")
@attrs.frozen
class FeedItems:
    """Push or return feed items; ``more`` is set if a response was truncated."""

    items: list[FeedItem]
    more: bool = False


@attrs.frozen
class GroupClaim:
    """Name a group and the epoch that its coordinator claims."""

    service: str
    group: int
    epoch: int
    unjournaled: bool = False


@message("witness-request")
@attrs.frozen
class WitnessRequest:
    """Ask a witness to confirm all claims of the sender at once."""

    instance: str
    incarnation: str
    witness_incarnation: str
    claims: list[GroupClaim]


@message("witness-reply")
@attrs.frozen
class WitnessReply:
    """Confirm claims; ``higher`` names the newer epochs the witness knows."""

    witness: str
    incarnation: str
    confirmed: list[GroupClaim]
    higher: list[GroupClaim]


@message("seal")
@attrs.frozen
class Seal:
    """Ask a witness to stop confirming epochs of the group below ``epoch``."""

    service: str
    group: int
    epoch: int


@message("sealed")
@attrs.frozen
class Sealed:
    """State that a witness no longer confirms epochs below ``epoch``."""

    witness: str
    incarnation: str
    service: str
    group: int
    epoch: int
    confirmed_age: float | None  # seconds since a lower epoch was last confirmed
    unjournaled: bool


@message("reach-request")
@attrs.frozen
class ReachRequest:
    """Ask an instance how many targets of a group it reaches."""

    service: str
    group: int


@message("reach-reply")
@attrs.frozen
class ReachReply:
    """Return how many targets of the group responded just now."""

    reached: int


@attrs.frozen
class StoredAnswer:
    """Hold a response that is replayed when its request is repeated."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


@message("permit-request")
@attrs.frozen
class PermitRequest:
    """Ask a coordinator for permission to send one request."""

    request_id: str
    service: str
    group: int
    shard: int
    key_hash: int
    account: str
    idempotent: bool
    fingerprint: int
    deadline: float  # seconds left
    idempotency_key: str | None = None
    hedge_of: str | None = None
    attempt: int = 0
    free_retry: bool = False  # the previous attempt got 421 or a refused connection


@message("permit")
@attrs.frozen
class Permit:
    """Allow one request to one target; send within ``send_within`` seconds."""

    permit_id: str
    target: str
    address: str
    epoch: int
    send_within: float
    hedge_after: float | None = None
    shard: int = -1  # of the grant; a hot key has a shard of its own


@message("permit-refused")
@attrs.frozen
class PermitRefused:
    """Refuse a permit.

    ``outcome`` is ``not-run`` or ``unknown``; ``replay`` is the first outcome of a
    repeated request; ``coordinator`` names another instance that claims the group.
    """

    outcome: str
    reason: str
    status: int = 503
    retry_after: float | None = None
    replay: StoredAnswer | None = None
    coordinator: str | None = None


@message("permit-return")
@attrs.frozen
class PermitReturn:
    """Return a permit with the outcome of its request.

    ``outcome`` is ``answered``, ``not-run`` or ``unknown``; ``broken`` is set if
    the connection broke after the request was handed over, ``refused`` if the
    target refused the connection; ``latency`` is in seconds. ``scope``,
    ``fingerprint`` and ``target`` let a coordinator process a permit that its
    predecessor issued.
    """

    service: str
    group: int
    permit_id: str
    outcome: str
    status: int
    latency: float
    broken: bool = False
    refused: bool = False
    shed: bool = False
    stale: bool = False
    answer: StoredAnswer | None = None
    scope: str = ""  # scope of the idempotency key
    fingerprint: int = 0
    target: str = ""
    ended: bool = False  # the target acknowledged the cancellation


@message("permit-cancel")
@attrs.frozen
class PermitCancel:
    """Withdraw a permit request whose response the sender will not use."""

    service: str
    group: int
    request_id: str
    attempt: int = 0


@attrs.frozen
class LeaseReport:
    """Report the spent tokens of a lease; ``closed`` returns the unspent ones.

    ``sequence`` is the sequence number of the request that obtained the lease.
    """

    sequence: int
    spent: float
    closed: bool = False


@message("quota-request")
@attrs.frozen
class QuotaRequest:
    """Request the tokens that waiting callers need and report on earlier leases.

    ``instance`` identifies one incarnation; ``sequence`` increases with each request
    of an instance for the account.
    """

    instance: str
    account: str
    tokens: float
    returned: float = 0.0
    wait: float = 0.0  # seconds
    sequence: int = 0
    reports: list[LeaseReport] = attrs.field(factory=list)


@message("quota-lease")
@attrs.frozen
class QuotaLease:
    """Lend tokens for ``ttl`` seconds, or state when to request again."""

    account: str
    tokens: float
    ttl: float
    retry_after: float = 0.0
    coordinator: str | None = None
    sequence: int = 0


@message("hand-over")
@attrs.frozen
class HandOver:
    """Pass a group's volatile state to its next coordinator."""

    service: str
    group: int
    epoch: int
    state: dict[str, bytes]


@message("hand-over-reply")
@attrs.frozen
class HandOverReply:
    """Tell whether the receiver has claimed the group."""

    accepted: bool
    epoch: int = 0
    reason: str = ""


@attrs.frozen
class JournalEntry:
    """Record the intent or the outcome of one request with an idempotency key."""

    service: str
    group: int
    epoch: int
    key: str
    fingerprint: int
    state: str  # "intent", "answered", "not-run" or "unknown"
    written_at: float  # seconds since 1970
    answer: StoredAnswer | None = None
    sequence: int = 0  # counts the executions for one key
    request_id: str = ""  # the request that was executed


@message("journal-append")
@attrs.frozen
class JournalAppend:
    """Ask a journal writer to make entries durable."""

    entries: list[JournalEntry]


@message("journal-appended")
@attrs.frozen
class JournalAppended:
    """Tell whether the entries are durable."""

    durable: bool
    reason: str = ""
