"""Derive the groups, their shards and their targets from the deployment."""

from fireflystand_core.configuration import Deployment, ServiceSettings
from fireflystand_core.groups import TargetInfo
from fireflystand_core.sharding import group_of_shard, home_groups

from .view import ClusterView

__all__ = ["group_names", "group_shards", "group_targets"]

ACCOUNTS = "accounts"
JOURNAL = "journal"


def group_names(deployment: Deployment) -> list[tuple[str, int]]:
    """Return every group of a deployment, the reserved ones included."""
    counts = {s.id: s.groups for s in deployment.services_by_id.values()}
    counts[ACCOUNTS] = deployment.account_groups
    counts[JOURNAL] = deployment.journal.groups
    return [(name, group) for name, count in counts.items() for group in range(count)]


def group_shards(settings: ServiceSettings | None, group: int) -> tuple[int, ...]:
    """Return the shards of a group; only keyed services have any."""
    if settings is None or not settings.keyed:
        return ()
    shards = range(settings.shards)
    return tuple(s for s in shards if group_of_shard(s, settings.groups) == group)


def group_targets(view: ClusterView, service: str, group: int) -> list[TargetInfo]:
    """Return the targets whose home is the group, with their states."""
    settings = view.deployment.services_by_id.get(service)
    if settings is None:
        return []
    homes = home_groups(service, settings.targets_by_id, settings.groups)
    return [
        TargetInfo(
            target.id,
            view.admits_target(target.id),
            target.checks_epoch,
            float(target.slots),
        )
        for target in settings.targets_by_id.values()
        if homes[target.id] == group
    ]
