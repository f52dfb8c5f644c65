"""Test how many store calls the start of an instance makes."""

import unittest

import trio

from ..ports import INSTANCES, KINDS
from .node_support import play_fleet


class StartTests(unittest.TestCase):
    """Guard against store calls that grow with the square of the number of instances.

    With 82 instances, each listed every kind and received each registration by watch.
    """

    def play(self, scenario) -> None:
        async def with_target(fleet):
            await fleet.add_target("keyed")
            await scenario(fleet)

        play_fleet(with_target)

    def test_instances_with_a_seed_do_not_ask_the_store(self):
        async def scenario(fleet):
            first = await fleet.add_node()
            await fleet.settle()
            self.assertEqual(fleet.store.calls["list"], len(KINDS))
            for _ in range(6):
                await fleet.add_node(seeds=(first.network.address,))
            await fleet.settle()
            calls = fleet.store.calls
            self.assertEqual(calls["list"], len(KINDS))
            self.assertEqual(calls[f"put {INSTANCES}"], 7)
            # A single watch, which returns at most once for each registration.
            self.assertLess(calls["watch"], 40)

        self.play(scenario)

    def test_seed_that_is_away_does_not_keep_an_instance_from_starting(self):
        async def scenario(fleet):
            await fleet.add_node(seeds=("127.0.0.1:1",))
            with trio.fail_after(6.0):
                await fleet.settle()
            self.assertEqual(fleet.store.calls["list"], len(KINDS))

        self.play(scenario)

    def test_instance_that_starts_again_replaces_its_entry(self):
        async def scenario(fleet):
            fleet.store.write(
                INSTANCES,
                "n1",
                {"incarnation": "old", "address": "127.0.0.1:1", "data_centre": "x"},
            )
            node = await fleet.add_node()
            await fleet.settle()
            record = fleet.store.objects[INSTANCES]["n1"].value
            self.assertEqual(record["incarnation"], node.membership.incarnation)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
