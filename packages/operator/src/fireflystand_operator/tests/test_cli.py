"""Test the command line from arguments to exit code."""

import hashlib
import io
import json
import unittest
from contextlib import redirect_stderr

import trio

from fireflystand_operator.cli import run
from fireflystand_operator.tests.support import BASE, EnvironmentTestCase


class CommandLineTests(EnvironmentTestCase):
    """Guard against wrong exit codes, API keys in plain text and ignored arguments."""

    async def command(self, env, *arguments):
        out, err = io.StringIO(), io.StringIO()
        given = [*arguments, f"--store={env.address}"]
        code = await trio.to_thread.run_sync(run, given, out, err)
        return code, out.getvalue() or err.getvalue()

    def test_commands_end_with_their_exit_codes(self):
        async def scenario(env):
            good, bad = env.write(BASE), env.write("name: x\n", "bad.yaml")
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
                code, output = await self.command(env, *arguments)
                self.assertEqual(code, expected, (arguments, output))
                self.assertTrue(output)
            _, output = await self.command(env, "account", "show", "1e5")
            self.assertIn("'1e5'", output)
            env.server.faults.down = True
            code, output = await self.command(env, "--json", "status")
            self.assertEqual((code, json.loads(output)["exit"]), (4, 4))

        self.run_scenario(scenario)

    def test_check_ends_with_codes_of_its_own(self):
        """Scripts could not tell warnings from faults."""
        shadowed = BASE + "  - {path: /stock/, service: stock}\n"
        changed = BASE.replace("200 per s", "300 per s")

        async def scenario(env):
            await env.apply()
            rows = [
                (0, changed, "--json", ['"warnings": []', "+  rate: 300 per s"]),
                (0, BASE, "--json", ['"differences": []']),
                (1, shadowed, "--json", ['"line": 16', "never matches"]),
                (2, "name: x\n", "--json", ['"line": 1', "'services' is missing"]),
                (2, BASE.replace("[stock]", "[stok]"), "--json", ['"line": 13']),
            ]
            for expected, text, flag, parts in rows:
                path = env.write(text)
                code, output = await self.command(env, "check", path, flag)
                self.assertEqual(code, expected, output)
                for part in parts:
                    self.assertIn(part, output)
            env.server.faults.down = True
            code, _ = await self.command(env, "check", env.write(BASE))
            self.assertEqual(code, 4)
            code, output = await self.command(env, "check", env.write("name: x\n"))
            self.assertEqual(code, 2, output)
            out = io.StringIO()
            self.assertEqual(run(["check", env.write(shadowed)], out), 1)
            self.assertIn(":16: routes./stock/.path: never matches", out.getvalue())

        self.run_scenario(scenario)

    def test_no_change_is_made_when_arguments_are_left_over(self):
        async def scenario(env):
            await env.apply()
            with redirect_stderr(io.StringIO()), self.assertRaises(SystemExit) as end:
                await self.command(env, "data-centre", "take-out", "north", "south")
            self.assertEqual(end.exception.code, 2)
            self.assertNotIn("data-centres/north", env.server.objects_by_key)

        self.run_scenario(scenario)

    def test_api_key_is_printed_once_and_only_its_hash_is_stored(self):
        async def scenario(env):
            await env.apply()
            _, output = await self.command(env, "key", "create", "tills", "--json")
            made = json.loads(output)["result"]
            digest = hashlib.sha256(made["api_key"].encode()).hexdigest()
            self.assertEqual(made["sha256"], digest)
            stored = {k: o.value for k, o in env.server.objects_by_key.items()}
            self.assertIn(f"keys/{digest}", stored)
            self.assertNotIn(made["api_key"], json.dumps(stored))
            code, _ = await self.command(env, "key", "withdraw", digest[:8])
            self.assertEqual(code, 0)

        self.run_scenario(scenario)

    def test_every_command_has_help(self):
        for arguments in (
            ["check"], ["render"], ["plan"], ["apply"], ["status"], ["history"],
            ["explain"], ["account", "list"], ["account", "show"], ["key", "create"],
            ["key", "list"], ["key", "grant"], ["key", "withdraw"],
            ["data-centre", "take-out"], ["data-centre", "bring-back"],
            ["data-centre", "list"], ["target", "drain"], ["target", "restore"],
            ["target", "list"], ["log", "request"], ["log", "key"],
        ):  # fmt: skip
            shown = io.StringIO()
            with redirect_stderr(shown), self.assertRaises(SystemExit) as end:
                run([*arguments, "--help"])
            self.assertEqual(end.exception.code, 0, arguments)
            self.assertIn("--json", shown.getvalue(), arguments)


if __name__ == "__main__":
    unittest.main()
