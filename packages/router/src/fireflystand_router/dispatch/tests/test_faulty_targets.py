"""Test what callers get from targets that break the protocol on a kept connection."""

import io
import json
import tracemalloc
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial

import attrs
import h11
import trio

from fireflystand_core.traffic import RequestKind

from ...entry import CallerOptions
from ...events import configure_log
from ...forward import TargetOptions
from ..flow import MAX_LATE_WAIT, MAX_UNFRAMED_OVERRUN, REPORTED_LATENESS
from ..node import DispatchNode
from .node_support import HOST, HttpTarget, play_fleet

STRICT = TargetOptions(cancel_path="")
LENIENT = attrs.evolve(
    STRICT, allows_unframed_responses=True, skips_mismatched_responses=True
)
OPTIONS_BY_NAME = {"strict": STRICT, "lenient": LENIENT}
REFUSAL = b"HTTP/1.1 503 Busy\r\nFireflystand-Outcome: not-run\r\nContent-Length: 0\r\n"
TIME_LIMIT = 10.0  # seconds; no answer takes so long
MEMORY_LIMIT = 8 * 1024 * 1024  # bytes, for four responses and the test itself
ANSWER_LIMIT = 0.5  # seconds past its time limit within which a request is answered
PROMISES = (408, 421, 429, 503)  # statuses that promise a request has not run
CHUNK = b"400\r\n" + 1024 * b"x" + b"\r\n"
LINE = b"X-Field: " + 1000 * b"x" + b"\r\n"

Write = Callable[["FaultyTarget", trio.SocketStream, bytes], Awaitable[None]]


@attrs.define(eq=False)
class FaultyTarget(HttpTarget):
    """Answer the first request of each connection well and the others by ``write``."""

    write: Write | None = None
    first: Write | None = None
    runs_by_id: Counter = attrs.field(factory=Counter)
    closed: trio.Event = attrs.field(factory=trio.Event)
    last_refusal: bytes = b""

    async def serve(self, stream) -> None:
        self.connections += 1
        served = 0
        async with stream:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                while request_id := await self._read_request(stream):
                    write = self.write if served else self.first or answer
                    served += 1
                    await write(self, stream, request_id)
        if served > 1:
            self.closed.set()

    async def _read_request(self, stream) -> bytes:
        connection = h11.Connection(h11.SERVER)
        request_id = b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Request):
                request_id = dict(event.headers)[b"fireflystand-request-id"]
            elif isinstance(event, h11.EndOfMessage):
                return request_id
            elif isinstance(event, h11.ConnectionClosed):
                return b""


def whole_answer(request_id: bytes, body: bytes = b"whole") -> bytes:
    """Return a complete response."""
    head = b"HTTP/1.1 200 OK\r\nFireflystand-Request-Id: %s\r\n" % request_id
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


async def answer(target: FaultyTarget, stream, request_id: bytes) -> None:
    target.runs_by_id[request_id] += 1
    await stream.send_all(whole_answer(request_id))


def flood_after(begin: Write, flood: Write) -> Write:
    """Return a function that answers the first request well and floods the others."""

    async def write(target: FaultyTarget, stream, request_id: bytes) -> None:
        is_first = request_id.endswith(b"first")
        await (begin if is_first else flood)(target, stream, request_id)

    return write


async def refuse(target: FaultyTarget, stream, request_id: bytes) -> None:
    await stream.send_all(REFUSAL + b"\r\n")


async def refuse_by_id(target: FaultyTarget, stream, request_id: bytes) -> None:
    field = b"Fireflystand-Request-Id: %s\r\n\r\n" % request_id
    target.last_refusal = REFUSAL + field
    await stream.send_all(target.last_refusal)


async def ask(
    node: DispatchNode, path: str, *, deadline: float = 2.0, read_after: float = 0.0
) -> bytes:
    """Send one request and return all bytes until the answer or connection ends."""
    host, port = node.entry.address.rsplit(":", 1)
    stream = await trio.open_tcp_stream(host, int(port))
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        "Content-Length: 0",
        "Connection: close",
        f"Fireflystand-Request-Id: id-{path}",
        "Fireflystand-Routing-Key: 7",
        f"Fireflystand-Deadline-Ms: {int(deadline * 1000)}",
    ]
    received = bytearray()
    async with stream:
        await stream.send_all("\r\n".join(lines).encode() + b"\r\n\r\n")
        await trio.sleep(read_after)
        with suppress(trio.BrokenResourceError):
            with trio.fail_after(TIME_LIMIT):
                while data := await stream.receive_some(65536):
                    received += data
    return bytes(received)


