"""Test what one coordinator of key ranges hands on to those after it."""

import unittest

import trio
import trio.testing

from fireflystand_core.ranges import LeaseTiming

from ..ports import RANGES
from .restoration_support import RestorationCluster
from .support import SERVICE

SMALL_SERVICE = 60  # targets whose renewals one instance sends within a second


def run_scenario(scenario, targets: int = 4) -> None:
    """Run a scenario on a cluster, with a clock that skips waits."""

    async def main():
        async with trio.open_nursery() as nursery:
            await scenario(RestorationCluster(nursery, targets))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class SuccessionTestCase(unittest.TestCase):
    """Check that no two targets hold a key around a change of the coordinator."""

    async def check_owners(self, cluster: RestorationCluster, seconds: float) -> None:
        """Check each grant of some seconds, then that all keys have owners."""
        for _ in range(int(seconds / 0.5)):
            await trio.sleep(0.5)
            self.assertEqual(cluster.control.violations, [])
        self.assertEqual(cluster.unowned_keys(), [])


class LeaseLengthTests(SuccessionTestCase):
    """Guard against keys that move while a longer lease of a predecessor holds."""

    async def shrink(self, cluster: RestorationCluster) -> list[str]:
        """Let most targets leave during a claim; return those that stay."""
        cluster.start("a")
        await trio.sleep(12)
        cluster.start("b")
        await trio.sleep(2)
        names = [target.id for target in cluster.targets]
        for name in names[SMALL_SERVICE:]:
            cluster.set_usable(name, False)
        await trio.sleep(8)
        return names[:SMALL_SERVICE]

    def test_successor_has_fewer_targets_than_the_coordinator_before(self):
        """It counted on leases of its own length: 3 s in place of 9 s."""

        async def scenario(cluster):
            names = await self.shrink(cluster)
            cluster.cut_targets(names[:4], reached_by="a")
            cluster.kill("a")
            await self.check_owners(cluster, 20)

        run_scenario(scenario, targets=3 * SMALL_SERVICE)

    def test_coordinator_before_does_not_state_its_length(self):
        """The record of another build says nothing about its leases."""

        async def scenario(cluster):
            names = await self.shrink(cluster)
            value = cluster.stored().to_value()
            value.pop("lease_validity_ms", None)
            await cluster.store.put(RANGES, SERVICE, value, cluster.stored_number())
            await trio.sleep(0.3)
            cluster.cut_targets(names[:4], reached_by="a")
            cluster.kill("a")
            await self.check_owners(cluster, 20)

        run_scenario(scenario, targets=3 * SMALL_SERVICE)

    def test_process_that_never_knew_the_others_claims_in_a_restored_store(self):
        """It computed the length of leases in lost records from the targets left."""

        async def scenario(cluster):
            names = await self.shrink(cluster)
            fresh = cluster.start("c").coordinator
            for target in cluster.targets[SMALL_SERVICE:]:
                cluster.remove_target_record(fresh, target.id)
                del fresh.state.latest_records_by_target[target.id]
            cluster.kill("b")
            await trio.sleep(4)
            cluster.cut_targets(names[:4])
            cluster.kill("a")
            await cluster.restore(5)
            await self.check_owners(cluster, 25)

        run_scenario(scenario, targets=3 * SMALL_SERVICE)

    def test_shorter_leases_are_not_waited_for_as_long_as_the_longest(self):
        """Keys of a silent target would wait 10 s for leases of 3 s."""

        async def scenario(cluster):
            cluster.start("a")
            await trio.sleep(8)
            cluster.start("b")
            await trio.sleep(2)
            cluster.cut_targets(["t0"])
            cluster.kill("a")
            await trio.sleep(LeaseTiming().max_validity + 1.5)
            await self.check_owners(cluster, 0)

        run_scenario(scenario)
