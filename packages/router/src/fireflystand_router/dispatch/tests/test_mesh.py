"""Test which peers get heartbeats and the order of instances for shared duties."""

import random
import unittest

from fireflystand_core.messages import Beat, Hello
from fireflystand_core.replica import ObjectChange
from fireflystand_core.sharding import rendezvous_order

from ...peers import PeerNetwork
from ..claim_watch import ClaimWatch
from ..membership import MAX_HEARTBEATS_PER_INTERVAL, Membership
from ..ports import INSTANCES
from ..state import RoutingState


def make_membership(own: int, count: int, capacity=lambda number: 1.0) -> Membership:
    """Return the membership of one of ``count`` registered instances."""
    state = RoutingState(lambda value: None, lambda change: None)
    items = [
        ObjectChange(
            f"n{number:02}",
            1,
            {
                "incarnation": "i",
                "address": f"127.0.0.1:{number}",
                "data_centre": "x",
                "capacity": capacity(number),
            },
        )
        for number in range(count)
    ]
    state.replace(INSTANCES, 1, items, 0.0)
    network = PeerNetwork(Hello(f"n{own:02}", "i", "x", "127.0.0.1:1"))
    return Membership(network, state, random=random.Random(5), capacity=capacity(own))


class BeatTests(unittest.TestCase):
    """Guard against heartbeat rates that grow with the square of the fleet's size.

    An instance with few peers of higher ids contacted these in every interval: 82
    instances made 2800 exchanges a second. One per pair and round makes 1660.
    """

    def test_each_pair_exchanges_one_beat_in_a_round(self):
        for own in (0, 40, 70):
            membership = make_membership(own, 82)
            intervals = 1 + 82 // MAX_HEARTBEATS_PER_INTERVAL
            chosen = [list(membership._next_peers()) for _ in range(intervals)]
            contacted = sorted(peer for peers in chosen for peer in peers)
            self.assertEqual(contacted, [f"n{n:02}" for n in range(own + 1, 82)])
            sizes = [len(peers) for peers in chosen]
            self.assertLessEqual(max(sizes) - min(sizes), 1)

    def test_small_fleet_beats_in_every_interval(self):
        membership = make_membership(3, 12)
        for _ in range(3):
            self.assertEqual(len(list(membership._next_peers())), 8)


class StandstillTests(unittest.TestCase):
    """Guard against instances that take all others for dead after a freeze.

    Such an instance freed the slots of all others and granted their requests itself.
    """

    def setUp(self):
        self.now = 10.0
        self.membership = make_membership(1, 4)
        self.membership._clock = lambda: self.now
        for peer in (2, 3, 4):
            self.membership._record_heartbeat(beat_of(f"n{peer:02}"))
        self.membership._expire_peers()

    def check_after(self, seconds: float) -> int:
        """Return how many instances are live at a check so much later."""
        self.now += seconds
        self.membership._expire_peers()
        return len(self.membership.live)

    def test_peers_are_live_after_a_freeze(self):
        self.assertEqual(self.check_after(0.5), 4)
        self.assertEqual(self.check_after(5.0), 4)

    def test_peers_that_stay_silent_are_declared_dead(self):
        self.assertEqual(self.check_after(5.0), 4)
        self.assertEqual(self.check_after(0.5), 4)
        self.assertEqual(self.check_after(0.5), 1)

    def test_silent_peers_are_declared_dead_by_a_late_instance(self):
        for _ in range(3):
            live = self.check_after(2.0)
        self.assertEqual(live, 1)


class RefusalTests(unittest.TestCase):
    """Guard against a peer behind a cut that is taken for ended.

    The cut refused connections. Its successor as coordinator granted its keys anew.
    """

    def test_peer_that_refuses_connections_may_act(self):
        membership = make_membership(3, 12)
        membership._record_heartbeat(Beat("n07", "i", [], False, 0.0, [], 0))
        state = membership._state
        watch = ClaimWatch("orders", state, membership, membership._clock)
        self.assertNotIn("n07", watch.unreachable())
        membership.network.on_stream_end("n07", True)
        self.assertFalse(membership.is_live("n07"))
        self.assertIn("n07", watch.unreachable())


class DutyTests(unittest.TestCase):
    """Guard against shared duties on the weakest instances.

    A coordinator on a 10 Mbit/s link needed so long to send each change to 81 other
    instances that its grants to healthy targets timed out.
    """

    def test_most_capable_instances_come_first(self):
        strong = {4, 9}

        def capacity(number: int) -> float:
            return 2.0 if number in strong else 0.1

        for own in range(12):
            membership = make_membership(own, 12, capacity)
            for peer in range(12):
                if peer != own:
                    membership._heard_at_by_id[f"n{peer:02}"] = 0.0
            rank = membership.rank("coordinate/s")
            self.assertEqual(rank < len(strong), own in strong, own)


class ResponsibilityTests(unittest.TestCase):
    """Guard against work for all names and instances on each change of the live set.

    With 195 instances and 480 targets, each change cost 94,000 hashes an instance.
    """

    def test_incremental_choice_equals_the_whole_one(self):
        rng = random.Random(3)
        membership = make_membership(0, 60)
        names = [f"s/t{number}" for number in range(200)]
        for _ in range(120):
            peer = f"n{rng.randrange(1, 60):02}"
            if membership.is_live(peer):
                membership._declare_dead(peer, "test")
            else:
                membership._record_heartbeat(beat_of(peer))
            for name in rng.sample(names, 50):
                expected = rendezvous_order(name, membership.live)[0]
                self.assertEqual(membership.responsible_instance(name), expected)

    def test_death_touches_only_the_names_of_the_dead(self):
        membership = make_membership(0, 60)
        for number in range(1, 60):
            membership._record_heartbeat(beat_of(f"n{number:02}"))
        names = [f"s/t{number}" for number in range(200)]
        before = {name: membership.responsible_instance(name) for name in names}
        membership._declare_dead("n07", "test")
        known = membership._responsible_by_name
        kept = [name for name in names if before[name] != "n07"]
        self.assertEqual(known, {name: before[name] for name in kept})

    def test_queue_of_a_whole_service_is_kept_by_a_strong_instance(self):
        """One with 0.43 of a core and many requests answered late."""

        def capacity(number: int) -> float:
            return 2.0 if number in (4, 9) else 0.43

        chosen = set()
        for own in range(12):
            membership = make_membership(own, 12, capacity)
            for peer in range(12):
                if peer != own:
                    membership._record_heartbeat(beat_of(f"n{peer:02}"))
            chosen.add(membership.strongest_instance("dispatch/"))
        self.assertEqual(len(chosen), 1)
        self.assertLessEqual(chosen, {"n04", "n09"})


def beat_of(instance: str) -> Beat:
    """Return a heartbeat of an instance without replicas."""
    return Beat(instance, "i", [], False, 0.0, [], 0)


if __name__ == "__main__":
    unittest.main()
