"""Test the control connection to a target."""

import unittest

import trio

from fireflystand_core.groups import SendGrant
from fireflystand_router.target_control import TargetControl, TargetDiedError
from fireflystand_testing.http_server import HttpServer, json_reply

STATUS = {"incarnation": "1", "clock_ms": 5000, "state": "ready", "warm": 1.0}
GRANT = SendGrant("t1", 1, 3, 1, frozenset({0, 1, 5}), 6000.4)


class TargetControlTests(unittest.TestCase):
    """Guard against grants on another connection and against false deaths."""

    def run_target(self, scenario):
        async def main():
            received = []

            async def handle(request):
                if request.method == "GET":
                    return json_reply(200, STATUS)
                received.append((request.path, request.json()))
                if request.json()["epoch"] < 3:
                    return json_reply(409, {"epoch": 3})
                return json_reply(200, {**STATUS, **request.json()})

            async with trio.open_nursery() as nursery:
                server = HttpServer(handle)
                address = await server.start(nursery)
                control = TargetControl("t1", address)
                with trio.fail_after(5):
                    await scenario(control, server, received)
                await control.close()
                await server.close()

        trio.run(main)

    def test_grant_is_acknowledged(self):
        async def scenario(control, server, received):
            self.assertEqual((await control.status()).connection, 1)
            answer = await control.grant("winkel", 0, GRANT)
            self.assertTrue(answer.kept)
            path, body = received[0]
            self.assertEqual(path, "/fireflystand/grants/winkel/0")
            self.assertEqual(body["shards"], "0-1,5")

        self.run_target(scenario)

    def test_stale_grant_reports_the_higher_epoch(self):
        async def scenario(control, server, received):
            await control.status()
            stale = SendGrant("t1", 1, 2, 9, frozenset(), 6000)
            answer = await control.grant("winkel", 0, stale)
            self.assertEqual((answer.kept, answer.higher_epoch), (False, 3))

        self.run_target(scenario)

    def test_grant_for_another_connection_is_not_sent(self):
        async def scenario(control, server, received):
            self.assertIsNone(await control.grant("winkel", 0, GRANT))
            self.assertEqual(received, [])

        self.run_target(scenario)

    def test_refused_connection_is_evidence_of_death(self):
        async def scenario(control, server, received):
            await server.close()
            with self.assertRaises(TargetDiedError):
                await control.status()

        self.run_target(scenario)

    def test_refused_connection_is_no_evidence_while_another_is_open(self):
        async def scenario(control, server, received):
            await server.close()
            other = TargetControl("t1", control._client.address, lambda target: True)
            with self.assertRaises(Exception) as caught:
                await other.status()
            self.assertNotIsInstance(caught.exception, TargetDiedError)

        self.run_target(scenario)


if __name__ == "__main__":
    unittest.main()
