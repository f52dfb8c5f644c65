"""Stand in for the platform's lagging list of instances."""

import argparse
import json
from typing import Any

import trio

from .http_server import HttpServer, Reply, Request, json_reply

__all__ = ["InstanceListServer"]


class InstanceListServer:
    """Serve a list that shows each change only after ``lag`` seconds."""

    def __init__(
        self,
        instances: list[dict[str, Any]],
        lag: float = 5.0,
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self.lag = lag  # seconds
        self._visible = instances
        self._pending: list[tuple[float, list[dict[str, Any]]]] = []
        self._server = HttpServer(self._handle, host, port)

    async def start(self, nursery: trio.Nursery) -> str:
        """Listen and return the address."""
        return await self._server.start(nursery)

    async def close(self) -> None:
        """Stop serving."""
        await self._server.close()

    def set_instances(self, instances: list[dict[str, Any]]) -> None:
        """Change the list; callers see it after the lag."""
        self._pending.append((trio.current_time() + self.lag, instances))

    async def _handle(self, request: Request) -> Reply:
        if request.method == "PUT":
            self.set_instances(request.json())
            return json_reply(200, {})
        while self._pending and self._pending[0][0] <= trio.current_time():
            self._visible = self._pending.pop(0)[1]
        return json_reply(200, self._visible)


async def _serve(options: argparse.Namespace) -> None:
    server = InstanceListServer(
        json.loads(options.instances), options.lag, options.host, options.port
    )
    async with trio.open_nursery() as nursery:
        address = await server.start(nursery)
        print(f"instance-list {address}", flush=True)


def main() -> None:
    """Serve until interrupted."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--lag", type=float, default=5.0)
    parser.add_argument("--instances", default="[]")
    trio.run(_serve, parser.parse_args())


if __name__ == "__main__":
    main()
