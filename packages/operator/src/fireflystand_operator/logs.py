"""Tell from the log lines of instances what became of a request or of a key."""

import json
import sys
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any, TextIO

import attrs

from fireflystand_router.events import (
    AUTHORITY_ENDED,
    AUTHORITY_RETURNED,
    CONFIGURATION_APPLIED,
    COORDINATOR_CLAIMED,
    COORDINATOR_ENDED,
    CRASH_SUSPECTED,
    GRANT_REFUSED,
    PEER_LOST,
    PEER_REGAINED,
    RANGE_GIVEN,
    RANGE_RELEASED,
    RECORD_WRITE_FAILED,
    STORE_LOST,
    STORE_REGAINED,
    TARGET_ENTRY_CHANGED,
    TARGET_ENTRY_ENDED,
    TARGET_RETURNED,
    TARGET_SILENT,
    Event,
)

from .results import CommandResult, InputFaultError

__all__ = ["explain_key", "explain_request", "read_lines"]

STANDARD_INPUT = "-"
# What decided about a request happened before it: a hold of a target lasts 10 s at
# most. What it led to shows within some seconds.
BEFORE = 12.0  # seconds before the request's first line
AFTER = 4.0  # seconds after its last line
OWN_FIELDS = frozenset(["time", "level", "event", "text", "request_id"])


def _numbers(*events: Event) -> frozenset[int]:
    return frozenset(event.number for event in events)


TARGET_EVENTS = _numbers(
    CRASH_SUSPECTED,
    TARGET_ENTRY_CHANGED,
    TARGET_ENTRY_ENDED,
    RANGE_RELEASED,
    RANGE_GIVEN,
    GRANT_REFUSED,
    TARGET_SILENT,
    TARGET_RETURNED,
)
CONTACT_EVENTS = _numbers(STORE_LOST, STORE_REGAINED, PEER_LOST, PEER_REGAINED)
CLAIM_EVENTS = _numbers(
    COORDINATOR_CLAIMED,
    COORDINATOR_ENDED,
    AUTHORITY_ENDED,
    AUTHORITY_RETURNED,
    RECORD_WRITE_FAILED,
)
RANGE_EVENTS = _numbers(RANGE_RELEASED, RANGE_GIVEN, GRANT_REFUSED)


@attrs.frozen
class LogLine:
    """Hold one line; ``at`` is in seconds since the epoch."""

    at: float
    instance: str
    event: int
    text: str
    fields: dict[str, Any]

    def show(self, since: float) -> str:
        """Return the line for people, with its time relative to ``since``."""
        details = " ".join(f"{k}={v}" for k, v in self.fields.items())
        offset = f"{self.at - since:+9.3f} s"
        return f"{offset}  {self.instance}  {self.event} {self.text}: {details}"

    def as_data(self) -> dict[str, Any]:
        """Return the line for programs."""
        return attrs.asdict(self)


def read_lines(
    files: Iterable[str], standard_input: TextIO | None = None
) -> tuple[list[LogLine], int]:
    """Return the lines of all files in order of time, and how many were unreadable.

    What stands before the JSON of a line, as a log collector adds it, names the
    instance by its last word; else the file does.
    """
    lines: list[LogLine] = []
    unreadable = 0
    for name, text in _texts(files, standard_input or sys.stdin):
        if not text.strip():
            continue
        line = _parse(text, name)
        if line is None:
            unreadable += 1
        else:
            lines.append(line)
    return sorted(lines, key=lambda line: line.at), unreadable


def _texts(files: Iterable[str], standard_input: TextIO) -> Iterator[tuple[str, str]]:
    for name in files or [STANDARD_INPUT]:
        if name == STANDARD_INPUT:
            yield from (("", text) for text in standard_input)
            continue
        try:
            with Path(name).open(errors="replace") as file:
                yield from ((Path(name).stem, text) for text in file)
        except OSError as error:
            raise InputFaultError(f"cannot read {name}: {error.strerror}") from error