def status_of(received: bytes) -> int:
    """Return the status of a response; 0 if the connection ended without one."""
    return int(received.split()[1]) if received else 0


def is_complete(received: bytes) -> bool:
    """Tell whether a response has the end that its head announces."""
    head, _, body = received.partition(b"\r\n\r\n")
    fields = dict(
        line.split(b": ", 1)
        for line in head.lower().split(b"\r\n")[1:]
        if b": " in line
    )
    if b"transfer-encoding" in fields:
        return body.endswith(b"0\r\n\r\n")
    length = fields.get(b"content-length")
    return length is None or len(body) >= int(length)


class FaultyTargetTestCase(unittest.TestCase):
    """Play a fleet of one instance and one faulty target."""

    def play(
        self,
        scenario,
        options: TargetOptions = STRICT,
        max_attempts: int = 1,
        kind: RequestKind = RequestKind.UNSAFE,
        **target,
    ) -> None:
        async def with_node(fleet):
            fleet.target_options = options
            fleet.caller_options = CallerOptions(not_run_statuses=frozenset(PROMISES))
            fleet.configure(
                2,
                kind=kind,
                timeout=TIME_LIMIT,
                max_attempts=max_attempts,
            )
            faulty = await fleet.add_target("keyed", target=FaultyTarget(**target))
            await fleet.add_target("pooled")
            node = await fleet.add_node()
            await fleet.settle()
            await scenario(node, faulty)

        play_fleet(with_node)


class RepeatedRefusalTests(FaultyTargetTestCase):
    """Guard against an earlier refusal that is taken for one of the next request."""

    def check(self, options: TargetOptions, first: Write, repeat: Write) -> None:
        async def scenario(node, target):
            received = await ask(node, "/k/first")
            self.assertEqual(status_of(received), 503)
            received = await ask(node, "/k/second")
            self.assertNotIn(status_of(received), PROMISES)
            self.assertEqual(target.runs_by_id[b"id-/k/second"], 1)

        self.play(scenario, options, first=first, write=repeat)

    def test_refusal_without_an_id_that_is_written_again(self):
        """A request that the target was running was refused as not run."""

        async def repeat(target, stream, request_id):
            await refuse(target, stream, request_id)
            await answer(target, stream, request_id)

        async def first(target, stream, request_id):
            refuses = request_id == b"id-/k/first"
            await (refuse if refuses else answer)(target, stream, request_id)

        for name, options in OPTIONS_BY_NAME.items():
            with self.subTest(name):
                self.check(options, first, repeat)

    def test_refusal_with_an_id_that_is_written_again(self):
        async def repeat(target, stream, request_id):
            await stream.send_all(target.last_refusal)
            await answer(target, stream, request_id)

        async def first(target, stream, request_id):
            refuses = request_id == b"id-/k/first"
            await (refuse_by_id if refuses else answer)(target, stream, request_id)

        for name, options in OPTIONS_BY_NAME.items():
            with self.subTest(name):
                self.check(options, first, repeat)

    def test_refusal_of_a_request_that_is_sent_again(self):
        """The repeated request ran and its caller was told that it had not."""

        async def repeat(target, stream, request_id):
            await stream.send_all(target.last_refusal)
            await answer(target, stream, request_id)

        async def first(target, stream, request_id):
            await (answer if target.last_refusal else refuse_by_id)(
                target, stream, request_id
            )

        async def scenario(node, target):
            received = await ask(node, "/k/again")
            self.assertEqual(status_of(received), 200)
            self.assertEqual(target.runs_by_id[b"id-/k/again"], 1)

        for name, options in OPTIONS_BY_NAME.items():
            with self.subTest(name):
                self.play(scenario, options, max_attempts=2, first=first, write=repeat)


