"""Stand in for upstreams: slots, leases on keys, and records in the store."""

import asyncio
import time
from dataclasses import dataclass

from .http import Reply, Server, json_reply

HEARTBEAT = 0.87  # seconds
EXPIRY = 3 * HEARTBEAT  # of silence, after which the store removes an entry


@dataclass
class Hold:
    """Hold a grant of some keys until a time."""

    first: int
    last: int
    fence: int
    since: float
    until: float


class Upstream:
    """Run one upstream through its lives, all under one id and address."""

    def __init__(self, day, name, service, address, zone, capacity=3, work=0.05):
        self.day = day
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.capacity = capacity
        self.work = work  # seconds that a request takes
        self.warmup = 0.0  # seconds for which a start during traffic is cold
        self.sharded = False
        self.cut = False  # partitioned from the store
        self.state = "ready"
        self.life = 0
        self.up = False
        self.holds = []
        self.fails = 0.0  # share of the requests that it runs and fails with 503
        self.doubles = 0.0  # share of the answers that are given twice
        self._beats = None
        self._server = None

    async def start(self, cold=False):
        """Begin a new life, which holds and knows nothing of before."""
        self.life += 1
        self.up = True
        self.born = int(time.time() * 1000)
        self.started_at = self.day.now()
        self.cold_until = self.started_at + (self.warmup if cold else 0.0)
        self.sequence = 0
        self.holds = []
        self.past_holds = []
        self._fences = []  # (first, last, fence) as seen in this life
        self._slots = asyncio.Semaphore(self.capacity)
        self._running = {}  # request id to its key and the end of the lease on it
        self._ended = asyncio.Event()
        self.waiting = 0
        self._server = Server(self.address, self._serve, self._is_doubled)
        await self._server.start()
        self.day.log(f"{self.name} life {self.life} starts, born {self.born}")
        self._beats = asyncio.ensure_future(self._beat())

    async def crash(self):
        """End at once; all that runs is lost."""
        self.up = False
        self._beats.cancel()
        now = self.day.now()
        for hold in self.holds:
            hold.until = min(hold.until, now)
        self._retire(self.holds)
        self.holds = []
        self.day.log(f"{self.name} life {self.life} crashes")
        await self._server.abort()

    async def _beat(self):
        """Write the entry at each heartbeat; the store drops a silent one."""
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT)

    def write_entry(self):
        """Write the entry, if the store can be reached."""
        if self.cut or self.day.store.silent:
            return
        self.sequence += 1
        left = max(0.0, self.cold_until - self.day.now())
        info = {
            "service": self.service,
            "zone": self.zone,
            "version": 1,
            "capacity": self.capacity,
        }
        status = {
            "state": self.state,
            "sequence": self.sequence,
            "warmupLeft": f"{int(left * 1000)}ms",
        }
        spec = {"info": info, "address": self.address, "born": self.born}
        self.day.store.write("servers", self.name, spec=spec, status=status)
        self.day.beats[self.name] = self.day.now()

    def _retire(self, holds):
        for hold in holds:
            self.day.holds.append((self.name, self.life, hold))

    def owns(self, key):
        now = self.day.now()
        return any(h.first <= key <= h.last and h.until > now for h in self.holds)

    def _until(self, key):
        return max((h.until for h in self.holds if h.first <= key <= h.last), default=0)

    def work_on(self, first, last, now):
        """Return the requests at work on keys whose lease would still last."""
        return [
            (request_id, key)
            for request_id, (key, until) in self._running.items()
            if first <= key <= last and until > now
        ]

    async def _serve(self, request):
        path = request.target.partition("?")[0]
        if path == "/health":
            return json_reply(200, {}, **self._load(), **{"Instance-Id": self.name})
        if path == "/api/grant":
            return self._grant(request.json())
        if path == "/api/release":
            return await self._release(request.json())
        return await self._respond(request)

    def _is_doubled(self, request):
        if self.day.random.random() >= self.doubles:
            return False
        self.day.log(f"{self.name} answers twice to {request.target.split('?')[0]}")
        return True

    def _load(self):
        load = {"Server-Load": f"{len(self._running)},{self.waiting},{self.capacity}"}
        left = self.cold_until - self.day.now()
        if left > 0:
            load["Warmup-Ms"] = str(int(left * 1000))
        return load

    def _grant(self, body):
        first, last, fence = body["from"], body["to"], body["fence"]
        if any(f <= last and first <= t and n > fence for f, t, n in self._fences):
            return json_reply(409, {})
        now = self.day.now()
        self._drop(first, last, now)
        seconds = int(body["hold_time"].removesuffix("ms")) / 1000
        for request_id, (key, until) in self._running.items():
            if first <= key <= last:
                self._running[request_id] = key, max(until, now + seconds)
        self.day.check_work(self, first, last, fence, now)
        self.holds.append(Hold(first, last, fence, now, now + seconds))
        self._fences = [e for e in self._fences if e != (first, last, fence)]
        self._fences.append((first, last, fence))
        self.day.grants.append((now, self.name, self.life, first, last, fence))
        return json_reply(200, {})

    def _drop(self, first, last, now):
        """End what is held of a range."""
        kept = []
        for hold in self.holds:
            if hold.last < first or last < hold.first:
                kept.append(hold)
                continue
            if hold.first < first:
                part = Hold(hold.first, first - 1, hold.fence, hold.since, hold.until)
                kept.append(part)
            if hold.last > last:
                part = Hold(last + 1, hold.last, hold.fence, hold.since, hold.until)
                kept.append(part)
            part = Hold(
                max(first, hold.first),
                min(last, hold.last),
                hold.fence,
                hold.since,
                min(now, hold.until),
            )
            self._retire([part])
        self.holds = kept

    async def _release(self, body):
        first, last = body["from"], body["to"]
        self._drop(first, last, self.day.now())
        while any(first <= key <= last for key, _ in self._running.values()):
            self._ended.clear()
            await self._ended.wait()
        return json_reply(200, {}, Handover=f"{self.name}-{self.life}-{first}")

    async def _respond(self, request):
        headers = request.headers
        request_id = headers.get("request-id", "")
        echoed = {"Request-Id": request_id, **self._load()}
        refused = {**echoed, "Not-Executed": "1"}
        deadline = self.day.now() + int(headers["deadline-ms"]) / 1000
        if headers.get("expect-instance", self.name) != self.name:
            return Reply(421, refused)
        key = int(headers.get("shard-key", -1))
        if self.sharded and not self.owns(key):
            return Reply(421, refused)
        self.day.arrivals.append((self.day.now(), self.name, self.life, request_id))
        if self.day.on_arrival is not None:
            await self.day.on_arrival(self)
        if self.waiting >= 4 * self.capacity:
            return Reply(503, refused)
        self.waiting += 1
        try:
            async with asyncio.timeout(max(0.0, deadline - self.day.now())):
                await self._slots.acquire()
        except TimeoutError:
            return Reply(503, refused)
        finally:
            self.waiting -= 1
        try:
            if self.sharded and not self.owns(key):
                return Reply(421, refused)
            self.day.runs.append((self.day.now(), self.name, self.life, request_id))
            self.day.tenants.append((self.day.now(), headers.get("tenant", "")))
            self._running[request_id] = key, self._until(key)
            try:
                await asyncio.sleep(self.work)
            finally:
                self._running.pop(request_id, None)
                self._ended.set()
            stamp = f"{self.name}.{self.life}.{request_id}"
            if self.day.random.random() < self.fails:
                # It has run, so the answer does not say `Not-Executed`.
                return Reply(503, {**echoed, "Server-Stamp": stamp}, b"failed")
            body = f"{self.name}:{request_id}".encode()
            return Reply(200, {**echoed, "Server-Stamp": stamp}, body)
        finally:
            self._slots.release()
