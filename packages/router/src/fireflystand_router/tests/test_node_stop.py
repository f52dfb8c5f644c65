"""Test the planned stop of an instance of ``make run``."""

import unittest
from types import SimpleNamespace

import trio
import trio.testing

from ..node import Node

DRAIN_TIME = 4.0  # seconds


class NodeStopTests(unittest.TestCase):
    """Guard against requests that a fault in another part of the stop cuts."""

    def test_handover_of_groups_that_fails(self):
        """The drain of the entry was cancelled, and all requests were cut."""
        ended = []

        async def close_entry():
            await trio.sleep(DRAIN_TIME)
            ended.append("entry")

        async def fail():
            raise RuntimeError("handover failed")

        async def close():
            ended.append("node")

        node = SimpleNamespace(
            services=SimpleNamespace(coordinators=list),
            readiness=SimpleNamespace(stop=lambda: None),
            entry=SimpleNamespace(close=close_entry),
            groups=SimpleNamespace(close=fail),
            permits=SimpleNamespace(unacknowledged=0),
            _close=close,
        )
        trio.run(Node.stop, node, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(ended, ["entry", "node"])


if __name__ == "__main__":
    unittest.main()
