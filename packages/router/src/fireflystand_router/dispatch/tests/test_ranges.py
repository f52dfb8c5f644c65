"""Test the coordinator of key ranges against fake targets and a fake store."""

import unittest
from collections.abc import Callable
from functools import partial

import trio
import trio.testing

from fireflystand_core.messages import WorkReport
from fireflystand_core.ranges import KeyRange, LeaseTiming, RangeRecord

from ..ports import CONFIGURATION, RANGES
from ..ranges import RESIGN_AFTER, RangeCoordinator
from .support import SERVICE, FakeCluster, FakeTarget


def run_scenario(scenario, targets: int = 3) -> FakeCluster:
    """Run a scenario on a fake cluster, with a clock that skips waits."""
    cluster = FakeCluster(targets)

    async def main():
        async with trio.open_nursery() as nursery:
            await scenario(cluster, nursery)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return cluster


async def start_coordinator(
    cluster: FakeCluster, nursery: trio.Nursery
) -> RangeCoordinator:
    """Start instance ``a``'s coordinator; return it once all keys are granted."""
    coordinator = cluster.new_coordinator()
    nursery.start_soon(coordinator.run)
    await trio.sleep(3)
    return coordinator


class OwnershipTestCase(unittest.TestCase):
    """Check that keys have one owner each."""

    def assert_sole_owners(self, cluster: FakeCluster) -> None:
        for key in (0, 22000, 44000, 65535):
            self.assertEqual(len(cluster.owners(key)), 1, key)
        self.assertEqual(cluster.control.violations, [])