class FailedRunTests(FaultyTargetTestCase):
    """Guard against a status that denies a run which the target has not ruled out."""

    def check(self, kind: RequestKind, expected: dict[int, int], stamps: int) -> None:
        async def fail(target, stream, request_id):
            target.runs_by_id[request_id] += 1
            status = int(request_id.rpartition(b"/")[2])
            head = b"HTTP/1.1 %d Failed\r\nX-Stamp: s\r\n" % status
            head += b"Fireflystand-Request-Id: %s\r\n" % request_id
            await stream.send_all(head + b"Content-Length: 6\r\n\r\nfailed")

        async def scenario(node, target):
            # The coordinator asked the target for its health on one of its own.
            before = target.connections
            for status, delivered in expected.items():
                received = await ask(node, f"/k/{status}")
                self.assertEqual(status_of(received), delivered)
                self.assertEqual(received.count(b"x-stamp"), stamps)
                self.assertEqual(target.runs_by_id[b"id-/k/%d" % status], 1)
            self.assertEqual(target.connections - before, 1)

        self.play(scenario, kind=kind, first=fail, write=fail)

    def test_order_that_ran_and_failed_with_a_promising_status(self):
        """A caller got 503, which promised that its order had not run."""
        expected = dict.fromkeys(PROMISES, 502)
        self.check(RequestKind.UNSAFE, expected, stamps=0)

    def test_other_failures_are_passed_on(self):
        expected = {500: 500, 504: 504, 400: 400}
        self.check(RequestKind.UNSAFE, expected, stamps=1)

    def test_failures_of_repeatable_requests_are_passed_on(self):
        self.check(RequestKind.SAFE, {503: 503, 429: 429}, stamps=1)


class RepeatedAnswerTests(FaultyTargetTestCase):
    """Guard against an answer that is written again and reaches the next caller."""

    def check(self, first_named: bool, copy_named: bool, cut: int | None) -> None:
        def head_of(request_id: bytes, named: bool) -> bytes:
            field = b"Fireflystand-Request-Id: %s\r\n" % request_id if named else b""
            return b"HTTP/1.1 200 OK\r\n" + field + b"Content-Length: 10\r\n\r\n"

        async def first(target, stream, request_id):
            is_first = request_id == b"id-/k/first"
            named = first_named if is_first else True
            body = b"first body" if is_first else b"other body"
            await stream.send_all(head_of(request_id, named) + body)

        async def repeat(target, stream, request_id):
            copy = head_of(b"id-/k/first", copy_named) + b"first body"
            await stream.send_all(copy[:cut])
            await stream.send_all(head_of(request_id, True) + b"other body")

        async def scenario(node, target):
            received = await ask(node, "/k/first")
            self.assertTrue(received.endswith(b"first body"))
            received = await ask(node, "/k/second")
            self.assertNotIn(b"first", received.partition(b"\r\n\r\n")[2])
            if status_of(received) == 200:
                self.assertTrue(received.endswith(b"other body"))

        self.play(scenario, LENIENT, first=first, write=repeat)

    def test_copy_before_the_next_answer(self):
        """A copy without an id was taken for the answer to the next request."""
        for first_named in (True, False):
            for copy_named in (True, False):
                for cut in (None, 40, -4):
                    with self.subTest(first=first_named, copy=copy_named, cut=cut):
                        self.check(first_named, copy_named, cut)


class CutHeadTests(FaultyTargetTestCase):
    """Guard against a response that was cut in its head and looks complete."""

    def test_head_that_ends_at_any_byte_is_no_response(self):
        head = whole_answer(b"id-/k/000").partition(b"\r\n\r\n")[0]

        async def cut(target, stream, request_id):
            size = int(request_id.rpartition(b"/")[2])
            await stream.send_all(whole_answer(request_id)[:size])
            await stream.aclose()

        async def scenario(node, target):
            for size in range(len(head) + 4):
                received = await ask(node, f"/k/first-{size}")
                self.assertEqual(status_of(received), 200)
                received = await ask(node, f"/k/{size:03}")
                self.assertEqual(status_of(received), 502, received)

        for name, options in OPTIONS_BY_NAME.items():
            with self.subTest(name):
                self.play(scenario, options, write=cut)


