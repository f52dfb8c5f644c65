"""Run the whole path on loopback: stand-ins, targets and routers."""

import argparse
import hashlib
import json
import subprocess
import sys
import time

import attrs
import cattrs
import trio

from fireflystand_core.configuration import (
    AccountSettings,
    DataCentreSettings,
    Deployment,
    RouteSettings,
    ServiceSettings,
    TargetSettings,
)
from fireflystand_router.http_client import ControlClient, Response
from fireflystand_router.store import StoreClient

__all__ = ["main"]

API_KEY = "demo-key-of-winkel-gent"
DATA_CENTRES = ("namur-a", "gent-a")
ROUTERS = 3
TARGETS = 4
START_TIMEOUT = 15.0  # seconds


@attrs.define
class Processes:
    """Own the processes that the demo starts."""

    by_name: dict[str, subprocess.Popen] = attrs.field(factory=dict)

    def start(self, name: str, module: str, *arguments: str) -> str:
        """Start a module and return the address that it prints."""
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.by_name[name] = process
        line = process.stdout.readline()
        if not line:
            raise RuntimeError(f"{name} ended before it listened")
        return line.split()[1]

    def close(self) -> None:
        """End every process."""
        for process in self.by_name.values():
            process.terminate()
        for process in self.by_name.values():
            process.wait(10)


def demo_deployment(addresses: list[str]) -> Deployment:
    """Declare one keyed service in two data centres and one account."""
    targets = {}
    for number, address in enumerate(addresses, start=1):
        name = f"winkel-{number}"
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        targets[name] = TargetSettings(name, address, data_centre, 3, 130)
    return Deployment(
        name="demo",
        data_centres_by_id={d: DataCentreSettings(d, "be") for d in DATA_CENTRES},
        services_by_id={"winkel": ServiceSettings("winkel", True, targets)},
        accounts_by_id={"gent": AccountSettings("gent", 100, 200, ("winkel",))},
        routes=(RouteSettings("/winkel/", "winkel"),),
    )


async def publish(store_address: str, deployment: Deployment) -> None:
    """Write the deployment and the demo key to the store."""
    store = StoreClient(store_address)
    generation = {"deployment": cattrs.unstructure(deployment)}
    await store.put("config/generations/demo", generation, 0)
    pointer = {
        "generation": 1,
        "operation_id": "demo",
        "object": "config/generations/demo",
    }
    await store.put("config/current", pointer, 0)
    digest = hashlib.sha256(API_KEY.encode()).hexdigest()
    await store.put(f"keys/{digest}", {"account": "gent", "state": "active"}, 0)
    await store.close()


async def call(address: str, key: str, method: str = "GET") -> Response:
    """Send one call as a caller would."""
    client = ControlClient(address, timeout=5.0)
    try:
        return await client.request(
            method,
            f"/winkel/stock/{key}",
            headers={
                "Authorization": f"Bearer {API_KEY}",
                "Fireflystand-Routing-Key": key,
            },
        )
    finally:
        await client.close()


async def send_calls(routers: dict[str, str]) -> bool:
    """Send a few calls through every router; tell whether all were right."""
    good = True
    for key in ("fleece-1", "fleece-2", "fleece-3"):
        targets = set()
        for name, address in routers.items():
            response = await call(address, key)
            target = response.headers.get("x-target")
            print(f"{key} through {name}: {response.status} from {target}")
            targets.add(target)
            good = good and response.status == 200
        good = good and len(targets) == 1
    return good


def start_all(processes: Processes) -> dict[str, str]:
    """Start everything and return the routers' addresses by id."""
    store = processes.start("store", "fireflystand_testing.store")
    addresses = [
        processes.start(
            f"winkel-{number}",
            "fireflystand_testing.target",
            "--id",
            f"winkel-{number}",
        )
        for number in range(1, TARGETS + 1)
    ]
    trio.run(publish, store, demo_deployment(addresses))
    routers = {f"router-{n}": f"127.0.0.1:{18080 + n}" for n in range(ROUTERS)}
    instances = [
        {"id": name, "address": f"127.0.0.1:{19080 + n}", "state": "live"}
        for n, name in enumerate(routers)
    ]
    listing = processes.start(
        "instance-list",
        "fireflystand_testing.instance_list",
        "--instances",
        json.dumps(instances),
    )
    for n, (name, address) in enumerate(routers.items()):
        processes.start(
            name,
            "fireflystand_router.daemon",
            f"--instance={name}",
            f"--data_centre={DATA_CENTRES[n % 2]}",
            f"--listen={address}",
            f"--peer=127.0.0.1:{19080 + n}",
            f"--store={store}",
            f"--instance_list={listing}",
        )
    return routers


def main() -> int:
    """Start the demo, send calls and serve until interrupted."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--once", action="store_true")
    options = parser.parse_args()
    processes = Processes()
    try:
        routers = start_all(processes)
        time.sleep(1.0)
        good = trio.run(send_calls, routers)
        address = next(iter(routers.values()))
        print(f"API key: {API_KEY}")
        print(
            f"try: curl -H 'Authorization: Bearer {API_KEY}'"
            f" -H 'Fireflystand-Routing-Key: fleece-1'"
            f" http://{address}/winkel/stock/fleece-1"
        )
        if options.once:
            return 0 if good else 1
        while True:
            time.sleep(1.0)
    except KeyboardInterrupt:
        return 0
    finally:
        processes.close()


if __name__ == "__main__":
    sys.exit(main())