class SoleOwnerTests(OwnershipTestCase):
    """Guard against keys with two owners, or without an owner for too long."""

    def test_every_key_gets_one_owner(self):
        async def scenario(cluster, nursery):
            nursery.start_soon(cluster.new_coordinator().run)
            await trio.sleep(8)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_range_that_moves_during_its_renewal_is_not_renewed(self):
        """A slow renewal used the record from before a move and granted moved keys."""

        async def scenario(cluster, nursery):
            coordinator = cluster.new_coordinator()
            nursery.start_soon(coordinator.run)
            await trio.sleep(2)
            cluster.control.grant_time = 0.15
            for _ in range(60):
                report = WorkReport(
                    SERVICE, 0.5, [[k, 9] for k in range(0, 600, 20)], []
                )
                coordinator.load.add_report(report)
                await trio.sleep(0.25)
            self.assertGreater(len(cluster.record().ranges), 4)
            self.assertEqual(cluster.control.violations, [])

        run_scenario(scenario)

    def test_silent_target_keeps_its_keys_until_its_hold_ends(self):
        async def scenario(cluster, nursery):
            await start_coordinator(cluster, nursery)
            cluster.targets[0].reachable = False
            await trio.sleep(6)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_silent_target_that_answers_again_gets_keys(self):
        """Targets that a network partition had cut off never got keys again."""

        async def scenario(cluster, nursery):
            await start_coordinator(cluster, nursery)
            cluster.targets[0].reachable = False
            await trio.sleep(6)
            self.assertNotIn("t0", cluster.record().ranges_by_target)
            cluster.targets[0].reachable = True
            await trio.sleep(4)
            self.assertIn("t0", cluster.record().ranges_by_target)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_target_whose_entry_ended_gives_its_keys_back(self):
        async def scenario(cluster, nursery):
            coordinator = await start_coordinator(cluster, nursery)
            cluster.remove_target_record(coordinator, "t1")
            await trio.sleep(1)
            self.assert_sole_owners(cluster)
            self.assertNotIn("t1", {r.target for r in cluster.record().ranges})

        run_scenario(scenario)

    def test_unanswered_grants_bound_the_move(self):
        async def scenario(cluster, nursery):
            await start_coordinator(cluster, nursery)
            cluster.targets[2].responding = False
            await trio.sleep(8)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_second_coordinator_takes_over_without_two_owners(self):
        async def scenario(cluster, nursery):
            first = await start_coordinator(cluster, nursery)
            second = cluster.new_coordinator("b")
            change = cluster.store.objects["ranges", SERVICE]
            second.state.apply("ranges", 1, change.version, [change], 0.0)
            nursery.start_soon(second.run)
            await trio.sleep(1)
            first.membership.live.append("b")
            # The first coordinator still renews leases when the second one moves keys.
            cluster.remove_target_record(second, "t0")
            await trio.sleep(12)
            self.assertFalse(first.is_coordinator)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_late_grant_of_a_resigned_coordinator_gives_no_key_back(self):
        """A coordinator refused by the store resigned while its grants were delayed."""

        async def scenario(cluster, nursery):
            first = await start_coordinator(cluster, nursery)
            second = cluster.new_coordinator("b")
            change = cluster.store.objects["ranges", SERVICE]
            second.state.apply("ranges", 1, change.version, [change], 0.0)
            second.membership.live.append("a")
            first.membership.live.append("b")
            nursery.start_soon(second.run)
            await trio.sleep(2)
            for target in cluster.targets:
                target.grant_delay = 1.5
            await trio.sleep(1.1)
            await first.stop()
            second.record_resignation(1)
            for target in cluster.targets:
                target.grant_delay = 0.0
            await trio.sleep(0.3)
            self.assertTrue(second.is_coordinator)
            cluster.remove_target_record(second, "t0")
            await trio.sleep(6)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_claim_waits_anew_when_another_instance_has_claimed(self):
        """After a partition had healed, an instance claimed a live holder's service.

        Its claim delay had started during the partition, and no heartbeat from the
        new holder had arrived yet.
        """

        async def scenario(cluster, nursery):
            record = RangeRecord(SERVICE).claim("a", "a1")
            await cluster.store.put("ranges", SERVICE, record.to_value(), 0)
            second = cluster.new_coordinator("b")
            second.membership.reachable_share = 0.2
            second.state.apply("ranges", 1, 1, cluster.store.history[-1:], 0.0)
            nursery.start_soon(second.run)
            await trio.sleep(5.0)
            self.assertTrue(second.is_coordinator)

            third = cluster.new_coordinator("c")
            third.membership.reachable_share = 0.2
            third.state.apply("ranges", 1, 1, cluster.store.history[:1], 0.0)
            nursery.start_soon(third.run)
            await trio.sleep(4.4)
            third.state.apply("ranges", 2, 9, cluster.store.history[-1:], 0.0)
            await trio.sleep(1.0)
            self.assertFalse(third.is_coordinator)

        run_scenario(scenario)

    def test_coordinator_whose_process_was_replaced_is_not_waited_for(self):
        """A killed coordinator's authority was waited out as if it were cut off."""

        async def scenario(cluster, nursery):
            first = await start_coordinator(cluster, nursery)
            first.resign("killed")
            first._stopping = True
            second = cluster.new_coordinator("b")
            cluster.register(second, "a", "a2")
            second.state.apply("ranges", 1, 9, cluster.store.history[-1:], 0.0)
            cluster.targets[0].reachable = False
            nursery.start_soon(second.run)
            await trio.sleep(8.5)
            self.assertTrue(second.is_coordinator)
            self.assertNotIn("t0", cluster.record().ranges_by_target)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_target_that_returns_after_a_cut_is_fenced_off_at_once(self):
        """Keys had no owner until the previous coordinator's authority had expired."""

        async def scenario(cluster, nursery):
            first = await start_coordinator(cluster, nursery)
            key = cluster.record().owned_by("t0")[0].first
            cluster.targets[0].reachable = False
            first.resign("cut off")
            first._stopping = True
            second = cluster.new_coordinator("b")
            second.state.apply("ranges", 1, 9, cluster.store.history[-1:], 0.0)
            nursery.start_soon(second.run)
            await trio.sleep(6)
            self.assertTrue(second.is_coordinator)
            self.assertEqual(cluster.owners(key), [])
            cluster.targets[0].reachable = True
            await trio.sleep(2)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_lost_answer_of_a_record_write_is_read_back(self):
        async def scenario(cluster, nursery):
            coordinator = await start_coordinator(cluster, nursery)
            cluster.store.lost_responses = 1
            cluster.remove_target_record(coordinator, "t2")
            await trio.sleep(5)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_changes_of_an_ended_claim_are_not_written_by_the_next(self):
        """A change was still queued behind another write when its claim ended."""

        async def scenario(cluster, nursery):
            coordinator = await start_coordinator(cluster, nursery)
            cluster.store.delay = 0.5

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
            cluster.store.delay = 0.0
            await trio.sleep(4)
            self.assertTrue(coordinator.is_coordinator)
            cluster.remove_target_record(coordinator, "t0")
            await trio.sleep(6)
            for written in cluster.store.history:
                record = RangeRecord.from_value(written.value)
                self.assertNotIn("stale", record.ranges_by_target)

        run_scenario(scenario)

    def test_changes_that_wait_for_the_store_are_written_together(self):
        """Each move caused one write and one update of all instances' replicas."""

        async def scenario(cluster, nursery):
            coordinator = await start_coordinator(cluster, nursery)
            cluster.store.delay = 0.3
            before = cluster.store.revision
            async with trio.open_nursery() as changes:
                for first in range(0, 1000, 100):
                    changes.start_soon(
                        coordinator.writer.change,
                        lambda record, f=first: record.assign(f, f + 9, "t1"),
                    )
            self.assertEqual(cluster.record().owner(905).target, "t1")
            # The first change is written alone. The others arrive during that write and
            # are written together.
            self.assertLessEqual(cluster.store.revision - before, 3)

        run_scenario(scenario)

    def test_authority_ends_without_the_store(self):
        async def scenario(cluster, nursery):
            await start_coordinator(cluster, nursery)
            cluster.store.down = True
            await trio.sleep(5)
            self.assert_sole_owners(cluster)
            await trio.sleep(7)
            self.assertEqual(cluster.owners(0), [])
            cluster.store.down = False
            await trio.sleep(2.5)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_target_that_starts_again_under_its_id_gets_keys(self):
        """Its keys had no owner while its record did not lapse in between."""

        async def scenario(cluster, nursery):
            coordinator = await start_coordinator(cluster, nursery)
            cluster.targets[0].leases.clear()
            cluster.add_target_record(coordinator, "t0", started_at=9)
            await trio.sleep(8)
            self.assertTrue(cluster.targets[0].leases)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)


