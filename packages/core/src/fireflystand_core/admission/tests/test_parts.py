"""Test targets, queues, balancing and budgets."""

import unittest
from random import Random

from fireflystand_core.admission import (
    FairQueue,
    HedgePolicy,
    OutstandingPermit,
    RetryBudget,
    TargetAdmission,
    WaitingRequest,
    balancing_policies_by_name,
)
from fireflystand_core.messages import PermitRequest


def permit(name, issued_at=0.0, entry="e"):
    return OutstandingPermit(
        name, name, "a", entry, "t", 1, True, 0, 1, issued_at, issued_at + 5
    )


def item(name, account, deadline):
    request = PermitRequest(name, "s", 0, 0, 0, account, True, 0, deadline)
    return WaitingRequest(request, "e", 0.0, deadline)


class TargetAdmissionTests(unittest.TestCase):
    """Guard against overrunning cold targets and against lasting limits."""

    def test_cold_target_grows_with_successes_only(self):
        target = TargetAdmission("t", "x", 3, 100)
        self.assertEqual(target.capacity, 1)
        for i in range(8):
            target.succeeded(0.01, i)
        self.assertEqual(target.capacity, 3)
        target.report("a", 1.0, 0, 9.0)
        target.report("b", 1.0, 0, 10.0)
        self.assertEqual(target.capacity, 1)

    def test_status_may_only_lower(self):
        target = TargetAdmission("t", "x", 4, 100)
        target.report("a", 1.0, 0, 1.0)
        self.assertEqual(target.capacity, 1)
        target.warm_limit = 4.0
        target.report("a", 0.5, 0, 2.0)
        self.assertEqual(target.capacity, 2)

    def test_latency_jump_turns_cold_and_full_service_returns_for_good(self):
        target = TargetAdmission("t", "x", 6, 100, warm_limit=6.0)
        for i in range(50):
            target.succeeded(0.01, i * 0.01)
        for i in range(5):
            target.succeeded(0.2, 1 + i * 0.2)
        self.assertEqual(target.warm_limit, 1.0)
        self.assertEqual(target.capacity, 1)
        capacities = []
        for i in range(200):
            target.succeeded(0.01, 3 + i * 0.01)
            capacities.append(target.capacity)
        self.assertEqual(capacities, sorted(capacities))
        self.assertEqual(capacities[-1], 6)

    def test_one_overload_lowers_the_limit_once(self):
        target = TargetAdmission("t", "x", 6, 100, warm_limit=6.0)
        for _ in range(6):
            target.shed(1.0)
        self.assertEqual(target.capacity, 4)

    def test_target_that_sheds_is_probed_rarely(self):
        target = TargetAdmission("t", "x", 3, 100, warm_limit=3.0)
        sheds, now = 0, 0.0
        while now < 20.0:
            now += 0.05
            # The target has room for one request only.
            if target.capacity > 1:
                target.shed(now)
                sheds += 1
            else:
                target.succeeded(0.05, now)
        self.assertLessEqual(sheds, 14)
        for _ in range(60):
            now += 0.05
            target.succeeded(0.05, now)
        self.assertEqual(target.capacity, 3)

    def test_connections_of_all_entries_are_bounded(self):
        target = TargetAdmission("t", "x", 6, 2, warm_limit=6.0)
        target.issue(permit("p1", entry="e1"))
        target.issue(permit("p2", entry="e2"))
        target.release("p1")
        self.assertTrue(target.may_connect("e1", 1.0))
        self.assertFalse(target.may_connect("e3", 1.0))
        self.assertTrue(target.may_connect("e3", 20.0))


class FairQueueTests(unittest.TestCase):
    """Guard against an account that crowds out others."""

    def test_accounts_take_turns_and_deadlines_order_within_one(self):
        queue = FairQueue()
        for name, account, deadline in [
            ("a1", "a", 9),
            ("a2", "a", 5),
            ("a3", "a", 7),
            ("b1", "b", 8),
        ]:
            queue.push(item(name, account, deadline))
        order = [queue.pop().request.request_id for _ in range(4)]
        self.assertEqual(order, ["a2", "b1", "a3", "a1"])

    def test_refuses_what_cannot_be_served_in_time_and_a_full_account(self):
        queue = FairQueue(max_per_account=3)
        for i in range(3):
            queue.push(item(f"a{i}", "a", 5.0))
        self.assertIn("full", queue.refusal(item("x", "a", 9.0), 0.0, 0.1, 1))
        self.assertIsNone(queue.refusal(item("x", "b", 3.0), 0.0, 1.0, 1))
        self.assertIn("deadline", queue.refusal(item("x", "b", 0.5), 0.0, 1.0, 1))


class BalancingTests(unittest.TestCase):
    """Guard against work for a slow target while others are free."""

    def test_latency_aware_avoids_a_target_before_its_first_slow_answer(self):
        choose = balancing_policies_by_name["latency_aware"]
        targets = [TargetAdmission(f"t{i}", "x", 3, 100) for i in range(2)]
        for target in targets:
            target.succeeded(0.01, 0.0)
        targets[0].issue(permit("p0", 1.0))
        targets[1].issue(permit("p1", 1.09))
        targets[1].issue(permit("p2", 1.09))
        self.assertIs(choose(targets, Random(1), 1.1), targets[1])

    def test_slow_target_is_tried_again_soon(self):
        target = TargetAdmission("t", "x", 3, 100)
        target.succeeded(0.01, 0.0)
        target.succeeded(0.1, 1.0)
        self.assertGreater(target.expected_latency(1.0), 0.03)
        self.assertLess(target.expected_latency(2.0), 0.02)

    def test_reports_only_break_ties(self):
        choose = balancing_policies_by_name["latency_aware"]
        targets = [TargetAdmission(f"t{i}", "x", 3, 100) for i in range(2)]
        targets[0].reported_in_flight = 3
        self.assertIs(choose(targets, Random(1), 0.0), targets[1])
        targets[1].issue(permit("p"))
        self.assertIs(choose(targets, Random(1), 0.0), targets[0])


class BudgetTests(unittest.TestCase):
    """Guard against retries and hedges that amplify an overload."""

    def test_budgets_bound_the_extra_load(self):
        retries = RetryBudget()
        hedges = HedgePolicy(keyed=False)
        counts = [0, 0]
        for _ in range(1000):
            retries.note_request()
            hedges.note_request()
            counts[0] += retries.spend()
            counts[1] += hedges.allow(True)
        self.assertLessEqual(counts[0], 0.10 * 1000 + 10)
        self.assertLessEqual(counts[1], 0.05 * 1000 + 5)

    def test_delay_is_a_high_percentile(self):
        hedges = HedgePolicy(keyed=False)
        for i in range(100):
            hedges.note_latency(0.1 if i % 20 == 0 else 0.01)
        self.assertGreaterEqual(hedges.delay(True), 0.01)
        self.assertIsNone(hedges.delay(False))
        self.assertIsNone(HedgePolicy(keyed=True).delay(True))


if __name__ == "__main__":
    unittest.main()
