"""Explain the outcome of a request or the owners of a key from log lines."""

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
    PEER_DECLARED_DEAD,
    PEER_REACHABLE,
    RANGE_ASSIGNED,
    RANGE_RELEASED,
    RECORD_WRITE_FAILED,
    STORE_REACHABLE,
    STORE_UNREACHABLE,
    TARGET_RECORD_CHANGED,
    TARGET_RECORD_REMOVED,
    TARGET_RESPONSIVE,
    TARGET_UNRESPONSIVE,
    Event,
)

from .results import CommandResult, InputFaultError

__all__ = ["explain_key", "explain_request", "read_lines"]

STANDARD_INPUT = "-"
# The events that decide a request's outcome may precede it: a lease of a target lasts
# at most 10 s. Events that the request causes are logged within a few seconds.
WINDOW_BEFORE = 12.0  # seconds before the request's first line
WINDOW_AFTER = 4.0  # seconds after its last line
RESERVED_FIELDS = frozenset(["time", "level", "event", "text", "request_id"])


def _event_numbers(*events: Event) -> frozenset[int]:
    return frozenset(event.number for event in events)


TARGET_EVENTS = _event_numbers(
    CRASH_SUSPECTED,
    TARGET_RECORD_CHANGED,
    TARGET_RECORD_REMOVED,
    RANGE_RELEASED,
    RANGE_ASSIGNED,
    GRANT_REFUSED,
    TARGET_UNRESPONSIVE,
    TARGET_RESPONSIVE,
)
REACHABILITY_EVENTS = _event_numbers(
    STORE_UNREACHABLE, STORE_REACHABLE, PEER_DECLARED_DEAD, PEER_REACHABLE
)
COORDINATION_EVENTS = _event_numbers(
    COORDINATOR_CLAIMED,
    COORDINATOR_ENDED,
    AUTHORITY_ENDED,
    AUTHORITY_RETURNED,
    RECORD_WRITE_FAILED,
)
RANGE_EVENTS = _event_numbers(RANGE_RELEASED, RANGE_ASSIGNED, GRANT_REFUSED)


@attrs.frozen
class LogLine:
    """Hold one log line; ``at`` is in seconds since the Unix epoch."""

    at: float
    instance: str
    event: int
    text: str
    fields: dict[str, Any]

    def as_text(self, since: float) -> str:
        """Format the line as text, with its time relative to ``since``."""
        details = " ".join(f"{k}={v}" for k, v in self.fields.items())
        offset = f"{self.at - since:+9.3f} s"
        return f"{offset}  {self.instance}  {self.event} {self.text}: {details}"

    def as_data(self) -> dict[str, Any]:
        """Return the line as data for JSON output."""
        return attrs.asdict(self)


def read_lines(
    files: Iterable[str], standard_input: TextIO | None = None
) -> tuple[list[LogLine], int]:
    """Return the lines of all files in order of time, and how many were unreadable.

    If a log collector put a prefix before the JSON of a line, the last word of that
    prefix is the instance id; otherwise the file's name without suffix is.
    """
    lines: list[LogLine] = []
    unreadable = 0
    for name, text in _raw_lines(files, standard_input or sys.stdin):
        if not text.strip():
            continue
        line = _parse_line(text, name)
        if line is None:
            unreadable += 1
        else:
            lines.append(line)
    return sorted(lines, key=lambda line: line.at), unreadable


def _raw_lines(
    files: Iterable[str], standard_input: TextIO
) -> Iterator[tuple[str, str]]:
    for name in files or [STANDARD_INPUT]:
        if name == STANDARD_INPUT:
            yield from (("", text) for text in standard_input)
            continue
        try:
            with Path(name).open(errors="replace") as file:
                yield from ((Path(name).stem, text) for text in file)
        except OSError as error:
            raise InputFaultError(f"cannot read {name}: {error.strerror}") from error


