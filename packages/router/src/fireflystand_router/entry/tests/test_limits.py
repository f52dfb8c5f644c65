"""Test limits that change while callers' connections are open."""

import unittest

import attrs
import trio

from fireflystand_router.entry import CallerOptions, EntryServer
from fireflystand_router.metrics import Metrics

from .test_pipeline import FakeFlow

SMALL, LARGE = 2 * 1024, 12 * 1024  # bytes
HUGE = 100 * 1024  # bytes; more than the server reads ahead
LONG = 0.9  # seconds, more than the usual time limits of these tests
USUAL = 0.4  # seconds


def get(padding: int = 0) -> bytes:
    """Return a request with a field of some size."""
    return b"GET /a HTTP/1.1\r\nHost: a\r\nX-A: " + padding * b"x" + b"\r\n\r\n"


class Entry:
    """Serve callers by options that a test changes."""

    def __init__(self) -> None:
        self.options = CallerOptions(
            header_limit=SMALL, header_timeout=USUAL, idle_timeout=USUAL
        )
        self._server = EntryServer(FakeFlow(), Metrics(None), options=self._options)

    def _options(self) -> CallerOptions:
        return self.options

    def change(self, **values) -> None:
        """Put other options in force."""
        self.options = attrs.evolve(self.options, **values)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start listening."""
        await self._server.start(nursery)

    async def connect(self) -> trio.SocketStream:
        """Return a connection over which one request was served."""
        host, port = self._server.address.rsplit(":", 1)
        stream = await trio.open_tcp_stream(host, int(port))
        assert await ask(stream, get()) == 200
        return stream


async def ask(stream: trio.SocketStream, data: bytes) -> int:
    """Send bytes and return the status of the response, 0 if there is none."""
    try:
        await stream.send_all(data)
        received = b""
        while not received.endswith((b"/a\r\n0\r\n\r\n", b"\r\n\r\n/a")):
            part = await stream.receive_some(65536)
            if not part:
                break
            received += part
    except trio.BrokenResourceError:
        return 0
    return int(received[9:12]) if received else 0


class ChangedLimitTests(unittest.TestCase):
    """Guard against connections that keep the limits of an older version (review/15).

    Requests that the version in force allows got 431 on each connection that had been
    opened before it.
    """

    def play(self, scenario) -> None:
        async def main() -> None:
            async with trio.open_nursery() as nursery:
                entry = Entry()
                await entry.start(nursery)
                with trio.fail_after(20):
                    await scenario(entry, await entry.connect())
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_raised_header_limit(self):
        async def scenario(entry, stream):
            entry.change(header_limit=LARGE)
            self.assertEqual(await ask(stream, get(LARGE - 1024)), 200)
            self.assertEqual(await ask(stream, get(LARGE)), 431)

        self.play(scenario)

    def test_header_limit_beyond_what_is_read_ahead(self):
        async def scenario(entry, stream):
            entry.change(header_limit=HUGE + 1024)
            self.assertEqual(await ask(stream, get(HUGE)), 200)

        self.play(scenario)

    def test_lowered_header_limit(self):
        async def scenario(entry, stream):
            entry.change(header_limit=SMALL // 2)
            self.assertEqual(await ask(stream, get(SMALL // 2)), 431)

        self.play(scenario)

    def test_raised_header_timeout_holds_for_a_header_section_under_way(self):
        async def scenario(entry, stream):
            data = get()
            await stream.send_all(data[:9])
            await trio.sleep(USUAL / 2)
            entry.change(header_timeout=10.0)
            await trio.sleep(LONG)
            self.assertEqual(await ask(stream, data[9:]), 200)

        self.play(scenario)

    def test_lowered_header_timeout_holds_from_the_next_header_section_on(self):
        async def scenario(entry, stream):
            entry.change(header_timeout=LONG)
            data = get()
            await stream.send_all(data[:9])
            await trio.sleep(USUAL / 2)
            entry.change(header_timeout=USUAL / 4)
            await trio.sleep(USUAL / 2)
            self.assertEqual(await ask(stream, data[9:]), 200)
            await stream.send_all(data[:9])
            await trio.sleep(USUAL)
            self.assertEqual(await ask(stream, b""), 408)

        self.play(scenario)

    def test_raised_idle_timeout_holds_for_an_idle_connection(self):
        async def scenario(entry, stream):
            await trio.sleep(USUAL / 2)
            entry.change(idle_timeout=10.0)
            await trio.sleep(LONG)
            self.assertEqual(await ask(stream, get()), 200)

        self.play(scenario)

    def test_lowered_idle_timeout_holds_from_the_next_response_on(self):
        async def scenario(entry, stream):
            entry.change(idle_timeout=10.0)
            self.assertEqual(await ask(stream, get()), 200)
            await trio.sleep(USUAL / 4)
            entry.change(idle_timeout=USUAL)
            await trio.sleep(LONG)
            self.assertEqual(await ask(stream, get()), 200)
            await trio.sleep(LONG)
            self.assertEqual(await ask(stream, get()), 0)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
