"""Define the three outcomes of a request as tagged dataclasses."""

from dataclasses import dataclass, field
from typing import ClassVar

__all__ = ["Answered", "NotRun", "Outcome", "Unknown"]


@dataclass(frozen=True)
class Answered:
    """State that the whole response of the target arrived."""

    tag: ClassVar[str] = "answered"
    status: int


@dataclass(frozen=True)
class NotRun:
    """State that no target ran the request."""

    tag: ClassVar[str] = "not-run"
    reason: str
    status: int = 503
    retry_after: float | None = field(default=None)


@dataclass(frozen=True)
class Unknown:
    """State that a target may have run the request."""

    tag: ClassVar[str] = "unknown"
    reason: str
    status: int = 502


Outcome = Answered | NotRun | Unknown
