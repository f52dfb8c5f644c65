"""Test how many retries an instance sends as one of many."""

import unittest

from ..ports import INSTANCES
from .node_support import Caller, Fleet, eventually, play_fleet

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
            for number in range(OTHERS):
                record = {
                    "incarnation": f"{number}",
                    "address": "127.0.0.1:1",
                    "data_centre": "x",
                }
                fleet.store.write(INSTANCES, f"other-{number}", record)
            await eventually(lambda: len(node.state.instances_by_id) == OTHERS + 1)
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
