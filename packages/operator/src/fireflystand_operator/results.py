"""Define what commands return and the errors they end with."""

import enum

import attrs

from fireflystand_core.exceptions import FireflystandError

__all__ = [
    "CommandResult",
    "ExitCode",
    "InputFaultError",
    "RejectedError",
    "UnknownOutcomeError",
]


class ExitCode(enum.IntEnum):
    """Tell how a command ended."""

    ACCEPTED = 0
    FAULT = 1
    USAGE = 2
    REJECTED = 3
    UNKNOWN = 4
    NOT_IN_EFFECT = 5


@attrs.frozen
class CommandResult:
    """Hold the lines for people and the data for programs."""

    lines: list[str]
    data: object
    code: ExitCode = ExitCode.ACCEPTED


class InputFaultError(FireflystandError):
    """Report a fault in what the operator gave."""


class RejectedError(FireflystandError):
    """Report a change that lost; ``winner`` is the operation that won."""

    def __init__(self, message: str, *, winner: str = "") -> None:
        super().__init__(message, step="change")
        self.winner = winner


class UnknownOutcomeError(FireflystandError):
    """Report a change that may or may not have taken effect."""

    def __init__(self, message: str, *, operation_id: str) -> None:
        super().__init__(message, step="change")
        self.operation_id = operation_id
