"""Test the requests that targets get after a restart that the store tells late."""

import unittest
from collections.abc import Callable

import attrs
import trio

from fireflystand_core.dispatch import UNUSED_PERIOD

from ..ports import TARGETS
from .node_support import Caller, Fleet, HttpTarget, eventually, play_fleet

WARMUP = 3.0  # seconds
WARMUP_RATE = 4.0  # requests a second to a cold target
BOUND = WARMUP_RATE * 1.5 + 5  # requests in a second (FAILBACK)
DOWN = 0.4  # seconds between the end of a process and the start of the next one


@attrs.define(eq=False)
class RestartingTarget(HttpTarget):
    """Serve from one process after the other, at one address."""

    port: int = 0
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve until the process is ended by ``crash``."""
        with trio.CancelScope() as self.scope:
            listeners = await trio.open_tcp_listeners(self.port, host="127.0.0.1")
            self.port = listeners[0].socket.getsockname()[1]
            await trio.serve_listeners(self.serve, listeners, task_status=task_status)

    def crash(self) -> None:
        """End the process with its connections."""
        self.scope.cancel()


@attrs.define(eq=False)
class BreakingTarget(HttpTarget):
    """Break the connections of some requests off, and work on the others for long."""

    async def _answer(self, connection, stream, fields) -> bool:
        if self.requests[-1][b":target"].endswith(b"break"):
            return False
        return await super()._answer(connection, stream, fields)


class BrokenResponseTests(unittest.TestCase):
    """Guard against suspecting targets that break single responses off.

    Under load each of them then got its warm-up rate until it had told its health.
    """

    def check_health_after(self, others: int) -> int:
        """Return the health checks after a broken response beside some others."""
        checks = 0

        async def scenario(fleet: Fleet) -> None:
            nonlocal checks
            fleet.configure(2, warmup=WARMUP, warmup_rate=WARMUP_RATE, max_attempts=1)
            await fleet.add_target("keyed")
            target = BreakingTarget(work=0.5)
            await fleet.add_target("pooled", target=target)
            node = await fleet.add_node()
            await fleet.settle()
            first = await Caller.connect(node)
            await first.request("/p/first")  # none is open after it
            node.forwarder.pools_by_address.clear()
            node.control.health_checks.clear()
            async with trio.open_nursery() as nursery:
                for _ in range(others):
                    caller = await Caller.connect(node)
                    nursery.start_soon(caller.request, "/p/long")
                await trio.sleep(0.2)
                status, _ = await first.request("/p/break")
                self.assertEqual(status, 502)
            await trio.sleep(0.1)
            checks = len(node.control.health_checks)

        play_fleet(scenario)
        return checks

    def test_target_that_answers_others_is_not_suspect(self):
        self.assertEqual(self.check_health_after(others=2), 0)

    def test_target_without_another_connection_is_suspect(self):
        self.assertEqual(self.check_health_after(others=0), 1)


class RestartTests(unittest.TestCase):
    """Guard against the full load for a target that has restarted and is cold.

    The store kept the record of its earlier process, which was not cold.
    """

    async def send_requests(self, node, path: str, seconds: float) -> None:
        """Send requests on eight connections, one after the other on each."""
        ends_at = trio.current_time() + seconds

        async def send() -> None:
            caller = await Caller.connect(node)
            while trio.current_time() < ends_at:
                await caller.request(path, deadline="1000")
                await trio.sleep(0.02)
            await caller.close()

        async with trio.open_nursery() as nursery:
            for _ in range(8):
                nursery.start_soon(send)

    async def start(self, fleet: Fleet, service: str) -> RestartingTarget:
        """Start two instances, a target that will restart, and another one."""
        fleet.configure(2, warmup=WARMUP, warmup_rate=WARMUP_RATE, max_attempts=1)
        await fleet.add_target("pooled" if service == "keyed" else "keyed")
        target = RestartingTarget(work=0.02)
        await fleet.nursery.start(target.run)
        record = {
            "service": service,
            "address": f"127.0.0.1:{target.port}",
            "data_centre": "x",
            "slots": 4,
        }
        fleet.targets.append(target)
        fleet.store.write(TARGETS, "t2", record)
        for _ in range(2):
            await fleet.add_node()
        await fleet.settle()
        return target

    def play(self, service: str, path: str, restart: Callable, cold: float) -> int:
        """Return the most requests in a second that a restarted target got."""
        most = 0

        async def scenario(fleet: Fleet) -> None:
            nonlocal most
            target = await self.start(fleet, service)
            async with trio.open_nursery() as nursery:
                for node in fleet.nodes:
                    nursery.start_soon(self.send_requests, node, path, 3.0)
                await trio.sleep(1.0)
                self.assertGreater(len(target.arrivals), 3 * BOUND)
                target.arrivals.clear()
                for node in fleet.nodes:
                    address = f"127.0.0.1:{target.port}"
                    node.control.cold_for_by_address[address] = cold
                await restart(fleet, target)
            most = max(
                sum(since <= at < since + 1 for at in target.arrivals)
                for since in target.arrivals
            )

        play_fleet(scenario)
        return most

    async def restart_after_a_pause(self, fleet: Fleet, target) -> None:
        target.crash()
        await trio.sleep(DOWN)
        await fleet.nursery.start(target.run)

    async def restart_at_once(self, fleet: Fleet, target) -> None:
        target.crash()
        await trio.sleep(0.01)
        await fleet.nursery.start(target.run)

    def test_cold_target_gets_its_warm_up_rate(self):
        for service, path in (("pooled", "/p/x"), ("keyed", "/k/x")):
            for restart in (self.restart_after_a_pause, self.restart_at_once):
                with self.subTest(service, restart=restart.__name__):
                    most = self.play(service, path, restart, WARMUP)
                    self.assertLessEqual(most, BOUND)

    def test_target_that_says_it_is_warm_gets_its_full_load(self):
        most = self.play("pooled", "/p/x", self.restart_at_once, 0.0)
        self.assertGreater(most, 3 * BOUND)

    def test_check_that_a_busy_target_turns_away_shows_nothing(self):
        """Its refusal does not say that it is cold, and its full load followed."""

        async def restart(fleet: Fleet, target) -> None:
            for node in fleet.nodes:
                node.control.busy_addresses.add(f"127.0.0.1:{target.port}")
            await self.restart_at_once(fleet, target)

        self.assertLessEqual(self.play("pooled", "/p/x", restart, WARMUP), BOUND)

    def check_idle_restart(self, idle: float) -> None:
        async def scenario(fleet: Fleet) -> None:
            target = await self.start(fleet, "pooled")
            node = fleet.nodes[0]
            await self.send_requests(node, "/p/x", 0.5)
            address = f"127.0.0.1:{target.port}"
            for each in fleet.nodes:
                each.control.cold_for_by_address[address] = WARMUP
            target.arrivals.clear()
            await self.restart_at_once(fleet, target)
            await trio.sleep(idle)
            await self.send_requests(node, "/p/x", 1.0)
            self.assertLessEqual(len(target.arrivals), BOUND)

        play_fleet(scenario)

    def test_target_that_restarts_between_requests_gets_its_warm_up_rate(self):
        """Kept connections that have ended are the only sign of it."""
        self.check_idle_restart(0.2)

    def test_target_that_restarts_while_it_is_not_used_gets_its_warm_up_rate(self):
        """Nothing at all is a sign of it."""
        self.check_idle_restart(UNUSED_PERIOD + 0.2)

    def test_cold_statement_is_kept_by_the_instance_that_counts_the_slots(self):
        """A control connection of another instance learns it first."""

        async def scenario(fleet: Fleet) -> None:
            await self.start(fleet, "pooled")
            for node in fleet.nodes:
                node.note_cold("t2", WARMUP)
            await eventually(
                lambda: any(
                    node.state.targets_by_id["t2"].cold_for == WARMUP
                    for node in fleet.nodes
                )
            )

        play_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
