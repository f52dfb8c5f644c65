"""Test requests, limits and API keys with real processes under failure."""

import signal
import unittest
from collections import Counter

import trio

from fireflystand_testing.fleet import wait_until
from fireflystand_testing.scenarios import (
    ACCOUNTS,
    FleetTestCase,
    Load,
    coordinator_of,
    owner_of,
    send,
)

PATH = "/winkel/order-7"


async def runs_of_key(fleet, key: str) -> int:
    """Return how often all running targets ran a request with an idempotency key."""
    runs = 0
    for target, place in fleet.targets_by_id.items():
        if place.handle.running:
            counts = await fleet.target_counts(target)
            runs += counts["runs_by_idempotency_key"].get(key, 0)
    return runs


class IdempotencyKeyTests(FleetTestCase):
    """Guard against an order that runs twice."""

    async def order(self, fleet, router, key, results):
        record = await send(
            fleet,
            router,
            PATH,
            method="POST",
            headers={"Idempotency-Key": key},
            body=b"12 bales",
        )
        results.append(record)

    def test_same_order_through_every_router_at_once(self):
        async def scenario(fleet):
            results = []
            async with trio.open_nursery() as nursery:
                for router in fleet.routers_by_id:
                    for _ in range(3):
                        nursery.start_soon(self.order, fleet, router, "o-1", results)
            self.assertEqual(await runs_of_key(fleet, "o-1"), 1)
            self.assertEqual({r.status for r in results}, {200}, results)

        self.run_fleet(scenario)

    def test_same_order_after_the_coordinator_died(self):
        async def scenario(fleet):
            results = []
            await self.order(fleet, "router-0", "o-2", results)
            lost = await coordinator_of(fleet)
            await fleet.kill_router(lost)
            other = next(r for r in fleet.routers_by_id if r != lost)
            await self.order(fleet, other, "o-2", results)
            self.assertEqual(await runs_of_key(fleet, "o-2"), 1)
            self.assertEqual([r.status for r in results], [200, 200], results)

        self.run_fleet(scenario)

    def test_same_order_during_and_after_a_store_outage(self):
        async def scenario(fleet):
            results = []
            fleet.store.faults.down = True
            await self.order(fleet, "router-0", "o-3", results)
            await self.order(fleet, "router-1", "o-3", results)
            fleet.store.faults.down = False
            await self.order(fleet, "router-2", "o-3", results)
            self.assertEqual(await runs_of_key(fleet, "o-3"), 1)
            self.assertEqual({r.status for r in results}, {200}, results)

        self.run_fleet(scenario)

    def test_order_in_a_store_outage_repeated_after_its_coordinator_died(self):
        async def scenario(fleet):
            results = []
            fleet.store.faults.down = True
            await self.order(fleet, "router-0", "o-4", results)
            lost = await coordinator_of(fleet)
            await fleet.kill_router(lost)
            fleet.store.faults.down = False
            other = next(r for r in fleet.routers_by_id if r != lost)
            await self.order(fleet, other, "o-4", results)
            self.assertLessEqual(await runs_of_key(fleet, "o-4"), 1)
            self.assertNotEqual(results[-1].outcome, "not-run", results)

        self.run_fleet(scenario)


class LostTargetTests(FleetTestCase):
    """Guard against a false 'not run' and against an order sent twice."""

    def test_target_dies_while_it_runs_orders(self):
        async def scenario(fleet):
            owner = await owner_of(fleet, "router-0", PATH)
            load = Load(
                fleet,
                list(fleet.routers_by_id),
                rate=30,
                method="POST",
                paths=(PATH,),
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run)
                await trio.sleep(1)
                await fleet.kill_target(owner)
                await trio.sleep(3)
                load.stop()
            outcomes = Counter(r.outcome for r in load.records)
            self.assertGreater(outcomes["answered"], 60, outcomes)
            self.assertLessEqual(outcomes["unknown"], 3, load.summary())
            self.assertEqual(outcomes["not-run"], 0, load.summary())

        self.run_fleet(scenario, target_flags=("--service-time", "0.05"))


