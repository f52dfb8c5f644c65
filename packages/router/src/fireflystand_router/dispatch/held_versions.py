"""Hold back targets of another version until it is known whether an order names it.

The store gives out one sequence of revisions, and an order is older than the targets
that were started for it. A replica of the orders that is complete at the revision of a
target's record therefore holds the order, if there is one.
"""

from collections import Counter

from .ports import ROLLOUTS
from .state import RoutingState

__all__ = ["HeldVersions"]


class HeldVersions:
    """Track which versions of a service's targets are held back."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self._cleared: set[tuple[str, str]] = set()  # services and versions
        self._held_by_service: dict[str, frozenset[str]] = {}

    def note_change(self) -> None:
        """Apply that targets or orders have changed."""
        self._held_by_service.clear()

    def versions(self, service: str) -> frozenset[str]:
        """Return the versions of a service that get no requests yet."""
        held = self._held_by_service.get(service)
        if held is None or held:
            # The replica's revision rises without a change that is announced.
            held = self._held_by_service[service] = self._find(service)
        return held

    def holds_all(self, service: str) -> bool:
        """Tell whether it is not known yet which of several versions is in use.

        An order that this instance has not read may have reached its cutover.
        """
        if self._state.replicas_by_kind[ROLLOUTS].revision:
            return False
        return len(self.versions(service)) > 1

    def _find(self, service: str) -> frozenset[str]:
        targets = [
            t for t in self._state.targets_by_id.values() if t.service == service
        ]
        counts = Counter(target.software for target in targets)
        if not counts:
            return frozenset()
        revision = self._state.replicas_by_kind[ROLLOUTS].revision
        if not revision and len(counts) > 1:
            return frozenset(counts)
        first_by_version: dict[str, int] = {}
        for target in targets:
            known = first_by_version.get(target.software, target.version)
            first_by_version[target.software] = min(known, target.version)
        usual = max(counts, key=lambda v: (counts[v], -first_by_version[v]))
        self._cleared.add((service, usual))
        for version, first in first_by_version.items():
            if revision >= first:
                self._cleared.add((service, version))
        return frozenset(v for v in counts if (service, v) not in self._cleared)
