"""Keep the copies of the store current, from the store or from peers."""

import json
import zlib

import trio

from fireflystand_core.exceptions import ProtocolError, StoreUnavailableError
from fireflystand_core.messages import (
    Beat,
    CopiedObject,
    KindProof,
    ReplicaCopy,
    ReplicaPull,
)
from fireflystand_core.replica import CopyState, ObjectChange

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
INCOMPLETE_LIMIT = 1.5  # seconds until a copy that misses a change is pulled
PULL_TIMEOUT = 0.5  # seconds


class ReplicaKeeper:
    """Own the watches of the store and the exchange of copies with peers."""

    def __init__(self, store: StorePort, state: RoutingState, mesh: Mesh) -> None:
        self._store = store
        self._state = state
        self._mesh = mesh
        self._pulling: set[str] = set()
        self._incomplete_since_by_kind: dict[str, float] = {}
        self._nursery: trio.Nursery | None = None
        self._failing_kinds: set[str] = set()
        self.store_heard_at = float("-inf")
        mesh.network.handle_directly(ReplicaPull, self._answer_pull)
        mesh.network.handle_directly(ReplicaCopy, self._take_push)

    async def run(self) -> None:
        """Follow every kind until cancelled."""
        async with trio.open_nursery() as self._nursery:
            for kind in KINDS:
                self._nursery.start_soon(self._follow, kind)

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
            self.push(kind, since, snapshot.revision, changes)

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
        items = [_copied(change) for change in changes]
        copy = ReplicaCopy(kind, since, revision, min(age, 1e6), items)
        # A peer that misses it pulls the change after its next beat.
        self._mesh.broadcast(copy)

    def take_proofs(self, peer: str, beat: Beat) -> None:
        """Compare a peer's copies with the own ones, and pull what is newer."""
        now = lease_clock()
        for fields in beat.proofs:
            proof = KindProof(*fields)
            replica = self._state.replicas_by_kind.get(proof.kind)
            if replica is None:
                continue
            state = replica.confirm(proof.revision, proof.changed, now - proof.age)
            if self._should_pull(proof.kind, state, now):
                self._pulling.add(proof.kind)
                self._nursery.start_soon(self._pull, peer, proof.kind)

    def _should_pull(self, kind: str, state: CopyState, now: float) -> bool:
        if kind in self._pulling or self._nursery is None:
            return False
        if state is CopyState.INCOMPLETE:
            # A push with the missing changes is mostly on its way.
            since = self._incomplete_since_by_kind.setdefault(kind, now)
            return now - since > INCOMPLETE_LIMIT
        self._incomplete_since_by_kind.pop(kind, None)
        return state is CopyState.OLDER

    async def _pull(self, peer: str, kind: str) -> None:
        try:
            copy = await self._mesh.network.request(
                peer, ReplicaPull(kind), PULL_TIMEOUT
            )
            if isinstance(copy, ReplicaCopy):
                self._take_copy(copy)
        except PeerUnavailableError as error:
            emit(PEER_CALL_FAILED, error, message="replica-pull")
        finally:
            self._pulling.discard(kind)
            self._incomplete_since_by_kind.pop(kind, None)

    async def pull_from(self, address: str) -> None:
        """Ask the instance at an address for its copies; it may be down."""
        self._mesh.network.set_address(address, address)
        for kind in KINDS:
            await self._pull(address, kind)
        self._mesh.network.forget(address)

    def _answer_pull(self, pull: ReplicaPull, link: PeerLink, reply: Reply) -> None:
        replica = self._state.replicas_by_kind[pull.kind]
        items = [_copied(item) for item in replica.by_name.values()]
        age = max(0.0, self._state.proof_age(pull.kind))
        reply(ReplicaCopy(pull.kind, 0, replica.revision, min(age, 1e6), items))

    def _take_push(self, copy: ReplicaCopy, link: PeerLink, reply: Reply) -> None:
        self._take_copy(copy)

    def _take_copy(self, copy: ReplicaCopy) -> None:
        if copy.kind not in self._state.replicas_by_kind:
            return
        items = [
            ObjectChange(item.name, item.version, _value(item.value))
            for item in copy.items
        ]
        confirmed_at = lease_clock() - copy.age
        if copy.since:
            self._state.apply(copy.kind, copy.since, copy.revision, items, confirmed_at)
        elif copy.revision:
            self._state.replace(copy.kind, copy.revision, items, confirmed_at)
        if copy.kind == INSTANCES:
            self._mesh.refresh_addresses()


def _copied(change: ObjectChange) -> CopiedObject:
    if change.value is None:
        return CopiedObject(change.name, change.version, b"")
    text = json.dumps(change.value, separators=(",", ":"))
    return CopiedObject(change.name, change.version, zlib.compress(text.encode(), 1))


def _value(data: bytes) -> object:
    return json.loads(zlib.decompress(data)) if data else None
