"""Test the outcomes that callers get when targets, permits or callers fail."""

import json
import unittest

import trio

from fireflystand_core.journal import scope_of
from fireflystand_core.messages import Permit, PermitRefused, StoredAnswer
from fireflystand_router.entry.interfaces import QuotaRefusal
from fireflystand_testing.edge import API_KEY, Script, read_to_end

from .test_entry import AUTH, CLOSE, EdgeTestCase, get

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
NOT_RUN = b"\r\nFireflystand-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
SHED = b"HTTP/1.1 503 Busy" + NOT_RUN
STALE = b"HTTP/1.1 421 Moved" + NOT_RUN
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def post(extra: bytes = b"", path: bytes = b"/labels") -> bytes:
    return get(path, CLOSE + extra + b"Content-Length: 1\r\n", b"POST") + b"x"


BROKEN_HEADS = {
    "closed before the request": Script(close_before=True),
    "closed inside the request": Script(close_after_bytes=20),
    "closed after the request": Script(then="close"),
    "closed inside the status line": Script(b"HTTP/1.1 2", then="close"),
    "closed inside the fields": Script(b"HTTP/1.1 200 OK\r\nX: ", then="close"),
    "no length": Script(b"HTTP/1.1 200 OK\r\n\r\nhello", then="close"),
    "two lengths": Script(OK[:-2] + b"Content-Length: 5\r\n\r\nhello"),
    "length and chunked": Script(
        OK[:-2] + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "not HTTP": Script(b"SSH-2.0-x\r\n\r\n", then="close"),
    "bare LF": Script(b"HTTP/1.1 200 OK\nContent-Length: 0\n\n", then="close"),
    "switch of protocols": Script(b"HTTP/1.1 101 X\r\n\r\n", then="close"),
    "endless informational": Script(b"HTTP/1.1 103 X\r\n\r\n" * 20, then="close"),
    "another request's id": Script(
        OK[:-2] + b"Fireflystand-Request-Id: other-0\r\n\r\nhello"
    ),
}
BROKEN_BODIES = {
    "shorter than declared": Script(OK + b"hel", then="close"),
    "longer than declared": Script(OK + b"hello world"),
    "bad chunk size": Script(CHUNKED + b"zz\r\nhello\r\n"),
    "chunk longer than its size": Script(CHUNKED + b"2\r\nhello\r\n0\r\n\r\n"),
    "no last chunk": Script(CHUNKED + b"5\r\nhello\r\n", then="close"),
    "bytes after the last chunk": Script(CHUNKED + b"0\r\n\r\nHTTP/1.1 200 OK\r\n"),
}


def is_complete(answer: bytes) -> bool:
    """Tell whether a response has the end that its head announces."""
    head, _, body = answer.partition(b"\r\n\r\n")
    if b"chunked" in head:
        return body.endswith(b"0\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    return len(body) >= length and not answer.endswith(b"<reset>")


class OutcomeTests(EdgeTestCase):
    """Guard against wrong outcomes, repeated runs and responses mixed up."""

    def status_and_outcome(self, answer: bytes) -> tuple[int, str]:
        body = json.loads(answer.partition(b"\r\n\r\n")[2])
        return int(answer.split()[1]), body["outcome"]

    async def returns_of(self, edge, count: int):
        while len(edge.permits.returns) < count:
            await trio.sleep(0.001)
        return edge.permits.returns

    def test_irregular_head_is_unknown_and_runs_once(self):
        for name, script in BROKEN_HEADS.items():

            async def scenario(edge, script=script):
                edge.targets[0].scripts.append(script)
                answer = await edge.ask(post())
                self.assertEqual(self.status_and_outcome(answer), (502, "unknown"))
                returned = edge.permits.returns
                self.assertEqual([r.outcome for r in returned], ["unknown"])
                self.assertTrue(returned[0].broken)
                self.assertLessEqual(len(edge.targets[0].requests), 1)

            with self.subTest(name):
                self.run_edge(scenario)

    def test_idempotent_request_is_sent_again_after_an_irregular_head(self):
        for name, script in BROKEN_HEADS.items():

            async def scenario(edge, script=script):
                edge.targets[0].scripts.append(script)
                answer = await edge.ask(get(extra=CLOSE))
                self.assertTrue(answer.endswith(b"/stock/k1 "), answer)
                outcomes = [r.outcome for r in edge.permits.returns]
                self.assertEqual(outcomes, ["unknown", "answered"])

            with self.subTest(name):
                self.run_edge(scenario)

    def test_broken_body_is_never_complete_and_its_connection_not_reused(self):
        for name, script in BROKEN_BODIES.items():

            async def scenario(edge, script=script):
                edge.targets[0].scripts.append(script)
                answer = await edge.ask(get())
                if answer.startswith(b"HTTP/1.1 502 "):
                    body = json.loads(answer.partition(b"\r\n\r\n")[2])
                    self.assertEqual(body["outcome"], "unknown")
                elif answer != b"<reset>":
                    self.assertFalse(is_complete(answer), answer)
                self.assertEqual(edge.permits.returns[0].outcome, "unknown")
                answer = await edge.ask(get(b"/stock/k2", CLOSE))
                self.assertTrue(answer.endswith(b"/stock/k2 "), answer)
                self.assertEqual(edge.targets[0].connections, 2)

            with self.subTest(name):
                self.run_edge(scenario)

    def test_response_cut_at_every_byte_is_never_complete(self):
        whole = OK + b"hello"
        coded = CHUNKED + b"5\r\nhello\r\n0\r\n\r\n"

        async def scenario(edge):
            for response in (whole, coded):
                for size in range(len(response)):
                    edge.targets[0].scripts.append(
                        Script(response[:size], then="close")
                    )
                    answer = await edge.ask(post())
                    returned = edge.permits.returns[-1]
                    self.assertEqual(returned.outcome, "unknown", size)
                    if not answer.startswith(b"HTTP/1.1 502"):
                        self.assertTrue(answer.endswith(b"<reset>"), answer)

        self.run_edge(scenario)

    def test_early_response_ends_the_upload_and_the_connection(self):
        async def scenario(edge):
            edge.targets[0].scripts.append(Script(OK + b"hello", early=True))
            size = b"Content-Length: 90000\r\n"
            stream = await edge.connect()
            await stream.send_all(get(b"/labels", size, b"POST") + b"x" * 20000)
            answer = await read_to_end(stream)
            self.assertTrue(answer.endswith(b"hello"), answer)
            self.assertIn(b"Connection: close", answer)
            pools = edge.forwarder.pools_by_address.values()
            self.assertEqual([(p.idle, p.in_use) for p in pools], [(0, 0)])

        self.run_edge(scenario)

    def test_late_extra_response_reaches_nobody(self):
        async def scenario(edge):
            target = edge.targets[0]
            answer = await edge.ask(get(extra=CLOSE))
            self.assertTrue(answer.endswith(b"/stock/k1 "))
            pool = next(iter(edge.forwarder.pools_by_address.values()))
            self.assertEqual(pool.idle, 1)
            await target.last_stream.send_all(OK + b"stale")
            answer = await edge.ask(get(b"/stock/k2", CLOSE))
            self.assertTrue(answer.endswith(b"/stock/k2 "), answer)
            self.assertEqual(target.connections, 2)

        self.run_edge(scenario)

    def test_regular_connection_is_reused(self):
        async def scenario(edge):
            answer = await edge.ask(get() + get(extra=CLOSE))
            self.assertEqual(answer.count(b"HTTP/1.1 200"), 2)
            self.assertEqual(edge.targets[0].connections, 1)

        self.run_edge(scenario)

    def test_not_run_is_sent_again_even_if_not_idempotent(self):
        for script, flag in ((SHED, "shed"), (STALE, "stale")):

            async def scenario(edge, script=script, flag=flag):
                edge.targets[0].scripts.append(Script(script))
                answer = await edge.ask(post())
                self.assertTrue(answer.endswith(b"/labels x"), answer)
                first = edge.permits.returns[0]
                self.assertEqual(first.outcome, "not-run")
                self.assertTrue(getattr(first, flag))
                self.assertEqual([p.attempt for p in edge.permits.requests], [0, 1])

            with self.subTest(flag):
                self.run_edge(scenario)

    def test_wave_of_421_is_bounded_by_the_deadline_only(self):
        async def wave(edge):
            # More than the retry budget of 10 and the attempt limit allow.
            edge.targets[0].scripts += [Script(STALE)] * 14
            answer = await edge.ask(post())
            self.assertTrue(answer.endswith(b"/labels x"), answer)
            free_retry = [p.free_retry for p in edge.permits.requests]
            self.assertEqual(free_retry, [False, *[True] * 14])

        async def endless(edge):
            edge.targets[0].scripts += [Script(STALE)] * 10_000
            answer = await edge.ask(post(b"Fireflystand-Deadline-Ms: 500\r\n"))
            self.assertEqual(self.status_and_outcome(answer), (503, "not-run"))

        async def shed(edge):
            edge.targets[0].scripts += [Script(SHED)] * 14
            answer = await edge.ask(post())
            self.assertEqual(self.status_and_outcome(answer), (503, "not-run"))
            self.assertEqual(len(edge.permits.requests), 5)

        for scenario in (wave, endless, shed):
            self.run_edge(scenario)

    def test_routing_key_of_the_field_reaches_the_target(self):
        async def scenario(edge):
            key = b"Fireflystand-Routing-Key: d\xc3\xa9p\xc3\xb4t 8\r\n"
            await edge.ask(get(b"/orders", key + CLOSE))
            # This route takes the key from the path and ignores the caller's field.
            await edge.ask(get(b"/stock/k1", key + CLOSE))
            found = [
                dict(request.headers).get(b"fireflystand-routing-key")
                for request in edge.targets[0].requests
            ]
            self.assertEqual(found, [b"d\xc3\xa9p\xc3\xb4t 8", None])

        self.run_edge(scenario)

    def test_refused_connection_and_late_permit_are_not_run(self):
        async def refused(edge):
            edge.permits.addresses[:] = ["127.0.0.1:1"]
            answer = await edge.ask(post())
            self.assertEqual(self.status_and_outcome(answer), (503, "not-run"))
            self.assertTrue(all(r.refused for r in edge.permits.returns))

        async def late(edge):
            edge.permits.send_within = -1.0
            answer = await edge.ask(post())
            self.assertEqual(self.status_and_outcome(answer), (503, "not-run"))
            self.assertEqual(edge.targets[0].requests, [])

        self.run_edge(refused)
        self.run_edge(late)

    def test_503_without_the_outcome_field_is_an_answer(self):
        async def scenario(edge):
            response = b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno"
            edge.targets[0].scripts.append(Script(response))
            answer = await edge.ask(post())
            self.assertIn(b"Fireflystand-Outcome: answered", answer)
            self.assertEqual(len(edge.permits.requests), 1)

        self.run_edge(scenario)

    def test_not_run_is_not_said_after_an_attempt_that_may_have_run(self):
        async def scenario(edge):
            edge.targets[0].scripts.append(Script(then="close"))
            permit = Permit("p", "t", edge.permits.addresses[0], 7, 5.0)
            edge.permits.answers = [permit, PermitRefused("not-run", "full")]
            answer = await edge.ask(get(extra=CLOSE))
            self.assertEqual(self.status_and_outcome(answer), (502, "unknown"))

        self.run_edge(scenario)

    def test_passed_deadline_is_unknown_once_a_request_was_sent(self):
        async def sent(edge):
            edge.targets[0].scripts.append(Script(then="hang"))
            answer = await edge.ask(post(b"Fireflystand-Deadline-Ms: 200\r\n"))
            self.assertEqual(self.status_and_outcome(answer), (504, "unknown"))
            await edge.targets[0].cancel_seen.wait()
            # Each attempt has an id of its own at the target.
            attempt_id = f"{edge.permits.requests[0].request_id}-0"
            self.assertEqual(edge.targets[0].cancelled, [attempt_id])

        async def waiting(edge):
            edge.permits.acquire = lambda request: trio.sleep_forever()
            answer = await edge.ask(post())
            self.assertEqual(self.status_and_outcome(answer), (503, "not-run"))

        async def repeated(edge):
            # The coordinator may delay the repeat while the first request runs.
            edge.permits.acquire = lambda request: trio.sleep_forever()
            answer = await edge.ask(post(b"Idempotency-Key: k\r\n"))
            self.assertEqual(self.status_and_outcome(answer), (504, "unknown"))

        self.run_edge(sent)
        self.run_edge(waiting)
        self.run_edge(repeated)

    def test_scope_of_an_idempotency_key_includes_the_routing_key(self):
        async def scenario(edge):
            for key in (b"a", b"b", b"a"):
                fields = b"Fireflystand-Routing-Key: " + key + b"\r\n"
                await edge.ask(post(fields + b"Idempotency-Key: k\r\n"))
            scopes = [scope_of(request) for request in edge.permits.requests]
            self.assertEqual(scopes[0], scopes[2])
            self.assertNotEqual(scopes[0], scopes[1])

        self.run_edge(scenario)

    def test_answer_to_an_order_is_complete_once_its_outcome_is_durable(self):
        async def scenario(edge):
            edge.permits.return_accepted = trio.Event()
            stream = await edge.connect()
            await stream.send_all(post(b"Idempotency-Key: k\r\n"))
            await self.returns_of(edge, 1)
            received = b""
            with trio.move_on_after(0.1):
                while part := await stream.receive_some():
                    received += part
            self.assertNotIn(b"/labels x", received)
            edge.permits.return_accepted.set()
            received += await read_to_end(stream)
            self.assertTrue(received.endswith(b"/labels x"), received)

        self.run_edge(scenario)

    def test_quota_refusal_and_quota_wait(self):
        async def refused(edge):
            edge.quotas.refused = QuotaRefusal(2.5)
            answer = await edge.ask(get(extra=CLOSE))
            self.assertEqual(self.status_and_outcome(answer), (429, "not-run"))
            self.assertIn(b"Retry-After: 3\r\n", answer)

        async def waiting(edge):
            edge.quotas.take = lambda account, deadline: trio.sleep_forever()
            answer = await edge.ask(get(extra=CLOSE))
            self.assertEqual(self.status_and_outcome(answer), (429, "not-run"))

        self.run_edge(refused)
        self.run_edge(waiting)

    def test_departed_caller_cancels_at_the_target(self):
        async def scenario(edge):
            target = edge.targets[0]
            target.scripts.append(Script(then="hang"))
            stream = await edge.connect()
            await stream.send_all(post())
            await target.seen.wait()
            await stream.aclose()
            await target.cancel_seen.wait()
            self.assertEqual(len(target.cancelled), 1)
            returned = (await self.returns_of(edge, 1))[0]
            # The target acknowledged the cancellation, so its slot is free at once.
            self.assertEqual((returned.outcome, returned.ended), ("unknown", True))
            target.release.set()
            answer = await edge.ask(get(b"/stock/k2", CLOSE))
            self.assertTrue(answer.endswith(b"/stock/k2 "))

        self.run_edge(scenario)

    def test_hedge_wins_and_the_loser_is_cancelled(self):
        async def scenario(edge):
            edge.permits.hedge_after = 0.05
            edge.targets[0].scripts.append(Script(then="hang"))
            answer = await edge.ask(get(b"/labels", CLOSE))
            self.assertTrue(answer.endswith(b"/labels "), answer)
            await edge.targets[0].cancel_seen.wait()
            first, second = edge.permits.requests
            self.assertEqual(second.hedge_of, first.request_id)
            returns = await self.returns_of(edge, 2)
            outcomes = {r.permit_id: (r.outcome, r.ended) for r in returns}
            expected = {"p0": ("unknown", True), "p1": ("answered", False)}
            self.assertEqual(outcomes, expected)

        self.run_edge(scenario, targets=2)

    def test_simultaneous_responses_leave_no_connection_in_use(self):
        async def scenario(edge):
            edge.permits.hedge_after = 0.5
            for target, delay in zip(edge.targets, (1.0, 0.5), strict=True):
                target.scripts.append(Script(OK + b"hello", delay=delay))
            answer = await edge.ask(get(b"/labels", CLOSE))
            self.assertTrue(answer.endswith(b"hello"), answer)
            self.assertEqual(len(await self.returns_of(edge, 2)), 2)
            pools = edge.forwarder.pools_by_address.values()
            self.assertEqual([pool.in_use for pool in pools], [0, 0])

        self.run_edge(scenario, targets=2)

    def test_answer_is_kept_for_repeats_and_replayed(self):
        async def scenario(edge):
            key = b"Idempotency-Key: k-1\r\n"
            await edge.ask(post(key))
            kept = edge.permits.returns[0].answer
            self.assertEqual((kept.status, kept.body), (200, b"/labels x"))
            edge.permits.answers = [PermitRefused("answered", "repeat", replay=kept)]
            answer = await edge.ask(post(key))
            self.assertTrue(answer.endswith(b"/labels x"), answer)
            self.assertEqual(len(edge.targets[0].requests), 1)
            size = 65537
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
            edge.targets[0].scripts.append(Script(head + b"x" * size))
            await edge.ask(post(key))
            self.assertIsNone(edge.permits.returns[-1].answer)
            self.assertIsInstance(kept, StoredAnswer)

        self.run_edge(scenario)

    def test_api_key_is_in_no_log_line(self):
        async def scenario(edge):
            edge.targets[0].scripts += [Script(then="close"), Script(OK, then="close")]
            await edge.ask(post())
            await edge.ask(get(extra=CLOSE))
            await edge.ask(get(extra=b"X: a\r\n b\r\n"))
            for bad in (b"\r", b"\x0b", b"\x00", b" \x7f", b"\xff"):
                answer = await edge.ask(get().replace(b"\r\n\r\n", bad + b"\r\n\r\n"))
                self.assertNotIn(API_KEY.encode(), answer)
            self.assertIn('"event": 1020', edge.log.getvalue())
            self.assertNotIn(API_KEY, edge.log.getvalue())

        self.run_edge(scenario)

    def test_response_streams_before_it_is_complete(self):
        async def scenario(edge):
            edge.targets[0].scripts.append(Script(OK + b"he", then="hang"))
            stream = await edge.connect()
            await stream.send_all(get())
            received = b""
            while not received.endswith(b"he"):
                received += await stream.receive_some(1000)
            edge.targets[0].release.set()
            self.assertEqual(await read_to_end(stream), b"<reset>")

        self.run_edge(scenario)

    def test_http_1_0_caller_gets_no_chunks(self):
        async def scenario(edge):
            edge.targets[0].scripts.append(Script(CHUNKED + b"2\r\nhi\r\n0\r\n\r\n"))
            head = b"GET /stock/k HTTP/1.0\r\n" + AUTH + b"\r\n"
            answer = await edge.ask(head)
            self.assertTrue(answer.endswith(b"\r\n\r\nhi"), answer)

        self.run_edge(scenario)


if __name__ == "__main__":
    unittest.main()
