"""Cut two routers from the store just before some upstreams say that they leave."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.day import ZONES, play  # noqa: E402
from stand_ins.upstreams import Upstream  # noqa: E402

UPSTREAMS = 8
CUT = 5.0  # seconds; the pages: up to 5.5
# The two of the six routers that watch the upstreams' entries for all.
CUT_ROUTERS = ("edge-zone-b-1", "edge-zone-b-2")
DRAIN = 2.0  # seconds
STAYS = 6.0  # seconds that a leaving upstream serves on
STABLE = 3.0  # seconds; stableWindow
TENANT, KEY = "shops", "key-of-shops"

RESOURCES = [
    {
        "resourceType": "routes",
        "metadata": {"name": "orders"},
        "spec": {
            "host": "shop.example",
            "pathPrefix": "/orders/",
            "kind": "unsafe",
            "service": "stock",
            "timeout": "1500ms",
            "targetLatency": "800ms",
            "priority": 1,
            "maxAttempts": 2,
            "public": False,
        },
    },
    {
        "resourceType": "services",
        "metadata": {"name": "stock"},
        "spec": {
            "healthPath": "/health",
            "maxConnections": 130,
            "protocol": "h1",
            "tls": False,
        },
    },
    {
        "resourceType": "tenants",
        "metadata": {"name": TENANT},
        "spec": {"apiKeys": [KEY], "priority": 1, "ratePerS": 0, "burst": 0},
    },
    {
        "resourceType": "limits",
        "metadata": {},
        "spec": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1048576,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
    },
]


async def body(day):
    for number in range(UPSTREAMS):
        address = f"{day.net}.{100 + number}:8283"
        name = f"i-{day.random.getrandbits(40):010x}"
        upstream = Upstream(
            day, name, "stock", address, ZONES[number % 4], capacity=3, work=0.05
        )
        day.upstreams.append(upstream)
    day.configure(RESOURCES)
    await day.start()

    def make():
        return {
            "method": "POST",
            "path": "/orders/new",
            "key": KEY,
            "body": day.random.randbytes(16).hex().encode(),
        }

    clients = day.spawn(day.client(60.0, 22.0, make))
    day.left_at = {}
    await asyncio.sleep(6.0)
    day.cut_at = day.now()
    if day.trouble:
        for router in day.routers:
            if router.name in CUT_ROUTERS:
                day.log(f"{router.name} is cut from the store for {CUT:g} s")
                day.spawn(router.link.cut_for(CUT))
    await asyncio.sleep(0.1)
    for upstream in day.upstreams[:2]:
        upstream.state = "draining"
        upstream.write_entry()
        day.left_at[upstream.name] = day.now()
        day.log(f"the store has acknowledged that {upstream.name} is draining")
    await asyncio.sleep(STAYS)
    for upstream in day.upstreams[:2]:
        await upstream.crash()
    await clients


def check(day):
    """Find requests that came to a leaving upstream too late, by machines in touch."""
    router_by_id = {answer[2]: answer[5] for answer in day.answers}
    found = []
    for at, name, _, request_id in day.arrivals:
        late = at - day.left_at.get(name, at) - DRAIN
        router = router_by_id.get(request_id, "")
        if late <= 0 or router in CUT_ROUTERS:
            continue
        found.append(
            f"DRAIN {at:.2f}: {request_id} comes to {name} from {router}"
            f" {DRAIN + late:.3f} s after the store had acknowledged that it leaves"
        )
    return found


play(Path(__file__).parent, body, check, routers=6)
