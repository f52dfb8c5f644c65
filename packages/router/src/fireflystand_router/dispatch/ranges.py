"""Coordinate which target owns which key range of a service.

The range record in the store names the coordinator and the owner of each range. Only
the coordinator changes the record, with conditional writes, and it sends a grant only
after the record with that grant has been written. Two coordinators at once therefore
cannot give one key to two targets: the writes of the older one fail, and its renewals
only repeat the last record that it wrote. The older one may still renew the leases of
a target that the newer one cannot reach, so the newer one moves the keys of such a
target only after the authority of the older one has expired.
"""

from collections.abc import Callable
from contextlib import suppress

import attrs
import trio

from fireflystand_core.exceptions import (
    ProtocolError,
    StoreUnavailableError,
)
from fireflystand_core.messages import (
    CoordinatorResigned,
    RangesFrozen,
)
from fireflystand_core.ranges import (
    AUTHORITY_PERIOD,
    EarlierLeases,
    HotKeys,
    KeyRange,
    LeaseLedger,
    LeaseTiming,
    LoadView,
    PlannedMove,
    RangeRecord,
    RisenLoads,
    Succession,
    initial_moves,
    isolating_moves,
    moves_to_idle_targets,
    rebalancing_moves,
    stated_duration_ms,
    trial_moves,
)
from fireflystand_core.replica import ObjectChange, era_of
from fireflystand_core.rollouts import Phase
from fireflystand_core.traffic import TargetRecord

from ..events import (
    AUTHORITY_ENDED,
    AUTHORITY_RETURNED,
    COORDINATOR_CLAIMED,
    COORDINATOR_ENDED,
    GRANT_REFUSED,
    HOT_KEY_FOUND,
    PREDECESSOR_ENDED,
    RANGE_ASSIGNED,
    RANGE_RELEASED,
    RECORD_WRITE_FAILED,
    TARGET_RESPONSIVE,
    TARGET_UNRESPONSIVE,
    emit,
)
from ..http_client import ConnectionFailedError
from ..scoped_tasks import run_in_scope
from ..timers import sleep_until_next
from .claim_watch import ClaimWatch
from .clock import lease_clock
from .load import ColdTarget, ServiceLoad
from .membership import Membership
from .ports import RANGES, GrantRefusedError, StorePort, TargetControlPort
from .record_writer import RecordWriter
from .restoration import MALFORMED
from .rollouts import RolloutClient
from .state import FrozenRange, RoutingState

__all__ = ["RangeCoordinator"]

LOOP_INTERVAL = 0.1  # seconds between two iterations of the coordinator's loop
CONFIRM_INTERVAL = 1.5  # seconds
CONFIRM_RETRY_INTERVAL = 0.5  # seconds from a failed confirmation to the next one
RECLAIM_INTERVAL = 0.3  # seconds between two tries to claim in a restored store
# A coordinator whose store calls fail for this long resigns if others reach the store.
RESIGN_AFTER = 2.5  # seconds
# Another instance's call may have been answered up to this long after one of this
# instance's that an outage of the whole store left without an answer.
OUTAGE_MARGIN = 0.5  # seconds
DISCOVERY_PERIOD = 1.6  # seconds after the start until all peers have been contacted
CLAIM_DELAY_PER_RANK = 0.3  # seconds for each instance of higher rank
# Added to the delay of an instance that reaches less than half of the instances.
MINORITY_DELAY = 3.0  # seconds
# A target that answers no grant for this long is considered unresponsive. If a third
# of the responses is lost, one responsive target in a hundred is considered so too.
UNRESPONSIVE_AFTER = 1.2  # seconds
GRANT_TIMEOUT = 0.3  # seconds; targets answer a grant at once
# An unresponsive target is probed at this interval, which doubles each time the target
# becomes unresponsive again: a target that answers only now and then would keep
# getting keys and losing them.
PROBE_INTERVAL = 1.0  # seconds
MAX_PROBE_INTERVAL = 16.0  # seconds
GRANT_RETRY_INTERVAL = 0.2  # seconds after a grant without a response
RELEASE_TIMEOUT = 4.0  # seconds; a target answers once its running work has ended
RELEASE_RETRY_INTERVAL = 0.5  # seconds, if the target does not answer
PLAN_INTERVAL = 0.5  # seconds
# All targets of a service that starts register within some tenths of a second.
APPEARING_PAUSE = 0.5  # seconds without a further target
# A health response is three times too slow for a fifth of the time, in spans of 0.4 s.
# The least of three within APPEARING_PAUSE is so less often.
HEALTH_SAMPLES = 3  # of each target, while no range has an owner
HEALTH_SAMPLE_INTERVAL = 0.2  # seconds
MAX_APPEARING_PERIOD = 3.0  # seconds from the claim
# The short-term load varies by a third by chance. It therefore only decides about
# targets that are nearly full; all others are balanced by their long-term load.
HIGH_LOAD_THRESHOLD = 0.75  # fraction of a target's capacity
REBALANCE_INTERVAL = 1.5  # seconds between rounds by the long-term load
MAX_REBALANCE_MOVES = 6  # moves in one round by the long-term load
MAX_CONCURRENT_MOVES = 64
FREEZE_MARGIN = 0.3  # seconds that a freeze lasts beyond the expected move
# Renewals that a small instance can send beside its requests.
MAX_RENEWALS_PER_SECOND = 60.0
# A wait for earlier leases that is over sooner is written if it is by this much.
MIN_SHORTENING = 0.5  # seconds
MAX_LEASE_SHARE = 0.9  # of the longest lease that targets accept


@attrs.define
class _TargetStatus:
    """Track the coordinator's calls to one process of a target."""

    started_at: int = 0
    lock: trio.Lock = attrs.field(factory=trio.Lock)
    next_renewal: float = 0.0
    next_probe: float = 0.0
    probe_interval: float = PROBE_INTERVAL
    failing_since: float | None = None
    unresponsive: bool = False


@attrs.frozen
class _Predecessor:
    """Hold a coordinator that may act although its service has been claimed."""

    record: RangeRecord
    version: int  # of the record in the store
    leases: EarlierLeases


