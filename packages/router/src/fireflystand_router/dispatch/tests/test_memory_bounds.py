"""Test, on real sockets, what an instance holds for slow callers and slow targets."""

import unittest
from contextlib import suppress

import attrs
import h11
import trio

from fireflystand_core.traffic import RequestKind

from ...entry import CallerOptions
from ..flow import MEMORY_FULL, TARGET_FULL
from ..node import DispatchNode
from .node_support import HOST, Fleet, HttpTarget, eventually, play_fleet

BUDGET = 4 * 1024 * 1024  # bytes; half for requests, half for responses
MIB = 1024 * 1024
# Parts and buffers of connections that are in use whatever the budget.
OVERHEAD = 512 * 1024  # bytes
READ_TIME = 1.0  # seconds after which the target cuts off what is not read


@attrs.define(eq=False)
class LargeTarget(HttpTarget):
    """Send large responses, which end as a failure if they are not read on time."""

    size: int = 0
    written: trio.Event = attrs.field(factory=trio.Event)
    cut_off: int = 0  # responses

    async def _answer(self, connection, stream, fields) -> bool:
        echoed = fields.get(b"fireflystand-request-id", b"")
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % self.size
        head += b"Fireflystand-Request-Id: %s\r\n\r\n" % echoed
        with trio.move_on_after(READ_TIME) as scope:
            await stream.send_all(head + self.size * b"x")
        if scope.cancelled_caught:
            self.cut_off += 1
            return False
        self.written.set()
        connection.send(h11.Response(status_code=200, headers=[("x", "y")]))
        return False


@attrs.define(eq=False)
class UnreadingTarget(HttpTarget):
    """Accept connections and read nothing until told to."""

    reads: trio.Event = attrs.field(factory=trio.Event)

    async def serve(self, stream) -> None:
        await self.reads.wait()
        await super().serve(stream)


