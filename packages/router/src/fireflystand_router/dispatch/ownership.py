"""Run the coordinators of all keyed services."""

from collections.abc import Callable

import trio

from fireflystand_core.messages import (
    CoordinatorResigned,
    RangesFrozen,
    WorkReport,
)

from ..peers import PeerLink, Reply
from .membership import Membership
from .ports import CONFIGURATION
from .ranges import RangeCoordinator
from .state import FrozenRange, RoutingState

__all__ = ["RangeCoordinators"]


class RangeCoordinators:
    """Create and run a coordinator for each keyed service of the configuration."""

    def __init__(
        self,
        state: RoutingState,
        membership: Membership,
        new_coordinator: Callable[[str], RangeCoordinator],
    ) -> None:
        self.coordinators_by_service: dict[str, RangeCoordinator] = {}
        self._state = state
        self._new_coordinator = new_coordinator
        self._nursery: trio.Nursery | None = None
        membership.network.set_direct_handler(RangesFrozen, self._handle_freeze)
        membership.network.set_direct_handler(
            CoordinatorResigned, self._handle_resignation
        )
        membership.network.set_direct_handler(WorkReport, self._handle_report)
        state.listeners.append(self._handle_state_change)

    async def run(self) -> None:
        """Run the coordinators until cancelled."""
        async with trio.open_nursery() as self._nursery:
            self._handle_state_change(CONFIGURATION)
            await trio.sleep_forever()

    def _handle_state_change(self, kind: str) -> None:
        if kind != CONFIGURATION or self._state.table is None or not self._nursery:
            return
        for policy in self._state.table.services_by_name.values():
            if policy.keyed and policy.name not in self.coordinators_by_service:
                coordinator = self._new_coordinator(policy.name)
                self.coordinators_by_service[policy.name] = coordinator
                self._nursery.start_soon(coordinator.run)

    def add_work_report(self, report: WorkReport) -> None:
        """Pass a work report to the coordinator of its service."""
        coordinator = self.coordinators_by_service.get(report.service)
        if coordinator is not None:
            coordinator.load.add_report(report)

    def add_health(self, service: str, target: str, slowdown: float) -> None:
        """Pass the slowdown in a health response to the service's coordinator."""
        coordinator = self.coordinators_by_service.get(service)
        if coordinator is not None:
            coordinator.load.add_health(target, slowdown)

    async def stop(self) -> None:
        """Stop all coordinators, which resign their claims."""
        async with trio.open_nursery() as nursery:
            for coordinator in self.coordinators_by_service.values():
                nursery.start_soon(coordinator.stop)

    def _handle_freeze(
        self, message: RangesFrozen, link: PeerLink, reply: Reply
    ) -> None:
        until = trio.current_time() + message.seconds
        for first, last in message.ranges:
            if message.seconds <= 0:
                self._state.thaw(message.service, first, last)
                continue
            self._state.freeze(FrozenRange(message.service, first, last, until))

    def _handle_resignation(
        self, message: CoordinatorResigned, link: PeerLink, reply: Reply
    ) -> None:
        coordinator = self.coordinators_by_service.get(message.service)
        if coordinator is not None:
            coordinator.record_resignation(message.epoch)

    def _handle_report(self, report: WorkReport, link: PeerLink, reply: Reply) -> None:
        for target_id, started_at in report.leaving:
            self._state.mark_leaving(target_id, started_at)
        self.add_work_report(report)