class RangeCoordinator:
    """Claim one service and, while the claim holds, grant key ranges to its targets."""

    def __init__(
        self,
        service: str,
        *,
        store: StorePort,
        control: TargetControlPort,
        state: RoutingState,
        membership: Membership,
        lease_timing: LeaseTiming,
        max_lease: float,
        share: Callable[[ObjectChange, ObjectChange | None], None],
        store_age: Callable[[], float],
        is_first_start: bool = False,
        places_by_load: Callable[[], bool] = lambda: False,
        rollouts: RolloutClient | None = None,
        clock: Callable[[], float] = lease_clock,
    ) -> None:
        self.service = service
        self._rollouts = rollouts
        self._planned_phase: Phase | None = None
        self._clock = clock
        self.load = ServiceLoad()
        self._places_by_load = places_by_load
        self._hot_keys = HotKeys()
        self.hot_keys: frozenset[int] = frozenset()
        self._risen_loads = RisenLoads()
        # The processes of targets that have stated their health since the claim; their
        # ids and starts.
        self._answered_processes: set[tuple[str, int]] = set()
        self._asked_processes: set[tuple[str, int]] = set()  # without an answer yet
        self._questions_by_process: dict[tuple[str, int], int] = {}
        self._plan_put_off_at: float | None = None
        self._joining: set[str] = set()  # warm since the last move to such targets
        self._store = store
        self._control = control
        self._state = state
        self._membership = membership
        self._base_timing = lease_timing
        self._store_age = store_age
        self._ledger = LeaseLedger(lease_timing)
        self._status_by_target: dict[str, _TargetStatus] = {}
        self._moving: dict[tuple[int, int], str] = {}
        # Of these, the ranges that no target holds until they are granted again.
        self._released: set[tuple[int, int]] = set()
        self._unsent_freezes: list[tuple[int, int]] = []
        self._authority_until = float("-inf")
        self._earlier_leases_until = float("-inf")
        self._predecessor: _Predecessor | None = None  # until it is known to have ended
        self._has_authority = False
        self._next_confirm = 0.0
        self._failing_since: float | None = None  # when the first such call was sent
        self._next_plan = 0.0
        self._next_rebalancing = 0.0
        self._usable_count = 0  # of the targets in the last plan
        self._usable_since = 0.0
        self._started_at = self._clock()
        self._is_first_start = is_first_start
        self._tasks: set[trio.CancelScope] = set()
        self._claimable_since: float | None = None
        self._claimable_epoch = 0
        self._known_epoch: int | None = None
        self._known_epoch_since = float("-inf")
        self._resigned_epoch = -1
        self._stopping = False
        self._is_claim_lost = False
        self._is_claiming_again = False
        self._next_reclaim = 0.0
        self._claimed_at = float("-inf")
        longest_lease = max_lease * MAX_LEASE_SHARE
        self._succession = Succession(
            attrs.evolve(lease_timing, lease_duration=longest_lease)
        )
        self._next_statement = 0.0
        self._next_settling = 0.0
        self._watch = ClaimWatch(service, state, membership, clock)
        self.writer = RecordWriter(
            service,
            store,
            state,
            share,
            may_write=self._may_write,
            clock=clock,
        )
        self._nursery: trio.Nursery | None = None

    @property
    def record(self) -> RangeRecord | None:
        """Return the range record of this process's claim, or None without a claim."""
        return self.writer.record

    @property
    def is_coordinator(self) -> bool:
        """Tell whether this process holds the claim."""
        return self.record is not None

    async def run(self) -> None:
        """Claim and coordinate until cancelled."""
        async with trio.open_nursery() as self._nursery:
            while True:
                self._watch.update_era()
                known = self._state.records_by_service.get(self.service)
                self._succession.follow(known, self._clock())
                if self.is_coordinator:
                    await self._coordinate()
                elif not self._stopping:
                    await self._claim_if_due()
                await sleep_until_next(LOOP_INTERVAL)

    def _start_task(self, task: Callable, *arguments) -> None:
        """Start a task that is cancelled when the claim ends."""
        scope = trio.CancelScope()
        self._tasks.add(scope)
        self._nursery.start_soon(self._run_task, scope, task, *arguments)

    async def _run_task(
        self, scope: trio.CancelScope, task: Callable, *arguments
    ) -> None:
        try:
            await run_in_scope(scope, task, *arguments)
        finally:
            self._tasks.discard(scope)

    # Claims

    async def _claim_if_due(self) -> None:
        if not self._state.replicas_by_kind[RANGES].revision:
            return
        settling = self._clock() - self._started_at < DISCOVERY_PERIOD
        record = self._state.records_by_service.get(self.service)
        is_fresh = self._is_claim_fresh(record)
        if settling and record is not None and record.holder != self._membership.own_id:
            # Not all peers are connected yet, so the holder may be live.
            return
        if is_fresh:
            return
        delay = self._claim_delay(record)
        if delay is None:
            self._claimable_since = None
            return
        now = self._clock()
        epoch = record.epoch if record is not None else 0
        if self._claimable_since is None or self._claimable_epoch != epoch:
            # The new holder may be live although no heartbeat from it has arrived
            # yet, so the delay starts again.
            self._claimable_since, self._claimable_epoch = now, epoch
        if now - self._claimable_since >= delay:
            self._claimable_since = None
            await self._claim(record)

    def _is_claim_fresh(self, record: RangeRecord | None) -> bool:
        """Tell whether another process claimed the service a moment ago.

        It may have started just now and not have contacted its peers yet. A claim in
        its place would have to wait until its authority has ended.
        """
        if record is None or not self._places_by_load():
            return False
        now = self._clock()
        if self._known_epoch != record.epoch:
            # The claim that the first record names may be of any age.
            is_new = self._known_epoch is not None
            self._known_epoch = record.epoch
            self._known_epoch_since = now if is_new else float("-inf")
        if record.epoch == self._resigned_epoch:
            return False
        is_own = record.holder == self._membership.own_id
        return not is_own and now - self._known_epoch_since < DISCOVERY_PERIOD

    def _claim_delay(self, record: RangeRecord | None) -> float | None:
        """Return the seconds to wait before a claim, or None if the holder is live."""
        delay = (
            self._membership.rank(f"coordinate/{self.service}") * CLAIM_DELAY_PER_RANK
        )
        if self._membership.reachable_share < 0.5:
            delay += MINORITY_DELAY
        may_be_lost = self._may_be_lost(record)
        if may_be_lost:
            # A coordinator that knows the latest assignments claims again first.
            delay += CONFIRM_INTERVAL
        if record is None or record.epoch == self._resigned_epoch:
            return delay
        if record.holder == self._membership.own_id:
            return delay if may_be_lost else 0.0
        version = self._state.range_version(self.service)
        if self._is_holder_replaced(record, version):
            return delay
        if self._membership.is_live(record.holder):
            return None
        return delay

    def _is_holder_replaced(self, record: RangeRecord, version: int) -> bool:
        """Tell whether the holder's instance has registered a later process.

        A process that this instance knows besides may be an earlier one. ``version`` is
        that of the record, which the holder wrote.
        """
        if record.era != era_of(version):
            return False  # the restored store has lost the claim
        return self._state.has_other_process_since(
            version, record.holder, record.holder_incarnation
        )

    async def _claim(self, record: RangeRecord | None) -> None:
        requested_at = self._clock()
        is_complete = not self._may_be_lost(record)
        if record is None:
            record = RangeRecord(self.service)
        self._succession.follow(record, requested_at)
        awaits_leases = record.awaits_leases or (
            self._watch.era > record.era and not is_complete
        )
        version = self._state.range_version(self.service)
        may_act = self._may_holder_act(record, version)
        leases = self._succession.earlier_leases(record)
        earlier_leases = self._earlier_leases(
            leases, requested_at, may_act, awaits_leases
        )
        timing = self._scaled_timing()
        claimed = await self.writer.claim(
            record,
            self._membership.own_id,
            self._membership.incarnation,
            self._watch.era,
            is_complete=is_complete,
            lease_validity_ms=timing.max_validity_ms,
            earlier_leases_ms=stated_duration_ms(earlier_leases, timing),
        )
        if claimed is None:
            return
        now = self._claimed_at = self._clock()
        # A live predecessor may have been confirmed until the claim was written.
        counted_from = now if may_act or awaits_leases else requested_at
        self._earlier_leases_until = counted_from + earlier_leases
        is_followed = may_act and not awaits_leases
        self._predecessor = (
            _Predecessor(record, version, leases) if is_followed else None
        )
        self._ledger.timing = timing
        self._status_by_target.clear()
        self._answered_processes.clear()
        self._asked_processes.clear()
        self._questions_by_process.clear()
        self._plan_put_off_at = None
        self._moving.clear()
        self._released.clear()
        self._unsent_freezes.clear()
        self._is_claim_lost = False
        self._failing_since = None
        self._authority_until = requested_at + AUTHORITY_PERIOD
        self._has_authority = True
        self._next_confirm = now + CONFIRM_INTERVAL
        self._next_plan = now
        self._emit_claim(record, claimed, may_act)

    def _may_holder_act(self, record: RangeRecord, version: int) -> bool:
        """Tell whether the coordinator of a record may still send grants."""
        if not record.holder or record.holder == self._membership.own_id:
            return False
        return not (
            record.epoch == self._resigned_epoch
            or self._is_holder_replaced(record, version)
        )

    def _follow_predecessor(self, now: float) -> None:
        """Shorten the wait for earlier leases once the predecessor has ended."""
        predecessor = self._predecessor
        if predecessor is None or self._may_holder_act(
            predecessor.record, predecessor.version
        ):
            return
        self._predecessor = None
        if now >= self._earlier_leases_until:
            return
        until = predecessor.leases.until(now)
        self._earlier_leases_until = min(self._earlier_leases_until, until)
        emit(
            PREDECESSOR_ENDED,
            service=self.service,
            epoch=self.record.epoch,
            predecessor=predecessor.record.holder,
            earlier_leases=round(self._earlier_leases_until - now, 2),
        )

    def _earlier_leases(
        self, leases: EarlierLeases, now: float, may_act: bool, awaits_leases: bool
    ) -> float:
        """Return for how many seconds leases of earlier coordinators may hold.

        ``may_act`` tells whether the last of them may still send grants. With
        ``awaits_leases``, a restored store may have lost claims after the record.
        """
        until = leases.until(now + AUTHORITY_PERIOD if may_act else now)
        if awaits_leases:
            acts_until = now + self._lost_claim_period(may_act)
            until = max(until, acts_until + self._max_validity())
        return until - now

    def _emit_claim(
        self, record: RangeRecord, claimed: RangeRecord, waits_for_predecessor: bool
    ) -> None:
        earlier_leases = max(0.0, self._earlier_leases_until - self._clock())
        emit(
            COORDINATOR_CLAIMED,
            service=self.service,
            epoch=claimed.epoch,
            predecessor=record.holder,
            ranges=len(claimed.ranges),
            waits_for_predecessor=waits_for_predecessor,
            era=claimed.era,
            awaits_leases=claimed.awaits_leases,
            lease_validity=round(self._ledger.timing.max_validity, 2),
            earlier_leases=round(earlier_leases, 2),
        )

    # Claims in a restored store

    def _may_be_lost(self, record: RangeRecord | None) -> bool:
        """Tell whether the store may have lost assignments that a record lacks."""
        if record is not None:
            return record.era < self._watch.era
        # Without a record, leases may still hold under one that the store has lost. A
        # process cannot know of a restoration before its start.
        lost_at = self._watch.risen_at
        if not self._is_first_start:
            lost_at = max(lost_at, self._started_at)
        return self._clock() - lost_at < AUTHORITY_PERIOD + self._max_validity()

    def _lost_claim_period(self, previous_may_act: bool) -> float:
        """Return how long a coordinator whose claim was lost may still send grants.

        One that is live learns of the new claim at its next confirmation.
        """
        if previous_may_act or self._watch.unreachable():
            return AUTHORITY_PERIOD
        return CONFIRM_INTERVAL

    def _follow_unreachable(self) -> None:
        """Wait for the authority of an instance that was lost after the claim.

        It may hold an earlier claim that the store has lost, and does not learn of the
        new one.
        """
        if not self._watch.unreachable():
            return
        until = self._claimed_at + AUTHORITY_PERIOD + self._max_validity()
        self._earlier_leases_until = max(self._earlier_leases_until, until)

    def _max_validity(self) -> float:
        """Return the validity of leases that any lost claim may have granted."""
        known = self._state.latest_records_by_target.values()
        targets = sum(target.service == self.service for target in known)
        return max(
            self._timing_for(targets).max_validity,
            self._succession.longest_stated_validity,
        )

    def _handle_restoration(self, now: float) -> None:
        """Claim again in the restored store, from this process's own record."""
        confirmed_at = self._authority_until - AUTHORITY_PERIOD
        is_restored = self._watch.era > self.record.era
        if is_restored and self._watch.may_have_missed_claim(confirmed_at):
            return self._end("another claim may have been lost with the store")
        if now >= self._next_reclaim and not self._is_claiming_again:
            self._next_reclaim = now + RECLAIM_INTERVAL
            self._is_claiming_again = True
            self._start_task(self._run_claim_again)

    async def _run_claim_again(self) -> None:
        try:
            await self._claim_again()
        finally:
            self._is_claiming_again = False

    async def _claim_again(self) -> None:
        requested_at = self._clock()
        record, timing = self.record, self._ledger.timing
        earlier_leases = self._earlier_leases_until - requested_at
        claimed = await self.writer.claim(
            record,
            self._membership.own_id,
            self._membership.incarnation,
            self._watch.era,
            is_complete=True,
            lease_validity_ms=timing.max_validity_ms,
            earlier_leases_ms=stated_duration_ms(earlier_leases, timing),
        )
        if claimed is None:
            return
        self._claimed_at = self._clock()
        self._is_claim_lost = False
        self._authority_until = max(
            self._authority_until, requested_at + AUTHORITY_PERIOD
        )
        self._emit_claim(record, claimed, waits_for_predecessor=False)

    async def _settle(self) -> None:
        """Assign all ranges again under new tokens once no earlier lease can hold."""
        usable = self._state.usable_targets(self.service)
        started_at_by_target = {target.id: target.started_at for target in usable}
        await self.writer.change(lambda record: record.settle(started_at_by_target))

    def _state_earlier_leases(self, now: float) -> None:
        """Write for how long earlier leases hold once that is over or has changed."""
        duration_ms, stated_ms = 0, self.record.earlier_leases_ms
        if now < self._earlier_leases_until:
            duration_ms = stated_duration_ms(
                self._earlier_leases_until - self._claimed_at, self._ledger.timing
            )
        is_over = stated_ms > 0 and not duration_ms
        has_grown = duration_ms > stated_ms + 1  # beyond the rounding
        has_shrunk = duration_ms < stated_ms - 1000 * MIN_SHORTENING
        if self.writer.is_failing or not (is_over or has_grown or has_shrunk):
            return
        if now < self._next_statement:
            return
        self._next_statement = now + CONFIRM_RETRY_INTERVAL
        self._start_task(
            self.writer.change,
            lambda record: record.with_earlier_leases(duration_ms),
        )

    # Authority

    async def _coordinate(self) -> None:
        now = self._clock()
        self._watch.follow_instances()
        known = self._state.records_by_service.get(self.service)
        if known is not None and self._is_later_claim(known):
            return self._end("another instance claimed the service")
        self.writer.check_replica()
        if self._has_to_claim_again():
            self._handle_restoration(now)
            if not self.is_coordinator:
                return
        if self.writer.is_failing:
            retry_at = now + CONFIRM_RETRY_INTERVAL
            self._next_confirm = min(self._next_confirm, retry_at)
        if now >= self._next_confirm:
            self._next_confirm = now + CONFIRM_INTERVAL
            self._start_task(self._confirm)
        self._update_authority(now)
        if self._should_resign(now):
            return self.resign("the store turns this instance away")
        if not self._has_authority:
            return
        awaits_leases = self.record.awaits_leases
        if awaits_leases:
            self._follow_unreachable()
        self._follow_predecessor(now)
        self._state_earlier_leases(now)
        if awaits_leases:
            if now >= max(self._earlier_leases_until, self._next_settling):
                self._next_settling = now + RECLAIM_INTERVAL
                self._start_task(self._settle)
            return
        self._renew(now)
        self._probe_unresponsive(now)
        phase = self._rollouts.phase(self.service) if self._rollouts else None
        if now >= self._next_plan or phase is not self._planned_phase:
            self._planned_phase = phase
            self._next_plan = now + PLAN_INTERVAL
            self._plan(now)

    def _update_authority(self, now: float) -> None:
        has_authority = now < self._authority_until
        if has_authority != self._has_authority:
            self._has_authority = has_authority
            event = AUTHORITY_RETURNED if has_authority else AUTHORITY_ENDED
            emit(event, service=self.service, epoch=self.record.epoch)

    def has_valid_authority(self) -> bool:
        """Tell whether this process may send grants now."""
        return self.is_coordinator and self._clock() < self._authority_until

    def _has_to_claim_again(self) -> bool:
        """Tell whether the store may hold another record than this process's last."""
        is_replaced = self._is_claim_lost or self.writer.is_replaced
        return is_replaced or self._watch.era > self.record.era

    def _may_write(self) -> bool:
        return self.has_valid_authority() and not self._has_to_claim_again()

    async def _confirm(self) -> None:
        """Extend the authority, or end the claim if another one is stored."""
        requested_at = self._clock()
        epoch = self.record.epoch
        try:
            stored = await self.writer.read()
        except (StoreUnavailableError, ProtocolError) as error:
            self.writer.is_failing = True
            if self._failing_since is None:
                self._failing_since = requested_at
            emit(RECORD_WRITE_FAILED, error, service=self.service, what="confirm")
            return
        self.writer.is_failing = False
        self._failing_since = None
        if self.record is None or self.record.epoch != epoch:
            return
        self._watch.update_era()
        found = _readable_record(stored)
        if found is not None and self._is_later_claim(found):
            return self._end("the record has another coordinator")
        if found is None or found.epoch < epoch:
            self._is_claim_lost = True
        if self._has_to_claim_again() or found.epoch > epoch:
            return
        self._authority_until = max(
            self._authority_until, requested_at + AUTHORITY_PERIOD
        )

    def _is_later_claim(self, record: RangeRecord) -> bool:
        """Tell whether a record holds a claim of another process that replaced this."""
        own_id, incarnation = self._membership.own_id, self._membership.incarnation
        return record.epoch >= self.record.epoch and not record.is_held_by(
            own_id, incarnation
        )

    def _should_resign(self, now: float) -> bool:
        """Tell whether the store answers others, but not this instance."""
        if self._failing_since is None or len(self._membership.live) < 2:
            return False
        if min(now - self._failing_since, self._store_age()) < RESIGN_AFTER:
            return False
        replicas = self._state.replicas_by_kind.values()
        answered_at = max(replica.confirmed_at for replica in replicas)
        if answered_at <= self._failing_since + OUTAGE_MARGIN:
            return False
        if not self.writer.has_unresolved_write or self._are_uncertain_parts_free():
            return True
        # The next coordinator may find owners in the record that this one has not
        # granted yet, so the leases that it renewed have to end first.
        self._authority_until = min(self._authority_until, now)
        return now >= self._ledger.last_end

    def _are_uncertain_parts_free(self) -> bool:
        """Tell whether no target holds a range whose stored owner is unknown.

        The next coordinator may then grant these ranges at once, whichever owner it
        finds. Requests for them waited for the leases of all ranges to end otherwise.
        """
        return self._places_by_load() and not any(
            part.without(self._released) for part in self.writer.uncertain_parts()
        )

    def resign(self, reason: str) -> None:
        """End the claim and let another instance claim the service at once."""
        epoch = self.record.epoch
        self._end(reason)
        self._resigned_epoch = epoch
        message = CoordinatorResigned(self.service, epoch)
        self._membership.broadcast(message)

    def record_resignation(self, epoch: int) -> None:
        """Record that the coordinator of an epoch has resigned."""
        self._resigned_epoch = max(self._resigned_epoch, epoch)

    async def stop(self) -> None:
        """Wait a limited time for the moves in progress, then resign."""
        self._stopping = True
        with trio.move_on_after(RELEASE_TIMEOUT / 4):
            while self._moving:
                await trio.sleep(LOOP_INTERVAL / 2)
        if self.is_coordinator:
            self.resign("planned stop")

    def _end(self, reason: str) -> None:
        emit(
            COORDINATOR_ENDED,
            service=self.service,
            epoch=self.record.epoch,
            reason=reason,
        )
        # This process may claim the service again. Tasks of the ended claim would then
        # act on outdated knowledge of other coordinators.
        for scope in list(self._tasks):
            scope.cancel()
        self._answered_processes.clear()
        self._asked_processes.clear()
        self._questions_by_process.clear()
        self._plan_put_off_at = None
        self.writer.end()
        self._has_authority = False
        self._authority_until = float("-inf")

    # Grants

    def _scaled_timing(self) -> LeaseTiming:
        """Return lease times long enough that one instance can send all renewals."""
        return self._timing_for(len(self._state.usable_targets(self.service)))

    def _timing_for(self, targets: int) -> LeaseTiming:
        base = self._base_timing
        renewal_interval = max(base.renewal_interval, targets / MAX_RENEWALS_PER_SECOND)
        lease_duration = base.lease_duration * renewal_interval / base.renewal_interval
        return attrs.evolve(
            base,
            renewal_interval=renewal_interval,
            lease_duration=min(lease_duration, self._succession.longest.lease_duration),
        )

    def _target_status(self, target: str) -> _TargetStatus:
        status = self._status_by_target.setdefault(target, _TargetStatus())
        known = self._state.targets_by_id.get(target)
        if known is not None and known.started_at != status.started_at:
            # Failures of an earlier process do not count. Its calls keep the lock.
            status = _TargetStatus(lock=status.lock, started_at=known.started_at)
            self._status_by_target[target] = status
        return status

    def _renew(self, now: float) -> None:
        """Start the renewals that are due."""
        for target_id in self.record.ranges_by_target:
            status = self._target_status(target_id)
            if status.unresponsive or now < status.next_renewal:
                continue
            target = self._state.targets_by_id.get(target_id)
            if target is None or status.lock.locked():
                continue
            if self._is_restarted(target):
                continue
            status.next_renewal = now + self._ledger.timing.renewal_interval
            self._start_task(self._renew_target, target, status)

    def _is_restarted(self, target: TargetRecord) -> bool:
        """Tell whether the range record names an earlier process of the target."""
        return any(
            item.started_at != target.started_at
            for item in self.record.owned_by(target.id)
        )

    async def _renew_target(self, target: TargetRecord, status: _TargetStatus) -> None:
        async with status.lock:
            if not self.has_valid_authority():
                return
            part = self._next_range_to_renew(target.id, 0)
            while part is not None:
                if not await self._grant(target, part, status):
                    status.next_renewal = self._clock() + GRANT_RETRY_INTERVAL
                    return
                if not self.has_valid_authority():
                    return
                part = self._next_range_to_renew(target.id, part.last + 1)

    def _next_range_to_renew(self, target: str, first: int) -> KeyRange | None:
        """Return the target's next range at or after key ``first`` that is not moving.

        The record is read again for each grant: a range that moved during the previous
        grant must not be renewed.
        """
        for item in self.record.owned_by(target):
            for part in item.without(list(self._moving)):
                if part.first >= first:
                    return part
                if part.last >= first:
                    return attrs.evolve(part, first=first)
        return None

    def _is_moving(self, item: KeyRange) -> bool:
        return any(
            first <= item.last and item.first <= last for first, last in self._moving
        )

    async def _grant(
        self, target: TargetRecord, key_range: KeyRange, status: _TargetStatus
    ) -> bool:
        """Send one grant and tell whether the target accepted it."""
        sent_at = self._clock()
        earlier = self._ledger.record_sent(target.id, sent_at)
        try:
            with trio.fail_after(GRANT_TIMEOUT):
                await self._control.grant(
                    target.address, key_range, self._ledger.timing.lease_duration
                )
        except GrantRefusedError:
            emit(
                GRANT_REFUSED,
                service=self.service,
                target=target.id,
                first=key_range.first,
                last=key_range.last,
                fence=key_range.fence,
            )
            self._next_confirm = 0.0
            return False
        except (ConnectionFailedError, trio.TooSlowError) as error:
            if isinstance(error, ConnectionFailedError) and error.refused:
                self._ledger.record_unsent(target.id, earlier)
            else:
                self._ledger.record_unacknowledged(target.id, sent_at)
            self._note_failed_grant(target, status, sent_at)
            return False
        status.failing_since = None
        return True

    def _note_failed_grant(
        self, target: TargetRecord, status: _TargetStatus, sent_at: float
    ) -> None:
        if status.failing_since is None:
            status.failing_since = sent_at
        if (
            status.unresponsive
            or self._clock() - status.failing_since < UNRESPONSIVE_AFTER
        ):
            return
        status.unresponsive = True
        status.next_probe = self._clock() + status.probe_interval
        status.probe_interval = min(2 * status.probe_interval, MAX_PROBE_INTERVAL)
        emit(
            TARGET_UNRESPONSIVE,
            service=self.service,
            target=target.id,
            address=target.address,
            seconds=round(self._clock() - status.failing_since, 2),
        )

    def _probe_unresponsive(self, now: float) -> None:
        """Start the probes of unresponsive targets that are due."""
        for target_id, status in self._status_by_target.items():
            if not status.unresponsive or now < status.next_probe:
                continue
            status.next_probe = now + status.probe_interval
            target = self._state.usable_target(target_id)
            if target is not None:
                self._start_task(self._probe, target, status)

    async def _probe(self, target: TargetRecord, status: _TargetStatus) -> None:
        try:
            with trio.fail_after(GRANT_TIMEOUT):
                await self._control.reach(target.address, target.id)
        except (ConnectionFailedError, trio.TooSlowError):
            return  # logged as event 6037 already; another probe follows
        status.unresponsive = False
        status.failing_since = None
        emit(
            TARGET_RESPONSIVE,
            service=self.service,
            target=target.id,
            address=target.address,
        )

    # Moves

    def _plan(self, now: float) -> None:
        """Start the moves that changes of the targets or of their load require."""
        self.load.decay(now)
        usable = self._assignable()
        are_appearing = bool(usable) and self._are_targets_appearing(usable, now)
        self.load.by_load = self._places_by_load()
        if self.load.by_load:
            usable = self._known_in_health(usable)
            self._update_cold_targets(usable)
            if are_appearing:
                settled_at = self._usable_since + APPEARING_PAUSE
                self._next_plan = min(self._next_plan, settled_at)
            if self._awaits_restarted_owner(now):
                return
        else:
            self.load.forget_states()
            self._joining.clear()
            self._hot_keys, self._risen_loads = HotKeys(), RisenLoads()
        if not usable or len(self._moving) >= MAX_CONCURRENT_MOVES or are_appearing:
            return
        record = self.record
        trial = self._trial_targets()
        vacated = self._without_lost_owners(record, usable | trial)
        recent = self.load.view(usable, recent=True)
        hot = self._update_hot_keys(recent, now)
        view = self.load.view(usable, recent=False, fixed_keys=hot)
        moves = initial_moves(vacated, view, record)
        if not moves and not self.writer.is_failing:
            # Moving keys are counted at their destination.
            planned = record
            for (first, last), destination in self._moving.items():
                planned = planned.assign(first, last, destination)
            moves = moves_to_idle_targets(
                planned, view, MAX_CONCURRENT_MOVES - len(self._moving)
            )
            self._joining.clear()
            recent = attrs.evolve(recent, fixed_keys=hot)
            if not moves and hot:
                kept = self._hot_keys.update_owners(planned, recent, hot, now)
                moves = isolating_moves(planned, recent, hot, kept)
            if not moves:
                moves = rebalancing_moves(
                    planned,
                    recent,
                    min_load=HIGH_LOAD_THRESHOLD,
                    sources=self._risen_targets(planned, recent, view, now),
                )
            if not moves and now >= self._next_rebalancing:
                self._next_rebalancing = now + REBALANCE_INTERVAL
                moves = rebalancing_moves(planned, view, MAX_REBALANCE_MOVES)
            if not moves and trial:
                rate = sum(view.work_by_key.values()) / self.load.mean.seconds
                share = self._rollouts.trial_keys_share(self.service, rate)
                moves = trial_moves(planned, view, trial, share)
        self._start_moves(record, moves)

    def _update_hot_keys(self, recent: LoadView, now: float) -> frozenset[int]:
        hot = self._hot_keys.update(recent, now) if recent.by_load else frozenset()
        for key in sorted(hot - self.hot_keys):
            target = self.record.owner(key).target
            emit(HOT_KEY_FOUND, service=self.service, key=key, target=target)
        self.hot_keys = hot
        return hot

    def _risen_targets(
        self, record: RangeRecord, recent: LoadView, usual: LoadView, now: float
    ) -> frozenset[str] | None:
        """Return the targets that may give keys away for their recent load."""
        if not recent.by_load:
            return None
        return self._risen_loads.update(record, recent, usual, now)

    def _known_in_health(
        self, usable: dict[str, TargetRecord]
    ) -> dict[str, TargetRecord]:
        """Return the targets that have keys or may get some; ask the others.

        A target states in its health how fast it is and whether it is cold. One that
        does not answer could not take a grant either: its record may be left over from
        before a loss of power. It keeps its keys until it is known to be lost.
        """
        known, closed = {}, []
        for target in usable.values():
            process = target.id, target.started_at
            if process in self._answered_processes:
                known[target.id] = target
                continue
            if process not in self._asked_processes:
                self._asked_processes.add(process)
                count = self._questions_by_process.get(process, 0)
                self._questions_by_process[process] = count + 1
                self._start_task(self._ask_for_health, target)
            if self._owns_keys(target):
                known[target.id] = target
                closed.append(target.id)
        processes = {(t.id, t.started_at) for t in usable.values()}
        self._answered_processes &= processes
        for process in self._questions_by_process.keys() - processes:
            del self._questions_by_process[process]
        self.load.closed_targets = closed
        self.load.keep(usable)
        return known

    def _awaits_restarted_owner(self, now: float) -> bool:
        """Tell whether to put the plan off until a restarted owner has answered.

        It answers within milliseconds. A plan before that would give all its keys away.
        """
        awaited = any(
            self._questions_by_process.get((target, started_at)) == 1
            for target, started_at in self._asked_processes
            if any(
                item.started_at < started_at for item in self.record.owned_by(target)
            )
        )
        if not awaited:
            self._plan_put_off_at = None
            return False
        if self._plan_put_off_at is None:
            self._plan_put_off_at = now
        if now - self._plan_put_off_at >= GRANT_TIMEOUT:
            self._plan_put_off_at = None
            return False
        self._next_plan = now  # in the next iteration of the loop
        return True

    def _owns_keys(self, target: TargetRecord) -> bool:
        return any(
            item.started_at == target.started_at
            for item in self.record.owned_by(target.id)
        )

    async def _ask_for_health(self, target: TargetRecord) -> None:
        process = target.id, target.started_at
        try:
            with trio.fail_after(GRANT_TIMEOUT):
                await self._control.reach(target.address, target.id)
        except (ConnectionFailedError, trio.TooSlowError):
            return  # asked again in the next plan
        finally:
            self._asked_processes.discard(process)
        self._answered_processes.add(process)
        if not self._asked_processes:
            self._next_plan = self._clock()
        await self._ask_for_further_samples(target)

    async def _ask_for_further_samples(self, target: TargetRecord) -> None:
        """Ask for the speed of a target again while targets appear."""
        for _ in range(HEALTH_SAMPLES - 1):
            await trio.sleep(HEALTH_SAMPLE_INTERVAL)
            has_owners = any(item.target for item in self.record.ranges)
            if has_owners or not self.load.by_load:
                return
            with suppress(ConnectionFailedError), trio.move_on_after(GRANT_TIMEOUT):
                await self._control.reach(target.address, target.id)

    def _update_cold_targets(self, usable: dict[str, TargetRecord]) -> None:
        """Note which targets are cold, and which have become warm."""
        rate = self._state.warmup_rate(self.service)
        former = self.load.cold_by_target
        cold = self.load.cold_by_target = {
            target.id: ColdTarget(seconds, rate)
            for target in usable.values()
            if (seconds := self._state.cold_for(target)) > 0
        }
        self._joining |= former.keys() - cold.keys()
        self._joining &= usable.keys() - cold.keys()
        self.load.joining_targets = frozenset(self._joining)

    def _are_targets_appearing(
        self, usable: dict[str, TargetRecord], now: float
    ) -> bool:
        """Tell whether a service that starts has got its latest targets just now.

        The first few would get all keys, and give most of them to the others.
        """
        if len(usable) != self._usable_count:
            self._usable_count, self._usable_since = len(usable), now
        if any(item.target for item in self.record.ranges):
            return False
        is_settled = now - self._usable_since >= APPEARING_PAUSE
        return not is_settled and now - self._claimed_at < MAX_APPEARING_PERIOD

    def _assignable(self) -> dict[str, TargetRecord]:
        return {
            target.id: target
            for target in self._state.usable_targets(self.service)
            if not self._target_status(target.id).unresponsive and self._may_own(target)
        }

    def _may_own(self, target: TargetRecord) -> bool:
        """Tell whether a target's version may get any keys."""
        if self._rollouts is None:
            return True
        phase = self._rollouts.phase(self.service)
        if target.software in self._rollouts.excluded_versions(self.service):
            return False
        if phase is None:
            return True
        is_after = phase in (Phase.CUTOVER, Phase.COMPLETED)
        return self._rollouts.is_new(target) is is_after

    def _trial_targets(self) -> dict[str, TargetRecord]:
        """Return the new version's targets that may get a few keys."""
        phase = self._rollouts.phase(self.service) if self._rollouts else None
        if phase not in (Phase.TRIAL, Phase.RAMP):
            return {}
        return {
            target.id: target
            for target in self._state.usable_targets(self.service)
            if self._rollouts.is_new(target)
            and not self._target_status(target.id).unresponsive
        }

    def _without_lost_owners(
        self, record: RangeRecord, usable: dict[str, TargetRecord]
    ) -> RangeRecord:
        """Return the record without owners that are unusable or have restarted."""
        ranges = []
        for item in record.ranges:
            owner = usable.get(item.target)
            is_lost = owner is None or owner.started_at != item.started_at
            if item.target and is_lost:
                item = attrs.evolve(item, target="")
            ranges.append(item)
        return attrs.evolve(record, ranges=tuple(ranges))

    def _start_moves(self, record: RangeRecord, moves: list[PlannedMove]) -> None:
        """Start the assignment of ranges without an owner and the moves of others."""
        vacant = []
        for move in moves[: MAX_CONCURRENT_MOVES - len(self._moving)]:
            for part in self._parts_to_move(record, move):
                self._moving[part.first, part.last] = move.destination
                if part.target:
                    self._start_task(self._move, part, move.destination)
                else:
                    vacant.append((part, move.destination))
        if vacant:
            self._start_task(self._assign_vacant, vacant)

    def _parts_to_move(self, record: RangeRecord, move: PlannedMove) -> list[KeyRange]:
        """Return the parts of a move that are neither moving nor at the destination.

        A range is not there if an earlier process of the destination had it.
        """
        target = self._state.usable_target(move.destination)
        started_at = target.started_at if target is not None else None
        parts = []
        for item in record.ranges:
            first, last = max(item.first, move.first), min(item.last, move.last)
            if first > last:
                continue
            part = attrs.evolve(item, first=first, last=last)
            is_there = (item.target, item.started_at) == (move.destination, started_at)
            if not self._is_moving(part) and not is_there:
                parts.append(part)
        return parts

    async def _assign_vacant(self, vacant: list[tuple[KeyRange, str]]) -> None:
        """Assign ranges without an owner in one write of the record; grant them."""
        try:
            assigned = await self._write_assignments(vacant)
            async with trio.open_nursery() as nursery:
                for (part, _), granted in zip(vacant, assigned, strict=False):
                    target = self._state.usable_target(granted.target)
                    if target is not None:
                        nursery.start_soon(
                            self._grant_until_accepted, part, target, granted
                        )
        finally:
            for part, _ in vacant:
                self._moving.pop((part.first, part.last), None)

    async def _write_assignments(
        self, vacant: list[tuple[KeyRange, str]]
    ) -> list[KeyRange]:
        def change(record: RangeRecord) -> RangeRecord:
            for part, destination in vacant:
                target = self._state.usable_target(destination)
                if target is not None:
                    record = record.assign(
                        part.first, part.last, target.id, target.started_at
                    )
            return record

        record = await self.writer.change(change)
        if record is None:
            return []
        return [_granted_part(record, part, "") for part, _ in vacant]

    async def _move(self, part: KeyRange, destination: str) -> None:
        try:
            handover = await self._revoke(part)
            if handover is None or not self.has_valid_authority():
                return
            self._released.add((part.first, part.last))
            if not await self._assign_and_grant(part, destination, handover):
                await self._give_back(attrs.evolve(part, handover=handover))
        finally:
            self._released.discard((part.first, part.last))
            self._moving.pop((part.first, part.last), None)

    async def _revoke(self, part: KeyRange) -> str | None:
        """End a target's lease on a range and return the target's handover.

        A target that has restarted may hold renewals from before its record arrived, so
        it releases the range too. Return an empty handover if no process can hold a
        lease any more, and None if this process lost its authority first.
        """
        if await self._has_successor(part):
            self._ledger.forget(part.target)
            return ""
        status = self._target_status(part.target)
        self._freeze(part)
        # Grants of an earlier coordinator may take effect late.
        fenced = self._clock() >= self._earlier_leases_until
        async with status.lock:
            known = self._state.latest_records_by_target.get(part.target)
            if not fenced and known is not None:
                part, fenced = await self._fence_off(part, known, status)
        while self.has_valid_authority():
            known = self._state.latest_records_by_target.get(part.target)
            if known is not None:
                handover = await self._release(part, known.address)
                if handover is not None and not fenced:
                    # An earlier coordinator may still renew this lease.
                    async with status.lock:
                        part, fenced = await self._fence_off(part, known, status)
                    if fenced:
                        continue
                if handover is not None:
                    free_at = self._reassignable_at(part, fenced)
                    await trio.sleep(max(0.0, free_at - self._clock()))
                    return handover
            free_at = self._ledger.grantable_after_timeout(
                part.target, self._earlier_leases_until
            )
            if free_at <= self._clock() or await self._has_successor(part):
                return ""
            await trio.sleep(
                min(RELEASE_RETRY_INTERVAL, max(0.01, free_at - self._clock()))
            )
        return None

    def _reassignable_at(self, part: KeyRange, fenced: bool) -> float:
        if fenced:
            return self._ledger.grantable_after_release(part.target, self._clock())
        return self._ledger.grantable_after_timeout(
            part.target, self._earlier_leases_until
        )

    async def _fence_off(
        self, part: KeyRange, target: TargetRecord, status: _TargetStatus
    ) -> tuple[KeyRange, bool]:
        """Grant the range to its owner again under a new fence.

        The target then refuses grants that an earlier coordinator may still send.
        Return the range as assigned last, and whether the target accepted the grant.
        """
        granted = await self._assign(part, target, "")
        if granted is None:
            return part, False
        return granted, await self._grant(target, granted, status)

    async def _has_successor(self, part: KeyRange) -> bool:
        """Tell whether another target answers where the owner of a range ran.

        An address is reused only after the target that had it before has ended. A
        record alone proves nothing, as another writer may have made it up.
        """
        known = self._state.latest_records_by_target.get(part.target)
        if known is None or part.target in self._state.targets_by_id:
            return False
        successors = [
            other
            for other in self._state.targets_by_id.values()
            if other.address == known.address and other.started_at > part.started_at
        ]
        for other in successors:
            with suppress(ConnectionFailedError), trio.move_on_after(GRANT_TIMEOUT):
                await self._control.reach(other.address, other.id)
                return True
        return False

    async def _release(self, part: KeyRange, address: str) -> str | None:
        try:
            handover = await self._control.release(address, part, RELEASE_TIMEOUT)
        except (ConnectionFailedError, trio.TooSlowError):
            return None
        emit(
            RANGE_RELEASED,
            service=self.service,
            first=part.first,
            last=part.last,
            target=part.target,
            fence=part.fence,
            handover=bool(handover),
        )
        return handover

    def _freeze(self, part: KeyRange) -> None:
        """Let all instances queue requests for a range until the range has moved.

        The moves of one plan start together and are sent in one message.
        """
        if not self._unsent_freezes:
            self._start_task(self._send_freezes)
        self._unsent_freezes.append((part.first, part.last))

    async def _give_back(self, part: KeyRange) -> None:
        """Grant a range that was released to its owner again.

        The store did not take the new owner, and requests wait for the range. A write
        without a response may still be carried out, and the next coordinator would then
        grant the range to the new owner at once.
        """
        while self.writer.has_unresolved_write:
            if not self.has_valid_authority():
                return
            await self.writer.supersede()
            await trio.sleep(RECLAIM_INTERVAL)
        owner = self._state.usable_target(part.target)
        if owner is None or owner.started_at != part.started_at:
            return
        status = self._target_status(owner.id)
        async with status.lock:
            if not self.has_valid_authority():
                return
            if self.record.owner(part.first).fence != part.fence:
                return
            self._released.discard((part.first, part.last))
            if await self._grant(owner, part, status):
                self._thaw(part)

    def _thaw(self, part: KeyRange) -> None:
        """Let requests for a range go to its owner again."""
        self._state.thaw(self.service, part.first, part.last)
        self._membership.broadcast(
            RangesFrozen(self.service, [(part.first, part.last)], 0.0)
        )

    async def _send_freezes(self) -> None:
        frozen, self._unsent_freezes = self._unsent_freezes, []
        seconds = self._ledger.timing.max_validity + FREEZE_MARGIN
        until = trio.current_time() + seconds
        for first, last in frozen:
            self._state.freeze(FrozenRange(self.service, first, last, until))
        self._membership.broadcast(RangesFrozen(self.service, frozen, seconds))

    async def _assign_and_grant(
        self, part: KeyRange, destination: str, handover: str
    ) -> bool:
        """Give a released range its new owner; tell whether the record names it."""
        target = self._state.usable_target(destination)
        if target is None:
            # The destination is no longer usable; the next plan assigns the keys.
            changed = await self.writer.change(
                lambda record: record.assign(part.first, part.last, "")
            )
            return changed is not None
        granted = await self._assign(part, target, handover)
        if granted is None:
            return False
        self._released.discard((part.first, part.last))
        await self._grant_until_accepted(part, target, granted)
        return True

    async def _assign(
        self, part: KeyRange, target: TargetRecord, handover: str
    ) -> KeyRange | None:
        """Write the new owner to the record and return the range to grant."""
        record = await self.writer.change(
            lambda record: record.assign(
                part.first, part.last, target.id, target.started_at
            )
        )
        if record is None:
            return None
        return _granted_part(record, part, handover)

    async def _grant_until_accepted(
        self, previous: KeyRange, target: TargetRecord, granted: KeyRange
    ) -> None:
        status = self._target_status(target.id)
        async with status.lock:
            while self.has_valid_authority() and not status.unresponsive:
                if await self._grant(target, granted, status):
                    break
                await trio.sleep(GRANT_RETRY_INTERVAL / 4)
        emit(
            RANGE_ASSIGNED,
            service=self.service,
            first=previous.first,
            last=previous.last,
            source=previous.target,
            target=target.id,
            fence=granted.fence,
            handover=bool(granted.handover),
        )


def _readable_record(stored: ObjectChange | None) -> RangeRecord | None:
    """Return the record of a stored object, None if there is none that can be read."""
    try:
        return None if stored is None else RangeRecord.from_value(stored.value)
    except MALFORMED:
        return None


def _granted_part(record: RangeRecord, part: KeyRange, handover: str) -> KeyRange:
    """Return a part with the owner and fence that the record gives for its keys."""
    return attrs.evolve(
        record.owner(part.first),
        first=part.first,
        last=part.last,
        handover=handover,
    )
