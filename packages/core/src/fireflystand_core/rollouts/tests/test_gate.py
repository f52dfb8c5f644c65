"""Test which versions an instance uses by what it was told, and how long ago."""

import unittest
from math import inf

import attrs

from ..gate import AllowedVersions, VersionGate
from ..model import Phase, RolloutOrder, RolloutPolicy, RolloutRecord

BOTH = AllowedVersions(True, True)
OLD = AllowedVersions(True, False)
NEW = AllowedVersions(False, True)
NONE = AllowedVersions(False, False)
ORDER = RolloutOrder("s", "v2", 12.0, 1)


def gate(order=ORDER, seen_at=0.0) -> VersionGate:
    return VersionGate(
        order, RolloutPolicy(), seen_at=seen_at, instance_share=1, random_phase=0.5
    )


def record(phase, epoch=1, order=ORDER) -> RolloutRecord:
    return RolloutRecord("s", order.id, order.to, phase, epoch, "i", "a")


def lease(item: VersionGate, phase, now, epoch=1, share=0.05, remaining=None):
    left = 12.0 - now if remaining is None else remaining
    item.apply_lease(phase, epoch, share, left, now)


class LeaseTests(unittest.TestCase):
    """Guard against an instance that goes on when it hears nothing any more."""

    def test_order_without_a_decider(self):
        self.assertEqual(gate().allows(0.1, 0.0), OLD)

    def test_instance_that_cannot_ask_the_decider(self):
        for phase, before, after in (
            (Phase.TRIAL, BOTH, OLD),
            (Phase.RAMP, BOTH, OLD),
            (Phase.CUTOVER, NEW, NONE),
        ):
            with self.subTest(phase):
                item = gate()
                lease(item, phase, 1.0)
                self.assertEqual(item.allows(2.9, 0.1), before)
                self.assertEqual(item.allows(3.0, 0.1), after)

    def test_completed_rollout_depends_on_leases(self):
        item = gate()
        item.apply_record(record(Phase.COMPLETED))
        self.assertEqual(item.allows(500.0, inf), NEW)

    def test_lease_of_a_replaced_decider(self):
        item = gate()
        item.apply_record(record(Phase.TRIAL, epoch=2))
        lease(item, Phase.CUTOVER, 1.0, epoch=1)
        self.assertIs(item.phase, Phase.TRIAL)
        self.assertEqual(item.allows(1.1, 0.0), OLD)
        lease(item, Phase.TRIAL, 1.2, epoch=3)
        self.assertEqual(item.allows(1.3, 0.0), BOTH)
        self.assertEqual(item.epoch, 3)

    def test_lease_allows_more_than_the_trial(self):
        item = gate()
        lease(item, Phase.TRIAL, 0.5, share=0.5)
        self.assertEqual(item.budget.share, 0.05)
        lease(item, Phase.RAMP, 1.0, share=0.9)
        self.assertEqual(item.budget.share, 0.5)
        self.assertTrue(item.needs_token)
        lease(item, Phase.CUTOVER, 1.5)
        self.assertFalse(item.needs_token)


class StoreTests(unittest.TestCase):
    """Guard against an instance that misses a cutover or a rollback in the store."""

    def test_instance_that_is_cut_off_from_the_store(self):
        item = gate()
        lease(item, Phase.TRIAL, 3.0)
        self.assertEqual(item.allows(3.1, 3.0), BOTH)
        self.assertEqual(item.allows(3.1, 3.1), OLD)
        lease(item, Phase.TRIAL, 4.9)
        # From 0.4 of 12 s on, a cutover may follow that it does not see.
        self.assertEqual(item.allows(4.9, 3.1), NONE)
        self.assertEqual(item.allows(4.9, 2.0), BOTH)

    def test_ramp_that_may_have_become_a_cutover(self):
        item = gate()
        lease(item, Phase.RAMP, 1.0)
        self.assertEqual(item.allows(1.1, 3.1), NONE)

    def test_store_that_is_down_in_the_cutover(self):
        item = gate()
        lease(item, Phase.CUTOVER, 8.0)
        self.assertEqual(item.allows(8.1, 60.0), NEW)

    def test_instance_that_started_late_and_is_cut_off(self):
        item = gate(seen_at=-inf)
        self.assertEqual(item.allows(20.0, 1.0), OLD)
        self.assertEqual(item.allows(20.0, 3.1), NONE)
        lease(item, Phase.TRIAL, 20.0, remaining=11.0)
        self.assertEqual(item.ordered_at, 19.0)
        self.assertEqual(item.allows(23.5, 3.1), OLD)

    def test_order_that_was_seen_late(self):
        item = gate(seen_at=10.0)
        lease(item, Phase.TRIAL, 10.5, remaining=7.0)
        self.assertEqual(item.deadline_at, 17.5)
        self.assertEqual(item.allows(10.6, 3.1), NONE)

    def test_frozen_instance(self):
        item = gate()
        lease(item, Phase.TRIAL, 1.0)
        self.assertEqual(item.allows(11.0, 10.0), NONE)


