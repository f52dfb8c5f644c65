"""Test the callers' HTTP server."""

import json
import socket
import unittest
from contextlib import suppress

import trio
import trio.testing

from fireflystand_testing.edge import API_KEY, Edge, Script, read_to_end

AUTH = f"Authorization: Bearer {API_KEY}\r\n".encode()


def get(path: bytes = b"/stock/k1", extra: bytes = b"", method: bytes = b"GET"):
    return method + b" " + path + b" HTTP/1.1\r\nHost: a\r\n" + AUTH + extra + b"\r\n"


CLOSE = b"Connection: close\r\n"


class EdgeTestCase(unittest.TestCase):
    """Run scenarios against an entry server with scripted targets."""

    def run_edge(self, scenario, targets=1, **options):
        async def main():
            edge = Edge(targets, **options)
            async with trio.open_nursery() as nursery:
                await edge.start(nursery)
                with trio.fail_after(300):
                    await scenario(edge)
                await edge.forwarder.close()
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class EntryTests(EdgeTestCase):
    """Guard against wrong framing or order of responses, and missing authorisation."""

    def ask(self, data: bytes) -> bytes:
        found = []

        async def scenario(edge):
            found.append(await edge.ask(data))
            self.edge = edge

        self.run_edge(scenario)
        return found[0]

    def test_pipelined_requests_are_answered_in_order(self):
        data = get(b"/stock/k1") + get(b"/stock/k2") + get(b"/stock/k3", CLOSE)
        answer = self.ask(data)
        self.assertEqual(answer.count(b"HTTP/1.1 200"), 3)
        places = [answer.index(b"/stock/k%d " % n) for n in (1, 2, 3)]
        self.assertEqual(places, sorted(places))

    def test_api_key_reaches_no_target_and_control_fields_do(self):
        self.ask(get(extra=CLOSE + b"Fireflystand-Epoch: 99\r\nX-A: 1\r\n"))
        fields = dict(self.edge.targets[0].requests[0].headers)
        self.assertNotIn(b"authorization", fields)
        self.assertEqual(fields[b"fireflystand-epoch"], b"7")
        self.assertEqual(fields[b"fireflystand-client-account"], b"tills")
        self.assertEqual(fields[b"x-a"], b"1")
        self.assertEqual(fields[b"via"], b"1.1 fireflystand")

    def test_fields_named_in_connection_stay_on_their_connection(self):
        extra = b"Connection: close, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: 1\r\nTE: x\r\n"
        self.ask(get(extra=extra))
        names = {name for name, _ in self.edge.targets[0].requests[0].headers}
        self.assertFalse(names & {b"x-hop", b"keep-alive", b"te", b"connection"})

    def test_statuses_of_refusals(self):
        def bare(path):
            return b"GET " + path + b" HTTP/1.1\r\nHost: a\r\n" + CLOSE

        guest = b"Authorization: Bearer guest-1\r\n\r\n"
        post = b"POST /orders HTTP/1.1\r\nHost: a\r\n" + AUTH
        key = b"Fireflystand-Routing-Key: k\r\n"
        cases = [
            (401, bare(b"/stock/k") + b"\r\n"),
            (401, bare(b"/stock/k") + b"Authorization: Bearer no\r\n\r\n"),
            (403, bare(b"/stock/k") + guest),
            (404, get(b"/none", CLOSE)),
            (400, get(b"/orders", CLOSE)),
            (400, get(b"/stock/../orders", CLOSE)),
            (400, get(b"/stock/%2e%2E/x", CLOSE)),
            (417, get(extra=CLOSE + b"Expect: 200-ok\r\n")),
            (400, get(extra=CLOSE + b"Idempotency-Key: " + b"x" * 129 + b"\r\n")),
            (400, get(extra=CLOSE + b"Idempotency-Key: a b\r\n")),
            (400, get(extra=CLOSE + b"Fireflystand-Deadline-Ms: 0\r\n")),
            (431, get(extra=b"X: " + b"x" * 20000 + b"\r\n")),
            (413, get(b"/labels", b"Content-Length: 100001\r\n", b"POST")),
            (400, get(extra=AUTH)),
            (400, post + key + b"Content-Length: x\r\n\r\n"),
        ]
        for status, data in cases:
            with self.subTest(status=status, data=data[:90]):
                answer = self.ask(data)
                self.assertTrue(answer.startswith(b"HTTP/1.1 %d " % status), answer)
                body = json.loads(answer.partition(b"\r\n\r\n")[2])
                self.assertEqual(body["outcome"], "not-run")
                self.assertEqual(self.edge.targets[0].requests, [])

    def test_smuggling_attempts_get_400_and_a_close(self):
        head = b"POST /labels HTTP/1.1\r\nHost: a\r\n" + AUTH
        chunked = b"Transfer-Encoding: chunked\r\n"
        cases = [
            head + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
            head + b"Content-Length: 3, 3\r\n\r\nabc",
            head + b"Content-Length: +3\r\n\r\nabc",
            head + b"Content-Length: 3\r\n" + chunked + b"\r\n0\r\n\r\n",
            head + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            head + b"Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n",
            head + chunked + chunked + b"\r\n0\r\n\r\n",
            head + chunked + b"\r\n0x3\r\nabc\r\n0\r\n\r\n",
            head + chunked + b"\r\n3 \r\nabc\r\n0\r\n\r\n",
            head + chunked + b"\r\n3;a\rb\r\nabc\r\n0\r\n\r\n",
            head + chunked + b"\r\n3\nabc\r\n0\r\n\r\n",
            head + chunked + b"\r\n3\r\nabcd\r\n0\r\n\r\n",
            head + chunked + b"\r\n0\r\nX: a\nY: b\r\n\r\n",
            head + b"Content-Length : 3\r\n\r\nabc",
            head + b"X: a\r\n b\r\nContent-Length: 3\r\n\r\nabc",
            head + b"X: a\nContent-Length: 3\r\n\r\nabc",
            head + b"X: a\rY: b\r\nContent-Length: 3\r\n\r\nabc",
            head.replace(b"\r\n", b"\n") + b"\n",
            b"\r\n" + get(),
            get().replace(b"HTTP/1.1", b"HTTP/2.0"),
            get(extra=chunked).replace(b"HTTP/1.1", b"HTTP/1.0") + b"0\r\n\r\n",
        ]
        for data in cases:
            with self.subTest(data=data[60:]):
                answer = self.ask(data + get(b"/stock/smuggled"))
                self.assertTrue(answer.startswith(b"HTTP/1.1 400 "), answer)
                self.assertEqual(answer.count(b"HTTP/1.1"), 1)
                self.assertEqual(self.edge.targets[0].requests, [])

    def test_slow_senders_get_408(self):
        post = get(b"/labels", b"Content-Length: 9\r\n", b"POST")
        for data in (b"GET /sto", post + b"abc"):
            answer = self.ask(data)
            self.assertTrue(answer.startswith(b"HTTP/1.1 408 "), answer)

    def test_body_that_stalls_while_its_target_receives_it(self):
        """Callers got 408, which promises that a request has not run."""
        answer = self.ask(
            get(b"/labels", b"Content-Length: 90000\r\n", b"POST") + bytes(80_000)
        )
        self.assertEqual(self.edge.targets[0].connections, 1)
        self.assertTrue(answer.startswith(b"HTTP/1.1 504 "), answer)
        self.assertIn(b'"outcome": "unknown"', answer)

    def test_request_behind_a_broken_response_of_which_no_byte_was_sent(self):
        """The connection was reset, and the request behind it got no answer."""

        async def scenario(edge):
            # No hexadecimal digits, of which the request ids in the answer are made.
            broken = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nwxyz"
            edge.targets[0].scripts.append(Script(broken, then="close"))
            answer = await edge.ask(get() + get(b"/stock/k2", CLOSE))
            statuses = [part[:3] for part in answer.split(b"HTTP/1.1 ")[1:]]
            self.assertEqual(statuses, [b"502", b"200"])
            self.assertEqual(answer.count(b'"outcome": "unknown"'), 1)
            self.assertNotIn(b"wxyz", answer)

        self.run_edge(scenario)

    def test_idle_connection_is_closed_without_a_response(self):
        self.assertEqual(self.ask(b""), b"")

    def test_chunked_body_over_the_limit_is_cut_off(self):
        head = get(b"/labels", b"Transfer-Encoding: chunked\r\n", b"POST")
        chunk = b"2000\r\n" + b"x" * 0x2000 + b"\r\n"
        answer = self.ask(head + chunk * 40)
        self.assertTrue(answer.startswith(b"HTTP/1.1 413 "), answer[:200])
        self.assertIn(b'"unknown"', answer)
        self.assertEqual(self.edge.permits.returns[0].outcome, "unknown")

    def test_bodies_arrive_whole(self):
        body = b"0123456789" * 5000
        chunks = b"".join(
            b"%x\r\n%s\r\n" % (len(p), p)
            for p in (body[:7], body[7:30000], body[30000:])
        )
        sized = b"Content-Length: %d\r\n" % len(body)
        coded = b"Transfer-Encoding: chunked\r\n"
        trailers = b"0\r\nX-Sum: 1\r\nX-End: 2\r\n\r\n"
        for extra, data in (
            (sized, body),
            (coded, chunks + b"0\r\n\r\n"),
            (coded, chunks + trailers),
        ):
            answer = self.ask(get(b"/labels", CLOSE + extra, b"POST") + data)
            self.assertTrue(answer.endswith(body), answer[:300])
            self.assertEqual(self.edge.targets[0].bodies, [body])

    def test_head_response_has_a_length_and_no_body(self):
        answer = self.ask(get(extra=CLOSE, method=b"HEAD"))
        self.assertIn(b"Content-Length: 10\r\n", answer)
        self.assertTrue(answer.endswith(b"\r\n\r\n"))

    def test_continue_is_sent_only_to_an_admitted_request(self):
        async def scenario(edge):
            extra = CLOSE + b"Expect: 100-continue\r\nContent-Length: 3\r\n"
            stream = await edge.connect()
            await stream.send_all(get(b"/labels", extra, b"POST"))
            self.assertEqual(await stream.receive_some(100), b"HTTP/1.1 100 \r\n\r\n")
            await stream.send_all(b"abc")
            self.assertIn(b"/labels abc", await read_to_end(stream))
            answer = await edge.ask(get(b"/none", extra, b"POST"))
            self.assertTrue(answer.startswith(b"HTTP/1.1 404 "), answer)

        self.run_edge(scenario)

    def test_connections_over_the_limit_are_closed_and_slots_come_back(self):
        async def scenario(edge):
            edge.server.connection_limit = 1
            first = await edge.connect()
            await first.send_all(get())
            await first.receive_some(1000)
            self.assertIn(await edge.ask(get()), (b"", b"<reset>"))
            await first.aclose()
            await trio.testing.wait_all_tasks_blocked()
            self.assertIn(b"HTTP/1.1 200", await edge.ask(get(extra=CLOSE)))

        self.run_edge(scenario)

    def test_withdrawn_api_key_fails_on_a_kept_connection(self):
        async def scenario(edge):
            stream = await edge.connect()
            await stream.send_all(get())
            self.assertIn(b" 200 ", await stream.receive_some(1000))
            edge.accounts.accounts_by_hash.clear()
            await stream.send_all(get(extra=CLOSE))
            self.assertIn(b" 401 ", await read_to_end(stream))

        self.run_edge(scenario)

    def test_longest_prefix_of_whole_segments_wins(self):
        async def scenario(edge):
            for path, service in (
                (b"/stock/reports/7", "drukwerk"),
                (b"/stock/reportsx", "winkel"),
            ):
                await edge.ask(get(path, CLOSE))
                self.assertEqual(edge.permits.requests[-1].service, service)
            self.assertIn(b" 404 ", await edge.ask(get(b"/stocks", CLOSE)))

        self.run_edge(scenario)

    def test_shutdown_finishes_requests_and_closes_idle_connections(self):
        async def scenario(edge):
            edge.targets[0].scripts.append(
                Script(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", delay=5.0)
            )
            idle, busy = await edge.connect(), await edge.connect()
            await busy.send_all(get())
            await edge.targets[0].seen.wait()
            failed = []
            await edge.server.close(lambda: failed.append(True))
            self.assertEqual(failed, [True])
            answer = await read_to_end(busy)
            self.assertTrue(answer.endswith(b"ok"))
            self.assertIn(b"Connection: close", answer)
            self.assertEqual(await read_to_end(idle), b"")
            with self.assertRaises(OSError):
                await edge.connect()

        self.run_edge(scenario)

    def test_shutdown_answers_requests_that_cannot_end_before_it(self):
        """Requests at silent targets, and later ones, got no answer at a stop."""

        async def scenario(edge):
            edge.targets[0].scripts.append(Script(then="hang"))
            busy, late = await edge.connect(), await edge.connect()
            await busy.send_all(get())
            await edge.targets[0].seen.wait()

            async def send_late():
                await late.send_all(b"GET")  # the connection is not idle
                await trio.sleep(3.0)
                await late.send_all(get()[3:])

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_late)
                await edge.server.close()
            self.assertIn(b"HTTP/1.1 504", await read_to_end(busy))
            answer = await read_to_end(late)
            self.assertIn(b"HTTP/1.1 503", answer)
            self.assertIn(b"not-run", answer)
            self.assertEqual(len(edge.targets[0].requests), 1)

        self.run_edge(scenario, grace_period=2.0, drain_timeout=4.0)

    def test_shutdown_refuses_a_request_whose_body_is_complete_late(self):
        """A request whose last byte came late was passed on and cut off."""

        async def scenario(edge):
            edge.targets[0].scripts.append(Script(then="hang"))
            stream = await edge.connect()
            await stream.send_all(get(b"/stock/k1", b"Content-Length: 4\r\n", b"POST"))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(edge.server.close)
                await trio.sleep(3.5)
                await stream.send_all(b"body")
                answer = await read_to_end(stream)
            self.assertIn(b"HTTP/1.1 503", answer)
            self.assertEqual(edge.targets[0].requests, [])

        self.run_edge(scenario, grace_period=2.0, drain_timeout=4.0)

    def test_shutdown_lets_a_response_use_the_time_for_the_last_ones(self):
        """A response in delivery was reset 0.2 s before the connections closed."""

        async def scenario(edge):
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab"
            edge.targets[0].scripts.append(Script(head, then="hang"))
            busy = await edge.connect()
            await busy.send_all(get())
            await edge.targets[0].seen.wait()

            async def finish():
                await trio.sleep(6.1)
                with suppress(trio.ClosedResourceError, trio.BrokenResourceError):
                    await edge.targets[0].last_stream.send_all(b"cd")

            async with trio.open_nursery() as nursery:
                nursery.start_soon(finish)
                nursery.start_soon(edge.server.close)
                answer = await read_to_end(busy)
            self.assertTrue(answer.endswith(b"abcd"), answer[-40:])
            self.assertEqual(edge.permits.returns[0].outcome, "answered")

        self.run_edge(scenario, grace_period=2.0, drain_timeout=4.0)

    def test_shutdown_sends_an_order_whose_outcome_is_not_confirmed(self):
        """It would wait for longer than until the connections close."""

        async def scenario(edge):
            edge.permits.give_back = lambda returned: trio.Event()
            body = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
            edge.targets[0].scripts.append(Script(body, delay=5.9))
            busy = await edge.connect()
            key = b"Content-Length: 0\r\nIdempotency-Key: order-1\r\n"
            await busy.send_all(get(extra=key, method=b"POST"))
            await edge.targets[0].seen.wait()
            began_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(edge.server.close)
                answer = await read_to_end(busy)
                nursery.cancel_scope.cancel()
            self.assertTrue(answer.endswith(b"ok"), answer)
            # The connections are closed 6.2 s after the signal.
            self.assertLess(trio.current_time() - began_at, 6.1)

        self.run_edge(scenario, grace_period=2.0, drain_timeout=4.0)

    def test_shutdown_does_not_extend_the_deadline_of_a_response(self):
        async def scenario(edge):
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab"
            edge.targets[0].scripts.append(Script(head, then="hang"))
            busy = await edge.connect()
            began_at = trio.current_time()
            await busy.send_all(get(extra=b"Fireflystand-Deadline-Ms: 3000\r\n"))
            await edge.targets[0].seen.wait()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(edge.server.close)
                answer = await read_to_end(busy)
                self.assertAlmostEqual(trio.current_time() - began_at, 3.0, delta=0.1)
            self.assertTrue(answer.endswith(b"ab<reset>"), answer[-40:])

        self.run_edge(scenario, grace_period=2.0, drain_timeout=4.0)

    def test_shutdown_answers_requests_that_arrived_just_before_it(self):
        """Connections that waited to be accepted, or to be read, were closed."""

        async def scenario(edge):
            host, _, port = edge.address.rpartition(":")
            address = (host, int(port))
            sockets = [socket.create_connection(address) for _ in range(5)]
            while edge.server.connections < len(sockets):
                await trio.testing.wait_all_tasks_blocked()

            def send_requests():
                # No other task runs meanwhile, as on a busy processor.
                sockets.extend(socket.create_connection(address) for _ in range(5))
                for caller in sockets:
                    caller.sendall(get())

            await edge.server.close(send_requests)
            for caller in sockets:
                caller = trio.socket.from_stdlib_socket(caller)
                answer = await read_to_end(trio.SocketStream(caller))
                self.assertIn(b"HTTP/1.1 200", answer)

        self.run_edge(scenario, grace_period=0.0)

    def test_shutdown_answers_requests_that_cross_the_close(self):
        """Requests that arrived while an idle connection was closed were dropped."""

        async def scenario(edge):
            host, _, port = edge.address.rpartition(":")
            sockets = [socket.create_connection((host, int(port))) for _ in range(5)]
            while edge.server.connections < len(sockets):
                await trio.testing.wait_all_tasks_blocked()

            def drain():
                # No other task runs between the decision and the requests.
                for connection in list(edge.server._connections):
                    connection.drain()
                for caller in sockets:
                    caller.sendall(get())

            drain()
            for caller in sockets:
                caller = trio.socket.from_stdlib_socket(caller)
                answer = await read_to_end(trio.SocketStream(caller))
                self.assertIn(b"HTTP/1.1 200", answer)
                self.assertIn(b"Connection: close", answer)

        self.run_edge(scenario)


if __name__ == "__main__":
    unittest.main()
