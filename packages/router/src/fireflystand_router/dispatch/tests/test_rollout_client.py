"""Test which version a sender chooses, without processes or a network."""

import unittest
from random import Random
from types import SimpleNamespace
from unittest import mock

import trio
import trio.testing

from fireflystand_core.messages import RolloutLease
from fireflystand_core.replica import ObjectChange
from fireflystand_core.rollouts import Phase, RolloutRecord
from fireflystand_core.rollouts.judgement import RolloutSample
from fireflystand_core.traffic import (
    EntryLimits,
    RoutingTable,
    ServicePolicy,
    TargetRecord,
)

from ...metrics import Metrics
from ...peers import PeerUnavailableError
from ..ports import (
    CONFIGURATION,
    INSTANCES,
    ROLLOUT_KINDS,
    ROLLOUT_RECORDS,
    ROLLOUTS,
    TARGETS,
    DispatchBounds,
)
from ..rollouts import ANY_VERSION, MAX_SAMPLES, REPORT_INTERVAL, RolloutClient
from ..state import RoutingState

SERVICE = "pooled"
OLD, NEW, THIRD = "7", "8", "9"
DURATION = 10.0  # seconds


class Peers:
    """Stand in for the membership and its network."""

    own_id = "n1"

    def __init__(self):
        self.network = SimpleNamespace(set_direct_handler=lambda *handler: None)
        self.live = ["n1"]

    def is_live(self, instance: str) -> bool:
        return instance in self.live


class Sender:
    """Own the client of one instance and what the store tells it."""

    def __init__(self, *, follows: bool = True) -> None:
        self.now = 100.0
        self.revision = 1
        self.peers = Peers()
        table = RoutingTable(1, [], [ServicePolicy(SERVICE)], [], EntryLimits())
        self.state = RoutingState(
            lambda value: table,
            lambda change: change.value,
            lambda: self.now,
            follows_rollouts=follows,
        )
        self.client = RolloutClient(
            self.state,
            self.peers,
            DispatchBounds(),
            Random(1),
            Metrics(),
            follows_rollouts=follows,
            clock=lambda: self.now,
        )
        self.write(CONFIGURATION, "main", {})
        self.write(INSTANCES, "n1", {})
        if follows:
            self.confirm()

    def write(self, kind: str, name: str, value, *, confirms: bool = True) -> None:
        """Write an object; only the replica of its kind is current then."""
        since = self.state.replicas_by_kind[kind].revision
        self.revision += 1
        change = ObjectChange(name, self.revision, value)
        if isinstance(value, TargetRecord):
            value = None
        first = since if confirms else self.revision
        self.state.apply(kind, first, self.revision, [change], self.now)

    def confirm(self) -> None:
        """Confirm the replicas of orders and records by the store."""
        for kind in ROLLOUT_KINDS:
            since = self.state.replicas_by_kind[kind].revision
            self.state.apply(kind, since, self.revision, [], self.now)

    def add_target(self, name: str, version: str, service: str = SERVICE) -> None:
        """Write the record of a target."""
        record = TargetRecord(
            name,
            service,
            "10.0.0.1:1",
            "x",
            4,
            version=self.revision + 1,
            software=version,
        )
        self.write(TARGETS, name, record)

    def order(self, to: str = NEW, **status) -> None:
        """Write an order of its own identity."""
        value = {
            "service": SERVICE,
            "to": to,
            "duration": DURATION,
            "created": self.revision + 1,
        }
        self.value = value
        self.order_again(**status)

    def order_again(self, **status) -> None:
        """Write the latest order with a status."""
        self.write(ROLLOUTS, SERVICE, self.value | status)
        self.confirm()

    def lease(
        self, phase: Phase = Phase.TRIAL, share: float = 0.05, sender: str = "n1"
    ) -> None:
        """Deliver a lease of the deciding instance."""
        order = self.state.orders_by_service[SERVICE]
        epoch = self.client.rollouts_by_service[SERVICE].gate.epoch
        lease = RolloutLease(SERVICE, order.id, phase.value, epoch, share, 5.0)
        self.client.apply_lease(lease, sender)

    def record(self, phase: Phase, to: str = NEW, holder: str = "") -> None:
        """Write the record of the order in force, or of one that is gone."""
        order = self.state.orders_by_service.get(SERVICE)
        order_id = order.id if order else "gone"
        record = RolloutRecord(
            SERVICE, order_id, to, phase, epoch=self.revision, holder=holder
        )
        self.write(ROLLOUT_RECORDS, SERVICE, record.to_value())
        self.confirm()

    def send(self, target: str = "") -> str:
        """Send a request; return the version it was chosen for, "none" without one."""
        use = self.client.choose(SERVICE, target)
        if use is None:
            return "none"
        self.client.finish(use, sent=True, is_first=True)
        return use.version


