"""Test the steps of a rollout under load, and when deciders, links or stores fail."""

import unittest

from ..decider import Advance, RolloutDecider
from ..gate import LEASE_LIFETIME, MAX_CONFIRMATION_AGE
from ..judgement import RolloutSample
from ..model import Phase, RolloutOrder, RolloutPolicy
from .load import Behaviour, RolloutOutcome, ServiceLoad
from .test_judgement import FAILING, GOOD, SLOW, always, between, on_route

DURATION = 12.0  # seconds
POLICY = RolloutPolicy()
ORDER = RolloutOrder("s", "v2", DURATION, 1)
INSTANCES = ("i1", "i2")
TIME_LIMIT = 1.5  # seconds


def pooled(new, seeds: int, old=always(GOOD), **changes) -> list[RolloutOutcome]:
    loads = (ServiceLoad(old, new, seed=seed, **changes) for seed in range(seeds))
    return [load.run_rollout(DURATION, POLICY) for load in loads]


def keyed(new, seeds: int, old=always(GOOD)) -> list[RolloutOutcome]:
    return pooled(new, seeds, old, rate=47.0, hosts=5)


class BadVersionCase(unittest.TestCase):
    """Base of the tests of what a bad version may get."""

    def assert_rolled_back(self, outcomes: list[RolloutOutcome]):
        for outcome in outcomes:
            self.assertLessEqual(outcome.new_requests, outcome.limit, outcome)
        self.assert_in_time(outcomes)

    def assert_in_time(self, outcomes: list[RolloutOutcome]):
        for outcome in outcomes:
            self.assertIs(outcome.phase, Phase.ROLLED_BACK, outcome)
            # An instance that misses the rollback uses its last lease to the end.
            last = outcome.seconds + LEASE_LIFETIME
            self.assertLess(last, outcome.fiftieth_bad_at + POLICY.rollback, outcome)


class RolloutTests(BadVersionCase):
    """Guard against a bad version in use, and a good one given up."""

    def test_good_version(self):
        for outcome in pooled(always(GOOD), 3, cold_until=3.0):
            self.assertIs(outcome.phase, Phase.COMPLETED, outcome)
            self.assertLess(outcome.seconds, DURATION)

    def test_good_version_of_a_keyed_service(self):
        outcomes = keyed(always(GOOD), 40)
        completed = [item for item in outcomes if item.phase is Phase.COMPLETED]
        self.assertGreaterEqual(len(completed), 38)
        in_time = [item for item in completed if item.seconds < DURATION]
        self.assertGreaterEqual(len(in_time), 36)

    def test_good_version_while_both_have_trouble(self):
        for trouble in (between(3.0, 5.0, FAILING), between(3.0, 5.0, SLOW)):
            for outcome in pooled(trouble, 3, trouble):
                self.assertIs(outcome.phase, Phase.COMPLETED, outcome)
            outcomes = keyed(trouble, 40, trouble)
            completed = sum(item.phase is Phase.COMPLETED for item in outcomes)
            self.assertGreaterEqual(completed, 36)

    def test_version_that_is_bad_at_once(self):
        for behaviour in (FAILING, SLOW, Behaviour(0.1)):
            with self.subTest(behaviour):
                self.assert_rolled_back(pooled(always(behaviour), 3))
        for behaviour in (FAILING, SLOW):
            with self.subTest(behaviour):
                self.assert_rolled_back(keyed(always(behaviour), 20))

    def test_version_that_is_bad_later_in_the_trial(self):
        for behaviour in (FAILING, SLOW):
            with self.subTest(behaviour):
                self.assert_rolled_back(pooled(between(4.0, 99.0, behaviour), 3))

    def test_version_that_is_bad_on_one_route(self):
        for behaviour in (FAILING, SLOW):
            with self.subTest(behaviour):
                self.assert_rolled_back(pooled(on_route("b", behaviour), 3))

    def test_version_that_is_bad_under_the_load_of_an_old_target(self):
        # The requests that the decider concentrates make the targets as busy as the
        # old ones; spread over all targets, they would not.
        decider = RolloutDecider(ORDER, POLICY, 0.0)

        def new(route: str, at: float) -> Behaviour:
            targets = decider.trial_targets(at, 121, 121)
            busy = decider.share(at) * 900.0 / targets >= 0.8 * 900.0 / 121
            return FAILING if busy else GOOD

        self.assert_rolled_back(pooled(new, 3))

    def test_version_that_turns_bad_in_the_ramp(self):
        # Beyond the reserve for the cutover, no step of the decider can keep (a).
        for outcome in pooled(between(7.0, 99.0, FAILING), 3):
            self.assertIs(outcome.phase, Phase.ROLLED_BACK)
            last = outcome.seconds + LEASE_LIFETIME
            self.assertLess(last, outcome.fiftieth_bad_at + POLICY.rollback)


