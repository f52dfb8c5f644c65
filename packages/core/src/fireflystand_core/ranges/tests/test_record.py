"""Test the claims of a range record, also in a store that was restored."""

import unittest

from fireflystand_core.ranges import RangeRecord

JSON_BOUND = 2**53


def assigned_record(era: int = 1) -> RangeRecord:
    """Return a record with two owners, claimed in an era of the store."""
    record = RangeRecord("orders").claim("a", "a1", era=era, number=3)
    record = RangeRecord.from_value({**record.to_value(), "awaits_leases": False})
    return record.assign(0, 29, "t1", 1).assign(30, 65535, "t2", 1)


class ClaimTests(unittest.TestCase):
    """Guard against epochs and fencing tokens that are given out twice."""

    def test_claims_of_one_era_raise_the_epoch_by_one(self):
        record = assigned_record()
        claimed = record.claim("b", "b1", era=1, number=9)
        self.assertEqual(claimed.epoch, record.epoch + 1)
        self.assertEqual(claimed.next_fence, record.next_fence)
        self.assertFalse(claimed.awaits_leases)

    def test_claim_of_a_restored_record_gives_lost_tokens_out_again(self):
        lost = assigned_record()
        for _ in range(1000):
            lost = lost.claim("b", "b1", era=1, number=9).assign(0, 9, "t2", 1)
        claimed = RangeRecord("orders").claim("c", "c1", era=2, number=1)
        self.assertGreater(claimed.epoch, lost.epoch)
        self.assertGreaterEqual(claimed.next_fence, lost.next_fence)

    def test_claim_that_replaces_a_claim_of_its_era_gives_its_tokens_out_again(self):
        """A late write of the earlier era had replaced the other claim's record."""
        former = assigned_record()
        other = former.claim("b", "b1", era=2, number=5).settle({"t1": 1, "t2": 1})
        claimed = former.claim("a", "a1", era=2, number=7)
        self.assertGreater(claimed.epoch, other.epoch)
        self.assertGreater(claimed.next_fence, other.next_fence)

    def test_tokens_exceed_the_whole_numbers_of_json(self):
        record = assigned_record().claim("b", "b1", era=8191, number=2**40 - 1)
        self.assertEqual(record.era, 8191)
        self.assertLess(record.assign(0, 9, "t1", 1).next_fence, JSON_BOUND)

    def test_claim_that_lacks_nothing_waits_for_leases(self):
        record = assigned_record()
        claimed = record.claim("a", "a1", era=2, number=5, is_complete=True)
        self.assertFalse(claimed.awaits_leases)
        self.assertEqual(claimed.ranges, record.ranges)

    def test_successor_forgets_that_leases_are_waited_for(self):
        record = assigned_record().claim("b", "b1", era=2, number=5)
        stored = RangeRecord.from_value(record.to_value())
        self.assertEqual(stored, record)
        self.assertTrue(stored.claim("c", "c1", era=2, number=6).awaits_leases)

    def test_settled_ranges_keep_tokens_or_owners_that_have_ended(self):
        record = assigned_record().claim("b", "b1", era=2, number=5)
        settled = record.settle({"t1": 1, "t2": 2})
        self.assertFalse(settled.awaits_leases)
        self.assertEqual([item.target for item in settled.ranges], ["t1", ""])
        self.assertGreaterEqual(settled.owner(0).fence, record.next_fence)

    def test_record_is_settled_twice(self):
        """A second one came late and took the owners' ranges without a release."""
        record = assigned_record().claim("b", "b1", era=2, number=5)
        settled = record.settle({"t1": 1, "t2": 1})
        self.assertEqual(settled.settle({}), settled)


if __name__ == "__main__":
    unittest.main()
