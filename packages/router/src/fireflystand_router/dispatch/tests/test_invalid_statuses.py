"""Test that no response with an invalid status is taken as an answer."""

import itertools
import unittest
from contextlib import suppress

import trio

from fireflystand_core.traffic import RequestKind

from ...http_client import ConnectionFailedError, HttpClient
from .node_support import play_fleet
from .test_faulty_targets import (
    OPTIONS_BY_NAME,
    TIME_LIMIT,
    FaultyTarget,
    answer,
    ask,
    status_of,
)

OUT_OF_RANGE = (b"000", b"099", b"600", b"999")
NOT_THREE_DIGITS = (b"0", b"20", b"2000", b"abc", b"2x0", b"-20", b"")
NOT_FINAL = (b"100", b"101", b"199")  # and no response follows
STATUSES = OUT_OF_RANGE + NOT_THREE_DIGITS + NOT_FINAL
PREFIXES = (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n")


def invalid_response(status: bytes, prefix: bytes = b"", request_id: bytes = b""):
    """Return a response that is complete but for its status."""
    field = b"Fireflystand-Request-Id: %s\r\n" % request_id if request_id else b""
    head = prefix + b"HTTP/1.1 " + status + b" Odd\r\n" + field
    return head + b"Content-Length: 2\r\n\r\nok"


class InvalidStatusTests(unittest.TestCase):
    """Guard against a response without a valid status that reaches a caller.

    A target in trouble sent the status 000, and callers received it.
    """

    def check(self, options, *, kept: bool) -> None:
        """Send a request for each kind of invalid response."""
        cases = list(itertools.product(STATUSES, PREFIXES, (True, False)))
        written: list[bytes] = []

        async def write(target, stream, request_id):
            if request_id.endswith(b"good"):
                return await answer(target, stream, request_id)
            status, prefix, is_named = cases[len(written)]
            name = request_id if is_named else b""
            written.append(invalid_response(status, prefix, name))
            await stream.send_all(written[-1])
            await stream.aclose()

        async def scenario(fleet):
            fleet.target_options = options
            fleet.configure(2, kind=RequestKind.UNSAFE, timeout=TIME_LIMIT)
            target = FaultyTarget(first=write, write=write)
            await fleet.add_target("keyed")
            await fleet.add_target("pooled", target=target)
            node = await fleet.add_node()
            await fleet.settle()
            for number, case in enumerate(cases):
                if kept:
                    received = await ask(node, f"/p/{number}/good")
                    self.assertEqual(status_of(received), 200)
                received = await ask(node, f"/p/{number}")
                with self.subTest(case=case, kept=kept):
                    self.assertEqual(status_of(received), 502, received)
            self.assertEqual(len(written), len(cases))

        play_fleet(scenario)

    def test_first_response_of_a_connection(self):
        for name, options in OPTIONS_BY_NAME.items():
            with self.subTest(name):
                self.check(options, kept=False)

    def test_response_on_a_kept_connection(self):
        for name, options in OPTIONS_BY_NAME.items():
            with self.subTest(name):
                self.check(options, kept=True)

    def test_request_that_may_run_twice_is_sent_again(self):
        async def write(target, stream, request_id):
            if target.runs_by_id[request_id]:
                return await answer(target, stream, request_id)
            target.runs_by_id[request_id] += 1
            await stream.send_all(invalid_response(b"999"))

        async def scenario(fleet):
            fleet.configure(2, kind=RequestKind.SAFE, max_attempts=2)
            target = FaultyTarget(first=write, write=write)
            await fleet.add_target("keyed")
            await fleet.add_target("pooled", target=target)
            node = await fleet.add_node()
            await fleet.settle()
            self.assertEqual(status_of(await ask(node, "/p/again")), 200)

        play_fleet(scenario)


class InvalidControlStatusTests(unittest.TestCase):
    """Guard against a health check, grant, release or store call that seems answered.

    All of them are sent by HttpClient.
    """

    def test_response_is_a_failed_exchange(self):
        async def main() -> None:
            responses: list[bytes] = []

            async def serve(stream) -> None:
                async with stream:
                    with suppress(trio.BrokenResourceError):
                        while responses and await stream.receive_some(65536):
                            await stream.send_all(responses.pop(0))

            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
                port = listeners[0].socket.getsockname()[1]
                nursery.start_soon(trio.serve_listeners, serve, listeners)
                good = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                for case in itertools.product(STATUSES, PREFIXES, (False, True)):
                    status, prefix, kept = case
                    client = HttpClient(f"127.0.0.1:{port}", timeout=TIME_LIMIT)
                    responses[:] = [good] * kept + [invalid_response(status, prefix)]
                    if kept:
                        response = await client.request("GET", "/")
                        self.assertEqual(response.status, 200)
                    with self.subTest(case=case):
                        with self.assertRaises(ConnectionFailedError) as failure:
                            await client.request("GET", "/")
                        self.assertNotIn("no complete", failure.exception.message)
                    await client.close()
                nursery.cancel_scope.cancel()

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
