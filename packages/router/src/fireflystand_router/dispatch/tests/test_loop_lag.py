"""Test what the lag of the event loop tells of the process."""

import unittest

import trio

from ..flow import LATE_LOOP, REQUEST_ITERATIONS
from ..loop_lag import CHECK_INTERVAL, STEADY_TIMERS, LoopLag
from .node_support import Caller, play_with_targets


class StandstillTests(unittest.TestCase):
    """Guard against busy event loops that are taken for processes that stood still.

    Their requests would ask twice for slots.
    """

    def setUp(self):
        self.now = 10.0
        self.loop_lag = LoopLag(lambda: self.now)

    def wait(self, lag: float) -> None:
        """Let one timer fire late by some seconds."""
        self.loop_lag._timer_set_at = self.now
        self.now += CHECK_INTERVAL + lag
        self.loop_lag.record(lag)
        self.loop_lag._timer_set_at = self.now

    def test_freeze_is_noticed_before_and_after_the_timer(self):
        self.wait(0.01)
        self.now += 2.0
        self.assertAlmostEqual(self.loop_lag.stood_still_until, 12.11)
        self.loop_lag.record(2.0)
        self.loop_lag._timer_set_at = self.now
        self.wait(0.01)
        self.assertAlmostEqual(self.loop_lag.stood_still_until, 12.11)

    def test_late_event_loop_does_not_stand_still(self):
        for lag in (0.4, 0.8, 1.6, 2.0, 1.5, 2.0):
            self.wait(lag)
        self.assertEqual(self.loop_lag.stood_still_until, float("-inf"))

    def test_process_that_has_not_begun_to_measure(self):
        self.assertEqual(self.loop_lag.stood_still_until, float("-inf"))


class LateLoopTests(unittest.TestCase):
    """Guard against an instance that accepts what it can only respond to late."""

    def answers(self, lags: tuple[float, ...], deadlines: tuple[float, ...]):
        """Return the statuses of requests, and the time that all of them took."""
        statuses: list[int] = []

        async def scenario(fleet):
            node = fleet.nodes[0]
            for lag in lags:
                node.loop_lag.record(lag)
            node.loop_lag.record = lambda seconds: None
            caller = await Caller.connect(node)
            begin = trio.current_time()
            for deadline in deadlines:
                status, _ = await caller.request(
                    "/p/x", deadline=str(int(1000 * deadline))
                )
                statuses.append(status)
            statuses.append(trio.current_time() - begin)
            await caller.close()

        play_with_targets(scenario, nodes=1)
        return statuses[:-1], statuses[-1]

    def test_late_loop_refuses_at_once_what_would_be_late(self):
        lag = 0.2
        late, on_time = 0.9 * REQUEST_ITERATIONS * lag, 2.0
        statuses, seconds = self.answers((lag,) * STEADY_TIMERS, (late, on_time, late))
        self.assertEqual(statuses, [503, 200, 503])
        self.assertLess(seconds, lag * REQUEST_ITERATIONS)

    def test_single_late_timer_and_short_lags_refuse_nothing(self):
        for lags in ((0.0, 2.0, 0.0), (0.9 * LATE_LOOP,) * STEADY_TIMERS):
            with self.subTest(lags=lags):
                self.assertEqual(self.answers(lags, (1.0, 2.0))[0], [200, 200])


if __name__ == "__main__":
    unittest.main()
