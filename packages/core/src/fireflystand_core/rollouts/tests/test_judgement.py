"""Test the comparison of versions under the loads and troubles of a rollout.

The rates of wrong verdicts are those of the fixed seeds; the load is that of the
pooled service (900 requests a second, 5% to the new version) and of the keyed one (47
requests a second, 8% with the slack).
"""

import unittest

import attrs

from ..gate import LEASE_LIFETIME
from ..judgement import (
    INTERVAL,
    Judgement,
    RolloutSample,
    VersionComparison,
    is_failed_response,
)
from ..model import RolloutPolicy
from .load import Behaviour, Outcome, ServiceLoad

GOOD = Behaviour()
FAILING = Behaviour(failure_rate=0.3)
SLOW = Behaviour(factor=4.0)
POLICY = RolloutPolicy()
HOST_FACTORS = (0.7, 0.7, 1.6)


def always(behaviour: Behaviour):
    return lambda route, at: behaviour


def between(start: float, end: float, behaviour: Behaviour):
    return lambda route, at: behaviour if start < at < end else GOOD


def on_route(name: str, behaviour: Behaviour):
    return lambda route, at: behaviour if route == name else GOOD


def pooled(new, old=always(GOOD), **changes) -> ServiceLoad:
    return ServiceLoad(old, new, **changes)


def keyed(new, old=always(GOOD), **changes) -> ServiceLoad:
    load = ServiceLoad(old, new, rate=47.0, share=lambda at: 0.08, hosts=5)
    return attrs.evolve(load, **changes)


def run(make, seconds: float, seeds: int) -> list[Outcome]:
    return [make(seed).run(seconds) for seed in range(seeds)]


class BadVersionTests(unittest.TestCase):
    """Guard against a bad version that is not seen within 50 bad responses."""

    def assert_found(self, outcomes: list[Outcome], bad: int, seconds: float):
        for outcome in outcomes:
            self.assertTrue(outcome.verdict.is_bad, outcome)
            self.assertLessEqual(outcome.bad_responses, bad, outcome)
            self.assertLessEqual(outcome.seconds, seconds, outcome)

    def test_fails_at_once(self):
        make = lambda seed: pooled(always(FAILING), seed=seed)  # noqa: E731
        self.assert_found(run(make, 6.0, 6), 30, 2.5)

    def test_is_slow_at_once(self):
        make = lambda seed: pooled(always(SLOW), seed=seed)  # noqa: E731
        self.assert_found(run(make, 6.0, 6), 45, 3.5)

    def test_fails_or_is_slow_later(self):
        for behaviour in (FAILING, SLOW):
            with self.subTest(behaviour):
                late = between(4.0, 99.0, behaviour)
                make = lambda seed, late=late: pooled(late, seed=seed)  # noqa: E731
                self.assert_found(run(make, 9.0, 4), 49, 4.0 + 3.5)

    def test_is_bad_on_one_route_only(self):
        for behaviour in (FAILING, SLOW):
            with self.subTest(behaviour):
                new = on_route("b", behaviour)
                make = lambda seed, new=new: pooled(new, seed=seed)  # noqa: E731
                self.assert_found(run(make, 8.0, 4), 40, 5.0)

    def test_fails_one_in_ten(self):
        make = lambda seed: pooled(always(Behaviour(0.1)), seed=seed)  # noqa: E731
        self.assert_found(run(make, 8.0, 4), 30, 6.0)

    def test_targets_state_that_they_are_slow(self):
        make = lambda seed: pooled(  # noqa: E731
            always(SLOW), states_slowdown=True, seed=seed
        )
        self.assert_found(run(make, 8.0, 4), 49, 4.0)

    def test_slow_version_runs_on_fast_hosts(self):
        # At the fastest hosts it takes 2.8 times the usual, like a disturbed one, and
        # is found after the 50th bad response. That is to be in time for the rollback.
        make = lambda seed: pooled(  # noqa: E731
            always(SLOW), states_slowdown=True, host_factors=HOST_FACTORS, seed=seed
        )
        for outcome in run(make, 8.0, 20):
            self.assertTrue(outcome.verdict.is_bad, outcome)
            last = outcome.seconds + LEASE_LIFETIME
            self.assertLess(last, outcome.fiftieth_bad_at + POLICY.rollback, outcome)
            share = POLICY.exposure_share * outcome.all_requests
            limit = share + POLICY.exposure_slack
            self.assertLessEqual(outcome.new_requests, limit, outcome)

    def test_is_bad_while_the_old_version_has_trouble(self):
        trouble = between(1.0, 3.0, FAILING)
        new = lambda route, at: Behaviour(0.5 if 1 < at < 3 else 0.3)  # noqa: E731
        make = lambda seed: pooled(new, trouble, seed=seed)  # noqa: E731
        self.assert_found(run(make, 8.0, 4), 49, 5.0)

    def test_keyed_service_with_few_requests(self):
        for behaviour in (FAILING, SLOW):
            with self.subTest(behaviour):
                make = lambda seed, b=behaviour: keyed(  # noqa: E731
                    always(b), seed=seed
                )
                outcomes = run(make, 20.0, 20)
                self.assert_found(outcomes, 45, 20.0)
                found = sorted(outcome.seconds for outcome in outcomes)
                self.assertLess(found[10], 9.0)


