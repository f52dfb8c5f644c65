"""Test the feed state."""

import itertools
import unittest

from fireflystand_core.feed import FeedState, batches
from fireflystand_core.messages import FeedItem


class FeedStateTests(unittest.TestCase):
    """Guard against items that go back and digests that hide a difference."""

    def test_older_version_and_deleted_item_do_not_come_back(self):
        state = FeedState()
        newer, older = FeedItem("keys/a", 5, "new"), FeedItem("keys/a", 4, "old")
        self.assertEqual(state.accept([newer, older]), [newer])
        state.accept([FeedItem("keys/a", 6, None)])
        self.assertEqual(state.accept([newer, older]), [])
        self.assertEqual(state.keys("keys/"), [])

    def test_digest_depends_on_the_versions_and_not_on_their_order(self):
        items = [FeedItem("a", 1, "x"), FeedItem("a", 3, "y"), FeedItem("b", 2, None)]
        digests = set()
        for order in itertools.permutations(items):
            state = FeedState()
            state.accept(order)
            digests.add(state.digest)
        self.assertEqual(len(digests), 1)
        state.accept([FeedItem("b", 4, "z")])
        self.assertNotIn(state.digest, digests)

    def test_peer_gets_what_it_lacks_oldest_first(self):
        state = FeedState()
        state.accept(
            [FeedItem("a", 9, "x"), FeedItem("b", 2, "y"), FeedItem("c", 3, "")]
        )
        lacking = state.newer_than({"b": 2, "a": 4})
        self.assertEqual([item.key for item in lacking], ["c", "a"])
        self.assertEqual([item.key for item in state.since(2)], ["c", "a"])

    def test_batches_are_bounded_and_lose_nothing(self):
        items = [FeedItem(f"k{n}", n, "v" * 100) for n in range(20)]
        items.append(FeedItem("large", 99, "v" * 2000))
        found = list(batches(items, 500))
        self.assertEqual([item for batch in found for item in batch], items)
        self.assertEqual(max(len(batch) for batch in found), 3)


if __name__ == "__main__":
    unittest.main()