class EndlessResponseTests(FaultyTargetTestCase):
    """Guard against responses that a target sends until its connection is closed."""

    def check(self, begin: bytes, part: bytes, pause: float = 0.0) -> None:
        """Check that a response without end ends for the caller and at the target."""

        async def write(target, stream, request_id):
            field = b"Fireflystand-Request-Id: %s\r\n" % request_id
            await stream.send_all(b"HTTP/1.1 200 OK\r\n" + field + begin)
            while True:
                await stream.send_all(part)
                await trio.sleep(pause)

        async def scenario(node, target):
            await ask(node, "/k/first")
            began_at = trio.current_time()
            received = await ask(node, "/k/endless", deadline=0.5)
            self.assertFalse(status_of(received) == 200 and is_complete(received))
            seconds = trio.current_time() - began_at
            self.assertLess(seconds, 0.5 + ANSWER_LIMIT)
            with trio.fail_after(1.0):
                await target.closed.wait()

        self.play(scenario, LENIENT, write=write)

    def test_head_without_end(self):
        for pause in (0.0, 0.05):
            with self.subTest(pause=pause):
                self.check(b"", LINE, pause)

    def test_informational_responses_without_end(self):
        self.check(b"Content-Length: 0\r\n", b"HTTP/1.1 103 X\r\n\r\n", 0.01)

    def test_chunked_body_without_end(self):
        self.check(b"Transfer-Encoding: chunked\r\n\r\n", CHUNK, 0.01)

    def test_chunk_size_and_trailer_without_end(self):
        self.check(b"Transfer-Encoding: chunked\r\n\r\n", 100 * b"1", 0.01)
        self.check(b"Transfer-Encoding: chunked\r\n\r\n0\r\n", LINE, 0.01)

    def test_body_of_unknown_length_without_end(self):
        self.check(b"\r\n", 1024 * b"x", 0.01)

    def test_body_with_pauses(self):
        """Each pause was allowed to last a second past the time limit."""
        self.check(b"Content-Length: 1500\r\n\r\n", b"x", 0.3)

    def test_body_of_an_enormous_length(self):
        head = b"Content-Length: %d\r\n\r\n" % 10**12
        self.check(head, 1024 * b"x", 0.01)

    def test_body_that_exceeds_its_length_without_end(self):
        self.check(b"Content-Length: 1500\r\n\r\n", 1000 * b"x", 0.01)

    def test_bodies_without_end_take_little_memory(self):
        """Their callers read nothing, so all that is received has to be kept."""

        async def flood(target, stream, request_id):
            field = b"Fireflystand-Request-Id: %s\r\n" % request_id
            begin = b"HTTP/1.1 200 OK\r\n" + field
            await stream.send_all(begin + b"Transfer-Encoding: chunked\r\n\r\n")
            while True:
                await stream.send_all(1000 * b"2\r\nxx\r\n")

        async def scenario(node, target):
            await ask(node, "/k/first")
            tracemalloc.start()
            async with trio.open_nursery() as nursery:
                for number in range(4):
                    path = f"/k/endless-{number}"
                    nursery.start_soon(
                        partial(ask, node, path, deadline=1.0, read_after=1.5)
                    )
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            self.assertLess(peak, MEMORY_LIMIT)

        self.play(scenario, write=flood, first=flood_after(answer, flood))

    def test_body_that_its_caller_reads_late_is_delivered(self):
        """The time that a caller takes is not the target's."""
        size = 16 * 2**20

        async def write(target, stream, request_id):
            await stream.send_all(whole_answer(request_id, size * b"x"))

        async def scenario(node, target):
            await ask(node, "/k/first")
            received = await ask(
                node,
                "/k/large",
                deadline=0.5,
                read_after=0.5 + MAX_UNFRAMED_OVERRUN + MAX_LATE_WAIT,
            )
            self.assertTrue(is_complete(received))
            self.assertGreater(len(received), size)

        self.play(scenario, LENIENT, write=write)

    def test_refusal_whose_body_does_not_end_is_passed_on_at_once(self):
        """Callers waited until their deadline and were told 504."""

        async def write(target, stream, request_id):
            await stream.send_all(REFUSAL.replace(b"h: 0", b"h: 1000") + b"\r\n")
            while True:
                await stream.send_all(b"x")
                await trio.sleep(0.05)

        async def scenario(node, target):
            await ask(node, "/k/first")
            began_at = trio.current_time()
            received = await ask(node, "/k/refused", deadline=5.0)
            self.assertEqual(status_of(received), 503)
            self.assertLess(trio.current_time() - began_at, 2.0)

        self.play(scenario, write=write)


class LateResponseLogTests(FaultyTargetTestCase):
    """Guard against responses past their time limit that leave no trace."""

    def test_late_end_of_a_response_is_logged(self):
        late = REPORTED_LATENESS + 0.05

        async def write(target, stream, request_id):
            head, _, body = whole_answer(request_id).partition(b"\r\n\r\n")
            await stream.send_all(head + b"\r\n\r\n")
            await trio.sleep(0.5 + late)
            await stream.send_all(body)

        async def scenario(node, target):
            lines = io.StringIO()
            configure_log(lines, as_json=True)
            await ask(node, "/k/first")
            received = await ask(node, "/k/late", deadline=0.5)
            self.assertTrue(is_complete(received))
            found = [json.loads(line) for line in lines.getvalue().splitlines()]
            (line,) = [line for line in found if line["event"] == 6007]
            self.assertEqual((line["request_id"], line["status"]), ("id-/k/late", 200))
            self.assertGreater(line["waited"], line["time_limit"] + REPORTED_LATENESS)

        self.play(scenario, write=write)


if __name__ == "__main__":
    unittest.main()
