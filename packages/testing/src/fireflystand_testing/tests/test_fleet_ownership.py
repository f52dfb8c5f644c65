"""Test exclusive ownership with real processes under failure."""

import signal
import unittest
from contextlib import suppress

import trio

from fireflystand_core.exceptions import StoreUnavailableError
from fireflystand_testing.fleet import wait_until
from fireflystand_testing.scenarios import (
    FleetTestCase,
    Load,
    coordinator_of,
    owner_of,
    send,
)

SERVED_AGAIN = 2.0  # seconds, goal of the design page
PATH = "/winkel/fleece-7"


async def served_again(fleet, router, path=PATH, limit=SERVED_AGAIN):
    """Return the seconds until a new call for the path is answered."""

    async def answered():
        record = await send(fleet, router, path, timeout=1.0)
        return record.status == 200

    return await wait_until(answered, limit, f"{path} is served again")


class TargetLossTests(FleetTestCase):
    """Guard against keys that stay without an owner or get two."""

    def test_killed_target(self):
        async def scenario(fleet):
            owner = await owner_of(fleet, "router-0", PATH)
            await fleet.kill_target(owner)
            await served_again(fleet, "router-0")
            self.assertNotEqual(await owner_of(fleet, "router-1", PATH), owner)

        self.run_fleet(scenario)

    def test_frozen_target_runs_nothing_after_its_lease(self):
        async def scenario(fleet):
            owner = await owner_of(fleet, "router-0", PATH)
            before = (await fleet.target_counts(owner))["runs"]
            handle = fleet.targets_by_id[owner].handle
            handle.send_signal(signal.SIGSTOP)
            async with trio.open_nursery() as nursery:
                # Requests that reach the frozen target's buffer.
                for _ in range(3):
                    nursery.start_soon(send, fleet, "router-1", PATH)
                await served_again(fleet, "router-0")
                handle.send_signal(signal.SIGCONT)
            counts = await fleet.target_counts(owner)
            self.assertEqual(counts["runs"], before, counts)

        self.run_fleet(scenario)

    def test_target_cut_off(self):
        async def scenario(fleet):
            owner = await owner_of(fleet, "router-0", PATH)
            fleet.targets_by_id[owner].proxy.cut()
            await served_again(fleet, "router-0")
            self.assertNotEqual(await owner_of(fleet, "router-1", PATH), owner)
            fleet.targets_by_id[owner].proxy.heal()

        self.run_fleet(scenario)

    def test_target_that_does_not_check_epochs_is_killed(self):
        async def scenario(fleet):
            owner = await owner_of(fleet, "router-0", PATH)
            await fleet.kill_target(owner)
            await served_again(fleet, "router-0")

        self.run_fleet(scenario, checks_epoch=False)


class CoordinatorLossTests(FleetTestCase):
    """Guard against groups that nobody, or two instances, coordinate."""

    def other(self, fleet, lost):
        return next(
            r for r, p in fleet.routers_by_id.items() if r != lost and p.handle.running
        )

    def test_killed_coordinator(self):
        async def scenario(fleet):
            lost = await coordinator_of(fleet)
            await fleet.kill_router(lost)
            await served_again(fleet, self.other(fleet, lost))

        self.run_fleet(scenario)

    def test_paused_coordinator_comes_back(self):
        async def scenario(fleet):
            lost = await coordinator_of(fleet)
            handle = fleet.routers_by_id[lost].handle
            handle.send_signal(signal.SIGSTOP)
            other = self.other(fleet, lost)
            await served_again(fleet, other)
            owner = await owner_of(fleet, other, PATH)
            handle.send_signal(signal.SIGCONT)
            await served_again(fleet, lost, limit=5.0)
            self.assertEqual(await owner_of(fleet, lost, PATH), owner)
            self.assertNotEqual(await coordinator_of(fleet), lost)

        self.run_fleet(scenario)

    def test_coordinator_cut_off_from_its_peers(self):
        async def scenario(fleet):
            lost = await coordinator_of(fleet)
            fleet.cut_router(lost, store=False, peers=True)
            await served_again(fleet, self.other(fleet, lost))

        self.run_fleet(scenario)

    def test_coordinator_and_target_lost_together(self):
        async def scenario(fleet):
            lost = await coordinator_of(fleet)
            owner = await owner_of(fleet, "router-0", PATH)
            handle = fleet.targets_by_id[owner].handle
            handle.send_signal(signal.SIGSTOP)
            fleet.routers_by_id[lost].handle.send_signal(signal.SIGSTOP)
            await served_again(fleet, self.other(fleet, lost))
            handle.send_signal(signal.SIGCONT)

        self.run_fleet(scenario)

    def test_every_router_is_replaced_in_turn(self):
        async def scenario(fleet):
            for router in list(fleet.routers_by_id):
                await fleet.kill_router(router)
                await served_again(fleet, self.other(fleet, router))
                await fleet.restart_router(router)
                await served_again(fleet, router, limit=5.0)

        self.run_fleet(scenario)

    def test_all_routers_start_again_with_empty_memory(self):
        async def scenario(fleet):
            owner = await owner_of(fleet, "router-0", PATH)
            for router in fleet.routers_by_id:
                await fleet.kill_router(router)
            async with trio.open_nursery() as nursery:
                for router in fleet.routers_by_id:
                    nursery.start_soon(fleet.restart_router, router)
            await served_again(fleet, "router-0", limit=10.0)
            self.assertEqual(await owner_of(fleet, "router-0", PATH), owner)

        self.run_fleet(scenario)


