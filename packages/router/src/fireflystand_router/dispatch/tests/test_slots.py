"""Test how instances ask the desks of targets for slots."""

import unittest

import trio
import trio.testing

from fireflystand_core.messages import SlotRefusal

from ..slots import SlotClient


class FullDesk:
    """Refuse every ask and count them."""

    own_id = "a"
    incarnation = "incarnation"

    def __init__(self) -> None:
        self.asks = 0
        self.network = self

    def home(self, name: str) -> str:
        return "b"

    async def request(self, home, message, timeout):
        self.asks += 1
        return SlotRefusal("no room before the deadline", 0.5)


class RefusalMemoryTests(unittest.TestCase):
    """Guard against a storm of repeats that asks a full desk again and again."""

    def test_storm_asks_once_and_urgent_requests_ask_for_themselves(self):
        desk = FullDesk()
        client = SlotClient(None, desk, None, "x")

        async def ask(priority=1, end_in=1.0):
            now = trio.current_time()
            answer = await client.acquire("s", "t1", priority, now, now + end_in)
            self.assertIsInstance(answer, SlotRefusal)

        async def main():
            for _ in range(20):
                await ask()
            self.assertEqual(desk.asks, 1)
            await ask(priority=0)
            self.assertEqual(desk.asks, 2)
            await ask(priority=0, end_in=2.0)
            self.assertEqual(desk.asks, 3)
            await trio.sleep(0.06)
            await ask()
            self.assertEqual(desk.asks, 4)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    unittest.main()
