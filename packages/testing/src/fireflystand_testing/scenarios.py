"""Provide the deployment, the load and the base class of the fleet tests."""

import random
import unittest
from collections import Counter
from itertools import count

import attrs
import trio

from fireflystand_core.configuration import (
    AccountSettings,
    DataCentreSettings,
    Deployment,
    RouteSettings,
    ServiceSettings,
    TargetSettings,
)
from fireflystand_router.http_client import ConnectionFailedError

from .fleet import Fleet, wait_until

__all__ = ["CallRecord", "FleetTestCase", "Load", "declare_shop"]

SCENARIO_TIMEOUT = 240.0  # seconds
DATA_CENTRES = ("namur-a", "gent-a", "gent-b")
ACCOUNTS = {
    "gent": (400.0, 400.0),
    "mons": (20.0, 20.0),
    "namur": (50_000.0, 50_000.0),
}


# Shared by all loads, so that no two calls have the same path.
_numbers = count()


def spread(prefix: str, count: int) -> dict[str, str]:
    """Return ids with data centres in turn."""
    return {f"{prefix}-{n}": DATA_CENTRES[n % 3] for n in range(count)}


def declare_shop(
    data_centres: dict[str, str],
    slots: int = 3,
    checks_epoch: bool = True,
    groups: int = 1,
):
    """Return a function that declares the shop for proxied target addresses."""

    def declare(addresses: dict[str, str]) -> Deployment:
        keyed, pooled = {}, {}
        for target, address in addresses.items():
            chosen = keyed if target.startswith("winkel") else pooled
            chosen[target] = TargetSettings(
                target, address, data_centres[target], slots, 130, checks_epoch
            )
        services = {
            "winkel": ServiceSettings("winkel", True, keyed, shards=64, groups=groups)
        }
        routes = [
            RouteSettings("/winkel/", "winkel", routing_key_segment=1),
            RouteSettings("/open/", "winkel", open=True, routing_key_segment=1),
        ]
        if pooled:
            services["drukwerk"] = ServiceSettings("drukwerk", False, pooled)
            routes.append(RouteSettings("/drukwerk/", "drukwerk"))
        return Deployment(
            name="shop",
            data_centres_by_id={d: DataCentreSettings(d, "be") for d in DATA_CENTRES},
            services_by_id=services,
            accounts_by_id={
                name: AccountSettings(name, rate, burst, tuple(services))
                for name, (rate, burst) in ACCOUNTS.items()
            },
            routes=tuple(routes),
        )

    return declare


@attrs.frozen
class CallRecord:
    """Hold what became of one call; times are in seconds of the trio clock."""

    router: str
    path: str
    began: float
    ended: float
    status: int | None  # ``None`` if the connection broke
    outcome: str
    target: str
    reason: str = ""
    body: bytes = b""


@attrs.define(eq=False)
class Load:
    """Send calls at a steady rate through a set of routers until stopped.

    With ``unique`` each call has a path of its own below one of ``paths``.
    """

    fleet: Fleet
    routers: list[str]
    rate: float  # calls a second
    account: str = "gent"
    paths: tuple[str, ...] = tuple(f"/winkel/fleece-{n}" for n in range(40))
    method: str = "GET"
    timeout: float = 10.0
    unique: bool = False
    records: list[CallRecord] = attrs.field(factory=list)
    _stopped: bool = False
    _random: random.Random = attrs.field(factory=lambda: random.Random(7))

    async def run(self) -> None:
        """Send calls, each in a task of its own."""
        async with trio.open_nursery() as nursery:
            next_call = trio.current_time()
            while not self._stopped:
                nursery.start_soon(self._call)
                next_call += 1.0 / self.rate
                await trio.sleep_until(next_call)

    def stop(self) -> None:
        """Send no more calls; ``run`` returns once the open ones have ended."""
        self._stopped = True

    async def _call(self) -> None:
        router = self._random.choice(self.routers)
        path = self._random.choice(self.paths)
        if self.unique:
            path = f"{path}/{self.method}-{next(_numbers)}"
        self.records.append(
            await send(
                self.fleet, router, path, self.account, self.method, self.timeout
            )
        )

    def failures(self, since: float = 0.0) -> list[CallRecord]:
        """Return the calls begun since a time that were not answered with 200."""
        return [r for r in self.records if r.began >= since and r.status != 200]

    def summary(self) -> Counter:
        """Count the calls by status, outcome and reason."""
        return Counter((r.status, r.outcome, r.reason) for r in self.records)


