"""Define the numbered log events and write them as text or JSON lines."""

import json
import sys
import time
from collections.abc import Callable
from typing import TextIO

import attrs
from loguru import logger

from fireflystand_core.exceptions import FireflystandError

__all__ = [
    "EVENTS_BY_NUMBER",
    "Event",
    "LineLimiter",
    "configure_log",
    "define_event",
    "emit",
    "emit_limited",
]

EVENTS_BY_NUMBER: dict[int, "Event"] = {}

# Writing a line costs about a tenth of the processor time of a request; 40 lines leave
# an overloaded instance nine tenths of its processor time.
LINES_PER_SECOND = 40
MAX_ERROR_LENGTH = 500  # characters of an error from outside the packages


@attrs.frozen
class Event:
    """Describe one kind of log event; ``fields`` are the names of its fields."""

    number: int
    level: str
    text: str
    fields: tuple[str, ...] = ()


def define_event(number: int, level: str, text: str, *fields: str) -> Event:
    """Add an event to the registry and return it."""
    if number in EVENTS_BY_NUMBER:
        raise ValueError(f"event {number} is already defined")
    event = Event(number, level, text, fields)
    EVENTS_BY_NUMBER[number] = event
    return event


def emit(event: Event, error: Exception | None = None, **fields: object) -> None:
    """Log an event; an error adds its message, step and peer."""
    unknown = set(fields) - set(event.fields)
    if unknown:
        raise ValueError(f"event {event.number} has no field {sorted(unknown)}")
    if isinstance(error, FireflystandError):
        fields |= {"error": error.message, "step": error.step, "peer": error.peer}
    elif error is not None:
        fields |= {"error": repr(error)[:MAX_ERROR_LENGTH]}
    logger.bind(event=event.number, fields=fields).log(event.level, event.text)