class RestartedTargetTests(OwnershipTestCase):
    """Guard against leases of a target's later process that are taken for ended."""

    def test_restarted_target_releases_what_it_was_granted_since(self):
        """Its new process took renewals before the store held its new record.

        Its keys were then given to other targets at once, and had two owners.
        """

        async def scenario(cluster, nursery):
            coordinator = cluster.new_coordinator()
            cluster.remove_target_record(coordinator, "t3")
            nursery.start_soon(coordinator.run)
            await trio.sleep(3)
            cluster.targets[0].restart()
            await trio.sleep(1.5)
            self.assertNotEqual(cluster.targets[0].leases, [])
            # The keys of the restarted target are divided between it and a new one.
            cluster.add_target_record(coordinator, "t3")
            cluster.add_target_record(coordinator, "t0", started_at=9)
            await trio.sleep(4)
            self.assert_sole_owners(cluster)
            self.assertIn("t3", cluster.record().ranges_by_target)

        run_scenario(scenario, targets=4)

    def test_grant_that_was_refused_a_connection_delays_no_move(self):
        """A target that had restarted kept its keys frozen for a lease's validity."""

        async def scenario(cluster, nursery):
            coordinator = await start_coordinator(cluster, nursery)
            cluster.targets[0].listening = False
            await trio.sleep(1.1)
            cluster.targets[0].listening = True
            cluster.targets[0].restart()
            cluster.add_target_record(coordinator, "t0", started_at=9)
            await trio.sleep(0.8)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_restarted_target_is_not_taken_for_unresponsive(self):
        """It got no keys until the next probe, up to 16 s later."""

        async def scenario(cluster, nursery):
            coordinator = await start_coordinator(cluster, nursery)
            for _ in range(3):
                cluster.targets[0].reachable = False
                await trio.sleep(6.0)
                cluster.targets[0].reachable = True
                await trio.sleep(4.0)
            cluster.targets[0].reachable = False
            await trio.sleep(6.0)
            self.assertNotIn("t0", cluster.record().ranges_by_target)
            cluster.targets[0].reachable = True
            cluster.targets[0].restart()
            cluster.add_target_record(coordinator, "t0", started_at=9)
            await trio.sleep(1.5)
            self.assertIn("t0", cluster.record().ranges_by_target)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_released_keys_are_not_given_back_to_a_later_process(self):
        """A later process would own them under the token of the earlier one."""

        async def scenario(cluster, nursery):
            coordinator = await start_coordinator(cluster, nursery)
            part = cluster.record().owned_by("t0")[0]
            cluster.targets[0].restart()
            cluster.add_target_record(coordinator, "t0", started_at=9)
            await coordinator._give_back(part)
            self.assertEqual(cluster.targets[0].leases, [])

        run_scenario(scenario)


