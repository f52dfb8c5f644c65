"""Run what each group serves while this instance coordinates it."""

import time
from collections.abc import Callable

import attrs
import trio

from fireflystand_core.admission import PermitDesk
from fireflystand_core.configuration import ServiceSettings, TargetSettings
from fireflystand_core.groups import GroupCoordinator
from fireflystand_core.sharding import home_groups

from .coordinator_authority import CoordinatorAuthority
from .events import GROUP_STARTED, GROUP_STOPPED, TARGET_CHANGED, emit
from .group_host import GroupHost
from .journal_writer import JOURNAL_SERVICE, JournalClient, JournalWriter
from .permit_host import PermitHost
from .quota_host import ACCOUNTS_SERVICE, QuotaHost
from .store import StoreClient
from .target_control import TargetAnswer
from .view import ClusterView

__all__ = ["GroupServices"]

TICK = 0.05  # seconds

GroupName = tuple[str, int]


@attrs.define(eq=False)
class _Run:
    coordinator: GroupCoordinator
    handed_state: dict[str, bytes] | None
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    served: bool = False
    writer: JournalWriter | None = None


class GroupServices:
    """Start and stop permits, quota and journal writing with their groups."""

    def __init__(
        self,
        view: ClusterView,
        store: StoreClient,
        permits: PermitHost,
        quotas: QuotaHost,
        journals: JournalClient,
        clock: Callable[[], float] = trio.current_time,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.host: GroupHost | None = None
        self._view = view
        self._store = store
        self._permits = permits
        self._quotas = quotas
        self._journals = journals
        self._clock = clock
        self._wall = wall
        self._runs: dict[GroupName, _Run] = {}
        self._nursery: trio.Nursery | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Take the nursery that the groups' tasks run in."""
        self._nursery = nursery

    async def close(self) -> None:
        """Stop every group."""
        for service, group in list(self._runs):
            self.on_group_stopped(service, group)

    def coordinators(self) -> dict[GroupName, GroupCoordinator]:
        """Return the coordinators of the groups that run here."""
        return {name: run.coordinator for name, run in self._runs.items()}

    # Callbacks of the group host

    def on_group_started(
        self,
        service: str,
        group: int,
        coordinator: GroupCoordinator,
        handed_state: dict[str, bytes] | None,
    ) -> None:
        """Serve the group once no earlier coordinator can act for it."""
        run = self._runs[service, group] = _Run(coordinator, handed_state or None)
        emit(GROUP_STARTED, service=service, group=group, epoch=coordinator.epoch)
        self._nursery.start_soon(self._serve, (service, group), run)

    def on_group_stopped(self, service: str, group: int) -> None:
        """Stop serving the group."""
        run = self._runs.get((service, group))
        if run is not None:
            emit(GROUP_STOPPED, service=service, group=group)
            self._end(service, group)

    def collect_state(self, service: str, group: int) -> dict[str, bytes]:
        """Stop serving the group and return its state for a handover."""
        if (service, group) not in self._runs:
            return {}
        return self._end(service, group)

    def on_target_changed(
        self, service: str, group: int, target: str, reason: str
    ) -> None:
        """Tell the permit desk that a target died or is another process."""
        emit(TARGET_CHANGED, service=service, group=group, target=target, reason=reason)
        desk = self._desk_with(service, group, target)
        if desk is None:
            return
        now = self._clock()
        if reason == "died":
            self._permits.act(service, group, desk.target_lost(target, now))
        elif reason in ("new", "returned"):
            self._permits.act(service, group, desk.target_granted(target, now))

    def on_target_status(
        self, service: str, group: int, target: str, answer: TargetAnswer, at: float
    ) -> None:
        """Tell the permit desk what a target reports."""
        desk = self._desk_with(service, group, target)
        if desk is None:
            return
        actions = desk.target_status(
            target,
            answer.incarnation,
            answer.warm,
            answer.in_flight,
            at,
            self._clock(),
        )
        self._permits.act(service, group, actions)

    def permits_pending(
        self, service: str, group: int, target: str, shard: int, now: float
    ) -> bool:
        """Tell whether a request for the shard may still run on the target."""
        desk = self._permits.desk_of(service, group)
        return desk is not None and desk.permits_pending(target, shard)

    # Service

    async def _serve(self, name: GroupName, run: _Run) -> None:
        with run.scope:
            if run.handed_state is None:
                while not run.coordinator.earlier_ended(self._clock()):
                    await trio.sleep(TICK)
            if name[0] == ACCOUNTS_SERVICE:
                run.served = True
                self._quotas.start_group(name[1], run.coordinator, run.handed_state)
            elif name[0] == JOURNAL_SERVICE:
                await self._write_journal(name[1], run)
            else:
                await self._serve_permits(name, run)

    async def _write_journal(self, number: int, run: _Run) -> None:
        retention = self._view.deployment.journal.retention
        run.served = True
        run.writer = JournalWriter(number, self._store, retention)
        await run.writer.start(self._nursery)
        self._journals.writers_by_number[number] = run.writer

    async def _serve_permits(self, name: GroupName, run: _Run) -> None:
        service, group = name
        settings = self._view.deployment.services_by_id[service]
        authority = CoordinatorAuthority(
            run.coordinator,
            settings.keyed,
            lambda actions: self.host.perform(service, group, actions),
            self._clock,
            self._wall,
        )
        run.served = True
        desk = await self._permits.start_group(
            service, group, authority, run.handed_state
        )
        while True:
            self._update_targets(name, run, desk)
            await trio.sleep(TICK)

    def _update_targets(self, name: GroupName, run: _Run, desk: PermitDesk) -> None:
        settings = self._view.deployment.services_by_id.get(name[0])
        if settings is None:
            return
        now = self._clock()
        homes = home_groups(name[0], settings.targets_by_id, settings.groups)
        owners = set(run.coordinator.record.owners.values())
        for target in list(desk.targets_by_id):
            if homes.get(target) != name[1] and target not in owners:
                self._permits.act(*name, desk.remove_target(target, now))
        for target in settings.targets_by_id.values():
            if homes[target.id] == name[1]:
                self._update_target(name, run, desk, settings, target)

    def _update_target(
        self,
        name: GroupName,
        run: _Run,
        desk: PermitDesk,
        settings: ServiceSettings,
        target: TargetSettings,
    ) -> None:
        now = self._clock()
        known = desk.targets_by_id.get(target.id)
        declared = (target.address, target.slots, target.connections)
        if known is None or declared != (
            known.address,
            known.slots,
            known.connections,
        ):
            fenced = target.checks_epoch or run.handed_state is not None
            actions = desk.add_target(target.id, *declared, now, fenced=fenced)
            self._permits.act(*name, actions)
        if not settings.keyed:
            closed = not self._may_choose(run.coordinator, target, now)
            if desk.targets_by_id[target.id].draining != closed:
                actions = desk.set_draining(target.id, closed, now)
                self._permits.act(*name, actions)

    def _may_choose(
        self, coordinator: GroupCoordinator, target: TargetSettings, now: float
    ) -> bool:
        """Tell whether a target that owns no keys may get new work."""
        known = coordinator.targets_by_id.get(target.id)
        if known is None or not known.usable(now):
            return False
        return not target.checks_epoch or known.granted(coordinator.epoch, now)

    def _desk_with(self, service: str, group: int, target: str) -> PermitDesk | None:
        desk = self._permits.desk_of(service, group)
        return desk if desk is not None and target in desk.targets_by_id else None

    def _end(self, service: str, group: int) -> dict[str, bytes]:
        run = self._runs.pop((service, group))
        run.scope.cancel()
        if not run.served:
            return run.handed_state or {}
        if service == ACCOUNTS_SERVICE:
            return self._quotas.stop_group(group)
        if service == JOURNAL_SERVICE:
            self._journals.writers_by_number.pop(group, None)
            self._nursery.start_soon(run.writer.close)
            return {}
        if self._permits.desk_of(service, group) is not None:
            return self._permits.stop_group(service, group)
        return {}
