"""Cut a coordinator off together with a target, and kill the coordinator after it."""

import os
import signal
import sys
import tempfile
from pathlib import Path

import attrs
import trio
from fleet import HOST, Node, Record, call, resource, write_configuration
from links import CONNECTION, ConnectionServer, Links, PeerProxy, StoreGate

from fireflystand_platform.tests.stand_ins import Hold, Store, Target
from fireflystand_testing.http_server import Reply, Request, json_reply

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "winkel"
INSTANCES = 4
TARGETS = 4
HEARTBEAT = 0.87  # seconds
SETTLE = 8.0  # seconds of calls before the cut
CUT = 10.0  # seconds; srv_cut of the site file
KILL_AFTER = 2.1  # seconds from the cut
PATIENCE = 20.0  # seconds to wait for the moment of the cut
RENEWED_BEFORE = 0.7  # seconds
DOWN = 3.5  # seconds; node_kill of the site file
AFTER = 4.0  # seconds after the cut
PERIOD = 0.1  # seconds between two calls to an instance
DEADLINE = 2.5  # seconds
SAMPLE_INTERVAL = 0.02  # seconds between two looks at who holds what
KEY_STEP = 32
ALLOWED = 0.5  # seconds for which two targets may hold the same keys


class KeyTarget(Target):
    """Run requests for the keys held, and keep silent towards who is cut off."""

    def __init__(self, name, peers, links: Links, record: Record) -> None:
        super().__init__(name, SERVICE, peers, keyed=True)
        self.server = ConnectionServer(self._serve)
        self.begun: list[tuple[float, int]] = []
        self.granted_at = float("-inf")
        self._links = links
        self._record = record
        self._callers: dict[object, str] = {}  # coordinators by their connection
        self.coordinator = lambda: ""

    def holds_key(self, key: int) -> bool:
        now = trio.current_time()
        return any(h.meets(key, key) and h.until > now for h in self.holds)

    async def _serve(self, request: Request) -> Reply:
        fields = {name.lower(): value for name, value in request.headers.items()}
        if "request-id" in fields:
            caller = fields["request-id"].partition("/")[0]
        else:
            # A call for control names nobody: its connection tells who made it.
            stream = CONNECTION.get()
            caller = self._callers.get(stream, "")
            if not caller:
                caller = self.coordinator()
                if self._links.cut and caller in self._links.cut:
                    caller = "another coordinator"
                if request.path == "/api/grant":
                    self._callers[stream] = caller
        await self._links.wait(caller, self.name)
        return await super()._serve(request)

    def grant(self, body: dict) -> Reply:
        first, last, fence = body["from"], body["to"], body["fence"]
        if any(h.fence > fence for h in self.holds if h.meets(first, last)):
            return json_reply(409, {})
        known = [h for h in self.holds if (h.first, h.last) == (first, last)]
        self._drop_holds(first, last)
        seconds = int(body["hold_time"].removesuffix("ms")) / 1000
        self.granted_at = trio.current_time()
        self.holds.append(Hold(first, last, fence, self.granted_at + seconds))
        if not known or known[0].fence != fence or self._links.cut:
            self._record(
                f"{self.name} holds {first} to {last}, fence {fence}, {seconds:g} s"
            )
        return json_reply(200, {})

    async def run(self, request: Request, fields: dict, echoed: dict) -> Reply:
        now, key = trio.current_time(), int(fields["shard-key"])
        self.begun.append((now, key))
        self._record(f"{self.name} runs {fields['request-id']}, key {key}")
        return await super().run(request, fields, echoed)


@attrs.define
class Overlap:
    """Hold the time in which two targets held a key."""

    key: int
    names: tuple[str, str]
    since: float
    until: float


class Watcher:
    """Look for keys that two targets hold."""

    def __init__(self, targets: list[KeyTarget]) -> None:
        self.overlaps: list[Overlap] = []
        self._targets = targets
        self._open: dict[int, Overlap] = {}

    async def run(self) -> None:
        while True:
            now = trio.current_time()
            holds = [
                (h, t) for t in self._targets for h in t.holds if h.until > now
            ]
            for key in range(0, 65536, KEY_STEP):
                owners = sorted({t.name for h, t in holds if h.meets(key, key)})
                self._note(key, owners, now)
            await trio.sleep(SAMPLE_INTERVAL)

    def _note(self, key: int, owners: list[str], now: float) -> None:
        known = self._open.get(key)
        if len(owners) < 2:
            self._open.pop(key, None)
        elif known is None:
            known = Overlap(key, (owners[0], owners[1]), now, now)
            self._open[key] = known
            self.overlaps.append(known)
        else:
            known.until = now