class ReusedAddressTests(OwnershipTestCase):
    """Guard against a record that is taken as proof that a target has ended."""

    async def lose(self, cluster, nursery) -> None:
        """Cut a target off, whose record lapses, and write another one's record."""
        coordinator = await start_coordinator(cluster, nursery)
        cluster.targets[0].reachable = False
        cluster.remove_target_record(coordinator, "t0")
        cluster.add_target_record(
            coordinator, "other", service="unknown", address="t0", started_at=9
        )

    def test_record_that_another_writer_made_up_proves_nothing(self):
        async def scenario(cluster, nursery):
            await self.lose(cluster, nursery)
            await trio.sleep(6)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_target_that_answers_at_the_address_proves_it(self):
        """Keys of the ended target need not wait for the end of its leases."""

        async def scenario(cluster, nursery):
            cluster.control.targets_by_id["other"] = FakeTarget("other")
            await self.lose(cluster, nursery)
            cluster.targets[0].leases.clear()
            cluster.control.targets_by_id["t0"] = FakeTarget("other")
            await trio.sleep(1.0)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)


class FirstAssignmentTests(unittest.TestCase):
    """Guard against keys that move among targets which start one after the other."""

    def test_targets_that_register_within_a_second_get_keys_once(self):
        """The first two of 47 targets got all keys and then halved them four times."""

        async def scenario(cluster, nursery):
            coordinator = cluster.new_coordinator()
            for target in cluster.targets[2:]:
                cluster.remove_target_record(coordinator, target.id)
            nursery.start_soon(coordinator.run)
            await trio.sleep(0.25)
            self.assertTrue(coordinator.is_coordinator)
            for target in cluster.targets[2:]:
                await trio.sleep(0.1)
                cluster.add_target_record(coordinator, target.id)
            await trio.sleep(4)
            sizes = [item.size for item in cluster.record().ranges]
            self.assertEqual(len(sizes), 12)
            self.assertLess(max(sizes) - min(sizes), 12)

        run_scenario(scenario, targets=12)

    def test_targets_that_never_settle_are_not_waited_for(self):
        async def scenario(cluster, nursery):
            coordinator = cluster.new_coordinator()
            nursery.start_soon(coordinator.run)
            for number in range(12):
                await trio.sleep(0.4)
                name = f"t{number % 3}"
                cluster.remove_target_record(coordinator, name)
                await trio.sleep(0.05)
                cluster.add_target_record(coordinator, name)
            self.assertNotEqual(cluster.record().ranges_by_target, {})

        run_scenario(scenario)


