"""Test exchanges whose tasks start late, as in a busy process."""

import unittest
from collections.abc import Callable

import attrs
import trio

from fireflystand_core.admission import BytePool
from fireflystand_core.outcomes import NotRun

from ...dispatch.read_ahead import ReadAhead
from ..client import Failure, Forwarder
from ..exchange import BrokenExchangeError, Exchange, ForwardRequest
from ..target_options import TargetOptions

REFUSAL = b"HTTP/1.1 503 Busy\r\nFireflystand-Outcome: not-run\r\nContent-Length: 0\r\n"
LONG_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n"
TIME_LIMIT = 5.0  # seconds


class LateNursery:
    """Hold tasks back until they are run."""

    def __init__(self) -> None:
        self._held: list[tuple[Callable, tuple]] = []

    def start_soon(self, function, *arguments) -> None:
        """Hold a task back."""
        self._held.append((function, arguments))

    async def run(self) -> None:
        """Run the tasks that were held back."""
        while self._held:
            function, arguments = self._held.pop(0)
            await function(*arguments)


@attrs.define
class Body:
    """Hold the parts of a caller's body that have arrived."""

    parts: list[bytes]

    async def read(self) -> bytes:
        """Return the next part without waiting."""
        return self.parts.pop(0) if self.parts else b""


def play(head: bytes, scenario) -> None:
    """Run a scenario with a target that answers each header section at once."""

    async def answer(stream: trio.SocketStream) -> None:
        received = b""
        while b"\r\n\r\n" not in received:
            received += await stream.receive_some(65536)
        await stream.send_all(head + b"Fireflystand-Request-Id: r-1\r\n\r\n")
        await trio.sleep_forever()

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            nursery.start_soon(trio.serve_listeners, answer, listeners)
            forwarder = Forwarder()
            late = forwarder._nursery = LateNursery()
            with trio.fail_after(TIME_LIMIT):
                await scenario(forwarder, late, f"127.0.0.1:{port}")
            await forwarder.close()
            nursery.cancel_scope.cancel()

    trio.run(main)


def upload(address: str, body: Body) -> ForwardRequest:
    """Return a request with a body of unknown length."""
    return ForwardRequest(
        request_id="r-1",
        address=address,
        method=b"POST",
        target=b"/x",
        fields=[(b"Host", b"a.example")],
        control_fields=[],
        body=b"first part",
        length=None,
        deadline=trio.current_time() + TIME_LIMIT,
        send_before=trio.current_time() + TIME_LIMIT,
        repeatable=False,
        read_more_body=body.read,
    )


class LateUploadTests(unittest.TestCase):
    """Guard against bodies that lose a part to an upload that has ended (review/11).

    The upload of a refused attempt started after the refusal and took a part that the
    next attempt then left out.
    """

    def test_refused_attempt_takes_no_part_of_the_body(self):
        async def scenario(forwarder, late, address):
            body = Body([b"second part", b"third part"])
            opened = await forwarder.open(upload(address, body))
            self.assertIsInstance(opened, Failure)
            self.assertIsInstance(opened.outcome, NotRun)
            await late.run()
            self.assertEqual(body.parts, [b"second part", b"third part"])

        play(REFUSAL, scenario)

    def test_upload_that_starts_in_time_sends_the_body(self):
        async def scenario(forwarder, late, address):
            body = Body([b"second part", b"third part"])
            exchange = await forwarder.open(upload(address, body))
            await late.run()
            self.assertEqual(body.parts, [])
            self.assertTrue(exchange.upload_done)
            exchange.abort()

        play(LONG_HEAD, scenario)


class AbortedExchangeTests(unittest.TestCase):
    """Guard against aborted responses that look complete (beside review/11)."""

    async def open(self, forwarder, late, address) -> Exchange:
        exchange = await forwarder.open(upload(address, Body([])))
        await late.run()
        return exchange

    def test_aborted_response_has_no_regular_end(self):
        async def scenario(forwarder, late, address):
            exchange = await self.open(forwarder, late, address)
            exchange.abort()
            with self.assertRaises(BrokenExchangeError):
                await exchange.receive()
            self.assertFalse(exchange.may_have_restarted)

        play(LONG_HEAD, scenario)

    def test_read_ahead_that_starts_after_the_abort(self):
        async def scenario(forwarder, late, address):
            exchange = await self.open(forwarder, late, address)
            completed = []
            pool = BytePool(100_000)
            ahead = ReadAhead(
                exchange, pool, late.start_soon, lambda: completed.append(True)
            )
            ahead.start()
            exchange.abort()
            await late.run()
            self.assertEqual(completed, [])
            with self.assertRaises(BrokenExchangeError):
                await ahead.receive()

        play(LONG_HEAD, scenario)

    def test_read_ahead_that_starts_after_its_end(self):
        async def scenario(forwarder, late, address):
            exchange = await self.open(forwarder, late, address)
            completed = []
            pool = BytePool(100_000)
            ahead = ReadAhead(
                exchange, pool, late.start_soon, lambda: completed.append(True)
            )
            ahead.start()
            ahead.close()
            exchange.abort()
            await late.run()
            self.assertEqual(completed, [])
            self.assertEqual(pool.held, 0)

        play(LONG_HEAD, scenario)


class EarlyAnswerTests(unittest.TestCase):
    """Guard against cut responses without a length that look complete (review/12).

    The reset came while the upload was still being written, and the upload found it.
    """

    HEAD = b"HTTP/1.1 200 OK\r\nFireflystand-Request-Id: r-1\r\n\r\n"
    PART = 20_000 * b"x"
    RUNS = 20

    def count_complete(self, *, shuts_down: bool) -> int:
        """Return how many responses look complete of targets that do not read."""

        async def answer(stream: trio.SocketStream) -> None:
            await stream.receive_some(1024)
            await stream.send_all(self.HEAD + self.PART)
            await trio.sleep(0.05)  # the upload fills the buffers meanwhile
            if shuts_down:
                await stream.send_eof()
                await trio.sleep(0.02)
            stream.socket.close()  # resets the connection, since bytes are unread

        async def main() -> int:
            complete = 0
            options = TargetOptions(cancel_path="", allows_unframed_responses=True)
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, answer, listeners)
                forwarder = Forwarder(options=options)
                await forwarder.start(nursery)
                with trio.fail_after(30):
                    for _ in range(self.RUNS):
                        complete += await is_complete(forwarder, f"127.0.0.1:{port}")
                nursery.cancel_scope.cancel()
            return complete

        async def is_complete(forwarder: Forwarder, address: str) -> bool:
            body = Body([65536 * b"y"] * 200)
            exchange = await forwarder.open(upload(address, body))
            received = b""
            try:
                while part := await exchange.receive():
                    received += part
            except BrokenExchangeError:
                return False
            finally:
                exchange.abort()
            self.assertEqual(received, self.PART)
            return True

        return trio.run(main)

    def test_reset_while_the_upload_is_written(self):
        self.assertEqual(self.count_complete(shuts_down=False), 0)

    def test_target_that_ends_its_response_before_it_closes(self):
        self.assertEqual(self.count_complete(shuts_down=True), self.RUNS)


if __name__ == "__main__":
    unittest.main()