async def send(
    fleet: Fleet,
    router: str,
    path: str,
    account: str = "gent",
    method: str = "GET",
    timeout: float = 10.0,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> CallRecord:
    """Send one call and record what became of it."""
    began = trio.current_time()
    try:
        response = await fleet.call(
            router,
            path,
            account=account,
            method=method,
            timeout=timeout,
            headers=headers,
            body=body,
        )
    except ConnectionFailedError as error:
        ended = trio.current_time()
        return CallRecord(router, path, began, ended, None, "", "", str(error))
    return CallRecord(
        router,
        path,
        began,
        trio.current_time(),
        response.status,
        response.headers.get("fireflystand-outcome", ""),
        response.headers.get("x-target", ""),
        response.headers.get("fireflystand-reason", ""),
        response.body,
    )


class FleetTestCase(unittest.TestCase):
    """Run one scenario against a fleet of real processes."""

    fleet_class = Fleet

    def run_fleet(
        self,
        scenario,
        *,
        routers: int = 3,
        keyed: int = 4,
        pooled: int = 0,
        slots: int = 3,
        checks_epoch: bool = True,
        target_flags: tuple[str, ...] = (),
    ) -> None:
        """Start the fleet, run the scenario and end the fleet."""
        targets = {**spread("winkel", keyed), **spread("drukwerk", pooled)}
        flags = ("--slots", str(slots), *target_flags)
        if not checks_epoch:
            flags = (*flags, "--no-epoch-check")
        fleet = self.fleet_class(
            declare_shop(targets, slots, checks_epoch),
            targets,
            spread("router", routers),
            target_flags=flags,
        )

        async def main() -> None:
            async with trio.open_nursery() as nursery:
                try:
                    with trio.fail_after(SCENARIO_TIMEOUT):
                        await fleet.start(nursery)
                        await wait_served(fleet)
                        await scenario(fleet)
                except Exception as error:
                    for place in fleet.routers_by_id.values():
                        error.add_note(f"{place.id}: {fleet.log_of(place.handle)}")
                    raise
                finally:
                    with trio.CancelScope(shield=True):
                        await fleet.close()

        trio.run(main)

    def assert_all_answered(self, load: Load) -> None:
        """Fail if any call of the load was not answered with 200."""
        self.assertGreater(len(load.records), 0)
        self.assertEqual(load.failures(), [], load.summary())

    def assert_own_answers(self, load: Load, padding: int = 0) -> None:
        """Fail if an answer is cut or belongs to another call."""
        for record in load.records:
            if record.status == 200:
                text = f"{record.target} ran {load.method} {record.path}\n"
                self.assertEqual(record.body, text.encode() + b"." * padding, record)

    def assert_runs(self, load: Load, runs_by_path: Counter) -> None:
        """Fail if a call ran twice, or ran although its caller was told not-run."""
        for record in load.records:
            runs = runs_by_path[record.path]
            self.assertLessEqual(runs, 1, record)
            if record.outcome == "not-run":
                self.assertEqual(runs, 0, record)
            if record.status == 200:
                self.assertEqual(runs, 1, record)


async def wait_served(fleet: Fleet, timeout: float = 20.0) -> None:
    """Wait until every router answers a call for each of 16 keys."""

    async def served() -> bool:
        for router, place in fleet.routers_by_id.items():
            if not place.handle.running:
                continue
            for number in range(16):
                path = f"/winkel/warm-{number}"
                record = await send(fleet, router, path, timeout=2.0)
                if record.status != 200:
                    return False
        return True

    await wait_until(served, timeout, "all keys are served")


async def owner_of(fleet: Fleet, router: str, path: str) -> str:
    """Return the target that answers for a path."""
    record = await send(fleet, router, path)
    return record.target


async def coordinator_of(fleet: Fleet, service: str = "winkel", group: int = 0) -> str:
    """Return the router that coordinates a group."""
    for router, place in fleet.routers_by_id.items():
        if not place.handle.running:
            continue
        for held in (await fleet.state(router))["groups"]:
            if (held["service"], held["group"]) == (service, group):
                return router
    raise AssertionError(f"nobody coordinates {service}/{group}")