class SenderTests(unittest.TestCase):
    """Base of the tests of one sender."""

    def play(self, scenario, **options) -> None:
        async def main():
            sender = Sender(**options)
            sender.add_target("a1", OLD)
            sender.add_target("a2", OLD)
            if options.get("follows", True):
                sender.confirm()
            scenario(sender)

        trio.run(main)


class HeldVersionTests(SenderTests):
    """Guard against requests at a new version before its order is known."""

    def test_new_version_waits_for_the_orders_of_its_revision(self):
        def scenario(sender):
            self.assertIs(sender.client.choose(SERVICE, ""), ANY_VERSION)
            sender.add_target("b1", NEW)
            use = sender.client.choose(SERVICE, "")
            self.assertEqual(use.excluded_versions, {NEW})
            self.assertFalse(sender.client.admits("b1"))
            self.assertFalse(sender.client.may_use(ANY_VERSION, "b1"))
            sender.confirm()
            self.assertIs(sender.client.choose(SERVICE, ""), ANY_VERSION)
            self.assertTrue(sender.client.may_use(ANY_VERSION, "b1"))

        self.play(scenario)

    def test_instance_that_starts_before_it_has_read_the_orders(self):
        """The order may have reached its cutover, or be completed."""

        def scenario(sender):
            replica = sender.state.replicas_by_kind[ROLLOUTS]
            sender.add_target("b1", NEW)
            with mock.patch.object(replica, "revision", 0):
                self.assertIsNone(sender.client.choose(SERVICE, ""))
                self.assertIsNone(sender.client.choose(SERVICE, "a1"))
                self.assertFalse(sender.client.may_use(ANY_VERSION, "a1"))
            sender.confirm()
            self.assertIs(sender.client.choose(SERVICE, ""), ANY_VERSION)

        self.play(scenario)

    def test_instance_that_starts_with_one_version(self):
        def scenario(sender):
            replica = sender.state.replicas_by_kind[ROLLOUTS]
            with mock.patch.object(replica, "revision", 0):
                self.assertIs(sender.client.choose(SERVICE, ""), ANY_VERSION)

        self.play(scenario)

    def test_old_version_is_not_held_back(self):
        def scenario(sender):
            sender.add_target("b1", NEW)
            self.assertTrue(sender.client.admits("a1"))

        self.play(scenario)

    def test_instances_without_rollouts_hold_nothing_back(self):
        def scenario(sender):
            sender.add_target("b1", NEW)
            self.assertIs(sender.client.choose(SERVICE, ""), ANY_VERSION)
            self.assertTrue(sender.client.may_use(ANY_VERSION, "b1"))
            self.assertEqual(
                set(ROLLOUT_KINDS) & set(sender.state.replicas_by_kind), set()
            )

        self.play(scenario, follows=False)


