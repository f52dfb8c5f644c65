"""Measure what a router spends on control while no caller sends anything."""

import os
from collections.abc import Iterator
from pathlib import Path

import trio

from fireflystand_testing.fleet import Fleet
from fireflystand_testing.scenarios import declare_shop, spread, wait_served

from .registry import Row, measure

__all__ = ["control_cost"]

FLEET_SIZES = (3, 6, 12)
TARGETS_PER_ROUTER = 3
SETTLE = 4.0  # seconds
WINDOW = 10.0  # seconds
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


def processor_seconds(pid: int) -> float:
    """Return the user and system time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE


def peer_bytes(fleet: Fleet) -> int:
    """Return the bytes that routers have exchanged with each other."""
    return sum(
        proxy.bytes_forwarded
        for place in fleet.routers_by_id.values()
        for proxy in place.peer_proxies_by_source.values()
    )


async def _measure(size: int) -> list[Row]:
    targets = spread("winkel", size * TARGETS_PER_ROUTER)
    fleet = Fleet(
        declare_shop(targets, groups=max(1, size // 3)), targets, spread("router", size)
    )
    rows: list[Row] = []
    async with trio.open_nursery() as nursery:
        try:
            await fleet.start(nursery)
            await wait_served(fleet, 60.0)
            await trio.sleep(SETTLE)
            rows = await _window(fleet, size)
        finally:
            with trio.CancelScope(shield=True):
                await fleet.close()
    return rows


async def _window(fleet: Fleet, size: int) -> list[Row]:
    pids = [p.handle.process.pid for p in fleet.routers_by_id.values()]
    processor = [processor_seconds(pid) for pid in pids]
    moved = peer_bytes(fleet)
    calls = dict(fleet.store.calls_by_kind)
    await trio.sleep(WINDOW)
    used = [processor_seconds(p) - b for p, b in zip(pids, processor, strict=True)]
    share = [100 * seconds / WINDOW for seconds in used]
    memory = [resident_bytes(pid) / 2**20 for pid in pids]
    traffic = (peer_bytes(fleet) - moved) / WINDOW / size / 1000
    rows = [
        Row(f"control.processor.mean.{size}", sum(share) / size, "percent-of-core"),
        Row(f"control.processor.highest.{size}", max(share), "percent-of-core"),
        Row(f"control.memory.mean.{size}", sum(memory) / size, "MiB"),
        Row(f"control.peer-traffic.mean.{size}", traffic, "kB/s"),
    ]
    for kind, count in fleet.store.calls_by_kind.items():
        rate = (count - calls.get(kind, 0)) / WINDOW
        rows.append(Row(f"store.calls.{kind}.{size}", rate, "calls/s"))
    return rows


@measure("control-cost")
def control_cost() -> Iterator[Row]:
    """Yield processor time, memory, traffic and store calls by fleet size."""
    for size in FLEET_SIZES:
        yield from trio.run(_measure, size)
