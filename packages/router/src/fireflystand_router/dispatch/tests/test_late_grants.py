"""Test slots that are used long after they were granted, or by another process."""

import time
import unittest
from collections import Counter
from unittest import mock

import trio

from fireflystand_core.messages import SlotRequest
from fireflystand_core.replica import ObjectChange

from ...forward.pool import TargetPool
from ..node import DispatchNode
from ..ports import TARGETS
from ..slots import COLD_GRANT_LIFETIME
from ..state import ChangeSource
from .node_support import Caller, Fleet, HttpTarget, eventually, play_fleet
from .test_cold_targets import (
    BOUND,
    WARMUP,
    WARMUP_RATE,
    most_in_a_second,
    responsible_node,
)

NODES = 4
TIME_LEFT = 12.0  # seconds that the callers give their requests
SLOTS = 20


class HeldAnswers:
    """Hold the answers to an instance's slot requests, like a socket not yet read."""

    def __init__(self, node: DispatchNode) -> None:
        self._request = node.network.request
        self._released = trio.Event()
        self.arrived = 0
        self.count = 0
        node.network.request = self.request

    async def request(self, instance: str, message, timeout: float | None = 1.0):
        """Send a message; return the answer to a slot request once it is released."""
        answer = await self._request(instance, message, timeout)
        if isinstance(message, SlotRequest):
            self.count += 1
            await self._wait()
        return answer

    async def _wait(self) -> None:
        self.arrived += 1
        await self._released.wait()

    def release(self) -> None:
        """Deliver what has arrived, and from now on everything at once."""
        self._released.set()


class SlowAnswers(HeldAnswers):
    """Delay the answers to an instance's slot requests, like a slow link."""

    delay = 0.8  # seconds

    async def _wait(self) -> None:
        await trio.sleep(self.delay)


async def start_fleet(fleet: Fleet, service: str, **fields) -> HttpTarget:
    """Start the instances and the targets; return the only one of a service."""
    fleet.configure(
        2,
        warmup=WARMUP,
        warmup_rate=WARMUP_RATE,
        max_attempts=1,
        timeout=TIME_LEFT,
        max_connections=100,
    )
    await fleet.add_target("pooled" if service == "keyed" else "keyed")
    target = await fleet.add_target(service, work=0.02)
    write_record(fleet, slots=SLOTS, started_at=1, **fields)
    for _ in range(NODES):
        await fleet.add_node()
    await fleet.settle()
    return target


def write_record(fleet: Fleet, **fields) -> None:
    """Change the record of the only target of the service under test."""
    record = fleet.store.objects[TARGETS]["t2"].value
    fleet.store.write(TARGETS, "t2", record | fields)


async def tell_all(fleet: Fleet, **fields) -> None:
    """Change the target's record and wait until all instances know it."""
    write_record(fleet, **fields)
    version = fleet.store.revision
    await eventually(
        lambda: all(
            node.state.targets_by_id["t2"].version >= version for node in fleet.nodes
        )
    )


def other_nodes(fleet: Fleet, service: str) -> list[DispatchNode]:
    """Return the instances that do not grant the slots of the target themselves."""
    responsible = responsible_node(fleet, service)
    return [node for node in fleet.nodes if node is not responsible]


class LateGrants:
    """Own requests whose grants are held, and count how they end."""

    def __init__(self, nursery: trio.Nursery, service: str) -> None:
        self._nursery = nursery
        self._service = service
        self.statuses: Counter[int] = Counter()

    async def hold(self, node: DispatchNode, count: int) -> HeldAnswers:
        """Send requests through an instance; return once all their grants are held."""
        held = HeldAnswers(node)
        await self.send(node, count)
        await eventually(lambda: held.arrived == count)
        return held

    async def send(self, node: DispatchNode, count: int) -> None:
        """Send requests through an instance, each on a connection of its own."""
        for _ in range(count):
            self._nursery.start_soon(self._send, await Caller.connect(node))

    async def _send(self, caller: Caller) -> None:
        deadline = str(int(TIME_LEFT * 1000))
        status, _ = await caller.request(f"/{self._service[0]}/x", deadline=deadline)
        self.statuses[status] += 1


class HeldGrantTests(unittest.TestCase):
    """Guard against a flood of a cold target by grants that are used together.

    They had been made one after the other at its warm-up rate, for instances that then
    froze or were cut off.
    """

    def check(self, service: str) -> None:
        async def scenario(fleet: Fleet) -> None:
            target = await start_fleet(fleet, service, cold_for=WARMUP)
            frozen = other_nodes(fleet, service)
            held = []
            async with trio.open_nursery() as nursery:
                requests = LateGrants(nursery, service)
                for node in frozen:
                    held.append(await requests.hold(node, 6))
                for answers in held:
                    answers.release()
            self.assertLessEqual(most_in_a_second(target.arrivals), BOUND)
            self.assertEqual(len(target.arrivals), requests.statuses[200])

        play_fleet(scenario)

    def test_grants_of_a_cold_target(self):
        for service in ("keyed", "pooled"):
            with self.subTest(service):
                self.check(service)

    def test_requests_that_wait_for_a_connection(self):
        """Each had its slot in time."""
        may_connect = trio.Event()
        waiting = 0
        connect = TargetPool._connect

        async def connect_late(pool: TargetPool):
            nonlocal waiting
            waiting += 1
            await may_connect.wait()
            return await connect(pool)

        async def scenario(fleet: Fleet) -> None:
            target = await start_fleet(fleet, "keyed", cold_for=WARMUP)
            async with trio.open_nursery() as nursery:
                requests = LateGrants(nursery, "keyed")
                for node in fleet.nodes:
                    await requests.send(node, 4)
                await eventually(lambda: waiting == 4 * NODES)
                may_connect.set()
            self.assertLessEqual(most_in_a_second(target.arrivals), BOUND)
            self.assertEqual(len(target.arrivals), requests.statuses[200])

        with mock.patch.object(TargetPool, "_connect", connect_late):
            play_fleet(scenario)