class RareFailureTests(BadVersionCase):
    """Guard against a keyed version that fails too rarely to be seen in the trial."""

    def test_keyed_version_fails_one_in_ten(self):
        self.assert_rolled_back(keyed(always(Behaviour(0.1)), 40))


class KeyedRouteTests(BadVersionCase):
    """Guard against a keyed version that is bad on one route and seen too late."""

    def test_fails(self):
        self.assert_rolled_back(keyed(on_route("b", FAILING), 40))

    def test_is_slow(self):
        self.assert_rolled_back(keyed(on_route("b", SLOW), 40))


class LateSlownessTests(BadVersionCase):
    """Guard against a version that is slow from the ramp on and is completed."""

    def test_pooled(self):
        self.assert_in_time(pooled(between(7.0, 99.0, SLOW), 6))

    def test_keyed(self):
        self.assert_in_time(keyed(between(7.0, 99.0, SLOW), 40))


class LateExposureTests(BadVersionCase):
    """Guard against a version that is bad from the ramp on and gets too much."""

    def assert_limited(self, outcomes: list[RolloutOutcome]):
        for outcome in outcomes:
            self.assertLessEqual(outcome.new_requests, outcome.limit, outcome)

    def test_pooled_version_fails(self):
        self.assert_limited(pooled(between(7.0, 99.0, FAILING), 6))

    def test_pooled_version_is_slow(self):
        self.assert_limited(pooled(between(7.0, 99.0, SLOW), 6))

    def test_keyed_version_fails(self):
        self.assert_limited(keyed(between(7.0, 99.0, FAILING), 40))

    def test_keyed_version_is_slow(self):
        self.assert_limited(keyed(between(7.0, 99.0, SLOW), 40))


class DeciderCase(unittest.TestCase):
    """Drive a decider by reports of two instances."""

    def setUp(self):
        self.now = 0.0
        self.decider = RolloutDecider(ORDER, POLICY, 0.0, longest_time_limit=TIME_LIMIT)

    def replace(self, phase: Phase):
        """Let another instance claim the role, which knows the recorded phase only."""
        self.decider = RolloutDecider(
            ORDER, POLICY, self.now, phase, TIME_LIMIT, ordered_at=0.0
        )

    def play(
        self,
        until: float,
        *,
        new: int = 4,
        old: int = 30,
        failed: bool = False,
        silent=(),
        in_flight=None,
        reported: Phase | None = None,
        keys_moved: bool = True,
        write: bool = True,
    ) -> Advance | None:
        """Report and tick every quarter of a second; return the first step."""
        while self.now < until:
            self.now += 0.25
            self.report(new, old, failed, silent, in_flight or {}, reported)
            step = self.decider.tick(self.now, INSTANCES, INSTANCES, keys_moved)
            if step is not None:
                if write:
                    self.decider.note_written(step.phase, self.now)
                return step
        return None

    def report(self, new, old, failed, silent, in_flight, reported):
        phase = reported or self.decider.phase
        if phase is Phase.CUTOVER:
            new, old = new + old, 0
        samples = [RolloutSample(False, "a", False, 0.2)] * old
        samples += [RolloutSample(True, "a", failed, 0.2)] * new
        for name in set(INSTANCES) - set(silent):
            count = in_flight.get(name, 0)
            self.decider.add_report(name, samples, count, phase, self.now)

    def assert_step(self, step: Advance | None, phase: Phase, after=0.0, before=99.0):
        self.assertIsNotNone(step)
        self.assertIs(step.phase, phase, step)
        self.assertGreaterEqual(self.now, after)
        self.assertLessEqual(self.now, before)


