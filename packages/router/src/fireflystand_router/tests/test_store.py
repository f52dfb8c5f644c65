"""Test the store client against the test store server."""

import unittest

import trio

from fireflystand_core.exceptions import StoreConflictError, StoreUnavailableError
from fireflystand_router.store import StoreClient
from fireflystand_testing.store import StoreServer


class StoreClientTests(unittest.TestCase):
    """Guard against lost updates and changes that a watch omits."""

    def run_store(self, scenario):
        async def main():
            async with trio.open_nursery() as nursery:
                server = StoreServer()
                client = StoreClient(await server.start(nursery))
                with trio.fail_after(10):
                    await scenario(client, server)
                await client.close()
                await server.close()

        trio.run(main)

    def test_conditional_update(self):
        async def scenario(client, server):
            version = await client.put("groups/winkel/0", {"epoch": 1}, 0)
            with self.assertRaises(StoreConflictError):
                await client.put("groups/winkel/0", {"epoch": 1}, 0)
            await client.put("groups/winkel/0", {"epoch": 2}, version)
            found = await client.get("groups/winkel/0")
            self.assertEqual(found.value, {"epoch": 2})
            await client.delete("groups/winkel/0", found.version)
            self.assertIsNone(await client.get("groups/winkel/0"))

        self.run_store(scenario)

    def test_watch_returns_every_change_since_the_list(self):
        async def scenario(client, server):
            await client.put("keys/a", 1, 0)
            snapshot = await client.list("keys/")
            version = await client.put("keys/b", 2, 0)
            await client.delete("keys/b", version)
            changes = await client.watch("keys/", snapshot.revision, 1.0)
            self.assertEqual([item.value for item in changes.items], [2, None])

        self.run_store(scenario)

    def test_lost_answer_is_unavailable_although_the_write_took_effect(self):
        async def scenario(client, server):
            server.faults.drop_put_replies = 1
            with self.assertRaises(StoreUnavailableError):
                await client.put("config/current", {"operation_id": "x"}, 0)
            found = await client.get("config/current")
            self.assertEqual(found.value["operation_id"], "x")

        self.run_store(scenario)

    def test_call_over_the_rate_is_unavailable(self):
        async def scenario(client, server):
            server.write_rate = 1
            await client.put("a", 1, 0)
            with self.assertRaises(StoreUnavailableError):
                await client.put("b", 1, 0)

        self.run_store(scenario)


if __name__ == "__main__":
    unittest.main()
