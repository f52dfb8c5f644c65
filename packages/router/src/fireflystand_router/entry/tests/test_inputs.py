"""Test the entry server with mutated requests that arrive in random pieces."""

import re
import unittest

import attrs
import trio
import trio.testing
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fireflystand_testing.edge import Edge, read_to_end

from .test_entry import AUTH

EXAMPLES = 2000

REQUEST_LINE = re.compile(rb"([!#-'*+\-.^-z|~0-9A-Z]+) ([!-~]+) HTTP/1\.([01])")
FIELD = re.compile(rb"([!#-'*+\-.^-z|~0-9A-Z]+):[ \t]*([\t -~\x80-\xff]*?)[ \t]*")
CHUNK = re.compile(rb"([0-9A-Fa-f]+)(?:;[\t -~]*)?\r\n")

HEAD = b" HTTP/1.1\r\nHost: a\r\n" + AUTH
SEEDS = [
    b"GET /stock/k1" + HEAD + b"\r\n",
    b"HEAD /stock/k2" + HEAD + b"\r\n",
    b"POST /labels" + HEAD + b"Content-Length: 5\r\n\r\nhello",
    b"POST /labels" + HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-Sum: 1\r\nX-End: 2\r\n\r\n",
    b"POST /labels"
    + HEAD
    + b"Content-Length: 25\r\n\r\nGET /x HTTP/1.1\r\nHost: b\r\n",
]
TOKENS = [
    b"\r\n",
    b"\n",
    b"\r",
    b"\r\n\r\n",
    b" ",
    b"\t",
    b"\x00",
    b"\x0b",
    b":",
    b"0",
    b"5",
    b"-1",
    b"0x5",
    b"Content-Length: 5\r\n",
    b"Content-Length: 6\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: identity\r\n",
    b"transfer-encoding : chunked\r\n",
    b"Connection: close\r\n",
    b"Connection: content-length\r\n",
    b"Expect: 100-continue\r\n",
    b" folded\r\n",
    b"0\r\n\r\n",
    b"HTTP/1.0",
]
HOST = re.compile(rb"Host: a\r\n")
FIELD_TOKENS = [token for token in TOKENS if len(token) > 2 and token.endswith(b"\r\n")]


@attrs.frozen
class ParseResult:
    """Hold the result of parsing by the grammar; ``bad`` marks a malformed end.

    ``partial`` is the method of a last request that is malformed or whose body is
    incomplete; such a request may be refused for its header section alone.
    """

    requests: list[tuple[bytes, bytes, bytes]]
    bad: bool
    partial: bytes = b""


def parse_by_grammar(data: bytes) -> ParseResult:
    """Parse a whole input by the grammar, independently of the code under test."""
    requests = []
    while data:
        head, end, rest = data.partition(b"\r\n\r\n")
        if not end:
            # An incomplete header section may already be malformed.
            malformed = data.startswith(b"\r\n") or re.search(rb"(?<!\r)\n", data)
            return ParseResult(requests, bool(malformed))
        lines = head.split(b"\r\n")
        first = REQUEST_LINE.fullmatch(lines[0])
        fields = [FIELD.fullmatch(line) for line in lines[1:]]
        if first is None or None in fields:
            return ParseResult(requests, True, first[1] if first else b"")
        body = read_body([(f[1].lower(), f[2]) for f in fields], rest, first[3])
        if not isinstance(body, tuple):
            return ParseResult(requests, body, first[1])
        requests.append((first[1], first[2], body[0]))
        data = body[1]
    return ParseResult(requests, False)


def read_body(fields, rest: bytes, minor: bytes) -> tuple[bytes, bytes] | bool:
    """Return body and remainder; else True if malformed, False if incomplete."""
    lengths = [value for name, value in fields if name == b"content-length"]
    codings = [value.lower() for name, value in fields if name == b"transfer-encoding"]
    if codings:
        if codings != [b"chunked"] or lengths or minor == b"0":
            return True
        return read_chunks(rest)
    if len(lengths) > 1 or not all(re.fullmatch(rb"\d+", n) for n in lengths):
        return True
    size = int(lengths[0]) if lengths else 0
    return (rest[:size], rest[size:]) if len(rest) >= size else False


