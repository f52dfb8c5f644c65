"""Test coordinators of key ranges on a store that is restored from earlier copies."""

import os
import unittest
from functools import partial
from random import Random

import trio

from fireflystand_core.replica import ObjectChange, make_revision

from ..ports import TARGETS
from .restoration_support import RestorationCluster, run_scenario

SEEDS = int(os.environ.get("RESTORATION_SEEDS", "4"))
STEPS = 12  # of a random sequence


async def start_instances(cluster: RestorationCluster, count: int = 3) -> None:
    """Start instances; return once one of them has granted all keys."""
    for own_id in "abc"[:count]:
        cluster.start(own_id)
    await trio.sleep(12)


async def move_keys(cluster: RestorationCluster) -> None:
    """Let the keys of a target move to the others and those of another one back."""
    cluster.set_usable("t0", False)
    await trio.sleep(1)
    cluster.set_usable("t0", True)
    await trio.sleep(1)


class RestoredStoreTests(unittest.TestCase):
    """Guard against keys with two owners and tokens that were given out before."""

    def assert_sole_owners(self, cluster: RestorationCluster) -> None:
        self.assertEqual(cluster.control.violations, [])
        self.assertEqual(cluster.unowned_keys(), [])
        self.assertIsNotNone(cluster.coordinator())
        for record in cluster.records():
            self.assertEqual(record, cluster.stored())
        for key in (0, 9999, 22000, 45000, 50000, 65535):
            self.assertEqual(cluster.owners(key), [cluster.stored().owner(key).target])

    def test_tokens_of_lost_moves_are_given_out_again(self):
        """The coordinator went on from the restored record after a conflict."""

        async def scenario(cluster):
            await start_instances(cluster)
            await move_keys(cluster)
            await cluster.restore(3)
            await trio.sleep(2)
            self.assert_sole_owners(cluster)
            await move_keys(cluster)
            await trio.sleep(8)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_keys_that_just_moved_are_renewed_at_their_earlier_owner(self):
        """The moves went on although the restored record had not seen them."""

        async def scenario(cluster):
            await start_instances(cluster)
            cluster.set_usable("t0", False)
            await trio.sleep(0.6)
            await cluster.restore(9, outage=0.5)
            await trio.sleep(1)
            cluster.set_usable("t0", True)
            cluster.set_usable("t1", False)
            for _ in range(20):
                await trio.sleep(0.4)
                self.assertEqual(cluster.control.violations, [])
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_coordinator_goes_on_under_a_lost_claim(self):
        """It did not claim again; it must do so without a pause of its renewals."""

        async def scenario(cluster):
            await start_instances(cluster)
            holder = cluster.coordinator()
            await cluster.restore(9, outage=2)
            for _ in range(80):
                await trio.sleep(0.1)
                self.assertEqual(cluster.unowned_keys(), [])
            self.assertIs(cluster.coordinator(), holder)
            self.assertGreater(cluster.stored().epoch, 1 << 32)

        run_scenario(scenario)

    def test_successor_renews_by_a_record_without_the_last_moves(self):
        """The coordinator died, and its successor knew only the restored record."""

        async def scenario(cluster):
            await start_instances(cluster, 1)
            await move_keys(cluster)
            cluster.kill("a")
            await cluster.restore(4)
            cluster.start("b")
            for _ in range(40):
                await trio.sleep(0.5)
                self.assertEqual(cluster.control.violations, [])
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_frozen_coordinator_goes_on_after_another_ones_lost_claim(self):
        """The restored record still named the frozen one, which renewed by it."""

        async def scenario(cluster):
            await start_instances(cluster, 2)
            frozen = cluster.coordinator().id
            cluster.freeze(frozen)
            await trio.sleep(8)
            await move_keys(cluster)
            await cluster.restore(9)
            cluster.thaw(frozen)
            for _ in range(40):
                await trio.sleep(0.5)
                self.assertEqual(cluster.control.violations, [])
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_frozen_coordinator_goes_on_after_its_successor_died(self):
        """No instance that knew of the claim in the lost seconds was left."""

        async def scenario(cluster):
            await start_instances(cluster, 2)
            frozen = cluster.coordinator().id
            cluster.freeze(frozen)
            await trio.sleep(5)
            await move_keys(cluster)
            cluster.kill(cluster.coordinator().id)
            await cluster.restore(6)
            cluster.thaw(frozen)
            for _ in range(40):
                await trio.sleep(0.5)
                self.assertEqual(cluster.control.violations, [])
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_frozen_coordinator_goes_on_beside_its_successor(self):
        """The successor renewed by the lost record; only targets were in its reach."""

        async def scenario(cluster):
            await start_instances(cluster, 2)
            frozen = cluster.coordinator().id
            cluster.freeze(frozen)
            await trio.sleep(5)
            await move_keys(cluster)
            successor = cluster.coordinator()
            cluster.cut(successor.id, from_store=True)
            await cluster.restore(6)
            cluster.thaw(frozen)
            for _ in range(30):
                await trio.sleep(0.5)
                self.assertEqual(cluster.control.violations, [])
            cluster.heal(successor.id)
            await trio.sleep(5)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_conflict_leads_back_to_the_restored_record(self):
        """The first write after the restoration conflicted."""

        async def scenario(cluster):
            await start_instances(cluster)
            await move_keys(cluster)
            coordinator = cluster.coordinator().coordinator
            record = coordinator.record
            await cluster.restore(9)
            await coordinator.writer.change(lambda r: r.assign(0, 9, "t1", 1))
            self.assertEqual(coordinator.record.ranges, record.ranges)
            await trio.sleep(3)
            self.assertEqual(cluster.stored().ranges, record.ranges)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_coordinator_takes_its_own_new_claim_for_another_ones(self):
        """A confirmation read the new claim before the response to its write came."""

        async def scenario(cluster):
            await start_instances(cluster)
            holder = cluster.coordinator()
            cluster.store.write_response_delay = 1.8
            before = cluster.whole_shares
            await cluster.restore(9)
            for _ in range(80):
                await trio.sleep(0.1)
                self.assertTrue(holder.coordinator.is_coordinator)
                self.assertEqual(cluster.unowned_keys(), [])
            self.assertEqual(cluster.whole_shares, before + 1)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_new_claim_is_sent_as_a_patch_of_the_restored_record(self):
        """Peers may hold another content of the version that the claim replaces."""

        async def scenario(cluster):
            await start_instances(cluster)
            await move_keys(cluster)
            before = cluster.whole_shares
            await cluster.restore(9)
            await trio.sleep(3)
            self.assertEqual(cluster.whole_shares, before + 1)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_late_write_assigns_keys_that_their_owner_still_holds(self):
        """The move was given up and the owner renewed, then the write took effect."""

        async def scenario(cluster, seconds):
            await start_instances(cluster)
            coordinator = cluster.coordinator().coordinator
            cluster.set_usable("t0", False)
            await trio.sleep(3)
            cluster.store.held_writes = 1
            cluster.set_usable("t0", True)
            while cluster.store.held_writes:
                await trio.sleep(0.01)
            cluster.set_usable("t0", False)
            if seconds:
                await cluster.restore(seconds)
            await trio.sleep(1.2)
            cluster.store.carry_out_held_writes()
            await coordinator.writer.change(lambda r: r.assign(0, 9, "t3", 1))
            cluster.set_usable("t0", True)
            for _ in range(80):
                await trio.sleep(0.1)
                self.assertEqual(cluster.control.violations, [])
            self.assert_sole_owners(cluster)

        for seconds in (0, 0.5):
            with self.subTest(seconds=seconds):
                run_scenario(partial(scenario, seconds=seconds))

    def test_late_write_stays_although_its_move_was_given_up(self):
        """Requests for the keys went to a target that did not hold them."""

        async def scenario(cluster):
            await start_instances(cluster)
            cluster.set_usable("t0", False)
            await trio.sleep(3)
            cluster.store.held_writes = 1
            cluster.set_usable("t0", True)
            while cluster.store.held_writes:
                await trio.sleep(0.01)
            cluster.set_usable("t0", False)
            await trio.sleep(1.2)
            cluster.store.carry_out_held_writes()
            await trio.sleep(3)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_another_instance_claims_a_lost_record_first(self):
        """An instance of higher rank took the service over, and keys had no owner."""

        async def scenario(cluster):
            cluster.start("b")
            await trio.sleep(4)
            cluster.start("a")
            await trio.sleep(4)
            await cluster.restore(9)
            for _ in range(80):
                await trio.sleep(0.1)
                self.assertEqual(cluster.unowned_keys(), [])
            self.assertEqual(cluster.coordinator().id, "b")
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_second_restoration_gives_tokens_out_again(self):
        """The store went back twice, the second time before the first one's end."""

        async def scenario(cluster):
            await start_instances(cluster)
            await move_keys(cluster)
            await cluster.restore(3)
            await trio.sleep(1)
            await move_keys(cluster)
            await cluster.restore(2.5)
            await move_keys(cluster)
            await trio.sleep(8)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_record_of_the_lost_seconds_is_created_anew(self):
        """The service was new, so the restored store had no record of it."""

        async def scenario(cluster):
            cluster.start("a")
            cluster.start("b")
            await trio.sleep(4)
            await cluster.restore(6)
            self.assertIsNone(cluster.stored())
            await trio.sleep(3)
            await move_keys(cluster)
            await trio.sleep(8)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_successor_creates_the_record_of_the_lost_seconds_anew(self):
        """The service had no record, and leases under the lost one still held."""

        async def scenario(cluster):
            cluster.start("a")
            await trio.sleep(4)
            cluster.start("b")
            await trio.sleep(0.5)
            cluster.kill("a")
            await cluster.restore(8)
            for _ in range(40):
                await trio.sleep(0.5)
                self.assertEqual(cluster.control.violations, [])
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_late_write_of_the_earlier_era_replaces_a_newer_record(self):
        """Its number matched by chance, and the coordinator went back to it."""

        async def scenario(cluster):
            await start_instances(cluster)
            holder = cluster.coordinator()
            cluster.store.held_writes = 1
            stored = cluster.stored()
            cluster.set_usable("t0", False)
            await trio.sleep(0.6)
            await cluster.restore(9)
            cluster.store.carry_out_held_writes()
            await trio.sleep(8)
            self.assertIs(cluster.coordinator(), holder)
            self.assertGreater(cluster.stored().next_fence, stored.next_fence)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_late_write_of_a_former_coordinator_removes_a_claim(self):
        """Its number matched that of the claim that another instance had made."""

        async def scenario(cluster):
            await start_instances(cluster, 2)
            former = cluster.coordinator().id
            cluster.store.held_writes = 1
            cluster.set_usable("t0", False)
            # Before it writes again, after which the held write would have no effect.
            while cluster.store.held_writes:
                await trio.sleep(0.001)
            cluster.freeze(former)
            await trio.sleep(1)
            # The claim gets the number of the last write, which the copy lacks.
            base = cluster.stored_number()
            cluster.store.restore_number(base - 1)
            while cluster.stored_number() < base:
                await trio.sleep(0.01)
            claimed = cluster.stored()
            cluster.store.carry_out_held_writes()
            self.assertLess(cluster.stored().epoch, claimed.epoch)
            await trio.sleep(3)
            cluster.thaw(former)
            for _ in range(40):
                await trio.sleep(0.5)
                self.assertEqual(cluster.control.violations, [])
            self.assertNotEqual(cluster.coordinator().id, former)
            self.assert_sole_owners(cluster)

        run_scenario(scenario)

    def test_random_faults_around_restorations(self):
        """Print the seed and the steps of a sequence that fails."""
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                run_scenario(_RandomFaults(self, seed))

    def test_restored_record_of_an_earlier_process_frees_the_keys_of_the_later(self):
        """The later process still held its leases, out of the coordinator's reach.

        It had restarted in the lost seconds, and its record had lapsed.
        """

        async def scenario(cluster, is_listed):
            await start_instances(cluster, 1)
            coordinator = cluster.instances_by_id["a"].coordinator
            state = coordinator.state
            earlier = state.targets_by_id["t0"]
            cluster.remove_target_record(coordinator, "t0")
            await trio.sleep(1)
            cluster.targets[0].leases.clear()
            cluster.add_target_record(coordinator, "t0", started_at=9)
            await trio.sleep(3)
            self.assertEqual(cluster.unowned_keys(), [])
            self.assertTrue(cluster.targets[0].leases)
            cluster.targets[0].reachable = False
            cluster.remove_target_record(coordinator, "t0")
            await trio.sleep(0.4)
            await cluster.restore(1)
            if is_listed:
                number = state.replicas_by_kind[TARGETS].revision
                version = make_revision(cluster.store.era, number)
                listed = [*state.targets_by_id.values(), earlier]
                changes = [ObjectChange(item.id, version, item) for item in listed]
                state.replace(TARGETS, version, changes, trio.current_time())
            for _ in range(16):
                await trio.sleep(0.5)
                self.assertEqual(cluster.control.violations, [])

        for is_listed in (False, True):
            with self.subTest(is_listed=is_listed):
                run_scenario(partial(scenario, is_listed=is_listed))


