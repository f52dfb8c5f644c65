"""Test what the deciding instance writes and sends, without processes or a network."""

import unittest
from types import SimpleNamespace

import trio
import trio.testing

from fireflystand_core.exceptions import StoreConflictError
from fireflystand_core.replica import ObjectChange
from fireflystand_core.rollouts import MAX_CONFIRMATION_AGE, Phase, RolloutRecord

from ..ports import ROLLOUT_RECORDS
from ..rollout_decisions import LEASE_INTERVAL, ServiceDecisions
from ..rollouts import KEYS_SHARE_MARGIN
from .test_rollout_client import NEW, OLD, SERVICE, Sender


class Store:
    """Stand in for the platform's store, which has one counter of revisions."""

    def __init__(self, sender: Sender) -> None:
        self.sender = sender
        self.objects: dict[tuple[str, str], ObjectChange] = {}
        self.statuses: list[str] = []

    async def put(self, kind: str, name: str, value, version: int) -> int:
        """Write an object if it has a version."""
        known = self.objects.get((kind, name))
        if known is not None and known.version != version:
            raise StoreConflictError("another version")
        self.sender.revision += 1
        change = ObjectChange(name, self.sender.revision, value)
        self.objects[kind, name] = change
        return change.version

    async def put_status(self, kind: str, name: str, status: dict, version: int):
        """Note a status."""
        self.statuses.append(status["state"])
        order = self.sender.state.orders_by_service[name]
        value = {
            "service": name,
            "to": order.to,
            "duration": order.duration,
            "created": order.created,
            "state": status["state"],
            "state_to": status["to"],
        }
        self.sender.write(kind, name, value)

    async def get(self, kind: str, name: str) -> ObjectChange | None:
        """Return an object."""
        return self.objects.get((kind, name))


class DecisionTests(unittest.TestCase):
    """Base of the tests of the decisions at one instance, the first of its service."""

    def play(self, scenario) -> None:
        async def main():
            sender = Sender()
            peers = sender.peers
            peers.incarnation = "a"
            peers.incarnations_by_id = {}
            peers.store_unreachable = False
            peers.store_watcher_rank = lambda name: 0
            store = Store(sender)
            decisions = ServiceDecisions(
                SERVICE,
                store=store,
                state=sender.state,
                membership=peers,
                replica_sync=SimpleNamespace(
                    push=lambda *change: None, rollout_peers=set()
                ),
                client=sender.client,
                clock=lambda: sender.now,
            )
            sender.add_target("a1", OLD)
            sender.add_target("a2", OLD)
            await scenario(sender, store, decisions)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def claim(self, sender: Sender, decisions: ServiceDecisions) -> None:
        """Let the instance claim the role of the decider."""
        await decisions._act()
        sender.now += 1.0
        sender.confirm()
        await decisions._act()
        self.assertTrue(decisions.is_decider)


class LeaseTests(DecisionTests):
    """Guard against leases that end too early or go on too long."""

    def versions_in_an_outage(self, phase: Phase) -> set[str]:
        versions = set()

        async def scenario(sender, store, decisions):
            sender.order()
            sender.add_target("b1", NEW)
            sender.record(phase)
            await self.claim(sender, decisions)
            sender.now += 10.0
            with trio.move_on_after(1.5 * LEASE_INTERVAL):
                await decisions._send_leases()
            versions.update(sender.send() for _ in range(20))

        self.play(scenario)
        return versions

    def test_service_is_served_in_the_cutover_while_the_store_is_away(self):
        """The old version is not allowed, so that all requests were refused."""
        self.assertEqual(self.versions_in_an_outage(Phase.CUTOVER), {NEW})

    def test_no_leases_before_the_cutover_while_the_store_is_away(self):
        for phase in (Phase.TRIAL, Phase.RAMP):
            self.assertNotIn(NEW, self.versions_in_an_outage(phase))


class PlacementTests(DecisionTests):
    """Guard against a keyed service that has too few responses for the ramp."""

    def test_leases_tell_how_many_keys_to_place(self):
        async def scenario(sender, store, decisions):
            sender.order()
            sender.add_target("b1", NEW)
            sender.record(Phase.RAMP)
            await self.claim(sender, decisions)
            with trio.move_on_after(1.5 * LEASE_INTERVAL):
                await decisions._send_leases()
            share = sender.client.trial_keys_share(SERVICE, 47.0)
            self.assertAlmostEqual(share, 0.25 * KEYS_SHARE_MARGIN)

        self.play(scenario)


class VersionInUseTests(DecisionTests):
    """Guard against an order that shuts a service down for which nothing changes."""

    def test_order_is_completed_at_once(self):
        async def scenario(sender, store, decisions):
            sender.order(OLD)
            await decisions._act()
            record = sender.state.rollouts_by_service[SERVICE]
            self.assertIs(record.phase, Phase.COMPLETED)
            with trio.move_on_after(1.0):
                await decisions._write_statuses()
            self.assertEqual(store.statuses, ["serving", "completed"])
            await decisions._act()
            self.assertEqual({sender.send() for _ in range(200)}, {OLD})

        self.play(scenario)

    def test_requests_at_the_targets_of_the_order_before_end_first(self):
        async def scenario(sender, store, decisions):
            sender.order()
            sender.add_target("b1", NEW)
            await self.claim(sender, decisions)
            sender.order(OLD)
            await decisions._act()
            record = sender.state.rollouts_by_service[SERVICE]
            self.assertFalse(record.phase.is_final)
            sender.now += MAX_CONFIRMATION_AGE + 0.1
            sender.confirm()
            await decisions._act()
            record = sender.state.rollouts_by_service[SERVICE]
            self.assertEqual((record.phase, record.to), (Phase.COMPLETED, OLD))

        self.play(scenario)


class LaggingReplicaTests(DecisionTests):
    """Guard against steps that what the other replica holds does not allow."""

    def test_serving_is_not_written_over_the_end(self):
        async def scenario(sender, store, decisions):
            sender.order()
            sender.add_target("b1", NEW)
            sender.record(Phase.CUTOVER)
            await self.claim(sender, decisions)
            sender.order_again(state="completed", state_to=NEW)
            self.assertIsNone(decisions._due_status())
            sender.order_again(state="", state_to="")
            self.assertIsNone(decisions._due_status())

        self.play(scenario)

    def test_record_that_came_before_its_order(self):
        async def scenario(sender, store, decisions):
            record = RolloutRecord(SERVICE, "later order", NEW, Phase.TRIAL, epoch=7)
            sender.write(ROLLOUT_RECORDS, SERVICE, record.to_value())
            for _ in range(2):
                await decisions._act()
                sender.now += 1.0
            self.assertEqual(store.objects, {})
            sender.confirm()
            await decisions._act()
            ((_, change),) = store.objects.items()
            self.assertEqual(change.value["phase"], "rolled_back")

        self.play(scenario)

    def test_record_that_came_before_the_order_that_replaces_one(self):
        async def scenario(sender, store, decisions):
            sender.order()
            record = RolloutRecord(SERVICE, "later order", "9", Phase.TRIAL, epoch=7)
            sender.write(ROLLOUT_RECORDS, SERVICE, record.to_value())
            await decisions._act()
            self.assertEqual(store.objects, {})
            sender.confirm()
            await decisions._act()
            self.assertTrue(decisions.is_decider)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