class StepTests(DeciderCase):
    """Guard against steps that are too early, too late or without evidence."""

    def test_steps_of_a_good_version(self):
        self.assertEqual(self.decider.share(1.0), 0.05)
        self.assert_step(self.play(12.0), Phase.RAMP, 6.0, 8.0)
        self.assertEqual(self.decider.share(self.now), 0.25)
        began = self.now
        self.assert_step(self.play(12.0), Phase.CUTOVER, began + 1.5, began + 2.0)
        self.assertEqual(self.decider.share(self.now), 1.0)
        began = self.now
        self.assert_step(self.play(12.0), Phase.COMPLETED, began + 1.0, 11.0)
        self.assertIsNone(self.play(14.0))

    def test_ramp_without_its_second_step(self):
        self.play(12.0)
        shares = set()
        while self.decider.phase is Phase.RAMP:
            shares.add(self.decider.share(self.now))
            self.play(self.now + 0.25)
        self.assertEqual(shares, {0.25, 0.5})

    def test_version_without_evidence(self):
        step = self.play(14.0, new=0)
        self.assert_step(step, Phase.ROLLED_BACK, 9.6, 9.75)
        self.assertIn("not enough evidence", step.reason)

    def test_ramp_without_responses(self):
        self.play(12.0)
        self.replace(Phase.RAMP)
        step = self.play(14.0, new=0)
        self.assert_step(step, Phase.ROLLED_BACK, 10.75, 11.0)

    def test_step_of_a_service_with_few_requests(self):
        self.play(12.0)
        began = self.now
        # 8 responses a second of the new version: 12 take 1.5 s in each step.
        step = self.play(12.0, new=1, old=10)
        self.assert_step(step, Phase.CUTOVER, began + 3.0, began + 3.5)

    def test_open_judgement_at_the_deadline(self):
        self.play(12.0)
        self.play(12.0)
        self.assertIsNone(self.play(DURATION, keys_moved=False))
        self.play(DURATION + 0.25, new=1, old=0, failed=True, keys_moved=False)
        self.assertIsNone(self.play(DURATION + 0.5, new=0, old=0, keys_moved=False))
        # Two of the latest responses failed, and no more come.
        step = self.play(20.0, new=0, old=0)
        self.assert_step(step, Phase.COMPLETED, DURATION + 3.0, DURATION + 3.25)

    def test_long_order_ends_its_trial_early(self):
        order = RolloutOrder("s", "v2", 60.0, 1)
        self.decider = RolloutDecider(order, POLICY, 0.0)
        self.assert_step(self.play(60.0), Phase.RAMP, 42.0, 43.0)

    def test_rollback_is_announced_before_it_is_written(self):
        step = self.play(12.0, failed=True, write=False)
        self.assert_step(step, Phase.ROLLED_BACK, 0.0, 2.0)
        self.assertIs(self.decider.phase, Phase.TRIAL)
        self.assertIs(self.decider.lease_phase, Phase.ROLLED_BACK)
        self.assertEqual(self.decider.share(self.now), 0.0)
        again = self.play(12.0, write=False)
        self.assertEqual(again, step)
        self.decider.note_written(Phase.ROLLED_BACK, self.now)
        self.assertIsNone(self.play(self.now + 1))

    def test_version_that_fails_in_the_cutover(self):
        self.play(12.0)
        self.play(12.0)
        began = self.now
        step = self.play(14.0, failed=True)
        self.assert_step(step, Phase.ROLLED_BACK, began, began + 1.0)


