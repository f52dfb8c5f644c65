"""Hold what this instance knows of the deployment from the feed."""

import json
from collections.abc import Callable
from typing import Any

import attrs
import cattrs

from fireflystand_core.configuration import Deployment

__all__ = ["ClaimInfo", "ClusterView", "KeyInfo"]


@attrs.frozen
class ClaimInfo:
    """Name the coordinator of a group; feed item ``claims/<service>/<group>``."""

    service: str
    group: int
    epoch: int
    instance: str
    incarnation: str
    witnesses: dict[str, str] = attrs.field(factory=dict)  # incarnations by instance


@attrs.frozen
class KeyInfo:
    """Tell whose API key this is; feed item ``keys/<hash>``."""

    account: str
    state: str  # "active" or "withdrawn"


@attrs.define(eq=False)
class ClusterView:
    """Hold the newest item of each kind; listeners hear of each changed key."""

    generation: int = 0
    operation_id: str = ""
    deployment: Deployment | None = None
    keys_by_hash: dict[str, KeyInfo] = attrs.field(factory=dict)
    data_centre_states_by_id: dict[str, str] = attrs.field(factory=dict)
    target_states_by_id: dict[str, str] = attrs.field(factory=dict)
    claims_by_group: dict[tuple[str, int], ClaimInfo] = attrs.field(factory=dict)
    listeners: list[Callable[[str], None]] = attrs.field(factory=list)

    def apply(self, key: str, text: str | None) -> None:
        """Take over a feed item; the caller passes only newer versions.

        A malformed value raises an error and changes nothing.
        """
        value = None if text is None else json.loads(text)
        kind, _, name = key.partition("/")
        if key == "config/deployment":
            # All is read before any is taken over.
            deployment = cattrs.structure(value["deployment"], Deployment)
            generation, operation_id = int(value["generation"]), value["operation_id"]
            self.deployment = deployment
            self.generation = generation
            self.operation_id = operation_id
        elif kind == "keys":
            self._apply_key(name, _structure(value, KeyInfo))
        elif kind == "data-centres":
            _set(self.data_centre_states_by_id, name, _state(value))
        elif kind == "targets":
            _set(self.target_states_by_id, name, _state(value))
        elif kind == "claims":
            service, _, group = name.rpartition("/")
            claim = _structure(value, ClaimInfo)
            _set(self.claims_by_group, (service, int(group)), claim)
        for listener in self.listeners:
            listener(key)

    def _apply_key(self, name: str, key: KeyInfo | None) -> None:
        # A withdrawal is final; a deleted API key counts as withdrawn.
        known = self.keys_by_hash.get(name, key or KeyInfo("", "withdrawn"))
        if key is None or known.state == "withdrawn":
            key = attrs.evolve(known, state="withdrawn")
        self.keys_by_hash[name] = key

    def admits_target(self, target: str) -> bool:
        """Tell whether new work may go to a target of the deployment."""
        if self.target_states_by_id.get(target, "in") != "in":
            return False
        for service in self.deployment.services_by_id.values():
            settings = service.targets_by_id.get(target)
            if settings is not None:
                state = self.data_centre_states_by_id.get(settings.data_centre, "in")
                return state == "in"
        return False


def _structure(value: Any, cls: type) -> Any:
    return None if value is None else cattrs.structure(value, cls)


def _state(value: Any) -> str | None:
    return None if value is None else value["state"]


def _set(mapping: dict, name: object, value: object) -> None:
    if value is None:
        mapping.pop(name, None)
    else:
        mapping[name] = value
