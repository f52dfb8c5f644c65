"""Test the record of a group and the rules of its coordinator."""

import unittest

from fireflystand_core.groups import (
    GroupCoordinator,
    GroupIdentity,
    GroupRecord,
    HotKeyCounter,
    Predecessor,
    ReadRecord,
    Stopped,
    TargetInfo,
    Timing,
    spread_hot_keys,
)
from fireflystand_core.groups.lease import EarlierEpochs

WITNESSES = {"w1": "1", "w2": "1", "w3": "1"}


class GroupRecordTests(unittest.TestCase):
    """Guard against records that lose a part on their way through the store."""

    def test_round_trip(self):
        record = GroupRecord.first("a", "1", WITNESSES, "op")
        record = record.move({0: "t1", 1: "t1", 5: "t2"}, "op2")
        record = record.override({2**63: (512, "t2")}, frozenset(), "op3")
        record = record.suspect(("f1",), "op4").claim("b", "1", WITNESSES, "op5")
        self.assertEqual(GroupRecord.from_value(record.to_value()), record)

    def test_suspects_are_bounded(self):
        record = GroupRecord.first("a", "1", WITNESSES, "op")
        for number in range(100):
            record = record.suspect((str(number),), "op")
        self.assertEqual(len(record.suspects), 64)
        self.assertEqual(record.suspects[-1], "99")


class CoordinatorTests(unittest.TestCase):
    """Guard against decisions without authority and lost store responses."""

    def setUp(self):
        identity = GroupIdentity("winkel", 0, (0, 1, 2, 3), "a", "1", 4)
        self.coordinator = GroupCoordinator(identity)

    def claim(self):
        targets = [TargetInfo("t1"), TargetInfo("t2")]
        return self.coordinator.claim(None, 0, WITNESSES, targets, 10.0)[0].record

    def test_lost_response_is_recognised_by_the_operation_id(self):
        record = self.claim()
        self.coordinator.write_failed(record.operation_id, 10.5)
        actions = self.coordinator.tick(10.7)
        self.assertIn(ReadRecord(), actions)
        self.coordinator.read(record, 1, 10.8)
        self.assertEqual(self.coordinator.phase, "active")

    def test_record_of_another_instance_stops_the_claim(self):
        self.claim()
        other = GroupRecord.first("b", "1", WITNESSES, "other")
        actions = self.coordinator.read(other, 1, 10.1)
        self.assertIsInstance(actions[0], Stopped)

    def test_authority_counts_from_when_confirmations_were_asked_for(self):
        record = self.claim()
        self.coordinator.written(record.operation_id, 1, 10.1)
        self.coordinator.confirmed("w1", "1", 1, 10.1, 10.4)
        self.assertFalse(self.coordinator.has_authority(10.4))
        self.coordinator.confirmed("w2", "1", 1, 10.2, 10.4)
        self.assertTrue(self.coordinator.has_authority(10.59))
        self.assertFalse(self.coordinator.has_authority(10.61))


class EarlierEpochsTests(unittest.TestCase):
    """Guard against an epoch that nobody sealed but that can still act."""

    def test_every_earlier_epoch_has_to_be_sealed(self):
        record = GroupRecord.first("a", "1", {"w1": "1"}, "op1")
        record = record.claim("b", "1", {"w2": "1"}, "op2")
        record = record.claim("c", "1", {"w3": "1"}, "op3")
        earlier = EarlierEpochs(record.predecessors, Timing())
        earlier.sealed("w2", "1", 5.0, 20.0)
        self.assertIsNone(earlier.authority_end())
        earlier.sealed("w1", "1", 0.0, 21.0)
        self.assertAlmostEqual(earlier.authority_end(), 21.505)


