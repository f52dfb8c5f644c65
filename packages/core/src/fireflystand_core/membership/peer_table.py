"""Keep the peers of an instance and whether it is connected to a majority."""

from collections import deque
from collections.abc import Iterable
from random import Random

import attrs
import xxhash

__all__ = ["PeerEntry", "PeerTable", "Probe"]

MAX_COUNTED = 18  # heartbeats that decide whether a majority is connected
WATCHERS = 2  # instances of a data centre that watch the store
WATCHER_CANDIDATES = 4  # instances of a data centre that probe its watchers
FORGET_AFTER = 10.0  # seconds without an answer, once the list names a peer no more
MAX_PAST_INCARNATIONS = 4


@attrs.frozen
class PeerEntry:
    """Describe an instance as the platform's list does."""

    id: str
    address: str
    data_centre: str
    leaving: bool = False


@attrs.define(eq=False)
class Probe:
    """Follow one heartbeat to one peer."""

    peer: str
    sent_at: float
    counted: bool = True  # False for an additional probe of a watcher
    answered: bool = False
    resolved: bool = False


@attrs.define
class _Peer:
    entry: PeerEntry
    listed: bool
    heard_at: float
    incarnation: str = ""
    past_incarnations: deque[str] = attrs.field(
        factory=lambda: deque(maxlen=MAX_PAST_INCARNATIONS)
    )
    suspected: bool = False


