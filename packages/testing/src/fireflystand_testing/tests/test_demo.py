"""Test the demo as a process of its own."""

import os
import re
import select
import signal
import subprocess
import sys
import time
import unittest
from pathlib import Path

import trio

from fireflystand_router.http_client import ConnectionFailedError, Response
from fireflystand_testing.demo import READ_KEYS, Demo
from fireflystand_testing.demo_parts import Router, request

START_LIMIT = 40.0  # seconds, with other tests at once
SERVED_LIMIT = 10.0  # seconds until a loss is repaired, with other tests at once
END_LIMIT = 20.0  # seconds
ROUNDS = 10
COMMAND = [sys.executable, "-u", "-m", "fireflystand_testing.demo", "--free-ports"]


class RunningDemo:
    """Own the demo's process and what it printed."""

    def __enter__(self):
        self.process = subprocess.Popen(COMMAND, stdout=subprocess.PIPE, bufsize=0)
        self.text = ""
        deadline = time.monotonic() + START_LIMIT
        while "serving until interrupted" not in self.text:
            left = deadline - time.monotonic()
            ready = select.select([self.process.stdout], [], [], max(0.0, left))[0]
            received = os.read(self.process.stdout.fileno(), 65536) if ready else b""
            if not received:
                self.close()
                raise AssertionError(f"the demo does not serve:\n{self.text}")
            self.text += received.decode()
        self.api_key = re.search(r"^API key: (\S+)", self.text, re.M)[1]
        self.routers = self._found("router")
        self.targets = self._found("target")
        return self

    def _found(self, kind):
        pattern = rf"^{kind} (\S+): ([\d.:]+),.* process (\d+)$"
        found = re.findall(pattern, self.text, re.M)
        return {name: (address, int(pid)) for name, address, pid in found}

    def __exit__(self, *exception):
        self.close()

    def close(self):
        """End the demo and return its exit code."""
        self.process.send_signal(signal.SIGINT)
        try:
            return self.process.wait(END_LIMIT)
        finally:
            self.process.kill()
            self.process.wait()
            self.process.stdout.close()

    def get(self, router, key):
        """Return the target that answered, or what came instead."""
        headers = {"Authorization": f"Bearer {self.api_key}"}
        path = f"/winkel/stock/{key}"
        address = self.routers[router][0]
        try:
            answer = trio.run(lambda: request(address, "GET", path, headers=headers))
        except ConnectionFailedError as error:
            return str(error)
        return answer.headers.get("x-target", f"status {answer.status}")


class DemoTests(unittest.TestCase):
    """Guard against a demo that starts no longer or hides failures."""

    def test_once_ends_with_success(self):
        done = subprocess.run(
            [*COMMAND, "--once"], capture_output=True, text=True, timeout=START_LIMIT
        )
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        self.assertIn("all calls were right", done.stdout)
        self.assertRegex(done.stdout, r"order \w+ ran 1 time\n")

    def test_wrong_answers_are_noticed(self):
        cases = {
            "right": ([Response(200, {"x-target": "t1"}, b"")] * 3, True),
            "two owners": (
                [Response(200, {"x-target": f"t{n % 2}"}, b"") for n in range(3)],
                False,
            ),
            "refused": ([Response(503, {}, b"")] * 3, False),
            "broken": ([None] * 3, False),
        }
        for name, (answers, expected) in cases.items():
            with self.subTest(name):
                demo = Demo(Path(), True)
                demo.routers = [Router(f"r{n}", "namur-a", "") for n in range(3)]
                demo.targets_by_id = {"t0": "", "t1": ""}
                left = list(answers)

                async def call(router, method, path, left=left):
                    return left.pop(0)

                demo.call = call
                self.assertIs(trio.run(demo._read, "fleece-1"), expected)

    def test_an_order_that_ran_twice_is_noticed(self):
        for runs, expected in ((1, True), (2, False), (0, False)):
            with self.subTest(runs=runs):
                demo = Demo(Path(), True)
                demo.routers = [Router(f"r{n}", "namur-a", "") for n in range(2)]

                async def call(router, method, path, body, **fields):
                    return Response(200, {"x-target": "t1"}, b"same")

                async def runs_of(order, runs=runs):
                    return runs

                demo.call, demo._runs_of = call, runs_of
                self.assertIs(trio.run(demo._order_twice), expected)


class LossTests(unittest.TestCase):
    """Guard against a lost process that stops the service of the others."""

    def assert_serves(self, demo, routers, lost=""):
        deadline = time.monotonic() + SERVED_LIMIT
        rounds = 0
        while rounds < ROUNDS:
            found = {(r, key): demo.get(r, key) for r in routers for key in READ_KEYS}
            good = set(found.values()) <= set(demo.targets) - {lost}
            rounds = rounds + 1 if good else 0
            if time.monotonic() > deadline and not good:
                self.fail(f"not served after {SERVED_LIMIT} s: {found}")

    def test_any_router_is_killed(self):
        for lost in ("router-1", "router-2", "router-3"):
            with self.subTest(lost), RunningDemo() as demo:
                os.kill(demo.routers[lost][1], signal.SIGKILL)
                others = [name for name in demo.routers if name != lost]
                self.assert_serves(demo, others)
                self.assertEqual(demo.close(), 0)

    def test_the_target_of_a_key_is_killed(self):
        with RunningDemo() as demo:
            lost = demo.get("router-1", READ_KEYS[0])
            os.kill(demo.targets[lost][1], signal.SIGKILL)
            self.assert_serves(demo, list(demo.routers), lost)
            self.assertEqual(demo.close(), 0)


if __name__ == "__main__":
    unittest.main()
