"""Run every test module of the workspace in parallel and print the totals."""

import os
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs

__all__ = ["main"]

WORKERS = 6
MODULE_TIMEOUT = 1500.0  # seconds
ROOT = Path(__file__).resolve().parents[4]
KNOWN_RED = ROOT / "KNOWN-RED.txt"


@attrs.frozen
class ModuleResult:
    """Hold the outcome of one test module."""

    module: str
    passed: int
    failed: int
    skipped: int
    output: str


def find_modules(only: str = "") -> list[str]:
    """Return the dotted names of all test modules whose name contains ``only``."""
    modules = []
    for root in [*sorted(ROOT.glob("packages/*/src")), ROOT / "platform"]:
        for path in sorted(root.glob("**/tests/test_*.py")):
            name = ".".join(path.relative_to(root).with_suffix("").parts)
            if only in name:
                modules.append(name)
    return modules


def read_known_red() -> list[str]:
    """Return the test ids listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return []
    text = KNOWN_RED.read_text()
    return re.findall(r"^test: (\S+)", text, flags=re.MULTILINE)


def run_module(module: str, known_red: list[str]) -> ModuleResult:
    """Run one test module in a process of its own."""
    command = [sys.executable, "-m", "unittest", "-v", module]
    for test in known_red:
        if test.startswith(module + "."):
            command = _command_without(module, known_red)
            break
    try:
        done = subprocess.run(
            command,
            capture_output=True,
            text=True,
            timeout=MODULE_TIMEOUT,
            env=dict(os.environ),
        )
    except subprocess.TimeoutExpired as error:
        return ModuleResult(module, 0, 1, 0, f"timed out: {error}")
    return _parse(module, done.returncode, done.stdout + done.stderr)


def _command_without(module: str, known_red: list[str]) -> list[str]:
    script = (
        "import sys, unittest\n"
        "from fireflystand_testing.runner import load_without\n"
        f"suite = load_without({module!r}, {known_red!r})\n"
        "result = unittest.TextTestRunner(verbosity=2).run(suite)\n"
        "sys.exit(not result.wasSuccessful())\n"
    )
    return [sys.executable, "-c", script]


def load_without(module: str, known_red: list[str]):
    """Load a module's tests except those listed in KNOWN-RED.txt."""
    import unittest

    suite = unittest.TestSuite()
    for test in _flatten(unittest.defaultTestLoader.loadTestsFromName(module)):
        if test.id() not in known_red:
            suite.addTest(test)
    return suite


def _flatten(suite):
    for item in suite:
        if hasattr(item, "__iter__"):
            yield from _flatten(item)
        else:
            yield item


def _parse(module: str, returncode: int, output: str) -> ModuleResult:
    ran = sum(int(n) for n in re.findall(r"^Ran (\d+) test", output, re.MULTILINE))
    counts = {
        key: int(value)
        for key, value in re.findall(r"(failures|errors|skipped)=(\d+)", output)
    }
    failed = counts.get("failures", 0) + counts.get("errors", 0)
    skipped = counts.get("skipped", 0)
    if returncode != 0 and failed == 0:
        failed = 1
    return ModuleResult(module, max(0, ran - failed - skipped), failed, skipped, output)


def main() -> int:
    """Run the tests and return the exit code."""
    only = sys.argv[1] if len(sys.argv) > 1 else ""
    known_red = read_known_red()
    modules = find_modules(only)
    with ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(lambda m: run_module(m, known_red), modules))
    for result in results:
        state = "FAILED" if result.failed else "ok"
        print(f"{state:7}{result.passed:5} {result.module}")
        if result.failed:
            print(result.output)
    for test in known_red:
        print(f"known red, not run: {test}")
    passed = sum(r.passed for r in results)
    failed = sum(r.failed for r in results)
    skipped = sum(r.skipped for r in results)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
