"""Run one router instance."""

import json

import fire
import trio

from fireflystand_core.messages import Hello

from .http_client import ControlClient, split_address
from .peers import PeerNetwork
from .store import StoreClient
from .thin import ThinCoordinator, ThinEntry
from .view import ClusterView

__all__ = ["main"]


async def serve(
    instance: str,
    data_centre: str,
    listen: str,
    peer: str,
    store: str,
    instance_list: str,
) -> None:
    """Serve callers until cancelled."""
    async with trio.open_nursery() as nursery:
        client = StoreClient(store)
        network = PeerNetwork(Hello(instance, "1", data_centre, peer))
        coordinator = ThinCoordinator(client, network)
        await network.start(nursery)
        await _learn_peers(network, instance_list)
        view = await _load_view(client)
        holder = await coordinator.claim(view.deployment)
        if holder == instance:
            nursery.start_soon(coordinator.run)
        entry = ThinEntry(view, network, holder)
        host, port = split_address(listen)
        listeners = await trio.open_tcp_listeners(port, host=host)
        print(f"router {instance} serves {listen}, coordinator {holder}", flush=True)
        await trio.serve_listeners(entry.serve, listeners)


async def _learn_peers(network: PeerNetwork, address: str) -> None:
    client = ControlClient(address)
    for item in (await client.request("GET", "/instances")).json():
        network.set_address(item["id"], item["address"])
    await client.close()


async def _load_view(store: StoreClient) -> ClusterView:
    view = ClusterView()
    pointer = (await store.get("config/current")).value
    generation = (await store.get(pointer["object"])).value
    view.apply("config/deployment", json.dumps({**pointer, **generation}))
    for item in (await store.list("keys/")).items:
        view.apply(item.key, json.dumps(item.value))
    return view


def main() -> None:
    """Read the flags and serve."""
    fire.Fire(lambda **flags: trio.run(lambda: serve(**flags)))


if __name__ == "__main__":
    main()
