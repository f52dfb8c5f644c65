"""Restart an upstream behind a cut from the store: it is cold and nobody is told."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.day import ZONES, play  # noqa: E402
from stand_ins.upstreams import Upstream  # noqa: E402

UPSTREAMS = 4
CUT = 4.0  # seconds; the pages: up to 10
CRASH_AT, START_AT = 0.3, 0.8  # seconds after the begin of the cut
PER_S = 120.0  # requests
WARMUP = 3.0  # seconds
WARMUP_PER_S = 3.8
OVERAGE, SLACK = 1.5, 5  # warmupOverage, warmupSlack
BOUND = WARMUP_PER_S * OVERAGE + SLACK  # requests in one second (FAILBACK)
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
            "warmup": "3s",
            "warmupPerS": WARMUP_PER_S,
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
        upstream.warmup = WARMUP
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

    clients = day.spawn(day.client(PER_S, 24.0, make))
    await asyncio.sleep(8.0)
    upstream = day.upstreams[0]
    if day.trouble:
        upstream.write_entry()
        upstream.cut = True
        day.log(f"{upstream.name} is cut from the store")
        await asyncio.sleep(CRASH_AT)
    await upstream.crash()
    await asyncio.sleep(START_AT - CRASH_AT)
    await upstream.start(cold=True)
    if day.trouble:
        await asyncio.sleep(CUT - START_AT)
        upstream.cut = False
        day.log("the cut has healed")
        upstream.write_entry()
    await clients


def check(day):
    """Find seconds in which a cold upstream got too many requests."""
    sent_at = {request_id: sent for sent, _, request_id, *_ in day.answers}
    found = []
    for upstream in day.upstreams:
        if upstream.life < 2:
            continue
        start, end = upstream.started_at, upstream.started_at + WARMUP
        arrived = [
            (at, sent_at.get(request_id, 0.0))
            for at, name, life, request_id in day.arrivals
            if name == upstream.name and life == upstream.life and start <= at <= end
        ]
        worst = max(
            (
                (sum(1 for at, sent in arrived if since <= sent and at <= since + 1), since)
                for since, _ in arrived
            ),
            default=(0, 0.0),
        )
        day.log(f"{upstream.name} got at most {worst[0]} requests in a second")
        if worst[0] > BOUND:
            found.append(
                f"FAILBACK {worst[1]:.2f}: the cold {upstream.name} gets {worst[0]}"
                f" requests in one second; the bound is {BOUND:g}"
            )
    return found


play(Path(__file__).parent, body, check, routers=4)
