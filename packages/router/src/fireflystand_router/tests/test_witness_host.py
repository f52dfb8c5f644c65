"""Test how an instance confirms the claims of others over real streams."""

import unittest
from unittest.mock import Mock

import trio

from fireflystand_core.membership import Witness
from fireflystand_core.messages import GroupClaim, Hello, Seal, WitnessRequest
from fireflystand_router.peers import PeerNetwork
from fireflystand_router.witness_host import WitnessHost

GROUP = ("winkel", 0)


class WitnessHostTests(unittest.TestCase):
    """Guard against confirmations after a seal and late suspicion."""

    def run_pair(self, scenario):
        async def main():
            async with trio.open_nursery() as nursery:
                first = PeerNetwork(Hello("a", "1", "namur-a", "127.0.0.1:0"))
                second = PeerNetwork(Hello("b", "7", "namur-b", "127.0.0.1:0"))
                host = WitnessHost(second, Witness("b", "7"))
                host.holder = Mock(active_coordinators=dict)
                await first.start(nursery)
                first.set_address("b", await second.start(nursery))
                host.start(nursery)
                with trio.fail_after(10):
                    await scenario(first, host.witness)
                nursery.cancel_scope.cancel()

        trio.run(main)

    async def ask(self, network, epoch, named="7"):
        claims = [GroupClaim(*GROUP, epoch)]
        return await network.request("b", WitnessRequest("a", "1", named, claims))

    def test_nothing_below_a_sealed_epoch_is_confirmed(self):
        async def scenario(network, witness):
            reply = await self.ask(network, 4)
            self.assertEqual([c.epoch for c in reply.confirmed], [4])
            sealed = await network.request("b", Seal(*GROUP, 5))
            self.assertGreaterEqual(sealed.confirmed_age, 0.0)
            reply = await self.ask(network, 4)
            self.assertEqual(reply.confirmed, [])
            self.assertEqual([c.epoch for c in reply.higher], [5])

        self.run_pair(scenario)

    def test_restarted_witness_confirms_nothing(self):
        async def scenario(network, witness):
            reply = await self.ask(network, 4, named="6")
            self.assertEqual((reply.confirmed, reply.higher), ([], []))

        self.run_pair(scenario)

    def test_broken_stream_is_suspected_at_once(self):
        async def scenario(network, witness):
            await self.ask(network, 4)
            self.assertEqual(witness.suspected(trio.current_time()), [])
            await network.close()
            while not witness.suspected(trio.current_time()):
                await trio.sleep(0.005)

        self.run_pair(scenario)

    def test_handed_over_group_is_not_suspected_when_its_old_stream_ends(self):
        async def scenario(network, witness):
            await self.ask(network, 4)
            lost, lose = [], witness.lose

            def note(*group):
                lose(*group)
                lost.append(group)

            witness.lose = note
            # The successor's claim arrives before the leaving instance ends.
            witness.expect(GROUP, 5, trio.current_time())
            await network.close()
            while not lost:
                await trio.sleep(0.005)
            self.assertEqual(witness.suspected(trio.current_time()), [])

        self.run_pair(scenario)


if __name__ == "__main__":
    unittest.main()
