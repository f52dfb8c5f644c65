"""Test instances between which the open connections go silent."""

import unittest

import trio

from ...tests.proxy_support import SilencingProxy
from ..ports import INSTANCES
from ..slots import responsible_for
from .node_support import Caller, Fleet, SharedStore, play_fleet

NODES = 4
DETECTION_TIME = 4.0  # seconds in which silent streams are closed


class ProxiedStore(SharedStore):
    """Give the address of a proxy as that of each instance."""

    def __init__(self, nursery: trio.Nursery) -> None:
        super().__init__()
        self._nursery = nursery
        self.proxies_by_instance: dict[str, SilencingProxy] = {}

    async def put(self, kind, name, value, version):
        if kind == INSTANCES:
            proxy = self.proxies_by_instance.get(name)
            if proxy is None:
                proxy = self.proxies_by_instance[name] = SilencingProxy()
                await proxy.start(self._nursery)
            proxy.destination = value["address"]
            value = value | {"address": proxy.address}
        return await super().put(kind, name, value, version)


class SilentStreamTests(unittest.TestCase):
    """Guard against a service that only its responsible instance serves (review/13).

    The streams to that instance had gone silent. Of a pair only the instance with the
    lower id sends heartbeats, and nothing closed the stream of the other one.
    """

    def test_services_are_served_at_all_instances_after_a_silence(self):
        async def scenario(fleet: Fleet):
            fleet.store = ProxiedStore(fleet.nursery)
            fleet.configure()
            await fleet.add_target("keyed")
            await fleet.add_target("pooled")
            for _ in range(NODES):
                await fleet.add_node()
            await fleet.settle()
            responsible = responsible_for(fleet.nodes[0].membership, "pooled", "")
            self.assertNotEqual(responsible, fleet.nodes[-1].membership.own_id)
            self.assertEqual(await self.statuses(fleet), [200] * 2 * NODES)

            for proxy in fleet.store.proxies_by_instance.values():
                proxy.silence()
            await self.statuses(fleet)
            await trio.sleep(DETECTION_TIME)
            self.assertEqual(await self.statuses(fleet), [200] * 2 * NODES)

        play_fleet(scenario)

    async def statuses(self, fleet: Fleet) -> list[int]:
        """Return the statuses of one request to each service at each instance."""
        statuses = []

        async def send(node, path: str) -> None:
            caller = await Caller.connect(node)
            status, _ = await caller.request(path)
            statuses.append(status)
            await caller.close()

        async with trio.open_nursery() as nursery:
            for node in fleet.nodes:
                for path in ("/p/x", "/k/x"):
                    nursery.start_soon(send, node, path)
        return statuses


if __name__ == "__main__":
    unittest.main()
