"""Hold the calls and the targets of the request model."""

import attrs

from fireflystand_core.messages import Permit, PermitRequest

__all__ = ["Call", "Target"]

SUCCESSES_PER_SLOT = 4  # that a cold target needs to take one more request


@attrs.define(eq=False)
class Call:
    """Follow one request of a caller at its entry instance."""

    request: PermitRequest
    entry: str
    deadline: float
    poison: bool = False
    state: str = "asking"
    attempt: int = 0
    free_retry: bool = False
    asked_at: float = float("-inf")
    permit: Permit | None = None
    used: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    outcome: str = ""


@attrs.define(eq=False)
class Target:
    """Run requests; fails the oracle when it gets more than it can handle."""

    id: str
    slots: int
    incarnation: int = 1
    successes: int = 0
    epoch: int = 0
    alive: bool = True
    frozen: bool = False
    known_since: float = 0.0
    runs: dict[int, tuple[Call, Permit, float]] = attrs.field(factory=dict)
    buffer: list[tuple[Call, Permit]] = attrs.field(factory=list)

    def cold_limit(self) -> int:
        """Return how many requests it can handle at once."""
        return min(self.slots, 1 + self.successes // SUCCESSES_PER_SLOT)
