"""Restart two upstreams under their own ids while the store can't be reached."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.day import ZONES, play  # noqa: E402
from stand_ins.upstreams import Upstream  # noqa: E402

UPSTREAMS = 8
SHARE = 0.25  # of the upstreams that are cut; the pages: up to 0.26
CUT = 2.0  # seconds; the pages: up to 10
CRASH_AT, START_AT = 0.3, 0.8  # seconds after the begin of the cut
TOO_LONG = 0.5  # seconds for which two upstreams may hold the same keys (OWNER)
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
            "sharded": True,
            "warm": "2s",
            "grants": "call",
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
        upstream.sharded = True
        day.upstreams.append(upstream)
    day.configure(RESOURCES)
    await day.start()

    def make():
        # A part of the keys, close to one another, is far busier than the others.
        if day.random.random() < 0.5:
            shard = day.random.randrange(9000, 15000)
        else:
            shard = day.random.randrange(65536)
        return {
            "method": "POST",
            "path": "/orders/new",
            "key": KEY,
            "shard": shard,
            "body": day.random.randbytes(16).hex().encode(),
        }

    clients = day.spawn(day.client(60.0, 40.0, make))
    for _ in range(2):
        await asyncio.sleep(12.0)
        if day.trouble:
            await cut(day)
    await clients


async def cut(day):
    """Cut some upstreams from the store; they crash behind the cut and start again."""
    chosen = day.random.sample(day.upstreams, round(SHARE * UPSTREAMS))
    # Each has just written its entry, which stays for three heartbeats.
    for upstream in chosen:
        upstream.write_entry()
        upstream.cut = True
    day.log(f"cut from the store: {[u.name for u in chosen]}")
    await asyncio.sleep(CRASH_AT)
    for upstream in chosen:
        await upstream.crash()
    await asyncio.sleep(START_AT - CRASH_AT)
    for upstream in chosen:
        await upstream.start()
    await asyncio.sleep(CUT - START_AT)
    day.log("the cut has healed")
    for upstream in chosen:
        upstream.cut = False
        upstream.write_entry()


def check(day):
    """Find keys that two upstreams that are up held for too long."""
    holds = list(day.holds)
    for upstream in day.upstreams:
        holds += [(upstream.name, upstream.life, hold) for hold in upstream.holds]
    # Renewals follow one another: join what is held without a gap.
    found = []
    for index, (name, life, one) in enumerate(holds):
        for other, other_life, two in holds[index + 1 :]:
            if other == name:
                continue
            if one.last < two.first or two.last < one.first:
                continue
            since, until = max(one.since, two.since), min(one.until, two.until)
            if until - since > TOO_LONG:
                keys = f"{max(one.first, two.first)}-{min(one.last, two.last)}"
                found.append(
                    f"OWNER {since:.2f} to {until:.2f}: keys {keys} are held by {name}"
                    f" (life {life}, fence {one.fence}) and {other}"
                    f" (life {other_life}, fence {two.fence})"
                )
    return sorted(found)


play(Path(__file__).parent, body, check, routers=4)
