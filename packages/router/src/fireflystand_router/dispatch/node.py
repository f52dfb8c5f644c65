"""Assemble one router instance, with all shared state in the object store."""

import uuid
from collections.abc import Collection
from random import Random

import trio

from fireflystand_core.admission import MemoryBudget, TargetByteLimits
from fireflystand_core.dispatch import TargetPauses
from fireflystand_core.exceptions import (
    ProtocolError,
    StoreConflictError,
    StoreUnavailableError,
)
from fireflystand_core.messages import Hello
from fireflystand_core.replica import ObjectChange

from ..entry import EntryServer
from ..entry.server import RECEIVE_BUFFER_BYTES
from ..events import (
    INSTANCE_STARTED,
    INSTANCE_STOPPED,
    INSTANCE_STOPPING,
    REGISTRATION_FAILED,
    emit,
)
from ..forward import Forwarder
from ..health import HealthServer, Readiness
from ..metrics import (
    BYTE_LIMITED_TARGETS,
    CONFIGURATION_VERSION,
    COORDINATED,
    HELD_SLOTS,
    HOT_KEYS,
    KNOWN_TARGETS,
    LEAVING_TARGETS,
    LIVE_PEERS,
    LOOP_LAG,
    PAUSING_TARGETS,
    PROMISED_RETURNS,
    PROOF_AGE,
    REQUEST_BYTES,
    RESPONSE_BYTES,
    ROLLOUT_PHASE,
    STORE_AGE,
    STORE_ERA,
    WAITING,
    WITHHELD_SLOTS,
    Metrics,
)
from ..peers import PeerNetwork
from ..stop_parts import run_stop_part
from ..streams import split_address
from ..timers import sleep_until_next
from .caller_limits import CallerLimits
from .clock import lease_clock
from .crashes import CrashDetector
from .flow import DispatchFlow
from .loop_lag import LoopLag
from .membership import Membership
from .ownership import RangeCoordinators
from .ports import (
    CONFIGURATION,
    INSTANCES,
    DispatchSettings,
    ReadTable,
    ReadTarget,
    StorePort,
    TargetControlPort,
)
from .ranges import RangeCoordinator
from .rate_limits import SharedRateLimiter
from .replicas import ReplicaSync
from .rollout_decisions import RolloutCoordinator, ServiceDecisions
from .rollouts import RolloutClient
from .slots import SlotClient, SlotService
from .state import RoutingState
from .work import WorkReporter

__all__ = ["DispatchNode"]

METRICS_PATH = "/metrics"
REGISTRATION_RETRY_DELAY = 0.3  # seconds
CONNECTIONS_PER_TARGET = 8  # at most, even where a target accepts more from each
# Callers are directed to other instances after two failed readiness probes, which come
# once a second.
READINESS_NOTICE = 2.3  # seconds between failing readiness and closing the listener
# Reserved for the last responses, for closing connections and for ending the process.
CLOSE_SHARE = 0.1  # of the stop grace period
CLOSE_TIMEOUT = 0.1  # seconds to close the connections to store and targets
EXPIRY_INTERVAL = 0.1  # seconds
# An instance that is unreachable for longer has been removed and is not restarting, so
# its registration is deleted.
REGISTRATION_RETENTION = 20.0  # seconds
REGISTRY_CHECK_INTERVAL = 2.0  # seconds


