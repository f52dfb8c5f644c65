"""Test how long requests wait for a key range without an owner."""

import unittest

from fireflystand_core.dispatch import OwnerWaits

ITEM = ("orders", 100, 7)


class OwnerWaitsTests(unittest.TestCase):
    """Guard against requests held for a key that gets no owner in their time."""

    def test_first_requests_wait_for_the_end_of_a_move(self):
        waits = OwnerWaits()
        self.assertAlmostEqual(waits.wait_ends_at(ITEM, 10.0, 18.0), 11.0)

    def test_request_keeps_time_to_return(self):
        waits = OwnerWaits()
        self.assertAlmostEqual(waits.wait_ends_at(ITEM, 10.0, 10.6), 10.15)

    def test_range_without_owner_for_long_is_not_waited_for(self):
        """For 3 s of an outage, some 150 requests a second waited to their end."""
        waits = OwnerWaits()
        waits.wait_ends_at(ITEM, 10.0, 11.2)
        for now in (11.0, 11.9, 12.8, 13.5):
            self.assertLessEqual(waits.wait_ends_at(ITEM, now, now + 1.2), now)

    def test_retry_after_grows_with_the_time_without_owner(self):
        waits = OwnerWaits()
        waits.wait_ends_at(ITEM, 10.0, 11.2)
        times = [waits.retry_after(ITEM, now) for now in (10.1, 11.0, 30.0)]
        self.assertEqual(times, [0.3, 1.0, 2.0])

    def test_range_with_an_owner_begins_anew(self):
        waits = OwnerWaits()
        waits.wait_ends_at(ITEM, 10.0, 18.0)
        waits.record_owner(ITEM)
        self.assertAlmostEqual(waits.wait_ends_at(ITEM, 20.0, 28.0), 21.0)

    def test_range_that_nobody_asked_for_meanwhile_begins_anew(self):
        waits = OwnerWaits()
        waits.wait_ends_at(ITEM, 10.0, 18.0)
        self.assertAlmostEqual(waits.wait_ends_at(ITEM, 40.0, 48.0), 41.0)

    def test_other_ranges_wait_for_themselves(self):
        waits = OwnerWaits()
        waits.wait_ends_at(ITEM, 10.0, 18.0)
        self.assertAlmostEqual(waits.wait_ends_at(("o", 1, 8), 12.0, 20.0), 13.0)


if __name__ == "__main__":
    unittest.main()
