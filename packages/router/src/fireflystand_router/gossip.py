"""Spread feed items between instances and tell whether this one is up to date."""

from collections.abc import Callable
from random import Random

import trio
from cattrs.errors import BaseValidationError

from fireflystand_core.feed import (
    FeedState,
    answer_pull,
    batches,
    next_pull,
    pull_after,
)
from fireflystand_core.membership import PeerEntry, PeerTable, Probe
from fireflystand_core.messages import (
    FeedItem,
    FeedItems,
    FeedPull,
    Heartbeat,
    HeartbeatReply,
)

from .events import define_event, emit
from .metrics import Metrics, define_metric
from .peers import PeerLink, PeerNetwork, PeerUnavailableError
from .view import ClusterView

__all__ = ["FRESH_FOR", "VALUE_ERRORS", "Gossip", "shown_key"]

HEARTBEAT_INTERVAL = 0.5  # seconds
FANOUT = 3  # peers that a push or a round of heartbeats goes to
ANSWER_TIMEOUT = 0.4  # seconds
PULL_TIMEOUT = 2.0  # seconds
FRESH_FOR = 3.0  # seconds without store and majority before admission stops
SHOWN_DIGITS = 8  # of the hash of an API key, which identifies a caller
# What reading a value of another shape raises; cattrs groups its errors.
VALUE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, BaseValidationError)
NEVER = 1e9  # seconds, sent as the age of a store that was never heard

ITEM_MALFORMED = define_event(
    5001, "ERROR", "feed item cannot be read", "key", "version"
)
MAJORITY_LOST = define_event(
    5020, "WARNING", "no connection to a majority of instances", "peers"
)
MAJORITY_FOUND = define_event(5021, "INFO", "connected to a majority", "peers")
ADMISSION_STOPPED = define_event(
    5022, "ERROR", "instance stops admitting, cut from store and majority", "store_age"
)
ADMISSION_STARTED = define_event(5023, "INFO", "instance admits calls")
ITEMS_APPLIED = define_metric(
    "feed.items", "counter", "items", "newer feed items taken over"
)
MALFORMED_ITEMS = define_metric(
    "feed.malformed", "counter", "items", "feed items that cannot be read"
)
PULLS = define_metric("feed.pulls", "counter", "pulls", "pulls from a peer")
HEARTBEATS_LOST = define_metric(
    "membership.heartbeats_lost", "counter", "heartbeats", "heartbeats without answer"
)
LIVE_PEERS = define_metric(
    "membership.live", "gauge", "instances", "live instances, this one included"
)


def shown_key(key: str) -> str:
    """Return a key for the log, without most of the hash of an API key."""
    prefix = "keys/"
    return key[: len(prefix) + SHOWN_DIGITS] if key.startswith(prefix) else key


