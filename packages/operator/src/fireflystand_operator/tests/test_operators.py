"""Test the operators' commands against a test store."""

import random
import unittest
from functools import partial

import cattrs
import trio

from fireflystand_core.configuration import load_texts
from fireflystand_operator import keys, reports, states
from fireflystand_operator.changes import Author
from fireflystand_operator.context import WaitOptions
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
    EnvironmentTestCase,
    LosingStore,
)

FASTER = BASE.replace("200 per s", "300 per s")
SLOWER = BASE.replace("200 per s", "100 per s")


class OperatorTestCase(EnvironmentTestCase):
    """Make changes through the operators' commands."""

    async def rejected(self, winner, call, *args, **options):
        with self.assertRaises(RejectedError) as caught:
            await call(*args, **options)
        self.assertEqual(caught.exception.winner, winner)

    async def change(self, env, name, to, operation, context=None):
        kind = states.DATA_CENTRES
        author = Author("ana", "test", operation)
        context = context or env.context()
        return await states.change_state(context, kind, name, to, author, NO_WAIT)

    async def rate(self, env):
        deployment = await env.context().required_deployment()
        return deployment.accounts_by_id["tills"].rate


class RacingOperatorsTests(OperatorTestCase):
    """Guard against accepted changes that another operator's change overwrites."""

    def test_one_of_two_applies_wins_and_the_other_is_told_which(self):
        async def scenario(env):
            await env.apply()
            context = env.interposing(
                "config/current", lambda: env.apply(SLOWER, operation="first")
            )
            await self.rejected(
                "first", env.apply, FASTER, context=context, operation="second"
            )
            self.assertEqual(await self.rate(env), 100.0)
            self.assertNotIn("config/generations/second", env.server.objects_by_key)

        self.run_scenario(scenario)

    def test_one_of_two_first_applies_wins(self):
        async def scenario(env):
            context = env.interposing(
                "config/current", lambda: env.apply(SLOWER, operation="first")
            )
            await self.rejected("first", env.apply, FASTER, context=context)

        self.run_scenario(scenario)

    def test_apply_prepared_for_an_older_generation_is_rejected(self):
        async def scenario(env):
            await env.apply()
            await env.apply(SLOWER, operation="newer")
            await self.rejected("newer", env.apply, FASTER, onto=1)
            await env.apply(FASTER, onto=2)

        self.run_scenario(scenario)

    def test_apply_does_not_revive_a_withdrawn_key(self):
        async def scenario(env):
            await env.apply()
            context = env.context()
            made = await keys.create_key(context, "tills", Author("ana"), NO_WAIT)
            digest = made.data["sha256"]

            async def withdraw():
                author = Author("ben", "", "gone")
                await keys.withdraw_key(env.context(), digest[:10], author, NO_WAIT)

            racing = env.interposing("config/current", withdraw)
            await env.apply(FASTER, context=racing)
            self.assertEqual(await self.rate(env), 300.0)
            rows = await keys.read_keys(context)
            self.assertEqual([row["state"] for row in rows], ["withdrawn"])
            for call in (keys.withdraw_key, keys.grant_key):
                account = ["tills"] if call is keys.grant_key else []
                args = [context, digest, *account, Author("ana"), NO_WAIT]
                await self.rejected("gone", call, *args)

        self.run_scenario(scenario)

    def test_data_centre_taken_out_twice_and_returned_once(self):
        async def scenario(env):
            await env.apply()
            await self.change(env, "north", "out", "a")
            await self.rejected("a", self.change, env, "north", "out", "b")
            await self.change(env, "north", "in", "c")
            found = await states.read_states(env.context(), states.DATA_CENTRES)
            self.assertEqual(found, {"north": "in"})
            await self.rejected("c", self.change, env, "north", "in", "d")

        self.run_scenario(scenario)

    def test_late_take_out_does_not_undo_a_return(self):
        async def scenario(env):
            await env.apply()

            async def out_and_back():
                await self.change(env, "north", "out", "a")
                await self.change(env, "north", "in", "c")

            context = env.interposing("data-centres/", out_and_back)
            await self.rejected(
                "c", self.change, env, "north", "out", "b", context=context
            )
            found = await states.read_states(env.context(), states.DATA_CENTRES)
            self.assertEqual(found, {"north": "in"})

        self.run_scenario(scenario)


