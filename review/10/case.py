"""Cut upstreams off while a zone is empty, and kill the coordinator of their keys."""

import os
import signal
import sys
import tempfile
from pathlib import Path

import trio
from fleet import HOST, Node, Record, call, resource, write_configuration

from fireflystand_platform.tests.stand_ins import Hold, Store, Target
from fireflystand_testing.http_server import Reply, Request, json_reply

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "menus"
ZONES = ("lima-norte", "lima-centro", "lima-sur", "lima-este")
TARGETS = 188  # in four zones
EMPTIED = "lima-este"
CUT_OFF = "lima-sur"
LEAVING = 0.2  # of the targets, those in the other zones
DRAIN = 2.0  # seconds
HEARTBEAT = 0.87  # seconds
CUT = 8.5  # seconds
CUT_SHARE = 0.22  # of the targets
KILL_AFTER = 2.65  # seconds from the cut
DOWN = 3.5  # seconds until the killed process is started again
AFTER = 2.0  # seconds after the cut
PATIENCE = 20.0  # seconds
SETTLE = 5.0  # seconds between the emptied zone and the cut
PERIOD = 0.1  # seconds between two calls to an instance
DEADLINE = 2.5  # seconds
SAMPLE_INTERVAL = 0.02  # seconds between two looks at who holds what
ALLOWED = 0.5  # seconds for which two targets may hold the same keys


class KeyTarget(Target):
    """Run requests for the keys held; while cut off, take no calls for control."""

    tenants = frozenset([None])

    def __init__(self, name, zone, peers, record: Record) -> None:
        super().__init__(name, SERVICE, peers, keyed=True)
        self.zone = zone
        self.is_cut = False
        self.granted_at = float("-inf")
        self._record = record

    async def _serve(self, request: Request) -> Reply:
        is_control = request.path == "/health" or request.path.startswith("/api/")
        if is_control and self.is_cut:
            return Reply(drop=True)
        names = [name.lower() for name in request.headers]
        if not is_control and "request-id" not in names:
            self._record(f"{self.name} got {request.method} {request.path}")
            return Reply(400, {"Not-Executed": "1"})
        return await super()._serve(request)

    def grant(self, body: dict) -> Reply:
        first, last, fence = body["from"], body["to"], body["fence"]
        if any(h.fence > fence for h in self.holds if h.meets(first, last)):
            return json_reply(409, {})
        self._drop_holds(first, last)
        seconds = int(body["hold_time"].removesuffix("ms")) / 1000
        self.granted_at = trio.current_time()
        self.holds.append(Hold(first, last, fence, self.granted_at + seconds))
        self._record(f"{self.name} {first} to {last}, fence {fence}, for {seconds} s")
        return json_reply(200, {})

    def holds_keys(self) -> bool:
        """Tell whether the target holds any keys now."""
        return any(h.until > trio.current_time() for h in self.holds)

    def holds_key(self, key: int) -> bool:
        now = trio.current_time()
        return any(h.until > now and h.meets(key, key) for h in self.holds)

    def refuse_misdirected(self, fields, echoed):
        if fields.get("expect-instance") != self.name:
            return Reply(421, {**echoed, "Instance-Id": self.name})
        if not self.holds_key(int(fields["shard-key"])):
            return Reply(421, {**echoed, "Not-Executed": "1"})
        return None


class Watcher:
    """Look for keys that two targets hold."""

    def __init__(self, targets: list[KeyTarget]) -> None:
        self.spans: dict[tuple, list[float]] = {}  # since and until, by names and key
        self._targets = targets

    async def run(self) -> None:
        while True:
            now = trio.current_time()
            holds = sorted(
                (hold.first, hold.last, target.name)
                for target in self._targets
                for hold in target.holds
                if hold.until > now
            )
            before = (-1, -1, "")
            for first, last, name in holds:
                if first <= before[1] and name != before[2]:
                    names = *sorted((name, before[2])), first
                    self.spans.setdefault(names, [now, now])[1] = now
                if last > before[1]:
                    before = (first, last, name)
            await trio.sleep(SAMPLE_INTERVAL)


