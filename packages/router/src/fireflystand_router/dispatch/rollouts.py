"""Follow the orders to move services to other versions, on the sender's side.

Every instance decides for its own requests which version may run them: by the order,
the record of its progress, the leases of the deciding instance and its own budget. It
tells the deciding instance how the requests ended.
"""

from collections import Counter, deque
from collections.abc import Callable, Collection
from random import Random
from typing import Any

import attrs

from fireflystand_core.messages import RolloutLease, RolloutReport
from fireflystand_core.replica import number_of
from fireflystand_core.rollouts import (
    AllowedVersions,
    Phase,
    RolloutOrder,
    RolloutPolicy,
    VersionGate,
)
from fireflystand_core.traffic import TargetRecord

from ..events import (
    PEER_CALL_FAILED,
    ROLLOUT_ENDED,
    ROLLOUT_IGNORED,
    ROLLOUT_ORDERED,
    ROLLOUT_PHASE_CHANGED,
    emit,
)
from ..metrics import (
    ROLLOUT_BAD_RESPONSES,
    ROLLOUT_NEW_REQUESTS,
    ROLLOUT_REQUESTS,
    Metrics,
)
from ..peers import PeerLink, PeerUnavailableError, Reply
from ..timers import sleep_until_next
from .clock import lease_clock
from .held_versions import HeldVersions
from .membership import Membership
from .ports import (
    CONFIGURATION,
    ROLLOUT_KINDS,
    ROLLOUT_RECORDS,
    ROLLOUTS,
    TARGETS,
    DispatchBounds,
)
from .state import RoutingState

__all__ = ["ANY_VERSION", "IN_USE", "RolloutClient", "ServiceRollout", "VersionUse"]

REPORT_INTERVAL = 0.25  # seconds
# The deciding instance needs some tens of samples a second; at this number a report
# still takes less than a millisecond to encode.
MAX_SAMPLES = 200  # in a report; of each version in the first one to a decider
# A keyed service's new version gets keys with this part of what the budgets allow; the
# load of keys varies.
KEYS_SHARE_MARGIN = 0.8
MAX_KEYS_SHARE = 0.25  # of a service's work
IN_USE = "version is in use already"  # reason for the end of an order
TRIAL_PART = 0.7  # of an order's duration, in which a version is judged
PHASES_BY_VALUE = {phase.value: phase for phase in Phase}  # a later build has others
# As the metric shows them.
PHASE_NUMBERS = {
    Phase.TRIAL: 1,
    Phase.RAMP: 2,
    Phase.CUTOVER: 3,
    Phase.COMPLETED: 4,
    Phase.ROLLED_BACK: 4,
}


@attrs.define(eq=False)
class VersionUse:
    """Hold which targets an attempt of a request may use, by their version.

    Fields are as those of ``SlotRequest``. ``has_token`` tells that a token of the
    budget was taken for the attempt, which goes to the new version.
    """

    service: str = ""
    version: str = ""
    excluded_versions: frozenset[str] = frozenset()
    targets: frozenset[str] = frozenset()
    has_token: bool = False

    @property
    def key(self) -> tuple:
        """Return what tells requests with different choices of targets apart."""
        return self.version, self.excluded_versions, self.targets


ANY_VERSION = VersionUse()


def _latest_samples() -> deque[list[Any]]:
    return deque(maxlen=MAX_SAMPLES)


@attrs.define(eq=False)
class ServiceRollout:
    """Hold what this instance knows of the order in force for a service."""

    order: RolloutOrder
    gate: VersionGate
    begun_at: float  # when this instance saw the order
    had_targets: bool  # whether there were targets of the version then
    holder: str = ""  # instance that sent the last lease
    heard_at: float = float("-inf")  # when that arrived
    trial_targets: frozenset[str] = frozenset()
    placed_share: float = 0.0  # of a keyed service's work; 0 if it is not told
    holder_epoch: int = 0  # of that lease
    samples: list[list[Any]] = attrs.field(factory=list)  # not reported yet
    # What a decider that has just claimed is told, as it knows nothing.
    latest_old: deque[list[Any]] = attrs.field(factory=_latest_samples)
    latest_new: deque[list[Any]] = attrs.field(factory=_latest_samples)
    told: tuple[str, int] = ("", 0)  # decider and epoch of the last report
    logged_phase: Phase | None = None
    # The smallest figure that each process of a target has stated.
    slowdowns_by_process: dict[tuple[str, int], float] = attrs.field(factory=dict)


