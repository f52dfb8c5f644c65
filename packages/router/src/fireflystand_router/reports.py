"""Report what this instance knows, for operators."""

import attrs
import trio

from fireflystand_core.groups import GroupCoordinator

from .adapters import GroupPlacement
from .gossip import Gossip
from .group_services import GroupServices
from .settings import ProcessSettings
from .view import ClusterView

__all__ = ["InstanceReports"]


class InstanceReports:
    """Answer the state and explain requests of operators as JSON values."""

    def __init__(
        self,
        settings: ProcessSettings,
        view: ClusterView,
        gossip: Gossip,
        services: GroupServices,
    ) -> None:
        self._settings = settings
        self._view = view
        self._gossip = gossip
        self._services = services
        self._placement = GroupPlacement()

    def state(self) -> dict:
        """Return the state of this instance and of the groups it coordinates."""
        now = trio.current_time()
        coordinators = self._services.coordinators().items()
        return {
            "instance": self._settings.instance_id,
            "data_centre": self._settings.data_centre,
            "generation": self._view.generation,
            "feed_revision": self._gossip.state.revision,
            "admitting": self._gossip.may_admit(),
            "groups": [_group(*name, held, now) for name, held in coordinators],
        }

    def explain(self, service: str, key: str) -> dict:
        """Return who owns a key, as far as this instance knows."""
        deployment = self._view.deployment
        settings = deployment and deployment.services_by_id.get(service)
        if settings is None:
            return {"service": service, "key": key, "reason": "service does not exist"}
        found = self._placement.locate(settings, key, 0)
        claim = self._view.claims_by_group.get((service, found.group))
        answer = {
            "service": service,
            "key": key,
            "shard": found.shard,
            "group": found.group,
            "coordinator": claim.instance if claim else None,
            "epoch": claim.epoch if claim else 0,
        }
        if not settings.keyed:
            return {**answer, "reason": "service is not divided by key"}
        held = self._services.coordinators().get((service, found.group))
        if held is None:
            return {**answer, "reason": "another instance coordinates the group"}
        now = trio.current_time()
        told = held.explain(found.key_hash, found.shard, now)
        return {**answer, **attrs.asdict(told)}


def _group(service: str, group: int, held: GroupCoordinator, now: float) -> dict:
    told = held.explain(0, 0, now)
    return {
        "service": service,
        "group": group,
        "epoch": held.epoch,
        "lease_left": round(told.lease_left, 3),
        "pending_moves": len(told.moves),
        "targets": {
            name: "dead" if known.incarnation is None else "alive"
            for name, known in held.targets_by_id.items()
        },
    }