class Day:
    """Own all parts of the case."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(HERE / "record.txt")
        self.folder = folder
        self.links = Links()
        self.store = Store()
        self.nodes: list[Node] = []
        self.proxies: list[PeerProxy] = []
        self.targets: list[KeyTarget] = []
        self.holder = ""
        self.confirmed = trio.Event()  # set anew at each confirmation of the holder
        self.number = 0
        self.statuses: list[tuple[str, int | None]] = []

    def on_call(self, name: str, request: Request, reply: Reply) -> None:
        if not request.path.startswith("/api/objects/fireflystand-ranges/"):
            if not request.path.endswith("fireflystand-ranges") or not request.body:
                return
        if request.body and reply.status in (200, 201):
            holder = request.json()["spec"]["holder"]
            if holder != self.holder:
                self.record(f"{holder} claims the service")
            self.holder = holder
        elif request.method == "GET" and name == self.holder:
            self.confirmed.set()
            self.confirmed = trio.Event()

    async def run(self) -> int:
        try:
            async with trio.open_nursery() as nursery:
                await self._start(nursery)
                watcher = Watcher(self.targets)
                nursery.start_soon(watcher.run)
                for node in self.nodes:
                    nursery.start_soon(self._call_often, node)
                await trio.sleep(SETTLE)
                await self._disturb(nursery)
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
        service = resource("services", SERVICE, healthPath="/health", sharded=True)
        write_configuration(self.store, 1, route, service)
        for number in range(TARGETS):
            target = KeyTarget(f"i-{number}", self.targets, self.links, self.record)
            target.tenants = frozenset([None])
            target.coordinator = lambda: self.holder
            self.targets.append(target)
            info = {"service": SERVICE, "zone": "gent-a", "capacity": 8}
            spec = {"info": info, "born": 1000 + number}
            spec["address"] = await target.server.start(nursery)
            content = {"spec": spec, "status": {"state": "ready"}}
            self.store.write("servers", target.name, content)
        zones = ("gent-a", "gent-b", "namur-a", "namur-b")
        for number in range(INSTANCES):
            node = Node(number, zones[number], self.folder, "")
            proxy = PeerProxy(node.name, node.control, self.links)
            await proxy.listen(nursery)
            gate = StoreGate(node.name, self.store, self.links, proxy, self.on_call)
            node._store = await gate.server.start(nursery)
            self.nodes.append(node)
            self.proxies.append(proxy)
        for node in self.nodes:
            node.seeds = [proxy.address for proxy in self.proxies[:3]]
            node.start()
        for node in self.nodes:
            await node.wait_until_ready()
        with trio.fail_after(20):
            while not all(t.holds for t in self.targets):
                await trio.sleep(0.1)

    async def _disturb(self, nursery: trio.Nursery) -> None:
        first = self.holder
        cut_off = self.targets[0]
        self.record(f"{first} coordinates; {cut_off.name} holds {cut_off.holds}")
        if not TROUBLE:
            await trio.sleep(CUT)
            return
        # The coordinator may grant for 6 s after the store has confirmed its claim, and
        # renews leases every 1.1 s. The cut comes while both are fresh.
        with trio.move_on_after(PATIENCE):
            while True:
                await self.confirmed.wait()
                if trio.current_time() - cut_off.granted_at > RENEWED_BEFORE:
                    break
        cut_at = trio.current_time()
        self.links.cut = {first, cut_off.name}
        self.record(f"{first} and {cut_off.name} are cut off from all others")
        nursery.start_soon(self._lapse, cut_off)
        await trio.sleep_until(cut_at + KILL_AFTER)
        while self.holder == first:
            await trio.sleep(0.05)
        number = next(n for n, x in enumerate(self.nodes) if x.name == self.holder)
        second, proxy = self.nodes[number], self.proxies[number]
        self.record(f"{second.name} is killed")
        second.send_signal(signal.SIGKILL)
        second.process.wait()
        await proxy.refuse()
        await trio.sleep(DOWN)
        await proxy.listen(nursery)
        second.start()
        await trio.sleep_until(cut_at + CUT)
        self.links.cut = set()
        self.record("the cut ends")

    async def _lapse(self, target: KeyTarget) -> None:
        """Remove a target's entry after three heartbeats, and write it again."""
        await trio.sleep(3 * HEARTBEAT)
        content = self.store.items_by_kind["servers"][target.name]
        self.store.remove("servers", target.name)
        self.record(f"the entry of {target.name} has lapsed")
        while self.links.cut:
            await trio.sleep(0.05)
        await trio.sleep(HEARTBEAT)
        self.store.write(
            "servers", target.name, {n: content[n] for n in ("spec", "status")}
        )

    async def _call_often(self, node: Node) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                for hold in list(self.targets[0].holds)[:1]:
                    nursery.start_soon(self._call, node, hold.first)
                await trio.sleep(PERIOD)

    async def _call(self, node: Node, key: int) -> None:
        self.number += 1
        request_id = f"{node.name}/{self.number}"
        self.record(f"sent {request_id}, key {key}")
        fields = {
            "Request-Id": request_id,
            "Deadline-Ms": str(int(DEADLINE * 1000)),
            "Shard-Key": str(key),
        }
        status = None
        with trio.move_on_after(DEADLINE):
            status, _, _ = await call(node.front, "GET", "/stock/7", fields)
        self.statuses.append((node.name, status))
        self.record(f"answered {request_id}: {status}")

    def _judge(self, watcher: Watcher) -> int:
        long = [o for o in watcher.overlaps if o.until - o.since > ALLOWED]
        both = []
        for overlap in watcher.overlaps:
            runs = [
                (at, target.name)
                for target in self.targets
                if target.name in overlap.names
                for at, key in target.begun
                if key == overlap.key and overlap.since <= at <= overlap.until
            ]
            if len({name for _, name in runs}) == 2:
                both.append(overlap)
        longest = max((o.until - o.since for o in long), default=0.0)
        served = sum(status == 200 for _, status in self.statuses)
        text = (
            f"{len(long)} of {65536 // KEY_STEP} sampled keys were held by two targets "
            f"for over 0.5 s, {longest:.2f} s at most; on {len(both)} keys both began "
            f"requests meanwhile; {served} of {len(self.statuses)} calls got 200"
        )
        self.record(text)
        print(text)
        if not served:
            return 2
        return int(bool(long or both))


async def play(folder: Path) -> int:
    return await Day(folder).run()


def main() -> None:
    # So that the processes of the instances are ended at SIGTERM, too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    with tempfile.TemporaryDirectory(prefix="review-9-") as name:
        try:
            code = trio.run(play, Path(name))
        except BaseException as error:
            print(f"could not run: {error!r}", file=sys.stderr)
            code = 2
    sys.exit(code)


main()
