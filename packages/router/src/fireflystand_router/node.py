"""Assemble the parts of one instance, start them and stop them in order."""

import uuid
from collections.abc import Mapping
from random import Random

import statsd
import trio

from fireflystand_core.membership import PeerEntry, PeerTable, Witness
from fireflystand_core.messages import (
    Hello,
    JournalAppend,
    PermitCancel,
    PermitRequest,
    PermitReturn,
)

from .adapters import AccountLookup, GroupPlacement, QuotaAdapter
from .entry import EntryServer, RequestFlow
from .events import INSTANCE_STARTED, INSTANCE_STOPPED, INSTANCE_STOPPING, emit
from .forward import Forwarder
from .gossip import Gossip
from .group_host import GroupHost, LiveInstance
from .group_reports import GroupReports
from .group_services import GroupServices
from .health import HealthServer, Readiness
from .journal_writer import JournalClient, JournalReader, journal_numbers
from .metrics import Metrics
from .peers import PeerNetwork
from .permit_host import PermitHost
from .permits import PermitClient
from .platform_list import PlatformList
from .quota_host import QuotaHost
from .quotas import Quotas
from .reports import InstanceReports
from .settings import ProcessSettings
from .stop_parts import run_stop_part
from .store import StoreClient
from .streams import split_address
from .view import ClusterView
from .watch import StoreWatcher
from .witness_host import WitnessHost

__all__ = ["Node"]

# A store that is slow by 2 s a call still has to complete a claim.
GROUP_STORE_TIMEOUT = 5.0  # seconds
MEETING_TIME = 1.5  # seconds that first claims wait for the first heartbeats
GRACE_PERIOD = 2.0  # seconds between failing readiness and closing the listener
RETURN_TIMEOUT = 5.0  # seconds for permits to be returned before the end
RETURN_POLL = 0.05  # seconds


