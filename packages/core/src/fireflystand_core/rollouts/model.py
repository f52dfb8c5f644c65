"""Describe an order to move a service to another version, and its recorded progress.

An order outlives every instance that acts on it: it may be repeated, changed or
withdrawn at any moment, and the store may lose or restore what was written about it.
The types here say which of two statements about one order is the later one.
"""

from enum import Enum
from math import isfinite
from typing import Any

import attrs

from ..ranges.record import ERA_BITS

__all__ = ["Phase", "RolloutOrder", "RolloutPolicy", "RolloutRecord"]


class Phase(Enum):
    """Name the phases of a rollout as they are stored."""

    TRIAL = "trial"
    RAMP = "ramp"
    CUTOVER = "cutover"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Tell whether no other phase comes after this one."""
        return self in (Phase.COMPLETED, Phase.ROLLED_BACK)

    def follows(self, other: "Phase") -> bool:
        """Tell whether this phase is a later one than the other."""
        return _RANKS[self] > _RANKS[other]


_RANKS = {
    Phase.TRIAL: 0,
    Phase.RAMP: 1,
    Phase.CUTOVER: 2,
    Phase.COMPLETED: 3,
    Phase.ROLLED_BACK: 3,
}
_STATES = ("", "serving", Phase.COMPLETED.value, Phase.ROLLED_BACK.value)


@attrs.frozen
class RolloutOrder:
    """Ask for a service's traffic to be moved to one version within a duration.

    ``duration`` is in seconds. ``created`` is the store's revision at which the
    object of the order was created. ``state`` and ``state_to`` are what the object's
    status says; both are empty if it says nothing.
    """

    service: str
    to: str
    duration: float
    created: int
    state: str = ""
    state_to: str = ""

    @property
    def id(self) -> str:
        """Return what tells this order from others for the service.

        The object's own revision is no part of it: writing a status changes it.
        """
        return f"{self.created}/{float(self.duration)!r}/{self.to}"

    @property
    def final_phase(self) -> Phase | None:
        """Return the final phase that the status states for this version, if any."""
        if self.state_to != self.to:
            return None
        if self.state in (Phase.COMPLETED.value, Phase.ROLLED_BACK.value):
            return Phase(self.state)
        return None

    def check(self) -> None:
        """Raise ValueError if a part is missing, of a wrong type or out of range."""
        texts = (self.service, self.to, self.state, self.state_to)
        if not all(isinstance(text, str) for text in texts):
            raise ValueError("a name, version or state in an order is not a string")
        if not self.service or not self.to:
            raise ValueError("an order names no service or no version")
        if type(self.duration) not in (int, float):
            raise ValueError("the duration of an order is not a number")
        if not isfinite(self.duration) or self.duration <= 0:
            raise ValueError(f"an order's duration is {self.duration} seconds")
        if type(self.created) is not int or self.created < 0:
            raise ValueError("the creation revision of an order is not a whole number")
        if self.state not in _STATES:
            raise ValueError(f"an order's state is {self.state!r}")


@attrs.frozen
class RolloutPolicy:
    """Hold the limits on what a version under test may get.

    From all instances together it gets at most ``exposure_share`` of the service's
    requests plus ``exposure_slack`` requests, and nothing later than ``rollback``
    seconds after its 50th bad response.
    """

    exposure_share: float = 0.1
    exposure_slack: float = 50.0
    rollback: float = 5.0

    @property
    def trial_share(self) -> float:
        """Return the trial's part of the share; the rest is kept for the cutover."""
        return self.exposure_share / 2

    @property
    def trial_slack(self) -> float:
        """Return the trial's part of the slack, over all instances."""
        return self.exposure_slack / 2


@attrs.frozen
class RolloutRecord:
    """Hold the progress of a rollout and the process that may change it.

    ``order`` is the identity of the order. ``epoch`` rises with each claim.
    """

    service: str
    order: str
    to: str
    phase: Phase
    epoch: int = 0
    holder: str = ""
    holder_incarnation: str = ""
    reason: str = ""

    def is_newer_than(self, other: "RolloutRecord") -> bool:
        """Tell whether this record replaces the other.

        A record of the same order in an earlier phase never does: it comes from a
        store that was restored from a copy.
        """
        if self.order == other.order:
            if other.phase.follows(self.phase):
                return False
            if self.phase.follows(other.phase):
                return True
            if self.phase is not other.phase:
                return False
        return self.epoch > other.epoch

    def is_held_by(self, holder: str, incarnation: str) -> bool:
        """Tell whether the record names this process as the decider."""
        return (self.holder, self.holder_incarnation) == (holder, incarnation)

    def claim(
        self, holder: str, incarnation: str, *, known_epoch: int = 0, era: int = 0
    ) -> "RolloutRecord":
        """Return the record under a new decider with a later epoch.

        The epoch is above the record's, above the highest that the claimer knows and,
        in a later ``era`` of the store, above all that were lost with earlier ones.
        """
        epoch = max(self.epoch, known_epoch, era << ERA_BITS) + 1
        return attrs.evolve(
            self, epoch=epoch, holder=holder, holder_incarnation=incarnation
        )

    def advance(self, phase: Phase, reason: str = "") -> "RolloutRecord":
        """Return the record in a later phase; raise ValueError if it is no later."""
        if not phase.follows(self.phase):
            raise ValueError(f"{phase.value} does not follow {self.phase.value}")
        return attrs.evolve(self, phase=phase, reason=reason)

    def to_value(self) -> dict[str, Any]:
        """Return the form that is stored in the object store."""
        value = attrs.asdict(self, recurse=False)
        value["phase"] = self.phase.value
        return value

    @classmethod
    def from_value(cls, value: Any) -> "RolloutRecord":
        """Return the record of a stored form; raise ValueError if it is invalid.

        Fields that this build does not know are ignored.
        """
        if not isinstance(value, dict):
            raise ValueError("a rollout record is not an object")
        texts = {name: _text(value, name) for name in ("service", "order", "to")}
        if not all(texts.values()):
            raise ValueError("a rollout record without service, order or version")
        for name in ("holder", "holder_incarnation", "reason"):
            texts[name] = _text(value, name, "")
        epoch = value.get("epoch", 0)
        if type(epoch) is not int or epoch < 0:
            raise ValueError("the epoch of a rollout record is not a whole number")
        return cls(phase=Phase(_text(value, "phase")), epoch=epoch, **texts)


def _text(value: dict[str, Any], name: str, default: str | None = None) -> str:
    text = value.get(name, default)
    if not isinstance(text, str):
        raise ValueError(f"{name} of a rollout record is not a string")
    return text
