"""Test small HTTP exchanges with servers that break the protocol."""

import tracemalloc
import unittest
from contextlib import suppress

import trio

from ..http_client import ConnectionFailedError, HttpClient

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
MAX_BODY = 64 * 1024  # bytes
MEMORY_LIMIT = 2 * 1024 * 1024  # bytes
TIME_LIMIT = 20.0  # seconds; long enough for a busy machine


class EndlessServer:
    """Send a part of a response again and again until the caller closes."""

    def __init__(self, begin: bytes, part: bytes) -> None:
        self._begin = begin
        self._part = part
        self.closed = trio.Event()

    async def serve(self, stream: trio.SocketStream) -> None:
        async with stream:
            with suppress(trio.BrokenResourceError):
                await stream.receive_some(65536)
                await stream.send_all(self._begin)
                while True:
                    await stream.send_all(self._part)
        self.closed.set()


class EndlessResponseTests(unittest.TestCase):
    """Guard against a response without end that is kept until memory runs out."""

    def check(self, begin: bytes, part: bytes) -> None:
        """Check that the exchange fails, with little memory, and is closed."""

        async def main() -> int:
            server = EndlessServer(begin, part)
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, server.serve, listeners)
                client = HttpClient(
                    f"127.0.0.1:{port}", timeout=TIME_LIMIT, max_body=MAX_BODY
                )
                tracemalloc.start()
                with self.assertRaises(ConnectionFailedError) as failure:
                    await client.request("GET", "/")
                _, peak = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                self.assertNotIn("no complete response", failure.exception.message)
                with trio.fail_after(TIME_LIMIT):
                    await server.closed.wait()
                nursery.cancel_scope.cancel()
            return peak

        self.assertLess(trio.run(main), MEMORY_LIMIT)

    def test_head_without_end(self):
        self.check(HEAD, b"X-Field: " + 1000 * b"x" + b"\r\n")

    def test_line_without_end(self):
        self.check(b"", 1000 * b"x")

    def test_informational_responses_without_end(self):
        """They kept the event loop busy until the time limit."""
        self.check(b"", b"HTTP/1.1 100 Continue\r\n\r\n")

    def test_chunks_of_two_bytes_without_end(self):
        """Each was kept as an object of its own, up to 2 MiB of them."""
        self.check(CHUNKED, 1000 * b"2\r\nxx\r\n")

    def test_chunk_size_and_trailer_without_end(self):
        self.check(CHUNKED, 1000 * b"1")
        self.check(CHUNKED + b"0\r\n", b"X-Field: " + 1000 * b"x" + b"\r\n")

    def test_body_of_an_enormous_length(self):
        self.check(HEAD + b"Content-Length: 1000000000000\r\n\r\n", 65536 * b"x")

    def test_body_that_ends_with_the_connection(self):
        self.check(HEAD + b"\r\n", 65536 * b"x")


if __name__ == "__main__":
    unittest.main()
