"""Test the probes and the state that an instance shows to operators."""

import json
import unittest

import trio

from fireflystand_router.health import HealthServer, Readiness
from fireflystand_testing.edge import read_to_end


class HealthTests(unittest.TestCase):
    """Guard against a stopping instance that still reports itself ready."""

    def exchange(self, *requests: bytes, readiness=None):
        responses = []

        async def main():
            server = HealthServer(
                readiness or Readiness(),
                state=lambda: {"groups": []},
                explain=lambda service, key: {"service": service, "key": key},
            )
            async with trio.open_nursery() as nursery:
                address = await server.start(nursery)
                port = int(address.rpartition(":")[2])
                for request in requests:
                    stream = await trio.open_tcp_stream("127.0.0.1", port)
                    await stream.send_all(request)
                    responses.append(await read_to_end(stream))
                await server.close()

        trio.run(main)
        return [
            (int(response.split()[1]), json.loads(response.partition(b"\r\n\r\n")[2]))
            for response in responses
        ]

    def get(self, path: str) -> bytes:
        return f"GET /fireflystand/v1/{path} HTTP/1.1\r\nHost: a\r\n\r\n".encode()

    def test_readiness_fails_while_liveness_holds(self):
        readiness = Readiness()
        self.assertEqual(
            self.exchange(self.get("ready"), readiness=readiness)[0][0], 200
        )
        readiness.stop()
        readiness.conditions_by_name["store"] = lambda: "not heard for 3 s"
        ready, live = self.exchange(
            self.get("ready"), self.get("live"), readiness=readiness
        )
        self.assertEqual(ready[0], 503)
        self.assertEqual(
            ready[1]["reasons"],
            {"stopping": "planned stop", "store": "not heard for 3 s"},
        )
        self.assertEqual(live[0], 200)

    def test_state_and_explain_come_from_the_callables(self):
        state, explain, missing = self.exchange(
            self.get("state"),
            self.get("explain?service=winkel&key=a%2Fb"),
            self.get("explain?service=winkel"),
        )
        self.assertEqual(state, (200, {"groups": []}))
        self.assertEqual(explain, (200, {"service": "winkel", "key": "a/b"}))
        self.assertEqual(missing[0], 400)

    def test_malformed_and_unknown_requests_are_refused(self):
        statuses = [
            status
            for status, _ in self.exchange(
                b"GET / HTTP/1.1\nHost: a\n\n",
                self.get("none"),
                self.get("live").replace(b"GET", b"PUT"),
            )
        ]
        self.assertEqual(statuses, [400, 404, 405])


if __name__ == "__main__":
    unittest.main()
