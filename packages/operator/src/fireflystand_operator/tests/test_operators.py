"""Test the operators' commands against the store stand-in."""

import hashlib
import io
import json
import tempfile
import unittest
from contextlib import redirect_stderr
from pathlib import Path

import trio

from fireflystand_operator import keys, reports, states
from fireflystand_operator.changes import Author
from fireflystand_operator.cli import run
from fireflystand_operator.context import Waiting
from fireflystand_operator.history import HistoryFilter, show_history
from fireflystand_operator.results import (
    ExitCode,
    InputFaultError,
    RejectedError,
    UnknownOutcomeError,
)
from fireflystand_operator.tests.support import (
    BASE,
    NO_WAIT,
    LosingStore,
    run_world,
)

FASTER = BASE.replace("200 per s", "300 per s")
SLOWER = BASE.replace("200 per s", "100 per s")


class OperatorTestCase(unittest.TestCase):
    """Run scenarios in a folder of their own."""

    def run_world(self, scenario):
        with tempfile.TemporaryDirectory() as folder:
            run_world(Path(folder), scenario)

    async def rejected(self, winner, call, *args, **options):
        with self.assertRaises(RejectedError) as caught:
            await call(*args, **options)
        self.assertEqual(caught.exception.winner, winner)

    async def change(self, world, name, to, operation, context=None):
        kind = states.DATA_CENTRES
        author = Author("ana", "test", operation)
        context = context or world.context()
        return await states.change_state(context, kind, name, to, author, NO_WAIT)

    async def rate(self, world):
        deployment = await world.context().required_deployment()
        return deployment.accounts_by_id["tills"].rate


class RacingOperatorsTests(OperatorTestCase):
    """Guard against accepted changes that are lost to another operator."""

    def test_one_of_two_applies_wins_and_the_other_is_told_which(self):
        async def scenario(world):
            await world.apply()
            context = world.interposing(
                "config/current", lambda: world.apply(SLOWER, operation="first")
            )
            await self.rejected(
                "first", world.apply, FASTER, context=context, operation="second"
            )
            self.assertEqual(await self.rate(world), 100.0)
            self.assertNotIn("config/generations/second", world.server.objects_by_key)

        self.run_world(scenario)

    def test_one_of_two_first_applies_wins(self):
        async def scenario(world):
            context = world.interposing(
                "config/current", lambda: world.apply(SLOWER, operation="first")
            )
            await self.rejected("first", world.apply, FASTER, context=context)

        self.run_world(scenario)

    def test_apply_prepared_for_an_older_generation_is_rejected(self):
        async def scenario(world):
            await world.apply()
            await world.apply(SLOWER, operation="newer")
            await self.rejected("newer", world.apply, FASTER, onto=1)
            await world.apply(FASTER, onto=2)

        self.run_world(scenario)

    def test_apply_does_not_revive_a_withdrawn_key(self):
        async def scenario(world):
            await world.apply()
            context = world.context()
            made = await keys.create_key(context, "tills", Author("ana"), NO_WAIT)
            digest = made.data["sha256"]

            async def withdraw():
                author = Author("ben", "", "gone")
                await keys.withdraw_key(world.context(), digest[:10], author, NO_WAIT)

            racing = world.interposing("config/current", withdraw)
            await world.apply(FASTER, context=racing)
            self.assertEqual(await self.rate(world), 300.0)
            rows = await keys.read_keys(context)
            self.assertEqual([row["state"] for row in rows], ["withdrawn"])
            for call in (keys.withdraw_key, keys.grant_key):
                account = ["tills"] if call is keys.grant_key else []
                args = [context, digest, *account, Author("ana"), NO_WAIT]
                await self.rejected("gone", call, *args)

        self.run_world(scenario)

    def test_data_centre_taken_out_twice_and_returned_once(self):
        async def scenario(world):
            await world.apply()
            await self.change(world, "north", "out", "a")
            await self.rejected("a", self.change, world, "north", "out", "b")
            await self.change(world, "north", "in", "c")
            found = await states.read_states(world.context(), states.DATA_CENTRES)
            self.assertEqual(found, {"north": "in"})
            await self.rejected("c", self.change, world, "north", "in", "d")

        self.run_world(scenario)

    def test_late_take_out_does_not_undo_a_return(self):
        async def scenario(world):
            await world.apply()

            async def out_and_back():
                await self.change(world, "north", "out", "a")
                await self.change(world, "north", "in", "c")

            context = world.interposing("data-centres/", out_and_back)
            await self.rejected(
                "c", self.change, world, "north", "out", "b", context=context
            )
            found = await states.read_states(world.context(), states.DATA_CENTRES)
            self.assertEqual(found, {"north": "in"})

        self.run_world(scenario)


