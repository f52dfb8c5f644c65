"""Test ownership of a group while instances, targets and the store fail."""

import unittest

import attrs
import trio
import trio.testing

from fireflystand_core.membership import Witness
from fireflystand_router.claim_timing import ClaimTiming
from fireflystand_router.view import ClusterView
from fireflystand_testing.ownership_cluster import Cluster


def other_witnesses(node):
    """Return the witnesses of a node's group without the node."""
    witnesses = node.host.coordinator("winkel", 0).witnesses
    return [w for w in witnesses if w != node.name]


class GroupHostTests(unittest.TestCase):
    """Guard against two owners and keys that stay unserved after a fault."""

    def run_cluster(self, scenario, nodes=8):
        async def main():
            cluster = Cluster(nodes)
            async with trio.open_nursery() as nursery:
                await cluster.start(nursery)
                await cluster.until_served(3.0)
                await scenario(cluster)
                nursery.cancel_scope.cancel()
            self.assertEqual(cluster.two_owners, 0)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_all_instances_started_at_once_elect_one(self):
        async def scenario(cluster):
            await trio.sleep(3.0)
            active = [n for n in cluster.nodes.values() if n.host._held]
            self.assertEqual(len(active), 1)

        self.run_cluster(scenario)

    def test_coordinator_killed(self):
        async def scenario(cluster):
            cluster.kill(cluster.coordinator_node())
            await cluster.until_served(2.0)

        self.run_cluster(scenario)

    def test_coordinator_paused_past_its_lease_decides_nothing_on_return(self):
        async def scenario(cluster):
            paused = cluster.coordinator_node()
            cluster.pause(paused)
            await cluster.until_served(2.5)
            cluster.resume(paused)
            now = trio.current_time()
            held = paused.host.coordinator("winkel", 0)
            self.assertFalse(held is not None and held.has_authority(now))
            await trio.sleep(1.0)
            self.assertIsNone(paused.host.coordinator("winkel", 0))
            await cluster.until_served(0.5)

        self.run_cluster(scenario)

    def test_coordinator_cut_from_peers(self):
        async def scenario(cluster):
            node = cluster.coordinator_node()
            cluster.cut({node.name}, set(cluster.nodes) - {node.name})
            await trio.sleep(0.6)
            await cluster.until_served(2.0)
            self.assertIsNot(cluster.coordinator_node(), node)

        self.run_cluster(scenario)

    def test_coordinator_cut_from_store_hands_over_when_a_move_is_needed(self):
        async def scenario(cluster):
            node = cluster.coordinator_node()
            cluster.cut({node.name}, {"store"})
            await trio.sleep(5.0)
            self.assertIs(cluster.coordinator_node(), node)
            cluster.targets["t1"].alive = False
            await cluster.until_served(6.0, "t1")
            taker = cluster.coordinator_node()
            self.assertIn(node.name, "".join(taker.events))

        self.run_cluster(scenario)

    def test_coordinator_cut_from_one_target(self):
        async def scenario(cluster):
            node = cluster.coordinator_node()
            cluster.cut({node.name}, {"t2"})
            await trio.sleep(0.1)
            await cluster.until_served(2.5, "t2")

        self.run_cluster(scenario)

    def test_target_killed(self):
        async def scenario(cluster):
            cluster.targets["t1"].alive = False
            await cluster.until_served(2.0, "t1")

        self.run_cluster(scenario)

    def test_target_frozen_owns_nothing_when_it_thaws(self):
        async def scenario(cluster):
            target = cluster.targets["t1"]
            target.frozen = True
            await cluster.until_served(2.2, "t1")
            target.frozen = False
            now = trio.current_time()
            self.assertFalse(any(target.owns(s, now) for s in range(16)))

        self.run_cluster(scenario)

    def test_coordinator_and_target_killed(self):
        async def scenario(cluster):
            cluster.kill(cluster.coordinator_node())
            cluster.targets["t3"].alive = False
            await cluster.until_served(3.0, "t3")

        self.run_cluster(scenario)

    def test_target_leaving_with_notice(self):
        async def scenario(cluster):
            cluster.targets["t1"].draining = True
            await cluster.until_served(3.0, "t1")

        self.run_cluster(scenario)

    def test_store_down_for_a_minute_stops_nothing(self):
        async def scenario(cluster):
            cluster.store.up = False
            for _ in range(600):
                await trio.sleep(0.1)
                self.assertNotIn(None, cluster.owners().values())

        self.run_cluster(scenario)

    def test_store_down_while_the_coordinator_dies(self):
        async def scenario(cluster):
            cluster.store.up = False
            cluster.kill(cluster.coordinator_node())
            await trio.sleep(10.0)
            cluster.store.up = True
            await cluster.until_served(4.0)

        self.run_cluster(scenario)

    def test_slow_store_and_lost_response(self):
        async def scenario(cluster):
            cluster.store.delay = 2.0
            cluster.store.lose_responses = 1
            cluster.targets["t1"].alive = False
            await cluster.until_served(20.0, "t1")

        self.run_cluster(scenario)

    def test_data_centre_taken_out_and_brought_back(self):
        async def scenario(cluster):
            cluster.set_data_centre("namur-b", "out")
            await cluster.until_served(3.0, "t1")
            await cluster.until_served(3.0, "t5")
            cluster.set_data_centre("namur-b", "in")
            await trio.sleep(4.0)
            self.assertIn("t1", cluster.owners().values())

        self.run_cluster(scenario)

    def test_data_centres_taken_out_while_the_store_is_down_get_no_work(self):
        async def scenario(cluster):
            cluster.store.up = False
            # More shards than may move at once, so that some wait unmoved.
            for name in ("namur-b", "gent-a", "gent-b"):
                cluster.set_data_centre(name, "out")
            await trio.sleep(3.0)
            owners = cluster.owners()
            self.assertEqual(set(owners.values()), {"t0", "t4", None})

        self.run_cluster(scenario)

    def test_data_centre_cut_off_without_notice(self):
        async def scenario(cluster):
            centre = cluster.coordinator_node().data_centre
            nodes = {n.name for n in cluster.nodes.values() if n.data_centre == centre}
            settings = cluster.deployment.services_by_id["winkel"].targets_by_id
            targets = {t.id for t in settings.values() if t.data_centre == centre}
            rest = (set(cluster.nodes) | set(cluster.targets)) - nodes - targets
            cluster.cut(nodes | targets, rest | {"store"})
            await trio.sleep(0.6)
            await cluster.until_served(3.0, next(iter(targets)))

        self.run_cluster(scenario)

    def test_coordinator_paused_while_a_target_freezes(self):
        async def scenario(cluster):
            cluster.pause(cluster.coordinator_node())
            cluster.targets["t2"].frozen = True
            await trio.sleep(0.6)
            await cluster.until_served(3.0, "t2")

        self.run_cluster(scenario)

    def test_coordinator_cut_from_peers_while_the_store_is_down(self):
        async def scenario(cluster):
            node = cluster.coordinator_node()
            cluster.store.up = False
            cluster.cut({node.name}, set(cluster.nodes) - {node.name})
            await trio.sleep(0.6)
            self.assertIsNone(cluster.coordinator_node())
            cluster.store.up = True
            await cluster.until_served(7.0)

        self.run_cluster(scenario)

    def test_witness_and_coordinator_killed_and_restarted(self):
        async def scenario(cluster):
            node = cluster.coordinator_node()
            witnesses = other_witnesses(node)
            for name in (node.name, *witnesses[:2]):
                cluster.kill(cluster.nodes[name])
            await cluster.until_served(3.0)
            for name in (node.name, *witnesses[:2]):
                cluster.restart(cluster.nodes[name])
            await trio.sleep(5.0)
            await cluster.until_served(0.5)

        self.run_cluster(scenario)

    def test_refusal_is_evidence_only_for_the_process_at_that_address(self):
        async def scenario(cluster):
            host = cluster.coordinator_node().host
            self.assertEqual(host.listening_incarnation("i5"), "1")
            live = dict(cluster.live_instances())
            live["i5"] = attrs.evolve(live["i5"], incarnation="2", address="new")
            host._live_instances = lambda: live
            self.assertIsNone(host.listening_incarnation("i5"))

        self.run_cluster(scenario)

    def test_coordinator_and_most_witnesses_killed(self):
        async def scenario(cluster):
            cluster.lagging = True
            node = cluster.coordinator_node()
            witnesses = other_witnesses(node)
            for name in (node.name, *witnesses[:3]):
                cluster.kill(cluster.nodes[name])
            cluster.targets["t2"].alive = False
            await cluster.until_served(6.0, "t2")

        self.run_cluster(scenario)

    def test_loss_of_any_other_instance_never_stops_a_coordinator(self):
        for nodes in (2, 3, 4, 5, 8):
            for lost in range(1, min(nodes, 5)):
                with self.subTest(nodes=nodes, lost=lost):
                    self.run_cluster(self.lose_other(lost), nodes)

    def lose_other(self, index):
        async def scenario(cluster):
            node = cluster.coordinator_node()
            witnesses = node.host.coordinator("winkel", 0).witnesses
            self.assertIn(node.name, witnesses)
            self.assertEqual(len(witnesses) % 2, 1)
            cluster.store.up = False
            others = [n for n in cluster.nodes.values() if n is not node]
            cluster.pause(others[index - 1])
            for _ in range(300):
                await trio.sleep(0.01)
                self.assertIs(cluster.coordinator_node(), node)

        return scenario

    def test_paused_coordinator_of_three_is_taken_over_twice(self):
        async def scenario(cluster):
            for _ in range(2):
                node = cluster.coordinator_node()
                cluster.pause(node)
                await cluster.until_served(2.0)
                cluster.resume(node)
                await trio.sleep(3.0)

        self.run_cluster(scenario, 3)

    def test_kills_of_three_in_turn_are_taken_over_by_witnesses(self):
        async def scenario(cluster):
            for _ in range(6):
                node = cluster.coordinator_node()
                cluster.kill(node)
                await cluster.until_served(2.0)
                cluster.restart(node)
                await cluster.until_served(2.0)

        self.run_cluster(scenario, 3)

    def test_target_cut_off_from_its_coordinator_only(self):
        async def scenario(cluster):
            node = cluster.coordinator_node()
            cluster.cut({node.name}, {"t1"})
            await cluster.until_served(3.0, "t1")
            await trio.sleep(15.0)
            self.assertIs(cluster.coordinator_node(), node)

        self.run_cluster(scenario)

    def test_coordinator_that_reaches_no_target_hands_the_group_over(self):
        async def scenario(cluster):
            node = cluster.coordinator_node()
            cluster.cut({node.name}, set(cluster.targets))
            await cluster.until_served(3.0)
            self.assertIsNot(cluster.coordinator_node(), node)
            for _ in range(250):
                await trio.sleep(0.1)
                self.assertNotIn(None, cluster.owners().values())

        self.run_cluster(scenario)

    def test_group_returns_to_the_first_candidate_while_the_store_answers(self):
        async def scenario(cluster):
            first = cluster.coordinator_node()
            cluster.kill(first)
            await cluster.until_served(2.0)
            cluster.restart(first)
            cluster.store.up = False
            await trio.sleep(15.0)
            self.assertIsNot(cluster.coordinator_node(), first)
            cluster.store.up = True
            cluster.store.delay = 1.0
            await trio.sleep(15.0)
            self.assertIsNot(cluster.coordinator_node(), first)
            cluster.store.delay = 0.002
            with trio.fail_after(30.0):
                while cluster.coordinator_node() is not first:
                    await trio.sleep(0.01)
            await cluster.until_served(0.1)
            epoch = first.host.coordinator("winkel", 0).epoch
            await trio.sleep(30.0)
            self.assertEqual(first.host.coordinator("winkel", 0).epoch, epoch)

        self.run_cluster(scenario)

    def test_first_claim_waits_for_the_peers(self):
        timing = ClaimTiming("a", Witness("a", "1"), ClusterView())
        name, alone = ("winkel", 0), {"a": "1"}
        self.assertFalse(timing.should_claim(name, alone, 0.0, False))
        self.assertTrue(timing.should_claim(name, alone, 0.1, True))

    def test_planned_stop_hands_the_group_over(self):
        async def scenario(cluster):
            node = cluster.coordinator_node()
            await node.host.close()
            await cluster.until_served(1.0)
            taker = cluster.coordinator_node()
            self.assertIn(node.name, "".join(taker.events))

        self.run_cluster(scenario)


if __name__ == "__main__":
    unittest.main()
