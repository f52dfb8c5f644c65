"""Keep the replicas of the store current, from the store or from peers."""

import json
import math
import zlib
from collections.abc import Callable, Iterable
from typing import Any

import trio

from fireflystand_core.exceptions import ProtocolError, StoreUnavailableError
from fireflystand_core.messages import (
    Beat,
    RecordPatch,
    ReplicaConfirmation,
    ReplicaCopy,
    ReplicaPull,
)
from fireflystand_core.ranges import apply_patch, make_patch
from fireflystand_core.replica import (
    ObjectChange,
    ReplicaState,
    era_of,
    number_of,
)

from ..events import PEER_CALL_FAILED, STORE_REACHABLE, STORE_UNREACHABLE, emit
from ..peers import PeerLink, PeerUnavailableError, Reply
from ..timers import sleep_until_next
from .clock import lease_clock
from .membership import WATCHER_COUNT, Membership
from .ports import (
    CONFIGURATION,
    INSTANCES,
    KINDS,
    RANGES,
    ROLLOUTS,
    TARGETS,
    DispatchBounds,
    KindSnapshot,
    StorePort,
)
from .state import ChangeSource, RoutingState

__all__ = ["ReplicaSync"]

# Parts of the time within which a change of a kind has to take effect. A watch waits
# for the first; an instance asks the store itself once the confirmations from its peers
# are older than the second, so that no change is missed with its watchers. In between,
# heartbeats pass the result of a watch on; the rest is for the instance's own call.
WAIT_SHARE = 0.36
AGE_LIMIT_SHARE = 0.84
MAX_WAIT = 8.0  # seconds
MAX_AGE_LIMIT = 10.0  # seconds
# The configuration holds the API keys, and its confirmations show outages of the store.
CONFIGURATION_WAIT = 1.0  # seconds, at most
CONFIGURATION_AGE_LIMIT = 2.2  # seconds, at most
RANGES_INTERVAL = 4.0  # seconds between two checks while the coordinators are live
AGE_CHECK_INTERVAL = 0.2  # seconds between two checks of the replica's age
MIN_AGE_CHECK_INTERVAL = 0.01  # seconds
INITIAL_BACKOFF = 0.1  # seconds after a failed call, doubled for each further one
MAX_BACKOFF = 0.8  # seconds
# A starting instance pulls its first replicas from a seed, so that the instances do not
# all query the store at once. Processes that start together listen within 0.3 s.
SEED_TIMEOUT = 0.8  # seconds until the instance queries the store itself
SEED_RETRY_INTERVAL = 0.1  # seconds between two rounds of pulls from the seeds
# While it is still contacting its peers, an instance with fresh replicas leaves the
# watches to the seeds.
SEED_WATCH_PERIOD = 2.0  # seconds after the start
# With this delay, a few watch responses report all instances that register together.
REGISTRATION_DELAY = 0.25  # seconds from a change of the instances to the next watch
# Many targets change within a second at a start, a release or a departure. With this
# delay one call and one push report several of them; a single change is not delayed.
BATCH_DELAY = 0.2  # seconds from a change to the next watch
BATCH_PERIOD = 0.5  # seconds since the change before it
INCOMPLETE_TIMEOUT = 1.5  # seconds until a replica that misses a change is pulled
PULL_TIMEOUT = 0.5  # seconds
# Share of the instances that know the latest configuration of before a restoration.
MIN_PROVING_SHARE = 0.5
NEVER = float("-inf")  # seconds; the time of a confirmation that there was not
CONFIGURATION_PULL_INTERVAL = 0.5  # seconds between two rounds of pulls
# Between two pulls of a configuration that only its own version shows to be newer.
NEWER_CONFIGURATION_INTERVAL = 1.0  # seconds


