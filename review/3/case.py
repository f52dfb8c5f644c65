"""Let an upstream run some orders and fail them with a 503 of its own."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.day import ZONES, play  # noqa: E402
from stand_ins.upstreams import Upstream  # noqa: E402

UPSTREAMS = 7
FAILING = 0.45  # of the requests of one upstream; the pages: up to 0.55
PROMISES = (408, 421, 429, 503)  # not run, and never will be
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
            day, name, "stock", address, ZONES[number % 4], capacity=3, work=0.1
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

    clients = day.spawn(day.client(50.0, 14.0, make))
    await asyncio.sleep(4.0)
    if day.trouble:
        day.upstreams[0].fails = FAILING
        day.log(f"{day.upstreams[0].name} begins to fail part of its requests")
    await asyncio.sleep(6.5)
    day.upstreams[0].fails = 0.0
    await clients


def check(day):
    """Find orders that ran although their answer promises that they never will."""
    runs = {}
    for at, name, _, request_id in day.runs:
        runs.setdefault(request_id, []).append((at, name))
    found = []
    for sent, _, request_id, _, status, router in day.answers:
        if status in PROMISES and request_id in runs:
            at, name = runs[request_id][0]
            found.append(
                f"REFUSED {sent:.2f}: {router} answers {request_id} with {status};"
                f" it ran at {name} at {at:.2f}"
            )
    return found


play(Path(__file__).parent, body, check, routers=4)