def request(method: str, path: str, length: int = 0, **fields: str) -> bytes:
    """Return the head of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Content-Length: {length}",
        f"Fireflystand-Request-Id: id-{path}",
        "Fireflystand-Routing-Key: 7",
        "Fireflystand-Deadline-Ms: 5000",
        *(f"{name}: {value}" for name, value in fields.items()),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def connect(node: DispatchNode) -> trio.SocketStream:
    """Open a connection that keeps little unread."""
    host, port = node.entry.address.rsplit(":", 1)
    new = trio.socket.socket()
    new.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 16 * 1024)
    await new.connect((host, int(port)))
    return trio.SocketStream(new)


async def read_to_end(stream) -> bytes:
    """Return all bytes until the end of the connection."""
    received = bytearray()
    with suppress(trio.BrokenResourceError), trio.fail_after(10.0):
        while part := await stream.receive_some(65536):
            received += part
    return bytes(received)


class MemoryTestCase(unittest.TestCase):
    """Play one instance with a budget for what it holds for callers."""

    def play(self, scenario, target: HttpTarget, budget: float = BUDGET) -> None:
        async def with_node(fleet: Fleet) -> None:
            fleet.buffered_bytes = budget
            fleet.caller_options = CallerOptions(pipeline_limit=8)
            fleet.configure(2, kind=RequestKind.UNSAFE, timeout=8.0, max_attempts=1)
            await fleet.add_target("keyed")
            await fleet.add_target("pooled", target=target)
            node = await fleet.add_node()
            await fleet.settle()
            await scenario(node)

        play_fleet(with_node)


class SlowCallerTests(MemoryTestCase):
    """Guard against responses that are cut off because their callers read slowly."""

    def test_response_is_read_on_time_and_delivered_late(self):
        target = LargeTarget(size=MIB)

        async def scenario(node):
            async with await connect(node) as stream:
                await stream.send_all(request("GET", "/p/x", Connection="close"))
                with trio.fail_after(READ_TIME):
                    await target.written.wait()
                await eventually(lambda: node.memory.responses.held > MIB // 2)
                received = await read_to_end(stream)
            self.assertTrue(received.endswith(b"x" * MIB))
            await eventually(lambda: node.memory.responses.held == 0)

        self.play(scenario, target)

    def test_slot_is_free_once_the_target_has_responded(self):
        """Slow callers kept all slots of a target that had nothing to do."""
        target = LargeTarget(size=MIB // 2)

        async def scenario(node):
            queue = node.slot_service.queues_by_service["pooled"]
            async with await connect(node) as stream:
                await stream.send_all(request("GET", "/p/x", Connection="close"))
                # The queue takes the slot back itself at the deadline, after 5 s.
                with trio.fail_after(2 * READ_TIME):
                    await target.written.wait()
                    await eventually(lambda: queue.held_count == 0)
                self.assertGreater(node.memory.responses.held, MIB // 4)
                received = await read_to_end(stream)
            self.assertTrue(received.endswith(b"x" * (MIB // 2)))
            self.assertEqual(queue.held_count, 0)

        self.play(scenario, target)

    def test_response_behind_an_earlier_one_is_read_on_time(self):
        target = LargeTarget(size=MIB // 2)

        async def scenario(node):
            async with await connect(node) as stream:
                first = request("GET", "/p/1")
                last = request("GET", "/p/2", Connection="close")
                await stream.send_all(first + last)
                await trio.sleep(2 * READ_TIME)
                received = await read_to_end(stream)
            self.assertEqual(target.cut_off, 0)
            self.assertEqual(received.count(b"HTTP/1.1 200"), 2)
            self.assertTrue(received.endswith(b"x" * (MIB // 2)))

        self.play(scenario, target)

    def test_memory_stays_bounded_whatever_the_size(self):
        target = LargeTarget(size=32 * MIB)
        most = 0

        async def scenario(node):
            nonlocal most
            streams = [await connect(node) for _ in range(4)]
            for stream in streams:
                await stream.send_all(request("GET", "/p/x"))
            for _ in range(50):
                await trio.sleep(0.01)
                most = max(most, node.memory.responses.held)
            self.assertGreater(most, BUDGET / 4)
            self.assertLessEqual(most, BUDGET / 2 + OVERHEAD)
            for stream in streams:
                await stream.aclose()
            await eventually(lambda: node.memory.responses.held == 0)

        self.play(scenario, target)

    def test_caller_that_leaves_frees_what_was_held(self):
        target = LargeTarget(size=MIB)

        async def scenario(node):
            async with await connect(node) as stream:
                await stream.send_all(request("GET", "/p/x"))
                with trio.fail_after(READ_TIME):
                    await target.written.wait()
            await eventually(lambda: node.memory.responses.held == 0)
            await eventually(lambda: node.memory.requests.held == 0)

        self.play(scenario, target)

    def test_without_a_limit_nothing_is_read_ahead(self):
        target = LargeTarget(size=32 * MIB)

        async def scenario(node):
            async with await connect(node) as stream:
                await stream.send_all(request("GET", "/p/x"))
                await trio.sleep(0.3)
                self.assertLess(node.memory.responses.held, OVERHEAD)

        self.play(scenario, target, float("inf"))


class SlowTargetTests(MemoryTestCase):
    """Guard against bodies that fill the memory while targets do not take them."""

    def test_bodies_beyond_the_budget_are_refused_before_they_are_sent(self):
        target = UnreadingTarget()
        answers: list[bytes] = []
        most = 0

        async def send(node) -> None:
            async with await connect(node) as stream:
                size = 48 * 1024
                fields = {"Connection": "close"}
                head = request("POST", "/p/x", size, **fields)
                with suppress(trio.BrokenResourceError):
                    await stream.send_all(head + size * b"x")
                answers.append(await read_to_end(stream))

        async def scenario(node):
            nonlocal most

            def have_arrived() -> bool:
                nonlocal most
                most = max(most, node.memory.requests.held)
                return len(answers) + node.entry.in_flight == 100

            async with trio.open_nursery() as nursery:
                for _ in range(100):
                    nursery.start_soon(send, node)
                await eventually(have_arrived)
                for _ in range(30):
                    await trio.sleep(0.01)
                    most = max(most, node.memory.requests.held)
                refused = sum(MEMORY_FULL.encode() in answer for answer in answers)
                async with await connect(node) as stream:
                    await stream.send_all(request("GET", "/k/x", Connection="close"))
                    received = await read_to_end(stream)
                self.assertIn(b"HTTP/1.1 200", received)
                target.reads.set()
            self.assertGreater(refused, 10)
            self.assertLessEqual(most, BUDGET / 2 + OVERHEAD)
            self.assertTrue(all(b" 503 " in a or b" 200 " in a for a in answers))
            self.assertGreater(sum(b" 200 " in answer for answer in answers), 10)
            self.assertEqual(len(target.requests) + refused, 100)
            await eventually(lambda: node.memory.requests.held == 0)

        self.play(scenario, target)

    def test_connections_are_not_read_ahead_beyond_the_budget(self):
        """Unparsed bytes of pipelined requests filled the memory."""

        async def scenario(node):
            taken = node.memory.requests.reserve(BUDGET // 2)
            streams = [await connect(node) for _ in range(20)]
            async with trio.open_nursery() as nursery:
                for stream in streams:
                    head = request("POST", "/p/x", 8 * MIB)
                    nursery.start_soon(self.send_quietly, stream, head)
                await trio.sleep(0.5)
                self.assertLessEqual(
                    node.memory.requests.held, BUDGET // 2 + 20 * 8 * 1024
                )
                nursery.cancel_scope.cancel()
            taken.release()

        self.play(scenario, HttpTarget())

    async def send_quietly(self, stream, head: bytes) -> None:
        with suppress(trio.BrokenResourceError):
            await stream.send_all(head + 8 * MIB * b"x")


class CrashingTargetTests(MemoryTestCase):
    """Guard against a target that gets the load again under which it crashed."""

    def test_load_is_refused_after_the_crash_and_small_requests_are_sent(self):
        target = HttpTarget(breaks=True)

        async def ask(node, size: int) -> bytes:
            async with await connect(node) as stream:
                head = request("POST", "/p/x", size, Connection="close")
                with suppress(trio.BrokenResourceError):
                    await stream.send_all(head + size * b"x")
                return await read_to_end(stream)

        async def scenario(node):
            self.assertIn(b" 502 ", await ask(node, 2 * MIB))
            node.crash_detector.record_exit("t2")
            target.breaks = False
            before = len(target.requests)
            received = await ask(node, 2 * MIB)
            self.assertIn(b" 503 ", received)
            self.assertIn(TARGET_FULL.encode(), received)
            self.assertEqual(len(target.requests), before)
            self.assertIn(b" 200 ", await ask(node, 64 * 1024))

        self.play(scenario, target)

    def test_crash_under_a_usual_load_changes_nothing(self):
        target = HttpTarget()

        async def ask(node) -> bytes:
            async with await connect(node) as stream:
                head = request("POST", "/p/x", MIB, Connection="close")
                await stream.send_all(head + MIB * b"x")
                return await read_to_end(stream)

        async def scenario(node):
            self.assertIn(b" 200 ", await ask(node))
            target.breaks = True
            self.assertIn(b" 502 ", await ask(node))
            node.crash_detector.record_exit("t2")
            target.breaks = False
            self.assertIn(b" 200 ", await ask(node))

        self.play(scenario, target)


if __name__ == "__main__":
    unittest.main()