class Day:
    """Own all parts of the case."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(HERE / "record.txt")
        self.folder = folder
        self.store = Store()
        self.nodes: list[Node] = []
        self.targets: list[KeyTarget] = []
        self.statuses: list[int | None] = []

    @property
    def holder(self) -> str:
        """Return the instance that the range record names."""
        records = self.store.items_by_kind.get("fireflystand-ranges", {})
        return next((r["spec"]["holder"] for r in records.values()), "")

    async def run(self) -> int:
        watcher = Watcher(self.targets)
        try:
            async with trio.open_nursery() as nursery:
                await self._start(nursery)
                nursery.start_soon(watcher.run)
                for node in self.nodes:
                    nursery.start_soon(self._call_often, node)
                await self._empty_zone()
                await self._disturb()
                await trio.sleep(AFTER)
                nursery.cancel_scope.cancel()
        finally:
            for node in self.nodes:
                node.end()
        return self._judge(watcher)

    async def _start(self, nursery: trio.Nursery) -> None:
        route = resource(
            "routes",
            "stock",
            host=HOST,
            pathPrefix="/stock/",
            kind="safe",
            service=SERVICE,
            timeout="1200ms",
            targetLatency="600ms",
            maxAttempts=2,
            public=True,
        )
        service = resource(
            "services", SERVICE, healthPath="/health", sharded=True, maxConnections=520
        )
        write_configuration(self.store, 1, route, service)
        for number in range(TARGETS):
            zone = ZONES[number % len(ZONES)]
            target = KeyTarget(f"i-{number:03}", zone, self.targets, self.record)
            self.targets.append(target)
            info = {"service": SERVICE, "zone": zone, "capacity": 6}
            spec = {"info": info, "born": 1000 + number}
            spec["address"] = await target.server.start(nursery)
            content = {"spec": spec, "status": {"state": "ready"}}
            self.store.write("servers", target.name, content)
        address = await self.store.server.start(nursery)
        self.nodes += [
            Node(number, zone, self.folder, address)
            for number, zone in enumerate(ZONES, 1)
        ]
        for node in self.nodes:
            node.seeds = [other.control for other in self.nodes[:3]]
            node.start()
        for node in self.nodes:
            await node.wait_until_ready()
        await self._wait(lambda: all(t.holds for t in self.targets), "keys for all")

    async def _wait(self, condition, what: str) -> None:
        with trio.fail_after(PATIENCE):
            while not condition():
                await trio.sleep(0.02)
        self.record(what)

    async def _empty_zone(self) -> None:
        self.store.write("evacuations", EMPTIED, {"spec": {}})
        self.record(f"{EMPTIED} is to be emptied")
        emptied = [t for t in self.targets if t.zone == EMPTIED]
        await self._wait(
            lambda: not any(t.holds_keys() for t in emptied), f"{EMPTIED} is empty"
        )
        others = [t for t in self.targets if t.zone not in (EMPTIED, CUT_OFF)]
        leaving = others[: int(LEAVING * TARGETS)]
        for target in leaving:
            item = self.store.items_by_kind["servers"][target.name]
            status = {"state": "draining"}
            self.store.write(
                "servers", target.name, {"spec": item["spec"], "status": status}
            )
        self.record(f"{len(leaving)} targets are draining")
        await self._wait(
            lambda: not any(t.holds_keys() for t in leaving), "they hold no keys"
        )
        await trio.sleep(DRAIN)
        for target in leaving:
            self.store.remove("servers", target.name)
            await target.server.close()
        self.record("they have ended")

    async def _disturb(self) -> None:
        if not TROUBLE:
            await trio.sleep(CUT)
            return
        cut_off = [t for t in self.targets if t.zone == CUT_OFF and t.holds_keys()]
        cut_off = cut_off[: int(CUT_SHARE * TARGETS)]
        await trio.sleep(SETTLE)
        cut_at = trio.current_time()
        for target in cut_off:
            target.is_cut = True
        self.record(f"{len(cut_off)} targets of {CUT_OFF} are cut off")
        await trio.sleep(3 * HEARTBEAT)
        contents = {}
        for target in cut_off:
            item = self.store.items_by_kind["servers"][target.name]
            contents[target.name] = {n: item[n] for n in ("spec", "status")}
            self.store.remove("servers", target.name)
        self.record("their entries have lapsed")
        await trio.sleep_until(cut_at + KILL_AFTER)
        node = next(n for n in self.nodes if n.name == self.holder)
        self.record(f"{node.name}, which coordinates, is killed")
        node.send_signal(signal.SIGKILL)
        node.process.wait()
        await trio.sleep(DOWN)
        node.start()
        await trio.sleep_until(cut_at + CUT)
        for target in cut_off:
            target.is_cut = False
        self.record("the cut ends")
        for name, content in contents.items():
            self.store.write("servers", name, content)

    async def _call_often(self, node: Node) -> None:
        number = 0
        async with trio.open_nursery() as nursery:
            while True:
                number += 1
                key = number * 997 % 65536
                nursery.start_soon(self._call, node, f"{node.name}/{number}", key)
                await trio.sleep(PERIOD)

    async def _call(self, node: Node, request_id: str, key: int) -> None:
        self.record(f"sent {request_id}, key {key}")
        fields = {
            "Request-Id": request_id,
            "Deadline-Ms": str(int(DEADLINE * 1000)),
            "Shard-Key": str(key),
        }
        status = None
        with trio.move_on_after(DEADLINE):
            status, _, _ = await call(node.front, "GET", "/stock/7", fields)
        self.statuses.append(status)
        self.record(f"answered {request_id}: {status}")

    def _judge(self, watcher: Watcher) -> int:
        long = {
            names: until - since
            for names, (since, until) in watcher.spans.items()
            if until - since > ALLOWED
        }
        for (one, other, first), seconds in sorted(long.items()):
            self.record(f"{one} and {other} held key {first} for {seconds:.2f} s")
        served = self.statuses.count(200)
        text = (
            f"{len(long)} ranges were held by two targets for over 0.5 s, "
            f"{max(long.values(), default=0):.2f} s at most; {served} of "
            f"{len(self.statuses)} calls got 200"
        )
        self.record(text)
        print(text)
        return 2 if not served else int(bool(long))


async def play(folder: Path) -> int:
    return await Day(folder).run()


def main() -> None:
    # So that the processes of the instances are ended at SIGTERM, too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with tempfile.TemporaryDirectory(prefix="review-10-") as name:
        try:
            code = trio.run(play, Path(name))
        except BaseException as error:
            print(f"could not run: {error!r}", file=sys.stderr)
            code = 2
    sys.exit(code)


main()
