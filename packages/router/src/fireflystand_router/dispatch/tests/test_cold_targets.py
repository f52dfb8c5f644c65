"""Test what a cold target gets from all instances together."""

import unittest
from collections.abc import Callable
from contextlib import contextmanager

import trio
from loguru import logger

from fireflystand_core.dispatch import UNUSED_PERIOD, QueuedRequest, SlotResult
from fireflystand_core.exceptions import StoreUnavailableError
from fireflystand_core.messages import SlotGrant

from ...events import COLD_SLOT_GRANTED, SLOT_REQUEST_REDIRECTED
from ...metrics import COLD_SLOTS, REDIRECTED_SLOT_REQUESTS
from ..node import DispatchNode
from ..ports import INSTANCES, TARGETS
from ..slots import responsible_for
from .node_support import Caller, Fleet, HttpTarget, eventually, play_fleet

WARMUP = 30.0  # seconds
WARMUP_RATE = 4.0  # requests a second to a cold target
BOUND = WARMUP_RATE * 1.5 + 5  # requests in a second (FAILBACK)
NODES = 8


@contextmanager
def logged_events():
    """Provide the numbers and fields of the events logged meanwhile."""
    events: list[tuple[int, dict]] = []

    def add(message) -> None:
        extra = message.record["extra"]
        events.append((extra["event"], extra["fields"]))

    sink = logger.add(add)
    try:
        yield events
    finally:
        logger.remove(sink)


async def start_fleet(
    fleet: Fleet, service: str, cold_for: float = WARMUP
) -> HttpTarget:
    """Start the instances and the targets; return the cold one of a service."""
    fleet.configure(2, warmup=WARMUP, warmup_rate=WARMUP_RATE, max_attempts=1)
    await fleet.add_target("pooled" if service == "keyed" else "keyed")
    target = await fleet.add_target(service, work=0.02)
    record = fleet.store.objects[TARGETS]["t2"].value
    fleet.store.write(TARGETS, "t2", record | {"slots": 6, "cold_for": cold_for})
    for _ in range(NODES):
        await fleet.add_node()
    await fleet.settle()
    return target


def responsible_node(fleet: Fleet, service: str) -> DispatchNode:
    """Return the instance whose queue grants the slots of the cold target."""
    target = "t2" if service == "keyed" else ""
    name = responsible_for(fleet.nodes[0].membership, service, target)
    return next(node for node in fleet.nodes if node.settings.instance == name)


async def send_requests(node: DispatchNode, service: str, until: float) -> None:
    """Send requests on two connections, one after the other on each."""

    async def send() -> None:
        caller = await Caller.connect(node)
        while trio.current_time() < until:
            await caller.request(f"/{service[0]}/x", deadline="1500")
            await trio.sleep(0.05)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        nursery.start_soon(send)


def end_process(node: DispatchNode) -> None:
    """End an instance like a kill: its streams end and its ports refuse."""
    node._scope.cancel()


def refuse_peers(node: DispatchNode) -> None:
    """Cut an instance off from its peers; it goes on with the requests it has."""
    node.network._scope.cancel()
    for outgoing in list(node.network._outgoing_by_id):
        node.network.close_stream(outgoing)


def most_in_a_second(arrivals: list[float]) -> int:
    """Return the most requests that arrived within a second."""
    counts = (sum(since <= at < since + 1 for at in arrivals) for since in arrivals)
    return max(counts, default=0)


async def load_and_lose_responsible(
    fleet: Fleet, service: str, lose: Callable[[DispatchNode], None] = end_process
) -> None:
    """Send requests through all instances and lose the one that grants their slots."""
    lost = responsible_node(fleet, service)
    until = trio.current_time() + 3.0
    async with trio.open_nursery() as nursery:
        for node in fleet.nodes:
            if node is not lost:
                nursery.start_soon(send_requests, node, service, until)
        await trio.sleep(1.0)
        lose(lost)


class ColdGrantLogTests(unittest.TestCase):
    """Guard against floods whose logs do not tell who granted the slots."""

    def test_grants_and_redirected_requests_are_logged_and_counted(self):
        async def scenario(fleet: Fleet) -> None:
            await start_fleet(fleet, "keyed")
            lost = responsible_node(fleet, "keyed").settings.instance
            with logged_events() as events:
                await load_and_lose_responsible(fleet, "keyed")
            grants = [f for n, f in events if n == COLD_SLOT_GRANTED.number]
            redirected = [f for n, f in events if n == SLOT_REQUEST_REDIRECTED.number]
            self.assertEqual({f["target"] for f in grants}, {"t2"})
            self.assertIn(lost, {f["responsible"] for f in grants})
            self.assertTrue({f["responsible"] for f in grants} - {lost})
            self.assertEqual({f["responsible"] for f in redirected}, {lost})
            counts = [node.metrics.counts_by_name for node in fleet.nodes]
            self.assertEqual(sum(c[COLD_SLOTS.name] for c in counts), len(grants))
            self.assertEqual(
                sum(c[REDIRECTED_SLOT_REQUESTS.name] for c in counts), len(redirected)
            )

        play_fleet(scenario)


