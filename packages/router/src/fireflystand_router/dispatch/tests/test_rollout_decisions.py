"""Test what the deciding instance writes and sends, without processes or a network."""

import unittest
from types import SimpleNamespace

import trio
import trio.testing

from fireflystand_core.exceptions import StoreConflictError
from fireflystand_core.replica import ObjectChange
from fireflystand_core.rollouts import Phase

from ..rollout_decisions import LEASE_INTERVAL, ServiceDecisions
from .test_rollout_client import NEW, OLD, SERVICE, Sender


class Store:
    """Stand in for the platform's store, which has one counter of revisions."""

    def __init__(self, sender: Sender) -> None:
        self.sender = sender
        self.objects: dict[tuple[str, str], ObjectChange] = {}
        self.statuses: list[dict] = []

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
        self.statuses.append(status)

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


if __name__ == "__main__":
    unittest.main()
