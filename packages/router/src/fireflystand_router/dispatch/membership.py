"""Track which instances are live by means of heartbeats."""

from collections.abc import Callable, Collection, Iterable
from functools import partial
from random import Random

import attrs
import trio

from fireflystand_core.messages import Beat, encode
from fireflystand_core.sharding import rendezvous_first, rendezvous_score

from ..events import PEER_CALL_FAILED, PEER_DECLARED_DEAD, PEER_REACHABLE, emit
from ..peers import PeerLink, PeerNetwork, PeerUnavailableError, Reply
from ..timers import sleep_until_next
from .clock import lease_clock
from .ports import (
    CONFIGURATION,
    DEPARTURES,
    INSTANCES,
    ROLLOUTS,
    TARGETS,
    DispatchBounds,
)
from .state import RoutingState

__all__ = ["HEARTBEAT_INTERVAL", "WATCHER_COUNT", "Membership"]

OnHeartbeat = Callable[[str, Beat, float], None]

HEARTBEAT_INTERVAL = 0.5  # seconds; a dead peer is detected within three rounds
HEARTBEAT_TIMEOUT = 0.7  # seconds; a frozen or disconnected peer does not respond
MAX_HEARTBEATS_PER_INTERVAL = 24  # bounds the cost of contacting the peers
DEAD_AFTER_ROUNDS = 2.6  # rounds without a heartbeat until a peer is declared dead
# Instances that watch a kind and push its changes to the others. The next one in the
# order takes the place of an instance whose calls to the store fail.
WATCHER_COUNT = 2
# Confirmations reach a data centre through the instances that watch the store and
# spread in it, if enough of its instances exchange heartbeats.
MIN_LOCAL_PEERS = 4
# Of the time within which a change has to take effect; replicas.py asks the store
# itself a little later.
QUIET_AGE_SHARE = 0.74
LAST_RANK = 1_000_000  # after all registered instances
# Registrations reach all other instances within this time, unless they are cut off.
REGISTRY_DELAY = 1.0  # seconds
MAX_CHECK_GAP = 1.0  # seconds between two checks of a process that has not stood still


@attrs.frozen
class _PeerClock:
    """Hold the time that a peer's process sent, and when it arrived here."""

    incarnation: str
    sent_at: float  # seconds on the peer's clock
    received_at: float  # seconds on this instance's clock

    def at(self, now: float) -> float:
        """Return a time that has passed on the peer's clock."""
        return self.sent_at + now - self.received_at


