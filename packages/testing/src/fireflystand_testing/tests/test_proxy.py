"""Test the fault-injecting proxy."""

import unittest

import trio

from fireflystand_router.http_client import ConnectionFailedError, HttpClient
from fireflystand_testing.http_server import HttpServer, Reply
from fireflystand_testing.proxy import FaultProxy


class FaultProxyTests(unittest.TestCase):
    """Guard against a fault that is declared but not injected."""

    def run_proxy(self, scenario):
        async def handle(request):
            return Reply(200, {}, b"x" * 1000)

        async def main():
            async with trio.open_nursery() as nursery:
                server = HttpServer(handle)
                proxy = FaultProxy(await server.start(nursery))
                client = HttpClient(await proxy.start(nursery), timeout=0.3)
                with trio.fail_after(10):
                    await scenario(proxy, client)
                await client.close()
                await proxy.close()
                await server.close()
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_cut_keeps_bytes_back_until_it_heals(self):
        async def scenario(proxy, client):
            proxy.cut()
            with self.assertRaises(ConnectionFailedError) as caught:
                await client.request("GET", "/")
            self.assertFalse(caught.exception.refused)
            proxy.heal()
            response = await client.request("GET", "/", timeout=5.0)
            self.assertEqual(response.status, 200)

        self.run_proxy(scenario)

    def test_cut_of_the_way_back_only_loses_the_answer(self):
        async def scenario(proxy, client):
            proxy.set_faults(forward=False, cut=True)
            with self.assertRaises(ConnectionFailedError):
                await client.request("GET", "/")
            self.assertGreater(proxy.bytes_forwarded, 0)

        self.run_proxy(scenario)

    def test_refuse_and_accept(self):
        async def scenario(proxy, client):
            await proxy.refuse()
            with self.assertRaises(ConnectionFailedError) as caught:
                await client.request("GET", "/")
            self.assertTrue(caught.exception.refused)
            await proxy.accept()
            self.assertEqual((await client.request("GET", "/")).status, 200)

        self.run_proxy(scenario)

    def test_reset_within_the_answer(self):
        async def scenario(proxy, client):
            proxy.set_faults(forward=False, reset_after=300)
            with self.assertRaises(ConnectionFailedError):
                await client.request("GET", "/")

        self.run_proxy(scenario)


if __name__ == "__main__":
    unittest.main()
