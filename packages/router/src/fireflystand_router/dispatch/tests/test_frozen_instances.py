"""Test what is learned of targets from requests of an instance that stood still."""

import time
import unittest

import trio

from .node_support import Caller, Fleet, eventually, play_fleet

FREEZE = 2.0  # seconds
SHORT_DEADLINE = 0.5  # seconds; longer than the requests take, shorter than the freeze
SLOTS = 4


async def send(node, seconds: float) -> int:
    """Send a request to the pooled service; return its status."""
    caller = await Caller.connect(node)
    status, _ = await caller.request("/p/x", deadline=str(int(1000 * seconds)))
    await caller.close()
    return status


async def send_many(node, seconds: float, statuses: list[int]) -> None:
    """Send as many requests at once as the target has slots."""

    async def send_one() -> None:
        statuses.append(await send(node, seconds))

    async with trio.open_nursery() as nursery:
        for _ in range(SLOTS):
            nursery.start_soon(send_one)


class FrozenInstanceTests(unittest.TestCase):
    """Guard against refusals of what has room, after a freeze (soak 62309, RECOVER).

    The time of the freeze was taken for that of the target, whose later requests were
    refused at once, since they would not end before their deadlines.
    """

    def check(self, *, left: float, statuses_of_frozen: list[int]) -> None:
        """Freeze the instance during requests that have ``left`` seconds."""

        async def scenario(fleet: Fleet) -> None:
            fleet.configure(2, timeout=8.0, max_attempts=1)
            await fleet.add_target("keyed")
            target = await fleet.add_target("pooled", work=0.01)
            node = await fleet.add_node()
            await fleet.settle()
            statuses: list[int] = []
            for _ in range(3):
                await send_many(node, SHORT_DEADLINE, statuses)
            self.assertEqual(statuses, [200] * 3 * SLOTS)

            target.work = 0.3
            statuses.clear()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_many, node, left, statuses)
                while len(target.arrivals) < 4 * SLOTS:
                    await trio.sleep(0.01)
                node.loop_lag.peak = 0.0  # of a machine that is busy by chance
                time.sleep(FREEZE)  # no task runs meanwhile
            self.assertEqual(statuses, statuses_of_frozen)

            target.work = 0.01
            # Until then the instance leaves more of each deadline for its own lag.
            await eventually(lambda: node.loop_lag.peak < 0.01)
            statuses.clear()
            await send_many(node, SHORT_DEADLINE, statuses)
            self.assertEqual(statuses, [200] * SLOTS)

        play_fleet(scenario)

    def test_requests_that_end_after_the_freeze(self):
        self.check(left=8.0, statuses_of_frozen=[200] * SLOTS)

    def test_requests_that_time_out_during_the_freeze(self):
        self.check(left=1.8, statuses_of_frozen=[504] * SLOTS)


if __name__ == "__main__":
    unittest.main()
