"""Define the results of commands and the errors that commands raise."""

import enum

import attrs

from fireflystand_core.configuration import Fault
from fireflystand_core.exceptions import FireflystandError

__all__ = [
    "CheckCode",
    "CommandResult",
    "ExitCode",
    "InputFaultError",
    "RejectedError",
    "UnknownOutcomeError",
    "fault_values",
]


class ExitCode(enum.IntEnum):
    """Give the outcome of a command as the exit code of its process."""

    ACCEPTED = 0
    FAULT = 1
    USAGE = 2
    REJECTED = 3
    UNKNOWN = 4
    NOT_IN_EFFECT = 5


class CheckCode(enum.IntEnum):
    """Give the findings of ``check`` as the exit code of its process."""

    NONE = 0
    WARNINGS = 1
    ERRORS = 2


@attrs.frozen
class CommandResult:
    """Hold the output of a command as lines of text and as data for JSON."""

    lines: list[str]
    data: object
    code: ExitCode | CheckCode = ExitCode.ACCEPTED


class InputFaultError(FireflystandError):
    """Report an invalid file, name or value that the operator gave."""


class RejectedError(FireflystandError):
    """Report a change that was not made because operation ``winner`` came first."""

    def __init__(self, message: str, *, winner: str = "") -> None:
        super().__init__(message, step="change")
        self.winner = winner


class UnknownOutcomeError(FireflystandError):
    """Report a change that may or may not have taken effect."""

    def __init__(self, message: str, *, operation_id: str) -> None:
        super().__init__(message, step="change")
        self.operation_id = operation_id


def fault_values(faults: list[Fault]) -> list[dict]:
    """Return faults or warnings as data for JSON."""
    return [
        {
            "file": fault.place.file,
            "line": fault.place.line,
            "path": fault.place.path,
            "message": fault.message,
        }
        for fault in faults
    ]
