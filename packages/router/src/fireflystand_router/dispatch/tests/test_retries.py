"""Test how many retries an instance sends as one of many."""

import unittest

from .node_support import Caller, Fleet, play_fleet, register_others

OTHERS = 39  # registered instances, of which none is in reach
REQUESTS = 40


class RetryBudgetTests(unittest.TestCase):
    """Guard against an instance that goes on with the retry budget of a whole fleet."""

    def test_instance_that_knew_only_itself(self):
        async def scenario(fleet: Fleet) -> None:
            await fleet.add_target("keyed")
            target = await fleet.add_target("pooled", status=503, not_run=True)
            node = await fleet.add_node()
            await fleet.settle()
            caller = await Caller.connect(node)
            await caller.request("/p/x")
            await register_others(fleet, OTHERS)
            before = len(target.requests)
            for _ in range(REQUESTS):
                await caller.request("/p/x")
            retries = len(target.requests) - before - REQUESTS
            bounds = node.settings.bounds
            part = bounds.retry_burst / (OTHERS + 1)
            # Some were earned before the others were known.
            self.assertLessEqual(retries, bounds.retry_share * REQUESTS + part + 4)
            await caller.close()

        play_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