class GoodVersionTests(unittest.TestCase):
    """Guard against trouble of both versions that is held against the new one."""

    def assert_rarely_bad(self, outcomes: list[Outcome], most: int):
        bad = [item for item in outcomes if item.verdict.is_bad]
        self.assertLessEqual(len(bad), most, bad)

    def test_disturbed_hosts(self):
        make = lambda seed: pooled(always(GOOD), seed=seed)  # noqa: E731
        outcomes = run(make, 12.0, 8)
        self.assert_rarely_bad(outcomes, 0)
        self.assertTrue(all(item.verdict.is_good for item in outcomes))

    def test_disturbed_hosts_of_a_keyed_service(self):
        make = lambda seed: keyed(always(GOOD), seed=seed)  # noqa: E731
        outcomes = run(make, 12.0, 40)
        self.assert_rarely_bad(outcomes, 1)
        good = sum(item.verdict.is_good for item in outcomes)
        self.assertGreaterEqual(good, 36)

    def test_hosts_of_unequal_speed(self):
        changes = {"states_slowdown": True, "host_factors": HOST_FACTORS}
        make = lambda seed: pooled(always(GOOD), seed=seed, **changes)  # noqa: E731
        self.assert_rarely_bad(run(make, 12.0, 6), 0)
        # One target takes part in the trial: of the fast ones or the slow ones.
        make = lambda seed: keyed(always(GOOD), seed=seed, **changes)  # noqa: E731
        self.assert_rarely_bad(run(make, 12.0, 40), 2)

    def test_only_target_of_the_trial_is_slow_for_a_moment(self):
        comparison = VersionComparison()
        for step in range(32):
            for _ in range(20):
                comparison.add(RolloutSample(False, "a", False, 0.2), step * 0.25)
            seconds = 0.8 if step in (16, 17) else 0.2
            for _ in range(10):
                comparison.add(RolloutSample(True, "a", False, seconds), step * 0.25)
        self.assertTrue(comparison.verdict(8.5).is_good)

    def test_both_have_trouble(self):
        for behaviour in (FAILING, SLOW, Behaviour(0.3, 4.0)):
            with self.subTest(behaviour):
                new = between(3.0, 5.0, behaviour)
                make = lambda seed, new=new: pooled(new, new, seed=seed)  # noqa: E731
                self.assert_rarely_bad(run(make, 8.0, 5), 0)
                make = lambda seed, new=new: keyed(new, new, seed=seed)  # noqa: E731
                self.assert_rarely_bad(run(make, 12.0, 40), 2)

    def test_both_fail_all_the_time(self):
        both = always(Behaviour(0.05))
        make = lambda seed: pooled(both, both, seed=seed)  # noqa: E731
        self.assert_rarely_bad(run(make, 12.0, 4), 0)

    def test_cold_targets(self):
        make = lambda seed: pooled(  # noqa: E731
            always(GOOD), cold_until=3.0, seed=seed
        )
        self.assert_rarely_bad(run(make, 8.0, 4), 0)

    def test_cutover_leaves_nothing_to_compare_with(self):
        share = lambda at: 0.05 if at < 6 else 1.0  # noqa: E731
        make = lambda seed: pooled(always(GOOD), share=share, seed=seed)  # noqa: E731
        self.assert_rarely_bad(run(make, 12.0, 3), 0)

    def test_one_target_of_a_version_is_faster_than_another(self):
        comparison = VersionComparison()
        for step in range(40):
            for number in range(40):
                factor = (0.7, 0.7, 1.6)[number % 3]
                old = RolloutSample(False, "a", False, 0.2 * factor, factor)
                comparison.add(old, step * 0.25)
            for _ in range(4):
                new = RolloutSample(True, "a", False, 0.2 * 1.6, 1.6)
                comparison.add(new, step * 0.25)
        self.assertTrue(comparison.verdict(10.5).is_good)