def _parse(text: str, name: str) -> LogLine | None:
    before, brace, rest = text.partition("{")
    try:
        values = json.loads(brace + rest)
        at = datetime.fromisoformat(values["time"]).timestamp()
        number = int(values["event"])
    except (ValueError, KeyError, TypeError):
        return None
    words = before.split()
    fields = {k: v for k, v in values.items() if k not in OWN_FIELDS}
    if "request_id" in values:
        fields["request_id"] = values["request_id"]
    instance = words[-1] if words else name
    return LogLine(at, instance, number, values.get("text", ""), fields)


def explain_request(
    request_id: str, files: Iterable[str], standard_input: TextIO | None = None
) -> CommandResult:
    """Return the lines of a request and those that tell why it ended as it did.

    Raise InputFaultError if no line names the request.
    """
    lines, unreadable = read_lines(files, standard_input)
    own = [line for line in lines if line.fields.get("request_id") == request_id]
    if not own:
        raise InputFaultError(f"no line names request {request_id}")
    instances = {line.instance for line in own}
    targets = {line.fields.get("target") for line in own} - {None, ""}
    begin = own[0].at - max(line.fields.get("waited", 0.0) for line in own) - BEFORE
    end = own[-1].at + AFTER
    applied = _last_applied(lines, instances, own[-1].at)

    def belongs(line: LogLine) -> bool:
        if line in own or line in applied:
            return True
        if not begin <= line.at <= end:
            return False
        if line.event in CONTACT_EVENTS:
            return line.instance in instances
        of_target = {line.fields.get("target"), line.fields.get("source")} & targets
        return line.event in TARGET_EVENTS and bool(of_target)

    return _story(lines, belongs, own[-1].at, unreadable)


def _last_applied(
    lines: list[LogLine], instances: set[str], until: float
) -> list[LogLine]:
    """Return the configuration that each instance had applied last."""
    last: dict[str, LogLine] = {}
    for line in lines:
        known = (
            line.event == CONFIGURATION_APPLIED.number and line.instance in instances
        )
        if known and line.at <= until:
            last[line.instance] = line
    return list(last.values())


def explain_key(
    service: str,
    key: int,
    files: Iterable[str],
    standard_input: TextIO | None = None,
) -> CommandResult:
    """Return the owners of a routing key over time, and who decided about them.

    Raise InputFaultError if no line tells of the service.
    """
    lines, unreadable = read_lines(files, standard_input)
    of_service = [line for line in lines if line.fields.get("service") == service]
    if not of_service:
        raise InputFaultError(f"no line names service {service}")

    def holds_key(line: LogLine) -> bool:
        first, last = line.fields.get("first"), line.fields.get("last")
        return line.event in RANGE_EVENTS and first <= key <= last

    ranges = [line for line in of_service if holds_key(line)]
    owners = {line.fields.get("target") for line in ranges} - {None, ""}

    def belongs(line: LogLine) -> bool:
        if line.event in CLAIM_EVENTS:
            return line.fields.get("service") == service
        if line.event in RANGE_EVENTS:
            return line in ranges
        return line.event in TARGET_EVENTS and line.fields.get("target") in owners

    since = of_service[0].at
    return _story(lines, belongs, since, unreadable)


def _story(
    lines: list[LogLine],
    belongs: Callable[[LogLine], bool],
    since: float,
    unreadable: int,
) -> CommandResult:
    """Return the lines of a story; what all instances tell alike is told once."""
    chosen: list[LogLine] = []
    repeats: Counter[tuple] = Counter()
    for line in lines:
        if not belongs(line):
            continue
        same = (line.event, json.dumps(line.fields, sort_keys=True))
        repeats[same] += 1
        if repeats[same] == 1:
            chosen.append(line)
    shown = [line.show(since) for line in chosen]
    hidden = repeats.total() - len(chosen)
    if hidden:
        shown.append(f"{hidden} lines of other instances tell the same")
    if unreadable:
        shown.append(f"{unreadable} lines could not be read")
    data = {
        "lines": [line.as_data() for line in chosen],
        "repeated": hidden,
        "unreadable": unreadable,
    }
    return CommandResult(shown, data)