def _parse_line(text: str, name: str) -> LogLine | None:
    prefix, brace, rest = text.partition("{")
    try:
        record = json.loads(brace + rest)
        at = datetime.fromisoformat(record["time"]).timestamp()
        number = int(record["event"])
    except (ValueError, KeyError, TypeError):
        return None
    prefix_words = prefix.split()
    fields = {k: v for k, v in record.items() if k not in RESERVED_FIELDS}
    if "request_id" in record:
        fields["request_id"] = record["request_id"]
    instance = prefix_words[-1] if prefix_words else name
    return LogLine(at, instance, number, record.get("text", ""), fields)


def explain_request(
    request_id: str, files: Iterable[str], standard_input: TextIO | None = None
) -> CommandResult:
    """Return the lines of a request and those that explain its outcome.

    Raise InputFaultError if no line has this request id.
    """
    lines, unreadable = read_lines(files, standard_input)
    request_lines = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    if not request_lines:
        raise InputFaultError(f"no log line has request id {request_id}")
    instances = {line.instance for line in request_lines}
    targets = {line.fields.get("target") for line in request_lines} - {None, ""}
    begin = (
        request_lines[0].at
        - max(line.fields.get("waited", 0.0) for line in request_lines)
        - WINDOW_BEFORE
    )
    end = request_lines[-1].at + WINDOW_AFTER
    applied = _last_applied_configuration(lines, instances, request_lines[-1].at)

    def is_relevant(line: LogLine) -> bool:
        if line in request_lines or line in applied:
            return True
        if not begin <= line.at <= end:
            return False
        if line.event in REACHABILITY_EVENTS:
            return line.instance in instances
        line_targets = {line.fields.get("target"), line.fields.get("source")} & targets
        return line.event in TARGET_EVENTS and bool(line_targets)

    return _show_relevant_lines(lines, is_relevant, request_lines[-1].at, unreadable)


def _last_applied_configuration(
    lines: list[LogLine], instances: set[str], until: float
) -> list[LogLine]:
    """Return the line of the last configuration that each instance applied."""
    last: dict[str, LogLine] = {}
    for line in lines:
        is_applied = (
            line.event == CONFIGURATION_APPLIED.number and line.instance in instances
        )
        if is_applied and line.at <= until:
            last[line.instance] = line
    return list(last.values())


def explain_key(
    service: str,
    key: int,
    files: Iterable[str],
    standard_input: TextIO | None = None,
) -> CommandResult:
    """Return the lines about the owners of a routing key and the coordinators.

    Raise InputFaultError if no line has this service.
    """
    lines, unreadable = read_lines(files, standard_input)
    service_lines = [line for line in lines if line.fields.get("service") == service]
    if not service_lines:
        raise InputFaultError(f"no log line has service {service}")

    def covers_key(line: LogLine) -> bool:
        first, last = line.fields.get("first"), line.fields.get("last")
        return line.event in RANGE_EVENTS and first <= key <= last

    range_lines = [line for line in service_lines if covers_key(line)]
    owners = {line.fields.get("target") for line in range_lines} - {None, ""}

    def is_relevant(line: LogLine) -> bool:
        if line.event in COORDINATION_EVENTS:
            return line.fields.get("service") == service
        if line.event in RANGE_EVENTS:
            return line in range_lines
        return line.event in TARGET_EVENTS and line.fields.get("target") in owners

    since = service_lines[0].at
    return _show_relevant_lines(lines, is_relevant, since, unreadable)


def _show_relevant_lines(
    lines: list[LogLine],
    is_relevant: Callable[[LogLine], bool],
    since: float,
    unreadable: int,
) -> CommandResult:
    """Return the relevant lines, lines with equal event and fields only once."""
    first_lines: list[LogLine] = []
    counts: Counter[tuple] = Counter()
    for line in lines:
        if not is_relevant(line):
            continue
        signature = (line.event, json.dumps(line.fields, sort_keys=True))
        counts[signature] += 1
        if counts[signature] == 1:
            first_lines.append(line)
    shown = [line.as_text(since) for line in first_lines]
    repeated = counts.total() - len(first_lines)
    if repeated:
        shown.append(
            f"{repeated} repeated lines, with the same event and fields, were left out"
        )
    if unreadable:
        shown.append(f"{unreadable} lines could not be read")
    data = {
        "lines": [line.as_data() for line in first_lines],
        "repeated": repeated,
        "unreadable": unreadable,
    }
    return CommandResult(shown, data)
