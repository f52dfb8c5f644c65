"""Test how long the leases of earlier coordinators are waited for."""

import unittest

from fireflystand_core.ranges import (
    AUTHORITY_PERIOD,
    LeaseTiming,
    RangeRecord,
    Succession,
    stated_duration_ms,
)

SHORT = LeaseTiming(lease_duration=3.0)
LONG = LeaseTiming(lease_duration=9.0)


def claimed_record(timing: LeaseTiming, earlier_leases_ms: int = 0) -> RangeRecord:
    """Return a record that one process has claimed."""
    return RangeRecord("orders").claim(
        "a",
        "a1",
        lease_validity_ms=timing.max_validity_ms,
        earlier_leases_ms=earlier_leases_ms,
    )


class SuccessionTests(unittest.TestCase):
    """Guard against waits that are shorter than the leases before a claim."""

    def setUp(self):
        self.succession = Succession(LONG)

    def test_first_claim_waits_for_nothing(self):
        record = RangeRecord("orders")
        self.succession.follow(record, 10.0)
        self.assertEqual(
            self.succession.earlier_leases(record).until(10.0), float("-inf")
        )

    def test_end_of_the_predecessor_does_not_end_what_it_waited_for(self):
        record = claimed_record(SHORT, earlier_leases_ms=9561)
        self.succession.follow(record, 10.0)
        self.assertAlmostEqual(
            self.succession.earlier_leases(record).until(11.0), 19.561
        )

    def test_duration_begins_with_the_first_look_at_the_claim(self):
        record = claimed_record(SHORT, earlier_leases_ms=9561)
        for now in (10.0, 12.0, 14.0):
            self.succession.follow(record.assign(0, 9, "t1", 1), now)
        self.assertAlmostEqual(
            self.succession.earlier_leases(record).until(14.0), 19.561
        )
        later = record.claim("b", "b1", lease_validity_ms=3561, earlier_leases_ms=9561)
        self.succession.follow(later, 15.0)
        self.assertAlmostEqual(
            self.succession.earlier_leases(later).until(15.0), 24.561
        )

    def test_claim_that_states_nothing_grants_the_longest_leases(self):
        record = RangeRecord("orders").claim("a", "a1")
        self.succession.follow(record, 10.0)
        until = self.succession.earlier_leases(record).until(30.0)
        self.assertAlmostEqual(until, 30.0 + LONG.max_validity)
        until = self.succession.earlier_leases(record).until(10.0)
        self.assertAlmostEqual(until, 10.0 + AUTHORITY_PERIOD + LONG.max_validity)

    def test_longest_stated_validity_outlives_its_claim(self):
        self.succession.follow(claimed_record(LONG), 10.0)
        self.succession.follow(claimed_record(SHORT).claim("b", "b1"), 11.0)
        self.assertEqual(self.succession.longest_stated_validity, 9.68)


class StatedDurationTests(unittest.TestCase):
    """Guard against a write of the record for each ordinary claim."""

    def test_leases_as_long_as_the_own_ones_are_not_stated(self):
        for now in (0.0, 1234.567, 98765.4321):
            until = now + SHORT.max_validity_ms / 1000
            self.assertEqual(stated_duration_ms(until - now, SHORT), 0)

    def test_longer_leases_are_stated(self):
        self.assertEqual(stated_duration_ms(9.68, SHORT), 9680)
        self.assertEqual(stated_duration_ms(9.6801, SHORT), 9681)
        self.assertEqual(stated_duration_ms(float("-inf"), SHORT), 0)


class StoredFormTests(unittest.TestCase):
    """Guard against durations that are lost or of a wrong type in the store."""

    def test_durations_are_stored(self):
        record = claimed_record(LONG, earlier_leases_ms=15680)
        self.assertEqual(RangeRecord.from_value(record.to_value()), record)
        over = record.with_earlier_leases(0)
        self.assertNotIn("earlier_leases_ms", over.to_value())
        self.assertGreater(over.progress, record.progress)

    def test_durations_of_another_type_are_refused(self):
        value = claimed_record(LONG, earlier_leases_ms=15680).to_value()
        for name in ("lease_validity_ms", "earlier_leases_ms"):
            for odd in ("9680", 9.5, True, [1]):
                with self.subTest(name=name, odd=odd), self.assertRaises(ValueError):
                    RangeRecord.from_value({**value, name: odd})
