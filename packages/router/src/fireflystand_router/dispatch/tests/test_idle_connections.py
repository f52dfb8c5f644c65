"""Test the connections to targets over which nothing is sent any more."""

import unittest
from contextlib import suppress
from unittest import mock

import attrs
import trio

from ...forward import client
from .node_support import Caller, Fleet, HttpTarget, eventually, play_fleet

JUNK = 65536 * b"x"
IDLE = 0.3  # seconds after a response


@attrs.define(eq=False)
class FloodingTarget(HttpTarget):
    """Send bytes without end after a response, or end each connection."""

    ends: bool = False
    closed: int = 0

    async def _answer(self, connection, stream, fields) -> bool:
        await super()._answer(connection, stream, fields)
        with suppress(trio.BrokenResourceError):
            await trio.sleep(0.0 if self.ends else IDLE)
            while not self.ends:
                await stream.send_all(JUNK)
        self.closed += 1
        return False


class IdleConnectionTests(unittest.TestCase):
    """Guard against connections that stay open until the next request to a target.

    A faulty target could fill their buffers, and each target that ended left some.
    """

    def play(self, **behaviour) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.add_target("keyed")
            target = FloodingTarget(**behaviour)
            await fleet.add_target("pooled", target=target)
            node = await fleet.add_node()
            await fleet.settle()
            caller = await Caller.connect(node)
            with mock.patch.object(client, "CLOSE_INTERVAL", 0.2):
                status, _ = await caller.request("/p/x")
                await eventually(lambda: target.closed)
                await eventually(lambda: not node.forwarder.pools_by_address)
            self.assertEqual(status, 200)
            await caller.close()

        with mock.patch("fireflystand_router.forward.pool.EARLY_END_RETENTION", 0.5):
            play_fleet(scenario)

    def test_target_that_sends_without_end_on_an_idle_connection(self):
        self.play()

    def test_target_that_has_ended(self):
        self.play(ends=True)


if __name__ == "__main__":
    unittest.main()
