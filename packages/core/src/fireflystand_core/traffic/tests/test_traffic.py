"""Test routes, weights, replicas of the store and shared rate limits."""

import unittest
from random import Random

from fireflystand_core.accounts import SharedTokenBucket
from fireflystand_core.replica import KindReplica, ObjectChange, ReplicaState
from fireflystand_core.traffic import (
    ClientAccount,
    EntryLimits,
    RequestKind,
    Route,
    RoutingTable,
    WeightedChoice,
    WeightedService,
)

LARGEST_SHARE_ERROR = 0.1  # as the operators state it


def route(prefix: str, *services: tuple[str, float]) -> Route:
    """Return a route of the host a.example."""
    parts = services or (("s", 1.0),)
    return Route(
        name=prefix,
        host="a.example",
        prefix=prefix,
        kind=RequestKind.SAFE,
        services=tuple(WeightedService(*part) for part in parts),
        timeout=1.0,
        target_latency=0.5,
    )


class RouteTests(unittest.TestCase):
    """Guard against requests that run by another route than the longest prefix."""

    def test_longest_prefix_of_the_host(self):
        routes = [route("/"), route("/a/"), route("/a/b/")]
        accounts = [ClientAccount("x", ("k1", "k2"))]
        table = RoutingTable(1, routes, [], accounts, EntryLimits())
        for path, expected in (
            ("/a/b/c", "/a/b/"),
            ("/a/bc/d", "/a/"),
            ("/ab", "/"),
            ("/a/b/", "/a/b/"),
        ):
            self.assertEqual(table.route("A.EXAMPLE", path).prefix, expected)
        self.assertIsNone(table.route("b.example", "/a/"))
        self.assertEqual(table.account("k2").name, "x")

    def test_only_capacity_limits_callers_without_accounts(self):
        accounts = [ClientAccount("x", ("k",))]
        for some, expected in (([], True), (accounts, False)):
            table = RoutingTable(1, [], [], some, EntryLimits())
            self.assertEqual(table.limits_by_capacity, expected)

    def test_weights_hold_in_short_spans(self):
        choice = WeightedChoice(Random(1))
        divided = route("/", ("s1", 75), ("s2", 25))
        chosen = [choice.choose(divided) for _ in range(40)]
        self.assertEqual(chosen.count("s1"), 30)
        self.assertEqual(chosen[:4].count("s2"), 1)

    def test_weights_hold_over_instances_that_get_few_requests_each(self):
        """All instances sent their first request of a route to the same service."""
        divided = route("/", ("s1", 50), ("s2", 50))
        for requests in (1, 2, 3):
            chosen = []
            for instance in range(200):
                choice = WeightedChoice(Random(instance))
                chosen += [choice.choose(divided) for _ in range(requests)]
            with self.subTest(requests=requests):
                share = chosen.count("s1") / len(chosen)
                self.assertAlmostEqual(share, 0.5, delta=LARGEST_SHARE_ERROR)


class ReplicaTests(unittest.TestCase):
    """Guard against replicas that revert, or wrongly count as complete."""

    def test_older_versions_change_nothing(self):
        replica = KindReplica("k")
        replica.replace(5, [ObjectChange("a", 5, 1)], 0.0)
        self.assertEqual(replica.apply(5, 7, [ObjectChange("a", 4, 0)], 1.0), [])
        self.assertEqual(replica.replace(3, [], 2.0), [])
        self.assertEqual(replica.by_name["a"].value, 1)

    def test_deleted_object_does_not_return_with_a_late_push(self):
        replica = KindReplica("k")
        replica.replace(5, [ObjectChange("a", 5, 1)], 0.0)
        replica.apply(5, 9, [ObjectChange("a", 9, None)], 1.0)
        self.assertEqual(replica.apply(5, 8, [ObjectChange("a", 8, 2)], 2.0), [])
        self.assertNotIn("a", replica.by_name)

    def test_deletion_of_an_object_that_never_arrived_is_passed_on(self):
        """A peer that had the object kept it and counted as complete without it."""
        watcher, peer = KindReplica("k"), KindReplica("k")
        watcher.replace(4, [], 0.0)
        peer.replace(5, [ObjectChange("a", 5, 1)], 0.0)
        events = [ObjectChange("a", 5, 1), ObjectChange("a", 7, None)]
        watcher.apply(4, 7, events, 1.0)
        state = peer.confirm(watcher.revision, watcher.changed, 1.0)
        self.assertIsNot(state, ReplicaState.CURRENT)
        peer.apply(4, 7, watcher.changes_after(4), 1.0)
        self.assertNotIn("a", peer.by_name)

    def test_push_without_the_changes_before_it_proves_nothing(self):
        replica = KindReplica("k")
        replica.replace(5, [], 0.0)
        replica.apply(8, 9, [ObjectChange("a", 9, 1)], 3.0)
        self.assertEqual((replica.revision, replica.confirmed_at), (5, 0.0))
        self.assertEqual(replica.by_name["a"].value, 1)

    def test_proof_of_a_peer_counts_only_without_missing_changes(self):
        replica = KindReplica("k")
        replica.replace(5, [], 0.0)
        self.assertIs(replica.confirm(8, 5, 4.0), ReplicaState.CURRENT)
        self.assertEqual((replica.revision, replica.confirmed_at), (8, 4.0))
        self.assertIs(replica.confirm(12, 11, 6.0), ReplicaState.OLDER)
        self.assertEqual(replica.confirmed_at, 4.0)


class RateTests(unittest.TestCase):
    """Guard against accounts that exceed their rate, or are held below it."""

    def test_two_desks_of_a_divided_fleet_give_the_rate_together(self):
        buckets = [SharedTokenBucket(100, 100, share, 0.0) for share in (0.25, 0.75)]
        given = 0
        for step in range(500):
            for bucket in buckets:
                given += bucket.draw(10, step / 100)[0]
        self.assertLessEqual(given, (100 * 5 + 100) * 1.1)
        self.assertGreaterEqual(given, 100 * 5)

    def test_small_account_keeps_its_rate_in_a_fleet_whose_parts_are_apart(self):
        """A part of the burst below one token never granted any."""
        count, rate, seconds = 82, 20, 10
        buckets = [SharedTokenBucket(rate, rate, 1 / count, 0.0) for _ in range(count)]
        given = 0
        for step in range(10 * seconds):
            for bucket in buckets:
                given += bucket.draw(1, step / 10)[0]
        self.assertLessEqual(given, (rate * seconds + rate) * 1.1)
        self.assertGreaterEqual(given, 0.9 * rate * seconds)

    def test_refusal_tells_when_there_is_a_token(self):
        bucket = SharedTokenBucket(10, 1, 1.0, 0.0)
        bucket.draw(10, 1.0)
        given, retry_after = bucket.draw(1, 1.0)
        self.assertEqual(given, 0)
        self.assertAlmostEqual(retry_after, 0.1, delta=0.02)


if __name__ == "__main__":
    unittest.main()