class WitnessListTests(unittest.TestCase):
    """Guard against a cut-off coordinator that keeps its group for itself."""

    def setUp(self):
        identity = GroupIdentity("winkel", 0, (0,), "a", "1", 1)
        self.coordinator = GroupCoordinator(identity)
        targets = [TargetInfo("t1", checks_epoch=False)]
        witnesses = {"a": "1", "b": "1", "c": "1"}
        record = self.coordinator.claim(None, 0, witnesses, targets, 10.0)[0].record
        self.coordinator.written(record.operation_id, 1, 10.0)

    def next_witnesses(self, now):
        self.coordinator.set_instances({"a": "1"}, {"a": "namur-a"})
        actions = self.coordinator.confirmed("a", "1", 1, now, now)
        return [dict(a.record.witnesses) for a in actions if hasattr(a, "record")]

    def test_silent_witnesses_are_not_left_out(self):
        self.assertEqual(self.next_witnesses(13.0), [])

    def test_dead_witnesses_are_left_out(self):
        self.coordinator.instance_died("b", "1", 12.9)
        self.coordinator.instance_died("c", "1", 12.9)
        self.assertEqual(self.next_witnesses(13.0), [{"a": "1"}])

    def test_permits_of_own_earlier_epochs_are_known(self):
        earlier = EarlierEpochs([Predecessor(1, {"a": "1"})], Timing())
        earlier.given_up(1, 12.0, own=True)
        self.assertEqual(earlier.permits_known_from(), 0.0)
        earlier.given_up(1, 12.0)
        self.assertEqual(earlier.permits_known_from(), 12.0)


class HotKeyTests(unittest.TestCase):
    """Guard against several hot keys on one target."""

    def test_hottest_keys_are_kept_in_bounded_memory(self):
        counter = HotKeyCounter(8)
        for number in range(1000):
            counter.add(number)
            counter.add(-1 - number % 2, 2.0)
        hottest = [key for key, _ in counter.hottest(500)]
        self.assertEqual(sorted(hottest), [-2, -1])

    def test_hot_keys_spread(self):
        hot = [(1, 10.0), (2, 9.0), (3, 8.0)]
        owners = dict.fromkeys((1, 2, 3), "a")
        moves = spread_hot_keys(hot, owners, ["a", "b", "c"])
        self.assertEqual(set(moves.values()), {"b", "c"})


class MarkerTests(unittest.TestCase):
    """Guard against an order that runs twice after its coordinator was killed.

    A majority of witnesses holds the marker of requests that ran while the store was
    away. A dead witness ends its authority, but its marker cannot be read any more.
    """

    def setUp(self):
        self.earlier = EarlierEpochs([Predecessor(1, WITNESSES)], Timing())

    def successor(self) -> GroupCoordinator:
        """Return a coordinator that claimed a group and knows w1 to be dead."""
        identity = GroupIdentity("winkel", 0, (0, 1, 2, 3), "a", "1", 4)
        coordinator = GroupCoordinator(identity)
        first = GroupRecord.first("b", "1", WITNESSES, "op")
        action = coordinator.claim(first, 1, WITNESSES, [], 10.0)[0]
        coordinator.written(action.record.operation_id, 2, 10.0)
        coordinator.instance_died("w1", "1", 10.0)
        return coordinator

    def test_death_does_not_stand_in_for_an_answer(self):
        self.earlier.died("w1", "1", 10.0)
        self.earlier.sealed("w2", "1", 0.1, 10.0)
        self.assertIsNotNone(self.earlier.authority_end())
        self.assertFalse(self.earlier.markers_known())
        self.assertEqual(self.earlier.unsealed_witnesses(), ["w3"])
        self.earlier.sealed("w3", "1", 0.1, 10.1)
        self.assertTrue(self.earlier.markers_known())
        self.assertEqual(self.earlier.unsealed_witnesses(), [])

    def test_restarted_witness_has_lost_its_marker(self):
        self.earlier.sealed("w1", "2", None, 10.0)
        self.earlier.sealed("w2", "1", 0.1, 10.0)
        self.assertFalse(self.earlier.markers_known())

    def test_coordinator_waits_for_markers_and_then_assumes_the_worst(self):
        coordinator = self.successor()
        coordinator.sealed("w2", "1", coordinator.epoch, 0.1, False, 10.0)
        self.assertFalse(coordinator.earlier_ended(10.8))
        self.assertTrue(coordinator.earlier_ended(12.0))
        self.assertTrue(coordinator.predecessor_unjournaled)

    def test_answers_of_all_live_witnesses_settle_the_marker(self):
        coordinator = self.successor()
        for witness in ("w2", "w3"):
            coordinator.sealed(witness, "1", coordinator.epoch, 0.1, False, 10.1)
        self.assertTrue(coordinator.earlier_ended(10.8))
        self.assertFalse(coordinator.predecessor_unjournaled)


if __name__ == "__main__":
    unittest.main()