class Gossip:
    """Own the feed state of this instance.

    ``store_heard`` returns when a watch or list last succeeded, on trio's clock.
    Other calls to the store don't count, since they tell nothing of API keys.
    """

    def __init__(
        self,
        network: PeerNetwork,
        view: ClusterView,
        table: PeerTable,
        random: Random,
        store_heard: Callable[[], float | None] = lambda: None,
        metrics: Metrics | None = None,
    ) -> None:
        self.state = FeedState()
        self.table = table
        self.store_heard = store_heard
        self._network = network
        self._view = view
        self._metrics = metrics or Metrics()
        self._connected: bool | None = None
        self._admitting: bool | None = None
        self._random = random
        self._scope = trio.CancelScope()
        self._nursery: trio.Nursery | None = None
        self._pulling: set[str] = set()
        self._store_heard_by_peer: dict[str, float] = {}
        self._listening_by_peer: dict[str, tuple[str, str]] = {}
        network.set_handler(Heartbeat, self._on_heartbeat)
        network.set_handler(FeedItems, self._on_items)
        network.set_handler(FeedPull, self._on_pull)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the heartbeats."""
        await nursery.start(self._run)

    async def close(self) -> None:
        """Stop the heartbeats."""
        self._scope.cancel()

    def may_admit(self) -> bool:
        """Tell whether a withdrawn API key would have been heard of."""
        now = trio.current_time()
        age = min(self.store_age(now), self.table.majority_age(now))
        return age < FRESH_FOR

    def store_age(self, now: float) -> float:
        """Return the seconds since the store told its changes to this instance."""
        heard = self.store_heard()
        return NEVER if heard is None else now - heard

    def peer_reaches_store(self, peer: str) -> bool:
        """Tell whether a peer has heard the store lately."""
        heard = self._store_heard_by_peer.get(peer)
        return heard is not None and trio.current_time() - heard < FRESH_FOR

    def listening_address(self, peer: str, incarnation: str) -> str:
        """Return the address at which an incarnation answered a heartbeat."""
        known, address = self._listening_by_peer.get(peer, ("", ""))
        return address if known == incarnation else ""

    def publish_item(self, key: str, version: int, text: str | None) -> None:
        """Take over and push one item that this instance wrote."""
        self.publish([FeedItem(key, version, text)])

    def publish(self, items: list[FeedItem]) -> None:
        """Take over items and push those that are newer to random peers."""
        changed = self.state.accept(items)
        for item in changed:
            self._apply(item)
        if not changed:
            return
        peers = [id for id in self.table.live_ids() if id != self.table.own.id]
        chosen = self._random.sample(peers, min(FANOUT, len(peers)))
        for batch in batches(changed):
            for peer in chosen:
                self._send(peer, FeedItems(batch))

    def _apply(self, item: FeedItem) -> None:
        # A malformed item is passed on, so that the digests of all instances agree;
        # the view keeps the last value that could be read.
        try:
            self._view.apply(item.key, item.value)
        except VALUE_ERRORS as error:
            self._metrics.count(MALFORMED_ITEMS)
            key = shown_key(item.key)
            emit(ITEM_MALFORMED, error, key=key, version=item.version)
        else:
            self._metrics.count(ITEMS_APPLIED)

    def _send(self, peer: str, message: object) -> None:
        try:
            self._network.send(peer, message)
        except PeerUnavailableError:
            return  # the peer pulls after the next heartbeat

    async def _run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        with self._scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                while True:
                    now = trio.current_time()
                    self._report(now)
                    for probe in self.table.next_probes(FANOUT, now):
                        nursery.start_soon(self._probe, probe)
                    await trio.sleep(HEARTBEAT_INTERVAL)

    def _report(self, now: float) -> None:
        self._metrics.gauge(LIVE_PEERS, len(self.table.live_ids()))
        connected = self.table.is_connected()
        if connected != self._connected and (connected or self._connected):
            event = MAJORITY_FOUND if connected else MAJORITY_LOST
            emit(event, peers=len(self.table.peer_ids))
        self._connected = connected
        admitting = self.may_admit()
        if admitting and not self._admitting:
            emit(ADMISSION_STARTED)
        elif self._admitting and not admitting:
            emit(ADMISSION_STOPPED, store_age=round(self.store_age(now), 1))
        self._admitting = admitting

    async def _probe(self, probe: Probe) -> None:
        beat = Heartbeat(*self._own_state())
        address = self._network.addresses_by_id.get(probe.peer, "")
        try:
            reply = await self._network.request(probe.peer, beat, ANSWER_TIMEOUT)
        except PeerUnavailableError:
            self._metrics.count(HEARTBEATS_LOST)
            self.table.failed(probe)
            return
        if not isinstance(reply, HeartbeatReply):
            self.table.failed(probe)
            return
        self.table.answered(probe, reply.incarnation, trio.current_time())
        self._listening_by_peer[probe.peer] = (reply.incarnation, address)
        self._note_store_age(probe.peer, reply.store_age)
        await self._pull(probe.peer, reply.revision, reply.digest)

    async def _on_heartbeat(self, beat: Heartbeat, link: PeerLink) -> HeartbeatReply:
        hello = link.hello
        entry = PeerEntry(hello.instance, hello.address, hello.data_centre)
        self.table.heard(entry, hello.incarnation, trio.current_time())
        self._note_store_age(beat.instance, beat.store_age)
        if self._nursery is not None:
            self._nursery.start_soon(
                self._pull, beat.instance, beat.revision, beat.digest
            )
        return HeartbeatReply(*self._own_state())

    def _note_store_age(self, peer: str, age: float) -> None:
        self._store_heard_by_peer[peer] = trio.current_time() - age

    def _own_state(self) -> tuple[str, str, int, int, float]:
        hello = self._network.hello
        age = self.store_age(trio.current_time())
        state = self.state
        return hello.instance, hello.incarnation, state.revision, state.digest, age

    async def _pull(self, peer: str, revision: int, digest: int) -> None:
        pull = next_pull(self.state, revision, digest)
        if pull is None or peer in self._pulling:
            return
        self._pulling.add(peer)
        self._metrics.count(PULLS)
        try:
            while pull is not None:
                answer = await self._network.request(peer, pull, PULL_TIMEOUT)
                if not isinstance(answer, FeedItems):
                    return
                self.publish(answer.items)
                pull = pull_after(self.state, pull, answer)
        except PeerUnavailableError:
            return  # the next heartbeat compares again
        finally:
            self._pulling.discard(peer)

    async def _on_items(self, message: FeedItems, link: PeerLink) -> None:
        self.publish(message.items)

    async def _on_pull(self, pull: FeedPull, link: PeerLink) -> FeedItems:
        return answer_pull(self.state, pull)
