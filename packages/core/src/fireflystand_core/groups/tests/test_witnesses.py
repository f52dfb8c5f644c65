"""Test the choice of the instances that confirm a coordinator."""

import unittest

from fireflystand_core.groups import GroupCoordinator, GroupRecord, WriteRecord
from fireflystand_core.groups.identity import GroupIdentity
from fireflystand_core.groups.lease import AuthorityLease
from fireflystand_core.groups.timing import Timing
from fireflystand_core.groups.witnesses import WitnessChoice

IDENTITY = GroupIdentity("accounts", 1, (), "a", "a1", 0, 1)
DATA_CENTRES = {"a": "east", "b": "north", "c": "west"}


class LoneCoordinatorTests(unittest.TestCase):
    """Guard against a list of the coordinator alone that outlives its cause.

    Nobody takes such a group over in time, since no other instance is named: with
    three instances that were replaced in turn a group waited for 3 s.
    """

    def setUp(self):
        timing = Timing()
        self.choice = WitnessChoice(IDENTITY, timing)
        self.lease = AuthorityLease(timing)
        self.name({"a": "a1", "b": "b1", "c": "c1"}, 0.0)

    def name(self, witnesses, now):
        self.lease.name_witnesses(witnesses, now)
        for witness, incarnation in witnesses.items():
            self.lease.confirm(witness, incarnation, now)

    def see(self, **incarnations):
        centres = {i: DATA_CENTRES[i] for i in incarnations}
        self.choice.set_instances(incarnations, centres)

    def lose_both_others(self, now):
        self.see(a="a1")
        self.choice.note_dead("b", "b1", now)
        self.choice.note_dead("c", "c1", now)
        replacement = self.choice.replacement(self.lease, now)
        self.assertEqual(replacement, {"a": "a1"})
        self.name(replacement, now)

    def test_one_instance_that_returns_is_named_at_once(self):
        self.lose_both_others(1.0)
        self.see(a="a1", b="b2")
        replacement = self.choice.replacement(self.lease, 1.1)
        self.assertEqual(replacement, {"a": "a1", "b": "b2", "c": "c1"})

    def test_one_instance_that_returns_late_is_named(self):
        self.lose_both_others(1.0)
        self.lease.confirm("a", "a1", 60.0)
        self.see(a="a1", b="b2")
        replacement = self.choice.replacement(self.lease, 60.0)
        self.assertEqual(replacement, {"a": "a1", "b": "b2", "c": "c1"})

    def test_claim_made_alone_is_extended_as_well(self):
        record = GroupRecord.first("c", "c1", {"c": "c1", "b": "b1", "a": "a1"}, "op")
        coordinator = GroupCoordinator(IDENTITY)
        (write,) = coordinator.claim(record, 1, {"a": "a1"}, [], 0.0)
        self.assertEqual(write.record.witnesses, {"a": "a1"})
        instances = {"a": "a1", "b": "b2"}
        coordinator.set_instances(instances, {i: DATA_CENTRES[i] for i in instances})
        actions = coordinator.written(write.record.operation_id, 2, 0.1)
        witnesses = [a.record.witnesses for a in actions if isinstance(a, WriteRecord)]
        self.assertEqual(witnesses, [{"a": "a1", "b": "b2", "c": "c1"}])

    def test_lost_instances_are_not_named_again_by_themselves(self):
        self.lose_both_others(1.0)
        self.lease.confirm("a", "a1", 4.0)
        self.assertIsNone(self.choice.replacement(self.lease, 4.0))
