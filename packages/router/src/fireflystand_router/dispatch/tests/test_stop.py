"""Test that a planned stop leaves no request without a final response."""

import unittest
from functools import partial
from random import Random

import trio
from loguru import logger

from fireflystand_core.traffic import RequestKind

from ...events import CONNECTION_FAULT
from .node_support import HOST, eventually
from .stop_support import (
    GRACE,
    LONG,
    SILENT,
    PipeliningCaller,
    StopTestCase,
    StreamingTarget,
    passed_on,
    send_bytes,
)

AT_ONCE = 0.5  # seconds


class PlannedStopTests(StopTestCase):
    """Guard against connections that a planned stop closes without an answer."""

    def test_request_that_waits_for_a_slot(self):
        """Requests in the admission queue were cut off at the end of the grace."""

        async def scenario(fleet):
            fleet.targets[1].work = SILENT
            node = fleet.nodes[0]
            callers = []
            for _ in range(8):
                caller = await PipeliningCaller.connect(fleet.nursery, node)
                await caller.send("/p/x")
                callers.append(caller)
            await eventually(lambda: len(fleet.targets[1].requests) == 4)
            self.assertLess(await self.stop(node), GRACE)
            for caller in callers:
                await caller.ended.wait()
            statuses = sorted(caller.statuses for caller in callers)
            self.assertEqual(statuses, [[503]] * 4 + [[504]] * 4)
            self.assertEqual(passed_on(fleet.targets[1]), ["/p/x"] * 4)
            refused = [a for c in callers for a in c.answers if a.status == 503]
            self.assertTrue(all("retry-after" in a.fields for a in refused))

        self.play(scenario)

    def test_request_at_a_silent_target(self):
        """Requests to targets that never answer were cut off, unsafe ones too."""

        async def scenario(fleet):
            for target in fleet.targets:
                target.work = SILENT
            node = fleet.nodes[0]
            callers = []
            for path, method in (("/k/x", "GET"), ("/p/x", "GET"), ("/p/y", "POST")):
                caller = await PipeliningCaller.connect(fleet.nursery, node)
                await caller.send(path, method=method)
                callers.append(caller)
            await eventually(lambda: sum(len(t.requests) for t in fleet.targets) == 3)
            began_at = trio.current_time()
            self.assertLess(await self.stop(node), GRACE)
            for caller in callers:
                await caller.ended.wait()
                self.assertEqual(caller.statuses, [504])
                # No sooner than in the last sixth of the grace period.
                self.assertGreater(caller.answers[0].at - began_at, GRACE * 5 / 6 - 0.1)

        self.play(scenario, kind=RequestKind.UNSAFE)

    def test_request_whose_key_has_no_owner(self):
        """A request for a key without an owner is waiting when the grace ends."""

        async def scenario(fleet):
            node = fleet.nodes[0]
            fleet.targets[0].work = SILENT
            first = await PipeliningCaller.connect(fleet.nursery, node)
            await first.send("/k/x")
            fleet.nursery.start_soon(node.stop)
            caller = await PipeliningCaller.connect(fleet.nursery, node)
            await trio.sleep(1.0)
            node.state.records_by_service.clear()
            await caller.send("/k/x")
            await caller.ended.wait()
            self.assertEqual(caller.statuses, [503])

        self.play(scenario)

    def test_ready_answer_behind_an_earlier_response(self):
        """A response was lost because an earlier one on its connection was missing."""

        async def scenario(fleet):
            fleet.targets[0].work = SILENT
            node = fleet.nodes[0]
            caller = await PipeliningCaller.connect(fleet.nursery, node)
            await caller.send("/k/x")
            await caller.send("/p/x")
            await eventually(lambda: fleet.targets[1].requests)
            self.assertLess(await self.stop(node), GRACE)
            await caller.ended.wait()
            self.assertEqual(caller.statuses, [504, 200])
            self.assertFalse(caller.cut)

        self.play(scenario)

    def test_request_that_comes_late_in_the_grace(self):
        """Late requests were passed on and cut off with no answer."""

        async def scenario(fleet):
            fleet.targets[0].work = SILENT
            node = fleet.nodes[0]
            caller = await PipeliningCaller.connect(fleet.nursery, node)
            await caller.send("/k/x")
            fleet.nursery.start_soon(node.stop)
            await trio.sleep(GRACE * 2 / 3)
            sent_at = trio.current_time()
            await caller.send("/p/late")
            await caller.send("/p/short", deadline="300")
            await caller.ended.wait()
            self.assertEqual(caller.statuses, [504, 503, 200])
            self.assertEqual(passed_on(fleet.targets[1]), ["/p/short"])
            self.assertLess(caller.answers[-1].at - sent_at, GRACE)

        self.play(scenario)

    def test_body_that_is_complete_late_in_the_grace(self):
        """A request whose last byte came late was passed on and cut off."""

        async def scenario(fleet):
            node = fleet.nodes[0]
            fleet.targets[1].work = SILENT
            host, port = node.entry.address.rsplit(":", 1)
            stream = await trio.open_tcp_stream(host, int(port))
            lines = [
                "POST /p/x HTTP/1.1",
                f"Host: {HOST}",
                "Content-Length: 4",
                "Authorization: Bearer key-1",
                f"Fireflystand-Deadline-Ms: {LONG}",
            ]
            await stream.send_all("\r\n".join([*lines, "", ""]).encode())
            fleet.nursery.start_soon(node.stop)
            await trio.sleep(GRACE * 2 / 3)
            sent_at = trio.current_time()
            await stream.send_all(b"body")
            answer = await stream.receive_some(65536)
            self.assertLess(trio.current_time() - sent_at, AT_ONCE)
            self.assertIn(b"HTTP/1.1 503", answer[:20])
            self.assertEqual(passed_on(fleet.targets[1]), [])

        self.play(scenario, kind=RequestKind.UNSAFE)

    def test_target_at_work_is_cut_too_soon(self):
        """With a short grace period or a late loop, 504 came before its last sixth."""
        for grace, lag in ((2.0, 0.0), (3.0, 0.1), (3.0, 0.5)):
            with self.subTest(grace=grace, lag=lag):
                self.play(self.last_answer_scenario(grace, lag), grace=grace)

    def last_answer_scenario(self, grace: float, lag: float):
        async def scenario(fleet):
            node = fleet.nodes[0]
            fleet.targets[1].work = SILENT
            caller = await PipeliningCaller.connect(fleet.nursery, node)
            await caller.send("/p/x")
            await eventually(lambda: fleet.targets[1].requests)
            node.loop_lag.record(lag)
            began_at = trio.current_time()
            await node.stop()
            await caller.ended.wait()
            self.assertEqual(caller.statuses, [504])
            waited = caller.answers[0].at - began_at
            self.assertGreaterEqual(waited, grace * 5 / 6)
            self.assertLess(waited, grace)

        return scenario

    def test_request_that_cannot_end_in_time_is_refused_at_once(self):
        """A caller waited for the end of the grace although others could serve it."""

        async def scenario(fleet):
            node = fleet.nodes[0]
            fleet.targets[1].work = 0.7
            busy = []
            for _ in range(24):
                caller = await PipeliningCaller.connect(fleet.nursery, node)
                await caller.send("/p/x")
                busy.append(caller)
            await eventually(lambda: len(fleet.targets[1].requests) >= 9)
            waiting = 24 - len(fleet.targets[1].requests)
            began_at = trio.current_time()
            fleet.nursery.start_soon(node.stop)
            await trio.sleep(AT_ONCE)
            refused = [a for c in busy for a in c.answers if a.status == 503]
            self.assertGreater(len(refused), 0)
            self.assertLess(len(refused), waiting)
            self.assertLess(refused[-1].at - began_at, AT_ONCE)
            for caller in busy:
                await caller.ended.wait()
                self.assertEqual(len(caller.answers), 1)

        self.play(scenario)

    def test_requests_at_every_moment_of_the_grace(self):
        """Each whole request gets one response until its connection is closed."""

        async def scenario(fleet):
            node = fleet.nodes[0]
            random = Random(24)
            fleet.targets[0].work = 0.15
            stopped = trio.Event()

            async def call(seed: int) -> None:
                caller = await PipeliningCaller.connect(nursery, node)
                while not stopped.is_set():
                    path = random.choice(["/k/x", "/p/x"])
                    deadline = random.choice(["400", "1500", LONG])
                    if not await caller.send(path, deadline=deadline):
                        break
                    count = caller.sent
                    closes = False
                    while len(caller.answers) < count and not caller.ended.is_set():
                        await trio.sleep(0.005)
                    if caller.answers:
                        fields = caller.answers[-1].fields
                        closes = fields.get("connection") == "close"
                    if closes:
                        break
                    await trio.sleep(random.random() * 0.1)
                callers.append(caller)

            callers: list[PipeliningCaller] = []
            async with trio.open_nursery() as nursery:
                for seed in range(12):
                    nursery.start_soon(call, seed)
                await trio.sleep(0.3)
                self.assertLess(await self.stop(node), GRACE)
                stopped.set()
            for caller in callers:
                self.assertFalse(caller.cut)
                # A request may cross the close of an idle connection, unread.
                self.assertIn(caller.sent - len(caller.answers), (0, 1))
                self.assertLessEqual(set(caller.statuses), {200, 503, 504})

        self.play(scenario, nodes=2)

    def test_fault_of_another_part_of_the_stop(self):
        """All requests were cut when resigning from the key ranges failed."""

        async def scenario(fleet):
            node = fleet.nodes[0]
            fleet.targets[1].work = SILENT
            callers = await self.callers(fleet, node, 4)
            await eventually(lambda: len(fleet.targets[1].requests) == 4)

            async def fail():
                await trio.sleep(0.1)
                raise RuntimeError("resigning failed")

            node.ownership.stop = fail
            self.assertLess(await self.stop(node), GRACE)
            for caller in callers:
                await caller.ended.wait()
            self.assertEqual([c.statuses for c in callers], [[504]] * 4)

        self.play(scenario)

    def test_other_part_of_the_stop_that_does_not_end(self):
        """The instance waited for it beyond the end of the grace period."""

        async def scenario(fleet):
            node = fleet.nodes[0]
            node.ownership.stop = trio.sleep_forever
            with trio.move_on_after(2 * GRACE):
                self.assertLess(await self.stop(node), GRACE)
                return
            self.fail("the stop has not ended")

        self.play(scenario)


