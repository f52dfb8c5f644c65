"""Test pipelined requests."""

import unittest

import trio

from fireflystand_router.entry import (
    CallerOptions,
    EntryServer,
    RequestRefusedError,
)
from fireflystand_router.metrics import Metrics


class FakeFlow:
    """Answer ``/slow`` late, refuse ``/refused`` late and answer others at once."""

    def __init__(self) -> None:
        self.started: list[str] = []

    def begin_stop(self, drains_at: float, stops_at: float) -> None:
        pass

    async def run(self, event, body, writer) -> None:
        path = event.target.decode()
        self.started.append(path)
        await body.read_prefix(1000)
        writer.request_id = path
        if path in ("/slow", "/refused"):
            await trio.sleep(0.2)
        if path == "/refused":
            return await writer.refuse(RequestRefusedError(504, "late"))
        writer.start(200, [], len(path), close=False)
        await writer.write(path.encode())
        await writer.finish()


def get(path: str) -> bytes:
    """Return a request without a body."""
    return f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode()


class PipelineTests(unittest.TestCase):
    """Guard against responses that are lost, cut or out of order."""

    def exchange(self, data: bytes, *, limit: int = 8, drain: bool = False):
        """Return what a caller receives, and the paths that were served."""
        flow = FakeFlow()

        async def main() -> bytes:
            async with trio.open_nursery() as nursery:
                server = EntryServer(
                    flow,
                    Metrics(None),
                    options=lambda: CallerOptions(pipeline_limit=limit),
                    grace_period=0.0,
                )
                address = await server.start(nursery)
                host, port = address.rsplit(":", 1)
                stream = await trio.open_tcp_stream(host, int(port))
                await stream.send_all(data)
                received = b""
                with trio.move_on_after(1.0):
                    if drain:
                        await trio.sleep(0.1)
                        nursery.start_soon(server.close)
                    while part := await stream.receive_some(65536):
                        received += part
                nursery.cancel_scope.cancel()
                return received

        return trio.run(main), flow.started

    def test_responses_keep_the_order_of_the_requests(self):
        received, started = self.exchange(get("/slow") + get("/a") + get("/b"))
        bodies = [received.find(p) for p in (b"/slow\r", b"/a\r", b"/b\r")]
        self.assertEqual(bodies, sorted(bodies))
        self.assertEqual(received.count(b"HTTP/1.1 200"), 3)
        self.assertEqual(sorted(started), ["/a", "/b", "/slow"])

    def test_refusal_does_not_cut_the_responses_behind_it(self):
        received, _ = self.exchange(get("/refused") + get("/a") + get("/b"))
        self.assertEqual(received.count(b"HTTP/1.1 504"), 1)
        self.assertEqual(received.count(b"HTTP/1.1 200"), 2)
        self.assertNotIn(b"Connection: close", received)

    def test_request_with_a_body_waits_and_does_not_close_earlier_responses(self):
        post = b"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
        received, _ = self.exchange(get("/slow") + get("/a") + post + get("/b"))
        self.assertEqual(received.count(b"HTTP/1.1 200"), 4)
        self.assertNotIn(b"Connection: close", received)

    def test_planned_stop_ends_with_the_last_response(self):
        received, _ = self.exchange(get("/slow") + get("/slow"), drain=True)
        self.assertEqual(received.count(b"HTTP/1.1 200"), 2)
        self.assertEqual(received.count(b"Connection: close"), 1)

    def test_limit_of_one_serves_in_sequence(self):
        received, started = self.exchange(get("/slow") + get("/a"), limit=1)
        self.assertEqual(received.count(b"HTTP/1.1 200"), 2)
        self.assertEqual(started, ["/slow", "/a"])


if __name__ == "__main__":
    unittest.main()
