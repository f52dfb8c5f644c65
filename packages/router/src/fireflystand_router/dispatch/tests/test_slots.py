"""Test how instances request slots from the responsible instance."""

import unittest
from types import SimpleNamespace

import msgpack
import trio
import trio.testing

from fireflystand_core.messages import Decoder, SlotGrant, SlotRefusal, encode

from ...peers import PeerUnavailableError
from ..slots import MAX_CACHED_REFUSALS, MAX_USUAL_DELAY, AnswerDelay, SlotClient
from ..state import RoutingState


class RefusingPeer:
    """Refuse and count all slot requests, like a peer with full targets."""

    own_id = "a"
    incarnation = "incarnation"

    def __init__(self) -> None:
        self.request_count = 0
        self.network = self

    def responsible_instance(self, name: str, without=()) -> str:
        return "b"

    def strongest_instance(self, name: str, without=()) -> str:
        return "b"

    async def request(self, peer, message, timeout):
        self.request_count += 1
        return SlotRefusal("no room before the deadline", 0.5)


class RefusalMemoryTests(unittest.TestCase):
    """Guard against retry storms that send every slot request to the peer."""

    def test_storm_asks_once_and_urgent_requests_ask_for_themselves(self):
        peer = RefusingPeer()
        client = SlotClient(None, peer, None, "x")

        async def ask(priority=1, end_in=1.0, route="known"):
            now = trio.current_time()
            end = now + end_in
            answer = await client.acquire("s", "t1", priority, now, end, route)
            self.assertIsInstance(answer, SlotRefusal)

        async def main():
            for _ in range(20):
                await ask()
            self.assertEqual(peer.request_count, 1)
            await ask(priority=0)
            self.assertEqual(peer.request_count, 2)
            await ask(priority=0, end_in=2.0)
            self.assertEqual(peer.request_count, 3)
            await ask(priority=0, end_in=2.0, route="added")
            self.assertEqual(peer.request_count, 4)
            await trio.sleep(0.06)
            await ask()
            self.assertEqual(peer.request_count, 5)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_spread_time_is_no_longer_than_callers_honour(self):
        """A reused refusal exceeded the honoured third of the time by a quarter."""
        jitter = iter([0.0, 0.5, 1.0]).__next__
        table = SimpleNamespace(limits_by_capacity=True)
        state = SimpleNamespace(table=table)
        client = SlotClient(None, RefusingPeer(), state, "x", jitter=jitter)

        async def main():
            waits = []
            for _ in range(4):
                end = trio.current_time() + 1.2
                answer = await client.acquire("s", "t1", 1, end, end, "r")
                waits.append(answer.retry_after)
            self.assertLessEqual(max(waits[1:]), 0.4)
            self.assertEqual(len(set(waits[1:])), 3)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_refusals_of_former_routes_are_dropped(self):
        """Refusals were kept for each route and target that there had ever been."""
        client = SlotClient(None, RefusingPeer(), None, "x")

        async def main():
            for number in range(5 * MAX_CACHED_REFUSALS):
                now = trio.current_time()
                await client.acquire("s", "t1", 1, now, now + 1.0, f"r{number}")
                await trio.sleep(0.01)
            self.assertLessEqual(client.cached_refusal_count, MAX_CACHED_REFUSALS)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class UnreachablePeerTests(unittest.TestCase):
    """Guard against requests that each wait for a peer that cannot be reached."""

    def test_peer_that_failed_is_passed_over_for_a_while(self):
        class Peers(RefusingPeer):
            def responsible_instance(self, name, without=()):
                return next(peer for peer in "bc" if peer not in without)

            async def request(self, peer, message, timeout):
                asked.append(peer)
                if peer == "b":
                    await trio.sleep(0.2)
                    raise PeerUnavailableError("cut off", step="connect", peer=peer)
                return SlotGrant(1, "t1")

        asked: list[str] = []
        client = SlotClient(None, Peers(), None, "x")

        async def main():
            for _ in range(3):
                now = trio.current_time()
                slot = await client.acquire("s", "t1", 1, now, now + 2.0)
                self.assertEqual(slot.responsible, "c")
            self.assertEqual(asked, ["b", "c", "c", "c"])
            await trio.sleep(0.6)
            await client.acquire("s", "t1", 1, now, now + 9.0)
            self.assertEqual(asked[4:], ["b", "c"])

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class LateAnswerPeer(RefusingPeer):
    """Grant slots and answer late."""

    def __init__(self, answer: SlotGrant, waited: float, delay: float) -> None:
        super().__init__()
        self.answer = answer
        self.waited = waited  # seconds in the queue
        self.delay = delay  # seconds of the answer on its way

    async def request(self, peer, message, timeout):
        await trio.sleep(self.waited + self.delay)
        return self.answer


