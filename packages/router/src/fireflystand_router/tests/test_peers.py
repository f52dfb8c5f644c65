"""Test the streams between instances."""

import unittest

import trio
import trio.testing

from fireflystand_core.messages import (
    Accepted,
    Hello,
    QuotaLease,
    QuotaRequest,
)
from fireflystand_router.peers import PeerNetwork, PeerUnavailableError


def hello(name: str) -> Hello:
    return Hello(name, "1", "namur-a", "127.0.0.1:0")


class PeerNetworkTests(unittest.TestCase):
    """Guard against lost replies and requests that hang on a dead peer."""

    def run_pair(self, scenario):
        async def main():
            async with trio.open_nursery() as nursery:
                first = PeerNetwork(hello("a"))
                second = PeerNetwork(hello("b"))
                await first.start(nursery)
                address = await second.start(nursery)
                first.set_address("b", address)
                with trio.fail_after(10):
                    await scenario(first, second)
                await first.close()
                await second.close()

        trio.run(main)

    def test_answers_match_requests_that_overtake_each_other(self):
        async def scenario(first, second):
            gate = trio.Event()

            async def lend(request, link):
                if request.tokens == 1:
                    await gate.wait()
                else:
                    gate.set()
                return QuotaLease(request.account, request.tokens, 1.0)

            second.set_handler(QuotaRequest, lend)
            replies = {}

            async def send_request(tokens):
                request = QuotaRequest("a", "gent", tokens)
                replies[tokens] = await first.request("b", request)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_request, 1)
                await trio.testing.wait_all_tasks_blocked(0.01)
                nursery.start_soon(send_request, 2)
            self.assertEqual(replies[1].tokens, 1)
            self.assertEqual(replies[2].tokens, 2)

        self.run_pair(scenario)

    def test_unhandled_message_is_acknowledged(self):
        async def scenario(first, second):
            reply = await first.request("b", QuotaRequest("a", "gent", 1))
            self.assertIsInstance(reply, Accepted)

        self.run_pair(scenario)

    def test_closed_peer_fails_the_request_at_once(self):
        async def scenario(first, second):
            arrived = trio.Event()

            async def never(request, link):
                arrived.set()
                await trio.sleep_forever()

            second.set_handler(QuotaRequest, never)

            async def send_request():
                with self.assertRaises(PeerUnavailableError) as caught:
                    await first.request("b", QuotaRequest("a", "gent", 1), 9.0)
                self.assertEqual(caught.exception.peer, "b")

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_request)
                await arrived.wait()
                await second.close()

        self.run_pair(scenario)

    def test_refused_connection_is_told_apart(self):
        async def scenario(first, second):
            await second.close()
            with self.assertRaises(PeerUnavailableError) as caught:
                await first.request("b", QuotaRequest("a", "gent", 1))
            self.assertTrue(caught.exception.refused)

        self.run_pair(scenario)


if __name__ == "__main__":
    unittest.main()
