"""Test the operators' command line against real processes."""

import signal
import unittest

import trio

from fireflystand_testing.fleet import wait_until
from fireflystand_testing.http_server import Reply
from fireflystand_testing.operators import OperatedFleet
from fireflystand_testing.scenarios import (
    DATA_CENTRES,
    FleetTestCase,
    Load,
    coordinator_of,
    owner_of,
    send,
)

IN_EFFECT = 7.0  # seconds, goal of the design page
NO_NEW_WORK = 3.0  # seconds, goal of the design page
BACK_LIMIT = 30.0  # seconds
PATH = "/winkel/fleece-7"
RUNS = 3


class OperatedTestCase(FleetTestCase):
    """Run scenarios in which operators write settings and API keys."""

    fleet_class = OperatedFleet

    async def under_load(self, fleet, scenario, rate=40.0):
        """Run a scenario under load, none of whose calls may fail."""
        load = Load(fleet, list(fleet.routers_by_id), rate)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await trio.sleep(0.5)
            await scenario()
            load.stop()
        self.assert_all_answered(load)
        return load

    def assert_rejected(self, outcome, winner):
        self.assertEqual(outcome.code, 3, outcome)
        self.assertEqual(outcome.value["winner"], winner)
        self.assertIn(winner, outcome.value["error"])


class ApplyTests(OperatedTestCase):
    """Guard against changes that are reported wrongly or reach some routers only."""

    def test_wait_ends_when_every_router_has_the_generation(self):
        async def scenario(fleet):
            outcome = await fleet.apply(fleet.with_rate("mons", 21.0), "--wait")
            self.assertEqual((outcome.code, outcome.result["in_effect"]), (0, True))
            self.assertLess(outcome.seconds, IN_EFFECT)
            for router in fleet.routers_by_id:
                self.assertEqual((await fleet.state(router))["generation"], 2)

        self.run_fleet(scenario)

    def test_wait_names_the_router_that_does_not_answer(self):
        async def scenario(fleet):
            handle = fleet.routers_by_id["router-2"].handle
            handle.send_signal(signal.SIGSTOP)
            changed = fleet.with_rate("mons", 21.0)
            outcome = await fleet.apply(changed, "--wait", "--timeout", "4 s")
            handle.send_signal(signal.SIGCONT)
            self.assertEqual(outcome.code, 5, outcome)
            self.assertEqual(outcome.result["late"], ["router-2"])

        self.run_fleet(scenario)

    def test_two_applies_race_under_traffic(self):
        async def scenario(fleet):
            async def race():
                for number in range(RUNS):
                    await self.race(fleet, number + 1)

            await self.under_load(fleet, race)

        self.run_fleet(scenario)

    async def race(self, fleet, generation):
        outcomes = []

        async def change(rate):
            changed = fleet.with_rate("mons", rate)
            flags = ("--onto", str(generation), "--wait")
            outcomes.append(await fleet.apply(changed, *flags))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(change, 30.0 + generation)
            nursery.start_soon(change, 60.0 + generation)
        won, lost = sorted(outcomes, key=lambda outcome: outcome.code)
        self.assertEqual(won.code, 0, won)
        self.assertEqual(won.result["generation"], generation + 1)
        self.assert_rejected(lost, won.result["operation_id"])

    def test_dropped_answers_reject_nothing(self):
        async def scenario(fleet):
            async def change():
                for number in range(RUNS):
                    fleet.store.faults.drop_put_replies = 1 + number
                    changed = fleet.with_rate("mons", 40.0 + number)
                    outcome = await fleet.apply(changed, "--wait")
                    fleet.store.faults.drop_put_replies = 0
                    self.assertIn(outcome.code, (0, 4), outcome)

            await self.under_load(fleet, change)

        self.run_fleet(scenario)

    def test_store_lost_after_the_write_is_unknown_and_found_later(self):
        async def scenario(fleet):
            write = fleet.store._write

            def write_and_fail(kind, key, request):
                reply = write(kind, key, request)
                if key != "config/current":
                    return reply
                fleet.store.faults.down = True
                return Reply(drop=True)

            async def change():
                fleet.store._write = write_and_fail
                outcome = await fleet.apply(fleet.with_rate("mons", 22.0))
                fleet.store._write = write
                fleet.store.faults.down = False
                self.assertEqual(outcome.code, 4, outcome)
                operation = outcome.value["operation_id"]
                found = await fleet.command("history", "--operation", operation)
                entries = found.result["entries"]
                self.assertEqual([e["name"] for e in entries], ["2"], found)

                async def everywhere():
                    states = [await fleet.state(r) for r in fleet.routers_by_id]
                    return {state["generation"] for state in states} == {2}

                await wait_until(everywhere, IN_EFFECT, "generation 2 everywhere")

            await self.under_load(fleet, change)

        self.run_fleet(scenario)