class DispatchNode:
    """Own every part of one instance."""

    def __init__(
        self,
        settings: DispatchSettings,
        store: StorePort,
        control: TargetControlPort,
        read_table: ReadTable,
        read_target: ReadTarget,
    ) -> None:
        self.settings = settings
        self.store = store
        self.control = control
        self.readiness = Readiness()
        self.metrics = Metrics(None)
        self.state = RoutingState(
            read_table, read_target, follows_rollouts=settings.follows_rollouts
        )
        random = Random(uuid.uuid4().int)
        hello = Hello(
            settings.instance,
            uuid.uuid4().hex,
            settings.data_centre,
            settings.peer_address,
        )
        self.network = PeerNetwork(hello)
        self.membership = Membership(
            self.network,
            self.state,
            random=random,
            capacity=settings.capacity,
            bounds=settings.bounds,
        )
        others = [seed for seed in settings.seeds if seed != settings.peer_address]
        random.shuffle(others)
        self.replica_sync = ReplicaSync(
            store,
            self.state,
            self.membership,
            others,
            is_seed=len(others) < len(settings.seeds),
            bounds=settings.bounds,
        )
        self.slot_service = SlotService(
            self.state,
            self.membership,
            random,
            control,
            self.metrics,
            settings.bounds,
            is_first_start=settings.is_first_start,
        )
        self.pauses = TargetPauses(random.random)
        self.slots = SlotClient(
            self.slot_service,
            self.membership,
            self.state,
            settings.data_centre,
            self.pauses,
            self.metrics,
            jitter=random.random,
        )
        self.membership.set_callbacks(
            self.replica_sync.handle_confirmations, self.slot_service.release_instance
        )
        self.rate_limiter = SharedRateLimiter(self.state, self.membership)
        self.memory = MemoryBudget(settings.buffered_bytes)
        # The switch for limits on what targets hold, too.
        self.byte_limits = TargetByteLimits() if self.memory.is_bounded else None
        self.rollouts = RolloutClient(
            self.state,
            self.membership,
            settings.bounds,
            random,
            self.metrics,
            follows_rollouts=settings.follows_rollouts,
        )
        self.rollout_coordinator = RolloutCoordinator(
            self.state,
            self.membership,
            self._new_decisions,
            follows_rollouts=settings.follows_rollouts,
        )
        self.rollouts.on_own_report = self.rollout_coordinator.add_report
        self.crash_detector = CrashDetector(self.membership, self.byte_limits)
        self.work_reporter = WorkReporter(self.state, self.membership)
        self.ownership = RangeCoordinators(
            self.state, self.membership, self._new_coordinator
        )
        self.work_reporter.on_own_report = self.ownership.add_work_report
        self.forwarder = Forwarder(
            CONNECTIONS_PER_TARGET,
            settings.target_options,
            RECEIVE_BUFFER_BYTES if self.memory.is_bounded else None,
        )
        self.loop_lag = LoopLag()
        self.flow = DispatchFlow(
            settings=settings,
            state=self.state,
            rate_limiter=self.rate_limiter,
            slots=self.slots,
            crash_detector=self.crash_detector,
            forwarder=self.forwarder,
            work_reporter=self.work_reporter,
            metrics=self.metrics,
            random=random,
            loop_lag=self.loop_lag,
            pauses=self.pauses,
            memory=self.memory,
            byte_limits=self.byte_limits,
            rollouts=self.rollouts,
        )
        self.caller_limits = CallerLimits(
            self.state, settings.caller_options, settings.bounds.configuration_apply
        )
        self.entry = self._new_entry_server()
        self.health = self._new_health_server()
        self.state.target_listeners.append(self._on_targets_change)
        self._started_at_by_target: dict[str, int] = {}
        self._scope = trio.CancelScope()

    def _new_coordinator(self, service: str) -> RangeCoordinator:
        bounds = self.settings.bounds
        return RangeCoordinator(
            service,
            store=self.store,
            control=self.control,
            state=self.state,
            membership=self.membership,
            lease_timing=bounds.lease_timing,
            max_lease=bounds.max_lease,
            share=self.replica_sync.broadcast_record,
            store_age=lambda: self.replica_sync.store_age,
            is_first_start=self.settings.is_first_start,
            places_by_load=self._limits_by_capacity,
            rollouts=self.rollouts if self.settings.follows_rollouts else None,
        )

    def _new_decisions(self, service: str) -> ServiceDecisions:
        return ServiceDecisions(
            service,
            store=self.store,
            state=self.state,
            membership=self.membership,
            replica_sync=self.replica_sync,
            client=self.rollouts,
        )

    def _limits_by_capacity(self) -> bool:
        table = self.state.table
        return table is not None and table.limits_by_capacity

    def _new_entry_server(self) -> EntryServer:
        host, port = split_address(self.settings.caller_address)
        stop_period = self.settings.bounds.stop_grace * (1 - CLOSE_SHARE)
        notice = min(READINESS_NOTICE, stop_period / 2)
        return EntryServer(
            self.flow,
            self.metrics,
            options=self.caller_limits.options,
            host=host,
            port=port,
            grace_period=notice,
            drain_timeout=stop_period - notice,
            memory=self.memory,
        )

    def _new_health_server(self) -> HealthServer:
        conditions = self.readiness.conditions_by_name
        conditions["configuration"] = self._not_ready_reason
        return self._new_http_server(
            self.settings.ready_address, ready_path=self.settings.ready_path
        )

    def _new_http_server(self, address: str, **options) -> HealthServer:
        host, port = split_address(address)
        return HealthServer(
            self.readiness,
            state=self.summary,
            explain=lambda service, key: {},
            host=host,
            port=port,
            **options,
        )

    def _new_metrics_server(self) -> HealthServer | None:
        """Return the server of the metrics page, if it has an address."""
        if not self.settings.metrics_address:
            return None

        def render() -> str:
            # Imported when an operator asks: it takes a tenth of an instance's start.
            from ..exposition import MetricsPage

            self._update_gauges()
            return MetricsPage(self.metrics).render()

        return self._new_http_server(
            self.settings.metrics_address, pages_by_path={METRICS_PATH: render}
        )

    def _update_gauges(self) -> None:
        queues = self.slot_service.queues_by_service.values()
        table = self.state.table
        gauge = self.metrics.gauge
        gauge(WAITING, sum(queue.queued_count for queue in queues))
        gauge(HELD_SLOTS, sum(queue.held_count for queue in queues))
        gauge(WITHHELD_SLOTS, sum(queue.withheld_count for queue in queues))
        now = trio.current_time()
        gauge(PROMISED_RETURNS, sum(queue.count_returns(now) for queue in queues))
        gauge(LIVE_PEERS, len(self.membership.live) - 1)
        gauge(PROOF_AGE, self.state.confirmation_age(CONFIGURATION))
        gauge(STORE_AGE, self.replica_sync.store_age)
        gauge(STORE_ERA, self.state.era)
        gauge(CONFIGURATION_VERSION, table.version if table else 0)
        gauge(LOOP_LAG, self.loop_lag.last)
        gauge(KNOWN_TARGETS, len(self.state.targets_by_id))
        gauge(PAUSING_TARGETS, self.pauses.count(trio.current_time()))
        gauge(LEAVING_TARGETS, self.state.leaving_count)
        gauge(REQUEST_BYTES, self.memory.requests.held)
        gauge(RESPONSE_BYTES, self.memory.responses.held)
        if self.byte_limits is not None:
            limited = self.byte_limits.limited_count(trio.current_time())
            gauge(BYTE_LIMITED_TARGETS, limited)
        gauge(COORDINATED, len(self.summary()["coordinates"]))
        coordinators = self.ownership.coordinators_by_service.values()
        hot_keys = sum(len(c.hot_keys) for c in coordinators if c.is_coordinator)
        gauge(HOT_KEYS, hot_keys)
        gauge(ROLLOUT_PHASE, self.rollouts.phase_number)

    def _not_ready_reason(self) -> str:
        if self.state.table is None:
            return "no configuration is known"
        age = self.state.confirmation_age(CONFIGURATION)
        if age > self.settings.bounds.api_key_withdrawal:
            return "API keys are not confirmed"
        return ""

    def health_path_of(self, target_id: str) -> str:
        """Return the path at which a target reports its health and its id."""
        target = self.state.latest_records_by_target.get(target_id)
        services = self.state.table.services_by_name if self.state.table else {}
        policy = services.get(target.service) if target else None
        return policy.health_path if policy else "/health"

    def note_leaving(self, target_id: str) -> None:
        """Send a target no new requests, as a response to a control call asks."""
        target = self.state.targets_by_id.get(target_id)
        if target is not None:
            self.state.mark_leaving(target_id, target.started_at)

    def note_cold(self, target_id: str, seconds: float) -> None:
        """Send a target requests at its warm-up rate, as its health response asks."""
        target = self.state.targets_by_id.get(target_id)
        if target is not None and self.state.table is not None:
            self.slots.report_cold(target, seconds)

    def note_slowdown(self, target_id: str, slowdown: float) -> None:
        """Use the speed that a target's health response states, to place keys."""
        target = self.state.targets_by_id.get(target_id)
        if target is not None:
            self.ownership.add_health(target.service, target_id, slowdown)

    def summary(self) -> dict:
        """Return this instance's view of the fleet, for operators."""
        table = self.state.table
        rollouts = {}
        if self.settings.follows_rollouts:
            rollouts = {
                "rollouts": self.rollouts.summary(),
                "decides": self.rollout_coordinator.decided_services,
            }
        return rollouts | {
            "instance": self.settings.instance,
            "configuration": table.version if table else None,
            "live": self.membership.live,
            "targets": sorted(self.state.targets_by_id),
            "coordinates": [
                service
                for service, coordinator in (
                    self.ownership.coordinators_by_service.items()
                )
                if coordinator.is_coordinator
            ],
        }

    def _on_targets_change(self, names: Collection[str] | None) -> None:
        """Report targets whose process has ended to the crash detector."""
        if names is None:
            names = self._started_at_by_target.keys() | self.state.targets_by_id.keys()
        for name in names:
            target = self.state.targets_by_id.get(name)
            started_at = target.started_at if target else None
            known = self._started_at_by_target.pop(name, started_at)
            if known is not None and known != started_at:
                self.crash_detector.record_exit(name)
            if started_at is not None:
                self._started_at_by_target[name] = started_at

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until stopped."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                await self.health.start(nursery)
                metrics_server = self._new_metrics_server()
                if metrics_server is not None:
                    await metrics_server.start(nursery)
                await self.network.start(nursery)
                await self.forwarder.start(nursery)
                for run in (
                    self.replica_sync.run,
                    self.membership.run,
                    self.slot_service.run,
                    self.work_reporter.run,
                    self.ownership.run,
                    self.rollouts.run,
                    self.rollout_coordinator.run,
                    self.loop_lag.run,
                    self._register,
                    self._expire_targets,
                    self._delete_removed_instances,
                ):
                    nursery.start_soon(run)
                await self.entry.start(nursery)
                emit(
                    INSTANCE_STARTED,
                    instance=self.settings.instance,
                    incarnation=self.network.hello.incarnation,
                    data_centre=self.settings.data_centre,
                )
                task_status.started()

    async def stop(self) -> None:
        """Stop gracefully: resign claims, finish requests, close all connections."""
        coordinated = [
            c
            for c in self.ownership.coordinators_by_service.values()
            if c.is_coordinator
        ]
        emit(INSTANCE_STOPPING, groups=len(coordinated))
        self.readiness.stop()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_stop_part, "key ranges", self.ownership.stop)
            await self.entry.close()
            nursery.cancel_scope.cancel()
        with trio.move_on_after(CLOSE_TIMEOUT):
            await self.store.close()
            await self.control.close()
            await self.forwarder.close()
        self._scope.cancel()
        emit(INSTANCE_STOPPED, instance=self.settings.instance)

    async def _register(self) -> None:
        """Register this instance's peer address, again whenever the record is lost."""
        hello = self.network.hello
        value = {
            "incarnation": hello.incarnation,
            "address": self.network.address,
            "data_centre": hello.data_centre,
            "capacity": self.settings.capacity,
        }
        # Most instances have no record yet; a restarted one overwrites its old record.
        expected = 0
        while True:
            if self.state.is_registered(hello.instance, hello.incarnation):
                await self.state.wait_for_change(REGISTRY_CHECK_INTERVAL)
                continue
            try:
                version = await self.store.put(
                    INSTANCES, hello.instance, value, expected
                )
            except StoreConflictError as error:
                if expected is None:
                    emit(REGISTRATION_FAILED, error)
                    await trio.sleep(REGISTRATION_RETRY_DELAY)
                expected = None
                continue
            except (StoreUnavailableError, ProtocolError) as error:
                emit(REGISTRATION_FAILED, error)
                await trio.sleep(REGISTRATION_RETRY_DELAY)
                continue
            change = ObjectChange(hello.instance, version, value)
            self.state.apply(INSTANCES, version, version, [change], lease_clock())

    async def _expire_targets(self) -> None:
        while True:
            await sleep_until_next(EXPIRY_INTERVAL)
            if INSTANCES in self.state.expire():
                self.membership.refresh_addresses()

    async def _delete_removed_instances(self) -> None:
        """Delete the records of instances that were removed permanently."""
        while True:
            await sleep_until_next(REGISTRY_CHECK_INTERVAL)
            if (
                self.membership.reachable_share < 0.5
                or self.membership.rank("registry") > 0
            ):
                continue
            replica = self.state.replicas_by_kind[INSTANCES]
            for name, change in list(replica.by_name.items()):
                if self.membership.seconds_unreachable(name) < REGISTRATION_RETENTION:
                    continue
                try:
                    await self.store.delete(INSTANCES, name, change.version)
                except (
                    StoreUnavailableError,
                    StoreConflictError,
                    ProtocolError,
                ) as error:
                    emit(REGISTRATION_FAILED, error)
