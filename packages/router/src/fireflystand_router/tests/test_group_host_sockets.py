"""Test group hosts over real streams, store calls and target connections."""

import unittest
from unittest.mock import Mock

import trio

from fireflystand_core.configuration import (
    DataCentreSettings,
    Deployment,
    JournalSettings,
    ServiceSettings,
    TargetSettings,
)
from fireflystand_core.membership import Witness
from fireflystand_core.messages import Hello
from fireflystand_router.group_host import GroupHost, LiveInstance
from fireflystand_router.peers import PeerNetwork
from fireflystand_router.store import StoreClient
from fireflystand_router.view import ClusterView
from fireflystand_router.witness_host import WitnessHost
from fireflystand_testing.store import StoreServer
from fireflystand_testing.target import TargetOptions, TargetServer

NAMES = ("a", "b", "c", "d")
SHARDS = range(8)


class GroupHostSocketTests(unittest.TestCase):
    """Guard against parts that agree only with their fakes."""

    async def start(self, nursery):
        store = await StoreServer().start(nursery)
        self.servers = [TargetServer(TargetOptions(f"t{n}")) for n in range(2)]
        targets = {}
        for server in self.servers:
            address = await server.start(nursery)
            name = server.options.id
            targets[name] = TargetSettings(name, address, "namur-a", 3, 130)
        service = ServiceSettings("winkel", True, targets, 8, 1)
        centre = {"namur-a": DataCentreSettings("namur-a", "be-central")}
        deployment = Deployment(
            "test", centre, {"winkel": service}, {}, (), JournalSettings(0), 0
        )
        networks = {
            n: PeerNetwork(Hello(n, "1", "namur-a", "127.0.0.1:0")) for n in NAMES
        }
        addresses = {n: await net.start(nursery) for n, net in networks.items()}
        views = {n: ClusterView(deployment=deployment) for n in NAMES}

        def publish(key, version, text):
            for view in views.values():
                view.apply(key, text)

        live = {n: LiveInstance("1", "namur-a", True) for n in NAMES}
        self.hosts = {}
        for name, network in networks.items():
            for other, address in addresses.items():
                network.set_address(other, address)
            witnesses = WitnessHost(network, Witness(name, "1"))
            callbacks = Mock()
            callbacks.permits_pending.return_value = False
            callbacks.collect_state.return_value = {"desk": b"state"}
            host = GroupHost(
                network,
                StoreClient(store),
                views[name],
                witnesses,
                callbacks,
                publish,
                lambda: live,
            )
            self.hosts[name] = host
            witnesses.start(nursery)
            host.start(nursery)

    def owners(self):
        now = trio.current_time()
        for host in self.hosts.values():
            held = host.coordinator("winkel", 0)
            if held is not None and held.has_authority(now):
                return [held.owner_of(s << 61, s, now) for s in SHARDS]
        return [None]

    async def until(self, condition):
        while not condition(self.owners()):
            await trio.sleep(0.01)

    def test_claim_death_of_a_target_and_planned_stop(self):
        async def main():
            async with trio.open_nursery() as nursery:
                await self.start(nursery)
                with trio.fail_after(20):
                    await self.until(lambda owners: None not in owners)
                    await self.servers[0].close()
                    await self.until(
                        lambda owners: {o and o[0] for o in owners} == {"t1"}
                    )
                    first = next(
                        name
                        for name, host in self.hosts.items()
                        if host.coordinator("winkel", 0)
                    )
                    await self.hosts.pop(first).close()
                    await self.until(
                        lambda owners: {o and o[0] for o in owners} == {"t1"}
                    )
                nursery.cancel_scope.cancel()
            taker = next(h for h in self.hosts.values() if h.coordinator("winkel", 0))
            started = taker._callbacks.on_group_started.call_args.args
            self.assertEqual(started[3], {"desk": b"state"})

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
