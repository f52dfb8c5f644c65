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

from .proxy_support import SilencingProxy

DETECTION_TIME = 4.0  # seconds in which a silent stream is closed


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


class SilentStreamTests(unittest.TestCase):
    """Guard against streams that go silent for good and stay in use (review/13).

    Requests on them waited for their whole time, and other messages were lost.
    """

    def run_pair(self, scenario):
        async def main():
            async with trio.open_nursery() as nursery:
                first = PeerNetwork(hello("b"))
                second = PeerNetwork(hello("a"))
                proxy = SilencingProxy()
                await first.start(nursery)
                proxy.destination = await second.start(nursery)
                await proxy.start(nursery)
                first.set_address("a", proxy.address)
                with trio.fail_after(20):
                    await scenario(first, second, proxy)
                await first.close()
                await second.close()
                nursery.cancel_scope.cancel()

        trio.run(main)

    async def check_request_fails(self, first, before: float = 0.0) -> None:
        """Check that a request fails in time; ``before`` is until the silence."""
        with trio.fail_after(before + DETECTION_TIME):
            with self.assertRaises(PeerUnavailableError):
                await first.request("a", QuotaRequest("a", "gent", 1), None)

    async def check_served(self, first) -> None:
        with trio.fail_after(1.0):
            reply = await first.request("a", QuotaRequest("a", "gent", 1), None)
        self.assertIsInstance(reply, Accepted)

    def test_request_fails_and_the_next_one_uses_a_new_stream(self):
        async def scenario(first, second, proxy):
            await self.check_served(first)
            proxy.silence()
            await self.check_request_fails(first)
            await self.check_served(first)

        self.run_pair(scenario)

    def test_stream_that_is_silent_one_way(self):
        async def scenario(first, second, proxy):
            for direction in ("to", "from"):
                await self.check_served(first)
                proxy.silence(direction)
                await self.check_request_fails(first)
            await self.check_served(first)

        self.run_pair(scenario)

    def test_stream_that_goes_silent_while_a_reply_takes_long(self):
        async def scenario(first, second, proxy):
            second.set_handler(QuotaRequest, wait_for_ever)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.check_request_fails, first, 1.2)
                await trio.sleep(1.2)
                proxy.silence()

        self.run_pair(scenario)

    def test_message_without_a_reply_shows_the_silence(self):
        async def scenario(first, second, proxy):
            await self.check_served(first)
            proxy.silence()
            first.send("a", QuotaRequest("a", "gent", 1))
            await trio.sleep(DETECTION_TIME)
            await self.check_served(first)

        self.run_pair(scenario)

    def test_link_of_a_silent_stream_ends_beside_its_successor(self):
        async def scenario(first, second, proxy):
            await self.check_served(first)
            link = second.links_by_id["b"]
            proxy.silence()
            await self.check_request_fails(first)
            await self.check_served(first)
            self.assertIsNot(second.links_by_id["b"], link)
            with trio.fail_after(2.0):
                await link.lost.wait()
            self.assertIn("b", second.links_by_id)
            await self.check_served(first)

        self.run_pair(scenario)

    def test_stream_with_a_late_reply_stays_open(self):
        async def scenario(first, second, proxy):
            async def lend(request, link):
                await trio.sleep(5.0)
                return QuotaLease(request.account, request.tokens, 1.0)

            second.set_handler(QuotaRequest, lend)
            await first.request("a", QuotaRequest("a", "gent", 1), None)
            self.assertEqual(proxy.connections, 1)

        self.run_pair(scenario)

    def test_idle_stream_carries_nothing(self):
        async def scenario(first, second, proxy):
            await self.check_served(first)
            first.send("a", QuotaRequest("a", "gent", 1), acknowledged=False)
            await trio.sleep(0.1)
            passed = proxy.bytes_passed
            await trio.sleep(DETECTION_TIME)
            self.assertEqual(proxy.bytes_passed, passed)

        self.run_pair(scenario)


async def wait_for_ever(request, link) -> None:
    """Handle a message without replying to it."""
    await trio.sleep_forever()


if __name__ == "__main__":
    unittest.main()
