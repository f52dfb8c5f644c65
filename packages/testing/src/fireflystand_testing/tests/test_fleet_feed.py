"""Test the spread of configuration and API keys with real processes."""

import unittest

import cattrs
import trio

from fireflystand_router.http_client import HttpClient
from fireflystand_router.store import StoreClient
from fireflystand_testing.fleet import api_key_of, wait_until
from fireflystand_testing.scenarios import FleetTestCase, Load

IN_EFFECT = 7.0  # seconds, goal of the design page
WITHDRAWN = 5.0  # seconds, goal of the design page


async def apply_second(fleet) -> None:
    """Write generation 2 as the operators' command does."""
    store = StoreClient(fleet.store_address)
    generation = {"deployment": cattrs.unstructure(fleet.deployment)}
    key = "config/generations/second"
    await store.put(key, generation, 0)
    found = await store.get("config/current")
    pointer = {"generation": 2, "operation_id": "second", "object": key}
    await store.put("config/current", pointer, found.version)
    await store.close()


class FeedFleetTests(FleetTestCase):
    """Guard against changes that arrive late, are lost or go back."""

    def test_configuration_reaches_all_and_never_reverts(self):
        async def scenario(fleet):
            async def generations():
                states = [await fleet.state(r) for r in fleet.routers_by_id]
                return {state["generation"] for state in states}

            async def in_force():
                return await generations() == {2}

            load = Load(fleet, list(fleet.routers_by_id), rate=30)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run)
                fleet.cut_router("router-2", store=True, peers=False)
                await apply_second(fleet)
                await wait_until(in_force, IN_EFFECT, "generation 2 is in force")
                fleet.store.faults.replay = True
                for _ in range(30):
                    await trio.sleep(0.1)
                    self.assertEqual(await generations(), {2})
                fleet.store.faults.replay = False
                load.stop()
            self.assert_all_answered(load)

        self.run_fleet(scenario)

    def test_withdrawn_key_stops_on_an_open_connection(self):
        async def scenario(fleet):
            client = HttpClient(fleet.routers_by_id["router-1"].listen)
            fields = {"Authorization": f"Bearer {api_key_of('gent')}"}

            async def status():
                path = "/winkel/order-1"
                return (await client.request("GET", path, headers=fields)).status

            async def refused():
                self.assertTrue(client.connected)
                return await status() == 401

            self.assertEqual(await status(), 200)
            await fleet.withdraw_key("gent")
            await wait_until(refused, WITHDRAWN, "the API key stops working")
            for _ in range(20):
                self.assertEqual(await status(), 401)
                await trio.sleep(0.1)
            await client.close()

        self.run_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