class LostResponseTests(OperatorTestCase):
    """Guard against changes made twice, or reported wrongly, after a lost response."""

    def test_own_operation_is_recognised(self):
        async def scenario(world):
            world.server.faults.drop_put_replies = 2
            result = await world.apply(operation="mine")
            self.assertEqual(result.data["operation_id"], "mine")
            world.server.faults.drop_put_replies = 1
            await self.change(world, "north", "out", "a")
            found = world.server.objects_by_key["data-centres/north"]
            self.assertEqual(len(found.value["history"]), 1)

        self.run_world(scenario)

    def test_own_operation_is_recognised_after_it_was_superseded(self):
        async def scenario(world):
            await world.apply()

            store = LosingStore(
                world.address,
                "config/current",
                lambda: world.apply(SLOWER, operation="later"),
            )
            context = world.context(store)
            result = await world.apply(FASTER, context=context, operation="mine")
            self.assertEqual(result.data["generation"], 2)
            self.assertEqual(await self.rate(world), 100.0)

        self.run_world(scenario)

    def test_call_lost_before_it_took_effect_is_repeated(self):
        async def scenario(world):
            await world.apply()

            async def fail_once():
                world.server.write_rate = 0

            context = world.interposing("data-centres/", fail_once)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.change, world, "north", "out", "a", context)
                while not world.server.calls_by_kind.get("put", 0) > 2:
                    await trio.sleep(0.01)
                world.server.write_rate = 100
            found = world.server.objects_by_key["data-centres/north"]
            self.assertEqual(found.value["state"], "out")

        self.run_world(scenario)

    def test_outcome_that_cannot_be_settled_is_unknown(self):
        async def scenario(world):
            await world.apply()

            async def cut():
                world.server.faults.down = True

            context = world.interposing("data-centres/", cut)
            with self.assertRaises(UnknownOutcomeError) as caught:
                await self.change(world, "north", "out", "a", context)
            self.assertEqual(caught.exception.operation_id, "a")

        self.run_world(scenario)


class WaitTests(OperatorTestCase):
    """Guard against a change reported in effect before every instance has it."""

    def test_apply_waits_for_all_live_instances(self):
        async def scenario(world):
            await world.instances.add("i1", generation=1)
            await world.instances.add("i2", generation=0)
            result = await world.apply(waiting=Waiting(True, 0.6))
            self.assertEqual(result.code, ExitCode.NOT_IN_EFFECT)
            self.assertEqual(result.data["late"], ["i2"])
            await world.instances.add("i2", generation=1)
            result = await world.apply(waiting=Waiting(True, 0.6))
            self.assertTrue(result.data["in_effect"])

        self.run_world(scenario)

    def test_silent_or_missing_instances_do_not_count_as_in_effect(self):
        async def scenario(world):
            result = await world.apply(waiting=Waiting(True, 0.3))
            self.assertEqual(result.code, ExitCode.NOT_IN_EFFECT)
            await world.instances.add("i1", generation=-1)
            result = await world.apply(waiting=Waiting(True, 0.3))
            self.assertEqual(result.data["late"], ["i1"])

        self.run_world(scenario)

    def test_state_changes_wait_for_the_store_version(self):
        async def scenario(world):
            await world.apply()
            await world.instances.add("i1", feed_revision=3)
            kind, waiting = states.DATA_CENTRES, Waiting(True, 0.3)
            args = world.context(), kind, "north"
            result = await states.change_state(*args, "out", Author("ana"), waiting)
            self.assertEqual(result.code, ExitCode.ACCEPTED)
            result = await states.change_state(*args, "in", Author("ana"), waiting)
            self.assertEqual(result.code, ExitCode.NOT_IN_EFFECT)

        self.run_world(scenario)


class ReportTests(OperatorTestCase):
    """Guard against reports that leave out a kind, an instance or a change."""

    def test_history_merges_all_kinds_and_leaves_out_what_lost(self):
        async def scenario(world):
            context = world.context()
            await world.apply(operation="one")
            racing = world.interposing(
                "config/current", lambda: world.apply(SLOWER, operation="two")
            )
            await self.rejected("two", world.apply, FASTER, racing, "lost")
            await keys.create_key(context, "tills", Author("ben"), NO_WAIT)
            await self.change(world, "north", "out", "a")
            shown = await show_history(context, HistoryFilter())
            kinds = [entry["kind"] for entry in shown.data["entries"]]
            self.assertEqual(
                kinds, ["configuration", "configuration", "key", "data-centre"]
            )
            operations = [entry["operation_id"] for entry in shown.data["entries"]]
            self.assertNotIn("lost", operations)
            for options, count in [
                ({"who": "ben"}, 1),
                ({"kind": "configuration"}, 2),
                ({"operation": "a"}, 1),
                ({"since": "9"}, 0),
                ({"limit": 3}, 3),
            ]:
                shown = await show_history(context, HistoryFilter(**options))
                self.assertEqual(len(shown.data["entries"]), count, options)

        self.run_world(scenario)

    def test_status_and_explain(self):
        async def scenario(world):
            await world.apply()
            groups = [{"service": "stock", "group": 0, "pending_moves": 3}]
            await world.instances.add("i1", generation=1, groups=groups)
            await world.instances.add("i2", generation=0, admitting=False)
            await self.change(world, "north", "out", "a")
            store = world.context().store
            record = {"epoch": 4, "coordinator": {"instance": "i1", "incarnation": "x"}}
            await store.put("groups/stock/0", record, 0)
            data = (await reports.status(world.context())).data
            self.assertEqual((data["in_effect_on"], data["instances"]), (1, 2))
            self.assertEqual(data["data_centres"], {"north": "out", "south": "in"})
            self.assertEqual(data["pending_moves"], 3)
            self.assertEqual(data["not_admitting"], ["i2"])
            self.assertEqual(data["coordinators"]["stock/0"]["coordinator"], "i1")
            shown = await reports.explain(world.context(), "stock", "a b&c")
            self.assertEqual(shown.data["key"], "a b&c")
            self.assertEqual(shown.data["store"], {"epoch": 4, "coordinator": "i1"})
            with self.assertRaises(InputFaultError):
                await reports.explain(world.context(), "shelf", "k")

        self.run_world(scenario)


