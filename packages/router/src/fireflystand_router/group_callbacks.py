"""Define what the group host needs from its surroundings."""

from typing import Protocol

import attrs

from fireflystand_core.groups import GroupCoordinator

from .target_control import TargetAnswer

__all__ = ["GroupCallbacks", "LiveInstance"]


@attrs.frozen
class LiveInstance:
    """Describe an instance that is believed to live."""

    incarnation: str
    data_centre: str
    reaches_store: bool = False
    address: str = ""  # where this incarnation listens


class GroupCallbacks(Protocol):
    """Take what the permit side needs to know of a group."""

    def on_group_started(
        self,
        service: str,
        group: int,
        coordinator: GroupCoordinator,
        handed_state: dict[str, bytes] | None,
    ) -> None:
        """Begin to issue permits."""

    def on_group_stopped(self, service: str, group: int) -> None:
        """Stop issuing permits."""

    def on_target_changed(
        self, service: str, group: int, target: str, reason: str
    ) -> None:
        """Take over that a target died, came back or is new."""

    def on_target_status(
        self, service: str, group: int, target: str, answer: TargetAnswer, at: float
    ) -> None:
        """Take over a status that was asked for at a time."""

    def collect_state(self, service: str, group: int) -> dict[str, bytes]:
        """Return the volatile state for a hand-over; issue nothing any more."""

    def permits_pending(
        self, service: str, group: int, target: str, shard: int, now: float
    ) -> bool:
        """Tell whether a permit for the shard at the target is outstanding."""
