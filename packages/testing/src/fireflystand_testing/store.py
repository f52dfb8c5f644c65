"""Stand in for the platform's object store, with faults."""

import argparse
import json
from collections import deque
from typing import Any
from urllib.parse import unquote

import attrs
import trio

from .http_server import HttpServer, Reply, Request, json_reply

__all__ = ["Faults", "StoreServer"]

MAX_VALUE_BYTES = 1_000_000
MAX_HISTORY = 10_000  # changes kept for watches


@attrs.define
class Faults:
    """Hold the faults in force; times are in seconds."""

    down: bool = False
    delay: float = 0.0
    error: bool = False
    drop_put_replies: int = 0
    end_watches: bool = False
    replay: bool = False


@attrs.define
class _Object:
    version: int
    value: Any


class StoreServer:
    """Serve versioned objects with conditional updates and watches."""

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        write_rate: float = 400.0,
        read_rate: float = 2000.0,
    ) -> None:
        self.faults = Faults()
        self.revision = 0
        self.objects_by_key: dict[str, _Object] = {}
        self.calls_by_kind: dict[str, int] = {}
        self.write_rate = write_rate  # calls a second
        self.read_rate = read_rate  # calls a second
        self._history: deque[tuple[int, str, Any]] = deque(maxlen=MAX_HISTORY)
        self._changed = trio.Event()
        self._window: dict[str, deque[float]] = {"read": deque(), "write": deque()}
        self._server = HttpServer(self._handle, host, port)

    async def start(self, nursery: trio.Nursery) -> str:
        """Listen and return the address."""
        return await self._server.start(nursery)

    async def close(self) -> None:
        """Stop serving."""
        await self._server.close()

    async def _handle(self, request: Request) -> Reply:
        if request.path == "/faults":
            return self._set_faults(request)
        if request.path == "/counts":
            return json_reply(200, self.calls_by_kind)
        if self.faults.down:
            return Reply(drop=True)
        if self.faults.delay:
            await trio.sleep(self.faults.delay)
        if self.faults.error:
            return json_reply(503, {"error": "injected"})
        kind = _kind(request)
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1
        if not self._admit("write" if kind in ("put", "delete") else "read"):
            return json_reply(429, {"error": "over rate"})
        if kind == "list":
            return self._list(request.query.get("prefix", ""))
        if kind == "watch":
            return await self._watch(request)
        key = unquote(request.path.removeprefix("/objects/"))
        if kind == "get":
            return self._get(key)
        return self._write(kind, key, request)

    def _set_faults(self, request: Request) -> Reply:
        for name, value in request.json().items():
            setattr(self.faults, name, value)
        self._notify()
        return json_reply(200, attrs.asdict(self.faults))

    def _admit(self, kind: str) -> bool:
        rate = self.write_rate if kind == "write" else self.read_rate
        window = self._window[kind]
        now = trio.current_time()
        while window and window[0] <= now - 1.0:
            window.popleft()
        if len(window) >= rate:
            return False
        window.append(now)
        return True

    def _get(self, key: str) -> Reply:
        found = self.objects_by_key.get(key)
        if found is None:
            return json_reply(404, {})
        return json_reply(200, found.value, ETag=f'"{found.version}"')

    def _write(self, kind: str, key: str, request: Request) -> Reply:
        current = self.objects_by_key.get(key)
        version = current.version if current else 0
        expected = request.headers.get("if-match")
        if request.headers.get("if-none-match") == "*":
            expected = '"0"'
        if expected is None:
            return json_reply(428, {"error": "a condition is required"})
        if expected != f'"{version}"':
            return json_reply(412, {"version": version})
        if len(request.body) > MAX_VALUE_BYTES:
            return json_reply(413, {"error": "value is larger than 1 MB"})
        self.revision += 1
        if kind == "delete":
            self.objects_by_key.pop(key, None)
            value = None
        else:
            value = json.loads(request.body)
            self.objects_by_key[key] = _Object(self.revision, value)
        self._history.append((self.revision, key, value))
        self._notify()
        if self.faults.drop_put_replies > 0:
            self.faults.drop_put_replies -= 1
            return Reply(drop=True)
        return json_reply(200, {"version": self.revision})

    def _list(self, prefix: str) -> Reply:
        items = [
            {"key": key, "version": found.version, "value": found.value}
            for key, found in sorted(self.objects_by_key.items())
            if key.startswith(prefix)
        ]
        return json_reply(200, {"revision": self.revision, "items": items})

    async def _watch(self, request: Request) -> Reply:
        prefix = request.query.get("prefix", "")
        since = int(request.query.get("since", 0))
        wait = int(request.query.get("wait_ms", 0)) / 1000
        if self.faults.replay:
            since = 0
        if self._history and since < self._history[0][0] - 1:
            return json_reply(410, {"error": "compacted"})
        items = self._changes(prefix, since)
        with trio.move_on_after(wait):
            while not items and not self._interrupted():
                await self._changed.wait()
                items = self._changes(prefix, since)
        if self._interrupted():
            return Reply(drop=True)
        return json_reply(200, {"revision": self.revision, "items": items})

    def _interrupted(self) -> bool:
        return self.faults.end_watches or self.faults.down

    def _changes(self, prefix: str, since: int) -> list[dict[str, Any]]:
        return [
            {"key": key, "version": version, "value": value}
            for version, key, value in self._history
            if version > since and key.startswith(prefix)
        ]

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _kind(request: Request) -> str:
    if request.path == "/list":
        return "list"
    if request.path == "/watch":
        return "watch"
    return {"GET": "get", "PUT": "put", "DELETE": "delete"}.get(request.method, "get")


async def _serve(host: str, port: int) -> None:
    async with trio.open_nursery() as nursery:
        address = await StoreServer(host, port).start(nursery)
        print(f"store {address}", flush=True)


def main() -> None:
    """Serve until interrupted."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args()
    trio.run(_serve, options.host, options.port)


if __name__ == "__main__":
    main()