class _RandomFaults:
    """Apply random faults and restorations, then check that all keys have owners."""

    def __init__(self, test: RestoredStoreTests, seed: int) -> None:
        self._test = test
        self._random = Random(seed)
        self._steps: list[str] = []

    async def __call__(self, cluster: RestorationCluster) -> None:
        await start_instances(cluster)
        for _ in range(STEPS):
            actions = [self._move, self._kill, self._freeze, self._cut]
            action = self._random.choice([self._restore, self._restore, *actions])
            await action(cluster)
            await self._pause(cluster, 2.5)
        await self._recover(cluster)
        self._test.assertEqual(cluster.unowned_keys(), [], self._steps)
        self._test.assertIsNotNone(cluster.coordinator(), self._steps)
        for record in cluster.records():
            self._test.assertEqual(record, cluster.stored(), self._steps)

    async def _pause(self, cluster: RestorationCluster, longest: float) -> None:
        await trio.sleep(self._random.uniform(0, longest))
        self._test.assertEqual(cluster.control.violations, [], self._steps)

    def _note(self, step: str) -> None:
        self._steps.append(f"{trio.current_time():.2f} {step}")

    async def _restore(self, cluster: RestorationCluster) -> None:
        seconds, outage = self._random.uniform(0, 9), self._random.choice([0, 0.3, 2])
        if self._random.random() < 0.3:
            cluster.store.held_writes = 1
            await self._move(cluster)
            await trio.sleep(0.6)
        self._note(f"restore {seconds:.2f} outage {outage}")
        await cluster.restore(seconds, outage=outage)
        cluster.store.held_writes = 0
        await trio.sleep(self._random.choice([0, 0.05, 1]))
        cluster.store.carry_out_held_writes()

    async def _move(self, cluster: RestorationCluster) -> None:
        target = self._random.choice(cluster.targets).id
        usable = self._random.random() < 0.5
        self._note(f"{target} usable {usable}")
        cluster.set_usable(target, usable)

    async def _kill(self, cluster: RestorationCluster) -> None:
        own_id = self._random.choice(sorted(cluster.instances_by_id))
        self._note(f"kill {own_id}")
        cluster.kill(own_id)
        await self._pause(cluster, 2)
        cluster.start(own_id)

    async def _freeze(self, cluster: RestorationCluster) -> None:
        own_id = self._random.choice(sorted(cluster.instances_by_id))
        self._note(f"freeze {own_id}")
        cluster.freeze(own_id)
        await self._pause(cluster, 8)
        if self._random.random() < 0.5:
            await self._restore(cluster)
        self._note(f"thaw {own_id}")
        cluster.thaw(own_id)

    async def _cut(self, cluster: RestorationCluster) -> None:
        own_id = self._random.choice(sorted(cluster.instances_by_id))
        from_store = self._random.random() < 0.5
        self._note(f"cut {own_id} from store {from_store}")
        cluster.cut(own_id, from_store=from_store)
        await self._pause(cluster, 8)
        if self._random.random() < 0.5:
            await self._restore(cluster)
            await self._pause(cluster, 4)
        self._note(f"heal {own_id}")
        cluster.heal(own_id)

    async def _recover(self, cluster: RestorationCluster) -> None:
        for target in cluster.targets:
            cluster.set_usable(target.id, True)
        for _ in range(50):
            await self._pause(cluster, 1)


if __name__ == "__main__":
    unittest.main()
