"""Test a restored store where no instance knows what it has lost."""

import unittest
from functools import partial

import trio
import trio.testing

from fireflystand_core.replica import make_revision

from ..ports import CONFIGURATION, RANGES, TARGETS
from .replication_model import play_model
from .restoration_support import Instance, RestorationCluster
from .test_restored_store import move_keys, start_instances

REVOKE = 5.0  # seconds until a withdrawn API key is refused everywhere


class FreshCluster(RestorationCluster):
    """Start processes that have no list of the ranges yet, as the router's are."""

    def __init__(self, nursery: trio.Nursery) -> None:
        super().__init__(nursery)
        self.store.revision = 1  # the counter starts above 0

    def start(self, own_id: str) -> Instance:
        instance = super().start(own_id)
        replicas = instance.coordinator.state.replicas_by_kind
        replicas[RANGES].revision = 0
        # It read the targets in the era in which it started.
        number = replicas[TARGETS].revision
        replicas[TARGETS].revision = make_revision(self.store.era, number)
        return instance


def run_scenario(scenario) -> None:
    """Run a scenario on a cluster, with a clock that skips waits."""

    async def main():
        async with trio.open_nursery() as nursery:
            await scenario(FreshCluster(nursery))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class LostClaimTests(unittest.TestCase):
    """Guard against two owners of a key after a claim that the store has lost."""

    def assert_no_violation(self, cluster: RestorationCluster) -> None:
        self.assertEqual(cluster.control.violations, [])

    def test_instance_that_starts_grants_keys_of_a_lost_record(self):
        """It cannot know when the store was restored, as it saw one era only."""

        async def scenario(cluster, pause):
            cluster.start("a")
            await trio.sleep(4)
            await move_keys(cluster)
            self.assertEqual(cluster.unowned_keys(), [])
            cluster.kill("a")
            await cluster.restore(8)
            self.assertIsNone(cluster.stored())
            await trio.sleep(pause)
            cluster.start("b")
            for _ in range(40):
                await trio.sleep(0.5)
                self.assert_no_violation(cluster)

        for pause in (0.0, 1.0):
            with self.subTest(pause=pause):
                run_scenario(partial(scenario, pause=pause))

    def test_turned_away_holder_of_a_lost_claim_freezes_unnoticed(self):
        """The restored record names a process that has ended, not the live holder."""

        async def scenario(cluster, wait, phase):
            await start_instances(cluster, 1)
            cluster.start("b")
            await trio.sleep(3)
            cluster.kill("a")
            await trio.sleep(4 + phase)
            holder = cluster.instances_by_id["b"]
            self.assertTrue(holder.coordinator.is_coordinator)
            await move_keys(cluster)
            holder.reaches_store = False
            await cluster.restore(9)
            cluster.start("a")
            await trio.sleep(wait)
            cluster.cut("b", from_store=True)
            for _ in range(40):
                await trio.sleep(0.5)
                self.assert_no_violation(cluster)

        for wait in (0.2, 0.6, 1.0, 1.4):
            for phase in (0.0, 0.4, 0.8, 1.2):
                with self.subTest(wait=wait, phase=phase):
                    run_scenario(partial(scenario, wait=wait, phase=phase))


class WithdrawnKeyTests(unittest.TestCase):
    """Guard against keys withdrawn while an instance was cut off, then restored."""

    def test_restored_copy_confirms_a_key_that_was_withdrawn(self):
        """All peers know the withdrawal; only the instance that was cut does not."""
        for peers_too, push_loss in ((True, 0.0), (True, 1.0), (False, 0.0)):
            for count in (8, 30):
                with self.subTest(peers=peers_too, push_loss=push_loss, count=count):
                    scenario = self.scenario(peers_too, push_loss)
                    play_model(count, scenario, seed=3)

    def scenario(self, peers_too: bool, push_loss: float):
        async def scenario(model):
            copy = model.store.copy()
            late = model.instances[3]
            model.fabric.push_loss = push_loss
            model.fabric.cut.add(late.id)
            await trio.sleep(0.5)
            model.configure(2)  # withdraws a key
            acknowledged_at = trio.current_time()
            await trio.sleep(REVOKE + 0.5)
            model.store.restore(copy)
            await trio.sleep(1.0)
            if peers_too:
                model.fabric.heal({late.id})
            else:  # from the store only; its path to the peers heals later
                model.fabric.isolated.add(late.id)
                model.fabric.heal({late.id})
            trusting = 0.0
            ends_at = trio.current_time() + 3
            while trio.current_time() < ends_at:
                age = late.state.confirmation_age(CONFIGURATION)
                since = trio.current_time() - acknowledged_at
                if late.version < 2 and age < REVOKE and since > REVOKE:
                    trusting += 0.005
                await trio.sleep(0.005)
            self.assertEqual(round(trusting, 2), 0.0)

        return scenario


if __name__ == "__main__":
    unittest.main()
