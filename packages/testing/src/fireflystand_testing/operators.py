"""Operate a fleet of real processes with the real command line."""

import hashlib
import json
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import attrs
import trio

from fireflystand_core.configuration import Deployment, render

from .fleet import Fleet, api_key_of
from .instance_list import InstanceListServer

__all__ = ["CommandOutcome", "OperatedFleet"]

COMMAND_TIMEOUT = 60.0  # seconds
HIGHEST_RATE = 10_000.0  # calls a second that the check of rates allows 12 slots


@attrs.frozen
class CommandOutcome:
    """Hold how one command ended and the JSON that it printed."""

    code: int
    value: dict[str, Any]
    seconds: float

    @property
    def result(self) -> Any:
        """Return the result of an accepted change or of a report."""
        return self.value["result"]


class OperatedFleet(Fleet):
    """Own a fleet whose settings and API keys are written by operators."""

    def __init__(self, declare, *arguments: Any, **options: Any) -> None:
        super().__init__(
            lambda addresses: _with_possible_rates(declare(addresses)),
            *arguments,
            **options,
        )
        self._operators_list: InstanceListServer | None = None
        self._list_address = ""
        self._files = tempfile.TemporaryDirectory()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start everything and the instance list that operators read."""
        await super().start(nursery)
        viewer = next(iter(self.routers_by_id))
        self._operators_list = InstanceListServer(self._listing(viewer), 0.0)
        self._list_address = await self._operators_list.start(nursery)

    async def close(self) -> None:
        """End every process and remove the settings files."""
        await super().close()
        self._files.cleanup()

    async def _publish(self) -> None:
        applied = await self.apply(self.deployment)
        assert applied.code == 0, applied
        async with trio.open_nursery() as nursery:
            for account in self.deployment.accounts_by_id:
                digest = hashlib.sha256(api_key_of(account).encode()).hexdigest()
                nursery.start_soon(self.command, "key", "grant", digest, account)

    async def apply(self, deployment: Deployment, *flags: str) -> CommandOutcome:
        """Apply a deployment through a settings file of its own."""
        with tempfile.NamedTemporaryFile(
            "w", suffix=".yaml", dir=self._files.name, delete=False
        ) as file:
            file.write(render(deployment))
        return await self.command("apply", str(Path(file.name)), *flags)

    async def command(self, *words: str) -> CommandOutcome:
        """Run one command in a process of its own."""
        flags = ["--json", "--store", self.store_address]
        if self._list_address:
            flags += ["--instances", self._list_address]
        began = trio.current_time()
        with trio.fail_after(COMMAND_TIMEOUT):
            done = await trio.run_process(
                [sys.executable, "-m", "fireflystand_operator.cli", *words, *flags],
                capture_stdout=True,
                stderr=subprocess.STDOUT,
                check=False,
            )
        seconds = trio.current_time() - began
        return CommandOutcome(done.returncode, json.loads(done.stdout), seconds)

    def with_rate(self, account: str, rate: float) -> Deployment:
        """Return the deployment with another rate of an account."""
        settings = attrs.evolve(self.deployment.accounts_by_id[account], rate=rate)
        accounts = {**self.deployment.accounts_by_id, account: settings}
        return attrs.evolve(self.deployment, accounts_by_id=accounts)


def _with_possible_rates(deployment: Deployment) -> Deployment:
    accounts = {
        name: attrs.evolve(account, rate=min(account.rate, HIGHEST_RATE))
        for name, account in deployment.accounts_by_id.items()
    }
    return attrs.evolve(deployment, accounts_by_id=accounts)
