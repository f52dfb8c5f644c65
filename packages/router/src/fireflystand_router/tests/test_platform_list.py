"""Test the client of the platform's list of instances."""

import unittest
from random import Random

import trio
import trio.testing

from fireflystand_core.membership import PeerEntry, PeerTable
from fireflystand_core.messages import Hello
from fireflystand_router.peers import PeerNetwork
from fireflystand_router.platform_list import PlatformList
from fireflystand_testing.instance_list import InstanceListServer


def list_item(name: str, state: str = "live") -> dict:
    return {
        "id": name,
        "address": f"{name}:1",
        "data_centre": "gent-a",
        "state": state,
    }


class PlatformListTests(unittest.TestCase):
    """Guard against removing peers when the list is stale or unavailable."""

    def test_list_adds_peers_and_a_failure_keeps_them(self):
        async def main():
            async with trio.open_nursery() as nursery:
                server = InstanceListServer(
                    [list_item("a"), list_item("b"), list_item("c", "leaving")]
                )
                address = await server.start(nursery)
                table = PeerTable(PeerEntry("a", "a:1", "gent-a"), Random(1))
                network = PeerNetwork(Hello("a", "1", "gent-a", "a:1"))
                platform = PlatformList(address, network, table)
                self.assertTrue(await platform.poll())
                self.assertEqual(network.addresses_by_id, {"b": "b:1", "c": "c:1"})
                self.assertEqual(table.live_ids(), ["a", "b"])
                await server.close()
                self.assertFalse(await platform.poll())
                self.assertEqual(sorted(table.peer_ids), ["b", "c"])
                await platform.close()
                nursery.cancel_scope.cancel()

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