class LostResponsibleInstanceTests(unittest.TestCase):
    """Guard against a flood of a cold target whose responsible instance is lost.

    Each instance that could not ask it granted the whole warm-up rate itself.
    """

    def check(self, service: str, lose: Callable[[DispatchNode], None]) -> None:
        async def scenario(fleet: Fleet) -> None:
            target = await start_fleet(fleet, service)
            await load_and_lose_responsible(fleet, service, lose)
            self.assertLessEqual(most_in_a_second(target.arrivals), BOUND)

        play_fleet(scenario)

    def test_cold_target_of_a_killed_instance(self):
        for service in ("keyed", "pooled"):
            with self.subTest(service):
                self.check(service, end_process)

    def test_cold_target_of_an_instance_that_closes_its_streams(self):
        for service in ("keyed", "pooled"):
            with self.subTest(service):
                self.check(service, refuse_peers)


class RegisteredRankTests(unittest.TestCase):
    """Guard against several instances that each hold themselves first for a target."""

    def test_instances_agree_whether_or_not_they_reach_each_other(self):
        async def scenario(fleet: Fleet) -> None:
            await start_fleet(fleet, "keyed")
            memberships = [node.membership for node in fleet.nodes]

            def ranks() -> list[int]:
                return sorted(m.registered_rank("keyed/t2") for m in memberships)

            await eventually(lambda: ranks() == list(range(NODES)))
            end_process(responsible_node(fleet, "keyed"))
            self.assertEqual(ranks(), list(range(NODES)))
            for membership in memberships:
                for peer in list(membership.network.addresses_by_id):
                    membership._declare_dead(peer, "apart")
            self.assertEqual(ranks(), list(range(NODES)))

        play_fleet(scenario)

    def test_instance_that_is_not_registered_comes_last(self):
        async def scenario(fleet: Fleet) -> None:
            await start_fleet(fleet, "keyed")
            membership = fleet.nodes[0].membership
            before = membership.registered_rank("keyed/t2")
            record = fleet.store.objects[INSTANCES]["n1"]
            fleet.nodes[0].state.instances_by_id.pop("n1")
            self.assertGreater(membership.registered_rank("keyed/t2"), 800)
            fleet.store.write(INSTANCES, "n1", record.value)
            await eventually(lambda: membership.registered_rank("keyed/t2") == before)

        play_fleet(scenario)


class ColdStatementTests(unittest.TestCase):
    """Guard against queues that clear a target which told them that it is cold.

    The statement went only to the instance that grants its slots in the view of the
    one that checked its health.
    """

    async def count_grants(self, node: DispatchNode, service: str) -> int:
        """Return the grants of an instance's queue to requests within a second."""
        granted = 0

        async def request(number: int) -> None:
            nonlocal granted
            now = trio.current_time()
            target = "t2" if service == "keyed" else ""
            queued = QueuedRequest(
                f"r{number}", "other", target, 1, now + 0.5, now + 1.0
            )
            answer = await node.slot_service.acquire(service, queued)
            if isinstance(answer, SlotGrant):
                granted += 1
                await trio.sleep(0.02)
                result = SlotResult(answer.number, 0.02)
                node.slot_service.release(service, result)

        with trio.move_on_after(1.0):
            async with trio.open_nursery() as nursery:
                for number in range(100):
                    nursery.start_soon(request, number)
                    await trio.sleep(0.01)
        return granted

    def check(self, service: str) -> None:
        async def scenario(fleet: Fleet) -> None:
            await start_fleet(fleet, service, cold_for=0.0)
            await trio.sleep(UNUSED_PERIOD + 0.2)
            address = fleet.nodes[0].state.targets_by_id["t2"].address
            for node in fleet.nodes:
                node.control.cold_for_by_address[address] = WARMUP
            responsible = responsible_node(fleet, service)
            others = [node for node in fleet.nodes if node is not responsible]
            granted = 0
            for node in others[:3]:
                granted = max(granted, await self.count_grants(node, service))
            self.assertLessEqual(granted, BOUND)

        play_fleet(scenario)

    def test_instance_that_is_asked_in_place_of_the_responsible_one(self):
        for service in ("keyed", "pooled"):
            with self.subTest(service):
                self.check(service)


class UnknownRegistryTests(unittest.TestCase):
    """Guard against instances that take themselves for the only one as they start."""

    def test_instances_that_know_no_others_yet(self):
        async def scenario(fleet: Fleet) -> None:
            target = await start_fleet(fleet, "pooled")
            known = fleet.store.list

            async def list_but_instances(kind):
                if kind == INSTANCES:
                    raise StoreUnavailableError("too many calls", step="list")
                return await known(kind)

            fleet.store.list = list_but_instances
            starting = [await fleet.add_node() for _ in range(5)]
            await eventually(
                lambda: all(
                    "t2" in node.state.targets_by_id and node.state.table
                    for node in starting
                )
            )
            until = trio.current_time() + 1.0
            async with trio.open_nursery() as nursery:
                for node in starting:
                    nursery.start_soon(send_requests, node, "pooled", until)
            self.assertLessEqual(most_in_a_second(target.arrivals), BOUND)

        play_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