class ManyOperatorsTests(OperatorTestCase):
    """Guard against an outcome that differs from the stored history.

    The store drops some responses to concurrent changes.
    """

    def test_exactly_the_accepted_operations_are_in_the_history(self):
        for seed in range(8):
            with self.subTest(seed=seed):
                self.run_scenario(partial(self.race, random.Random(seed)))

    async def race(self, generator, env):
        await env.apply(operation="first")
        verdicts = {"first": True}

        async def attempt(operation, change, *args, **options):
            await trio.sleep(generator.random() / 50)
            if generator.random() < 0.4:
                env.server.faults.drop_put_replies += 1
            try:
                await change(*args, operation=operation, **options)
                verdicts[operation] = True
            except RejectedError as error:
                verdicts[operation] = False
                self.assertNotIn(error.winner, ("", operation))

        async with trio.open_nursery() as nursery:
            for number in range(6):
                text = BASE.replace("200 per s", f"{number + 1} per s")
                nursery.start_soon(attempt, f"apply-{number}", env.apply, text)
                to = generator.choice(["out", "out", "in"])
                state = partial(self.change, env, "north", to)
                nursery.start_soon(attempt, f"state-{number}", state)
                if number == 0:
                    await self.change(env, "north", "out", "zero")
        verdicts["zero"] = True
        shown = await show_history(env.context(), HistoryFilter(limit=100))
        found = [entry["operation_id"] for entry in shown.data["entries"]]
        accepted = [name for name, verdict in verdicts.items() if verdict]
        self.assertEqual(sorted(found), sorted(accepted))
        self.assertEqual(len(verdicts), 14)


class LostResponseTests(OperatorTestCase):
    """Guard against changes made twice or misreported after a lost response."""

    def test_own_operation_is_recognised(self):
        async def scenario(env):
            env.server.faults.drop_put_replies = 2
            result = await env.apply(operation="mine")
            self.assertEqual(result.data["operation_id"], "mine")
            env.server.faults.drop_put_replies = 1
            await self.change(env, "north", "out", "a")
            found = env.server.objects_by_key["data-centres/north"]
            self.assertEqual(len(found.value["history"]), 1)

        self.run_scenario(scenario)

    def test_own_operation_is_recognised_after_it_was_superseded(self):
        async def scenario(env):
            await env.apply()

            store = LosingStore(
                env.address,
                "config/current",
                lambda: env.apply(SLOWER, operation="later"),
            )
            context = env.context(store)
            result = await env.apply(FASTER, context=context, operation="mine")
            self.assertEqual(result.data["generation"], 2)
            self.assertEqual(await self.rate(env), 100.0)

        self.run_scenario(scenario)

    def test_call_lost_before_it_took_effect_is_repeated(self):
        async def scenario(env):
            await env.apply()

            async def fail_once():
                env.server.write_rate = 0

            context = env.interposing("data-centres/", fail_once)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.change, env, "north", "out", "a", context)
                while not env.server.calls_by_kind.get("put", 0) > 2:
                    await trio.sleep(0.01)
                env.server.write_rate = 100
            found = env.server.objects_by_key["data-centres/north"]
            self.assertEqual(found.value["state"], "out")

        self.run_scenario(scenario)

    def test_outcome_that_cannot_be_settled_is_unknown(self):
        async def scenario(env):
            await env.apply()

            async def cut():
                env.server.faults.down = True

            context = env.interposing("data-centres/", cut)
            with self.assertRaises(UnknownOutcomeError) as caught:
                await self.change(env, "north", "out", "a", context)
            self.assertEqual(caught.exception.operation_id, "a")

        self.run_scenario(scenario)