class TrialTests(SenderTests):
    """Guard against a new version that gets requests beyond the budget or a lease."""

    def begin(self, sender) -> None:
        sender.order()
        sender.add_target("b1", NEW)
        sender.confirm()

    def test_no_request_without_a_lease(self):
        def scenario(sender):
            self.begin(sender)
            self.assertEqual({sender.send() for _ in range(50)}, {""})
            use = sender.client.choose(SERVICE, "")
            self.assertIn(NEW, use.excluded_versions)

        self.play(scenario)

    def test_requests_stay_within_the_budget(self):
        def scenario(sender):
            self.begin(sender)
            sender.lease()
            versions = [sender.send() for _ in range(1000)]
            # Half of the slack of 50 requests and 5% of 1000; all of one instance.
            self.assertLessEqual(versions.count(NEW), 25 + 50)
            self.assertGreater(versions.count(NEW), 60)

        self.play(scenario)

    def test_lease_ends(self):
        def scenario(sender):
            self.begin(sender)
            sender.lease()
            use = sender.client.choose(SERVICE, "")
            self.assertTrue(use.has_token)
            self.assertTrue(sender.client.may_use(use, "b1"))
            sender.now += 2.1
            self.assertFalse(sender.client.may_use(use, "b1"))
            self.assertEqual(sender.send(), "")

        self.play(scenario)

    def test_lease_with_an_unknown_phase_changes_nothing(self):
        """An error in a handler of peer messages ends the instance."""

        def scenario(sender):
            self.begin(sender)
            order = sender.state.orders_by_service[SERVICE]
            lease = RolloutLease(SERVICE, order.id, "later", 1, 1.0, 5.0)
            sender.client.apply_lease(lease, "n2")
            self.assertEqual({sender.send() for _ in range(50)}, {""})

        self.play(scenario)

    def test_slot_of_the_new_version_needs_a_token(self):
        """An instance of an earlier build grants slots of any version."""

        def scenario(sender):
            self.begin(sender)
            sender.lease()
            self.assertFalse(sender.client.may_use(ANY_VERSION, "b1"))
            self.assertTrue(sender.client.may_use(ANY_VERSION, "a1"))

        self.play(scenario)

    def test_token_of_an_unsent_request_is_given_back(self):
        def scenario(sender):
            self.begin(sender)
            sender.lease()
            budget = sender.client.rollouts_by_service[SERVICE].gate.budget
            before = budget.tokens
            use = sender.client.choose(SERVICE, "")
            self.assertLess(budget.tokens, before)
            sender.client.finish(use, sent=False, is_first=True)
            self.assertAlmostEqual(budget.tokens, before)

        self.play(scenario)

    def test_rolled_back_version_gets_nothing(self):
        def scenario(sender):
            self.begin(sender)
            sender.lease()
            sender.record(Phase.ROLLED_BACK)
            self.assertEqual({sender.send() for _ in range(50)}, {""})
            self.assertFalse(sender.client.admits("b1"))

        self.play(scenario)

    def test_rollback_is_reported_until_it_is_recorded(self):
        """The next decider would complete the version without being told."""

        async def main():
            sender = Sender()
            sender.add_target("a1", OLD)
            self.begin(sender)
            sender.record(Phase.CUTOVER)
            sender.lease(Phase.CUTOVER, 1.0)
            sender.lease(Phase.ROLLED_BACK, 0.0)
            reports = []
            sender.client.on_own_report = lambda _, report: reports.append(report)
            with trio.move_on_after(3 * REPORT_INTERVAL):
                await sender.client.run()
            self.assertIn("rolled_back", {report.phase for report in reports})
            sender.record(Phase.ROLLED_BACK)
            reports.clear()
            with trio.move_on_after(3 * REPORT_INTERVAL):
                await sender.client.run()
            self.assertEqual(reports, [])

        trio.run(main)

    def test_replicas_that_are_not_confirmed_end_both_versions(self):
        def scenario(sender):
            self.begin(sender)
            sender.now += 0.45 * DURATION
            sender.lease()
            self.assertEqual(sender.send(), "none")

        self.play(scenario)