class FailingStoreTests(unittest.TestCase):
    """Guard against keys without an owner while the store fails for a coordinator."""

    def test_coordinator_that_only_it_is_turned_away_resigns(self):
        """It kept its claim without authority until the store took its calls again."""

        async def scenario(cluster, nursery):
            coordinator = await start_coordinator(cluster, nursery)
            coordinator.membership.live.append("b")
            coordinator._store_age = lambda: 9.0
            cluster.store.down = True  # for this instance
            replicas = coordinator.state.replicas_by_kind
            for _ in range(80):
                await trio.sleep(0.1)
                replicas[CONFIGURATION].confirmed_at = trio.current_time() - 1.5
            self.assertFalse(coordinator.is_coordinator)

        run_scenario(scenario)

    def test_resignation_waits_for_leases_while_a_write_may_be_carried_out(self):
        """The next coordinator could grant keys whose leases this one had renewed."""

        async def scenario(cluster, nursery):
            coordinator = await start_coordinator(cluster, nursery)
            coordinator.membership.live.append("b")
            coordinator._store_age = lambda: 9.0
            fail_after_release(cluster, nursery)
            coordinator.load.add_report(busy_report())
            replicas = coordinator.state.replicas_by_kind
            for _ in range(120):
                await trio.sleep(0.1)
                replicas[CONFIGURATION].confirmed_at = trio.current_time() - 1.5
                if not coordinator.is_coordinator:
                    break
            self.assertFalse(coordinator.is_coordinator)
            for key in (0, 300, 22000, 44000, 65535):
                self.assertEqual(cluster.owners(key), [])

        run_scenario(scenario)

    def resign_after_release(self, cluster, nursery, prepare=lambda coordinator: None):
        """Return a coroutine that lets a coordinator resign during a move."""

        async def resign() -> tuple[float, list[KeyRange]]:
            coordinator = cluster.new_coordinator(places_by_load=lambda: True)
            nursery.start_soon(coordinator.run)
            await trio.sleep(3)
            coordinator.membership.live.append("b")
            coordinator._store_age = lambda: 9.0
            released = fail_after_release(cluster, nursery)
            coordinator.load.add_report(busy_report())
            replicas = coordinator.state.replicas_by_kind
            while not coordinator.writer.has_unresolved_write:
                coordinator.load.add_report(busy_report())
                await trio.sleep(0.1)
            prepare(coordinator)
            began_at = trio.current_time()
            while coordinator.is_coordinator:
                await trio.sleep(0.1)
                replicas[CONFIGURATION].confirmed_at = trio.current_time() - 1.5
            return trio.current_time() - began_at, released

        return resign()

    def test_resignation_does_not_wait_for_ranges_that_no_target_holds(self):
        """Keys of a data centre that was emptied had no owner for 5.5 s."""

        async def scenario(cluster, nursery, *, carries_out: bool):
            seconds, released = await self.resign_after_release(cluster, nursery)
            self.assertLess(seconds, RESIGN_AFTER + LeaseTiming().max_validity)
            self.assertNotEqual(released, [])
            for item in released:
                self.assertEqual(cluster.owners(item.first), [])
            cluster.store.down = False
            if carries_out:
                cluster.store.carry_out_held_writes()
            second = cluster.new_coordinator("b")
            change = cluster.store.objects["ranges", SERVICE]
            second.state.apply("ranges", 1, change.version, [change], 0.0)
            second.membership.live.append("a")
            second.record_resignation(1)
            nursery.start_soon(second.run)
            for _ in range(60):
                await trio.sleep(0.1)
                for key in (0, 300, 22000, 44000, 65535):
                    self.assertLessEqual(len(cluster.owners(key)), 1)
            for item in released:
                self.assertEqual(len(cluster.owners(item.first)), 1)
            self.assertEqual(cluster.control.violations, [])

        for carries_out in (False, True):
            with self.subTest(carries_out=carries_out):
                run_scenario(partial(scenario, carries_out=carries_out))

    def test_resignation_waits_for_a_held_range_of_an_unresolved_write(self):
        async def scenario(cluster, nursery):
            def prepare(coordinator):
                held = coordinator.record.ranges[0]
                coordinator.writer.uncertain_parts = lambda: [held]

            await self.resign_after_release(cluster, nursery, prepare)
            for key in (0, 300, 22000, 44000, 65535):
                self.assertEqual(cluster.owners(key), [])

        run_scenario(scenario)

    def test_released_keys_stay_free_while_their_assignment_may_be_carried_out(self):
        """Their owner got them back, and the next coordinator found a new owner."""

        async def scenario(cluster, nursery):
            coordinator = await start_coordinator(cluster, nursery)
            released = fail_after_release(cluster, nursery)
            coordinator.load.add_report(busy_report())
            for _ in range(25):
                await trio.sleep(0.1)
            self.assertNotEqual(released, [])
            for item in released:
                self.assertEqual(cluster.owners(item.first), [])
            cluster.store.down = False
            await trio.sleep(1.5)
            cluster.store.carry_out_held_writes()
            await trio.sleep(1.5)
            for item in released:
                self.assertEqual(len(cluster.owners(item.first)), 1)
            self.assertEqual(cluster.control.violations, [])

        run_scenario(scenario)

    def test_coordinator_stays_in_an_outage_of_all(self):
        async def scenario(cluster, nursery):
            coordinator = await start_coordinator(cluster, nursery)
            coordinator.membership.live.append("b")
            coordinator._store_age = lambda: 9.0
            cluster.store.down = True
            replicas = coordinator.state.replicas_by_kind
            for replica in replicas.values():
                replica.confirmed_at = trio.current_time()
            await trio.sleep(8)
            self.assertTrue(coordinator.is_coordinator)

        run_scenario(scenario)

    def test_no_key_is_released_for_its_load_while_the_store_fails(self):
        """Forty ranges had no owner for up to 7 s: their assignment was not written."""

        async def scenario(cluster, nursery):
            coordinator = await start_coordinator(cluster, nursery)
            cluster.store.down = True
            await trio.sleep(2.5)  # a confirmation fails
            released = record_releases(cluster)
            for _ in range(10):
                coordinator.load.add_report(busy_report())
                await trio.sleep(0.25)
            self.assertEqual(released, [])
            cluster.store.down = False
            for _ in range(10):
                coordinator.load.add_report(busy_report())
                await trio.sleep(0.25)
            self.assertNotEqual(released, [])

        run_scenario(scenario)

    def test_owner_gets_keys_back_whose_assignment_is_not_written(self):
        """Requests for them waited until the announced end of the move."""

        async def scenario(cluster, nursery):
            coordinator = await start_coordinator(cluster, nursery)

            def fail() -> None:
                cluster.store.down = True

            record_releases(cluster, fail)
            for _ in range(8):
                coordinator.load.add_report(busy_report())
                await trio.sleep(0.25)
            self.assertTrue(cluster.store.down)
            await trio.sleep(1.0)
            self.assertEqual(coordinator.state.frozen, [])
            for key in (0, 300, 599, 22000, 44000, 65535):
                owner = coordinator.state.owner(SERVICE, key)
                self.assertEqual(cluster.owners(key), [owner.target])
            self.assertEqual(cluster.control.violations, [])

        run_scenario(scenario)