class CommandLineTests(OperatorTestCase):
    """Guard against wrong exit codes, leaked API keys and half-read arguments."""

    async def command(self, world, *arguments):
        out, err = io.StringIO(), io.StringIO()
        given = [*arguments, f"--store={world.address}"]
        code = await trio.to_thread.run_sync(run, given, out, err)
        return code, out.getvalue() or err.getvalue()

    def test_commands_end_with_their_exit_codes(self):
        async def scenario(world):
            good, bad = world.write(BASE), world.write("name: x\n", "bad.yaml")
            rows = [
                (0, ["apply", good, "--reason", "opening"]),
                (1, ["apply", bad]),
                (0, ["plan", good]),
                (0, ["history", "--json"]),
                (0, ["status"]),
                (2, ["apply", good, "--onto", "one"]),
                (2, ["apply", good, "--timeout", "5"]),
                (3, ["apply", good, "--onto", "7"]),
                (0, ["data-centre", "take-out", "north"]),
                (3, ["data-centre", "take-out", "north", "--json"]),
                (0, ["data-centre", "bring-back", "north"]),
                (1, ["data-centre", "take-out", "east"]),
                (0, ["data-centre", "list"]),
                (0, ["target", "drain", "s1"]),
                (0, ["target", "restore", "s1"]),
                (0, ["target", "list"]),
                (0, ["account", "list"]),
                (0, ["account", "show", "tills"]),
                (1, ["account", "show", "12"]),
                (1, ["key", "create", "nobody"]),
                (0, ["key", "list"]),
                (5, ["target", "drain", "s2", "--wait", "--timeout", "300 ms"]),
                (4, ["explain", "k", "--service", "stock"]),
            ]
            for expected, arguments in rows:
                code, output = await self.command(world, *arguments)
                self.assertEqual(code, expected, (arguments, output))
                self.assertTrue(output)
            _, output = await self.command(world, "account", "show", "1e5")
            self.assertIn("'1e5'", output)
            world.server.faults.down = True
            code, output = await self.command(world, "--json", "status")
            self.assertEqual((code, json.loads(output)["exit"]), (4, 4))

        self.run_world(scenario)

    def test_no_change_is_made_when_arguments_are_left_over(self):
        async def scenario(world):
            await world.apply()
            with redirect_stderr(io.StringIO()), self.assertRaises(SystemExit) as end:
                await self.command(world, "data-centre", "take-out", "north", "south")
            self.assertEqual(end.exception.code, 2)
            self.assertNotIn("data-centres/north", world.server.objects_by_key)

        self.run_world(scenario)

    def test_api_key_is_printed_once_and_only_its_hash_is_stored(self):
        async def scenario(world):
            await world.apply()
            _, output = await self.command(world, "key", "create", "tills", "--json")
            made = json.loads(output)["result"]
            digest = hashlib.sha256(made["api_key"].encode()).hexdigest()
            self.assertEqual(made["sha256"], digest)
            stored = {k: o.value for k, o in world.server.objects_by_key.items()}
            self.assertIn(f"keys/{digest}", stored)
            self.assertNotIn(made["api_key"], json.dumps(stored))
            code, _ = await self.command(world, "key", "withdraw", digest[:8])
            self.assertEqual(code, 0)

        self.run_world(scenario)

    def test_every_command_has_help(self):
        for arguments in (
            ["check"], ["render"], ["plan"], ["apply"], ["status"], ["history"],
            ["explain"], ["account", "list"], ["account", "show"], ["key", "create"],
            ["key", "list"], ["key", "grant"], ["key", "withdraw"],
            ["data-centre", "take-out"], ["data-centre", "bring-back"],
            ["data-centre", "list"], ["target", "drain"], ["target", "restore"],
            ["target", "list"],
        ):  # fmt: skip
            shown = io.StringIO()
            with redirect_stderr(shown), self.assertRaises(SystemExit) as end:
                run([*arguments, "--help"])
            self.assertEqual(end.exception.code, 0, arguments)
            self.assertIn("--json", shown.getvalue(), arguments)


if __name__ == "__main__":
    unittest.main()
