"""Decide the rollout of a service, as the one instance that has claimed it.

The claim and every step are conditional writes of the service's rollout record, so a
second instance that believes to decide fails at its next write. Requests go to the new
version only under leases, which end soon after an instance has lost its claim.
"""

from collections.abc import Callable
from typing import Any

import attrs
import trio

from fireflystand_core.exceptions import (
    ProtocolError,
    StoreConflictError,
    StoreUnavailableError,
)
from fireflystand_core.messages import RolloutLease, RolloutReport
from fireflystand_core.replica import ObjectChange, era_of
from fireflystand_core.rollouts import (
    MAX_CONFIRMATION_AGE,
    Advance,
    Phase,
    RolloutDecider,
    RolloutOrder,
    RolloutRecord,
    RolloutSample,
)

from ..events import (
    PEER_CALL_FAILED,
    ROLLOUT_CLAIMED,
    ROLLOUT_DECIDED,
    ROLLOUT_WRITE_FAILED,
    emit,
)
from ..peers import PeerLink, PeerUnavailableError, Reply
from ..timers import sleep_until_next
from .clock import lease_clock
from .membership import Membership
from .ports import ROLLOUT_RECORDS, ROLLOUTS, StorePort
from .replicas import ReplicaSync
from .restoration import MALFORMED
from .rollouts import IN_USE, RolloutClient, ServiceRollout
from .state import RoutingState

__all__ = ["RolloutCoordinator", "ServiceDecisions"]

DECISION_INTERVAL = 0.1  # seconds
LEASE_INTERVAL = 0.5  # seconds
RETRY_INTERVAL = 0.2  # seconds after a failed write
# From when an instance is the first that reaches the store until it claims.
CLAIM_DELAY = 0.3  # seconds, if the decider is lost
# If the decider is live: without a lease from it, or after an outage of the store, in
# which the others seem to be cut off until a heartbeat of each has arrived.
LIVE_CLAIM_DELAY = 2.5  # seconds
OUTAGE_MARGIN = 5.0  # seconds since this instance's own calls failed
RATE_PERIOD = 1.0  # seconds over which requests are counted
WITHDRAWN = "withdrawn"  # reason in a record


@attrs.define
class RequestRate:
    """Estimate the requests per second to a service from the reported samples."""

    _began_at: float | None = None
    _count: int = 0
    _latest: float = 0.0

    def add(self, count: int, now: float) -> None:
        """Count samples."""
        if self._began_at is None:
            self._began_at = now
        self._count += count
        if now - self._began_at >= RATE_PERIOD:
            self._latest = self._count / (now - self._began_at)
            self._began_at, self._count = now, 0

    def value(self) -> float:
        """Return the rate of the last full period; 0 if it is not known."""
        return self._latest


