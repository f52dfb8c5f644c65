"""Test what the lag of the event loop tells of the process."""

import unittest

from ..loop_lag import CHECK_INTERVAL, LoopLag


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


if __name__ == "__main__":
    unittest.main()
