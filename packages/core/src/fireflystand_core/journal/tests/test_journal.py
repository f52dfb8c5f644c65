"""Test the journal index and its segments."""

import unittest

import attrs

from fireflystand_core.journal import (
    BUCKET,
    JournalIndex,
    Segment,
    bucket_prefixes,
    decode_batch,
    encode_batch,
    first_number,
    is_expired,
    segment_key,
)
from fireflystand_core.messages import StoredAnswer

ANSWER = StoredAnswer(201, [("A", "b")], b"\x00\xff")


def make_index(epoch=1, **options):
    return JournalIndex("winkel", 0, epoch, clock_offset=1000.0, **options)


class JournalIndexTests(unittest.TestCase):
    """Guard against a repeat that runs a second time."""

    def test_intent_without_outcome_is_unknown_after_a_takeover(self):
        old = make_index()
        old.begin("k", 1, "r0", False, 0.0)
        new = make_index(2)
        new.load([old.entry("k", 0.0)], 10.0)
        self.assertEqual(new.begin("k", 1, "r1", False, 10.0).outcome, "unknown")

    def test_same_request_may_ask_again_but_counts_as_perhaps_run(self):
        old = make_index()
        old.begin("k", 1, "r0", False, 0.0)
        new = make_index(2)
        new.load([old.entry("k", 0.0)], 10.0)
        begin = new.begin("k", 1, "r0", False, 10.0)
        self.assertEqual((begin.action, begin.sequence), ("run", 2))
        new.finish("k", 2, "not-run", None, 11.0)
        self.assertEqual(new.begin("k", 1, "r1", False, 12.0).outcome, "unknown")

    def test_order_of_entries_in_the_store_does_not_matter(self):
        old = make_index()
        old.begin("k", 1, "r0", False, 0.0)
        entries = [old.entry("k", 0.0)]
        old.finish("k", 1, "not-run", None, 1.0)
        entries.append(old.entry("k", 1.0))
        old.begin("k", 1, "r1", False, 2.0)
        entries.append(old.entry("k", 2.0))
        for order in (entries, entries[::-1]):
            new = make_index(2)
            new.load(order, 3.0)
            self.assertEqual(new.begin("k", 1, "r2", False, 3.0).outcome, "unknown")

    def test_return_of_an_earlier_run_does_not_end_a_later_one(self):
        index = make_index()
        index.begin("k", 1, "r0", False, 0.0)
        index.finish("k", 1, "not-run", None, 1.0)
        index.begin("k", 1, "r1", False, 2.0)
        self.assertIsNone(index.finish("k", 1, "not-run", None, 3.0))
        self.assertEqual(index.begin("k", 1, "r2", False, 4.0).action, "wait")

    def test_gap_answers_unknown_until_retention(self):
        index = make_index(retention=60.0)
        index.mark_gap(0.0)
        self.assertEqual(index.begin("k", 1, "r", False, 59.0).outcome, "unknown")
        self.assertEqual(index.begin("k", 1, "r", False, 61.0).action, "run")

    def test_gap_may_hide_a_later_run_of_a_known_request(self):
        old = make_index()
        old.begin("k", 1, "r0", False, 0.0)
        old.finish("k", 1, "not-run", None, 1.0)
        new = make_index(2)
        new.load([old.entry("k", 1.0)], 2.0)
        new.mark_gap(2.0)
        self.assertEqual(new.begin("k", 1, "r1", False, 3.0).outcome, "unknown")

    def test_large_body_is_not_kept(self):
        index = make_index()
        index.begin("k", 1, "r0", False, 0.0)
        large = attrs.evolve(ANSWER, body=b"x" * 70_000)
        index.finish("k", 1, "answered", large, 1.0)
        self.assertEqual(index.begin("k", 1, "r1", False, 2.0).status, 409)

    def test_full_index_refuses_instead_of_forgetting(self):
        index = make_index(max_records=1, retention=60.0)
        index.begin("k", 1, "r0", False, 0.0)
        index.finish("k", 1, "answered", ANSWER, 1.0)
        self.assertEqual(index.begin("l", 1, "r1", False, 2.0).status, 503)
        index.expire(62.0)
        self.assertEqual(index.begin("l", 1, "r1", False, 62.0).action, "run")


class SegmentTests(unittest.TestCase):
    """Guard against entries that the store changes or keeps for ever."""

    def test_batch_survives_the_store(self):
        index = make_index()
        index.begin("k", 1, "r0", False, 0.0)
        index.finish("k", 1, "answered", ANSWER, 1.0)
        entry = index.entry("k", 1.0)
        self.assertEqual(decode_batch(encode_batch([entry])), [entry])

    def test_segment_rolls_and_expires(self):
        segment = Segment(1).added("x" * 100_000, "op", 50.0)
        self.assertTrue(segment.fits("x", 50.0))
        self.assertFalse(segment.fits("x" * 100_000, 50.0))
        self.assertFalse(segment.fits("x", 50.0 + BUCKET))
        self.assertFalse(is_expired(segment.value(), 100.0, 60.0))
        self.assertTrue(is_expired(segment.value(), 111.0, 60.0))

    def test_prefixes_cover_the_retention_and_little_more(self):
        now, retention = 1_764_800_000.0, 600.0
        prefixes = bucket_prefixes(3, now, retention)
        self.assertLessEqual(len(prefixes), 9)
        for begun in range(-60, 601, 30):
            key = segment_key(3, first_number(now - begun) + 7)
            found = [p for p in prefixes if key.startswith(p)]
            self.assertEqual(len(found), 1, begun)
        old = segment_key(3, first_number(now - 1200))
        self.assertFalse([p for p in prefixes if old.startswith(p)])


if __name__ == "__main__":
    unittest.main()