class Node:
    """Own every part of one instance."""

    def __init__(self, settings: ProcessSettings) -> None:
        self.settings = settings
        self.view = ClusterView()
        self.readiness = Readiness()
        hello = Hello(
            settings.instance_id,
            uuid.uuid4().hex,
            settings.data_centre,
            settings.peer_address,
        )
        self.network = PeerNetwork(hello)
        self.store = StoreClient(settings.store_address)
        self.group_store = StoreClient(settings.store_address, GROUP_STORE_TIMEOUT)
        self.metrics = Metrics(_statsd_client(settings.statsd_address))
        self._build_membership(hello)
        self._build_groups(hello)
        self._build_entry()
        self._scope = trio.CancelScope()
        self._started_at = 0.0  # seconds

    def _build_membership(self, hello: Hello) -> None:
        own = PeerEntry(hello.instance, hello.address, hello.data_centre)
        self.table = PeerTable(own, Random(hello.incarnation))
        random = Random(hello.incarnation + "push")
        self.gossip = Gossip(
            self.network, self.view, self.table, random, metrics=self.metrics
        )
        self.watcher = StoreWatcher(self.store, self.gossip, self.metrics)
        address = self.settings.instance_list_address
        self.platform_list = PlatformList(address, self.network, self.table)

    def _build_groups(self, hello: Hello) -> None:
        self.journals = JournalClient(hello.instance, self.network, self.view)
        reader = JournalReader(
            self.store,
            lambda: journal_numbers(self.view),
            lambda: self.view.deployment.journal.retention,
        )
        self.permit_host = PermitHost(
            hello.instance,
            self.view,
            self.journals.append,
            reader.load,
            metrics=self.metrics,
        )
        self.quota_host = QuotaHost(self.network, self.view)
        self.services = GroupServices(
            self.view,
            self.store,
            self.permit_host,
            self.quota_host,
            self.journals,
        )
        witness = Witness(hello.instance, hello.incarnation)
        self.witnesses = WitnessHost(self.network, witness)
        self.groups = GroupHost(
            self.network,
            self.group_store,
            self.view,
            self.witnesses,
            self.services,
            self.gossip.publish_item,
            self._live_instances,
            has_met_peers=self._has_met_peers,
            reports=GroupReports(self.metrics),
        )
        self.services.host = self.groups
        handlers = {
            PermitRequest: self.permit_host.handle_request,
            PermitReturn: self.permit_host.handle_return,
            PermitCancel: self.permit_host.handle_cancel,
            JournalAppend: self.journals.handle_append,
        }
        for message_class, handler in handlers.items():
            self.network.set_handler(message_class, handler)

    def _build_entry(self) -> None:
        instance = self.settings.instance_id
        self.quotas = Quotas(self.network, self.view, self.quota_host)
        self.permits = PermitClient(instance, self.network, self.view, self.permit_host)
        self.forwarder = Forwarder()
        flow = RequestFlow(
            deployment=lambda: self.view.deployment,
            accounts=AccountLookup(self.view),
            quotas=QuotaAdapter(self.quotas),
            permits=self.permits,
            placement=GroupPlacement(),
            forwarder=self.forwarder,
            metrics=self.metrics,
            may_admit=self.gossip.may_admit,
        )
        host, port = split_address(self.settings.listen_address)
        self.entry = EntryServer(
            flow, self.metrics, host=host, port=port, grace_period=GRACE_PERIOD
        )
        reports = InstanceReports(self.settings, self.view, self.gossip, self.services)
        self.readiness.conditions_by_name.update(
            deployment=lambda: "" if self.view.deployment else "no deployment yet",
            freshness=lambda: "" if self.gossip.may_admit() else "cut off",
        )
        host, port = split_address(self.settings.health_address)
        self.health = HealthServer(
            self.readiness,
            state=reports.state,
            explain=reports.explain,
            host=host,
            port=port,
        )

    def _has_met_peers(self) -> bool:
        waited = trio.current_time() - self._started_at
        return self.table.has_met_all() or waited > MEETING_TIME

    def _live_instances(self) -> Mapping[str, LiveInstance]:
        hello = self.network.hello
        live = {
            hello.instance: LiveInstance(
                hello.incarnation,
                hello.data_centre,
                self.watcher.reaches_store(),
                hello.address,
            )
        }
        for instance in self.table.live_ids():
            incarnation = self.table.incarnation_of(instance)
            if instance == hello.instance or not incarnation:
                continue
            live[instance] = LiveInstance(
                incarnation,
                self.table.data_centre_of(instance) or "",
                self.gossip.peer_reaches_store(instance),
                self.gossip.listening_address(instance, incarnation),
            )
        return live

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until ``stop`` has finished or the task is cancelled."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                await self._start(nursery)
                task_status.started()
        emit(INSTANCE_STOPPED, instance=self.settings.instance_id)

    async def _start(self, nursery: trio.Nursery) -> None:
        self._started_at = trio.current_time()
        hello = self.network.hello
        await self.health.start(nursery)
        await self.network.start(nursery)
        nursery.start_soon(self.metrics.run)
        parts = (
            self.gossip,
            self.platform_list,
            self.watcher,
            self.permit_host,
            self.quota_host,
            self.services,
            self.quotas,
            self.permits,
            self.forwarder,
        )
        for part in parts:
            await part.start(nursery)
        self.witnesses.start(nursery)
        self.groups.start(nursery)
        await self.entry.start(nursery)
        emit(
            INSTANCE_STARTED,
            instance=hello.instance,
            incarnation=hello.incarnation,
            data_centre=hello.data_centre,
        )

    async def stop(self) -> None:
        """Fail readiness, hand the groups over, finish requests and end."""
        emit(INSTANCE_STOPPING, groups=len(self.services.coordinators()))
        self.readiness.stop()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.entry.close)
            await trio.sleep(GRACE_PERIOD)
            await run_stop_part("groups", self.groups.close)
        with trio.move_on_after(RETURN_TIMEOUT):
            while self.permits.unacknowledged:
                await trio.sleep(RETURN_POLL)
        await self._close()

    async def _close(self) -> None:
        self.witnesses.close()
        for part in (
            self.services,
            self.permits,
            self.quotas,
            self.quota_host,
            self.permit_host,
            self.watcher,
            self.platform_list,
            self.gossip,
            self.forwarder,
            self.health,
            self.network,
            self.store,
            self.group_store,
        ):
            await part.close()
        self.metrics.flush()
        self._scope.cancel()


def _statsd_client(address: str | None) -> statsd.StatsClient | None:
    if address is None:
        return None
    host, port = split_address(address)
    return statsd.StatsClient(host, port, prefix="fireflystand")