class ApiKeyTests(OperatedTestCase):
    """Guard against a withdrawn API key that still works somewhere."""

    def test_withdrawn_key_gets_401_on_every_router(self):
        async def scenario(fleet):
            created = await fleet.command("key", "create", "gent", "--wait")
            self.assertEqual(created.code, 0, created)
            headers = {"Authorization": f"Bearer {created.result['api_key']}"}
            digest = created.result["sha256"]
            for router in fleet.routers_by_id:
                self.assertEqual((await send(fleet, router, PATH)).status, 200)
                record = await send(fleet, router, PATH, headers=headers)
                self.assertEqual(record.status, 200, record)
            withdrawn = await fleet.command("key", "withdraw", digest[:12], "--wait")
            self.assertEqual(withdrawn.code, 0, withdrawn)
            for router in fleet.routers_by_id:
                record = await send(fleet, router, PATH, headers=headers)
                self.assertEqual((record.status, record.outcome), (401, "not-run"))
            by = withdrawn.result["operation_id"]
            self.assert_rejected(await fleet.command("key", "withdraw", digest), by)
            again = await fleet.command("key", "grant", digest, "gent")
            self.assert_rejected(again, by)

        self.run_fleet(scenario)


class DepartureTests(OperatedTestCase):
    """Guard against new work for what operators took out."""

    async def served_by(self, fleet, names, since, load):
        return {r.target for r in load.records if r.began >= since} & set(names)

    async def depart(self, fleet, away, back, names):
        """Take something out twice and bring it back, under load."""
        load = Load(fleet, list(fleet.routers_by_id), 40.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            out = await fleet.command(*away, "--wait")
            self.assertEqual(out.code, 0, out)
            self.assert_rejected(await fleet.command(*away), out.result["operation_id"])
            await trio.sleep(NO_NEW_WORK)
            gone_at = trio.current_time()
            await trio.sleep(2.0)
            self.assertEqual(await self.served_by(fleet, names, gone_at, load), set())
            status = await fleet.command("status")
            returned = await fleet.command(*back, "--wait")
            self.assertEqual(returned.code, 0, returned)
            back_at = trio.current_time()

            async def serves():
                return bool(await self.served_by(fleet, names, back_at, load))

            await wait_until(serves, BACK_LIMIT, f"{names} serve again")
            self.assert_rejected(
                await fleet.command(*back), returned.result["operation_id"]
            )
            load.stop()
        self.assert_all_answered(load)
        return status.result

    def test_data_centre_is_taken_out_twice_and_brought_back(self):
        async def scenario(fleet):
            name = DATA_CENTRES[1]
            places = fleet.targets_by_id.values()
            names = [place.id for place in places if place.data_centre == name]
            away, back = (("data-centre", v, name) for v in ("take-out", "bring-back"))
            status = await self.depart(fleet, away, back, names)
            self.assertEqual(status["data_centres"][name], "out")

        self.run_fleet(scenario)

    def test_target_is_drained_and_restored(self):
        async def scenario(fleet):
            name = await owner_of(fleet, "router-0", PATH)
            away, back = (("target", verb, name) for verb in ("drain", "restore"))
            status = await self.depart(fleet, away, back, [name])
            self.assertEqual(status["draining_targets"], [name])

        self.run_fleet(scenario)


class ReportTests(OperatedTestCase):
    """Guard against reports that differ from what the routers do."""

    def test_status_and_explain_agree_with_the_routers(self):
        async def scenario(fleet):
            coordinator = await coordinator_of(fleet)
            status = (await fleet.command("status")).result
            self.assertEqual((status["instances"], status["in_effect_on"]), (3, 3))
            claim = status["coordinators"]["winkel/0"]
            self.assertEqual(claim["coordinator"], coordinator)
            command = ("explain", "fleece-7", "--service", "winkel")
            told = (await fleet.command(*command)).result
            self.assertEqual(told["instance"], coordinator)
            self.assertEqual(told["coordinator"], coordinator)
            self.assertEqual(told["epoch"], claim["epoch"])
            self.assertEqual(told["owner"], await owner_of(fleet, "router-1", PATH))
            self.assertTrue(told["served"], told)
            self.assertTrue(told["reason"], told)
            expected = {"epoch": claim["epoch"], "coordinator": coordinator}
            self.assertEqual(told["store"], expected)

        self.run_fleet(scenario)

    def test_history_outlives_every_router(self):
        async def scenario(fleet):
            made = [await fleet.apply(fleet.with_rate("mons", 21.0))]
            for words in (
                ("key", "create", "gent"),
                ("data-centre", "take-out", DATA_CENTRES[2]),
                ("data-centre", "bring-back", DATA_CENTRES[2]),
                ("target", "drain", "winkel-0"),
            ):
                made.append(await fleet.command(*words, "--who", "ana"))
            operations = {outcome.result["operation_id"] for outcome in made}
            for router in fleet.routers_by_id:
                await fleet.kill_router(router)
                await fleet.restart_router(router)
            history = (await fleet.command("history")).result
            found = {entry["operation_id"] for entry in history["entries"]}
            self.assertLessEqual(operations, found)
            status = (await fleet.command("status")).result
            self.assertEqual(status["in_effect_on"], 3, status)
            self.assertEqual(status["draining_targets"], ["winkel-0"])

        self.run_fleet(scenario)


if __name__ == "__main__":
    unittest.main()
