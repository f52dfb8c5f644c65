"""Test how instances request slots from the responsible instance."""

import unittest

import trio
import trio.testing

from fireflystand_core.messages import SlotRefusal

from ..slots import MAX_CACHED_REFUSALS, SlotClient


class RefusingPeer:
    """Refuse and count all slot requests, like a peer with full targets."""

    own_id = "a"
    incarnation = "incarnation"

    def __init__(self) -> None:
        self.request_count = 0
        self.network = self

    def responsible_instance(self, name: str, without=()) -> str:
        return "b"

    def strongest_instance(self, name: str, without=()) -> str:
        return "b"

    async def request(self, peer, message, timeout):
        self.request_count += 1
        return SlotRefusal("no room before the deadline", 0.5)


class RefusalMemoryTests(unittest.TestCase):
    """Guard against retry storms that send every slot request to the peer."""

    def test_storm_asks_once_and_urgent_requests_ask_for_themselves(self):
        peer = RefusingPeer()
        client = SlotClient(None, peer, None, "x")

        async def ask(priority=1, end_in=1.0, route="known"):
            now = trio.current_time()
            end = now + end_in
            answer = await client.acquire("s", "t1", priority, now, end, route)
            self.assertIsInstance(answer, SlotRefusal)

        async def main():
            for _ in range(20):
                await ask()
            self.assertEqual(peer.request_count, 1)
            await ask(priority=0)
            self.assertEqual(peer.request_count, 2)
            await ask(priority=0, end_in=2.0)
            self.assertEqual(peer.request_count, 3)
            await ask(priority=0, end_in=2.0, route="added")
            self.assertEqual(peer.request_count, 4)
            await trio.sleep(0.06)
            await ask()
            self.assertEqual(peer.request_count, 5)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_refusals_of_former_routes_are_dropped(self):
        """Refusals were kept for each route and target that there had ever been."""
        client = SlotClient(None, RefusingPeer(), None, "x")

        async def main():
            for number in range(5 * MAX_CACHED_REFUSALS):
                now = trio.current_time()
                await client.acquire("s", "t1", 1, now, now + 1.0, f"r{number}")
                await trio.sleep(0.01)
            self.assertLessEqual(client.cached_refusal_count, MAX_CACHED_REFUSALS)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    unittest.main()
