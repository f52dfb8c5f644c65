"""Test what targets get that refuse with the time for which they want nothing."""

import unittest

import attrs
import trio

from ...forward import TargetOptions
from ..ports import TargetFields
from .node_support import Caller, Fleet, HttpTarget, eventually, play_fleet


def read_pause(status: int, fields) -> float:
    """Return the pause that a stand-in asks for."""
    return float(dict(fields).get(b"retry-after", 0)) if status == 503 else 0.0


FIELDS = TargetFields(read_pause=read_pause)
PAUSE = 1.5  # seconds
TOLERANCE = 0.5  # seconds after a refusal within which requests may still arrive
ALLOWED = 2  # requests of an instance in the rest of a pause


@attrs.define(eq=False)
class PausingTarget(HttpTarget):
    """Refuse requests for some time, and note which instance sent each."""

    pauses_until: float = float("inf")

    async def _answer(self, connection, stream, fields) -> bool:
        refuses = trio.current_time() < self.pauses_until
        self.status = 503 if refuses else 200
        self.extra = [("Retry-After", str(PAUSE))] if refuses else []
        self.not_run = refuses
        return await super()._answer(connection, stream, fields)

    def count_in_pause(self, refused_at: float) -> int:
        """Return the requests between the tolerance and the end of a pause."""
        first, last = refused_at + TOLERANCE, refused_at + PAUSE
        return sum(first < arrival < last for arrival in self.arrivals)


class PauseTestCase(unittest.TestCase):
    """Play scenarios with targets that ask for pauses."""

    def play(self, scenario) -> None:
        async def with_fields(fleet: Fleet) -> None:
            fleet.target_fields = FIELDS
            fleet.target_options = TargetOptions(cancel_path="")
            await scenario(fleet)

        play_fleet(with_fields)

    async def start(
        self, fleet: Fleet, service: str, nodes: int = 1, **fields
    ) -> PausingTarget:
        """Start instances and a target that asks for pauses."""
        busy = PausingTarget(**fields)
        if service != "keyed":
            await fleet.add_target("keyed")
        await fleet.add_target(service, target=busy)
        seeds: tuple[str, ...] = ()
        for _ in range(nodes):
            await fleet.add_node(seeds)
            seeds = (fleet.nodes[0].network.address,)
        await fleet.settle()
        return busy

    async def send(self, node, path: str, deadline: int = 300) -> tuple[int, float]:
        """Send a request; return the status and the Retry-After of the response."""
        caller = await Caller.connect(node)
        status, fields = await caller.request(path, deadline=str(deadline))
        await caller.close()
        return status, float(fields.get(b"retry-after", 0))

    async def load(self, node, path: str, seconds: float) -> list[int]:
        """Send requests one after the other and return their statuses."""
        statuses = []
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            statuses.append((await self.send(node, path))[0])
            await trio.sleep(0.02)
        return statuses


class PauseTests(PauseTestCase):
    """Guard against requests that reach a target in a pause that it asked for."""

    def count(self, service: str, path: str, **fields) -> None:
        async def scenario(fleet: Fleet) -> None:
            busy = await self.start(fleet, service, **fields)
            statuses = await self.load(fleet.nodes[0], path, PAUSE)
            self.assertEqual(set(statuses), {503})
            self.assertLessEqual(busy.count_in_pause(busy.arrivals[0]), ALLOWED)
            busy.pauses_until = 0.0
            await self.served(fleet, path)

        self.play(scenario)

    async def served(self, fleet: Fleet, path: str) -> None:
        """Check that each instance sends requests again after the pause."""
        for node in fleet.nodes:
            with trio.fail_after(10.0):
                while (await self.send(node, path))[0] != 200:
                    await trio.sleep(0.05)

    def test_requests_follow_on_a_kept_connection(self):
        self.count("pooled", "/p/x")

    def test_requests_follow_on_new_connections(self):
        self.count("pooled", "/p/x", closes=True)

    def test_keyed_requests_follow(self):
        self.count("keyed", "/k/x")

    def test_refusal_names_a_time_in_the_pause(self):
        """A caller that returns before the pause ends is refused again."""

        async def scenario(fleet: Fleet) -> None:
            busy = await self.start(fleet, "keyed")
            await self.send(fleet.nodes[0], "/k/x")
            refused_at = busy.arrivals[-1]
            await trio.sleep(0.3)
            began = trio.current_time()
            status, retry_after = await self.send(fleet.nodes[0], "/k/x")
            self.assertEqual(status, 503)
            self.assertLess(trio.current_time() - began, 0.2)
            self.assertGreaterEqual(retry_after, refused_at + PAUSE - began - 0.05)
            self.assertLess(retry_after, 2 * PAUSE)

        self.play(scenario)

    def test_request_that_has_the_time_is_refused(self):
        async def scenario(fleet: Fleet) -> None:
            busy = await self.start(fleet, "keyed")
            await self.send(fleet.nodes[0], "/k/x")
            busy.pauses_until = 0.0
            fleet.configure(2, timeout=5.0)
            await eventually(lambda: fleet.nodes[0].state.table.version == 2)
            status, _ = await self.send(fleet.nodes[0], "/k/x", deadline=5000)
            self.assertEqual(status, 200)
            self.assertEqual(busy.count_in_pause(busy.arrivals[0]), 0)

        self.play(scenario)

    def test_requests_do_not_go_elsewhere(self):
        async def scenario(fleet: Fleet) -> None:
            busy = await self.start(fleet, "pooled")
            await self.send(fleet.nodes[0], "/p/x")
            other = await fleet.add_target("pooled", work=0.15)
            await fleet.settle()
            statuses = await self.load(fleet.nodes[0], "/p/x", PAUSE - 0.4)
            self.assertEqual(set(statuses), {200})
            self.assertEqual(len(other.requests), len(statuses))
            self.assertLessEqual(busy.count_in_pause(busy.arrivals[0]), ALLOWED)

        self.play(scenario)


class FleetTests(PauseTestCase):
    """Guard against slots that another instance grants in a pause."""

    NODES = 3

    def test_instances_send_in_their_pauses_and_return_together(self):
        async def scenario(fleet: Fleet) -> None:
            busy = await self.start(fleet, "pooled", nodes=self.NODES)
            began = trio.current_time()
            ends: set[float] = set()
            async with trio.open_nursery() as nursery:
                for node in fleet.nodes:
                    nursery.start_soon(self.load, node, "/p/x", PAUSE)
                await trio.sleep(TOLERANCE)
                now = trio.current_time()
                ends = {
                    round(node.pauses.left("t2", 0, now), 3) for node in fleet.nodes
                }
            self.assertGreaterEqual(len(busy.arrivals), self.NODES)
            refused_at = busy.arrivals[self.NODES - 1]
            self.assertLess(refused_at - began, TOLERANCE)
            first, last = refused_at + TOLERANCE, began + PAUSE
            in_pause = sum(first < arrival < last for arrival in busy.arrivals)
            self.assertLessEqual(in_pause, ALLOWED * self.NODES)
            self.assertLessEqual(len(busy.arrivals), (ALLOWED + 2) * self.NODES)
            self.assertEqual(len(ends), self.NODES)
            busy.pauses_until = 0.0
            for node in fleet.nodes:
                with trio.fail_after(10.0):
                    while (await self.send(node, "/p/x"))[0] != 200:
                        await trio.sleep(0.05)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