class LineLimiter:
    """Limit the lines of each event per second and count the omitted ones."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._second_by_event: dict[int, int] = {}
        self._lines_by_event: dict[int, int] = {}
        self._omitted_by_event: dict[int, int] = {}

    def admit(self, event: Event) -> int | None:
        """Return how many lines of the event were omitted since its last line.

        Return None if this line must be omitted too.
        """
        second = int(self._clock())
        number = event.number
        if self._second_by_event.get(number) != second:
            self._second_by_event[number] = second
            self._lines_by_event[number] = 0
        self._lines_by_event[number] += 1
        if self._lines_by_event[number] > LINES_PER_SECOND:
            self._omitted_by_event[number] = self._omitted_by_event.get(number, 0) + 1
            return None
        return self._omitted_by_event.pop(number, 0)


_limiter = LineLimiter()


def emit_limited(
    event: Event, error: Exception | None = None, **fields: object
) -> None:
    """Log an event that requests cause, up to ``LINES_PER_SECOND`` times a second."""
    omitted = _limiter.admit(event)
    if omitted is None:
        return
    if omitted:
        emit(LINES_OMITTED, number=event.number, count=omitted)
    emit(event, error, **fields)


def configure_log(
    sink: TextIO | None = None, *, as_json: bool = False, level: str = "INFO"
) -> None:
    """Write events to ``sink`` (standard error by default), one per line."""
    output = sys.stderr if sink is None else sink
    render = _json_line if as_json else _text_line

    def write(message) -> None:
        output.write(render(message.record))

    logger.remove()
    logger.add(write, level=level, format="{message}", backtrace=False, diagnose=False)


def _json_line(record) -> str:
    extra = record["extra"]
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "event": extra.get("event"),
        "text": record["message"],
        **extra.get("fields", {}),
    }
    return json.dumps(line, default=str) + "\n"


def _text_line(record) -> str:
    extra = record["extra"]
    fields = "".join(f" {k}={v!r}" for k, v in extra.get("fields", {}).items())
    number = extra.get("event", "-")
    time = record["time"].isoformat()
    return f"{time} {record['level'].name} {number} {record['message']}{fields}\n"


ENTRY_STARTED = define_event(1001, "INFO", "listening for callers", "address")
ENTRY_STOPPING = define_event(
    1002, "INFO", "no longer accepting callers' connections", "in_flight"
)
ENTRY_STOPPED = define_event(1003, "INFO", "stopped serving callers", "in_flight")
MESSAGE_REFUSED = define_event(
    1010, "INFO", "malformed request refused", "status", "reason"
)
CONNECTION_FAULT = define_event(
    1011, "ERROR", "request or connection of a caller failed", "request_id"
)
REQUEST_UNKNOWN = define_event(
    1020, "WARNING", "outcome of a request is unknown", "request_id", "target", "reason"
)
RESPONSE_BROKEN = define_event(
    1021,
    "WARNING",
    "response broke off",
    "request_id",
    "target",
    "reason",
)
CANCEL_FAILED = define_event(
    1030, "INFO", "cancellation did not reach the target", "request_id"
)
GROUP_STARTED = define_event(
    2001, "INFO", "instance coordinates a group", "service", "group", "epoch"
)
GROUP_STOPPED = define_event(
    2002, "INFO", "instance no longer coordinates a group", "service", "group"
)
GROUP_TAKEN_OVER = define_event(
    2003,
    "INFO",
    "group taken over from a lost coordinator",
    "service",
    "group",
    "epoch",
    "predecessor",
)
AUTHORITY_LOST = define_event(
    2004, "WARNING", "coordinator lost its authority", "service", "group", "epoch"
)
AUTHORITY_REGAINED = define_event(
    2005, "INFO", "coordinator has its authority again", "service", "group", "epoch"
)
CLAIM_ENDED = define_event(
    2006, "INFO", "claim of a group ended", "service", "group", "reason"
)
GROUP_HANDED_OVER = define_event(
    2007, "INFO", "group handed over", "service", "group", "successor", "reason"
)
HAND_OVER_REFUSED = define_event(
    2008,
    "WARNING",
    "no instance accepted the hand-over of a group",
    "service",
    "group",
    "reason",
)
TARGET_CHANGED = define_event(
    2010,
    "INFO",
    "state or process of a target changed",
    "service",
    "group",
    "target",
    "reason",
)
SHARDS_MOVED = define_event(
    2011, "INFO", "shards assigned to another owner", "service", "group", "shards"
)
INSTANCE_DIED = define_event(
    2012, "INFO", "instance process declared dead", "instance", "incarnation"
)
INSTANCE_STARTED = define_event(
    3001, "INFO", "instance started", "instance", "incarnation", "data_centre"
)
INSTANCE_STOPPING = define_event(3002, "INFO", "instance is stopping", "groups")
INSTANCE_STOPPED = define_event(3003, "INFO", "instance stopped", "instance")
STOP_PART_FAILED = define_event(3004, "ERROR", "part of a planned stop failed", "part")
JOURNAL_LOADED = define_event(
    4001, "INFO", "journal loaded", "service", "group", "entries", "seconds"
)
JOURNAL_GAP = define_event(
    4002, "WARNING", "journal has a gap", "service", "group", "seconds"
)
JOURNAL_KEPT_BACK = define_event(
    4003,
    "WARNING",
    "journal entries are kept in memory because the store does not accept them",
    "service",
    "group",
)
JOURNAL_CAUGHT_UP = define_event(
    4004,
    "INFO",
    "journal entries kept in memory are now durable",
    "service",
    "group",
)
CRASH_HOLDS_CHANGED = define_event(
    4010,
    "WARNING",
    "set of requests restricted after target crashes changed",
    "service",
    "group",
    "held",
    "refused",
)
ENTRY_LOST = define_event(4020, "INFO", "entry instance was lost", "instance")
RETURN_GIVEN_UP = define_event(
    4021,
    "WARNING",
    "no coordinator accepted the return of a permit before its deadline",
    "service",
    "group",
    "permit_id",
)
REQUEST_FIELDS = (
    "request_id",
    "status",
    "reason",
    "phase",
    "route",
    "service",
    "account",
    "target",
    "attempts",
    "priority",
    "time_limit",
    "waited",
    "configuration",
    "configuration_age",
    "proof_age",
)
REQUEST_REFUSED = define_event(
    6001,
    "INFO",
    "request refused, not run",
    *REQUEST_FIELDS,
)
REQUEST_FAILED = define_event(
    6002,
    "WARNING",
    "request failed after it was sent",
    *REQUEST_FIELDS,
)
REQUEST_RETRIED = define_event(
    6003, "INFO", "request sent again", "request_id", "target", "reason", "attempts"
)
CALLER_LEFT = define_event(
    6005, "INFO", "caller disconnected before the response", *REQUEST_FIELDS
)
REQUEST_ABANDONED = define_event(
    6008, "WARNING", "instance ended before the response", *REQUEST_FIELDS
)
RESPONSE_LATE = define_event(
    6007, "WARNING", "response ended after the request's time limit", *REQUEST_FIELDS
)
CRASH_SUSPECTED = define_event(
    6004,
    "WARNING",
    "request is suspected of crashing a target",
    "fingerprint",
    "target",
    "crashes",
)
CONFIGURATION_APPLIED = define_event(
    6010,
    "INFO",
    "configuration applied",
    "version",
    "era",
    "revision",
    "source",
    "proof_age",
)
CONFIGURATION_UNREADABLE = define_event(
    6011, "ERROR", "configuration cannot be read", "era", "revision"
)
DEPARTURES_CHANGED = define_event(
    6012,
    "INFO",
    "set of data centres out of service changed",
    "data_centres",
    "era",
    "revision",
)
TARGET_RECORD_CHANGED = define_event(
    6013,
    "INFO",
    "target record changed",
    "target",
    "service",
    "address",
    "leaving",
    "cold_for",
    "era",
    "revision",
)
TARGET_RECORD_REMOVED = define_event(
    6014, "INFO", "target record removed", "target", "service", "era", "revision"
)
ENTRY_UNREADABLE = define_event(
    6015, "ERROR", "store object ignored because it cannot be read", "kind", "name"
)
EVENT_LOOP_LAG = define_event(6016, "WARNING", "event loop lags", "lag")
STORE_UNREACHABLE = define_event(
    6020, "WARNING", "store does not answer", "kind", "age"
)
STORE_REACHABLE = define_event(
    6021, "INFO", "store answers again", "kind", "era", "revision"
)
STORE_RESTORED = define_event(
    6026,
    "WARNING",
    "store was restored from an earlier copy",
    "kind",
    "era_before",
    "era",
    "revision",
    "changed",
    "kept",
    "source",
)
PEER_DECLARED_DEAD = define_event(
    6022, "WARNING", "peer declared dead", "peer", "reason"
)
PEER_REACHABLE = define_event(6023, "INFO", "peer is reachable", "peer", "incarnation")
PEER_CALL_FAILED = define_event(6024, "INFO", "message to a peer failed", "message")
PEER_STREAM_SILENT = define_event(
    6027,
    "WARNING",
    "stream to a peer closed because the peer does not reply on it",
    "peer",
    "address",
    "pending",
)
REGISTRATION_FAILED = define_event(
    6025, "WARNING", "record of an instance could not be written or deleted"
)
COORDINATOR_CLAIMED = define_event(
    6030,
    "INFO",
    "instance coordinates the key ranges of a service",
    "service",
    "epoch",
    "predecessor",
    "ranges",
    "waits_for_predecessor",
    "era",
    "awaits_leases",
    "lease_validity",
    "earlier_leases",
)
COORDINATOR_ENDED = define_event(
    6031,
    "INFO",
    "instance no longer coordinates the key ranges of a service",
    "service",
    "epoch",
    "reason",
)
PREDECESSOR_ENDED = define_event(
    6039,
    "INFO",
    "earlier coordinator has ended",
    "service",
    "epoch",
    "predecessor",
    "earlier_leases",
)
AUTHORITY_ENDED = define_event(
    6032,
    "WARNING",
    "coordinator stopped granting because the store has not confirmed its claim",
    "service",
    "epoch",
)
AUTHORITY_RETURNED = define_event(
    6033, "INFO", "store confirms the coordinator again", "service", "epoch"
)
RANGE_RELEASED = define_event(
    6034,
    "INFO",
    "target released a key range",
    "service",
    "first",
    "last",
    "target",
    "fence",
    "handover",
)
RANGE_ASSIGNED = define_event(
    6035,
    "INFO",
    "key range assigned to a target",
    "service",
    "first",
    "last",
    "source",
    "target",
    "fence",
    "handover",
)
GRANT_REFUSED = define_event(
    6036,
    "WARNING",
    "target refused a grant",
    "service",
    "target",
    "first",
    "last",
    "fence",
)
TARGET_UNRESPONSIVE = define_event(
    6037,
    "WARNING",
    "target does not answer grants",
    "service",
    "target",
    "address",
    "seconds",
)
RECORD_WRITE_FAILED = define_event(
    6038, "WARNING", "key range record could not be written or read", "service", "what"
)
LINES_OMITTED = define_event(
    6040, "WARNING", "log lines of an event were omitted", "number", "count"
)
TARGET_RESPONSIVE = define_event(
    6042, "INFO", "target answers grants again", "service", "target", "address"
)
TARGET_STATED_LEAVING = define_event(
    6043, "INFO", "target stated in a response that it leaves", "target", "service"
)
TARGET_STATED_COLD = define_event(
    6045,
    "INFO",
    "target stated in its health that it is cold",
    "target",
    "service",
    "seconds",
)
COLD_SLOT_GRANTED = define_event(
    6046,
    "INFO",
    "slot granted at a cold target",
    "service",
    "target",
    "started_at",
    "instance",
    "recent",
    "suspected",
    "responsible",
    "live",
)
TARGET_LIMIT_CHANGED = define_event(
    6071,
    "INFO",
    "learned limit of a target changed",
    "service",
    "target",
    "limit",
    "slots",
)
SLOT_REQUEST_REDIRECTED = define_event(
    6047,
    "WARNING",
    "slot requested elsewhere because the responsible instance cannot be asked",
    "service",
    "target",
    "responsible",
)
SLOT_OUTDATED = define_event(
    6049,
    "INFO",
    "slot given back unused because it is outdated",
    "service",
    "target",
    "responsible",
    "age",
    "started_at",
)
TARGET_PAUSED = define_event(
    6044, "INFO", "target asked for a pause", "target", "service", "seconds"
)
HOT_KEY_FOUND = define_event(
    6070,
    "INFO",
    "key has more load than any one target can run",
    "service",
    "key",
    "target",
)
ROLLOUT_ORDERED = define_event(
    6050, "INFO", "rollout ordered", "service", "to", "duration", "phase"
)
ROLLOUT_ENDED = define_event(
    6051, "INFO", "rollout order no longer in force", "service", "to", "reason"
)
ROLLOUT_IGNORED = define_event(
    6052, "WARNING", "rollout order ignored", "service", "to", "reason"
)
ROLLOUT_PHASE_CHANGED = define_event(
    6053, "INFO", "rollout phase changed", "service", "to", "phase", "reason"
)
ROLLOUT_CLAIMED = define_event(
    6054, "INFO", "instance decides a rollout", "service", "to", "phase", "epoch"
)
ROLLOUT_DECIDED = define_event(
    6055, "INFO", "rollout step decided", "service", "to", "phase", "reason"
)
ROLLOUT_WRITE_FAILED = define_event(
    6056, "WARNING", "rollout write failed", "service", "what"
)
PEER_REPLY_DROPPED = define_event(
    6041,
    "INFO",
    "reply to a peer dropped because its stream has ended or its queue is full",
    "message",
)