class ServiceDecisions:
    """Claim and decide the rollouts of one service while this instance is the first."""

    def __init__(
        self,
        service: str,
        *,
        store: StorePort,
        state: RoutingState,
        membership: Membership,
        replica_sync: ReplicaSync,
        client: RolloutClient,
        clock: Callable[[], float] = lease_clock,
    ) -> None:
        self.service = service
        self._store = store
        self._state = state
        self._membership = membership
        self._replica_sync = replica_sync
        self._client = client
        self._clock = clock
        self._record: RolloutRecord | None = None  # of this process's claim
        self._version = 0  # of that record in the store
        self._decider: RolloutDecider | None = None
        self._first_since: float | None = None
        self._store_failed_at = float("-inf")
        self._logged_step: Advance | None = None
        self._rate = RequestRate()
        # Instances whose next samples are all of the time since their last report.
        self._reporters: set[str] = set()

    @property
    def is_decider(self) -> bool:
        """Tell whether this process holds the claim for the order in force."""
        return self._decider is not None

    async def run(self) -> None:
        """Claim and decide until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_leases)
            nursery.start_soon(self._write_statuses)
            while True:
                await sleep_until_next(DECISION_INTERVAL)
                await self._act()

    async def _act(self) -> None:
        rollout = self._client.rollouts_by_service.get(self.service)
        if rollout is None or not self._holds_claim(rollout.order):
            self._give_up()
        self._update_rank()
        if rollout is None:
            if self._is_first:
                await self._end_withdrawn()
            return
        if self._record is None and self._is_first and self._is_claim_due(rollout):
            await self._claim(rollout)
        if self._decider is not None:
            await self._decide(rollout)

    def _update_rank(self) -> None:
        """Note since when this is the first instance that reaches the store."""
        rank = self._membership.store_watcher_rank(f"rollout/{self.service}")
        if self._membership.store_unreachable:
            self._store_failed_at = self._clock()
        if rank or self._membership.store_unreachable:
            self._first_since = None
        elif self._first_since is None:
            self._first_since = self._clock()

    @property
    def _is_first(self) -> bool:
        return self._first_since is not None

    def _is_claim_due(self, rollout: ServiceRollout) -> bool:
        """Tell whether the decider of the record, if there is one, has been lost.

        As the store returns, the instances learn one by one that the others reach it.
        """
        known = self._state.rollouts_by_service.get(self.service)
        now = self._clock()
        if known is None or known.order != rollout.order.id:
            if known is not None and not self._knows_orders_of(known):
                return False  # the record may be of a later order
            # Other targets are stopped at the end, as those of an order before this.
            is_end = rollout.gate.phase is Phase.COMPLETED
            wait = self._longest_use() if is_end and self._has_others(rollout) else 0.0
            return now - rollout.begun_at >= wait
        delay, since = CLAIM_DELAY, self._first_since
        if self._may_act(known):
            if self._membership.reaches_store(known.holder):
                delay, since = LIVE_CLAIM_DELAY, max(since, rollout.heard_at)
            elif now - self._store_failed_at < OUTAGE_MARGIN:
                delay = LIVE_CLAIM_DELAY
        return now - since >= delay

    def _has_others(self, rollout: ServiceRollout) -> bool:
        return any(
            target.software != rollout.order.to
            for target in self._state.targets_by_id.values()
            if target.service == self.service
        )

    def _longest_use(self) -> float:
        """Return how long an instance may use a version that an order has ended."""
        return MAX_CONFIRMATION_AGE + self._longest_time_limit()

    def _may_act(self, record: RolloutRecord) -> bool:
        """Tell whether another process holds a record and is live."""
        holder, incarnation = record.holder, record.holder_incarnation
        if holder == self._membership.own_id or not self._membership.is_live(holder):
            return False
        known = self._membership.incarnations_by_id.get(holder, incarnation)
        return known == incarnation

    def _holds_claim(self, order: RolloutOrder) -> bool:
        """Tell whether the claim is for an order and no other process has taken it."""
        if self._record is None or self._record.order != order.id:
            return False
        known = self._state.rollouts_by_service.get(self.service)
        if known is None or self._state.version_of(ROLLOUT_RECORDS, self.service) == 0:
            return False
        return known.epoch <= self._record.epoch and known.order == order.id

    def _give_up(self) -> None:
        self._record = self._decider = None

    # Claims and steps

    async def _claim(self, rollout: ServiceRollout) -> None:
        order, phase = rollout.order, rollout.gate.phase
        known = self._state.rollouts_by_service.get(self.service)
        if known is not None and known.order == order.id and known.phase.is_final:
            return
        if known is None or known.order != order.id:
            epoch = known.epoch if known else 0
            reason = IN_USE if phase is Phase.COMPLETED else ""
            record = RolloutRecord(
                self.service, order.id, order.to, phase, epoch, reason=reason
            )
        elif phase.follows(known.phase):
            record = known.advance(phase, known.reason)
        else:
            record = known
        version = self._state.version_of(ROLLOUT_RECORDS, self.service)
        record = record.claim(
            self._membership.own_id,
            self._membership.incarnation,
            known_epoch=rollout.gate.epoch,
            era=era_of(self._state.replicas_by_kind[ROLLOUT_RECORDS].revision),
        )
        if not await self._write(record, version, "claim"):
            return
        emit(
            ROLLOUT_CLAIMED,
            service=self.service,
            to=order.to,
            phase=record.phase.value,
            epoch=record.epoch,
        )
        if not record.phase.is_final:
            self._reporters.clear()
            self._decider = RolloutDecider(
                order,
                self._client.policy,
                self._clock(),
                record.phase,
                self._longest_time_limit(),
                rollout.gate.ordered_at,
            )

    def _longest_time_limit(self) -> float:
        """Return the longest time limit of a route to the service, in seconds."""
        routes = self._state.table.routes_by_name.values()
        return max(
            (
                route.timeout
                for route in routes
                if any(choice.service == self.service for choice in route.services)
            ),
            default=0.0,
        )

    async def _decide(self, rollout: ServiceRollout) -> None:
        now = self._clock()
        registered = list(self._state.instances_by_id)
        step = self._decider.tick(
            now, self._membership.live, registered, self._are_keys_moved(rollout.order)
        )
        if step is None:
            return
        if self._logged_step != step:
            self._logged_step = step
            emit(
                ROLLOUT_DECIDED,
                service=self.service,
                to=rollout.order.to,
                phase=step.phase.value,
                reason=step.reason,
            )
        if step.phase is Phase.ROLLED_BACK:
            # The new version is stopped before the store knows.
            self._announce(rollout)
        record = self._record.advance(step.phase, step.reason)
        decider = self._decider
        if await self._write(record, self._version, step.phase.value):
            decider.note_written(step.phase, self._clock())
            self._announce(rollout)
            if record.phase.is_final:
                self._decider = None

    def _are_keys_moved(self, order: RolloutOrder) -> bool:
        """Tell whether no key belongs to a target of an old version."""
        if not self._state.is_keyed(self.service):
            return True
        ranges = self._state.records_by_service.get(self.service)
        if ranges is None:
            return False
        latest = self._state.latest_records_by_target
        return all(
            item.target in latest and latest[item.target].software == order.to
            for item in ranges.ranges
            if item.target
        )

    async def _end_withdrawn(self) -> None:
        """Record that a rollout ended because its order is gone."""
        self._give_up()
        known = self._state.rollouts_by_service.get(self.service)
        if known is None or known.phase.is_final:
            return
        if not self._state.replicas_by_kind[ROLLOUTS].revision:
            return
        if self.service in self._state.orders_by_service:
            return
        if not self._knows_orders_of(known):
            return
        record = known.claim(self._membership.own_id, self._membership.incarnation)
        record = record.advance(Phase.ROLLED_BACK, WITHDRAWN)
        version = self._state.version_of(ROLLOUT_RECORDS, self.service)
        await self._write(record, version, WITHDRAWN)

    def _knows_orders_of(self, record: RolloutRecord) -> bool:
        """Tell whether the replica of the orders is as recent as a record.

        The store has one counter of revisions, and the record was written after its
        order.
        """
        written = self._state.version_of(ROLLOUT_RECORDS, self.service)
        return self._state.replicas_by_kind[ROLLOUTS].revision >= written

    async def _write(self, record: RolloutRecord, version: int, what: str) -> bool:
        """Write the record if the store has ``version``; tell whether it did."""
        try:
            written = await self._store.put(
                ROLLOUT_RECORDS, self.service, record.to_value(), version
            )
        except StoreConflictError:
            return await self._adopt_own_write(record)
        except (StoreUnavailableError, ProtocolError) as error:
            emit(ROLLOUT_WRITE_FAILED, error, service=self.service, what=what)
            # The write may have been made, or may still be.
            await trio.sleep(RETRY_INTERVAL)
            return False
        self._record, self._version = record, written
        change = ObjectChange(self.service, written, record.to_value())
        self._state.apply(ROLLOUT_RECORDS, written, written, [change], self._clock())
        self._replica_sync.push(ROLLOUT_RECORDS, written, written, [change])
        return True

    async def _adopt_own_write(self, record: RolloutRecord) -> bool:
        """Read the record after a conflict; tell whether it is the one to write.

        The response of an earlier write of this claim may have been lost. Any other
        record ends the claim.
        """
        stored = await self._read(ROLLOUT_RECORDS)
        known = self._state.rollouts_by_service.get(self.service)
        is_own = (
            stored is not None
            and known is not None
            and stored.value == known.to_value()
            and known.order == record.order
            and known.epoch == record.epoch
            and known.is_held_by(record.holder, record.holder_incarnation)
        )
        if not is_own:
            self._give_up()
            return False
        self._record, self._version = known, stored.version
        return known.phase is record.phase

    async def _read(self, kind: str) -> ObjectChange | None:
        """Read the service's object of a kind and apply it to the own replica."""
        try:
            stored = await self._store.get(kind, self.service)
        except (StoreUnavailableError, ProtocolError) as error:
            emit(ROLLOUT_WRITE_FAILED, error, service=self.service, what="read")
            await trio.sleep(RETRY_INTERVAL)
            return None
        if stored is not None:
            since = self._state.replicas_by_kind[kind].revision
            self._state.apply(kind, since + 1, since + 1, [stored], self._clock())
        return stored

    # Leases and reports

    async def _send_leases(self) -> None:
        while True:
            await sleep_until_next(LEASE_INTERVAL)
            rollout = self._client.rollouts_by_service.get(self.service)
            if self._decider is None or rollout is None or not self._may_lease():
                continue
            if self._holds_claim(rollout.order):
                self._announce(rollout)

    def _may_lease(self) -> bool:
        """Tell whether no other process can have taken the claim for long.

        In the cutover the service has no version but the new one, so that the leases
        go on while the store is away. A later claim has a higher epoch.
        """
        if self._decider.lease_phase is Phase.CUTOVER:
            return True
        age = self._state.confirmation_age(ROLLOUT_RECORDS)
        return age <= MAX_CONFIRMATION_AGE

    def _announce(self, rollout: ServiceRollout) -> None:
        """Send the phase to all instances, and with it the next lease."""
        now = self._clock()
        decider = self._decider
        if decider is None:
            return
        lease = RolloutLease(
            service=self.service,
            order=self._record.order,
            phase=decider.lease_phase.value,
            epoch=self._record.epoch,
            share=decider.share(now),
            remaining=decider.remaining(now),
            targets=self._trial_targets(rollout.order, decider, now),
            placed_share=decider.placed_share(now, self._rate.value()),
        )
        self._client.apply_lease(lease, self._membership.own_id)
        for peer in self._membership.live:
            if peer in self._replica_sync.rollout_peers:
                try:
                    self._membership.network.send(peer, lease)
                except PeerUnavailableError as error:
                    emit(PEER_CALL_FAILED, error, message="rollout-lease")

    def _trial_targets(
        self, order: RolloutOrder, decider: RolloutDecider, now: float
    ) -> list[str]:
        """Return the targets of the new version to use, empty for all."""
        if decider.lease_phase not in (Phase.TRIAL, Phase.RAMP):
            return []
        usable = self._state.usable_targets(self.service)
        new = [target for target in usable if target.software == order.to]
        # The warm ones first, and the same ones each time.
        new.sort(key=lambda target: (self._state.is_cold(target), target.id))
        policy = self._state.table.services_by_name.get(self.service)
        count = decider.trial_targets(
            now,
            len(new),
            len(usable) - len(new),
            cold_targets=sum(self._state.is_cold(target) for target in new),
            request_rate=self._rate.value(),
            warm_up_rate=policy.warmup_rate if policy else 0.0,
        )
        return [target.id for target in new[:count]]

    def add_report(self, instance: str, report: RolloutReport) -> None:
        """Pass what an instance observed to the decision."""
        if self._decider is None or report.order != self._record.order:
            return
        now = self._clock()
        try:
            samples = [RolloutSample(*sample) for sample in report.samples]
            phase = Phase(report.phase)
        except MALFORMED:
            return  # a later build may report in another form
        if instance in self._reporters:
            self._rate.add(len(samples), now)
        self._reporters.add(instance)
        self._decider.add_report(instance, samples, report.old_in_flight, phase, now)

    # Statuses

    async def _write_statuses(self) -> None:
        """Write the order's status for each phase that the record has reached."""
        while True:
            await sleep_until_next(DECISION_INTERVAL)
            may_write = self._is_first or self._decider is not None
            if may_write and (status := self._due_status()):
                await self._write_status(status)

    def _due_status(self) -> dict[str, Any] | None:
        order = self._state.orders_by_service.get(self.service)
        record = self._state.rollouts_by_service.get(self.service)
        if order is None or record is None or record.order != order.id:
            return None
        rollout = self._client.rollouts_by_service.get(self.service)
        if not record.phase.is_final and rollout and rollout.gate.phase.is_final:
            return None  # the record has been lost, or this replica of it is behind
        state = record.phase.value if record.phase.is_final else "serving"
        if record.reason == IN_USE and order.state_to != order.to:
            state = "serving"  # each order begins with it
        if (order.state, order.state_to) == (state, order.to):
            return None
        return {"state": state, "to": order.to}

    async def _write_status(self, status: dict[str, Any]) -> None:
        version = self._state.version_of(ROLLOUTS, self.service)
        try:
            await self._store.put_status(ROLLOUTS, self.service, status, version)
        except StoreConflictError:
            pass
        except (StoreUnavailableError, ProtocolError) as error:
            emit(ROLLOUT_WRITE_FAILED, error, service=self.service, what="status")
            await trio.sleep(RETRY_INTERVAL)
        # After a lost response too, the object tells whether the status was written.
        await self._read(ROLLOUTS)


