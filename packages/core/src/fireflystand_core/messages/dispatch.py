"""Define the messages by which instances share targets, quotas and store copies."""

from typing import Any

import attrs

from .registry import message

__all__ = [
    "Beat",
    "CoordinatorResigned",
    "CrashNotice",
    "KindProof",
    "QuotaDraw",
    "QuotaDrawn",
    "RangesFrozen",
    "RecordPatch",
    "ReplicaCopy",
    "ReplicaPull",
    "SlotGrant",
    "SlotRefusal",
    "SlotRequest",
    "SlotReturn",
    "SlotWithdrawal",
    "WorkReport",
]


@attrs.frozen
class KindProof:
    """Tell as of which revision the sender's copy of a kind is complete.

    ``changed`` is the revision of the copy's last change, ``age`` the seconds since
    the store confirmed it.
    """

    kind: str
    revision: int
    changed: int
    age: float


@message("beat")
@attrs.frozen
class Beat:
    """Show that the sender lives and how fresh its copies of the store are.

    ``proofs`` holds the fields of a ``KindProof`` for each kind. Plain lists cost a
    third of the time that nested types take, and beats are most of what an idle
    instance does.
    """

    instance: str
    incarnation: str
    proofs: list
    store_lost: bool = False  # whether the store turns the sender away


@message("replica-pull")
@attrs.frozen
class ReplicaPull:
    """Ask for the sender's copy of a kind."""

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
    """Carry what changed in the record of a service since an earlier version."""

    service: str
    since: int
    version: int
    patch: bytes  # compressed JSON


@message("slot-request")
@attrs.frozen
class SlotRequest:
    """Ask the target's desk for a slot; times are seconds from now."""

    service: str
    ask_id: str
    target: str
    priority: int
    aim_left: float
    time_left: float
    data_centre: str


@message("slot-grant")
@attrs.frozen
class SlotGrant:
    """Let a request go to a target."""

    number: int
    target: str


@message("slot-refusal")
@attrs.frozen
class SlotRefusal:
    """Turn a request away; ``retry_after`` in seconds."""

    reason: str
    retry_after: float


@message("slot-return")
@attrs.frozen
class SlotReturn:
    """Give a slot back with what was learnt; ``load`` as the target told it.

    ``seconds`` is how long the request ran, or at least ran if not ``complete``.
    """

    service: str
    number: int
    seconds: float | None = None
    complete: bool = True
    shed: bool = False
    unreachable: bool = False
    load: list[float] | None = None


@message("slot-withdrawal")
@attrs.frozen
class SlotWithdrawal:
    """Withdraw an ask whose caller has left."""

    service: str
    ask_id: str


@message("quota-draw")
@attrs.frozen
class QuotaDraw:
    """Ask for tokens of a client account."""

    account: str
    tokens: int


@message("quota-drawn")
@attrs.frozen
class QuotaDrawn:
    """Give tokens, or tell when there will be one; ``retry_after`` in seconds."""

    tokens: int
    retry_after: float


@message("ranges-frozen")
@attrs.frozen
class RangesFrozen:
    """Hold requests for keys that are about to move, for ``seconds`` at most."""

    service: str
    ranges: list  # of first and last key
    seconds: float


@message("coordinator-resigned")
@attrs.frozen
class CoordinatorResigned:
    """Tell that the sender acts no more as coordinator of a service."""

    service: str
    epoch: int


@message("work-report")
@attrs.frozen
class WorkReport:
    """Report requests by key and work by target since the last report.

    ``targets`` lists target, requests that ran, their seconds in total, and the same
    at the usual pace of the target's machine.
    """

    service: str
    seconds: float
    keys: list[list[int]]
    targets: list[list[Any]]


@message("crash-notice")
@attrs.frozen
class CrashNotice:
    """Report a request whose target ended while running it."""

    fingerprint: int
    target: str
