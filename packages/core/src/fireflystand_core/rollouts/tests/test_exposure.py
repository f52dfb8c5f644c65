"""Test the sum of the exposure budgets of instances that cannot ask each other."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from ..exposure import ExposureBudget
from ..model import RolloutPolicy

INSTANCES = 86
POLICY = RolloutPolicy()


def budgets(seed: int, count: int = INSTANCES) -> list[ExposureBudget]:
    rng = random.Random(seed)
    slack = POLICY.trial_slack / count
    return [
        ExposureBudget(POLICY.trial_share, slack, rng.random()) for _ in range(count)
    ]


def send(budget: ExposureBudget, requests: int) -> int:
    """Send requests, each to the new version if the budget allows it."""
    spent = 0
    for _ in range(requests):
        spent += budget.try_spend()
        budget.note_request()
    return spent


class SumTests(unittest.TestCase):
    """Guard against a version that gets more since the fleet is divided."""

    @settings(deadline=None, max_examples=100)
    @given(
        seed=st.integers(0, 2**32),
        requests=st.lists(
            st.integers(0, 40), min_size=INSTANCES, max_size=INSTANCES
        ).flatmap(
            lambda few: st.dictionaries(
                st.integers(0, INSTANCES - 1), st.integers(0, 3000), max_size=5
            ).map(lambda many: [many.get(n, few[n]) for n in range(INSTANCES)])
        ),
    )
    def test_instances_that_are_apart(self, seed, requests):
        spent = sum(map(send, budgets(seed), requests))
        # The other half of the share is kept for the cutover.
        limit = POLICY.trial_share * sum(requests) + POLICY.exposure_slack
        self.assertLessEqual(spent, limit)

    @settings(deadline=None, max_examples=50)
    @given(
        seed=st.integers(0, 2**32),
        count=st.integers(1, 25),
        requests=st.integers(0, 500),
    )
    def test_few_instances_that_are_apart(self, seed, count, requests):
        spent = sum(send(item, requests) for item in budgets(seed, count))
        limit = POLICY.trial_share * requests * count + POLICY.trial_slack
        self.assertLessEqual(spent, limit + 1e-6)

    def test_instances_that_restart(self):
        # 40 instances lose their budgets and get new ones.
        spent = sum(send(item, 60) for item in budgets(1))
        spent += sum(send(item, 60) for item in budgets(2)[:40])
        limit = POLICY.trial_share * 60 * (INSTANCES + 40) + POLICY.exposure_slack
        self.assertLessEqual(spent, limit)

    def test_instances_with_few_requests_try_nothing(self):
        # 47 requests a second for 6 s are fewer than 4 for each instance.
        totals = [sum(send(item, 4) for item in budgets(seed)) for seed in range(50)]
        expected = POLICY.trial_share * 4 * INSTANCES + POLICY.trial_slack
        self.assertGreater(min(totals), 0.6 * expected)


class BudgetTests(unittest.TestCase):
    """Guard against tokens that are lost, or spent twice."""

    def test_request_that_was_not_sent_costs_a_token(self):
        budget = ExposureBudget(0.05, 1.0, 0.0)
        self.assertTrue(budget.try_spend())
        budget.give_back()
        self.assertTrue(budget.try_spend())
        self.assertFalse(budget.try_spend())

    def test_share_is_rounded_down(self):
        budget = ExposureBudget(0.05, 0.0, 0.0)
        for _ in range(20):
            self.assertFalse(budget.try_spend())
            budget.note_request()
        self.assertTrue(budget.try_spend())

    def test_slack_of_the_trial_is_spent_in_the_ramp(self):
        budget = ExposureBudget(0.05, 25.0, 0.5)
        budget.set_share(0.25)
        self.assertFalse(budget.try_spend())
        self.assertEqual(send(budget, 400), 99)

    def test_lease_of_the_same_share_takes_the_slack(self):
        budget = ExposureBudget(0.05, 25.0, 0.5)
        budget.set_share(0.05)
        self.assertEqual(send(budget, 25), 25)


if __name__ == "__main__":
    unittest.main()
