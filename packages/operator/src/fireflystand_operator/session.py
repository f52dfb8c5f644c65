"""Run one command with its clients and report its result, errors and exit code."""

import json as json_format
import os
import sys
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TextIO

import trio

from fireflystand_core.configuration import (
    FaultySettingsError,
    Place,
    Scalar,
    find_kind,
    parse_duration,
)
from fireflystand_core.exceptions import FireflystandError
from fireflystand_router.store import StoreClient

from .changes import Author
from .context import Context, WaitOptions
from .instances import InstancesClient
from .results import (
    CheckCode,
    CommandResult,
    ExitCode,
    InputFaultError,
    RejectedError,
    UnknownOutcomeError,
    fault_values,
)

__all__ = ["Session", "UsageError"]

STORE_VARIABLE = "FIREFLYSTAND_STORE_ADDRESS"
INSTANCES_VARIABLE = "FIREFLYSTAND_INSTANCE_LIST_ADDRESS"

Operation = Callable[[Context], Awaitable[CommandResult]]


class UsageError(Exception):
    """Report an invalid or missing argument."""


class Session:
    """Defer a command until ``execute`` runs it, and keep its exit code.

    A command is run only after fire has accepted the whole command line.
    """

    def __init__(self, out: TextIO | None = None, err: TextIO | None = None) -> None:
        self.code: ExitCode | CheckCode = ExitCode.USAGE
        self.fault_code: ExitCode | CheckCode = ExitCode.FAULT
        self._deferred: Callable[[], None] | None = None
        self._out = out or sys.stdout
        self._err = err or sys.stderr

    def defer_local(self, operation: Callable[[], CommandResult], json: object) -> None:
        """Defer a command that reads files only."""
        self._deferred = partial(self._run, operation, json)

    def defer(
        self, operation: Operation, json: object, store: object, instances: object
    ) -> None:
        """Defer a command that calls the store or the instances."""

        def run_operation() -> CommandResult:
            store_address = resolve_address(store, "store", STORE_VARIABLE)
            list_address = resolve_address(
                instances, "instances", INSTANCES_VARIABLE, default=store_address
            )
            return trio.run(
                self._run_with_clients, operation, store_address, list_address
            )

        self._deferred = partial(self._run, run_operation, json)

    def execute(self) -> ExitCode:
        """Run the deferred command and return its exit code."""
        if self._deferred is not None:
            self._deferred()
        return self.code

    async def _run_with_clients(
        self, operation: Operation, store_address: str, list_address: str
    ) -> CommandResult:
        store = StoreClient(store_address)
        try:
            return await operation(Context(store, InstancesClient(list_address)))
        finally:
            await store.close()

    def _run(self, operation: Callable[[], CommandResult], json: object) -> None:
        as_json = False
        try:
            as_json = parse_flag(json, "json")
            result = operation()
        except UsageError as error:
            self._fail(ExitCode.USAGE, as_json, [str(error)], {})
        except FaultySettingsError as error:
            faults = fault_values(error.faults)
            lines = [*map(str, error.faults), f"{len(faults)} faults"]
            self._fail(self.fault_code, as_json, lines, {"faults": faults})
        except InputFaultError as error:
            self._fail(ExitCode.FAULT, as_json, [error.message], {})
        except RejectedError as error:
            lines = [f"rejected: {error.message}"]
            self._fail(ExitCode.REJECTED, as_json, lines, {"winner": error.winner})
        except UnknownOutcomeError as error:
            lines = [f"unknown: {error.message}"]
            data = {"operation_id": error.operation_id}
            self._fail(ExitCode.UNKNOWN, as_json, lines, data)
        except FireflystandError as error:
            # Raised before a change was written, so no change took effect.
            lines = [f"failed, nothing was changed: {error}"]
            self._fail(ExitCode.UNKNOWN, as_json, lines, {})
        else:
            self._finish(result, as_json)

    def _finish(self, result: CommandResult, as_json: bool) -> None:
        self.code = result.code
        if as_json:
            self._print_json({"exit": int(result.code), "result": result.data})
        else:
            for line in result.lines or ["none"]:
                print(line, file=self._out)

    def _fail(self, code: ExitCode, as_json: bool, lines: list[str], data) -> None:
        self.code = code
        if as_json:
            self._print_json({"exit": int(code), "error": "\n".join(lines), **data})
        else:
            for line in lines:
                print(line, file=self._err)

    def _print_json(self, value: dict) -> None:
        print(json_format.dumps(value, ensure_ascii=False, indent=2), file=self._out)


def parse_flag(value: object, name: str) -> bool:
    """Parse a flag that takes no value, as fire passes it."""
    if value in (True, "True"):
        return True
    if value in (False, None, "False"):
        return False
    raise UsageError(f"--{name} takes no value, but {value!r} follows it")


def parse_number(value: object, name: str) -> int | None:
    """Parse a whole number; return ``None`` if it is not given."""
    if value is None:
        return None
    try:
        return int(str(value))
    except ValueError:
        raise UsageError(f"--{name} takes a whole number, not {value!r}") from None


def resolve_address(value: object, name: str, variable: str, default: str = "") -> str:
    """Return the address from a flag, an environment variable or the default."""
    text = value or os.environ.get(variable) or default
    if not text:
        raise UsageError(f"give --{name} HOST:PORT or set {variable}")
    try:
        place = Place("command line", 1)
        return find_kind("address").read(Scalar(place, str(text), text))
    except ValueError as error:
        raise UsageError(f"--{name}: {error}") from None


def parse_wait(wait: object, timeout: object) -> WaitOptions:
    """Return whether and how long to wait for a change to be in effect."""
    enabled = parse_flag(wait, "wait")
    if timeout is None:
        return WaitOptions(enabled)
    try:
        return WaitOptions(enabled, parse_duration(str(timeout)))
    except ValueError as error:
        raise UsageError(f"--timeout: {error}") from None


def parse_author(who: object, reason: object) -> Author:
    """Return the author of a change; ``who`` defaults to the login name."""
    why = "" if reason is None else str(reason)
    if "True" in (who, why):
        raise UsageError("--who and --reason take a text")
    return Author(str(who), why) if who else Author(why=why)
