"""Keep in touch with the other instances."""

from collections.abc import Callable, Iterable
from random import Random

import trio

from fireflystand_core.messages import Beat, encode
from fireflystand_core.sharding import rendezvous_order

from ..events import PEER_CALL_FAILED, PEER_LOST, PEER_REGAINED, emit
from ..peers import PeerLink, PeerNetwork, PeerUnavailableError, Reply
from .clock import lease_clock
from .state import RoutingState

__all__ = ["BEAT_INTERVAL", "Mesh"]

BEAT_INTERVAL = 0.5  # seconds; a lost peer is noticed within three of them
BEAT_TIMEOUT = 0.7  # seconds; a frozen or cut off peer answers nothing
BEATS_AT_ONCE = 24  # peers asked in one interval, so that the cost stays bounded
LIVE_ROUNDS = 2.6  # missed rounds of beats until a peer counts as lost


class Mesh:
    """Own the beats between instances and the set of those that live."""

    def __init__(
        self,
        network: PeerNetwork,
        state: RoutingState,
        *,
        random: Random | None = None,
        capacity: float = 0.0,
    ) -> None:
        self._capacity = capacity
        self.network = network
        self.own_id = network.hello.instance
        self.incarnation = network.hello.incarnation
        self._state = state
        self._random = random or Random()
        self._on_proofs: Callable[[str, Beat], None] = lambda peer, beat: None
        self._on_lost: Callable[[str], None] = lambda peer: None
        self._heard_at_by_id: dict[str, float] = {}
        self._lost_since_by_id: dict[str, float] = {}
        self._round: list[list[str]] = []  # peers of the intervals that are left
        self._homes_by_name: dict[str, str] = {}
        # Every look at a kind or a service asks for its order, some 30 a second.
        self._orders_by_name: dict[str, list[str]] = {}
        self.store_lost = False  # whether calls of this instance to the store fail
        self._cut_from_store: set[str] = set()
        self.generation = 0  # counts changes of the set of live instances
        self.incarnations_by_id: dict[str, str] = {}
        self._ended_by_id: dict[str, str] = {}  # incarnation known to have ended
        network.handle_directly(Beat, self._answer_beat)
        network.on_stream_end = self._stream_ended

    def listen(
        self,
        on_proofs: Callable[[str, Beat], None],
        on_lost: Callable[[str], None],
    ) -> None:
        """Report the peers' beats, and each peer that is lost."""
        self._on_proofs = on_proofs
        self._on_lost = on_lost

    @property
    def live(self) -> list[str]:
        """Return the instances in touch, with this one."""
        return [self.own_id, *self._heard_at_by_id]

    def is_live(self, instance: str) -> bool:
        """Tell whether an instance is in touch."""
        return instance == self.own_id or instance in self._heard_at_by_id

    def has_ended(self, instance: str, incarnation: str) -> bool:
        """Tell whether a process is known to have ended: its host refuses streams."""
        return self._ended_by_id.get(instance) == incarnation

    def lost_for(self, instance: str) -> float:
        """Return for how many seconds an instance has been lost; 0 if it is not."""
        if self.is_live(instance):
            return 0.0
        now = lease_clock()
        return now - self._lost_since_by_id.setdefault(instance, now)

    @property
    def visible_share(self) -> float:
        """Return the part of the registered instances that is in touch."""
        registered = set(self._state.instances_by_id) | {self.own_id}
        return len(registered & set(self.live)) / len(registered)

    def home(self, name: str) -> str:
        """Return the instance that decides about ``name``."""
        home = self._homes_by_name.get(name)
        if home is None:
            home = rendezvous_order(name, self.live)[0]
            self._homes_by_name[name] = home
        return home

    def rank(self, name: str) -> int:
        """Return this instance's place in the order for ``name``; 0 is first."""
        return self._order(name).index(self.own_id)

    def _order(self, name: str) -> list[str]:
        """Put the most capable instances first: these duties reach all others."""
        order = self._orders_by_name.get(name)
        if order is None:
            order = sorted(rendezvous_order(name, self.live), key=self._weakness)
            self._orders_by_name[name] = order
        return order

    def _weakness(self, instance: str) -> float:
        if instance == self.own_id:
            return -self._capacity
        record = self._state.instances_by_id.get(instance)
        return -record.capacity if record else 0.0

    def watch_rank(self, name: str) -> int:
        """Return this instance's place among those that reach the store."""
        able = [i for i in self._order(name) if i not in self._cut_from_store]
        return able.index(self.own_id)

    async def run(self) -> None:
        """Beat until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for peer in self._next_peers():
                    nursery.start_soon(self._beat, peer)
                self._expire()
                await trio.sleep(BEAT_INTERVAL)

    @property
    def _intervals_per_round(self) -> int:
        """Return the beat intervals in which every pair of instances exchanges one."""
        return 1 + len(self._state.instances_by_id) // BEATS_AT_ONCE

    def _next_peers(self) -> Iterable[str]:
        # One exchange serves both sides, so the first of each pair begins it. The
        # peers are spread over the round: a short list is not asked more often.
        peers = {peer for peer in self._state.instances_by_id if peer > self.own_id}
        if not self._round:
            order = sorted(peers)
            self._random.shuffle(order)
            parts = self._intervals_per_round
            self._round = [order[part::parts] for part in range(parts)]
        return [peer for peer in self._round.pop() if peer in peers]

    def refresh_addresses(self) -> None:
        """Take over the registered addresses and capacities of the peers."""
        self._orders_by_name.clear()
        for record in self._state.instances_by_id.values():
            if record.id != self.own_id:
                self.network.set_address(record.id, record.address)
        for peer in list(self.network.addresses_by_id):
            if peer not in self._state.instances_by_id and ":" not in peer:
                self.network.forget(peer)
                self._lose(peer, "not registered")

    def beat(self) -> Beat:
        """Return this instance's beat."""
        proofs = [
            [kind, replica.revision, replica.changed, self._age(kind)]
            for kind, replica in self._state.replicas_by_kind.items()
            if replica.revision
        ]
        return Beat(self.own_id, self.incarnation, proofs, self.store_lost)

    def _age(self, kind: str) -> float:
        return round(self._state.proof_age(kind), 4)

    async def _beat(self, peer: str) -> None:
        try:
            answer = await self.network.request(peer, self.beat(), BEAT_TIMEOUT)
        except PeerUnavailableError as error:
            if error.refused:
                self._note_ended(peer)
            elif error.step == "Beat":
                # The stream may have gone silent while new ones work.
                self.network.reset(peer)
            return
        if isinstance(answer, Beat):
            self._take_beat(answer)

    def _answer_beat(self, beat: Beat, link: PeerLink, reply: Reply) -> None:
        self._take_beat(beat)
        reply(self.beat())

    def _take_beat(self, beat: Beat) -> None:
        peer = beat.instance
        if peer == self.own_id:
            return
        if peer not in self._heard_at_by_id:
            self._live_changed()
            self._lost_since_by_id.pop(peer, None)
            emit(PEER_REGAINED, peer=peer, incarnation=beat.incarnation)
        self._heard_at_by_id[peer] = lease_clock()
        if self.has_ended(peer, beat.incarnation):
            del self._ended_by_id[peer]
        self.incarnations_by_id[peer] = beat.incarnation
        if beat.store_lost:
            self._cut_from_store.add(peer)
        else:
            self._cut_from_store.discard(peer)
        self._on_proofs(peer, beat)

    def _expire(self) -> None:
        silence = BEAT_INTERVAL * LIVE_ROUNDS * self._intervals_per_round
        oldest = lease_clock() - silence
        for peer, heard_at in list(self._heard_at_by_id.items()):
            if heard_at < oldest:
                self._lose(peer, "no beats")

    def broadcast(self, message: object) -> None:
        """Send a message to all instances in touch; lost ones are left out."""
        data = encode(0, message)
        for peer in self.live:
            if peer == self.own_id:
                continue
            try:
                self.network.send_encoded(peer, data)
            except PeerUnavailableError as error:
                emit(PEER_CALL_FAILED, error, message=type(message).__name__)

    def _live_changed(self) -> None:
        self._homes_by_name.clear()
        self._orders_by_name.clear()
        self.generation += 1

    def _stream_ended(self, peer: str, refused: bool) -> None:
        if refused:
            self._note_ended(peer)

    def _note_ended(self, peer: str) -> None:
        """Note that no process listens where the peer did."""
        if peer in self.incarnations_by_id:
            self._ended_by_id[peer] = self.incarnations_by_id[peer]
        self._lose(peer, "connection refused")

    def _lose(self, peer: str, reason: str) -> None:
        if self._heard_at_by_id.pop(peer, None) is None:
            return
        self._live_changed()
        self._lost_since_by_id.setdefault(peer, lease_clock())
        emit(PEER_LOST, peer=peer, reason=reason)
        self._on_lost(peer)