class PlannedStopTests(FleetTestCase):
    """Guard against requests cut by a planned stop."""

    def test_stop_of_each_router_under_load(self):
        async def scenario(fleet):
            for router in list(fleet.routers_by_id):
                load = Load(
                    fleet,
                    list(fleet.routers_by_id),
                    rate=40,
                    paths=tuple(f"/winkel/s-{n}" for n in range(20)),
                )
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(load.run)
                    await trio.sleep(1)
                    place = fleet.routers_by_id[router]
                    place.handle.send_signal(signal.SIGTERM)

                    async def unready(router=router):
                        return not await fleet.is_ready(router)

                    await wait_until(unready, 5, "readiness fails")
                    # The platform's balancer stops choosing it now.
                    load.routers = [r for r in fleet.routers_by_id if r != router]

                    async def ended(place=place):
                        return not place.handle.running

                    await wait_until(ended, 20, f"{router} ends")
                    await fleet.refuse_router(router)
                    await trio.sleep(1)
                    load.stop()
                self.assert_all_answered(load)
                self.assertEqual(place.handle.process.returncode, 0)
                await fleet.restart_router(router)

        self.run_fleet(scenario)

    def test_target_drains(self):
        async def scenario(fleet):
            load = Load(fleet, list(fleet.routers_by_id), rate=40)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run)
                await trio.sleep(1)
                await fleet.put_state("targets/winkel-1", "draining")
                await trio.sleep(3)
                before = (await fleet.target_counts("winkel-1"))["runs"]
                await trio.sleep(2)
                after = (await fleet.target_counts("winkel-1"))["runs"]
                load.stop()
            self.assertEqual(after, before)
            self.assert_all_answered(load)

        self.run_fleet(scenario)


class RateTests(FleetTestCase):
    """Guard against an account that gets more, or less, than its rate."""

    def test_surge_through_all_routers_stays_within_rate_and_burst(self):
        async def scenario(fleet):
            rate, burst = ACCOUNTS["mons"]
            surge = Load(
                fleet, list(fleet.routers_by_id), rate=8 * rate, account="mons"
            )
            calm = Load(fleet, list(fleet.routers_by_id), rate=40)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(surge.run)
                nursery.start_soon(calm.run)
                await trio.sleep(10)
                surge.stop()
                calm.stop()
            calls = [r for r in surge.records if r.status == 200]
            served = sorted(r.ended for r in calls)
            # A call was admitted between its beginning and its end. When the caller
            # gets no processor time many answers end together, so only calls that
            # lie within a window as a whole count, in windows of any length.
            for began in sorted(r.began for r in calls):
                ends = sorted(r.ended for r in calls if r.began >= began)
                for within, ended in enumerate(ends, start=1):
                    self.assertLessEqual(within, rate * (ended - began) + burst + 1)
            span = served[-1] - served[0]
            self.assertLessEqual(len(served), rate * span + burst + 1)
            self.assertGreater(len(served), 0.8 * rate * span)
            self.assert_all_answered(calm)

        self.run_fleet(scenario)

    def test_no_refusal_inside_the_rate_on_one_router(self):
        async def scenario(fleet):
            load = Load(fleet, ["router-1"], rate=18, account="mons")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run)
                await trio.sleep(6)
                load.stop()
            self.assert_all_answered(load)

        self.run_fleet(scenario)


class ApiKeyTests(FleetTestCase):
    """Guard against a key that reaches a target or works after withdrawal."""

    def test_key_is_needed_and_stays_with_the_router(self):
        async def scenario(fleet):
            refused = await fleet.call("router-0", PATH, account="nobody")
            self.assertEqual(refused.status, 401)
            answered = await fleet.call("router-0", PATH, account="gent")
            self.assertEqual(answered.headers["x-account"], "gent")
            opened = await fleet.call("router-0", "/open/stock", account="nobody")
            self.assertEqual(opened.status, 200)
            self.assertNotIn("leaked", opened.headers["x-account"])

        self.run_fleet(scenario)

    def test_withdrawn_key_stops_on_every_router(self):
        async def scenario(fleet):
            cut = "router-2"
            fleet.cut_router(cut, store=True, peers=False)
            await fleet.withdraw_key("gent")
            await trio.sleep(5)
            for router in fleet.routers_by_id:
                record = await send(fleet, router, PATH)
                self.assertEqual(record.status, 401, record)

        self.run_fleet(scenario)

    def test_router_cut_from_store_and_peers_stops_admitting(self):
        async def scenario(fleet):
            fleet.cut_router("router-2", store=True, peers=True)
            await fleet.withdraw_key("gent")
            await trio.sleep(5)
            record = await send(fleet, "router-2", PATH, timeout=2.0)
            self.assertNotEqual(record.status, 200, record)
            self.assertEqual(await fleet.is_ready("router-2"), False)

        self.run_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
