"""Measure latency, imbalance and unavailable time of a small fleet."""

import signal
from collections import Counter
from collections.abc import Iterator

import trio

from fireflystand_router.http_client import HttpClient
from fireflystand_testing.fleet import Fleet, wait_until
from fireflystand_testing.scenarios import (
    Load,
    coordinator_of,
    declare_shop,
    owner_of,
    send,
    spread,
    wait_served,
)

from .registry import Row, measure

__all__ = ["latency", "unavailable_time"]

CALLS = 1500
SERIAL_CONNECTIONS = 2  # under the 3 slots of a target
PATH = "/winkel/fleece-7"
REPEATS = 3


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of all values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run_fleet(
    scenario, routers: int = 3, keyed: int = 6, checks_epoch: bool = True
) -> list[Row]:
    """Run a scenario that returns rows against a fresh fleet."""
    targets = spread("winkel", keyed)
    fleet = Fleet(
        declare_shop(targets, checks_epoch=checks_epoch),
        targets,
        spread("router", routers),
        target_flags=() if checks_epoch else ("--no-epoch-check",),
    )
    rows: list[Row] = []

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            try:
                await fleet.start(nursery)
                await wait_served(fleet)
                rows.extend(await scenario(fleet))
            finally:
                with trio.CancelScope(shield=True):
                    await fleet.close()

    trio.run(main)
    return rows


async def _timed_calls(address: str, headers: dict[str, str]) -> list[float]:
    times: list[float] = []

    async def caller(number: int) -> None:
        client = HttpClient(address, timeout=5.0)
        for index in range(CALLS // SERIAL_CONNECTIONS):
            path = f"/winkel/k-{number}-{index % 50}"
            began = trio.current_time()
            response = await client.request("GET", path, headers=headers)
            if response.status != 200:
                raise ValueError(f"{address}{path} answered {response.status}")
            times.append(trio.current_time() - began)
        await client.close()

    async with trio.open_nursery() as nursery:
        for number in range(SERIAL_CONNECTIONS):
            nursery.start_soon(caller, number)
    return times


@measure("latency")
def latency() -> Iterator[Row]:
    """Yield latency through a router against straight to a target."""

    async def scenario(fleet: Fleet) -> list[Row]:
        target = fleet.targets_by_id["winkel-0"]
        straight = await _timed_calls(target.address, {})
        key = {"Authorization": "Bearer key-of-namur"}
        routed = await _timed_calls(fleet.routers_by_id["router-0"].listen, key)
        rows = []
        for share in (0.5, 0.99):
            name = f"p{int(share * 100)}"
            low, high = percentile(straight, share), percentile(routed, share)
            rows.append(Row(f"latency.straight.{name}", low * 1000, "ms"))
            rows.append(Row(f"latency.routed.{name}", high * 1000, "ms"))
            rows.append(Row(f"latency.ratio.{name}", high / low, "ratio"))
        return rows

    # A target that checks epochs refuses calls that come straight to it.
    yield from run_fleet(scenario, checks_epoch=False)


async def _time_until_served(fleet: Fleet, router: str) -> float:
    async def answered() -> bool:
        return (await send(fleet, router, PATH, timeout=1.0)).status == 200

    return await wait_until(answered, 30.0, "served again")


async def _lose(fleet: Fleet, fault: str, kind: str) -> float:
    coordinator = await coordinator_of(fleet)
    owner = await owner_of(fleet, coordinator, PATH)
    other = next(r for r, p in fleet.routers_by_id.items() if r != coordinator)
    router = fleet.routers_by_id[coordinator]
    target = fleet.targets_by_id[owner]
    if fault == "kill" and kind == "target":
        await fleet.kill_target(owner)
    elif fault == "kill":
        await fleet.kill_router(coordinator)
    elif fault == "freeze":
        place = target if kind == "target" else router
        place.handle.send_signal(signal.SIGSTOP)
    elif kind == "target":
        target.proxy.cut()
    else:
        fleet.cut_router(coordinator, store=False, peers=True)
    return await _time_until_served(fleet, other)


@measure("unavailable-time")
def unavailable_time() -> Iterator[Row]:
    """Yield the time until a key is served again after each loss."""
    for kind in ("target", "coordinator"):
        for fault in ("kill", "freeze", "cut"):
            times = []
            for _ in range(REPEATS):

                async def scenario(fleet, fault=fault, kind=kind) -> list[Row]:
                    return [Row("", await _lose(fleet, fault, kind), "s")]

                times.extend(row.value for row in run_fleet(scenario))
            name = f"unavailable.{kind}.{fault}"
            yield Row(f"{name}.median", percentile(times, 0.5), "s")
            yield Row(f"{name}.highest", max(times), "s")


@measure("departure")
def departure() -> Iterator[Row]:
    """Yield service while a data centre leaves and returns."""

    async def scenario(fleet: Fleet) -> list[Row]:
        load = Load(fleet, list(fleet.routers_by_id), rate=60)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await trio.sleep(2)
            await fleet.put_state("data-centres/gent-a", "out")
            await trio.sleep(5)
            await fleet.put_state("data-centres/gent-a", "in")
            await trio.sleep(8)
            load.stop()
        times = [r.ended - r.began for r in load.records if r.status == 200]
        runs = Counter(r.target for r in load.records if r.status == 200)
        mean = sum(runs.values()) / len(fleet.targets_by_id)
        return [
            Row("departure.calls", len(load.records), "calls"),
            Row("departure.failed", len(load.failures()), "calls"),
            Row("departure.p99", percentile(times, 0.99) * 1000, "ms"),
            Row("imbalance.calls", max(runs.values()) / mean, "ratio"),
        ]

    yield from run_fleet(scenario)
