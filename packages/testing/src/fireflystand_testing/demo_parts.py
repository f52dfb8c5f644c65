"""Hold the processes of the demo and send requests to them."""

import socket
import subprocess
import sys
from pathlib import Path

import attrs

from fireflystand_router.http_client import (
    ConnectionFailedError,
    HttpClient,
    Response,
)
from fireflystand_router.streams import split_address

from .fleet import free_address

__all__ = ["Child", "Router", "is_free", "request"]


def is_free(address: str) -> bool:
    """Tell whether an address can be listened on now."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(split_address(address))
        except OSError:
            return False
    return True


@attrs.define(eq=False)
class Child:
    """Own one process; its output goes to a file of the demo's folder."""

    name: str
    log: Path
    process: subprocess.Popen

    @classmethod
    def start(cls, name: str, folder: Path, module: str, *flags: str) -> "Child":
        """Start a module in a session of its own, out of reach of Ctrl-C."""
        log = folder / f"{name}.log"
        with log.open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *flags],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        return cls(name, log, process)

    @property
    def running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.process.poll() is None


@attrs.define(eq=False)
class Router:
    """Hold the addresses of one router."""

    id: str
    data_centre: str
    listen: str
    peer: str = attrs.field(factory=free_address)
    health: str = attrs.field(factory=free_address)

    def listing(self) -> dict[str, str]:
        """Return the router's entry of the instance list."""
        return {
            "id": self.id,
            "address": self.peer,
            "health_address": self.health,
            "data_centre": self.data_centre,
            "state": "live",
        }

    async def is_ready(self) -> bool:
        """Tell whether the router answers its readiness check with 200."""
        try:
            found = await request(self.health, "GET", "/fireflystand/v1/ready")
        except ConnectionFailedError:
            return False
        return found.status == 200


async def request(address: str, method: str, path: str, **options) -> Response:
    """Send one request on a connection of its own."""
    client = HttpClient(address, timeout=5.0)
    try:
        return await client.request(method, path, **options)
    finally:
        await client.close()
