"""Stand in for a target that owns keys, runs requests and takes grants."""

import argparse
import os
import time
import uuid
from collections import Counter

import attrs
import trio

from fireflystand_core.exceptions import FireflystandError

from .http_server import HttpServer, Reply, Request, json_reply

__all__ = ["TargetOptions", "TargetServer"]

CRASH_FIELD = "x-crash-target"
NOT_RUN = {"Fireflystand-Outcome": "not-run"}
OVERLOAD_FACTOR = 2  # times its slots that a cold target survives


@attrs.define
class TargetOptions:
    """Hold the behaviour of a target; times are in seconds."""

    id: str
    slots: int = 3
    service_time: float = 0.005
    cold_time: float = 0.0
    cold_slots: int = 1
    checks_epoch: bool = True
    slow_factor: float = 1.0
    sheds: bool = True
    load_report_lag: float = 0.0
    crash_exits: bool = True
    padding: int = 0  # bytes added to each answer


@attrs.define
class _Grant:
    epoch: int
    sequence: int
    shards: frozenset[int]
    expires_at: float  # milliseconds on the target's clock


class TargetServer:
    """Run requests for the shards it was granted, within its slots."""

    def __init__(
        self, options: TargetOptions, host: str = "127.0.0.1", port: int = 0
    ) -> None:
        self.options = options
        self.incarnation = uuid.uuid4().hex
        self.grants_by_group: dict[tuple[str, int], _Grant] = {}
        self.state = "ready"
        self.in_flight = 0
        self.peak_in_flight = 0
        self.peak_while_cold = 0
        self.runs_by_request = Counter()
        self.runs_by_idempotency_key = Counter()
        self.runs_by_path = Counter()
        self.refusals_by_reason = Counter()
        self.started_at = time.monotonic()
        self._scopes_by_request: dict[str, trio.CancelScope] = {}
        self._reports: list[tuple[float, int]] = []
        self._server = HttpServer(self._handle, host, port)

    async def start(self, nursery: trio.Nursery) -> str:
        """Listen and return the address."""
        return await self._server.start(nursery)

    async def close(self) -> None:
        """Stop serving."""
        await self._server.close()

    @property
    def cold(self) -> bool:
        """Tell whether the target is still warming up."""
        return time.monotonic() - self.started_at < self.options.cold_time

    def turn_cold(self) -> None:
        """Start to warm up again without telling anybody."""
        self.started_at = time.monotonic()

    @property
    def capacity(self) -> int:
        """Return how many requests it can run at once now."""
        return self.options.cold_slots if self.cold else self.options.slots

    async def _handle(self, request: Request) -> Reply:
        if request.path == "/fireflystand/status":
            return json_reply(200, self._status())
        if request.path.startswith("/fireflystand/grants/"):
            return self._grant(request)
        if request.path.startswith("/fireflystand/requests/"):
            return self._cancel(request.path.rpartition("/")[2])
        if request.path == "/control":
            return self._control(request)
        return await self._run(request)

    def _clock_ms(self) -> float:
        return time.monotonic() * 1000

    def _status(self) -> dict:
        return {
            "incarnation": self.incarnation,
            "clock_ms": self._clock_ms(),
            "state": self.state,
            "warm": 0.2 if self.cold else 1.0,
            "in_flight": self._reported_in_flight(),
            "slots": self.options.slots,
        }

    def _reported_in_flight(self) -> int:
        if not self.options.load_report_lag:
            return self.in_flight
        now = time.monotonic()
        self._reports.append((now, self.in_flight))
        old = [r for r in self._reports if r[0] <= now - self.options.load_report_lag]
        if len(old) > 1:
            self._reports = self._reports[len(old) - 1 :]
        return self._reports[0][1]

    def _grant(self, request: Request) -> Reply:
        if not self.options.checks_epoch:
            return json_reply(404, {"error": "this target takes no grants"})
        _, _, _, service, group = request.path.split("/")
        body = request.json()
        grant = _Grant(
            body["epoch"],
            body["sequence"],
            _parse_shards(body["shards"]),
            body["expires_at_ms"],
        )
        held = self.grants_by_group.get((service, int(group)))
        if held and (grant.epoch, grant.sequence) < (held.epoch, held.sequence):
            return json_reply(409, {"epoch": held.epoch, **self._status()})
        self.grants_by_group[service, int(group)] = grant
        answer = {"epoch": grant.epoch, "sequence": grant.sequence}
        return json_reply(200, {**self._status(), **answer})

    def _owns(self, request: Request) -> bool:
        headers = request.headers
        group = int(headers.get("fireflystand-group", -1))
        grant = self.grants_by_group.get((headers.get("fireflystand-service"), group))
        if grant is None or grant.expires_at < self._clock_ms():
            return False
        if str(grant.epoch) != headers.get("fireflystand-epoch"):
            return False
        shard = int(headers.get("fireflystand-shard", -1))
        return shard < 0 or shard in grant.shards

    async def _run(self, request: Request) -> Reply:
        if self.options.checks_epoch and not self._owns(request):
            return self._refuse(421, "not the owner")
        if self.state == "draining":
            return self._refuse(503, "draining")
        if self.in_flight >= self.capacity:
            if self.cold and self.in_flight >= OVERLOAD_FACTOR * self.options.slots:
                self._crash()
                return Reply(drop=True)
            if self.options.sheds:
                return self._refuse(503, "shed")
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        if self.cold:
            self.peak_while_cold = max(self.peak_while_cold, self.in_flight)
        request_id = request.headers.get("fireflystand-request-id", uuid.uuid4().hex)
        try:
            with trio.CancelScope() as scope:
                self._scopes_by_request[request_id] = scope
                return await self._execute(request, request_id)
            return Reply(drop=True)
        finally:
            self.in_flight -= 1
            self._scopes_by_request.pop(request_id, None)

    def _refuse(self, status: int, reason: str) -> Reply:
        self.refusals_by_reason[reason] += 1
        return Reply(status, dict(NOT_RUN), reason.encode())

    async def _execute(self, request: Request, request_id: str) -> Reply:
        self.runs_by_request[request_id] += 1
        self.runs_by_path[request.path] += 1
        key = request.headers.get("idempotency-key")
        if key:
            self.runs_by_idempotency_key[key] += 1
        if CRASH_FIELD in request.headers:
            self._crash()
            return Reply(drop=True)
        await trio.sleep(self.options.service_time * self.options.slow_factor)
        body = f"{self.options.id} ran {request.method} {request.path}\n".encode()
        if request.method in ("POST", "PUT"):
            body += request.body
        body += b"." * self.options.padding
        fields = {"Content-Type": "text/plain", "X-Target": self.options.id}
        account = request.headers.get("fireflystand-client-account", "")
        leaked = "authorization" in request.headers
        fields["X-Account"] = account + (" key-leaked" if leaked else "")
        return Reply(200, fields, body)

    def _cancel(self, request_id: str) -> Reply:
        scope = self._scopes_by_request.get(request_id)
        if scope is None:
            return json_reply(404, {})
        scope.cancel()
        return json_reply(200, {})

    def _crash(self) -> None:
        if self.options.crash_exits:
            os._exit(3)
        raise FireflystandError("target crashed", step="run", peer=self.options.id)

    def _control(self, request: Request) -> Reply:
        if request.method == "PUT":
            changes = request.json()
            if changes.pop("turn_cold", False):
                self.turn_cold()
            self.state = changes.pop("state", self.state)
            for name, value in changes.items():
                setattr(self.options, name, value)
        return json_reply(
            200,
            {
                "id": self.options.id,
                "in_flight": self.in_flight,
                "peak_in_flight": self.peak_in_flight,
                "peak_while_cold": self.peak_while_cold,
                "runs": sum(self.runs_by_request.values()),
                "runs_by_idempotency_key": self.runs_by_idempotency_key,
                "runs_by_path": self.runs_by_path,
                "refusals_by_reason": self.refusals_by_reason,
            },
        )


def _parse_shards(text: str) -> frozenset[int]:
    shards: set[int] = set()
    for part in text.split(","):
        if not part:
            continue
        first, _, last = part.partition("-")
        shards.update(range(int(first), int(last or first) + 1))
    return frozenset(shards)


async def _serve(options: TargetOptions, host: str, port: int) -> None:
    async with trio.open_nursery() as nursery:
        address = await TargetServer(options, host, port).start(nursery)
        print(f"target {address}", flush=True)


def main() -> None:
    """Serve until interrupted."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--service-time", type=float, default=0.005)
    parser.add_argument("--cold-time", type=float, default=0.0)
    parser.add_argument("--no-epoch-check", action="store_true")
    arguments = parser.parse_args()
    options = TargetOptions(
        arguments.id,
        slots=arguments.slots,
        service_time=arguments.service_time,
        cold_time=arguments.cold_time,
        checks_epoch=not arguments.no_epoch_check,
    )
    trio.run(_serve, options, arguments.host, arguments.port)


if __name__ == "__main__":
    main()