class FormerGrantTests(unittest.TestCase):
    """Guard against a flood of a cold target by grants of the time when it was warm."""

    def check(self, service: str, known_for: float, **record) -> None:
        async def scenario(fleet: Fleet) -> None:
            target = await start_fleet(fleet, service)
            async with trio.open_nursery() as nursery:
                requests = LateGrants(nursery, service)
                held = await requests.hold(other_nodes(fleet, service)[0], SLOTS)
                await tell_all(fleet, cold_for=WARMUP, **record)
                await trio.sleep(known_for)
                held.release()
            self.assertLessEqual(most_in_a_second(target.arrivals), BOUND)
            self.assertEqual(len(target.arrivals), requests.statuses[200])

        play_fleet(scenario)

    def test_target_that_turned_cold(self):
        for service in ("keyed", "pooled"):
            with self.subTest(service):
                self.check(service, COLD_GRANT_LIFETIME + 0.1)

    def test_target_that_started_again(self):
        """However short the time since the grants."""
        for service in ("keyed", "pooled"):
            with self.subTest(service):
                self.check(service, 0.0, started_at=2)

    def test_granting_instance_does_not_know_the_process_yet(self):
        """It is told by the slots that come back, and the requests are served."""

        async def scenario(fleet: Fleet) -> None:
            target = await start_fleet(fleet, "keyed")
            granting = responsible_node(fleet, "keyed")
            node = other_nodes(fleet, "keyed")[0]
            known = fleet.store.objects[TARGETS]["t2"]
            address = known.value["address"]
            value = known.value | {"started_at": 2, "cold_for": WARMUP}
            change = ObjectChange("t2", known.version + 1, value)
            node.state._decode(TARGETS, [change], ChangeSource.PUSH)
            for each in fleet.nodes:
                each.control.cold_for_by_address[address] = WARMUP
            async with trio.open_nursery() as nursery:
                requests = LateGrants(nursery, "keyed")
                await requests.send(node, SLOTS)
            self.assertEqual(granting.state.targets_by_id["t2"].started_at, 1)
            self.assertLessEqual(most_in_a_second(target.arrivals), BOUND)
            self.assertEqual(requests.statuses, {200: SLOTS})

        play_fleet(scenario)


class FrozenProcessTests(unittest.TestCase):
    """Guard against a flood by instances that stood still while a target turned cold.

    Their requests go on before they can have learned that.
    """

    def freeze_and_release(self, seconds: float, turns_cold: bool):
        """Return arrivals, statuses and slot requests around a freeze."""
        found = None

        async def scenario(fleet: Fleet) -> None:
            nonlocal found
            target = await start_fleet(fleet, "keyed")
            granting = responsible_node(fleet, "keyed")
            async with trio.open_nursery() as nursery:
                requests = LateGrants(nursery, "keyed")
                held = await requests.hold(other_nodes(fleet, "keyed")[0], SLOTS)
                if turns_cold:
                    granting.state.mark_cold("t2", 1, WARMUP)
                for node in fleet.nodes:
                    node.loop_lag.peak = 0.0  # of a machine that is busy by chance
                held.release()
                time.sleep(seconds)  # no task runs meanwhile
            found = target.arrivals, requests.statuses, held.count

        play_fleet(scenario)
        return found

    def test_target_turns_cold_during_a_freeze(self):
        arrivals, statuses, _ = self.freeze_and_release(2.0, turns_cold=True)
        self.assertLessEqual(most_in_a_second(arrivals), BOUND)
        self.assertEqual(len(arrivals), statuses[200])

    def test_target_stays_warm_during_a_freeze(self):
        _, statuses, _ = self.freeze_and_release(2.0, turns_cold=False)
        self.assertEqual(statuses, {200: SLOTS})

    def test_short_delay_of_the_event_loop_costs_no_slot_request(self):
        _, statuses, asked = self.freeze_and_release(0.6, turns_cold=False)
        self.assertEqual((statuses, asked), ({200: SLOTS}, SLOTS))


class SlowLinkTests(unittest.TestCase):
    """Guard against limits on late grants that cost requests over slow links."""

    def test_warm_target_is_used_over_a_slow_link(self):
        async def scenario(fleet: Fleet) -> None:
            target = await start_fleet(fleet, "keyed")
            node = other_nodes(fleet, "keyed")[0]
            async with trio.open_nursery() as nursery:
                answers = SlowAnswers(node)
                requests = LateGrants(nursery, "keyed")
                await requests.send(node, SLOTS)
            self.assertEqual(requests.statuses, {200: SLOTS})
            self.assertEqual(len(target.arrivals), SLOTS)
            self.assertEqual(answers.count, SLOTS)

        play_fleet(scenario)

    def test_cold_target_is_used_over_a_slow_link(self):
        """No slot that was sent there was used, and the others lacked them."""

        async def scenario(fleet: Fleet) -> None:
            target = await start_fleet(fleet, "keyed", cold_for=WARMUP)
            slow, quick = other_nodes(fleet, "keyed")[:2]
            async with trio.open_nursery() as nursery:
                SlowAnswers(slow)
                requests = LateGrants(nursery, "keyed")
                await requests.send(slow, 4)
                await requests.send(quick, 8)
            self.assertEqual(requests.statuses, {200: 12})
            self.assertLessEqual(most_in_a_second(target.arrivals), BOUND)

        play_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