class Membership:
    """Exchange heartbeats with the other instances and track which are live."""

    def __init__(
        self,
        network: PeerNetwork,
        state: RoutingState,
        *,
        random: Random | None = None,
        capacity: float = 0.0,
        bounds: DispatchBounds | None = None,
        clock: Callable[[], float] = lease_clock,
    ) -> None:
        self._capacity = capacity
        self._change_limits_by_kind = (bounds or DispatchBounds()).change_limits_by_kind
        self._clock = clock
        self.network = network
        self.own_id = network.hello.instance
        self.incarnation = network.hello.incarnation
        self._state = state
        self._random = random or Random()
        self._on_heartbeat: OnHeartbeat = lambda peer, heartbeat, sent_after: None
        self._on_peer_dead: Callable[[str], None] = lambda peer: None
        self._heard_at_by_id: dict[str, float] = {}
        # When the silence of the peers was last checked.
        self._checked_at = float("inf")
        self._clocks_by_id: dict[str, _PeerClock] = {}
        self._dead_since_by_id: dict[str, float] = {}
        self._round_remaining: list[list[str]] = []  # peers for each remaining interval
        self._responsible_by_name: dict[str, str] = {}
        # Cached, since the orders are needed some 30 times a second: at each check of
        # a kind of objects or a service.
        self._orders_by_name: dict[str, list[str]] = {}
        self._registered_ranks_by_name: dict[str, int] = {}
        self._registered_at = float("inf")  # as first seen here
        self._watchers_cache: set[str] = set()
        self._watchers_until = float("-inf")
        self.store_unreachable = False  # whether this instance's store calls fail
        self._without_store: set[str] = set()
        self.live_set_version = 0  # number of changes to the set of live instances
        self.incarnations_by_id: dict[str, str] = {}
        state.listeners.append(self._on_state_change)
        network.set_direct_handler(Beat, self._handle_heartbeat)
        network.on_stream_end = self._handle_stream_end

    def set_callbacks(
        self,
        on_heartbeat: OnHeartbeat,
        on_peer_dead: Callable[[str], None],
    ) -> None:
        """Set the callbacks for received heartbeats and for peers declared dead.

        The first one also gets a time on this instance's clock after which the
        heartbeat was sent.
        """
        self._on_heartbeat = on_heartbeat
        self._on_peer_dead = on_peer_dead

    @property
    def live(self) -> list[str]:
        """Return the reachable instances, including this one."""
        return [self.own_id, *self._heard_at_by_id]

    def is_live(self, instance: str) -> bool:
        """Tell whether an instance is reachable."""
        return instance == self.own_id or instance in self._heard_at_by_id

    def reaches_store(self, instance: str) -> bool:
        """Tell whether an instance's calls to the store succeed, as it said last."""
        if instance == self.own_id:
            return not self.store_unreachable
        return instance not in self._without_store

    def seconds_unreachable(self, instance: str) -> float:
        """Return the seconds since an instance was declared dead; 0 if it is live."""
        if self.is_live(instance):
            return 0.0
        now = self._clock()
        return now - self._dead_since_by_id.setdefault(instance, now)

    @property
    def reachable_share(self) -> float:
        """Return the fraction of the registered instances that is reachable."""
        registered = set(self._state.instances_by_id) | {self.own_id}
        return len(registered & set(self.live)) / len(registered)

    def responsible_instance(self, name: str, without: Collection[str] = ()) -> str:
        """Return the instance responsible for ``name``, other than some."""
        if without:
            others = [instance for instance in self.live if instance not in without]
            return rendezvous_first(name, others)
        instance = self._responsible_by_name.get(name)
        if instance is None:
            instance = rendezvous_first(name, self.live)
            self._responsible_by_name[name] = instance
        return instance

    def strongest_instance(self, name: str, without: Collection[str] = ()) -> str:
        """Return the instance for a duty that takes much of a processor.

        It is responsible for ``name`` among those with the highest capacity, other
        than some.
        """
        return next(i for i in self._order(name) if i not in without)

    def registered_rank(self, name: str, *, by_capacity: bool = False) -> int:
        """Return this instance's position among the registered ones, from 0.

        Which of them are reachable does not matter. ``by_capacity`` puts those with
        the highest capacity first, as for ``strongest_instance``. An instance that
        does not know the registered ones, or has just become one of them, comes after
        all.
        """
        if not self._is_settled:
            return LAST_RANK
        rank = self._registered_ranks_by_name.get(name)
        if rank is None:
            precedence = self._precedence if by_capacity else rendezvous_score
            own = precedence(name, self.own_id)
            registered = self._state.instances_by_id
            rank = sum(precedence(name, other) > own for other in registered)
            self._registered_ranks_by_name[name] = rank
        return rank

    @property
    def _is_settled(self) -> bool:
        """Tell whether this instance and those that started with it are registered.

        As a whole fleet starts, each would otherwise be the first in its own view.
        """
        self._note_registration()
        return self._clock() >= self._registered_at + REGISTRY_DELAY

    def _note_registration(self) -> None:
        is_known = self._state.replicas_by_kind[INSTANCES].revision > 0
        if not is_known or self.own_id not in self._state.instances_by_id:
            self._registered_at = float("inf")
        elif self._registered_at == float("inf"):
            self._registered_at = self._clock()

    def rank(self, name: str) -> int:
        """Return this instance's position in the order for ``name``, from 0."""
        return self._order(name).index(self.own_id)

    def _order(self, name: str) -> list[str]:
        """Return the live instances, those with the highest capacity first.

        The duties given out by this order include messages to all other instances.
        """
        order = self._orders_by_name.get(name)
        if order is None:
            key = partial(self._precedence, name)
            order = self._orders_by_name[name] = sorted(
                self.live, key=key, reverse=True
            )
        return order

    def _precedence(self, name: str, instance: str) -> tuple[float, int, str]:
        """Return a sort key: capacity, then rendezvous score; the highest is first."""
        return self._capacity_of(instance), *rendezvous_score(name, instance)

    def _capacity_of(self, instance: str) -> float:
        if instance == self.own_id:
            return self._capacity
        record = self._state.instances_by_id.get(instance)
        return record.capacity if record else 0.0

    def store_watcher_rank(self, name: str) -> int:
        """Return this instance's position among those that reach the store."""
        reachable = [i for i in self._order(name) if i not in self._without_store]
        return reachable.index(self.own_id)

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for peer in self._next_peers():
                    nursery.start_soon(self._send_heartbeat, peer)
                self._expire_peers()
                await sleep_until_next(HEARTBEAT_INTERVAL)

    @property
    def _intervals_per_round(self) -> int:
        """Return the number of intervals in which each pair exchanges one heartbeat."""
        return 1 + len(self._state.instances_by_id) // MAX_HEARTBEATS_PER_INTERVAL

    def _next_peers(self) -> Iterable[str]:
        # One exchange informs both instances of a pair, so only the one with the lower
        # id starts it. The peers are spread over all intervals of the round; otherwise
        # an instance with few peers to contact would contact them more often.
        peers = {peer for peer in self._state.instances_by_id if peer > self.own_id}
        if not self._round_remaining:
            order = sorted(peers)
            self._random.shuffle(order)
            intervals = self._intervals_per_round
            self._round_remaining = [
                order[interval::intervals] for interval in range(intervals)
            ]
        return [peer for peer in self._round_remaining.pop() if peer in peers]

    def _on_state_change(self, kind: str) -> None:
        if kind == INSTANCES:
            self._registered_ranks_by_name.clear()
            self._note_registration()

    def refresh_addresses(self) -> None:
        """Apply the registered addresses and capacities of the peers."""
        self._orders_by_name.clear()
        for record in self._state.instances_by_id.values():
            if record.id != self.own_id:
                self.network.set_address(record.id, record.address)
        for peer in list(self.network.addresses_by_id):
            if peer not in self._state.instances_by_id and ":" not in peer:
                self.network.remove_peer(peer)
                self._declare_dead(peer, "not registered")

    def heartbeat(self, peer: str, *, confirms: bool = True) -> Beat:
        """Return this instance's heartbeat message to a peer."""
        confirmations = [
            [kind, replica.revision, replica.changed, self._replica_age(kind)]
            for kind, replica in self._state.replicas_by_kind.items()
            if confirms and replica.revision
        ]
        now = self._clock()
        clock = self._clocks_by_id.get(peer)
        return Beat(
            self.own_id,
            self.incarnation,
            confirmations,
            self.store_unreachable,
            round(now, 4),
            [] if clock is None else [clock.incarnation, round(clock.at(now), 4)],
            self._state.configuration_version,
        )

    def _replica_age(self, kind: str) -> float:
        return round(self._state.confirmation_age(kind), 4)

    def confirms_to(self, peer: str) -> bool:
        """Tell whether heartbeats to a peer carry the confirmations of the replicas.

        They are half of the bytes of a heartbeat. Without client accounts, no API key
        depends on them, and the peers of a data centre pass on among themselves what
        they hear from the instances that watch the store.
        """
        table = self._state.table
        if table is None or not table.limits_by_capacity:
            return True
        if ROLLOUTS in self._state.replicas_by_kind:
            # Confirmations show which peers know rollouts and may get leases.
            return True
        instances = self._state.instances_by_id
        own, other = instances.get(self.own_id), instances.get(peer)
        if own is None or other is None or own.data_centre == other.data_centre:
            return True
        local = sum(
            peer in instances and instances[peer].data_centre == own.data_centre
            for peer in self._heard_at_by_id
        )
        if local < MIN_LOCAL_PEERS or self._has_old_confirmations:
            return True
        return not self._watchers.isdisjoint((self.own_id, peer))

    @property
    def _has_old_confirmations(self) -> bool:
        return any(
            self._state.confirmation_age(kind)
            > QUIET_AGE_SHARE * self._change_limits_by_kind[kind]
            for kind in (CONFIGURATION, TARGETS)
        )

    @property
    def _watchers(self) -> set[str]:
        """Return the instances that watch the store for others."""
        if self._watchers_until < self._clock():
            self._watchers_until = self._clock() + HEARTBEAT_INTERVAL
            self._watchers_cache = {
                instance
                for kind in (CONFIGURATION, DEPARTURES, TARGETS)
                for instance in self._store_watchers(f"watch/{kind}")
            }
        return self._watchers_cache

    def _store_watchers(self, name: str) -> list[str]:
        reachable = [i for i in self._order(name) if i not in self._without_store]
        return reachable[:WATCHER_COUNT]

    async def _send_heartbeat(self, peer: str) -> None:
        heartbeat = self.heartbeat(peer, confirms=self.confirms_to(peer))
        try:
            response = await self.network.request(peer, heartbeat, HEARTBEAT_TIMEOUT)
        except PeerUnavailableError as error:
            if error.refused:
                self._handle_refusal(peer)
            elif error.step == "Beat":
                # The stream may be broken although a new one would work.
                self.network.close_stream(peer)
            return
        if isinstance(response, Beat):
            self._record_heartbeat(response)

    def _handle_heartbeat(self, heartbeat: Beat, link: PeerLink, reply: Reply) -> None:
        self._record_heartbeat(heartbeat)
        peer = heartbeat.instance
        # A peer whose confirmations are old sends them, and gets newer ones.
        confirms = bool(heartbeat.proofs) or self.confirms_to(peer)
        reply(self.heartbeat(peer, confirms=confirms))

    def _record_heartbeat(self, heartbeat: Beat) -> None:
        peer = heartbeat.instance
        if peer == self.own_id:
            return
        if peer not in self._heard_at_by_id:
            self._handle_live_set_change()
            self._add_to_responsible(peer)
            self._dead_since_by_id.pop(peer, None)
            emit(PEER_REACHABLE, peer=peer, incarnation=heartbeat.incarnation)
        self._heard_at_by_id[peer] = self._clock()
        self.incarnations_by_id[peer] = heartbeat.incarnation
        if heartbeat.store_lost:
            self._without_store.add(peer)
        else:
            self._without_store.discard(peer)
        self._record_clock(heartbeat)
        self._on_heartbeat(peer, heartbeat, self._sent_after(heartbeat))

    def _record_clock(self, heartbeat: Beat) -> None:
        """Store what the heartbeat tells of its sender's clock, unless it is old."""
        known = self._clocks_by_id.get(heartbeat.instance)
        if (
            known is None
            or known.incarnation != heartbeat.incarnation
            or known.sent_at < heartbeat.sent_at
        ):
            self._clocks_by_id[heartbeat.instance] = _PeerClock(
                heartbeat.incarnation, heartbeat.sent_at, self._clock()
            )

    def _sent_after(self, heartbeat: Beat) -> float:
        """Return a time on this instance's clock after which a heartbeat was sent.

        A partition can hold a heartbeat up for any time, so the time of its arrival
        tells nothing of that.
        """
        if not heartbeat.echo or heartbeat.echo[0] != self.incarnation:
            return float("-inf")
        return min(self._clock(), heartbeat.echo[1])

    def _expire_peers(self) -> None:
        now = self._clock()
        gap, self._checked_at = now - self._checked_at, now
        if gap > MAX_CHECK_GAP:
            # This process stood still, and heartbeats may wait to be read.
            for peer, received_at in self._heard_at_by_id.items():
                later = received_at + gap - HEARTBEAT_INTERVAL
                self._heard_at_by_id[peer] = min(now, later)
        timeout = HEARTBEAT_INTERVAL * DEAD_AFTER_ROUNDS * self._intervals_per_round
        earliest = now - timeout
        for peer, received_at in list(self._heard_at_by_id.items()):
            if received_at < earliest:
                self._declare_dead(peer, "no beats")

    def broadcast(self, message: object) -> None:
        """Send a message to all reachable peers; the others do not get it."""
        data = encode(0, message)
        for peer in self.live:
            if peer == self.own_id:
                continue
            try:
                self.network.send_encoded(peer, data)
            except PeerUnavailableError as error:
                emit(PEER_CALL_FAILED, error, message=type(message).__name__)

    def _add_to_responsible(self, peer: str) -> None:
        """Give a peer that became live the names for which it comes first."""
        for name, instance in self._responsible_by_name.items():
            self._responsible_by_name[name] = rendezvous_first(name, (instance, peer))

    def _remove_from_responsible(self, peer: str) -> None:
        """Choose again for the names of a dead peer, when they are next needed."""
        for name, instance in list(self._responsible_by_name.items()):
            if instance == peer:
                del self._responsible_by_name[name]

    def _handle_live_set_change(self) -> None:
        self._orders_by_name.clear()
        self.live_set_version += 1

    def _handle_stream_end(self, peer: str, refused: bool) -> None:
        if refused:
            self._handle_refusal(peer)

    def _handle_refusal(self, peer: str) -> None:
        """Declare a peer dead that refuses connections.

        Its process may go on: a partition can refuse connections too.
        """
        self._declare_dead(peer, "connection refused")

    def _declare_dead(self, peer: str, reason: str) -> None:
        if self._heard_at_by_id.pop(peer, None) is None:
            return
        self._handle_live_set_change()
        self._remove_from_responsible(peer)
        self._dead_since_by_id.setdefault(peer, self._clock())
        emit(PEER_DECLARED_DEAD, peer=peer, reason=reason)
        self._on_peer_dead(peer)
