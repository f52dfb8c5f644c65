"""Define the messages by which instances share targets, rate limits and replicas."""

from typing import Any

import attrs

from .registry import message

__all__ = [
    "Beat",
    "CoordinatorResigned",
    "CrashNotice",
    "ReplicaConfirmation",
    "QuotaDraw",
    "QuotaDrawn",
    "RangesFrozen",
    "RecordPatch",
    "ReplicaCopy",
    "ReplicaPull",
    "RolloutLease",
    "RolloutReport",
    "SlotGrant",
    "SlotRefusal",
    "SlotRequest",
    "SlotReturn",
    "SlotWithdrawal",
    "WorkReport",
]


@attrs.frozen
class ReplicaConfirmation:
    """State the revision at which the sender's replica of a kind is complete.

    ``changed`` is the revision of the last change in the replica, and ``age`` the
    seconds since the store confirmed the replica.
    """

    kind: str
    revision: int
    changed: int
    age: float


@message("beat")
@attrs.frozen
class Beat:
    """Signal that the sender is live and how fresh its replicas are.

    ``proofs`` holds the fields of a ``ReplicaConfirmation`` for each kind. Plain
    lists take a third of the time of nested types, and heartbeats are most of the
    work of an idle instance.

    ``sent_at`` is the time on the sender's clock. ``echo`` holds the receiver's
    incarnation and a time on its clock, in seconds, that had passed when the heartbeat
    was sent; it is empty if the sender has had no heartbeat of the receiver.

    ``configuration`` is the version of the configuration in force, 0 if there is none.
    """

    instance: str
    incarnation: str
    proofs: list
    store_lost: bool = False  # whether the sender's calls to the store fail
    sent_at: float = 0.0
    echo: list = attrs.field(factory=list)
    configuration: int = 0


@message("replica-pull")
@attrs.frozen
class ReplicaPull:
    """Request the receiver's replica of a kind."""

    kind: str


@message("replica-copy")
@attrs.frozen
class ReplicaCopy:
    """Carry the changes of a kind after the revision ``since``, or all objects if 0."""

    kind: str
    since: int
    revision: int
    age: float  # seconds
    objects: bytes  # compressed JSON of name, version and value of each


@message("record-patch")
@attrs.frozen
class RecordPatch:
    """Carry what changed in the record of a service since an earlier version.

    ``base`` holds the epoch and the next fencing token of the record before the change.
    A record may be newer than what the store has of it, so its version does not tell
    its content. It is empty in messages of earlier builds.
    """

    service: str
    since: int
    version: int
    patch: bytes  # compressed JSON
    base: list = attrs.field(factory=list)


@message("slot-request", optional=("version", "excluded_versions", "targets"))
@attrs.frozen
class SlotRequest:
    """Request a slot from the admission queue; times are seconds from now.

    ``aim_left`` is the time until the soft deadline, ``time_left`` that until the
    deadline. Only targets of the program version ``version`` may be used, any if it is
    empty, and none of ``excluded_versions``. ``targets`` lists the only ones that may
    be used, none if all may.
    """

    service: str
    ask_id: str
    target: str
    priority: int
    aim_left: float
    time_left: float
    data_centre: str
    route: str = ""
    version: str = ""
    excluded_versions: list[str] = attrs.field(factory=list)
    targets: list[str] = attrs.field(factory=list)


@message("slot-grant")
@attrs.frozen
class SlotGrant:
    """Allow a request to be sent to a target.

    ``waited`` is how many seconds the request had been queued when the slot was
    granted; earlier builds do not tell. ``cold`` tells that the target got no more than
    its warm-up rate then. ``started_at`` is the start of its process and ``version``
    that of the record by which the granting instance knew it.
    """

    number: int
    target: str
    waited: float | None = None
    cold: bool = False
    started_at: int = 0
    version: int = 0


@message("slot-refusal")
@attrs.frozen
class SlotRefusal:
    """Refuse a request; ``retry_after`` in seconds."""

    reason: str
    retry_after: float


