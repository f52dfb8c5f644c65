"""Test the coordinator of key ranges against fake targets and a fake store."""

import unittest

import trio
import trio.testing

from fireflystand_core.messages import WorkReport
from fireflystand_core.ranges import RangeRecord

from ..ranges import RangeCoordinator
from .support import SERVICE, World


def play(scenario, targets: int = 3) -> World:
    """Run a scenario with a world, on a clock that jumps over waits."""
    world = World(targets)

    async def main():
        async with trio.open_nursery() as nursery:
            await scenario(world, nursery)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return world


async def started(world: World, nursery: trio.Nursery) -> RangeCoordinator:
    """Return the coordinator of instance ``a`` once it has given all keys out."""
    coordinator = world.coordinator()
    nursery.start_soon(coordinator.run)
    await trio.sleep(3)
    return coordinator


class SoleOwnerTests(unittest.TestCase):
    """Guard against keys with two owners, or with none for too long."""

    def assert_served(self, world: World) -> None:
        for key in (0, 22000, 44000, 65535):
            self.assertEqual(len(world.owners(key)), 1, key)
        self.assertEqual(world.control.violations, [])

    def test_every_key_gets_one_owner(self):
        async def scenario(world, nursery):
            nursery.start_soon(world.coordinator().run)
            await trio.sleep(8)
            self.assert_served(world)

        play(scenario)

    def test_range_that_moves_during_its_renewal_is_not_renewed(self):
        """A slow renewal read the record before the move and gave keys back."""

        async def scenario(world, nursery):
            coordinator = world.coordinator()
            nursery.start_soon(coordinator.run)
            await trio.sleep(2)
            world.control.grant_time = 0.15
            for _ in range(60):
                report = WorkReport(
                    SERVICE, 0.5, [[k, 9] for k in range(0, 600, 20)], []
                )
                coordinator.load.add_report(report)
                await trio.sleep(0.25)
            self.assertGreater(len(world.record().ranges), 4)
            self.assertEqual(world.control.violations, [])

        play(scenario)

    def test_silent_target_keeps_its_keys_until_its_hold_ends(self):
        async def scenario(world, nursery):
            await started(world, nursery)
            world.targets[0].reachable = False
            await trio.sleep(6)
            self.assert_served(world)

        play(scenario)

    def test_silent_target_that_answers_again_gets_keys(self):
        """Targets that a cut had silenced stayed without keys for good."""

        async def scenario(world, nursery):
            await started(world, nursery)
            world.targets[0].reachable = False
            await trio.sleep(6)
            self.assertNotIn("t0", world.record().ranges_by_target)
            world.targets[0].reachable = True
            await trio.sleep(4)
            self.assertIn("t0", world.record().ranges_by_target)
            self.assert_served(world)

        play(scenario)

    def test_target_whose_entry_ended_gives_its_keys_back(self):
        async def scenario(world, nursery):
            coordinator = await started(world, nursery)
            world.forget(coordinator, "t1")
            await trio.sleep(1)
            self.assert_served(world)
            self.assertNotIn("t1", {r.target for r in world.record().ranges})

        play(scenario)

    def test_unanswered_grants_bound_the_move(self):
        async def scenario(world, nursery):
            await started(world, nursery)
            world.targets[2].answering = False
            await trio.sleep(8)
            self.assert_served(world)

        play(scenario)

    def test_second_coordinator_takes_over_without_two_owners(self):
        async def scenario(world, nursery):
            first = await started(world, nursery)
            second = world.coordinator("b")
            change = world.store.objects["ranges", SERVICE]
            second.state.apply("ranges", 1, change.version, [change], 0.0)
            nursery.start_soon(second.run)
            await trio.sleep(1)
            first.mesh.live.append("b")
            # The first one still renews when the second one moves keys.
            world.forget(second, "t0")
            await trio.sleep(12)
            self.assertFalse(first.leading)
            self.assert_served(world)

        play(scenario)

    def test_late_grant_of_a_resigned_coordinator_gives_no_key_back(self):
        """The store turned a coordinator away while its grants were held up."""

        async def scenario(world, nursery):
            first = await started(world, nursery)
            second = world.coordinator("b")
            change = world.store.objects["ranges", SERVICE]
            second.state.apply("ranges", 1, change.version, [change], 0.0)
            second.mesh.live.append("a")
            first.mesh.live.append("b")
            nursery.start_soon(second.run)
            await trio.sleep(2)
            for target in world.targets:
                target.late = 1.5
            await trio.sleep(1.1)
            await first.stop()
            second.note_resigned(1)
            for target in world.targets:
                target.late = 0.0
            await trio.sleep(0.3)
            self.assertTrue(second.leading)
            world.forget(second, "t0")
            await trio.sleep(6)
            self.assert_served(world)

        play(scenario)

    def test_claim_waits_anew_when_another_instance_has_claimed(self):
        """An instance took a service from a live one when a cut had healed.

        It had waited for its claim during the cut, and had not met the new holder.
        """

        async def scenario(world, nursery):
            record = RangeRecord(SERVICE).claim("a", "a1")
            await world.store.put("ranges", SERVICE, record.to_value(), 0)
            second = world.coordinator("b")
            second.mesh.visible_share = 0.2
            second.state.apply("ranges", 1, 1, world.store.history[-1:], 0.0)
            nursery.start_soon(second.run)
            await trio.sleep(5.0)
            self.assertTrue(second.leading)

            third = world.coordinator("c")
            third.mesh.visible_share = 0.2
            third.state.apply("ranges", 1, 1, world.store.history[:1], 0.0)
            nursery.start_soon(third.run)
            await trio.sleep(4.4)
            third.state.apply("ranges", 2, 9, world.store.history[-1:], 0.0)
            await trio.sleep(1.0)
            self.assertFalse(third.leading)

        play(scenario)

    def test_coordinator_whose_process_has_ended_is_not_waited_for(self):
        """A killed coordinator was waited for as long as one that is cut off."""

        async def scenario(world, nursery):
            first = await started(world, nursery)
            first.resign("killed")
            first._stopping = True
            second = world.coordinator("b")
            second.mesh.ended.add(("a", "a1"))
            second.state.apply("ranges", 1, 9, world.store.history[-1:], 0.0)
            world.targets[0].reachable = False
            nursery.start_soon(second.run)
            await trio.sleep(8.5)
            self.assertTrue(second.leading)
            self.assertNotIn("t0", world.record().ranges_by_target)
            self.assert_served(world)

        play(scenario)

    def test_target_that_returns_after_a_cut_is_fenced_off_at_once(self):
        """Its keys waited for the end of an earlier coordinator's authority."""

        async def scenario(world, nursery):
            first = await started(world, nursery)
            key = world.record().owned_by("t0")[0].first
            world.targets[0].reachable = False
            first.resign("cut off")
            first._stopping = True
            second = world.coordinator("b")
            second.state.apply("ranges", 1, 9, world.store.history[-1:], 0.0)
            nursery.start_soon(second.run)
            await trio.sleep(6)
            self.assertTrue(second.leading)
            self.assertEqual(world.owners(key), [])
            world.targets[0].reachable = True
            await trio.sleep(2)
            self.assert_served(world)

        play(scenario)

    def test_lost_answer_of_a_record_write_is_read_back(self):
        async def scenario(world, nursery):
            coordinator = await started(world, nursery)
            world.store.losing = 1
            world.forget(coordinator, "t2")
            await trio.sleep(5)
            self.assert_served(world)

        play(scenario)

    def test_changes_of_an_ended_claim_are_not_written_by_the_next(self):
        """A change waited behind another write when its claim ended."""

        async def scenario(world, nursery):
            coordinator = await started(world, nursery)
            world.store.delay = 0.5

            async def change(target: str) -> None:
                await coordinator.writer.change(
                    lambda record: record.assign(0, 9, target)
                )

            async with trio.open_nursery() as tasks:
                tasks.start_soon(change, "t1")
                await trio.sleep(0.1)
                tasks.start_soon(change, "stale")
                await trio.sleep(0.1)
                coordinator.resign("test")
                tasks.cancel_scope.cancel()
            world.store.delay = 0.0
            await trio.sleep(4)
            self.assertTrue(coordinator.leading)
            world.forget(coordinator, "t0")
            await trio.sleep(6)
            for written in world.store.history:
                record = RangeRecord.from_value(written.value)
                self.assertNotIn("stale", record.ranges_by_target)

        play(scenario)

    def test_changes_that_wait_for_the_store_are_written_together(self):
        """Guards against a write, and a copy to all instances, for each move."""

        async def scenario(world, nursery):
            coordinator = await started(world, nursery)
            world.store.delay = 0.3
            before = world.store.revision
            async with trio.open_nursery() as changes:
                for first in range(0, 1000, 100):
                    changes.start_soon(
                        coordinator.writer.change,
                        lambda record, f=first: record.assign(f, f + 9, "t1"),
                    )
            self.assertEqual(world.record().owner(905).target, "t1")
            # The first one is written alone, the others while it is on its way.
            self.assertLessEqual(world.store.revision - before, 3)

        play(scenario)

    def test_authority_ends_without_the_store(self):
        async def scenario(world, nursery):
            await started(world, nursery)
            world.store.down = True
            await trio.sleep(5)
            self.assert_served(world)
            await trio.sleep(7)
            self.assertEqual(world.owners(0), [])
            world.store.down = False
            await trio.sleep(2.5)
            self.assert_served(world)

        play(scenario)


if __name__ == "__main__":
    unittest.main()