class EvidenceTests(unittest.TestCase):
    """Guard against verdicts on too little, and on what says nothing."""

    def comparison(self, new: list[RolloutSample], route="a") -> VersionComparison:
        comparison = VersionComparison()
        for step in range(8):
            for _ in range(20):
                old = RolloutSample(False, route, False, 0.2)
                comparison.add(old, step * 0.25)
            for sample in new:
                comparison.add(sample, step * 0.25)
        return comparison

    def test_few_samples(self):
        comparison = self.comparison([])
        self.assertIs(comparison.verdict(3.0).judgement, Judgement.UNDECIDED)
        for _ in range(2):
            comparison.add(RolloutSample(True, "a", True, 0.2), 3.0)
        comparison.add(RolloutSample(True, "a", False, 0.2), 3.0)
        self.assertIs(comparison.verdict(4.0).judgement, Judgement.UNDECIDED)

    def test_no_samples(self):
        verdict = VersionComparison().verdict(100.0)
        self.assertIs(verdict.judgement, Judgement.UNDECIDED)

    def test_cold_samples_count_as_fast_or_slow(self):
        cold = RolloutSample(True, "a", False, 2.0, cold=True)
        verdict = self.comparison([cold] * 5).verdict(3.0)
        self.assertIs(verdict.judgement, Judgement.UNDECIDED)
        failed = attrs.evolve(cold, failed=True)
        self.assertTrue(self.comparison([failed] * 2).verdict(3.0).is_bad)

    def test_quick_failures_hide_slow_responses(self):
        slow = RolloutSample(True, "a", False, 1.0)
        self.assertTrue(self.comparison([slow] * 2).verdict(3.0).is_bad)

    def test_route_that_was_not_tried(self):
        comparison = self.comparison([RolloutSample(True, "a", False, 0.2)] * 8)
        self.assertTrue(comparison.verdict(3.0).is_good)
        for _ in range(100):
            comparison.add(RolloutSample(False, "b", False, 0.2), 3.0)
        self.assertIs(comparison.verdict(4.0).judgement, Judgement.UNDECIDED)

    def test_bad_version_recovers(self):
        comparison = self.comparison([RolloutSample(True, "a", True, 0.2)] * 3)
        self.assertTrue(comparison.verdict(3.0).is_bad)
        for _ in range(500):
            comparison.add(RolloutSample(True, "a", False, 0.2), 4.0)
        self.assertTrue(comparison.verdict(5.0).is_bad)

    def test_odd_figures_stop_the_judgement(self):
        for odd in (float("nan"), float("inf"), -1.0):
            sample = RolloutSample(True, "a", False, odd)
            comparison = self.comparison([sample] * 5)
            self.assertIs(comparison.verdict(3.0).judgement, Judgement.UNDECIDED)
        odd = [RolloutSample(True, "a", False, 0.2, float("nan"))]
        self.assertEqual(self.comparison(odd).new_requests, 0)

    def test_decider_without_samples_of_the_old_version(self):
        comparison = VersionComparison()
        for step in range(12):
            for number in range(12):
                failed = number % 3 == 0
                sample = RolloutSample(True, "a", failed, 0.2)
                comparison.add(sample, step * 0.25)
        self.assertTrue(comparison.verdict(3.0).is_bad)

    def test_version_fails_too_rarely_for_the_ratio_test(self):
        comparison = VersionComparison()
        now = failures = 0
        while not comparison.verdict(now).is_bad and failures < 100:
            for _ in range(100):
                comparison.add(RolloutSample(False, "a", False, 0.2), now)
            for number in range(25):
                comparison.add(RolloutSample(True, "a", number == 0, 0.2), now)
            failures += 1
            now += INTERVAL
        self.assertLess(failures, 50)

    def test_load_of_the_cutover_is_taken_for_slowness(self):
        comparison = VersionComparison()
        for step in range(80):
            is_cutover = step >= 48
            for number in range(20):
                seconds = 0.2 + 0.01 * number
                if is_cutover:
                    seconds *= 1.2
                sample = RolloutSample(is_cutover, "a", False, seconds)
                comparison.add(sample, step * INTERVAL)
            comparison.add(RolloutSample(True, "a", False, 0.2), step * INTERVAL)
        self.assertTrue(comparison.verdict(81 * INTERVAL).is_good)


class FailureTests(unittest.TestCase):
    """Guard against what callers and full targets do being held against a version."""

    def test_responses_of_the_version(self):
        for status in (500, 502, 503, 599, None):
            self.assertIs(is_failed_response(status), True)
        for status in (200, 204, 302, 400, 404, 429, 499):
            self.assertIs(is_failed_response(status), False)

    def test_what_says_nothing_about_the_version(self):
        self.assertIsNone(is_failed_response(421))
        self.assertIsNone(is_failed_response(503, not_run=True))
        self.assertIsNone(is_failed_response(None, caller_left=True))
        self.assertIsNone(is_failed_response(200, caller_left=True))


if __name__ == "__main__":
    unittest.main()