class ReportTests(SenderTests):
    """Guard against evidence that is lost with the decider, or on the way to it."""

    def play_reports(self, scenario) -> None:
        """Play with a function that returns the samples of the reports sent now."""

        async def main():
            sender = Sender()
            sender.add_target("a1", OLD)
            sender.order()
            sender.add_target("b1", NEW)
            self.sent = []
            sender.client.on_own_report = lambda _, report: self.sent.append(report)
            await scenario(sender)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def note(self, sender, target: str, count: int = 1) -> None:
        record = sender.state.targets_by_id[target]
        for _ in range(count):
            sender.client.note_result(record, "r", failed=False, seconds=0.1)

    async def reported(self, sender) -> list[int]:
        """Return the numbers of samples in the reports of some time."""
        self.sent.clear()
        with trio.move_on_after(3 * REPORT_INTERVAL):
            await sender.client.run()
        return [len(report.samples) for report in self.sent if report.samples]

    def test_samples_wait_for_a_receiver(self):
        async def scenario(sender):
            self.note(sender, "b1", 3)
            self.assertEqual(await self.reported(sender), [])
            sender.lease()
            self.assertEqual(await self.reported(sender), [3])
            self.assertEqual(await self.reported(sender), [])

        self.play_reports(scenario)

    def test_samples_wait_for_a_link(self):
        async def scenario(sender):
            def fail(peer, message):
                raise PeerUnavailableError("no link", step="send", peer=peer)

            sender.peers.live.append("n2")
            sender.peers.network.send = fail
            sender.lease(sender="n2")
            self.note(sender, "b1", 3)
            await self.reported(sender)
            sender.peers.network.send = lambda peer, report: self.sent.append(report)
            self.assertEqual(await self.reported(sender), [3])

        self.play_reports(scenario)

    def test_time_of_a_frozen_instance_is_not_compared(self):
        async def scenario(sender):
            record = sender.state.targets_by_id["b1"]
            sender.lease()
            for has_time in (True, False):
                sender.client.note_result(
                    record, "r", failed=False, seconds=7.0, has_time=has_time
                )
            await self.reported(sender)
            samples = [
                RolloutSample(*sample)
                for report in self.sent
                for sample in report.samples
            ]
            self.assertEqual([s.has_time for s in samples], [True, False])
            self.assertEqual([s.failed for s in samples], [False, False])

        self.play_reports(scenario)

    def test_next_decider_gets_the_latest_samples(self):
        async def scenario(sender):
            sender.lease()
            self.note(sender, "a1", 500)
            self.note(sender, "b1", 3)
            await self.reported(sender)
            self.note(sender, "b1", 2)
            sender.record(Phase.TRIAL, holder="n1")
            self.assertEqual(await self.reported(sender), [MAX_SAMPLES + 5])
            sender.lease()
            self.assertEqual(await self.reported(sender), [])

        self.play_reports(scenario)


class CutoverTests(SenderTests):
    """Guard against requests at the old version after the cutover."""

    def test_only_the_new_version_is_used(self):
        def scenario(sender):
            sender.order()
            sender.add_target("b1", NEW)
            sender.client.begin(sender.state.targets_by_id["a1"])
            sender.record(Phase.CUTOVER)
            sender.lease(Phase.CUTOVER, 1.0)
            self.assertEqual({sender.send() for _ in range(100)}, {NEW})
            self.assertFalse(sender.client.may_use(ANY_VERSION, "a1"))
            self.assertEqual(sender.client.old_in_flight(SERVICE), 1)
            sender.client.end("a1")
            self.assertEqual(sender.client.old_in_flight(SERVICE), 0)

        self.play(scenario)

    def test_restored_store_does_not_bring_the_old_version_back(self):
        def scenario(sender):
            sender.order()
            sender.add_target("b1", NEW)
            sender.record(Phase.COMPLETED)
            sender.record(Phase.TRIAL)
            self.assertEqual(sender.send(), NEW)

        self.play(scenario)

    def test_completed_version_stays_in_use_without_its_order(self):
        def scenario(sender):
            sender.order()
            sender.add_target("b1", NEW)
            sender.record(Phase.COMPLETED)
            sender.write(ROLLOUTS, SERVICE, None)
            sender.confirm()
            self.assertTrue(sender.client.admits("b1"))

        self.play(scenario)


class VersionInUseTests(SenderTests):
    """Guard against an order that shuts a service down for which nothing changes."""

    def assert_serves(self, sender, *targets: str) -> None:
        """Check that each request may use the targets, and no others."""
        latest = sender.state.latest_records_by_target
        for _ in range(200):
            use = sender.client.choose(SERVICE, "")
            self.assertIsNotNone(use)
            usable = {
                name
                for name, record in latest.items()
                if use.version in ("", record.software)
                and record.software not in use.excluded_versions
                and sender.client.may_use(use, name)
            }
            self.assertEqual(usable, set(targets))
            sender.client.finish(use, sent=True, is_first=True)

    def test_only_version(self):
        def scenario(sender):
            sender.order(OLD)
            self.assert_serves(sender, "a1", "a2")
            self.assertIs(sender.client.phase(SERVICE), Phase.COMPLETED)

        self.play(scenario)

    def test_version_of_a_completed_order(self):
        def scenario(sender):
            sender.order()
            sender.add_target("b1", NEW)
            sender.record(Phase.COMPLETED)
            sender.order()
            self.assert_serves(sender, "b1")

        self.play(scenario)

    def test_return_from_a_version_on_trial(self):
        def scenario(sender):
            sender.order()
            sender.add_target("b1", NEW)
            sender.lease()
            sender.order(OLD)
            self.assert_serves(sender, "a1", "a2")

        self.play(scenario)

    def test_completed_version_that_has_no_targets_any_more(self):
        def scenario(sender):
            sender.record(Phase.COMPLETED)
            sender.order()
            self.assert_serves(sender, "a1", "a2")

        self.play(scenario)

    def test_instance_that_has_read_a_part(self):
        """It would complete a version whose trial has begun."""

        def scenario(sender):
            for kind in (TARGETS, ROLLOUT_RECORDS):
                with mock.patch.object(
                    sender.state.replicas_by_kind[kind], "revision", 0
                ):
                    sender.order(OLD)
                    self.assertIs(sender.client.phase(SERVICE), Phase.TRIAL)

        def without_confirmation(sender):
            sender.confirm = lambda: None
            scenario(sender)

        self.play(without_confirmation)

    def test_targets_that_are_lost_in_a_trial(self):
        """The version under test would take over without a judgement."""

        def scenario(sender):
            sender.order()
            sender.add_target("b1", NEW)
            sender.record(Phase.TRIAL)
            for name in ("a1", "a2"):
                sender.write(TARGETS, name, None)
            self.assertIs(sender.client.phase(SERVICE), Phase.TRIAL)

        self.play(scenario)