@message("slot-return", optional=("stood_still",))
@attrs.frozen
class SlotReturn:
    """Return a slot with the result of its request and the target's reported load.

    ``seconds`` is how long the request ran, or a lower bound if not ``complete``.
    ``stood_still`` tells that the sender stood still meanwhile, as if frozen, so that
    ``seconds`` does not tell how long the target took. ``leaving`` is the target and
    the start of its process if that process has stated that it leaves. ``pause`` is
    for how many seconds the target wants no request from the sender of this message.
    ``may_have_restarted`` tells that no open connection to the target was left.
    ``cold`` is the target, the start of its process and the remaining seconds of its
    warm-up, from a health check. It is sent without a slot, with the number 0, since
    earlier builds know no other message for it.
    """

    service: str
    number: int
    seconds: float | None = None
    complete: bool = True
    shed: bool = False
    unreachable: bool = False
    load: list[float] | None = None
    leaving: list[Any] | None = None
    pause: float = 0.0
    may_have_restarted: bool = False
    cold: list[Any] | None = None
    stood_still: bool = False


@message("slot-withdrawal")
@attrs.frozen
class SlotWithdrawal:
    """Withdraw a slot request whose caller has disconnected."""

    service: str
    ask_id: str


@message("quota-draw")
@attrs.frozen
class QuotaDraw:
    """Request tokens of a client account."""

    account: str
    tokens: int


@message("quota-drawn")
@attrs.frozen
class QuotaDrawn:
    """Grant tokens, or state when one is expected; ``retry_after`` in seconds."""

    tokens: int
    retry_after: float


@message("ranges-frozen")
@attrs.frozen
class RangesFrozen:
    """Announce keys about to move; requests for them wait ``seconds`` at most.

    0 seconds announce that the keys stay with their owner.
    """

    service: str
    ranges: list  # of first and last key
    seconds: float


@message("coordinator-resigned")
@attrs.frozen
class CoordinatorResigned:
    """Announce that the sender has stopped coordinating a service."""

    service: str
    epoch: int


@message("work-report")
@attrs.frozen
class WorkReport:
    """Report requests by key and work by target since the last report.

    ``targets`` lists target, requests that ran, their seconds in total, and the same
    at the usual speed of the target's machine. ``leaving`` lists the targets that have
    stated that they leave, each with the start of its process.
    """

    service: str
    seconds: float
    keys: list[list[int]]
    targets: list[list[Any]]
    leaving: list[list[Any]] = attrs.field(factory=list)


@message("rollout-lease")
@attrs.frozen
class RolloutLease:
    """Allow requests to the new version of a service for a short time.

    ``order`` identifies the order, ``phase`` is that of the rollout and ``epoch`` the
    number of the sender's claim. ``share`` is the part of the requests that the new
    version gets, ``remaining`` the seconds to the deadline of the order. ``targets``
    are those of the new version to use, empty for all. ``placed_share`` is the part of
    a keyed service's work to give to the new version; earlier builds do not tell.
    """

    service: str
    order: str
    phase: str
    epoch: int
    share: float
    remaining: float
    targets: list[str] = attrs.field(factory=list)
    holder: str = ""
    placed_share: float = 0.0


@message("rollout-report")
@attrs.frozen
class RolloutReport:
    """Report the responses of a service under an order since the last report.

    Each sample tells whether the target was of the new version, the route, whether the
    request failed, its seconds to the head of the response, the slowdown and whether
    the target was cold. ``old_in_flight`` counts the sender's requests at targets of
    other versions; ``phase`` is the one in force at the sender.
    """

    service: str
    order: str
    samples: list[list[Any]]
    old_in_flight: int
    phase: str


@message("crash-notice")
@attrs.frozen
class CrashNotice:
    """Report a request whose target ended while running it.

    ``size`` is the number of bytes of its body if they may have ended the target.
    """

    fingerprint: int
    target: str
    size: int = 0