class RolloutCoordinator:
    """Run the decisions of each service that has an order or the record of one."""

    def __init__(
        self,
        state: RoutingState,
        membership: Membership,
        new_decisions: Callable[[str], ServiceDecisions],
        *,
        follows_rollouts: bool,
    ) -> None:
        self.decisions_by_service: dict[str, ServiceDecisions] = {}
        self._state = state
        self._new_decisions = new_decisions
        self._follows = follows_rollouts
        self._nursery: trio.Nursery | None = None
        if follows_rollouts:
            membership.network.set_direct_handler(RolloutReport, self._handle_report)
            state.listeners.append(self._on_state_change)

    async def run(self) -> None:
        """Run the decisions until cancelled."""
        if not self._follows:
            return
        async with trio.open_nursery() as self._nursery:
            self._on_state_change(ROLLOUTS)
            await trio.sleep_forever()

    def _on_state_change(self, kind: str) -> None:
        if kind not in (ROLLOUTS, ROLLOUT_RECORDS) or self._nursery is None:
            return
        services = {*self._state.orders_by_service, *self._state.rollouts_by_service}
        for service in services - self.decisions_by_service.keys():
            decisions = self._new_decisions(service)
            self.decisions_by_service[service] = decisions
            self._nursery.start_soon(decisions.run)

    def _handle_report(
        self, report: RolloutReport, link: PeerLink, reply: Reply
    ) -> None:
        self.add_report(link.hello.instance, report)

    def add_report(self, instance: str, report: RolloutReport) -> None:
        """Pass a report to the decisions of its service."""
        decisions = self.decisions_by_service.get(report.service)
        if decisions is not None:
            decisions.add_report(instance, report)

    @property
    def decided_services(self) -> list[str]:
        """Return the services whose rollouts this instance decides."""
        return sorted(
            service
            for service, decisions in self.decisions_by_service.items()
            if decisions.is_decider
        )
