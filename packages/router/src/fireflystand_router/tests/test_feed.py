"""Test watch, gossip and the freshness rule across instances."""

import unittest

import trio
from loguru import logger

from fireflystand_core.membership import PeerEntry
from fireflystand_core.messages import FeedItem

from .limits_support import HASH, run_world


class FeedTests(unittest.TestCase):
    """Guard against API keys that keep working and changes that go back."""

    def withdraw(self, cut_store=(), cut_peers=(), limit=5.0):
        async def scenario(world):
            world.cut_from_store.update(cut_store)
            world.cut_from_peers.update(cut_peers)
            await world.write_key("withdrawn")
            stopped = list(world.instances.values())
            seconds = await world.until(
                lambda: all(i.key_state() != "active" for i in stopped)
            )
            self.assertLess(seconds, limit)
            for instance in stopped:
                if instance.network.hello.instance not in {*cut_store} & {*cut_peers}:
                    await world.until(lambda i=instance: i.key_state() == "withdrawn")
            for _ in range(100):
                await trio.sleep(0.1)
                states = {i.key_state() for i in stopped}
                self.assertNotIn("active", states)

        run_world(scenario)

    def test_withdrawn_key_stops_everywhere_before_the_next_heartbeats(self):
        self.withdraw(limit=0.2)

    def test_withdrawn_key_stops_on_an_instance_cut_from_the_store(self):
        self.withdraw(cut_store=["i0"], limit=1.0)

    def test_withdrawn_key_stops_on_an_instance_cut_from_its_peers(self):
        self.withdraw(cut_peers=["i0"], limit=5.0)

    def test_withdrawn_key_stops_on_an_instance_cut_from_both(self):
        self.withdraw(cut_store=["i0"], cut_peers=["i0"], limit=5.0)

    def test_instance_cut_from_both_stops_admitting_and_returns(self):
        async def scenario(world):
            world.cut_from_store.add("i0")
            world.cut_from_peers.add("i0")
            gossip = world.instances["i0"].gossip
            self.assertLess(await world.until(lambda: not gossip.may_admit()), 5.0)
            world.cut_from_peers.clear()
            await world.until(gossip.may_admit)

        run_world(scenario)

    def test_ended_watches_and_replayed_versions_change_nothing(self):
        async def scenario(world):
            await world.write_key("withdrawn")
            await trio.sleep(1)
            world.server.faults.replay = True
            await trio.sleep(5)
            world.server.faults.replay = False
            world.server.faults.end_watches = True
            await world.write_deployment(50.0, 5.0, number=2)
            await trio.sleep(1)
            world.server.faults.end_watches = False
            world.server._notify()
            views = [i.view for i in world.instances.values()]
            await world.until(lambda: all(v.generation == 2 for v in views), 7.0)
            for instance in world.instances.values():
                self.assertEqual(instance.key_state(), "withdrawn")

        run_world(scenario)

    def test_compacted_history_leads_to_a_list(self):
        async def scenario(world):
            views = [i.view for i in world.instances.values()]
            await world.write("targets/t2", {"state": "draining"})
            await world.until(lambda: all("t2" in v.target_states_by_id for v in views))
            world.cut_from_store.update(world.instances)
            await world.write("targets/t1", {"state": "draining"})
            found = await world.operator.get("targets/t2")
            await world.operator.delete("targets/t2", found.version)
            while len(world.server._history) > 1:
                world.server._history.popleft()
            world.cut_from_store.clear()
            await world.until(lambda: all("t1" in v.target_states_by_id for v in views))
            only_first = {"t1": "draining"}
            await world.until(
                lambda: all(v.target_states_by_id == only_first for v in views)
            )

        run_world(scenario)

    def test_unreadable_object_does_not_stop_the_watchers(self):
        async def scenario(world):
            await world.write("targets/t1", "draining")
            await world.write("groups/winkel/0", {"epoch": 1})
            await world.write_key("withdrawn")
            rest = list(world.instances.values())
            states = lambda: {i.key_state() for i in rest}  # noqa: E731
            self.assertLess(await world.until(lambda: states() == {"withdrawn"}), 5.0)

        run_world(scenario)

    async def count_reads(self, world, seconds):
        """Return the reads a second and the bytes that watches carried."""
        kinds = ("get", "list", "watch")
        before = sum(world.server.calls_by_kind.get(k, 0) for k in kinds)
        for number in range(seconds * 10):
            await world.write(f"journal/0/{number}", {"entries": "x" * 1000})
            await trio.sleep(0.1)
        after = sum(world.server.calls_by_kind.get(k, 0) for k in kinds)
        # Each write of this test reads the object first.
        return (after - before) / seconds - 10

    def test_journal_writes_wake_no_watch_and_reads_stay_below_60(self):
        async def scenario(world):
            reads = await self.count_reads(world, 30)
            self.assertLess(reads, 8 * (1 + 4 * 0.1) + 2)

        four = ("namur-a", "namur-b", "gent-a", "gent-b")
        for count in (12, 24):
            run_world(scenario, count=count, data_centres=four)

    def test_one_prefix_that_is_compacted_or_unreadable_leaves_the_others(self):
        async def scenario(world):
            pointer = {"generation": 9, "operation_id": "x", "object": "config/none"}
            await world.write("config/current", pointer)
            await trio.sleep(1)
            before = world.server.calls_by_kind["get"]
            await trio.sleep(10)
            self.assertLess(world.server.calls_by_kind["get"] - before, 10)
            await world.write_key("withdrawn")
            rest = list(world.instances.values())
            done = lambda: all(i.key_state() == "withdrawn" for i in rest)  # noqa: E731
            self.assertLess(await world.until(done), 0.2)
            self.assertEqual({i.view.generation for i in rest}, {1})

        run_world(scenario)

    def test_polls_lost_silently_hide_no_configuration(self):
        async def scenario(world):
            await trio.sleep(3)
            world.hung_from_store.update(world.instances)
            await world.write_deployment(50.0, 5.0, number=2)
            await trio.sleep(2)
            world.hung_from_store.clear()
            views = [i.view for i in world.instances.values()]
            await world.until(lambda: all(v.generation == 2 for v in views), 4.0)

        run_world(scenario)

    def test_malformed_items_stop_nothing_and_keep_the_last_value(self):
        malformed = {
            "config/deployment": ['{"generation": 7}', "[]", "{", "7", None],
            f"keys/{HASH}": ['{"state": 1}', "[1]", '"active"'],
            "targets/t1": ["{}", "[]", "5"],
            "claims/winkel/0": ["{}", "[]"],
            "claims/winkel/x": ['{"service": "winkel"}'],
        }

        async def scenario(world):
            await world.write("targets/t1", {"state": "draining"})
            await trio.sleep(1)
            events = []
            sink = logger.add(lambda m: events.append(m.record["extra"]["event"]))
            rest = list(world.instances.values())
            version = 10**6
            for key, texts in malformed.items():
                for text in texts:
                    version += 1
                    rest[0].gossip.publish([FeedItem(key, version, text)])
            await trio.sleep(5)
            logger.remove(sink)
            # A peer may skip what a newer item of the same key has replaced.
            every = version - 10**6 + len(malformed) * (len(rest) - 1)
            self.assertGreaterEqual(events.count(5001), every)
            for instance in rest:
                self.assertEqual(instance.key_state(), "active")
                self.assertEqual(instance.view.generation, 1)
                self.assertEqual(instance.view.target_states_by_id["t1"], "draining")
                self.assertTrue(instance.gossip.may_admit())

        run_world(scenario)

    def test_killed_watchers_are_replaced(self):
        async def scenario(world):
            for data_centre in ("namur-a", "gent-a"):
                table = world.instances["i0"].table
                world.kill(table.watchers(data_centre)[0])
                if "i0" not in world.instances:
                    break
            await world.write_key("withdrawn")
            rest = list(world.instances.values())
            states = lambda: {i.key_state() for i in rest}  # noqa: E731
            self.assertLess(await world.until(lambda: states() == {"withdrawn"}), 5.0)

        run_world(scenario)

    def test_lagging_list_keeps_instances_that_answer(self):
        async def scenario(world):
            ghost = PeerEntry("ghost", "ghost", "namur-a")
            for instance in world.instances.values():
                entries = [*world.entries(["i0", "i1"]), ghost]
                world.seed(instance, entries)
            await trio.sleep(15)
            await world.write_key("withdrawn")
            rest = list(world.instances.values())
            done = lambda: all(i.key_state() == "withdrawn" for i in rest)  # noqa: E731
            self.assertLess(await world.until(done), 5.0)
            self.assertNotIn("ghost", rest[2].table.live_ids())

        run_world(scenario)

    def test_store_outage_of_60_s_stops_nothing(self):
        async def scenario(world):
            world.server.faults.down = True
            world.server._notify()
            for _ in range(60):
                await trio.sleep(1)
                for instance in world.instances.values():
                    self.assertEqual(instance.key_state(), "active")
            world.server.faults.down = False
            await world.write_key("withdrawn")
            rest = list(world.instances.values())
            done = lambda: all(i.key_state() == "withdrawn" for i in rest)  # noqa: E731
            self.assertLess(await world.until(done), 5.0)

        run_world(scenario)


if __name__ == "__main__":
    unittest.main()
