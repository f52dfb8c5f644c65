"""Test the identity, order and stored form of rollouts."""

import unittest

import attrs

from ..model import Phase, RolloutOrder, RolloutPolicy, RolloutRecord


def record(phase=Phase.TRIAL, epoch=1, order="1/12.0/v2") -> RolloutRecord:
    return RolloutRecord("s", order, "v2", phase, epoch, "i1", "a", "because")


class OrderTests(unittest.TestCase):
    """Guard against orders that are confused, and odd ones that stop an instance."""

    def test_status_write_makes_another_order(self):
        order = RolloutOrder("s", "v2", 12.0, 7)
        serving = attrs.evolve(order, state="serving", state_to="v2")
        self.assertEqual(order.id, serving.id)

    def test_changed_order_is_taken_for_the_earlier_one(self):
        order = RolloutOrder("s", "v2", 12.0, 7)
        changes = {"to": "v3", "duration": 12.5, "created": 8}
        for name, value in changes.items():
            with self.subTest(name):
                self.assertNotEqual(attrs.evolve(order, **{name: value}).id, order.id)
        self.assertEqual(RolloutOrder("s", "v2", 12, 7).id, order.id)

    def test_odd_order_is_accepted(self):
        RolloutOrder("s", "v2", 12.0, 7, "serving", "v2").check()
        odd = {
            "service": ("", None, 3),
            "to": ("", None, ["v2"]),
            "duration": (0, -1.0, float("nan"), float("inf"), "12s", True, None),
            "created": (-1, 1.5, "7", None, True),
            "state": ("done", None, 5),
            "state_to": (None, 5),
        }
        for name, values in odd.items():
            for value in values:
                with self.subTest(name=name, value=value):
                    order = RolloutOrder("s", "v2", 12.0, 7)
                    order = attrs.evolve(order, **{name: value})
                    self.assertRaises(ValueError, order.check)

    def test_status_of_another_version_ends_the_order(self):
        order = RolloutOrder("s", "v3", 12.0, 7, "completed", "v2")
        self.assertIsNone(order.final_phase)
        same = attrs.evolve(order, state_to="v3")
        self.assertIs(same.final_phase, Phase.COMPLETED)
        self.assertIsNone(attrs.evolve(same, state="serving").final_phase)


class PhaseTests(unittest.TestCase):
    """Guard against a return to an earlier phase."""

    def test_earlier_phase_follows_a_later_one(self):
        line = [Phase.TRIAL, Phase.RAMP, Phase.CUTOVER, Phase.COMPLETED]
        for number, phase in enumerate(line):
            for other in line[number:]:
                self.assertFalse(phase.follows(other))
            for other in line[:number]:
                self.assertTrue(phase.follows(other))

    def test_final_phase_is_left(self):
        for phase in Phase:
            for final in (Phase.COMPLETED, Phase.ROLLED_BACK):
                self.assertFalse(phase.follows(final))
        self.assertTrue(Phase.ROLLED_BACK.follows(Phase.CUTOVER))


class RecordTests(unittest.TestCase):
    """Guard against odd records, and records of a restored store, that take effect."""

    def test_stored_form_loses_a_field(self):
        self.assertEqual(RolloutRecord.from_value(record().to_value()), record())

    def test_record_of_a_later_build_is_refused(self):
        value = record().to_value() | {"colour": "blue"}
        self.assertEqual(RolloutRecord.from_value(value), record())
        minimal = {k: value[k] for k in ("service", "order", "to", "phase")}
        self.assertEqual(RolloutRecord.from_value(minimal).epoch, 0)

    def test_odd_record_is_accepted(self):
        odd = [None, [], "x", {}]
        changes = {
            "service": ("", None, 1),
            "order": ("", None),
            "to": ("", 2),
            "phase": ("later", None, 1, ["trial"]),
            "epoch": (-1, 1.0, "1", True, None),
            "holder": (None, 1),
            "reason": ({},),
        }
        for name, values in changes.items():
            odd += [record().to_value() | {name: value} for value in values]
        for value in odd:
            with self.subTest(value=value):
                self.assertRaises(ValueError, RolloutRecord.from_value, value)

    def test_restored_record_replaces_a_later_one(self):
        self.assertFalse(record(Phase.TRIAL, 9).is_newer_than(record(Phase.CUTOVER, 2)))
        self.assertTrue(record(Phase.CUTOVER, 2).is_newer_than(record(Phase.TRIAL, 9)))
        completed = record(Phase.COMPLETED, 1)
        self.assertFalse(record(Phase.ROLLED_BACK, 5).is_newer_than(completed))
        self.assertTrue(record(epoch=2).is_newer_than(record(epoch=1)))
        self.assertTrue(record(epoch=2, order="2/12.0/v2").is_newer_than(completed))

    def test_claim_after_a_restore_gets_an_epoch_that_was_used(self):
        claimed = record(epoch=3).claim("i2", "b", known_epoch=8)
        self.assertEqual((claimed.epoch, claimed.holder), (9, "i2"))
        self.assertTrue(claimed.is_held_by("i2", "b"))
        later = record(epoch=3).claim("i2", "b", era=1)
        self.assertGreater(later.epoch, 2**40)
        self.assertEqual(later.claim("i3", "c", era=1).epoch, later.epoch + 1)

    def test_step_back_is_recorded(self):
        self.assertIs(record().advance(Phase.RAMP).phase, Phase.RAMP)
        for phase in (Phase.TRIAL, Phase.RAMP):
            self.assertRaises(ValueError, record(Phase.RAMP).advance, phase)


class PolicyTests(unittest.TestCase):
    """Guard against a trial that uses up what the cutover needs."""

    def test_trial_gets_half(self):
        policy = RolloutPolicy(0.1, 50.0)
        self.assertEqual((policy.trial_share, policy.trial_slack), (0.05, 25.0))
        self.assertEqual(policy.rollback, 5.0)


if __name__ == "__main__":
    unittest.main()
