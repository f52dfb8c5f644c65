"""Test how many connections an instance opens to a target."""

import unittest

import attrs
import trio

from ...forward import connection_share
from ...forward.client import CONTROL_CONNECTIONS
from ..node import DispatchNode
from .node_support import (
    Caller,
    Fleet,
    HttpTarget,
    eventually,
    play_fleet,
    register_others,
)

OTHERS = 39  # registered instances, of which none is in reach
ACCEPTED = 100  # connections that a target accepts from all callers
REQUESTS = 8  # at the same time


@attrs.define(eq=False)
class CountingTarget(HttpTarget):
    """Count the connections that are open at the same time."""

    open: int = 0
    most: int = 0

    async def serve(self, stream) -> None:
        """Serve one connection until it ends."""
        self.open += 1
        self.most = max(self.most, self.open)
        try:
            await super().serve(stream)
        finally:
            self.open -= 1


async def send_together(node: DispatchNode, requests: int) -> None:
    """Send requests at the same time, each on a connection of its own."""

    async def send() -> None:
        caller = await Caller.connect(node)
        await caller.request("/p/x")
        await caller.close()

    async with trio.open_nursery() as nursery:
        for _ in range(requests):
            nursery.start_soon(send)


class ConnectionShareTests(unittest.TestCase):
    """Guard against instances that open more than a target accepts from all of them.

    A target resets the connections beyond these, with the requests on them.
    """

    def test_all_instances_stay_below_what_a_target_accepts(self):
        for accepted, instances in ((130, 14), (520, 77), (550, 82), (1200, 195)):
            with self.subTest(instances=instances):
                total = instances * min(8, connection_share(accepted, instances))
                self.assertLessEqual(total + CONTROL_CONNECTIONS, accepted)

    def test_instance_among_many(self):
        async def scenario(fleet: Fleet) -> None:
            fleet.configure(2, max_connections=ACCEPTED)
            await fleet.add_target("keyed")
            target = CountingTarget(work=0.1)
            await fleet.add_target("pooled", target=target)
            node = await fleet.add_node()
            await fleet.settle()
            await send_together(node, REQUESTS)
            most = connection_share(ACCEPTED, OTHERS + 1)
            self.assertGreater(target.most, most)
            await register_others(fleet, OTHERS)
            await send_together(node, 1)
            await eventually(lambda: target.open <= most)
            target.most = 0
            await send_together(node, REQUESTS)
            self.assertLessEqual(target.most, most)

        play_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
