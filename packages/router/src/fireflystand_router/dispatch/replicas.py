"""Keep the copies of the store current, from the store or from peers."""

import json
import zlib
from collections.abc import Iterable
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
from fireflystand_core.replica import ObjectChange, ReplicaState

from ..events import PEER_CALL_FAILED, STORE_LOST, STORE_REGAINED, emit
from ..peers import PeerLink, PeerUnavailableError, Reply
from .clock import lease_clock
from .mesh import Mesh
from .ports import CONFIGURATION, INSTANCES, KINDS, RANGES, StorePort
from .state import RoutingState

__all__ = ["ReplicaKeeper"]

# Instances that watch a kind; the others hear from these. An instance that the
# store turns away leaves its place to the next one.
WATCHERS = 2
# The wait of a watch bounds the age of its proof: API keys need the freshest one.
CONFIGURATION_WAIT = 1.0  # seconds
WATCH_WAIT = 8.0  # seconds
# An instance watches by itself once the proofs of others are this old: one wait
# and two beats between instances.
CONFIGURATION_AGE_LIMIT = 2.6  # seconds
AGE_LIMIT = 10.0  # seconds
RANGES_INTERVAL = 4.0  # seconds between two looks while the coordinators live
IDLE_INTERVAL = 0.25  # seconds between two looks at the proofs of others
FIRST_BACKOFF = 0.1  # seconds after a failed call, doubled for each further one
LONGEST_BACKOFF = 0.8  # seconds
# A starting instance takes its first copies from a seed, so that the store is not
# asked by every instance at once. Processes that start together listen within 0.3 s.
SEED_PATIENCE = 0.8  # seconds until it asks the store itself
SEED_RETRY = 0.1  # seconds between two rounds of the seeds
# While it meets its peers an instance with fresh copies leaves the watches to seeds.
SEEDS_WATCH_FOR = 2.0  # seconds after the start
# Instances that register together are told to the watchers in a few answers.
REGISTRY_PAUSE = 0.25  # seconds between a change of the registry and the next watch
INCOMPLETE_LIMIT = 1.5  # seconds until a copy that misses a change is pulled
PULL_TIMEOUT = 0.5  # seconds
SEED_INTERVAL = 0.5  # seconds between two questions for a configuration


