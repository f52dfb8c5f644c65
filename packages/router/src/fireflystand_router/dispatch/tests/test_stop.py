"""Test that a planned stop leaves no request without a final response."""

import unittest
from contextlib import suppress
from random import Random

import attrs
import trio

from fireflystand_core.traffic import ClientAccount, RequestKind

from ...entry import CallerOptions
from ..ports import DispatchBounds
from .node_support import HOST, eventually, play_fleet

GRACE = 3.0  # seconds from the signal to the end of the process
LONG = "20000"  # milliseconds; a deadline long after the end of the process
SILENT = 60.0  # seconds of work of a target that does not answer in time
AT_ONCE = 0.5  # seconds


@attrs.frozen
class Answer:
    """Hold one response as its caller saw it; seconds on trio's clock."""

    status: int
    fields: dict[str, str]
    at: float


class PipeliningCaller:
    """Send requests on one connection without waiting for their responses."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.answers: list[Answer] = []
        self.sent = 0
        self.cut = False  # whether the connection ended inside a response
        self.ended = trio.Event()

    @classmethod
    async def connect(cls, nursery: trio.Nursery, node) -> "PipeliningCaller":
        host, port = node.entry.address.rsplit(":", 1)
        caller = cls(await trio.open_tcp_stream(host, int(port)))
        nursery.start_soon(caller._receive)
        return caller

    async def send(
        self, path: str, *, method: str = "GET", deadline: str = LONG, key: int = 7
    ) -> bool:
        """Send a request; return whether the connection was open."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Fireflystand-Routing-Key: {key}",
            f"Fireflystand-Deadline-Ms: {deadline}",
            "Authorization: Bearer key-1",
        ]
        if method == "POST":
            lines.append("Content-Length: 0")
        if self.ended.is_set():
            return False
        try:
            await self._stream.send_all("\r\n".join([*lines, "", ""]).encode())
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        self.sent += 1
        return True

    async def _receive(self) -> None:
        buffer = b""
        with suppress(trio.BrokenResourceError):
            while received := await self._stream.receive_some(65536):
                buffer = self._parse(buffer + received)
        self.cut = bool(buffer)
        self.ended.set()
        await self._stream.aclose()

    def _parse(self, buffer: bytes) -> bytes:
        """Take the complete responses from the buffer and return the rest."""
        while b"\r\n\r\n" in buffer:
            head, _, rest = buffer.partition(b"\r\n\r\n")
            status, *lines = head.decode().split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in lines)
            length = int(fields["content-length"])
            if len(rest) < length:
                break
            answer = Answer(int(status.split()[1]), fields, trio.current_time())
            self.answers.append(answer)
            buffer = rest[length:]
        return buffer

    @property
    def statuses(self) -> list[int]:
        """Return the status of each response, in order."""
        return [answer.status for answer in self.answers]


def passed_on(target) -> list[str]:
    """Return the paths of the callers' requests that a target got."""
    paths = [fields[b":target"].decode() for fields in target.requests]
    return [path for path in paths if not path.startswith("/fireflystand/")]


class PlannedStopTests(unittest.TestCase):
    """Guard against connections that a planned stop closes without an answer."""

    def play(self, scenario, *, nodes: int = 1, grace: float = GRACE, **route) -> None:
        """Start a fleet whose targets answer at once, and run a scenario."""

        async def with_nodes(fleet):
            fleet.bounds = DispatchBounds(stop_grace=grace)
            fleet.caller_options = CallerOptions(pipeline_limit=16)
            accounts = [ClientAccount("shop", ("key-1",))]
            fleet.configure(2, accounts=accounts, **{"timeout": 30.0} | route)
            for service in ("keyed", "pooled"):
                await fleet.add_target(service)
            for _ in range(nodes):
                await fleet.add_node()
            await fleet.settle()
            await scenario(fleet)

        play_fleet(with_nodes)

    async def stop(self, node) -> float:
        """Stop an instance and return how long that took."""
        began_at = trio.current_time()
        await node.stop()
        return trio.current_time() - began_at

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


if __name__ == "__main__":
    unittest.main()