class FailureTests(DeciderCase):
    """Guard against a step that an instance, a link or the store has not followed."""

    def to_cutover(self, **changes):
        self.play(12.0, **changes)
        self.assert_step(self.play(12.0, **changes), Phase.CUTOVER)
        return self.now

    def test_frozen_instance_is_not_waited_for(self):
        began = self.to_cutover(silent=("i2",))
        step = self.play(20.0, silent=("i2",))
        wait = MAX_CONFIRMATION_AGE + TIME_LIMIT
        self.assert_step(step, Phase.COMPLETED, began + wait, began + wait + 0.5)

    def test_silent_instance_makes_the_rollout_late(self):
        self.to_cutover(silent=("i2",))
        self.play(20.0, silent=("i2",))
        self.assertLess(self.now, DURATION + 0.5)

    def test_instance_still_has_requests_at_old_targets(self):
        self.to_cutover()
        self.assertIsNone(self.play(20.0, in_flight={"i2": 1}))
        self.assert_step(self.play(21.0), Phase.COMPLETED, 20.0)

    def test_instance_has_not_heard_of_the_cutover(self):
        self.to_cutover()
        self.assertIsNone(self.play(20.0, reported=Phase.RAMP))

    def test_keys_are_still_at_old_targets(self):
        self.to_cutover()
        self.assertIsNone(self.play(20.0, keys_moved=False))
        self.assert_step(self.play(21.0), Phase.COMPLETED, 20.0)

    def test_store_is_down(self):
        step = self.play(12.0, write=False)
        self.assert_step(step, Phase.RAMP, 6.0, 8.0)
        self.assertIs(self.decider.lease_phase, Phase.TRIAL)
        self.assertEqual(self.decider.share(self.now), 0.05)
        self.assertEqual(self.play(12.0, write=False).phase, Phase.RAMP)

    def test_order_whose_deadline_passed_during_an_outage(self):
        self.now = DURATION
        step = self.play(14.0)
        self.assert_step(step, Phase.ROLLED_BACK)

    def test_decider_is_replaced_in_the_trial(self):
        self.play(5.0)
        self.replace(Phase.TRIAL)
        self.assertEqual(self.decider.remaining(self.now), 7.0)
        self.assert_step(self.play(12.0), Phase.RAMP, 6.0, 8.0)

    def test_decider_is_replaced_in_the_ramp(self):
        self.play(12.0)
        self.replace(Phase.RAMP)
        began = self.now
        self.assert_step(self.play(12.0), Phase.CUTOVER, began + 1.5, began + 2.5)

    def test_decider_is_replaced_in_the_cutover(self):
        self.to_cutover()
        self.replace(Phase.CUTOVER)
        began = self.now
        self.assert_step(self.play(14.0), Phase.COMPLETED, began + 1.0, began + 2.0)

    def test_bad_version_meets_a_new_decider_in_the_cutover(self):
        self.to_cutover()
        self.replace(Phase.CUTOVER)
        began = self.now
        step = self.play(14.0, failed=True, new=1, old=0)
        self.assert_step(step, Phase.ROLLED_BACK, began, began + 2.0)

    def test_new_decider_trusts_an_instance_that_may_follow_the_lost_one(self):
        # Until the claim, an instance may have heard of a rollback that was never
        # written. It is waited for from the claim on.
        self.to_cutover()
        self.now += 10.0
        self.replace(Phase.CUTOVER)
        began = self.now
        step = self.play(40.0, silent=("i2",))
        wait = MAX_CONFIRMATION_AGE + TIME_LIMIT
        self.assert_step(step, Phase.COMPLETED, began + wait)

    def test_rollback_that_was_announced_and_not_written(self):
        self.to_cutover()
        self.replace(Phase.CUTOVER)
        step = self.play(14.0, reported=Phase.ROLLED_BACK)
        self.assert_step(step, Phase.ROLLED_BACK)

    def test_restored_record_is_of_an_earlier_phase(self):
        for phase in (Phase.CUTOVER, Phase.COMPLETED):
            self.replace(Phase.TRIAL)
            step = self.play(self.now + 1, reported=phase)
            self.assert_step(step, phase)

    def test_no_reports_after_the_cutover(self):
        self.to_cutover()
        silent = INSTANCES
        self.assert_step(self.play(30.0, silent=silent), Phase.COMPLETED, DURATION)

    def test_new_decider_that_hears_no_other_instance(self):
        # An earlier decider may have announced a rollback and been lost.
        for silent in (INSTANCES, INSTANCES[1:]):
            with self.subTest(silent):
                self.setUp()
                self.to_cutover()
                self.replace(Phase.CUTOVER)
                step = self.play(30.0, silent=silent, new=0, old=0)
                self.assert_step(step, Phase.ROLLED_BACK, DURATION)

    def test_new_decider_of_a_service_without_requests(self):
        self.to_cutover()
        self.replace(Phase.CUTOVER)
        step = self.play(30.0, new=0, old=0)
        self.assert_step(step, Phase.COMPLETED, DURATION)


class TargetTests(unittest.TestCase):
    """Guard against a trial at idle targets, or at cold ones that cannot take it."""

    def setUp(self):
        self.decider = RolloutDecider(ORDER, POLICY, 0.0)

    def test_targets_are_idle_in_the_trial(self):
        old = 900.0 / 121
        for at, targets, least in ((1.0, 7, 0.8), (5.0, 4, 1.4)):
            count = self.decider.trial_targets(at, 121, 121)
            self.assertEqual(count, targets)
            self.assertGreater(0.05 * 900.0 / count, least * old)

    def test_cold_targets_get_more_than_their_rate(self):
        rates = {"request_rate": 900.0, "warm_up_rate": 4.7}
        count = self.decider.trial_targets(1.0, 121, 121, cold_targets=121, **rates)
        self.assertGreaterEqual(count * 4.7, 0.05 * 900.0)
        warm = self.decider.trial_targets(1.0, 121, 121, cold_targets=100, **rates)
        self.assertEqual(warm, 7)

    def test_fewer_targets_than_wanted(self):
        self.assertEqual(self.decider.trial_targets(1.0, 3, 121), 3)
        self.assertEqual(self.decider.trial_targets(1.0, 0, 121), 0)
        self.assertEqual(self.decider.trial_targets(1.0, 5, 5), 1)

    def test_ramp_of_a_small_service(self):
        self.decider.note_written(Phase.RAMP, 6.0)
        self.assertEqual(self.decider.trial_targets(6.1, 5, 5), 1)
        self.decider.note_written(Phase.CUTOVER, 8.0)
        self.assertEqual(self.decider.trial_targets(8.1, 5, 5), 5)

    def test_keys_of_the_trial_get_more_than_the_budgets_allow(self):
        share = self.decider.placed_share(1.0, 47.0)
        self.assertLessEqual(share * 47.0 * 6, 0.05 * 47.0 * 6 + 25 + 1e-6)
        self.assertGreater(share, 0.1)
        self.assertEqual(self.decider.placed_share(1.0, 0.0), 0.05)
        self.assertLess(self.decider.placed_share(1.0, 900.0), 0.056)


if __name__ == "__main__":
    unittest.main()
