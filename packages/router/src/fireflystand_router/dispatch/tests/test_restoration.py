"""Test what instances know after the store is restored from an earlier copy."""

import unittest

import attrs
import trio

from fireflystand_core.exceptions import StoreConflictError
from fireflystand_core.ranges import RangeRecord
from fireflystand_core.replica import ObjectChange, era_of, make_revision
from fireflystand_core.traffic import EntryLimits, RoutingTable, TargetRecord

from ...exposition import MetricsPage
from ..ports import (
    CONFIGURATION,
    DEPARTURES,
    INSTANCES,
    RANGES,
    TARGETS,
    KindSnapshot,
)
from ..restoration import LAPSE_PERIOD
from ..state import REGISTRATION_PERIOD, RETURN_PERIOD, RoutingState
from .node_support import Caller, SharedStore, eventually, play_with_targets

WATCH_PERIOD = 3.0  # seconds for which what must not happen is watched
CALLERS_PER_NODE = 3


class FleetTests(unittest.TestCase):
    """Guard against targets, departures and instances that a restoration changes."""

    def test_target_that_said_it_leaves_gets_nothing(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            leaving = fleet.targets[1]
            for target in fleet.targets:
                target.work = 0.02  # so that requests at once need both targets
            await self.send_for(fleet, 0.5)
            self.assertNotEqual(leaving.requests, [])
            record = fleet.store.objects[TARGETS]["t2"].value
            fleet.store.write(TARGETS, "t2", record | {"leaving": True})
            await eventually(
                lambda: all(not n.state.usable_target("t2") for n in fleet.nodes)
            )
            fleet.store.restore(copy)
            leaving.requests.clear()
            await self.send_for(fleet, WATCH_PERIOD)
            self.assertEqual(leaving.requests, [])

        play_with_targets(scenario)

    async def send_for(self, fleet, seconds: float) -> None:
        """Send requests at once for some seconds; all must succeed."""
        ends_at = trio.current_time() + seconds

        async def send(node) -> None:
            caller = await Caller.connect(node)
            while trio.current_time() < ends_at:
                self.assertEqual((await caller.request("/p/x"))[0], 200)
            await caller.close()

        async with trio.open_nursery() as nursery:
            for node in fleet.nodes * CALLERS_PER_NODE:
                nursery.start_soon(send, node)

    def test_target_that_registered_in_the_lost_seconds_stays_usable(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            await fleet.add_target("pooled")
            record = fleet.store.objects[TARGETS]["t4"].value
            await fleet.settle()
            fleet.store.restore(copy)
            ends_at = trio.current_time() + WATCH_PERIOD
            while trio.current_time() < ends_at:
                if trio.current_time() > ends_at - 2.0:
                    fleet.store.write(TARGETS, "t4", record)
                for node in fleet.nodes:
                    self.assertIsNotNone(node.state.usable_target("t4"))
                await trio.sleep(0.02)
            self.assertEqual({node.state.era for node in fleet.nodes}, {1})

        play_with_targets(scenario)

    def test_evacuation_in_the_lost_seconds_holds(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            fleet.store.write(DEPARTURES, "x", {})
            await eventually(lambda: all(self.has_left(n) for n in fleet.nodes))
            fleet.store.restore(copy)
            ends_at = trio.current_time() + WATCH_PERIOD
            while trio.current_time() < ends_at:
                if trio.current_time() > ends_at - 2.0:
                    fleet.store.write(DEPARTURES, "x", {})
                self.assertTrue(all(self.has_left(node) for node in fleet.nodes))
                await trio.sleep(0.02)
            self.assertEqual({node.state.era for node in fleet.nodes}, {1})

        play_with_targets(scenario)

    def has_left(self, node) -> bool:
        return not node.state.usable_targets("pooled")

    def test_instances_register_again_and_stay_live(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            copy.objects.pop(INSTANCES)
            changes = [node.membership.live_set_version for node in fleet.nodes]
            fleet.store.restore(copy)
            await eventually(
                lambda: len(fleet.store.objects.get(INSTANCES, {})) == len(fleet.nodes)
            )
            await trio.sleep(RETURN_PERIOD + 0.5)
            for node, version in zip(fleet.nodes, changes, strict=True):
                self.assertEqual(node.membership.live_set_version, version)
                self.assertEqual(len(node.state.instances_by_id), len(fleet.nodes))

        play_with_targets(scenario)

    def test_metrics_page_shows_the_era(self):
        async def scenario(fleet):
            fleet.store.restore(fleet.store.copy())
            node = fleet.nodes[0]
            await eventually(lambda: node.state.era == 1)
            node._update_gauges()
            self.assertIn("store_era 1", MetricsPage(node.metrics).render())

        play_with_targets(scenario, nodes=1)


class StateTests(unittest.TestCase):
    """Guard against restored records that replace what is known to be newer."""

    def setUp(self):
        self.now = 100.0

    def new_state(self) -> RoutingState:
        return RoutingState(
            lambda value: RoutingTable(value["version"], [], [], [], EntryLimits()),
            lambda change: attrs.evolve(change.value, version=change.version),
            lambda: self.now,
        )

    def run_scenario(self, scenario) -> None:
        async def main():
            scenario(self.new_state())

        trio.run(main)

    def list(self, state, kind: str, revision: int, **values) -> None:
        """Apply a list in which each object has the number 5."""
        version = make_revision(era_of(revision), 5)
        items = [ObjectChange(name, version, value) for name, value in values.items()]
        state.replace(kind, revision, items, self.now)

    def write(self, state, kind: str, version: int, name: str, value) -> None:
        """Apply one change that the store made after the last list."""
        change = ObjectChange(name, version, value)
        since = state.replicas_by_kind[kind].revision
        state.apply(kind, since, version, [change], self.now)

    def expire_after_read(self, state) -> set[str]:
        """Let what is kept end; before the store is read again, nothing may."""
        self.assertEqual(state.expire(), set())
        self.list(state, CONFIGURATION, make_revision(1, 15), main={"version": 1})
        return state.expire()

    def target(self, **fields) -> TargetRecord:
        return TargetRecord("t", "s", "10.0.0.1:1", "x", 3, **fields)

    def test_older_configuration_is_held_in_the_newest_content(self):
        """Peers and starting instances copied the restored one."""

        def scenario(state):
            self.list(state, CONFIGURATION, 20, main={"version": 13})
            restored = make_revision(1, 15)
            self.list(state, CONFIGURATION, restored, main={"version": 11})
            held = state.replicas_by_kind[CONFIGURATION].by_name["main"]
            self.assertEqual(held.value, {"version": 13})
            self.assertEqual(held.version, make_revision(1, 5))
            self.write(state, CONFIGURATION, restored + 1, "main", {"version": 12})
            self.assertEqual(state.table.version, 13)
            held = state.replicas_by_kind[CONFIGURATION].by_name["main"]
            self.assertEqual(
                (held.version, held.value), (restored + 1, {"version": 13})
            )
            self.write(state, CONFIGURATION, restored + 2, "main", {"version": 14})
            self.assertEqual(state.table.version, 14)

        self.run_scenario(scenario)

    def test_newer_configuration_of_a_peer_is_taken_at_the_same_version(self):
        def scenario(state):
            revision = make_revision(1, 15)
            self.list(state, CONFIGURATION, revision, main={"version": 11})
            self.list(state, CONFIGURATION, revision, main={"version": 13})
            self.assertEqual(state.table.version, 13)
            # A late push of before the restoration may hold a newer one, too.
            self.list(state, CONFIGURATION, 30, main={"version": 14})
            self.assertEqual(state.table.version, 14)
            self.assertEqual(state.replicas_by_kind[CONFIGURATION].revision, revision)

        self.run_scenario(scenario)

    def record(self, *, epoch: int, next_fence: int) -> dict:
        record = RangeRecord("s", epoch=epoch, next_fence=next_fence, holder="a")
        return record.to_value()

    def test_older_range_record_keeps_the_newest_content_at_the_stored_version(self):
        def scenario(state):
            self.list(state, RANGES, 20, s=self.record(epoch=3, next_fence=40))
            restored = make_revision(1, 15)
            self.list(state, RANGES, restored, s=self.record(epoch=3, next_fence=30))
            self.assertEqual(state.records_by_service["s"].next_fence, 40)
            self.assertEqual(state.range_version("s"), make_revision(1, 5))
            value = self.record(epoch=4, next_fence=31)
            self.write(state, RANGES, restored + 1, "s", value)
            self.assertEqual(state.records_by_service["s"].epoch, 4)

        self.run_scenario(scenario)

    def test_lost_range_record_is_kept_and_can_be_created(self):
        """A new record began with fencing tokens that had been given out."""

        def scenario(state):
            self.list(state, RANGES, 20, s=self.record(epoch=3, next_fence=40))
            restored = make_revision(1, 15)
            for _ in range(2):
                self.list(state, RANGES, restored)
                self.assertEqual(state.records_by_service["s"].next_fence, 40)
                self.assertEqual(state.range_version("s"), make_revision(1, 0))
            copied = self.new_state()
            items = list(state.replicas_by_kind[RANGES].by_name.values())
            copied.replace(RANGES, restored, items, self.now)
            self.assertEqual(copied.records_by_service["s"].next_fence, 40)

        self.run_scenario(scenario)

    def test_target_that_the_list_lacks_is_removed_after_the_recovery(self):
        def scenario(state):
            self.list(state, TARGETS, 20, t=self.target())
            self.list(state, TARGETS, make_revision(1, 15))
            self.now += RETURN_PERIOD - 0.1
            state.expire()
            self.assertIsNotNone(state.usable_target("t"))
            self.now += 0.2
            state.expire()
            self.assertIsNone(state.usable_target("t"))

        self.run_scenario(scenario)

    def test_record_of_an_older_process_does_not_replace_the_newer_one(self):
        def scenario(state):
            self.list(state, TARGETS, 20, t=self.target(started_at=7))
            self.list(state, TARGETS, make_revision(1, 15), t=self.target(started_at=3))
            self.assertEqual(state.targets_by_id["t"].started_at, 7)

        self.run_scenario(scenario)

    def test_target_that_left_before_is_leaving_in_copies_too(self):
        def scenario(state):
            self.list(state, TARGETS, 20, t=self.target(leaving=True))
            self.list(state, TARGETS, make_revision(1, 15), t=self.target())
            self.assertIsNone(state.usable_target("t"))
            held = state.replicas_by_kind[TARGETS].by_name["t"]
            self.assertTrue(held.value.leaving)
            # A new process under the same id is not leaving.
            value = self.target(started_at=9)
            self.write(state, TARGETS, make_revision(1, 16), "t", value)
            self.assertIsNotNone(state.usable_target("t"))

        self.run_scenario(scenario)

    def test_removed_target_that_reappears_gets_nothing_until_it_is_back(self):
        def restored(state) -> None:
            self.list(state, TARGETS, 20, t=self.target())
            self.write(state, TARGETS, 21, "t", None)
            self.list(state, TARGETS, make_revision(1, 15), t=self.target())
            self.assertIsNone(state.usable_target("t"))

        def written_again(state):
            restored(state)
            value = self.target(cold_for=1.0)
            self.write(state, TARGETS, make_revision(1, 16), "t", value)
            self.assertIsNotNone(state.usable_target("t"))

        def listed_for_long(state):
            restored(state)
            self.now += LAPSE_PERIOD - 0.1
            state.expire()
            self.assertIsNone(state.usable_target("t"))
            self.now += 0.2
            self.assertIn(TARGETS, self.expire_after_read(state))
            self.assertIsNotNone(state.usable_target("t"))

        def lapsed(state):
            restored(state)
            self.write(state, TARGETS, make_revision(1, 16), "t", None)
            self.assertNotIn("t", state.targets_by_id)

        for scenario in (written_again, listed_for_long, lapsed):
            with self.subTest(scenario.__name__):
                self.run_scenario(scenario)

    def test_target_that_starts_again_after_its_removal_is_used_at_once(self):
        def scenario(state):
            self.list(state, TARGETS, 20, t=self.target(started_at=3))
            self.write(state, TARGETS, 21, "t", None)
            self.list(state, TARGETS, make_revision(1, 15), t=self.target(started_at=4))
            self.assertIsNotNone(state.usable_target("t"))

        self.run_scenario(scenario)

    def test_unchanged_target_is_not_cold_again(self):
        """Its report of long ago counted as new and throttled the target."""

        def scenario(state):
            self.list(state, TARGETS, 20, t=self.target(cold_for=5.0))
            before = state.targets_by_id["t"]
            notified = []
            state.listeners.append(notified.append)
            restored = make_revision(1, 15)
            self.list(state, TARGETS, restored, t=self.target(cold_for=5.0))
            self.assertIs(state.targets_by_id["t"], before)
            self.assertEqual(notified, [])

        self.run_scenario(scenario)

    def test_instance_that_the_list_lacks_is_kept_until_it_could_register(self):
        """It may miss the push that shows this, and heartbeats take 2 s."""

        def scenario(state):
            value = {"incarnation": "1", "address": "h:1", "data_centre": "x"}
            self.list(state, INSTANCES, 20, a=value)
            self.list(state, INSTANCES, make_revision(1, 15))
            self.assertFalse(state.is_registered("a", "1"))
            self.now += REGISTRATION_PERIOD - 0.1
            state.expire()
            self.assertIn("a", state.instances_by_id)
            self.now += 0.2
            self.assertIn(INSTANCES, self.expire_after_read(state))
            self.assertNotIn("a", state.instances_by_id)

        self.run_scenario(scenario)

    def test_departure_that_the_list_lacks_ends_after_the_recovery(self):
        def scenario(state):
            self.list(state, DEPARTURES, 20, x={}, y={})
            self.list(state, DEPARTURES, make_revision(1, 15), y={})
            self.assertEqual(state.departed_data_centres, {"x", "y"})
            self.now += RETURN_PERIOD + 0.1
            self.assertIn(DEPARTURES, self.expire_after_read(state))
            self.assertEqual(state.departed_data_centres, {"y"})

        self.run_scenario(scenario)

    def test_departure_that_is_taken_back_after_the_restoration_ends_at_once(self):
        def scenario(state):
            self.list(state, DEPARTURES, 20, x={})
            restored = make_revision(1, 15)
            self.list(state, DEPARTURES, restored)
            self.write(state, DEPARTURES, restored + 1, "x", {})
            self.write(state, DEPARTURES, restored + 2, "x", None)
            self.assertEqual(state.departed_data_centres, set())

        self.run_scenario(scenario)


class SharedStoreTests(unittest.TestCase):
    """Guard against a stand-in that differs from a store that is restored."""

    def test_restored_stand_in_has_no_history_and_refuses_earlier_versions(self):
        async def main():
            store = SharedStore()
            version = store.write(TARGETS, "t", {})
            copy = store.copy()
            store.write(TARGETS, "t", {"a": 1})
            store.restore(copy)
            self.assertIsNone(await store.watch(TARGETS, version, 0.0))
            with self.assertRaises(StoreConflictError):
                await store.put(TARGETS, "t", {}, version)
            listed = await store.list(TARGETS)
            self.assertEqual(
                listed, KindSnapshot(make_revision(1, version), listed.items)
            )
            self.assertEqual(listed.items[0].value, {})

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