class RolloutClient:
    """Choose the version for each request of this instance."""

    def __init__(
        self,
        state: RoutingState,
        membership: Membership,
        bounds: DispatchBounds,
        random: Random,
        metrics: Metrics,
        *,
        follows_rollouts: bool,
        clock: Callable[[], float] = lease_clock,
    ) -> None:
        self._follows = follows_rollouts
        self._state = state
        self._membership = membership
        self._random = random
        self._metrics = metrics
        self._clock = clock
        self.policy = RolloutPolicy(
            bounds.exposure_share, bounds.exposure_slack, bounds.rollback
        )
        self.rollouts_by_service: dict[str, ServiceRollout] = {}
        # Versions of orders that ended without success.
        self._banned_by_service: dict[str, set[str]] = {}
        self._held = HeldVersions(state)
        # The store's number up to which the first replica of the orders was complete.
        self._first_revision: int | None = None
        self._ignored: dict[str, str] = {}  # order by service, as logged
        self._in_flight_by_target: Counter[str] = Counter()
        self.on_own_report: Callable[[str, RolloutReport], None] = lambda i, r: None
        if follows_rollouts:
            membership.network.set_direct_handler(RolloutLease, self._handle_lease)
            state.listeners.append(self._on_state_change)

    # Choices

    def choose(
        self, service: str, target_id: str, *, avoids_new: bool = False
    ) -> VersionUse | None:
        """Return what an attempt may use now, None if there is nothing.

        ``target_id`` is the owner of the request's key, empty for unkeyed services.
        """
        if not self._follows:
            return ANY_VERSION
        if self._held.holds_all(service):
            return None
        excluded = self.excluded_versions(service)
        rollout = self.rollouts_by_service.get(service)
        if rollout is None:
            if not excluded:
                return ANY_VERSION
            return VersionUse(service, excluded_versions=excluded)
        allowed = self._allowed(rollout)
        if target_id:
            is_new = self._software(target_id) == rollout.order.to
            if is_new and not (allowed.new and self._take_token(rollout)):
                return None
        else:
            is_new = self._chooses_new(rollout, allowed, avoids_new)
        if is_new:
            targets = frozenset()
            if rollout.gate.phase is Phase.TRIAL and not target_id:
                targets = rollout.trial_targets
            has_token = rollout.gate.needs_token
            return VersionUse(
                service, rollout.order.to, targets=targets, has_token=has_token
            )
        if not allowed.old:
            return None
        return VersionUse(service, excluded_versions=excluded | {rollout.order.to})

    def _chooses_new(
        self, rollout: ServiceRollout, allowed: AllowedVersions, avoids_new: bool
    ) -> bool:
        if not allowed.new:
            return False
        if not rollout.gate.needs_token:
            return True
        if avoids_new and allowed.old or not self._take_token(rollout):
            return False
        if self._has_new_target(rollout.order):
            return True
        rollout.gate.budget.give_back()
        return False

    def _has_new_target(self, order: RolloutOrder) -> bool:
        return any(
            target.software == order.to
            for target in self._state.usable_targets(order.service)
        )

    def _take_token(self, rollout: ServiceRollout) -> bool:
        return not rollout.gate.needs_token or rollout.gate.budget.try_spend()

    def _allowed(self, rollout: ServiceRollout) -> AllowedVersions:
        age = max(self._state.confirmation_age(kind) for kind in ROLLOUT_KINDS)
        return rollout.gate.allows(self._clock(), age)

    def excluded_versions(self, service: str) -> frozenset[str]:
        """Return the versions that no request may use, whatever the order's phase."""
        if not self._follows:
            return frozenset()
        held = self._held.versions(service)
        banned = self._banned_by_service.get(service, ())
        if not held and not banned:
            return frozenset()
        rollout = self.rollouts_by_service.get(service)
        ordered = {rollout.order.to} if rollout is not None else set()
        if banned and self._has_only(service, banned, ordered):
            # The version came into use later, without an order, or by an order whose
            # end this instance has not seen.
            return frozenset(held - ordered)
        return frozenset((held | set(banned)) - ordered)

    def _has_only(
        self, service: str, versions: Collection[str], ignored: Collection[str]
    ) -> bool:
        """Tell whether all targets are of some versions, but for those ignored."""
        return all(
            target.software in versions
            for target in self._state.targets_by_id.values()
            if target.service == service and target.software not in ignored
        )

    def _software(self, target_id: str) -> str:
        target = self._state.latest_records_by_target.get(target_id)
        return target.software if target else ""

    def admits(self, target_id: str) -> bool:
        """Tell whether a target's version may run requests, if there is a token."""
        if not self._follows:
            return True
        target = self._state.latest_records_by_target.get(target_id)
        if target is None:
            return True
        if target.software in self.excluded_versions(target.service):
            return False
        rollout = self.rollouts_by_service.get(target.service)
        if rollout is None:
            return True
        allowed = self._allowed(rollout)
        return allowed.new if target.software == rollout.order.to else allowed.old

    def may_use(self, use: VersionUse, target_id: str) -> bool:
        """Tell whether a request may be sent to a target now."""
        if not self._follows:
            return True
        target = self._state.latest_records_by_target.get(target_id)
        if target is None:
            return True
        if not self.admits(target_id) or use.version not in ("", target.software):
            return False
        rollout = self.rollouts_by_service.get(target.service)
        if rollout is None or target.software != rollout.order.to:
            return True
        # The order may have come since the version was chosen.
        return use.has_token or not rollout.gate.needs_token

    def phase(self, service: str) -> Phase | None:
        """Return the phase in force here, None without an order."""
        rollout = self.rollouts_by_service.get(service)
        return rollout.gate.phase if rollout else None

    def is_new(self, target: TargetRecord) -> bool:
        """Tell whether a target is of the version that the order in force asks for."""
        rollout = self.rollouts_by_service.get(target.service)
        return rollout is not None and rollout.order.to == target.software

    def trial_keys_share(self, service: str, request_rate: float) -> float:
        """Return the part of a keyed service's work to give to its new version.

        That is about what the budgets of all instances allow until the version is
        judged, and then what the ramp gives. Requests for these keys without a token
        are refused.
        """
        placed = self.rollouts_by_service[service].placed_share
        if placed > 0:
            return placed * KEYS_SHARE_MARGIN
        share = self.policy.trial_share
        if request_rate > 0:
            order = self.rollouts_by_service[service].order
            requests = request_rate * TRIAL_PART * order.duration
            share += self.policy.trial_slack / requests
        return min(MAX_KEYS_SHARE, share * KEYS_SHARE_MARGIN)

    # Results

    def begin(self, target: TargetRecord) -> None:
        """Count a request that is about to be sent to a target."""
        if self._follows:
            self._in_flight_by_target[target.id] += 1

    def end(self, target_id: str) -> None:
        """Count the end of a request, when its slot is returned."""
        if not self._follows:
            return
        self._in_flight_by_target[target_id] -= 1
        if self._in_flight_by_target[target_id] <= 0:
            del self._in_flight_by_target[target_id]

    def finish(self, use: VersionUse, *, sent: bool, is_first: bool) -> None:
        """Account for an attempt, which may have been sent or not."""
        rollout = self.rollouts_by_service.get(use.service)
        if rollout is None:
            return
        if not sent:
            if use.has_token and use.version == rollout.order.to:
                rollout.gate.budget.give_back()
            return
        if is_first:
            self._metrics.count(ROLLOUT_REQUESTS)
            rollout.gate.budget.note_request()
        if use.version == rollout.order.to:
            self._metrics.count(ROLLOUT_NEW_REQUESTS)

    def note_result(
        self,
        target: TargetRecord,
        route: str,
        *,
        failed: bool,
        seconds: float,
        slowdown: float = 1.0,
        has_time: bool = True,
    ) -> None:
        """Note how a request at a target ended, for the next report.

        ``has_time`` tells whether ``seconds`` is how long the target took.
        """
        rollout = self.rollouts_by_service.get(target.service)
        if rollout is None or rollout.gate.phase.is_final:
            return
        is_new = target.software == rollout.order.to
        if is_new and failed:
            self._metrics.count(ROLLOUT_BAD_RESPONSES)
        # The times of cold targets are not compared either.
        cold = self._state.is_cold(target) or not has_time
        # Larger figures come from the neighbours of the target for a moment.
        process = (target.id, target.started_at)
        slowdown = min(slowdown, rollout.slowdowns_by_process.get(process, slowdown))
        rollout.slowdowns_by_process[process] = slowdown
        sample = [is_new, route, failed, round(seconds, 4), slowdown, cold]
        rollout.samples.append(sample)
        (rollout.latest_new if is_new else rollout.latest_old).append(sample)
        # The latest tell most; those of the new version are few.
        if len(rollout.samples) > MAX_SAMPLES:
            kept = [s for s in rollout.samples if s[0]]
            old = [s for s in rollout.samples if not s[0]]
            rollout.samples = (old[len(old) // 2 :] + kept)[-MAX_SAMPLES:]

    def old_in_flight(self, service: str) -> int:
        """Count the own requests at targets of other versions than the new one."""
        rollout = self.rollouts_by_service[service]
        return sum(
            count
            for target_id, count in self._in_flight_by_target.items()
            if (target := self._state.latest_records_by_target.get(target_id))
            and target.service == service
            and target.software != rollout.order.to
        )

    async def run(self) -> None:
        """Report to the deciding instances until cancelled."""
        if not self._follows:
            return
        while True:
            await sleep_until_next(REPORT_INTERVAL)
            revision = self._state.replicas_by_kind[ROLLOUTS].revision
            if self._first_revision is None and revision:
                self._first_revision = number_of(revision)
            for service, rollout in list(self.rollouts_by_service.items()):
                self._log_phase(rollout)
                if not self._is_end_recorded(rollout.order):
                    self._send_report(service, rollout)

    def _is_end_recorded(self, order: RolloutOrder) -> bool:
        """Tell whether the record says how an order ended.

        A rollback that was announced and not written is known from reports only, and
        so is an end that a restored store has lost.
        """
        record = self._state.rollouts_by_service.get(order.service)
        return record is not None and record.order == order.id and record.phase.is_final

    def _send_report(self, service: str, rollout: ServiceRollout) -> None:
        holder, epoch = self._receiver(service, rollout)
        if not self._membership.is_live(holder):
            return
        samples = rollout.samples
        if rollout.told != (holder, epoch):
            samples = [*rollout.latest_old, *rollout.latest_new]
        report = RolloutReport(
            service=service,
            order=rollout.order.id,
            samples=samples,
            old_in_flight=self.old_in_flight(service),
            phase=rollout.gate.phase.value,
        )
        if holder == self._membership.own_id:
            self.on_own_report(holder, report)
        else:
            try:
                self._membership.network.send(holder, report)
            except PeerUnavailableError as error:
                emit(PEER_CALL_FAILED, error, message="rollout-report")
                return
        rollout.told, rollout.samples = (holder, epoch), []

    def _receiver(self, service: str, rollout: ServiceRollout) -> tuple[str, int]:
        """Return the instance with the latest claim that is known, and its epoch."""
        holder, epoch = rollout.holder, rollout.holder_epoch
        record = self._state.rollouts_by_service.get(service)
        if record is not None and record.order == rollout.order.id:
            if record.epoch > epoch or not self._membership.is_live(holder):
                holder, epoch = record.holder, record.epoch
        return holder, epoch

    # Orders, records and leases

    def _on_state_change(self, kind: str) -> None:
        if kind in (ROLLOUTS, ROLLOUT_RECORDS, CONFIGURATION):
            self._apply_orders()
            self._apply_records()
        if kind in (ROLLOUTS, TARGETS):
            self._held.note_change()
        if kind in (ROLLOUTS, ROLLOUT_RECORDS, CONFIGURATION, TARGETS):
            self._note_versions_in_use()

    def _apply_orders(self) -> None:
        orders = self._state.orders_by_service
        for service in list(self.rollouts_by_service):
            if service not in orders:
                self._end(service, "withdrawn")
        for service, order in orders.items():
            if not self._is_served(order):
                continue
            known = self.rollouts_by_service.get(service)
            if known is not None and known.order.id == order.id:
                known.order = order
                known.gate.apply_order(order)
                continue
            if known is not None:
                self._end(service, "replaced")
            self._begin(order)

    def _is_served(self, order: RolloutOrder) -> bool:
        """Tell whether the configuration has an order's service; log if not."""
        if self._state.table is None:
            return False
        if order.service in self._state.table.services_by_name:
            self._ignored.pop(order.service, None)
            return True
        if self._ignored.get(order.service) != order.id:
            self._ignored[order.service] = order.id
            emit(
                ROLLOUT_IGNORED,
                service=order.service,
                to=order.to,
                reason="service is not configured",
            )
        return False

    def _begin(self, order: RolloutOrder) -> None:
        gate = VersionGate(
            order,
            self.policy,
            seen_at=self._earliest_begin(order),
            instance_share=self._state.registered_share,
            random_phase=self._random.random(),
        )
        rollout = ServiceRollout(
            order,
            gate,
            self._clock(),
            self._has_target(order),
            logged_phase=gate.phase,
        )
        self.rollouts_by_service[order.service] = rollout
        self._banned_by_service.get(order.service, set()).discard(order.to)
        emit(
            ROLLOUT_ORDERED,
            service=order.service,
            to=order.to,
            duration=order.duration,
            phase=gate.phase.value,
        )

    def _has_target(self, order: RolloutOrder) -> bool:
        return any(
            target.service == order.service and target.software == order.to
            for target in self._state.targets_by_id.values()
        )

    def _earliest_begin(self, order: RolloutOrder) -> float:
        """Return a time after which an order was given, as far as it is known.

        The order was not there when the store last confirmed the replica without it; a
        push that a frozen process reads late confirms nothing.
        """
        if self._first_revision is None or order.created <= self._first_revision:
            return float("-inf")
        return self._state.replicas_by_kind[ROLLOUTS].confirmed_at

    def _end(self, service: str, reason: str) -> None:
        """Stop following an order; its version gets nothing unless it is in use."""
        rollout = self.rollouts_by_service.pop(service)
        if rollout.gate.phase is not Phase.COMPLETED:
            self._ban(service, rollout.order.to)
        emit(ROLLOUT_ENDED, service=service, to=rollout.order.to, reason=reason)

    def _ban(self, service: str, version: str) -> None:
        self._banned_by_service.setdefault(service, set()).add(version)

    def _apply_records(self) -> None:
        for service, record in self._state.rollouts_by_service.items():
            rollout = self.rollouts_by_service.get(service)
            if rollout is not None:
                rollout.gate.apply_record(record)
                self._log_phase(rollout, record.reason)
            if record.phase is Phase.COMPLETED:
                self._banned_by_service.get(service, set()).discard(record.to)
            elif rollout is None or rollout.order.to != record.to:
                self._ban(service, record.to)

    def _note_versions_in_use(self) -> None:
        for rollout in list(self.rollouts_by_service.values()):
            if self._is_in_use(rollout):
                rollout.gate.note_in_use()
                self._log_phase(rollout, IN_USE)

    def _is_in_use(self, rollout: ServiceRollout) -> bool:
        """Tell whether an order names the version that the service uses already."""
        order = rollout.order
        replicas = self._state.replicas_by_kind
        if not replicas[TARGETS].revision or not replicas[ROLLOUT_RECORDS].revision:
            return False  # more targets, or the order's record, may be there
        targets = [
            target
            for target in self._state.targets_by_id.values()
            if target.service == order.service and not target.leaving
        ]
        if not any(target.software == order.to for target in targets):
            return False
        record = self._state.rollouts_by_service.get(order.service)
        if record is not None and record.to == order.to:
            if record.phase is Phase.COMPLETED:
                return True
        # Versions of earlier orders that ended without success are not in use, unless
        # this instance has not seen the end; then the order's targets come after it.
        unused = self._banned_by_service.get(order.service, ())
        if not rollout.had_targets:
            unused = ()
        return all(t.software == order.to or t.software in unused for t in targets)

    def _handle_lease(self, lease: RolloutLease, link: PeerLink, reply: Reply) -> None:
        self.apply_lease(lease, link.hello.instance)

    def apply_lease(self, lease: RolloutLease, sender: str) -> None:
        """Apply a lease of the deciding instance, which may be this one."""
        rollout = self.rollouts_by_service.get(lease.service)
        if rollout is None or rollout.order.id != lease.order:
            return
        gate = rollout.gate
        if lease.epoch < gate.epoch or lease.phase not in PHASES_BY_VALUE:
            return
        now = self._clock()
        phase = PHASES_BY_VALUE[lease.phase]
        gate.apply_lease(phase, lease.epoch, lease.share, lease.remaining, now)
        rollout.holder, rollout.heard_at = sender, now
        rollout.holder_epoch = lease.epoch
        rollout.trial_targets = frozenset(lease.targets)
        rollout.placed_share = lease.placed_share
        self._log_phase(rollout)

    def _log_phase(self, rollout: ServiceRollout, reason: str = "") -> None:
        phase = rollout.gate.phase
        if phase is rollout.logged_phase:
            return
        rollout.logged_phase = phase
        emit(
            ROLLOUT_PHASE_CHANGED,
            service=rollout.order.service,
            to=rollout.order.to,
            phase=phase.value,
            reason=reason,
        )
        # Key ranges move with the phase.
        self._state.notify(ROLLOUTS)

    @property
    def phase_number(self) -> int:
        """Return the number of the latest phase of any rollout, 0 without one."""
        return max(
            (PHASE_NUMBERS[r.gate.phase] for r in self.rollouts_by_service.values()),
            default=0,
        )

    def summary(self) -> dict[str, str]:
        """Return the phase of each service under an order, for operators."""
        return {
            service: rollout.gate.phase.value
            for service, rollout in self.rollouts_by_service.items()
        }
