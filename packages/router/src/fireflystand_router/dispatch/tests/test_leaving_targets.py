"""Test what happens to targets that state in a response that they leave."""

import unittest

import trio

from ..ports import TARGETS, TargetFields
from .node_support import Caller, Fleet, HttpTarget, eventually, play_fleet

LEAVING = ("Leaving", "1")
FIELDS = TargetFields(states_leaving=lambda fields: (b"leaving", b"1") in fields)


class LeavingTestCase(unittest.TestCase):
    """Play scenarios with targets that may state that they leave."""

    def play(self, scenario) -> None:
        async def with_fields(fleet: Fleet) -> None:
            fleet.target_fields = FIELDS
            await scenario(fleet)

        play_fleet(with_fields)

    async def start(self, fleet: Fleet, service: str, nodes: int = 1) -> None:
        """Start instances, one target that leaves and one that does not."""
        if service != "keyed":
            await fleet.add_target("keyed")
        await fleet.add_target(service)
        await fleet.add_target(service)
        seeds: tuple[str, ...] = ()
        for _ in range(nodes):
            node = await fleet.add_node(seeds)
            seeds = (fleet.nodes[0].network.address,)
        await fleet.settle()
        return node

    async def requests(self, node, path: str, count: int, **fields) -> list[int]:
        caller = await Caller.connect(node)
        statuses = [(await caller.request(path, **fields))[0] for _ in range(count)]
        await caller.close()
        return statuses


class PooledTests(LeavingTestCase):
    """Guard against requests to a target after its first response that says so."""

    def count_after(self, **behaviour) -> None:
        """Check that a target with a behaviour gets one request and no more."""

        async def scenario(fleet: Fleet) -> None:
            node = await self.start(fleet, "pooled")
            first, second = fleet.targets[1:]
            first.extra.append(LEAVING)
            second.work = 0.15  # so that the first one is preferred
            for name, value in behaviour.items():
                setattr(first, name, value)
            statuses = await self.requests(node, "/p/x", 12)
            self.assertEqual(statuses, [200] * 12)
            self.assertLessEqual(len(first.requests), 1)
            self.assertGreaterEqual(len(second.requests), 11)

        self.play(scenario)

    def test_requests_follow_on_a_kept_connection(self):
        self.count_after()

    def test_requests_follow_on_new_connections(self):
        self.count_after(closes=True)

    def test_requests_follow_a_refusal(self):
        self.count_after(status=503, not_run=True)

    def test_record_that_says_ready_takes_the_statement_back(self):
        """A later response without the field does not take it back either."""

        async def scenario(fleet: Fleet) -> None:
            node = await self.start(fleet, "pooled")
            first, second = fleet.targets[1:]
            first.extra.append(LEAVING)
            second.status, second.not_run = 503, True
            await self.requests(node, "/p/x", 3)
            self.assertEqual(len(first.requests), 1)
            second.status, second.not_run = 200, False
            first.extra.clear()
            record = fleet.store.objects[TARGETS]["t2"].value
            version = fleet.store.write(TARGETS, "t2", record)
            await eventually(lambda: self.version(node, "t2") == version)
            self.assertEqual(await self.requests(node, "/p/x", 6), [200] * 6)
            self.assertEqual(len(first.requests), 1)
            fleet.store.write(TARGETS, "t2", record | {"started_at": 2})
            second.work = 0.1
            await eventually(lambda: node.state.usable_target("t2"))
            self.assertEqual(await self.requests(node, "/p/x", 6), [200] * 6)
            self.assertGreater(len(first.requests), 1)

        self.play(scenario)

    def test_record_that_lapses_and_returns_takes_the_statement_back(self):
        """A response may state it after the record was deleted."""

        async def scenario(fleet: Fleet) -> None:
            node = await self.start(fleet, "pooled")
            first, second = fleet.targets[1:]
            first.extra.append(LEAVING)
            first.work = 0.3
            second.work = 0.15
            record = fleet.store.objects[TARGETS]["t2"].value
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.requests, node, "/p/x", 1)
                await eventually(lambda: first.requests)
                fleet.store.write(TARGETS, "t2", None)
                await eventually(lambda: "t2" not in node.state.targets_by_id)
            version = fleet.store.write(TARGETS, "t2", record)
            await eventually(lambda: "t2" in node.state.targets_by_id)
            self.assertEqual(self.version(node, "t2"), version)
            async with trio.open_nursery() as nursery:
                for _ in range(6):  # more than the slots of the other target
                    nursery.start_soon(self.requests, node, "/p/x", 1)
            self.assertEqual(len(first.requests), 1)
            self.assertEqual(len(second.requests), 6)

        self.play(scenario)

    def version(self, node, target: str) -> int:
        return node.state.targets_by_id[target].version

    def test_instances_pass_on_more_than_the_first_response(self):
        """The instance that grants the slots may not be the one that was told."""

        async def scenario(fleet: Fleet) -> None:
            await self.start(fleet, "pooled", nodes=3)
            first, second = fleet.targets[1:]
            first.extra.append(LEAVING)
            second.work = 0.02
            for _ in range(4):
                for node in fleet.nodes:
                    statuses = await self.requests(node, "/p/x", 2)
                    self.assertEqual(statuses, [200] * 2)
            self.assertLessEqual(len(first.requests), len(fleet.nodes))

        self.play(scenario)


class KeyedTests(LeavingTestCase):
    """Guard against keys that stay with a target that leaves."""

    async def owner(self, fleet: Fleet) -> HttpTarget:
        """Return the target that owns the key of the requests."""
        owner = fleet.nodes[0].state.owner("keyed", 7).target
        return fleet.targets[int(owner[1:]) - 1]

    def test_keys_stay_until_the_store_says_so(self):
        """An instance that coordinates nothing may be the one that was told."""

        async def scenario(fleet: Fleet) -> None:
            await self.start(fleet, "keyed", nodes=3)
            holder = fleet.nodes[0].state.records_by_service["keyed"].holder
            teller = next(n for n in fleet.nodes if n.settings.instance != holder)
            owner = await self.owner(fleet)
            owner.extra.append(LEAVING)
            await self.requests(teller, "/k/x", 1)
            moved = [n.state for n in fleet.nodes]
            leaver = f"t{fleet.targets.index(owner) + 1}"
            await eventually(
                lambda: all(
                    (item := state.owner("keyed", 7))
                    and item.target not in (leaver, "")
                    for state in moved
                )
            )
            for node in fleet.nodes:
                self.assertEqual(await self.requests(node, "/k/x", 3), [200] * 3)
            self.assertEqual(len(owner.requests), 1)

        self.play(scenario)

    def test_requests_that_wait_for_the_target_are_refused(self):
        async def scenario(fleet: Fleet) -> None:
            node = await self.start(fleet, "keyed")
            owner = await self.owner(fleet)
            owner.work = 0.3
            owner.extra.append(LEAVING)
            statuses: list[int] = []

            async def send() -> None:
                statuses.extend(await self.requests(node, "/k/x", 1))

            async with trio.open_nursery() as nursery:
                for _ in range(9):
                    nursery.start_soon(send)
            self.assertEqual(statuses, [200] * 9)
            self.assertLess(len(owner.requests), 9)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