class ReplicaKeeper:
    """Own the watches of the store and the exchange of copies with peers."""

    def __init__(
        self,
        store: StorePort,
        state: RoutingState,
        mesh: Mesh,
        seeds: Iterable[str] = (),
        *,
        is_seed: bool = True,
    ) -> None:
        self._store = store
        self._state = state
        self._mesh = mesh
        self._seeds = list(seeds)
        self._is_seed = is_seed
        self._started_at = lease_clock()
        self._pulling: set[str] = set()
        self._incomplete_since_by_kind: dict[str, float] = {}
        self._nursery: trio.Nursery | None = None
        self._failing_kinds: set[str] = set()
        self.store_heard_at = float("-inf")
        mesh.network.handle_directly(ReplicaPull, self._answer_pull)
        mesh.network.handle_directly(ReplicaCopy, self._take_push)
        mesh.network.handle_directly(RecordPatch, self._take_patch)

    async def run(self) -> None:
        """Follow every kind until cancelled."""
        await self._copy_from_seeds()
        async with trio.open_nursery() as self._nursery:
            for kind in KINDS:
                self._nursery.start_soon(self._follow, kind)
            self._nursery.start_soon(self._await_configuration)

    async def _copy_from_seeds(self) -> None:
        """Take the first copies from a seed, unless this instance is one."""
        if self._is_seed or not self._seeds:
            return
        with trio.move_on_after(SEED_PATIENCE):
            while not self._has_copies():
                for seed in self._seeds:
                    await self._pull_from(seed)
                    if self._has_copies():
                        return
                await trio.sleep(SEED_RETRY)

    def _has_copies(self) -> bool:
        return all(r.revision for r in self._state.replicas_by_kind.values())

    async def _await_configuration(self) -> None:
        """Ask the seeds while the store has not told the configuration."""
        while self._state.table is None and self._seeds:
            await trio.sleep(SEED_INTERVAL)
            for seed in self._seeds:
                await self._pull_from(seed)

    @property
    def store_age(self) -> float:
        """Return the seconds since the store last answered this instance."""
        return lease_clock() - self.store_heard_at

    async def _follow(self, kind: str) -> None:
        backoff = FIRST_BACKOFF
        while True:
            if not self._should_watch(kind):
                await trio.sleep(IDLE_INTERVAL)
                continue
            if kind == RANGES and self._coordinators_live():
                # Their coordinators tell each change; a rare look finds lost news.
                await trio.sleep(RANGES_INTERVAL)
            try:
                await self._fetch(kind)
            except (StoreUnavailableError, ProtocolError) as error:
                self._note_failure(kind, error)
                await trio.sleep(backoff)
                backoff = min(LONGEST_BACKOFF, 2 * backoff)
                continue
            self._note_success(kind)
            backoff = FIRST_BACKOFF

    def _should_watch(self, kind: str) -> bool:
        replica = self._state.replicas_by_kind[kind]
        if replica.revision == 0:
            return True
        limit = CONFIGURATION_AGE_LIMIT if kind == CONFIGURATION else AGE_LIMIT
        if self._state.proof_age(kind) > limit:
            return True
        if kind in self._failing_kinds:
            return True
        meeting = lease_clock() - self._started_at < SEEDS_WATCH_FOR
        if meeting and self._seeds:
            return self._is_seed
        return self._mesh.watch_rank(f"watch/{kind}") < WATCHERS

    def _coordinators_live(self) -> bool:
        records = self._state.records_by_service.values()
        return bool(records) and all(
            self._mesh.is_live(record.holder) for record in records
        )

    async def _fetch(self, kind: str) -> None:
        replica = self._state.replicas_by_kind[kind]
        asked_at = lease_clock()
        since = replica.revision
        snapshot = None
        if since:
            wait = CONFIGURATION_WAIT if kind == CONFIGURATION else WATCH_WAIT
            if kind == RANGES and self._coordinators_live():
                wait = 0.0
            if kind in self._failing_kinds or self._state.proof_age(kind) > AGE_LIMIT:
                wait = 0.0
            snapshot = await self._store.watch(kind, since, wait)
        if snapshot is not None:
            changes = self._state.apply(
                kind, since, snapshot.revision, snapshot.items, asked_at
            )
        else:
            asked_at = lease_clock()
            snapshot = await self._store.list(kind)
            since = replica.revision
            changes = self._state.replace(
                kind, snapshot.revision, snapshot.items, asked_at
            )
        if kind == INSTANCES:
            self._mesh.refresh_addresses()
        if changes:
            # A part of them may have been heard before, from another watcher's push.
            self.push(kind, since, snapshot.revision, replica.changes_after(since))
            if kind == INSTANCES:
                await trio.sleep(REGISTRY_PAUSE)

    def _note_failure(self, kind: str, error: Exception) -> None:
        if kind not in self._failing_kinds:
            self._failing_kinds.add(kind)
            self._mesh.store_lost = True
            emit(STORE_LOST, error, kind=kind, age=round(min(self.store_age, 1e6), 2))

    def _note_success(self, kind: str) -> None:
        self.store_heard_at = lease_clock()
        if kind in self._failing_kinds:
            self._failing_kinds.discard(kind)
            self._mesh.store_lost = bool(self._failing_kinds)
            revision = self._state.replicas_by_kind[kind].revision
            emit(STORE_REGAINED, kind=kind, revision=revision)

    def push(
        self, kind: str, since: int, revision: int, changes: list[ObjectChange]
    ) -> None:
        """Send changes to the peers in touch."""
        age = max(0.0, self._state.proof_age(kind))
        copy = ReplicaCopy(kind, since, revision, min(age, 1e6), _packed(changes))
        # A peer that misses it pulls the change after its next beat.
        self._mesh.broadcast(copy)

    def share_record(self, change: ObjectChange, before: ObjectChange | None) -> None:
        """Tell the peers in touch what a write changed in a record of ranges."""
        if before is None:
            return self.push(RANGES, change.version, change.version, [change])
        patch = _compressed(make_patch(before.value, change.value))
        self._mesh.broadcast(
            RecordPatch(change.name, before.version, change.version, patch)
        )

    def _take_patch(self, message: RecordPatch, link: PeerLink, reply: Reply) -> None:
        known = self._state.replicas_by_kind[RANGES].by_name.get(message.service)
        version = message.version
        if known is not None and known.version >= version:
            return
        if known is not None and known.version == message.since:
            value = apply_patch(known.value, _decompressed(message.patch))
            change = ObjectChange(message.service, version, value)
            self._state.apply(RANGES, version, version, [change], lease_clock())
        elif RANGES not in self._pulling and self._nursery is not None:
            # An earlier change was missed, so the patch fits to nothing known here.
            self._pulling.add(RANGES)
            self._nursery.start_soon(self._pull, link.hello.instance, RANGES)

    def take_proofs(self, peer: str, beat: Beat) -> None:
        """Compare a peer's copies with the own ones, and pull what is newer."""
        now = lease_clock()
        for fields in beat.proofs:
            proof = ReplicaConfirmation(*fields)
            replica = self._state.replicas_by_kind.get(proof.kind)
            if replica is None:
                continue
            state = replica.confirm(proof.revision, proof.changed, now - proof.age)
            if self._should_pull(proof.kind, state, now):
                self._pulling.add(proof.kind)
                self._nursery.start_soon(self._pull, peer, proof.kind)

    def _should_pull(self, kind: str, state: ReplicaState, now: float) -> bool:
        if kind in self._pulling or self._nursery is None:
            return False
        if state is ReplicaState.INCOMPLETE:
            # A push with the missing changes is mostly on its way.
            since = self._incomplete_since_by_kind.setdefault(kind, now)
            return now - since > INCOMPLETE_LIMIT
        self._incomplete_since_by_kind.pop(kind, None)
        return state is ReplicaState.OLDER

    async def _pull(self, peer: str, kind: str) -> bool:
        """Take over a peer's copy of a kind and tell whether it answered."""
        try:
            copy = await self._mesh.network.request(
                peer, ReplicaPull(kind), PULL_TIMEOUT
            )
            if isinstance(copy, ReplicaCopy):
                self._take_copy(copy)
            return True
        except PeerUnavailableError as error:
            emit(PEER_CALL_FAILED, error, message="replica-pull")
            return False
        finally:
            self._pulling.discard(kind)
            self._incomplete_since_by_kind.pop(kind, None)

    async def _pull_from(self, address: str) -> None:
        """Ask the instance at an address for its copies; it may be down."""
        self._mesh.network.set_address(address, address)
        try:
            if await self._pull(address, CONFIGURATION):
                for kind in KINDS:
                    if kind != CONFIGURATION:
                        await self._pull(address, kind)
        finally:
            self._mesh.network.forget(address)

    def _answer_pull(self, pull: ReplicaPull, link: PeerLink, reply: Reply) -> None:
        replica = self._state.replicas_by_kind[pull.kind]
        objects = _packed(replica.by_name.values())
        age = max(0.0, self._state.proof_age(pull.kind))
        reply(ReplicaCopy(pull.kind, 0, replica.revision, min(age, 1e6), objects))

    def _take_push(self, copy: ReplicaCopy, link: PeerLink, reply: Reply) -> None:
        self._take_copy(copy)

    def _take_copy(self, copy: ReplicaCopy) -> None:
        if copy.kind not in self._state.replicas_by_kind:
            return
        items = _unpacked(copy.objects)
        confirmed_at = lease_clock() - copy.age
        if copy.since:
            self._state.apply(copy.kind, copy.since, copy.revision, items, confirmed_at)
        elif copy.revision:
            self._state.replace(copy.kind, copy.revision, items, confirmed_at)
        if copy.kind == INSTANCES:
            self._mesh.refresh_addresses()


def _packed(changes: Iterable[ObjectChange]) -> bytes:
    """Return changes as one compressed block: entries of a kind repeat each other."""
    rows = [[change.name, change.version, change.value] for change in changes]
    return _compressed(rows)


def _unpacked(data: bytes) -> list[ObjectChange]:
    return [ObjectChange(*row) for row in _decompressed(data)]


def _compressed(value: object) -> bytes:
    # Other writers' entries may hold what JSON allows and msgpack does not.
    return zlib.compress(json.dumps(value, separators=(",", ":")).encode(), 1)


def _decompressed(data: bytes) -> Any:
    return json.loads(zlib.decompress(data))
