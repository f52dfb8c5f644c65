"""Test how instances learn what a store holds that was restored from a copy."""

import unittest

import trio
import trio.testing

from fireflystand_core.messages import RecordPatch, ReplicaCopy
from fireflystand_core.ranges import RangeRecord
from fireflystand_core.replica import ObjectChange, era_of, make_revision
from fireflystand_core.traffic import ClientAccount

from ..ports import DEPARTURES, KINDS, RANGES, TARGETS
from ..replicas import ReplicaSync
from ..state import RoutingState
from .node_support import (
    Caller,
    SharedStore,
    eventually,
    play_with_targets,
    read_record,
)
from .test_replicas import StubMembership

APPLY_LIMIT = 2.0  # seconds until a change is in force
WATCH_PERIOD = 3.0  # seconds for which what must not happen is watched
LISTS_PER_KIND = 4  # after a restoration, of two watchers
LOST_WRITES = 50
OLD_KEY = "key-1"
NEW_KEY = "key-2"


def bearer(key: str) -> dict[str, str]:
    """Return the field with an API key."""
    return {"Authorization": f"Bearer {key}"}


def accounts(*keys: str) -> list[ClientAccount]:
    """Return an account with keys."""
    return [ClientAccount("shop", keys)]


class ConfigurationTests(unittest.TestCase):
    """Guard against configurations that are missed, or older after a restoration.

    Every list of the restored store was dropped, as its revision was lower.
    """

    def write_what_is_lost(self, fleet) -> None:
        """Write a target's record often, so that the revision is well ahead."""
        record = fleet.store.objects[TARGETS]["t1"].value
        for _ in range(LOST_WRITES):
            fleet.store.write(TARGETS, "t1", record)

    def test_configuration_added_after_the_restoration_is_served(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            fleet.configure(2)
            self.write_what_is_lost(fleet)
            await fleet.settle()
            fleet.store.restore(copy)
            fleet.configure(2)
            fleet.configure(3, accounts=accounts(NEW_KEY))
            with trio.move_on_after(APPLY_LIMIT):
                await eventually(lambda: versions(fleet) == [3, 3])
            for node in fleet.nodes:
                caller = await Caller.connect(node)
                self.assertEqual((await caller.request("/p/x"))[0], 401)
                status, _ = await caller.request("/p/x", **bearer(NEW_KEY))
                self.assertEqual(status, 200)

        def versions(fleet):
            return [node.state.table.version for node in fleet.nodes]

        play_with_targets(scenario)

    def test_restoration_causes_no_storm_of_lists(self):
        async def scenario(fleet):
            copy = fleet.store.copy()
            self.write_what_is_lost(fleet)
            await trio.sleep(0.5)
            fleet.store.restore(copy)
            before = fleet.store.calls["list"]
            await trio.sleep(WATCH_PERIOD)
            lists = fleet.store.calls["list"] - before
            self.assertLessEqual(lists, LISTS_PER_KIND * len(KINDS))

        play_with_targets(scenario)

    async def refuse_old_key(self, fleet, node, seconds: float) -> None:
        """Check for some seconds that an instance serves the new key only."""
        caller = await Caller.connect(node)
        ends_at = trio.current_time() + seconds
        while trio.current_time() < ends_at:
            status, _ = await caller.request("/p/x", **bearer(OLD_KEY))
            self.assertEqual(status, 401)
            status, _ = await caller.request("/p/x", **bearer(NEW_KEY))
            self.assertEqual(status, 200)
            await trio.sleep(0.05)

    async def restore_with_old_key(self, fleet) -> None:
        """Withdraw an API key, then restore the store from a copy that holds it."""
        fleet.configure(2, accounts=accounts(OLD_KEY, NEW_KEY))
        await fleet.settle()
        copy = fleet.store.copy()
        fleet.configure(3, accounts=accounts(NEW_KEY))
        await fleet.settle()
        fleet.store.restore(copy)

    def test_withdrawn_key_stays_refused_on_a_running_instance(self):
        async def scenario(fleet):
            await self.restore_with_old_key(fleet)
            async with trio.open_nursery() as nursery:
                for node in fleet.nodes:
                    nursery.start_soon(self.refuse_old_key, fleet, node, WATCH_PERIOD)
            eras = {node.state.era for node in fleet.nodes}
            self.assertEqual(eras, {1})

        play_with_targets(scenario)

    def test_withdrawn_key_is_refused_on_an_instance_that_starts(self):
        """Its first configuration was the restored one, whose key was withdrawn."""

        def scenario_with(seeds_of):
            async def scenario(fleet):
                await self.restore_with_old_key(fleet)
                first = fleet.nodes[0]
                await eventually(lambda: first.state.era == 1)
                node = await fleet.add_node(seeds=seeds_of(first.network.address))
                await eventually(lambda: node.state.table is not None)
                if not seeds_of(""):
                    with trio.move_on_after(APPLY_LIMIT):
                        await eventually(lambda: node.state.table.version == 3)
                await self.refuse_old_key(fleet, node, 1.0)

            return scenario

        cases = {
            "no seeds": lambda address: (),
            "seeds": lambda address: (address,),
            "is a seed": lambda address: ("127.0.0.1:0", address),
        }
        for name, seeds_of in cases.items():
            with self.subTest(name):
                play_with_targets(scenario_with(seeds_of))


class ReplicaSyncTests(unittest.TestCase):
    """Guard against peers and calls of before a restoration that undo it."""

    def new_sync(self, store=None) -> ReplicaSync:
        state = RoutingState(lambda value: None, read_record)
        return ReplicaSync(store or SharedStore(), state, StubMembership())

    def value(self, slots: int) -> dict:
        return {"service": "s", "address": "h:1", "data_centre": "x", "slots": slots}

    def test_push_after_a_restoration_is_a_complete_copy(self):
        """A peer with an object that its sender never had kept it for good."""

        async def main():
            store = SharedStore()
            sync = self.new_sync(store)
            store.write(TARGETS, "t1", self.value(1))
            await sync._fetch(TARGETS)
            copy = store.copy()
            for number in range(2, 9):
                store.write(TARGETS, f"t{number}", self.value(1))
            peer = self.new_sync(store)
            await peer._fetch(TARGETS)
            store.restore(copy)
            store.write(TARGETS, "t1", self.value(2))
            sync._membership.sent.clear()
            await sync._fetch(TARGETS)
            (pushed,) = sync._membership.sent
            self.assertEqual(pushed.since, 0)
            peer._handle_push(pushed, None, None)
            replica = peer._state.replicas_by_kind[TARGETS]
            self.assertEqual(list(replica.by_name), ["t1"])
            self.assertEqual(replica.revision, store.revision)

        trio.run(main)

    def test_push_and_patch_of_before_do_nothing(self):
        async def main():
            store = SharedStore()
            sync = self.new_sync(store)
            store.write(TARGETS, "t1", self.value(1))
            early = self.new_sync(store)
            await early._fetch(TARGETS)
            await sync._fetch(TARGETS)
            store.restore(store.copy())
            for kind in (TARGETS, RANGES):
                await sync._fetch(kind)
            early.push(TARGETS, 0, 90, [ObjectChange("t9", 90, self.value(1))])
            early.push(TARGETS, 89, 90, [ObjectChange("t9", 90, self.value(1))])
            for copy in early._membership.sent[-2:]:
                self.assertIsInstance(copy, ReplicaCopy)
                sync._handle_push(copy, None, None)
            sync._handle_patch(RecordPatch("s", 3, 9, b""), None, None)
            replica = sync._state.replicas_by_kind[TARGETS]
            self.assertEqual(list(replica.by_name), ["t1"])
            self.assertEqual(era_of(replica.revision), 1)

        trio.run(main)

    def test_patch_of_another_record_with_the_same_version_is_not_applied(self):
        """Ranges of two records were mixed, since the version did not tell them."""

        async def main():
            sender, receiver = self.new_sync(), self.new_sync()
            revision = make_revision(1, 15)
            record = RangeRecord("s", epoch=1, next_fence=5)
            newer = record.assign(0, 9, "t9")
            for sync, known in ((sender, record), (receiver, newer)):
                change = ObjectChange("s", revision, known.to_value())
                sync._state.replace(RANGES, revision, [change], 0.0)
            before = sender._state.replicas_by_kind[RANGES].by_name["s"]
            value = record.assign(20, 29, "t1").assign(30, 39, "t2").to_value()
            change = ObjectChange("s", revision + 1, value)
            sender.broadcast_record(change, before)
            (patch,) = sender._membership.sent
            receiver._handle_patch(patch, None, None)
            self.assertEqual(receiver._state.records_by_service["s"], newer)

        trio.run(main)

    def test_store_without_history_is_not_asked_without_pause(self):
        """Each watch failed and each list succeeded, so nothing slowed the calls."""

        async def main():
            store = SharedStore()
            sync = self.new_sync(store)
            store.write(TARGETS, "t1", self.value(1))

            async def watch(kind, since, wait):
                await trio.sleep(0.002)

            store.watch = watch
            sync._should_watch = lambda kind: True
            with trio.move_on_after(10.0):
                await sync._follow(TARGETS)
            self.assertLess(store.calls["list"], 20)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_restoration_that_one_kind_shows_ends_the_watches_of_the_others(self):
        """They went on for seconds on connections that had no store any more."""

        async def main():
            store = SharedStore()
            sync = self.new_sync(store)
            for kind in (TARGETS, DEPARTURES):
                await sync._fetch(kind)

            async def hang(kind, since, wait):
                await trio.sleep_forever()

            fetched = trio.Event()

            async def fetch():
                await sync._fetch(TARGETS)
                fetched.set()

            async with trio.open_nursery() as nursery:
                store.watch = hang
                nursery.start_soon(fetch)
                await trio.testing.wait_all_tasks_blocked()
                store.restore(store.copy())
                store.write(DEPARTURES, "x", {})
                snapshot = await store.list(DEPARTURES)
                items = (snapshot.revision, snapshot.items, 0.0)
                with trio.fail_after(1.0):
                    sync._state.replace(DEPARTURES, *items)
                    await fetched.wait()
            self.assertEqual(era_of(sync._state.replicas_by_kind[TARGETS].revision), 1)

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