class SlotAgeTests(unittest.TestCase):
    """Guard against slots that look younger or older than they are."""

    def is_usable(
        self, answer: SlotGrant, *, waited=0.0, delay=0.0, held=0.0, clock=None
    ) -> bool:
        """Tell whether a slot may be used that was queued, sent and held so long."""
        usable = None
        peer = LateAnswerPeer(answer, waited, delay)
        state = RoutingState(None, None)
        client = SlotClient(None, peer, state, "x", clock=clock or trio.current_time)

        async def main():
            nonlocal usable
            now = trio.current_time()
            slot = await client.acquire("s", "t1", 1, now, now + 9.0)
            await trio.sleep(held)
            usable = client.check(slot)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return usable

    def test_time_in_the_queue_does_not_count(self):
        grant = SlotGrant(1, "t1", waited=3.0, cold=True)
        self.assertTrue(self.is_usable(grant, waited=3.0, delay=0.1, held=0.1))

    def test_time_on_the_way_and_after_it_count_together(self):
        grant = SlotGrant(1, "t1", waited=3.0, cold=True)
        for delay, held in ((0.6, 0.0), (0.0, 0.6), (0.3, 0.3)):
            with self.subTest(delay=delay, held=held):
                usable = self.is_usable(grant, waited=3.0, delay=delay, held=held)
                self.assertFalse(usable)

    def test_time_of_a_suspended_machine_counts(self):
        """Trio's clock stands still meanwhile."""
        times = iter((10.0, 10.0, 11.0, 11.0))
        grant = SlotGrant(1, "t1", waited=0.0, cold=True)
        self.assertFalse(self.is_usable(grant, clock=lambda: next(times)))

    def test_slots_of_warm_targets_and_of_earlier_builds_do_not_age(self):
        _, correlation, fields = msgpack.unpackb(encode(1, SlotGrant(1, "t1")))
        earlier = {"number": fields["number"], "target": fields["target"]}
        data = msgpack.packb(["slot-grant", correlation, earlier])
        (envelope,) = Decoder().feed(data)
        for grant in (envelope.message, SlotGrant(1, "t1", waited=0.0)):
            with self.subTest(grant):
                self.assertTrue(self.is_usable(grant, delay=3.0, held=3.0))


class AnswerDelayTests(unittest.TestCase):
    """Guard against freezes that are taken for slow links, and the other way round.

    Over a slow link no slot of a cold target would be used, and others lack them.
    """

    def test_second_slow_grant_shows_a_slow_link(self):
        delay = AnswerDelay()
        delay.record(10.0, 0.8, 10.8)
        self.assertEqual(delay.usual, 0.0)
        delay.record(10.8, 0.9, 11.7)
        self.assertEqual(delay.usual, 0.8)

    def test_grants_held_by_one_freeze_count_once(self):
        delay = AnswerDelay()
        delay.record(9.0, 0.01, 9.01)
        for number in range(20):
            delay.record(10.0 + 0.1 * number, 5.0 - 0.1 * number, 15.0)
        self.assertEqual(delay.usual, 0.01)
        delay.record(15.0, 0.02, 15.02)
        self.assertEqual(delay.usual, 0.02)

    def test_long_delay_is_not_usual(self):
        delay = AnswerDelay()
        delay.record(10.0, 5.0, 15.0)
        delay.record(15.0, 5.0, 20.0)
        self.assertEqual(delay.usual, MAX_USUAL_DELAY)


if __name__ == "__main__":
    unittest.main()
