"""Run scenarios of operators against a test store and test instances."""

import tempfile
import unittest
from functools import partial
from pathlib import Path

import trio

from fireflystand_core.exceptions import StoreUnavailableError
from fireflystand_operator.changes import Author
from fireflystand_operator.configuration import apply
from fireflystand_operator.context import Context, WaitOptions
from fireflystand_operator.instances import InstancesClient
from fireflystand_router.store import StoreClient
from fireflystand_testing.http_server import HttpServer, json_reply
from fireflystand_testing.store import StoreServer

BASE = """\
name: shop
data_centres:
  - {name: north, region: land}
  - {name: south, region: land}
services:
  - name: stock
    keyed: true
    target_defaults: {slots: 2, connections: 10}
    targets:
      - {name: s1, address: '10.0.0.1:80', data_centre: north}
      - {name: s2, address: '10.0.0.2:80', data_centre: south}
accounts:
  - {name: tills, rate: 200 per s, burst: 400, services: [stock]}
routes:
  - {path: /stock, service: stock}
"""
NO_WAIT = WaitOptions()


class InterposingStore(StoreClient):
    """Run another change after the reads and before the first write of a command."""

    def __init__(self, address, prefix, other):
        super().__init__(address)
        self.prefix = prefix
        self.other = other

    async def put(self, key, value, expected_version):
        if key.startswith(self.prefix) and self.other is not None:
            other, self.other = self.other, None
            await other()
        return await super().put(key, value, expected_version)


class LosingStore(InterposingStore):
    """Lose the response to the first write, after another change has followed it."""

    async def put(self, key, value, expected_version):
        if not key.startswith(self.prefix) or self.other is None:
            return await super().put(key, value, expected_version)
        other, self.other = self.other, None
        await super().put(key, value, expected_version)
        await other()
        raise StoreUnavailableError("response lost", step="put", peer=self.address)


class FakeInstances:
    """Serve an instance list, and the reports of each instance on its own server."""

    def __init__(self, nursery):
        self.states_by_id = {}
        self.addresses_by_id = {}
        self.nursery = nursery

    async def start(self):
        self.address = await HttpServer(self.list).start(self.nursery)

    async def add(self, name, generation=0, feed_revision=0, **fields):
        self.states_by_id[name] = {
            "instance": name,
            "data_centre": "north",
            "generation": generation,
            "feed_revision": feed_revision,
            "admitting": True,
            "groups": [],
            **fields,
        }
        if name not in self.addresses_by_id:
            server = HttpServer(partial(self.report, name))
            self.addresses_by_id[name] = await server.start(self.nursery)

    async def list(self, request):
        return json_reply(200, [self.listed(name) for name in self.states_by_id])

    async def report(self, name, request):
        if request.path == "/fireflystand/v1/explain":
            return json_reply(200, {"shard": 7, "group": 0, **request.query})
        state = self.states_by_id[name]
        return json_reply(200 if state["generation"] >= 0 else 503, state)

    def listed(self, name):
        return {
            "id": name,
            "address": "127.0.0.1:1",
            "health_address": self.addresses_by_id[name],
            "data_centre": "north",
            "state": "live",
        }


class TestEnvironment:
    """Hold the test servers and the contexts of the operators."""

    def __init__(self, server, address, instances, folder):
        self.server = server
        self.address = address
        self.instances = instances
        self.folder = folder
        self.stores = []

    def context(self, store=None):
        store = store or StoreClient(self.address)
        self.stores.append(store)
        return Context(store, InstancesClient(self.instances.address))

    def interposing(self, prefix, other):
        return self.context(InterposingStore(self.address, prefix, other))

    def write(self, text, name="base.yaml"):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    async def apply(self, text=BASE, context=None, operation="", **options):
        author = Author("ana", "test", operation) if operation else Author("ana")
        path = self.write(text, f"{author.operation_id}.yaml")
        wait_options = options.pop("wait_options", NO_WAIT)
        context = context or self.context()
        return await apply(context, path, None, author, wait_options, **options)


def run_scenario(folder, scenario):
    """Run a scenario with new test servers."""

    async def main():
        async with trio.open_nursery() as nursery:
            server, instances = StoreServer(), FakeInstances(nursery)
            address = await server.start(nursery)
            await instances.start()
            with trio.fail_after(30):
                env = TestEnvironment(server, address, instances, folder)
                await scenario(env)
                for store in env.stores:
                    await store.close()
            nursery.cancel_scope.cancel()

    trio.run(main)


class EnvironmentTestCase(unittest.TestCase):
    """Run each scenario in its own temporary folder."""

    def run_scenario(self, scenario):
        with tempfile.TemporaryDirectory() as folder:
            run_scenario(Path(folder), scenario)
