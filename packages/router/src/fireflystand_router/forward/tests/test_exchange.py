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


if __name__ == "__main__":
    unittest.main()