class UnknownOutcomeTests(StopTestCase):
    """Guard against answers that promise too much about requests that were sent."""

    def test_body_that_stalls_while_its_target_receives_it(self):
        """Callers got 408, which promises that a request has not run."""

        async def scenario(fleet):
            stream = await send_bytes(
                fleet.nodes[0],
                "POST /p/x HTTP/1.1",
                "Content-Length: 200000",
                body=bytes(100_000),
            )
            await eventually(lambda: fleet.targets[1].requests)
            with trio.fail_after(8):
                answer = await stream.receive_some(65536)
            self.assertIn(b"HTTP/1.1 504", answer[:20])
            self.assertIn(b'"outcome": "unknown"', answer)

        self.play(scenario, kind=RequestKind.UNSAFE)

    def test_cut_response_does_not_look_complete_to_an_old_caller(self):
        """HTTP/1.0 callers took the plain close for the end of the response."""

        async def scenario(fleet):
            node = fleet.nodes[0]
            fleet.targets[1].chunked = True
            stream = await send_bytes(node, "GET /p/slow HTTP/1.0")
            await eventually(lambda: fleet.targets[1].requests)
            fleet.nursery.start_soon(node.stop)
            answer = b""
            with self.assertRaises(trio.BrokenResourceError):
                while part := await stream.receive_some(65536):
                    answer += part
            self.assertIn(b"HTTP/1.1 200", answer)

        self.play(scenario, pooled=StreamingTarget())

    def test_whole_response_ends_with_a_plain_close_for_an_old_caller(self):
        async def scenario(fleet):
            fleet.targets[1].chunked = True
            stream = await send_bytes(fleet.nodes[0], "GET /p/slow HTTP/1.0")
            answer = b""
            while part := await stream.receive_some(65536):
                answer += part
            self.assertTrue(answer.endswith(b"okokok"), answer)

        self.play(scenario, pooled=StreamingTarget(parts=3))

    def test_request_behind_a_response_that_outlasts_the_stop(self):
        """It was passed on after the signal and cut with the earlier response."""
        for wait, deadline in ((0.3, LONG), (GRACE * 2 / 3, "300")):
            with self.subTest(wait=wait, deadline=deadline):
                self.play(
                    partial(self.send_behind_slow, wait=wait, deadline=deadline),
                    pooled=StreamingTarget(),
                )

    async def send_behind_slow(self, fleet, *, wait: float, deadline: str) -> None:
        node = fleet.nodes[0]
        caller = await PipeliningCaller.connect(fleet.nursery, node)
        await caller.send("/p/slow")
        await eventually(lambda: len(fleet.targets[1].requests) == 1)
        fleet.nursery.start_soon(node.stop)
        await trio.sleep(wait)
        await caller.send("/p/fast", deadline=deadline)
        await caller.ended.wait()
        if caller.statuses != [200, 200]:
            self.assertEqual(passed_on(fleet.targets[1]), ["/p/slow"])