class OrderTests(SenderTests):
    """Guard against versions of earlier orders that go on getting requests."""

    def test_version_of_a_changed_order_gets_nothing(self):
        def scenario(sender):
            sender.order()
            sender.add_target("b1", NEW)
            sender.lease()
            sender.order(THIRD)
            sender.add_target("c1", THIRD)
            sender.confirm()
            sender.lease()
            self.assertFalse(sender.client.admits("b1"))
            self.assertTrue(sender.client.admits("c1"))
            use = sender.client.choose(SERVICE, "a1")
            self.assertEqual(use.excluded_versions, {NEW, THIRD})

        self.play(scenario)

    def test_version_of_a_withdrawn_order_gets_nothing_after_a_restart(self):
        """The instance has never seen the order, only the record."""

        def scenario(sender):
            sender.add_target("b1", NEW)
            sender.record(Phase.TRIAL)
            sender.confirm()
            self.assertFalse(sender.client.admits("b1"))
            self.assertTrue(sender.client.admits("a1"))
            sender.order()
            sender.lease()
            self.assertTrue(sender.client.admits("b1"))

        self.play(scenario)

    def test_version_that_came_into_use_without_an_order_is_used(self):
        """All targets of the service would have been excluded."""

        def scenario(sender):
            sender.add_target("b1", NEW)
            sender.record(Phase.ROLLED_BACK)
            self.assertFalse(sender.client.admits("b1"))
            for name in ("a1", "a2"):
                sender.write(TARGETS, name, None)
            self.assertTrue(sender.client.admits("b1"))

        self.play(scenario)

    def test_end_that_was_missed_before_the_next_order(self):
        """The version that all targets run got nothing until that order ended."""

        def scenario(sender):
            sender.order()
            sender.add_target("b1", NEW)
            sender.record(Phase.CUTOVER)
            for name in ("a1", "a2"):
                sender.write(TARGETS, name, None)
            sender.order(THIRD)
            sender.add_target("c1", THIRD)
            sender.confirm()
            self.assertTrue(sender.client.admits("b1"))
            self.assertIs(sender.client.phase(SERVICE), Phase.TRIAL)
            use = sender.client.choose(SERVICE, "")
            self.assertEqual(use.excluded_versions, {THIRD})

        self.play(scenario)

    def test_malformed_order_changes_nothing(self):
        def scenario(sender):
            for odd in ({}, [], {"service": SERVICE}, {"service": "x", "to": 1}):
                sender.write(ROLLOUTS, SERVICE, odd)
                sender.confirm()
                self.assertIs(sender.client.choose(SERVICE, ""), ANY_VERSION)
            sender.order()
            sender.write(ROLLOUTS, SERVICE, {})
            self.assertIn(SERVICE, sender.client.rollouts_by_service)

        self.play(scenario)

    def test_order_for_an_unknown_service_changes_nothing(self):
        def scenario(sender):
            value = {"service": "x", "to": NEW, "duration": 5.0, "created": 3}
            sender.write(ROLLOUTS, "x", value)
            self.assertEqual(sender.client.rollouts_by_service, {})

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