def read_chunks(rest: bytes) -> tuple[bytes, bytes] | bool:
    """Return the decoded body and the remainder; else the same as read_body()."""
    body = b""
    while True:
        line = CHUNK.match(rest)
        if line is None:
            return b"\n" in rest
        size, rest = int(line[1], 16), rest[line.end() :]
        if size == 0:
            break
        body, after = body + rest[:size], rest[size:]
        if after[:2] != b"\r\n":
            return len(after) >= 2 or after[:1] not in (b"", b"\r")
        rest = after[2:]
    if rest.startswith(b"\r\n"):
        return body, rest[2:]
    trailers, end, after = rest.partition(b"\r\n\r\n")
    if not end:
        return b"\n" in rest
    if None in [FIELD.fullmatch(line) for line in trailers.split(b"\r\n")]:
        return True
    return body, after


@st.composite
def inputs(draw) -> list[bytes]:
    """Generate pipelined requests with a few mutations, cut into pieces."""
    seeds = st.lists(st.sampled_from(SEEDS), min_size=1, max_size=3)
    data = bytearray(b"".join(draw(seeds)))
    if draw(st.booleans()):
        # An added framing field is the likeliest cause of ambiguous framing.
        place = draw(st.sampled_from([m.end() for m in HOST.finditer(data)]))
        data[place:place] = draw(st.sampled_from(FIELD_TOKENS))
    for _ in range(draw(st.sampled_from([0, 0, 1, 1, 2, 3]))):
        starts = [m.end() for m in re.finditer(rb"\r\n", data)]
        places = st.sampled_from(starts) if starts else st.just(0)
        place = draw(st.one_of(places, st.integers(0, len(data))))
        removed = draw(st.sampled_from([0, 0, 1, 2, 9]))
        data[place : place + removed] = draw(st.sampled_from([b"", *TOKENS]))
    cuts = draw(st.lists(st.integers(0, len(data)), max_size=4))
    edges = [0, *sorted(cuts), len(data)]
    return [bytes(data[a:b]) for a, b in zip(edges, edges[1:], strict=False)]


async def exchange_pieces(pieces: list[bytes]):
    """Return the bytes from the entry server and the requests at the target."""
    edge = Edge()
    async with trio.open_nursery() as nursery:
        await edge.start(nursery)
        stream = await edge.connect()
        try:
            for piece in pieces:
                if piece:
                    await stream.send_all(piece)
                    await trio.testing.wait_all_tasks_blocked()
        except trio.BrokenResourceError:
            pass
        answer = await read_to_end(stream)
        await edge.forwarder.close()
        nursery.cancel_scope.cancel()
    target = edge.targets[0]
    received = [
        (request.method, request.target, body)
        for request, body in zip(target.requests, target.bodies, strict=True)
    ]
    return answer, received


class InputTests(unittest.TestCase):
    """Guard against requests that the server parses differently from the grammar."""

    @settings(
        max_examples=EXAMPLES,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(inputs())
    def test_one_reading_of_every_input(self, pieces):
        clock = trio.testing.MockClock(autojump_threshold=0)
        answer, received = trio.run(exchange_pieces, pieces, clock=clock)
        reading = parse_by_grammar(b"".join(pieces))
        self.check(answer.replace(b"HTTP/1.1 100 \r\n\r\n", b""), received, reading)

    def check(self, answer: bytes, received, reading: ParseResult):
        received = list(received)
        expected = list(reading.requests)
        while answer and answer != b"<reset>":
            head, _, rest = answer.partition(b"\r\n\r\n")
            status = int(head.split()[1])
            size = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
            request = expected.pop(0) if expected else None
            closes = b"connection: close" in head.lower()
            if status == 200:
                self.assertIsNotNone(request, "a response without a request")
                self.assertEqual(received.pop(0), request)
                text = b"" if request[0] == b"HEAD" else request[1] + b" " + request[2]
                self.assertTrue(rest.startswith(text), answer)
                answer = rest[len(text) :]
            else:
                self.assertIn(status, range(400, 500), answer)
                if request is None:
                    may_refuse = reading.bad or reading.partial or status == 408
                    self.assertTrue(may_refuse, answer)
                    self.assertTrue(closes, "a malformed request without a close")
                method = request[0] if request else reading.partial
                answer = rest if method == b"HEAD" else rest[size:]
            if closes:
                self.assertIn(answer, (b"", b"<reset>"))
        self.assertEqual(received, [], "a request without a response")


if __name__ == "__main__":
    unittest.main()