class PeerTable:
    """Hold all known peers of one instance.

    The platform's list lags: it adds peers, and a peer that it names no more stays
    as long as it answers.
    """

    def __init__(self, own: PeerEntry, random: Random) -> None:
        self.own = own
        self._random = random
        self._peers_by_id: dict[str, _Peer] = {}
        self._cycle: list[str] = []
        self._pending: list[str] = []
        self._probes: deque[Probe] = deque(maxlen=2 * MAX_COUNTED)
        self._majority_at: float | None = None
        self._listed_at: float | None = None
        self._watcher_turn = 0

    @property
    def peer_ids(self) -> list[str]:
        """Return the ids of all known peers, without this instance."""
        return list(self._peers_by_id)

    def seed(self, entries: Iterable[PeerEntry], now: float) -> list[str]:
        """Take over the platform's list and return the peers that are forgotten."""
        self._listed_at = now
        for peer in self._peers_by_id.values():
            peer.listed = False
        for entry in entries:
            if entry.id == self.own.id:
                continue
            peer = self._peers_by_id.get(entry.id)
            if peer is None:
                self._peers_by_id[entry.id] = _Peer(entry, True, now)
            else:
                peer.entry = entry
                peer.listed = True
        return self._forget(now)

    def _forget(self, now: float) -> list[str]:
        gone = [
            id
            for id, peer in self._peers_by_id.items()
            if (not peer.listed or peer.entry.leaving)
            and now - peer.heard_at > FORGET_AFTER
        ]
        for id in gone:
            del self._peers_by_id[id]
        return gone

    def heard(self, entry: PeerEntry, incarnation: str, now: float) -> bool:
        """Note a message from a peer; return whether its incarnation is new.

        Messages of an incarnation that was replaced count for nothing.
        """
        if entry.id == self.own.id:
            return False
        peer = self._peers_by_id.get(entry.id)
        if peer is None:
            peer = _Peer(entry, False, now)
            self._peers_by_id[entry.id] = peer
        if incarnation in peer.past_incarnations:
            return False
        peer.heard_at = now
        peer.suspected = False
        if incarnation == peer.incarnation:
            return False
        if peer.incarnation:
            peer.past_incarnations.append(peer.incarnation)
        peer.incarnation = incarnation
        return True

    def next_probes(self, count: int, now: float) -> list[Probe]:
        """Return the heartbeats to send now, to the next peers in turn."""
        peers = []
        while len(peers) < min(count, len(self._peers_by_id)):
            if not self._pending:
                self._start_cycle()
            peer = self._pending.pop()
            if peer in self._peers_by_id and peer not in peers:
                peers.append(peer)
        probes = [Probe(peer, now) for peer in peers]
        self._probes.extend(probes)
        watcher = self._watcher_to_probe()
        if watcher is not None and watcher not in peers:
            probes.append(Probe(watcher, now, counted=False))
        return probes

    def _start_cycle(self) -> None:
        # While every peer is counted the order stays, so that each window of
        # heartbeats holds each peer once, also across two cycles.
        known = self._peers_by_id
        kept = [peer for peer in self._cycle if peer in known]
        if len(known) > MAX_COUNTED:
            kept = []
        added = [peer for peer in known if peer not in set(kept)]
        self._random.shuffle(added)
        self._cycle = kept + added
        self._pending = self._cycle[::-1]

    def _watcher_to_probe(self) -> str | None:
        # In a large fleet the turn of a given peer comes once in minutes; the
        # instances that would replace a watcher must notice its loss sooner.
        order = self._watch_order(self.own.data_centre, live_only=False)
        rank = order.index(self.own.id)
        if rank == 0 or rank >= WATCHER_CANDIDATES:
            return None
        self._watcher_turn += 1
        return order[self._watcher_turn % rank]

    def answered(self, probe: Probe, incarnation: str, now: float) -> bool:
        """Note the answer to a heartbeat; return whether the incarnation is new."""
        peer = self._peers_by_id.get(probe.peer)
        if peer is None:
            return False
        if incarnation in peer.past_incarnations:
            self.failed(probe)
            return False
        self._resolve(probe, True)
        return self.heard(peer.entry, incarnation, now)

    def failed(self, probe: Probe) -> None:
        """Note that a heartbeat was not answered; the peer is suspected."""
        peer = self._peers_by_id.get(probe.peer)
        if peer is not None and peer.heard_at <= probe.sent_at:
            peer.suspected = True
        self._resolve(probe, False)

    def _resolve(self, probe: Probe, answered: bool) -> None:
        if probe.resolved:
            return
        probe.resolved = True
        probe.answered = answered
        if probe.counted:
            self._update_majority()

    def _update_majority(self) -> None:
        # Counts from the sending of the last heartbeat of a window with a majority,
        # so that the time an unanswered heartbeat takes adds nothing.
        size = self._counted
        probes = list(self._probes)
        for end in range(len(probes), size - 1, -1):
            window = probes[end - size : end]
            if size and self._is_majority(sum(probe.answered for probe in window)):
                sent_at = window[-1].sent_at
                if self._majority_at is None or sent_at > self._majority_at:
                    self._majority_at = sent_at
                return

    @property
    def _counted(self) -> int:
        return min(len(self._peers_by_id), MAX_COUNTED)

    def majority_age(self, now: float) -> float:
        """Return the seconds since this instance was connected to a majority.

        An instance that the list names alone is connected to itself.
        """
        if not self._peers_by_id and self._listed_at is not None:
            return 0.0
        if self._majority_at is None:
            return float("inf")
        return max(0.0, now - self._majority_at)

    def is_connected(self) -> bool:
        """Tell whether most of the last resolved heartbeats were answered."""
        size = self._counted
        if size == 0:
            return self._listed_at is not None
        resolved = [probe for probe in self._probes if probe.resolved]
        return self._is_majority(sum(probe.answered for probe in resolved[-size:]))

    def _is_majority(self, answered: int) -> bool:
        # Where every peer is counted this instance counts too: of three instances
        # two are a majority. In a sample of a large fleet it makes no difference.
        if len(self._peers_by_id) <= MAX_COUNTED:
            return 2 * (answered + 1) > len(self._peers_by_id) + 1
        return 2 * answered > MAX_COUNTED

    def is_live(self, instance: str) -> bool:
        """Tell whether an instance is known, not leaving and not suspected."""
        if instance == self.own.id:
            return not self.own.leaving
        peer = self._peers_by_id.get(instance)
        return peer is not None and not peer.suspected and not peer.entry.leaving

    def has_met_all(self) -> bool:
        """Tell whether every peer that the list names has been heard."""
        if self._listed_at is None:
            return False
        peers = self._peers_by_id.values()
        return all(p.incarnation or not p.listed or p.entry.leaving for p in peers)

    def live_ids(self) -> list[str]:
        """Return the ids of all live instances, this one included."""
        return [id for id in [self.own.id, *self._peers_by_id] if self.is_live(id)]

    def incarnation_of(self, instance: str) -> str:
        """Return the incarnation last heard of, or an empty text."""
        peer = self._peers_by_id.get(instance)
        return "" if peer is None else peer.incarnation

    def data_centre_of(self, instance: str) -> str | None:
        """Return the data centre of a known instance."""
        if instance == self.own.id:
            return self.own.data_centre
        peer = self._peers_by_id.get(instance)
        return None if peer is None else peer.entry.data_centre

    def watchers(self, data_centre: str) -> list[str]:
        """Return the instances that watch the store for a data centre."""
        return self._watch_order(data_centre, live_only=True)[:WATCHERS]

    def is_watcher(self) -> bool:
        """Tell whether this instance watches the store."""
        return self.own.id in self.watchers(self.own.data_centre)

    def _watch_order(self, data_centre: str, live_only: bool) -> list[str]:
        ids = [
            id
            for id in [self.own.id, *self._peers_by_id]
            if self.data_centre_of(id) == data_centre
            and (self.is_live(id) or not live_only)
        ]
        return sorted(ids, key=lambda id: _score(data_centre, id), reverse=True)


def _score(data_centre: str, instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f"watch/{data_centre}/{instance}".encode())
