"""Test the waits of periodic tasks."""

import unittest

import trio
import trio.testing

from ..timers import sleep_until_next


class PeriodicTests(unittest.TestCase):
    """Guard against periodic tasks that wake apart, or again at once."""

    def test_tasks_that_start_apart_wake_together(self):
        wakes: list[float] = []

        async def run(start: float) -> None:
            await trio.sleep(start)
            for _ in range(50):
                due = await sleep_until_next(0.1)
                self.assertAlmostEqual(trio.current_time(), due)
                wakes.append(round(due, 6))

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                for start in (0.0, 0.013, 0.07, 0.099):
                    nursery.start_soon(run, start)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertLessEqual(len(set(wakes)), 52)

    def test_each_wait_takes_at_least_half_an_interval(self):
        async def main() -> None:
            for interval in (0.1, 0.2, 0.3, 0.7):
                for _ in range(300):
                    before = trio.current_time()
                    await sleep_until_next(interval)
                    waited = trio.current_time() - before
                    self.assertGreaterEqual(waited, interval / 2 - 1e-9)
                    self.assertLessEqual(waited, interval * 1.5 + 1e-9)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    unittest.main()
