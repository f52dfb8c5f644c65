"""Report what happens to groups as log events and metrics."""

from fireflystand_core.groups import GroupCoordinator, GroupRecord

from .events import (
    AUTHORITY_LOST,
    AUTHORITY_REGAINED,
    CLAIM_ENDED,
    GROUP_HANDED_OVER,
    GROUP_TAKEN_OVER,
    HAND_OVER_REFUSED,
    INSTANCE_DIED,
    SHARDS_MOVED,
    emit,
)
from .metrics import (
    AUTHORITY_LOSSES,
    CLAIMS,
    GROUPS_COORDINATED,
    HAND_OVERS,
    INSTANCE_DEATHS,
    MOVED_SHARDS,
    TAKEOVERS,
    TARGET_DEATHS,
    Metrics,
)

__all__ = ["GroupReports"]

GroupName = tuple[str, int]


class GroupReports:
    """Count and log claims, takeovers, lost authority, moves and deaths."""

    def __init__(self, metrics: Metrics | None = None) -> None:
        self._metrics = metrics or Metrics()
        self._with_authority: dict[GroupName, bool] = {}
        self._dead: dict[str, str] = {}  # incarnations by instance

    def claimed(self, name: GroupName, epoch: int, predecessor: str | None) -> None:
        """Report a durable claim; ``predecessor`` is the lost coordinator, if any."""
        self._metrics.count(CLAIMS)
        if predecessor is not None:
            self._metrics.count(TAKEOVERS)
            service, group = name
            emit(
                GROUP_TAKEN_OVER,
                service=service,
                group=group,
                epoch=epoch,
                predecessor=predecessor,
            )

    def ended(self, name: GroupName, reason: str) -> None:
        """Report that this instance decides for a group no more."""
        self._with_authority.pop(name, None)
        emit(CLAIM_ENDED, service=name[0], group=name[1], reason=reason)

    def note_authority(
        self, name: GroupName, coordinator: GroupCoordinator, now: float
    ) -> None:
        """Report a change between confirmed and not confirmed."""
        has = coordinator.has_authority(now)
        known = self._with_authority.get(name)
        if has == known or (known is None and not has):
            return
        self._with_authority[name] = has
        if known is None:
            return
        if not has:
            self._metrics.count(AUTHORITY_LOSSES)
        event = AUTHORITY_REGAINED if has else AUTHORITY_LOST
        emit(event, service=name[0], group=name[1], epoch=coordinator.epoch)

    def written(
        self, name: GroupName, before: GroupRecord | None, after: GroupRecord
    ) -> None:
        """Report the shards that a durable record gave to other targets."""
        owners = before.owners if before else {}
        moved = sum(owners.get(s) != t for s, t in after.owners.items())
        if moved:
            self._metrics.count(MOVED_SHARDS, moved)
            emit(SHARDS_MOVED, service=name[0], group=name[1], shards=moved)

    def handed_over(self, name: GroupName, successor: str, reason: str) -> None:
        """Report that another instance took a group."""
        self._metrics.count(HAND_OVERS)
        service, group = name
        emit(
            GROUP_HANDED_OVER,
            service=service,
            group=group,
            successor=successor,
            reason=reason,
        )

    def hand_over_refused(self, name: GroupName, reason: str) -> None:
        """Report that nobody took a group."""
        emit(HAND_OVER_REFUSED, service=name[0], group=name[1], reason=reason)

    def instance_died(self, instance: str, incarnation: str) -> None:
        """Report evidence of a process's death once."""
        if self._dead.get(instance) == incarnation:
            return
        self._dead[instance] = incarnation
        self._metrics.count(INSTANCE_DEATHS)
        emit(INSTANCE_DIED, instance=instance, incarnation=incarnation)

    def target_changed(self, reason: str) -> None:
        """Count the death of a target."""
        if reason == "died":
            self._metrics.count(TARGET_DEATHS)

    def coordinating(self, groups: int) -> None:
        """Tell how many groups this instance coordinates."""
        self._metrics.gauge(GROUPS_COORDINATED, groups)
