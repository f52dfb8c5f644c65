"""Test the leases of an account's tokens."""

import unittest

from fireflystand_core.accounts import QuotaCoordinator, QuotaHolder, Refused
from fireflystand_core.accounts.coordinator import max_lent
from fireflystand_core.configuration import AccountSettings
from fireflystand_core.messages import LeaseReport, QuotaRequest


def account_settings(rate=100.0, burst=20.0) -> AccountSettings:
    return AccountSettings("gent", rate, burst, ("winkel",))


def quota_request(
    instance="a", tokens=0.0, sequence=1, wait=0.5, reports=()
) -> QuotaRequest:
    return QuotaRequest(
        instance, "gent", tokens, wait=wait, sequence=sequence, reports=list(reports)
    )


def full_coordinator(**kwargs) -> QuotaCoordinator:
    coordinator = QuotaCoordinator([account_settings(**kwargs)], 0.0)
    coordinator.advance(60.0)
    return coordinator


def exchange(coordinator, holders, now):
    """Deliver requests and leases until nothing is due at ``now``."""
    verdicts = []
    for _ in range(10):
        for holder in holders.values():
            request = holder.next_request(now)
            due_leases = coordinator.request(request, now) if request else []
            for instance, lease in due_leases + coordinator.advance(now):
                holders[instance].on_lease(lease, now)
        for name, holder in holders.items():
            verdicts.extend((name, *verdict) for verdict in holder.advance(now))
    return verdicts


class QuotaCoordinatorTests(unittest.TestCase):
    """Guard against lending more tokens than the account's rate and burst allow."""

    def test_takeover_lends_beside_what_old_leases_may_hold(self):
        coordinator = QuotaCoordinator([account_settings()], 10.0)
        self.assertEqual(coordinator.request(quota_request(tokens=15), 10.0), [])
        self.assertEqual(coordinator.advance(10.2), [])
        [(_, lease)] = coordinator.advance(10.24)
        self.assertEqual(lease.tokens, 4)
        quota = coordinator.quotas_by_account["gent"]
        for step in range(25, 100):
            coordinator.advance(10.0 + step / 100)
            self.assertLessEqual(quota.level + quota.lent, 20 - max_lent(20))
        coordinator.advance(11.2)
        self.assertEqual(quota.level, 20)

    def test_first_leases_end_before_another_successor_lends(self):
        coordinator = QuotaCoordinator([account_settings()], 10.0)
        coordinator.request(quota_request(tokens=2), 10.1)
        [(_, lease)] = coordinator.advance(10.23)
        self.assertAlmostEqual(lease.ttl, 0.2 + 0.13)
        successor = QuotaCoordinator([account_settings()], 10.23)
        self.assertEqual(successor.request(quota_request(tokens=1), 10.42), [])

    def test_unspent_leases_hold_at_most_half_the_burst(self):
        coordinator = full_coordinator()
        coordinator.request(quota_request("a", 15), 60.0)
        quota = coordinator.quotas_by_account["gent"]
        self.assertEqual((quota.level, quota.lent), (10, 10))
        self.assertEqual(coordinator.request(quota_request("b", 1), 60.0), [])
        reports = [LeaseReport(1, 3)]
        due_leases = coordinator.request(
            quota_request("a", 0, 2, reports=reports), 60.0
        )
        self.assertIn(("b", 1), [(name, lease.tokens) for name, lease in due_leases])

    def test_lent_tokens_count_against_the_burst(self):
        coordinator = full_coordinator()
        [(_, lease)] = coordinator.request(quota_request(tokens=8), 60.0)
        self.assertEqual(lease.tokens, 8)
        coordinator.advance(60.9)
        quota = coordinator.quotas_by_account["gent"]
        self.assertEqual(quota.level + quota.lent, 20)

    def test_late_and_repeated_reports_return_tokens_once(self):
        coordinator = full_coordinator()
        coordinator.request(quota_request(tokens=10), 60.0)
        closed = LeaseReport(1, 4, closed=True)
        late = LeaseReport(1, 2)
        for sequence, report in enumerate((closed, late, closed), start=2):
            coordinator.request(
                quota_request(sequence=sequence, reports=[report]), 60.0
            )
        quota = coordinator.quotas_by_account["gent"]
        self.assertEqual(quota.lent + quota.level, 16)

    def test_overtaken_report_lends_no_spent_tokens_again(self):
        coordinator = full_coordinator()
        coordinator.request(quota_request(tokens=10), 60.0)
        for sequence, spent in ((3, 4), (2, 2)):
            reports = [LeaseReport(1, spent)]
            coordinator.request(quota_request(sequence=sequence, reports=reports), 60.0)
        self.assertEqual(coordinator.quotas_by_account["gent"].lent, 6)

    def test_repeated_request_lends_nothing(self):
        coordinator = full_coordinator()
        coordinator.request(quota_request(tokens=10), 60.0)
        self.assertEqual(coordinator.request(quota_request(tokens=10), 60.0), [])

    def test_waiting_instances_share_what_arrives(self):
        coordinator = full_coordinator()
        coordinator.request(quota_request("a", 10), 60.0)
        coordinator.request(
            quota_request("a", 10, 2, reports=[LeaseReport(1, 10)]), 60.0
        )
        coordinator.request(quota_request("b", 8, reports=[]), 60.0)
        coordinator.request(quota_request("c", 1), 60.0)
        coordinator.request(
            quota_request("a", 0, 3, reports=[LeaseReport(2, 10)]), 60.0
        )
        due_leases = dict(coordinator.advance(60.025))
        self.assertEqual(
            {name: lease.tokens for name, lease in due_leases.items()}, {"b": 1, "c": 1}
        )

    def test_handover_continues_with_the_same_bucket(self):
        coordinator = full_coordinator()
        coordinator.request(quota_request(tokens=5), 60.0)
        state = coordinator.export(60.0)
        successor = QuotaCoordinator([account_settings()], 500.0, state)
        quota = successor.quotas_by_account["gent"]
        self.assertEqual((quota.level, quota.lent), (15, 5))
        returned = [LeaseReport(1, 1, closed=True)]
        successor.request(quota_request(sequence=2, reports=returned), 500.0)
        self.assertEqual((quota.level, quota.lent), (19, 0))

    def test_lower_burst_applies_to_tokens_that_are_there(self):
        coordinator = full_coordinator()
        coordinator.configure([account_settings(burst=6.0)], 60.0)
        self.assertEqual(coordinator.quotas_by_account["gent"].level, 6)