class WaitTests(OperatorTestCase):
    """Guard against a change reported in effect before every instance has it."""

    def test_apply_waits_for_all_live_instances(self):
        async def scenario(env):
            await env.instances.add("i1", generation=1)
            await env.instances.add("i2", generation=0)
            result = await env.apply(wait_options=WaitOptions(True, 0.6))
            self.assertEqual(result.code, ExitCode.NOT_IN_EFFECT)
            self.assertEqual(result.data["late"], ["i2"])
            await env.instances.add("i2", generation=1)
            result = await env.apply(wait_options=WaitOptions(True, 0.6))
            self.assertTrue(result.data["in_effect"])

        self.run_scenario(scenario)

    def test_silent_or_missing_instances_do_not_count_as_in_effect(self):
        async def scenario(env):
            result = await env.apply(wait_options=WaitOptions(True, 0.3))
            self.assertEqual(result.code, ExitCode.NOT_IN_EFFECT)
            await env.instances.add("i1", generation=-1)
            result = await env.apply(wait_options=WaitOptions(True, 0.3))
            self.assertEqual(result.data["late"], ["i1"])

        self.run_scenario(scenario)

    def test_state_changes_wait_for_the_store_version(self):
        async def scenario(env):
            await env.apply()
            await env.instances.add("i1", feed_revision=3)
            kind, wait_options = states.DATA_CENTRES, WaitOptions(True, 0.3)
            args = env.context(), kind, "north"
            result = await states.change_state(
                *args, "out", Author("ana"), wait_options
            )
            self.assertEqual(result.code, ExitCode.ACCEPTED)
            result = await states.change_state(*args, "in", Author("ana"), wait_options)
            self.assertEqual(result.code, ExitCode.NOT_IN_EFFECT)

        self.run_scenario(scenario)


class ReportTests(OperatorTestCase):
    """Guard against reports that omit a kind of object, an instance or a change."""

    def test_history_merges_all_kinds_and_leaves_out_what_lost(self):
        async def scenario(env):
            context = env.context()
            await env.apply(operation="one")
            racing = env.interposing(
                "config/current", lambda: env.apply(SLOWER, operation="two")
            )
            await self.rejected("two", env.apply, FASTER, racing, "lost")
            await keys.create_key(context, "tills", Author("ben"), NO_WAIT)
            await self.change(env, "north", "out", "a")
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

        self.run_scenario(scenario)

    def test_configuration_that_was_seeded_without_audit_record(self):
        async def scenario(env):
            deployment = cattrs.unstructure(load_texts(("base", BASE)))
            store = env.context().store
            key = "config/generations/seed"
            await store.put(key, {"deployment": deployment}, 0)
            pointer = {"generation": 1, "operation_id": "seed", "object": key}
            await store.put("config/current", pointer, 0)
            result = await env.apply(FASTER, operation="next")
            self.assertEqual(result.data["generation"], 2)
            shown = await show_history(env.context(), HistoryFilter())
            found = [entry["operation_id"] for entry in shown.data["entries"]]
            self.assertEqual(found, ["seed", "next"])

        self.run_scenario(scenario)

    def test_status_and_explain(self):
        async def scenario(env):
            await env.apply()
            groups = [{"service": "stock", "group": 0, "pending_moves": 3}]
            await env.instances.add("i1", generation=1, groups=groups)
            await env.instances.add("i2", generation=0, admitting=False)
            await self.change(env, "north", "out", "a")
            store = env.context().store
            record = {"epoch": 4, "coordinator": {"id": "i1", "incarnation": "x"}}
            await store.put("groups/stock/0", record, 0)
            data = (await reports.status(env.context())).data
            self.assertEqual((data["in_effect_on"], data["instances"]), (1, 2))
            self.assertEqual(data["data_centres"], {"north": "out", "south": "in"})
            self.assertEqual(data["pending_moves"], 3)
            self.assertEqual(data["not_admitting"], ["i2"])
            self.assertEqual(data["coordinators"]["stock/0"]["coordinator"], "i1")
            shown = await reports.explain(env.context(), "stock", "a b&c")
            self.assertEqual(shown.data["key"], "a b&c")
            self.assertEqual(shown.data["store"], {"epoch": 4, "coordinator": "i1"})
            with self.assertRaises(InputFaultError):
                await reports.explain(env.context(), "shelf", "k")

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