class PhaseTests(unittest.TestCase):
    """Guard against a return to an earlier phase."""

    def test_restored_store_shows_an_earlier_phase(self):
        for phase, allowed in ((Phase.CUTOVER, NEW), (Phase.ROLLED_BACK, OLD)):
            item = gate()
            item.apply_record(record(phase, epoch=5))
            item.apply_record(record(Phase.TRIAL, epoch=6))
            lease(item, Phase.TRIAL, 1.0, epoch=6)
            self.assertIs(item.phase, phase)
            self.assertEqual(item.allows(1.1, 0.0), allowed)

    def test_record_is_lost_after_the_end(self):
        for state, allowed in (("completed", NEW), ("rolled_back", OLD)):
            order = attrs.evolve(ORDER, state=state, state_to="v2")
            self.assertEqual(gate(order).allows(1.0, 0.0), allowed)
            item = gate()
            item.apply_order(order)
            lease(item, Phase.TRIAL, 1.0)
            self.assertEqual(item.allows(1.1, 0.0), allowed)

    def test_status_of_an_order_that_differs_in_its_duration(self):
        order = attrs.evolve(ORDER, duration=20.0, state="rolled_back", state_to="v2")
        item = gate(order)
        item.apply_record(record(Phase.ROLLED_BACK))
        self.assertIs(item.phase, Phase.TRIAL)
        item.apply_order(order)
        self.assertIs(item.phase, Phase.TRIAL)
        item.apply_order(attrs.evolve(order, state="serving"))
        item.apply_order(order)
        self.assertIs(item.phase, Phase.ROLLED_BACK)

    def test_restored_record_of_an_earlier_order_opens_a_rolled_back_one(self):
        order = attrs.evolve(ORDER, duration=20.0, state="rolled_back", state_to="v2")
        item = gate(order)
        item.apply_record(record(Phase.ROLLED_BACK, order=order))
        item.apply_record(record(Phase.ROLLED_BACK))
        self.assertIs(item.phase, Phase.ROLLED_BACK)

    def test_record_of_another_order(self):
        item = gate()
        item.apply_record(record(Phase.CUTOVER, 4, attrs.evolve(ORDER, created=0)))
        self.assertEqual((item.phase, item.epoch), (Phase.TRIAL, 0))
        self.assertRaises(ValueError, item.apply_order, attrs.evolve(ORDER, to="v3"))

    def test_withdrawn_order(self):
        for phase in (Phase.TRIAL, Phase.RAMP, Phase.CUTOVER):
            item = gate()
            lease(item, phase, 1.0)
            item.withdraw()
            self.assertEqual(item.allows(1.1, 0.0), OLD)

    def test_completed_order_that_is_withdrawn_stops_the_version(self):
        item = gate()
        item.withdraw()
        item.apply_record(record(Phase.COMPLETED))
        self.assertEqual(item.allows(1.0, 0.0), BOTH)


class AnnouncedRollbackTests(unittest.TestCase):
    """Guard against a rollback that was announced and could not be written."""

    def test_new_version_gets_requests_until_the_write(self):
        for phase in (Phase.TRIAL, Phase.RAMP, Phase.CUTOVER):
            item = gate()
            lease(item, phase, 1.0)
            lease(item, Phase.ROLLED_BACK, 1.2)
            self.assertIs(item.phase, Phase.ROLLED_BACK)
            self.assertEqual(item.allows(1.3, 0.0), OLD)
            lease(item, phase, 1.4)
            self.assertEqual(item.allows(1.5, 0.0), OLD)

    def test_next_decider_completes_the_rollout(self):
        item = gate()
        lease(item, Phase.CUTOVER, 1.0)
        lease(item, Phase.ROLLED_BACK, 1.2)
        self.assertEqual(item.allows(3.1, 3.1), NONE)
        self.assertEqual(item.allows(3.3, 0.0), NONE)
        item.apply_record(record(Phase.COMPLETED, epoch=2))
        self.assertEqual(item.allows(3.4, 0.0), NEW)

    def test_frozen_decider_announces_after_the_next_one_claimed(self):
        item = gate()
        lease(item, Phase.RAMP, 1.0)
        lease(item, Phase.ROLLED_BACK, 1.2)
        item.apply_record(record(Phase.CUTOVER, epoch=2))
        self.assertEqual(item.allows(1.3, 0.0), NONE)
        lease(item, Phase.ROLLED_BACK, 1.4, epoch=1)
        self.assertEqual(item.allows(1.5, 0.0), NONE)

    def test_record_confirms_the_rollback(self):
        item = gate()
        lease(item, Phase.CUTOVER, 1.0)
        lease(item, Phase.ROLLED_BACK, 1.2)
        item.apply_record(record(Phase.ROLLED_BACK))
        self.assertEqual(item.allows(100.0, inf), OLD)


if __name__ == "__main__":
    unittest.main()