class QuotaHolderTests(unittest.TestCase):
    """Guard against spending expired leases and refusing callers needlessly."""

    def setUp(self):
        self.coordinator = full_coordinator()
        self.holder = QuotaHolder("a", account_settings(), 60.0)

    def exchange(self, now):
        return exchange(self.coordinator, {"a": self.holder}, now)

    def test_caller_waits_for_the_lease(self):
        self.assertIs(self.holder.take(1, 61.0, 60.0), False)
        self.assertEqual(self.exchange(60.0), [("a", 1, True)])

    def test_lease_counts_from_the_sending(self):
        self.holder.take(1, 65.0, 60.0)
        request = self.holder.next_request(60.0)
        [(_, lease)] = self.coordinator.request(request, 60.0)
        self.holder.on_lease(lease, 60.99)
        self.assertEqual(self.holder.advance(60.99), [])

    def test_late_answer_to_an_abandoned_request_is_not_spent(self):
        self.holder.take(1, 65.0, 60.0)
        first = self.holder.next_request(60.0)
        [(_, lease)] = self.coordinator.request(first, 60.0)
        second = self.holder.next_request(60.9)
        self.assertIn(LeaseReport(first.sequence, 0.0, True), second.reports)
        self.holder.on_lease(lease, 60.9)
        self.assertEqual(self.holder.advance(60.9), [])

    def test_unspent_tokens_are_returned_before_the_expiry(self):
        now = 60.0
        for caller in range(200):
            now += 0.01
            self.holder.take(caller, now + 1, now)
            self.exchange(now)
        quota = self.coordinator.quotas_by_account["gent"]
        self.assertGreater(self.holder.unspent(now), 0)
        level = quota.level + quota.lent
        for step in range(1, 5):
            self.exchange(now + 0.75 * step)
        self.assertEqual(quota.lent, 0)
        self.assertGreaterEqual(quota.level, min(20, level))

    def test_refusal_names_the_time_until_a_token(self):
        self.coordinator = QuotaCoordinator([account_settings()], 60.0)
        self.holder.take(1, 60.1, 60.0)
        self.exchange(60.0)
        [(_, _, verdict)] = self.exchange(60.1)
        self.assertIsInstance(verdict, Refused)
        self.assertGreater(verdict.retry_after, 0)

    def test_callers_that_cannot_be_served_are_refused_at_once(self):
        verdicts = [self.holder.take(n, 60.1, 60.0) for n in range(32)]
        self.assertEqual(verdicts[:30], [False] * 30)
        self.assertIsInstance(verdicts[31], Refused)


if __name__ == "__main__":
    unittest.main()
