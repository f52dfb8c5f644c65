"""Test the peer table."""

import unittest
from random import Random

from fireflystand_core.membership import PeerEntry, PeerTable


def entry(name: str, data_centre="namur-a", leaving=False) -> PeerEntry:
    return PeerEntry(name, "127.0.0.1:1", data_centre, leaving)


class PeerTableTests(unittest.TestCase):
    """Guard against wrong majorities, lost peers and missing watchers."""

    def table(self, peers=11):
        table = PeerTable(entry("own"), Random(1))
        table.seed([entry(f"i{n}") for n in range(peers)], 0.0)
        return table

    def round(self, table, now, reachable=lambda peer: True):
        for probe in table.next_probes(3, now):
            if reachable(probe.peer):
                table.answered(probe, "1", now)
            else:
                table.failed(probe)

    def rounds(self, table, start, count, reachable=lambda peer: True):
        for step in range(count):
            self.round(table, start + step * 0.5, reachable)
        return start + count * 0.5

    def test_every_peer_is_probed_once_in_a_round_robin(self):
        table = self.table(12)
        probed = [
            p.peer for n in range(4) for p in table.next_probes(3, n) if p.counted
        ]
        self.assertEqual(sorted(probed), sorted(table.peer_ids))

    def test_majority_is_lost_within_4_5_s_of_a_cut_even_in_a_large_fleet(self):
        for peers in (11, 869):
            table = self.table(peers)
            cut = self.rounds(table, 0.0, 30)
            self.assertLessEqual(table.majority_age(cut), 0.5)
            now = self.rounds(table, cut, 9, lambda peer: False)
            self.assertGreaterEqual(table.majority_age(now), 3.0)
            self.assertFalse(table.is_connected())

    def test_half_of_the_fleet_is_not_a_majority(self):
        table = self.table(11)
        now = self.rounds(table, 0.0, 20)
        side = {f"i{n}" for n in range(5)}
        cut = now
        now = self.rounds(table, now, 20, side.__contains__)
        self.assertGreaterEqual(table.majority_age(now), now - cut - 1.5)
        now = self.rounds(table, now, 20, (side | {"i7"}).__contains__)
        self.assertLess(table.majority_age(now), 3.0)

    def test_two_of_three_instances_are_a_majority(self):
        # Otherwise the loss of one router of three during a store outage would
        # make the other two stop admitting.
        for peers, reached, expected in ((2, 1, True), (2, 0, False), (3, 1, False)):
            with self.subTest(peers=peers, reached=reached):
                table = self.table(peers)
                side = {f"i{n}" for n in range(reached)}
                now = self.rounds(table, 0.0, 12, side.__contains__)
                self.assertEqual(table.majority_age(now) < 1.0, expected)
                self.assertEqual(table.is_connected(), expected)

    def test_no_majority_before_enough_heartbeats(self):
        table = self.table(11)
        self.rounds(table, 0.0, 1)
        self.assertEqual(table.majority_age(1.0), float("inf"))

    def test_single_instance_is_connected_once_listed(self):
        table = PeerTable(entry("own"), Random(1))
        self.assertEqual(table.majority_age(0.0), float("inf"))
        table.seed([entry("own")], 0.0)
        self.assertEqual(table.majority_age(9.0), 0.0)

    def test_answering_peer_survives_a_lagging_list(self):
        table = self.table(2)
        table.heard(entry("new"), "1", 5.0)
        self.assertEqual(table.seed([entry("i0")], 6.0), [])
        table.heard(entry("new"), "1", 12.0)
        self.assertEqual(table.seed([entry("i0")], 16.0), ["i1"])
        self.assertIn("new", table.live_ids())

    def test_message_of_a_replaced_incarnation_counts_for_nothing(self):
        table = self.table(1)
        self.assertTrue(table.heard(entry("i0"), "1", 1.0))
        self.assertTrue(table.heard(entry("i0"), "2", 2.0))
        self.assertFalse(table.heard(entry("i0"), "1", 3.0))
        self.assertEqual(table.incarnation_of("i0"), "2")
        [probe] = [p for p in table.next_probes(1, 4.0) if p.counted]
        table.answered(probe, "1", 4.0)
        self.assertFalse(table.is_connected())

    def test_next_instance_watches_when_a_watcher_is_suspected(self):
        table = self.table(5)
        first, second = table.watchers("namur-a")
        while table.is_live(first):
            self.round(table, 1.0, lambda peer: peer != first)
        self.assertEqual(table.watchers("namur-a")[0], second)
        self.assertEqual(len(table.watchers("namur-a")), 2)

    def test_replacement_probes_watchers_each_round_in_a_large_fleet(self):
        names = [f"i{n}" for n in range(300)]
        first, second = self.watchers(names)
        _, third = self.watchers([name for name in names if name != first])
        table = PeerTable(entry(third), Random(1))
        table.seed([entry(name) for name in names], 0.0)
        extra = {
            p.peer for n in range(4) for p in table.next_probes(3, n) if not p.counted
        }
        self.assertEqual(extra, {first, second})

    def watchers(self, names):
        table = PeerTable(entry(names[0]), Random(1))
        table.seed([entry(name) for name in names], 0.0)
        return table.watchers("namur-a")


if __name__ == "__main__":
    unittest.main()