def record_releases(
    cluster: FakeCluster, then: Callable[[], None] = lambda: None
) -> list[KeyRange]:
    """Return a list to which released ranges are added; call ``then`` after each."""
    released: list[KeyRange] = []
    release = cluster.control.release

    async def record_release(address: str, item: KeyRange, timeout: float) -> str:
        handover = await release(address, item, timeout)
        released.append(item)
        then()
        return handover

    cluster.control.release = record_release
    return released


def fail_after_release(cluster: FakeCluster, nursery: trio.Nursery) -> list[KeyRange]:
    """Hold up the write after the first release, and let the store be away then.

    Return a list to which released ranges are added.
    """
    cluster.store.held_writes = 1

    async def lose_store() -> None:
        await trio.sleep(0.01)
        cluster.store.down = True

    def fail() -> None:
        if cluster.store.held_writes:
            nursery.start_soon(lose_store)

    return record_releases(cluster, fail)


def busy_report() -> WorkReport:
    """Return a report of neighbouring keys that one target cannot serve."""
    return WorkReport(SERVICE, 0.5, [[key, 9] for key in range(0, 600, 20)], [])


class EndedClaimTests(unittest.TestCase):
    """Guard against tasks of an ended claim that end the process."""

    def test_task_that_begins_after_its_claim_has_ended(self):
        """A confirmation that started with the end of its claim had no record."""

        async def scenario(cluster, nursery):
            coordinator = await start_coordinator(cluster, nursery)
            coordinator._start_task(coordinator._confirm)
            coordinator.resign("test")
            await trio.sleep(3)
            self.assertTrue(coordinator.is_coordinator)

        run_scenario(scenario)

    def test_record_that_changes_as_it_is_claimed(self):
        """The claim replaced the holder's last assignment with those before it."""

        async def scenario(cluster, nursery):
            first = await start_coordinator(cluster, nursery)
            second = cluster.new_coordinator("b")
            stored = cluster.store.objects["ranges", SERVICE]
            second.state.apply("ranges", 1, stored.version, [stored], 0.0)
            read = second.state.records_by_service[SERVICE]
            assigned = await first.writer.change(lambda r: r.assign(0, 99, "t1", 1))
            stored = cluster.store.objects["ranges", SERVICE]
            since = second.state.replicas_by_kind[RANGES].revision
            second.state.apply("ranges", since, stored.version, [stored], 0.0)
            claimed = await second.writer.claim(
                read,
                "b",
                "b1",
                0,
                is_complete=True,
                lease_validity_ms=3560,
                earlier_leases_ms=0,
            )
            self.assertEqual(claimed.ranges, assigned.ranges)
            self.assertEqual(claimed.next_fence, assigned.next_fence)

        run_scenario(scenario)

    def test_record_that_another_writer_made_unreadable(self):
        """A record without its parts ended the process at the next confirmation."""

        async def scenario(cluster, nursery):
            coordinator = await start_coordinator(cluster, nursery)
            await cluster.store.put(RANGES, SERVICE, {}, None)
            await trio.sleep(5)
            self.assertTrue(coordinator.is_coordinator)
            self.assertTrue(cluster.record().ranges)
            self.assertEqual(cluster.control.violations, [])

        run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