class StoreOutageTests(FleetTestCase):
    """Guard against service that depends on the store's answers."""

    def test_service_goes_on_through_an_outage(self):
        async def scenario(fleet):
            fleet.store.faults.down = True
            load = Load(fleet, list(fleet.routers_by_id), rate=40)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run)
                await trio.sleep(15)
                load.stop()
            self.assert_all_answered(load)

        self.run_fleet(scenario)

    def test_coordinator_dies_during_an_outage(self):
        async def scenario(fleet):
            lost = await coordinator_of(fleet)
            fleet.store.faults.down = True
            await fleet.kill_router(lost)
            await trio.sleep(3)
            fleet.store.faults.down = False
            other = next(r for r in fleet.routers_by_id if r != lost)
            await served_again(fleet, other, limit=5.0)

        self.run_fleet(scenario)

    def test_lost_answers_of_updates_that_took_effect(self):
        async def scenario(fleet):
            load = Load(fleet, list(fleet.routers_by_id), rate=40)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run)
                for state in ("out", "in"):
                    before = fleet.store.revision
                    fleet.store.faults.drop_put_replies = 5
                    with suppress(StoreUnavailableError):
                        await fleet.put_state("data-centres/gent-a", state)
                    await trio.sleep(5)
                    self.assertGreater(fleet.store.revision, before + 1)
                    self.assertLess(fleet.store.faults.drop_put_replies, 4)
                    fleet.store.faults.drop_put_replies = 0
                load.stop()
            self.assert_all_answered(load)

        self.run_fleet(scenario, keyed=6)

    def test_watches_end_and_replay_old_versions(self):
        async def scenario(fleet):
            load = Load(fleet, list(fleet.routers_by_id), rate=40)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run)
                for state in ("out", "in", "out", "in"):
                    fleet.store.faults.replay = True
                    fleet.store.faults.end_watches = state == "out"
                    await fleet.put_state("data-centres/gent-a", state)
                    await trio.sleep(3)
                load.stop()
            self.assert_all_answered(load)

        self.run_fleet(scenario, keyed=6)

    def test_slow_store_does_not_stop_service(self):
        async def scenario(fleet):
            fleet.store.faults.delay = 1.0
            load = Load(fleet, list(fleet.routers_by_id), rate=40)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run)
                await trio.sleep(6)
                load.stop()
            self.assert_all_answered(load)

        self.run_fleet(scenario)


class DataCentreTests(FleetTestCase):
    """Guard against work sent to a data centre after it was taken out."""

    async def runs_in(self, fleet, data_centre):
        runs = 0
        for target, place in fleet.targets_by_id.items():
            if place.data_centre == data_centre:
                runs += (await fleet.target_counts(target))["runs"]
        return runs

    def test_taken_out_and_brought_back(self):
        async def scenario(fleet):
            load = Load(fleet, list(fleet.routers_by_id), rate=40)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load.run)
                await trio.sleep(1)
                await fleet.put_state("data-centres/gent-a", "out")
                await trio.sleep(3)
                before = await self.runs_in(fleet, "gent-a")
                await trio.sleep(3)
                self.assertEqual(await self.runs_in(fleet, "gent-a"), before)
                await fleet.put_state("data-centres/gent-a", "in")

                async def back():
                    return await self.runs_in(fleet, "gent-a") > before

                await wait_until(back, 30, "the data centre works again")
                load.stop()
            self.assert_all_answered(load)

        self.run_fleet(scenario, keyed=6)

    def test_cut_off_without_notice(self):
        async def scenario(fleet):
            cut = "gent-a"
            for router, place in fleet.routers_by_id.items():
                if place.data_centre == cut:
                    fleet.cut_router(router, store=True, peers=True)
            for place in fleet.targets_by_id.values():
                if place.data_centre == cut:
                    place.proxy.cut()
            inside = [r for r, p in fleet.routers_by_id.items() if p.data_centre == cut]
            outside = next(r for r in fleet.routers_by_id if r not in inside)
            await trio.sleep(SERVED_AGAIN)
            for number in range(24):
                record = await send(fleet, outside, f"/winkel/k-{number}", timeout=1.0)
                self.assertEqual(record.status, 200, record)

            async def stopped():
                return not await fleet.is_ready(inside[0])

            await wait_until(stopped, 5.0, "the cut-off router stops admitting")

        self.run_fleet(scenario, routers=6, keyed=6)


if __name__ == "__main__":
    unittest.main()
