"""Test when a stream counts as silent."""

import unittest

from ..reply_monitor import LONG_PROBE_DELAY, PROBE_DELAY, PROBE_TIMEOUT, ReplyMonitor


class ProbeTests(unittest.TestCase):
    """Guard against probes on streams that need none."""

    def setUp(self):
        self.monitor = ReplyMonitor(0.0)

    def test_idle_stream_is_not_probed(self):
        self.assertFalse(self.monitor.is_probe_due(100.0, awaits_reply=False))

    def test_late_reply_is_asked_for(self):
        self.monitor.record_sent(100, 1, 1.0)
        self.assertFalse(self.monitor.is_probe_due(0.9 + PROBE_DELAY, True))
        self.assertTrue(self.monitor.is_probe_due(1.0 + PROBE_DELAY, True))

    def test_messages_without_a_reply_are_asked_about_later(self):
        self.monitor.record_sent(100, 1, 1.0)
        self.assertFalse(self.monitor.is_probe_due(1.0 + PROBE_DELAY, False))
        self.assertTrue(self.monitor.is_probe_due(1.0 + LONG_PROBE_DELAY, False))

    def test_reply_to_a_later_request_acknowledges_a_message(self):
        self.monitor.record_sent(100, 2, 1.0)
        self.monitor.record_reply(2, 1.1)
        self.assertFalse(self.monitor.is_probe_due(100.0, False))

    def test_reply_to_an_earlier_request_does_not(self):
        self.monitor.record_sent(100, 2, 1.0)
        self.monitor.record_reply(1, 1.1)
        self.assertTrue(self.monitor.is_probe_due(1.0 + LONG_PROBE_DELAY, False))

    def test_long_wait_for_a_reply_is_probed_again_and_again(self):
        self.monitor.record_sent(100, 1, 1.0)
        self.monitor.record_probe(2.0)
        self.monitor.record_reply(2, 2.1)
        self.assertFalse(self.monitor.is_probe_due(2.0 + LONG_PROBE_DELAY, True))
        self.assertTrue(self.monitor.is_probe_due(2.2 + LONG_PROBE_DELAY, True))

    def test_one_probe_is_under_way_at_a_time(self):
        self.monitor.record_sent(100, 1, 1.0)
        self.monitor.record_probe(2.0)
        self.assertFalse(self.monitor.is_probe_due(9.0, True))


class SilenceTests(unittest.TestCase):
    """Guard against streams that are closed although their peer replies."""

    def setUp(self):
        self.monitor = ReplyMonitor(0.0)
        self.monitor.record_sent(100, 1, 1.0)
        self.probed_at = 2.0

    def test_stream_without_a_probe_is_not_silent(self):
        self.assertFalse(self.monitor.is_silent(100.0))

    def test_probe_without_a_reply(self):
        self.monitor.record_probe(self.probed_at)
        self.assertFalse(self.monitor.is_silent(self.probed_at + PROBE_TIMEOUT - 0.1))
        self.assertTrue(self.monitor.is_silent(self.probed_at + PROBE_TIMEOUT + 0.1))

    def test_long_reply_before_that_of_the_probe(self):
        self.monitor.record_probe(self.probed_at)
        self.monitor.record_received(self.probed_at + 0.6)
        self.assertFalse(self.monitor.is_silent(self.probed_at + PROBE_TIMEOUT + 0.1))

    def test_long_message_before_the_probe(self):
        self.monitor.record_sent(1024 * 1024, 1, 1.5)
        self.monitor.record_probe(self.probed_at)
        self.assertFalse(self.monitor.is_silent(self.probed_at + 10.0))
        self.assertTrue(self.monitor.is_silent(self.probed_at + 60.0))

    def test_answered_probe(self):
        self.monitor.record_probe(self.probed_at)
        self.monitor.record_reply(2, self.probed_at + 0.1)
        self.assertFalse(self.monitor.is_silent(100.0))

    def test_standstill_of_this_process(self):
        self.monitor.record_probe(self.probed_at)
        self.monitor.restart(20.0)
        self.assertFalse(self.monitor.is_silent(20.1))
        self.assertTrue(self.monitor.is_silent(20.1 + PROBE_TIMEOUT))


if __name__ == "__main__":
    unittest.main()