class PipelineTests(StopTestCase):
    """Guard against requests that end with a request ahead of or beside them."""

    def test_broken_response_of_which_no_byte_was_sent(self):
        """The connection was reset, and requests behind it got no answer."""

        async def scenario(fleet):
            fleet.targets[0].work = 0.6
            caller = await PipeliningCaller.connect(fleet.nursery, fleet.nodes[0])
            await caller.send("/k/x")
            await caller.send("/p/broken")
            await caller.send("/p/fast")
            await eventually(lambda: len(fleet.targets[1].requests) == 2)
            await trio.sleep(1.0)
            self.assertEqual(caller.statuses, [200, 502, 200])
            self.assertFalse(caller.ended.is_set())
            self.assertNotIn("connection", caller.answers[1].fields)

        self.play(scenario, pooled=StreamingTarget(), max_attempts=1)

    def test_refusal_that_closes_ahead_of_a_request_that_was_passed_on(self):
        """Requests behind the refusal were passed on and got no answer."""

        async def scenario(fleet):
            node = fleet.nodes[0]
            fleet.targets[0].work = 0.5
            target = fleet.targets[1]
            paths = ("/k/x", "http://a.example/p/x", "/p/y")
            together = await PipeliningCaller.connect(fleet.nursery, node)
            await together.send(*paths)
            await together.ended.wait()
            self.assertEqual(together.statuses, [200, 400, 200])
            self.assertEqual(passed_on(target), ["/p/y"])
            apart = await PipeliningCaller.connect(fleet.nursery, node)
            for path in paths:
                await apart.send(path)
                await trio.sleep(0.1)
            await apart.ended.wait()
            self.assertEqual(apart.statuses, [200, 400])
            self.assertEqual(apart.answers[1].fields["connection"], "close")
            self.assertEqual(passed_on(target), ["/p/y"])

        self.play(scenario)

    def test_request_behind_the_last_one_of_its_caller(self):
        """A request behind one with "Connection: close" was passed on and cut."""

        async def scenario(fleet):
            target = fleet.targets[1]
            line = "GET /p/x HTTP/1.1"
            second = f"{line}\r\nHost: {HOST}\r\nAuthorization: Bearer key-1\r\n\r\n"
            target.work = 0.2
            stream = await send_bytes(
                fleet.nodes[0], line, "Connection: close", body=second.encode()
            )
            answer = b""
            while part := await stream.receive_some(65536):
                answer += part
            self.assertEqual(answer.count(b"HTTP/1.1 200"), 1)
            self.assertEqual(passed_on(target), ["/p/x"])

        self.play(scenario)

    def test_fault_of_one_request_leaves_the_others_answered(self):
        """An unforeseen exception cut the requests beside and behind its own."""

        async def scenario(fleet):
            node = fleet.nodes[0]
            fleet.targets[1].work = 0.4
            rate = node.flow._check_rate

            async def check_rate(context):
                if context.request.path == "/k/fault":
                    raise RuntimeError("a fault of the router")
                await rate(context)

            node.flow._check_rate = check_rate
            caller = await PipeliningCaller.connect(fleet.nursery, node)
            events = []
            sink = logger.add(lambda m: events.append(m.record["extra"]["event"]))
            await caller.send("/p/x", "/k/fault", "/p/y")
            with trio.move_on_after(2.0):
                await eventually(lambda: len(caller.answers) == 3)
            logger.remove(sink)
            self.assertEqual(events.count(CONNECTION_FAULT.number), 1)
            self.assertEqual(caller.statuses, [200, 500, 200])
            self.assertFalse(caller.ended.is_set())

        self.play(scenario)

    def test_broken_response_of_which_a_part_was_sent(self):
        """Its caller must not take it for a complete one."""

        async def scenario(fleet):
            caller = await PipeliningCaller.connect(fleet.nursery, fleet.nodes[0])
            await caller.send("/p/broken")
            await caller.ended.wait()
            self.assertEqual(caller.answers, [])

        self.play(scenario, pooled=StreamingTarget(pause=0.3), max_attempts=1)


if __name__ == "__main__":
    unittest.main()