class ReplicaSync:
    """Watch the store and exchange replicas with peers."""

    def __init__(
        self,
        store: StorePort,
        state: RoutingState,
        membership: Membership,
        seeds: Iterable[str] = (),
        *,
        is_seed: bool = True,
        bounds: DispatchBounds | None = None,
        clock: Callable[[], float] = lease_clock,
    ) -> None:
        self._change_limits_by_kind = (bounds or DispatchBounds()).change_limits_by_kind
        self._store = store
        self._clock = clock
        self._state = state
        self._membership = membership
        self._seeds = list(seeds)
        self._is_seed = is_seed
        self._started_at = self._clock()
        self._pulling_kinds: set[str] = set()
        self._incomplete_since_by_kind: dict[str, float] = {}
        self._nursery: trio.Nursery | None = None
        self._failing_kinds: set[str] = set()
        self._is_store_unavailable = False  # by the calls for the configuration
        self._listed_kinds: set[str] = set()  # for which the last watch had no history
        self._watches_by_kind: dict[str, trio.CancelScope] = {}
        self._next_newer_pull = float("-inf")
        self._targets_changed_at = float("-inf")
        # The first revision of a restored store that may lack known withdrawals.
        self._unproved_revision: int | None = None
        self.store_answered_at = float("-inf")
        # Peers that know the messages of rollouts; earlier builds end the stream of a
        # peer that sends them.
        self.rollout_peers: set[str] = set()
        membership.network.set_direct_handler(ReplicaPull, self._handle_pull)
        membership.network.set_direct_handler(ReplicaCopy, self._handle_push)
        membership.network.set_direct_handler(RecordPatch, self._handle_patch)
        state.listeners.append(self._end_earlier_watches)

    async def run(self) -> None:
        """Keep the replicas of all kinds current until cancelled."""
        await self._pull_from_seeds()
        async with trio.open_nursery() as self._nursery:
            for kind in self._state.replicas_by_kind:
                self._nursery.start_soon(self._follow, kind)
            self._nursery.start_soon(self._pull_configuration)

    async def _pull_from_seeds(self) -> None:
        """Pull the first replicas from a seed; a seed asks the other seeds once.

        A store that was restored may hold an older configuration than the seeds.
        """
        if not self._seeds:
            return
        with trio.move_on_after(SEED_TIMEOUT):
            while not self._has_replicas():
                for seed in self._seeds:
                    await self._pull_from(seed)
                    if self._has_replicas():
                        return
                if self._is_seed:
                    return
                await trio.sleep(SEED_RETRY_INTERVAL)

    def _has_replicas(self) -> bool:
        return all(self._state.replicas_by_kind[kind].revision for kind in KINDS)

    async def _pull_configuration(self) -> None:
        """Pull from the seeds until a configuration is known."""
        while self._state.table is None and self._seeds:
            await trio.sleep(CONFIGURATION_PULL_INTERVAL)
            for seed in self._seeds:
                await self._pull_from(seed)

    @property
    def store_age(self) -> float:
        """Return the seconds since this instance sent the last answered store call."""
        return self._clock() - self.store_answered_at

    async def _follow(self, kind: str) -> None:
        backoff = INITIAL_BACKOFF
        while True:
            if not self._should_watch(kind):
                time_left = self._age_limit(kind) - self._state.confirmation_age(kind)
                if time_left > AGE_CHECK_INTERVAL:
                    await sleep_until_next(AGE_CHECK_INTERVAL)
                else:
                    await trio.sleep(max(MIN_AGE_CHECK_INTERVAL, time_left))
                continue
            if kind == RANGES and self._are_coordinators_live():
                # The coordinators send every change; an infrequent check of the store
                # finds the changes whose messages were lost.
                await self._wait_for_ranges()
            sent_at = self._clock()
            try:
                listed_again = await self._fetch(kind)
            except (StoreUnavailableError, ProtocolError) as error:
                if kind == CONFIGURATION:
                    self._is_store_unavailable = isinstance(
                        error, StoreUnavailableError
                    )
                self._handle_failure(kind, error)
                await trio.sleep(backoff)
                backoff = min(MAX_BACKOFF, 2 * backoff)
                continue
            self._handle_success(kind, sent_at)
            if listed_again or self._is_unproved(kind):
                # The store has no history for the revision of its own last list, or
                # its responses confirm nothing until peers are reached.
                await trio.sleep(backoff)
                backoff = min(MAX_BACKOFF, 2 * backoff)
                continue
            backoff = INITIAL_BACKOFF

    async def _wait_for_ranges(self) -> None:
        """Wait for the next check of the records, or until the store was restored."""
        with trio.move_on_after(RANGES_INTERVAL):
            while not self._is_of_earlier_era(RANGES):
                await self._state.changed.wait()

    def _is_of_earlier_era(self, kind: str) -> bool:
        return era_of(self._state.replicas_by_kind[kind].revision) < self._state.era

    def _end_earlier_watches(self, changed_kind: str) -> None:
        """End the watches that began before the store was restored."""
        for kind, scope in self._watches_by_kind.items():
            if self._is_of_earlier_era(kind):
                scope.cancel()

    def _should_watch(self, kind: str) -> bool:
        replica = self._state.replicas_by_kind[kind]
        if replica.revision == 0:
            return True
        if kind != CONFIGURATION and self._is_store_unavailable:
            # The calls for the configuration show when the store is back.
            return False
        if self._is_confirmation_due(kind):
            return True
        if kind in self._failing_kinds:
            return True
        starting = self._clock() - self._started_at < SEED_WATCH_PERIOD
        if starting and self._seeds:
            return self._is_seed
        return self._membership.store_watcher_rank(f"watch/{kind}") < WATCHER_COUNT

    def _wait_limit(self, kind: str) -> float:
        """Return the seconds for which a watch of a kind waits for a change."""
        longest = CONFIGURATION_WAIT if kind == CONFIGURATION else MAX_WAIT
        return self._share_of_limit(kind, WAIT_SHARE, longest)

    def _age_limit(self, kind: str) -> float:
        """Return the age of a confirmation at which the store itself is asked."""
        longest = CONFIGURATION_AGE_LIMIT if kind == CONFIGURATION else MAX_AGE_LIMIT
        return self._share_of_limit(kind, AGE_LIMIT_SHARE, longest)

    def _share_of_limit(self, kind: str, share: float, longest: float) -> float:
        limit = self._change_limits_by_kind.get(kind, math.inf)
        return min(longest, share * limit)

    def _is_confirmation_due(self, kind: str) -> bool:
        return self._state.confirmation_age(kind) >= self._age_limit(kind)

    def _are_coordinators_live(self) -> bool:
        records = self._state.records_by_service.values()
        return bool(records) and all(
            self._membership.is_live(record.holder) for record in records
        )

    async def _fetch(self, kind: str) -> bool:
        """Watch or list a kind; tell whether it was listed twice without a watch."""
        replica = self._state.replicas_by_kind[kind]
        requested_at = self._clock()
        since = replica.revision
        snapshot = None
        if since:
            wait = self._wait_limit(kind)
            if kind == RANGES and self._are_coordinators_live():
                wait = 0.0
            if kind in self._failing_kinds or self._is_confirmation_due(kind):
                wait = 0.0
            with trio.move_on_after(self._age_limit(kind)) as scope:
                snapshot = await self._watch(kind, since, wait)
            if scope.cancelled_caught:
                # The connection may be silent, or the store out of reach.
                requested_at, wait = self._clock(), 0.0
                snapshot = await self._watch(kind, since, wait)
        listed_again = snapshot is None and kind in self._listed_kinds
        if snapshot is not None:
            self._listed_kinds.discard(kind)
            confirmed_at = requested_at
            if not snapshot.items and self._clock() - requested_at >= wait:
                # The store sends an empty response at the end of the wait, not before.
                confirmed_at += wait
            confirmed_at = self._proved_at(kind, snapshot.revision, confirmed_at)
            changes = self._state.apply(
                kind, since, snapshot.revision, snapshot.items, confirmed_at
            )
        else:
            requested_at = self._clock()
            snapshot = await self._store.list(kind)
            self._listed_kinds.add(kind)
            since = replica.revision
            confirmed_at = self._proved_at(kind, snapshot.revision, requested_at)
            changes = self._state.replace(
                kind, snapshot.revision, snapshot.items, confirmed_at
            )
        if kind == INSTANCES:
            self._membership.refresh_addresses()
        if changes:
            self._push_after(kind, since, snapshot.revision)
            if delay := self._batch_delay(kind):
                await trio.sleep(delay)
        return listed_again

    def _batch_delay(self, kind: str) -> float:
        """Return for how long further changes of a kind are gathered."""
        if kind == INSTANCES:
            return REGISTRATION_DELAY
        table = self._state.table
        if kind != TARGETS or table is None or not table.limits_by_capacity:
            return 0.0
        now = self._clock()
        gap, self._targets_changed_at = now - self._targets_changed_at, now
        return BATCH_DELAY if gap < BATCH_PERIOD else 0.0

    def _is_unproved(self, kind: str) -> bool:
        """Tell whether the store's responses do not confirm the replica of a kind."""
        return kind == CONFIGURATION and self._unproved_revision is not None

    def _proved_at(self, kind: str, revision: int, answered_at: float) -> float:
        """Return the time for which a response of the store confirms a replica.

        A restored store may hold API keys that were withdrawn after its copy. An
        instance that was cut off then learns of the withdrawal from its peers, or from
        a configuration that was written later.
        """
        if kind != CONFIGURATION:
            return answered_at
        replica = self._state.replicas_by_kind[kind]
        if replica.revision and era_of(revision) > era_of(replica.revision):
            self._unproved_revision = revision
        if self._unproved_revision is None:
            return answered_at
        reaches_peers = self._membership.reachable_share >= MIN_PROVING_SHARE
        if reaches_peers or replica.changed > self._unproved_revision:
            self._unproved_revision = None
            return answered_at
        return NEVER

    async def _watch(self, kind: str, since: int, wait: float) -> KindSnapshot | None:
        """Watch the store until the wait is over or a later era is known."""
        if self._is_of_earlier_era(kind):
            return None
        with trio.CancelScope() as scope:
            self._watches_by_kind[kind] = scope
            try:
                return await self._store.watch(kind, since, wait)
            finally:
                del self._watches_by_kind[kind]
        return None

    def _push_after(self, kind: str, since: int, revision: int) -> None:
        """Send the peers all changes after a revision, of which they may lack some.

        Another watcher may have pushed some of the changes before, and a peer may have
        missed that push.
        """
        replica = self._state.replicas_by_kind[kind]
        if era_of(since) != era_of(revision):
            # What the restored store lacks is not known to be deleted at each peer.
            self.push(kind, 0, revision, list(replica.by_name.values()))
        else:
            self.push(kind, since, revision, replica.changes_after(since))

    def _handle_failure(self, kind: str, error: Exception) -> None:
        if kind not in self._failing_kinds:
            self._failing_kinds.add(kind)
            self._membership.store_unreachable = True
            emit(
                STORE_UNREACHABLE,
                error,
                kind=kind,
                age=round(min(self.store_age, 1e6), 2),
            )

    def _handle_success(self, kind: str, sent_at: float) -> None:
        # A long poll that began before an outage for this instance may end well.
        self.store_answered_at = max(self.store_answered_at, sent_at)
        if kind == CONFIGURATION:
            self._is_store_unavailable = False
        if kind in self._failing_kinds:
            self._failing_kinds.discard(kind)
            self._membership.store_unreachable = bool(self._failing_kinds)
            revision = self._state.replicas_by_kind[kind].revision
            emit(
                STORE_REACHABLE,
                kind=kind,
                era=era_of(revision),
                revision=number_of(revision),
            )

    def push(
        self, kind: str, since: int, revision: int, changes: list[ObjectChange]
    ) -> None:
        """Send changes to the reachable peers."""
        age = max(0.0, self._state.confirmation_age(kind))
        copy = ReplicaCopy(kind, since, revision, min(age, 1e6), _pack(changes))
        # A peer that misses this message pulls the change after the next heartbeat.
        self._membership.broadcast(copy)

    def broadcast_record(
        self, change: ObjectChange, before: ObjectChange | None
    ) -> None:
        """Send what a write changed in a range record to the reachable peers."""
        if before is None:
            return self.push(RANGES, change.version, change.version, [change])
        patch = _compress(make_patch(before.value, change.value))
        base = _base(before.value)
        self._membership.broadcast(
            RecordPatch(change.name, before.version, change.version, patch, base)
        )

    def _handle_patch(self, message: RecordPatch, link: PeerLink, reply: Reply) -> None:
        replica = self._state.replicas_by_kind[RANGES]
        known = replica.by_name.get(message.service)
        version = message.version
        if era_of(version) < era_of(replica.revision):
            return
        if known is not None and known.version >= version:
            return
        if (
            known is not None
            and known.version == message.since
            and message.base in ([], _base(known.value))
        ):
            value = apply_patch(known.value, _decompress(message.patch))
            change = ObjectChange(message.service, version, value)
            self._state.apply(
                RANGES, version, version, [change], NEVER, ChangeSource.PUSH
            )
        elif RANGES not in self._pulling_kinds and self._nursery is not None:
            # An earlier change was missed, so the patch's base version is unknown here.
            self._pulling_kinds.add(RANGES)
            self._nursery.start_soon(self._pull, link.hello.instance, RANGES)

    def handle_confirmations(
        self, peer: str, heartbeat: Beat, sent_after: float
    ) -> None:
        """Compare a peer's replicas with the own ones and pull those that are newer.

        The heartbeat was sent after ``sent_after`` on this instance's clock.
        """
        now = self._clock()
        if any(fields[0] == ROLLOUTS for fields in heartbeat.proofs):
            self.rollout_peers.add(peer)
        else:
            self.rollout_peers.discard(peer)
        for fields in heartbeat.proofs:
            confirmation = ReplicaConfirmation(*fields)
            replica = self._state.replicas_by_kind.get(confirmation.kind)
            if replica is None:
                continue
            state = replica.confirm(
                confirmation.revision,
                confirmation.changed,
                sent_after - confirmation.age,
            )
            if self._should_pull(confirmation.kind, state, now):
                self._start_pull(peer, confirmation.kind)
        if heartbeat.configuration > self._state.configuration_version:
            self._pull_newer_configuration(peer, heartbeat, now)

    def _start_pull(self, peer: str, kind: str) -> None:
        self._pulling_kinds.add(kind)
        self._nursery.start_soon(self._pull, peer, kind)

    def _pull_newer_configuration(self, peer: str, heartbeat: Beat, now: float) -> None:
        """Pull a configuration that a restored store holds in an older version."""
        changed = max(
            (fields[2] for fields in heartbeat.proofs if fields[0] == CONFIGURATION),
            default=0,
        )
        replica = self._state.replicas_by_kind[CONFIGURATION]
        if (
            self._nursery is None
            or CONFIGURATION in self._pulling_kinds
            or changed > replica.revision  # then it is pushed or pulled in any case
            or now < self._next_newer_pull
        ):
            return
        self._next_newer_pull = now + NEWER_CONFIGURATION_INTERVAL
        self._start_pull(peer, CONFIGURATION)

    def _should_pull(self, kind: str, state: ReplicaState, now: float) -> bool:
        if kind in self._pulling_kinds or self._nursery is None:
            return False
        if state is ReplicaState.INCOMPLETE:
            # In most cases a push with the missing changes is already on its way.
            since = self._incomplete_since_by_kind.setdefault(kind, now)
            return now - since > INCOMPLETE_TIMEOUT
        self._incomplete_since_by_kind.pop(kind, None)
        return state is ReplicaState.OLDER

    async def _pull(self, peer: str, kind: str) -> bool:
        """Pull a peer's replica of a kind and tell whether the peer responded."""
        requested_at = self._clock()
        try:
            copy = await self._membership.network.request(
                peer, ReplicaPull(kind), PULL_TIMEOUT
            )
            if isinstance(copy, ReplicaCopy):
                is_peer = peer in self._state.instances_by_id
                source = ChangeSource.PULL if is_peer else ChangeSource.SEED
                self._apply_copy(copy, source, requested_at - copy.age)
            return True
        except (PeerUnavailableError, ProtocolError) as error:
            emit(PEER_CALL_FAILED, error, message="replica-pull")
            return False
        finally:
            self._pulling_kinds.discard(kind)
            self._incomplete_since_by_kind.pop(kind, None)

    async def _pull_from(self, address: str) -> None:
        """Pull the replicas from an address at which an instance may be running."""
        self._membership.network.set_address(address, address)
        try:
            if await self._pull(address, CONFIGURATION):
                # A seed of an earlier build fails on a pull of another kind.
                for kind in KINDS:
                    if kind != CONFIGURATION:
                        await self._pull(address, kind)
        finally:
            self._membership.network.remove_peer(address)

    def _handle_pull(self, pull: ReplicaPull, link: PeerLink, reply: Reply) -> None:
        replica = self._state.replicas_by_kind.get(pull.kind)
        if replica is None:
            return reply(ReplicaCopy(pull.kind, 0, 0, 1e6, _pack(())))
        objects = _pack(replica.by_name.values())
        age = max(0.0, self._state.confirmation_age(pull.kind))
        reply(ReplicaCopy(pull.kind, 0, replica.revision, min(age, 1e6), objects))

    def _handle_push(self, copy: ReplicaCopy, link: PeerLink, reply: Reply) -> None:
        # A partition can hold a push up for any time, so it confirms nothing.
        self._apply_copy(copy, ChangeSource.PUSH, NEVER)

    def _apply_copy(
        self, copy: ReplicaCopy, source: ChangeSource, confirmed_at: float
    ) -> None:
        if copy.kind not in self._state.replicas_by_kind:
            return
        items = _unpack(copy.objects)
        if copy.since:
            self._state.apply(
                copy.kind, copy.since, copy.revision, items, confirmed_at, source
            )
        elif copy.revision:
            self._state.replace(copy.kind, copy.revision, items, confirmed_at, source)
        if copy.kind == INSTANCES:
            self._membership.refresh_addresses()


def _base(value: Any) -> list:
    """Return what tells the content of a range record."""
    return [value.get("epoch"), value.get("next_fence")]


def _pack(changes: Iterable[ObjectChange]) -> bytes:
    """Return changes as one compressed block: objects of a kind are much alike."""
    rows = [[change.name, change.version, change.value] for change in changes]
    return _compress(rows)


def _unpack(data: bytes) -> list[ObjectChange]:
    return [ObjectChange(*row) for row in _decompress(data)]


def _compress(value: object) -> bytes:
    # Objects from other writers may hold values that JSON allows and msgpack does not.
    return zlib.compress(json.dumps(value, separators=(",", ":")).encode(), 1)


def _decompress(data: bytes) -> Any:
    try:
        return json.loads(zlib.decompress(data))
    except (ValueError, RecursionError, zlib.error) as error:
        raise ProtocolError("a peer's copy cannot be read", step="copy") from error
