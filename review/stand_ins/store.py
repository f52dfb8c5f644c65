"""Stand in for the platform's store, as PROTOCOL.md describes it."""

import asyncio
import copy
from urllib.parse import parse_qs, unquote, urlsplit

from .http import Reply, Server, json_reply

ANSWER = 0.004  # seconds that a call takes


class Store:
    """Serve objects with revisions, conditional writes and watches."""

    def __init__(self, address):
        self.revision = 1
        self.silent = False  # the store is down: it answers nothing
        self.by_kind = {}
        self.events = []
        self._changed = asyncio.Event()
        self.server = Server(address, self._serve)

    def write(self, kind, name, **parts):
        """Write parts of an object; a write that changes nothing is no change."""
        known = self.by_kind.setdefault(kind, {}).get(name)
        if known is not None and all(known.get(p) == v for p, v in parts.items()):
            return known
        self.revision += 1
        old = known or {"metadata": {"createRev": self.revision}, "spec": {}}
        metadata = {
            **old["metadata"],
            "name": name,
            "rev": self.revision,
            "finalizers": [],
            "pendingDelete": False,
        }
        item = {**old, **copy.deepcopy(parts), "metadata": metadata}
        self.by_kind[kind][name] = item
        self._publish(kind, item, False)
        return item

    def remove(self, kind, name):
        item = self.by_kind.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            metadata = {**item["metadata"], "rev": self.revision}
            self._publish(kind, {**item, "metadata": metadata}, True)

    def _publish(self, kind, item, deleted):
        self.events.append((self.revision, kind, item, deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, request):
        await asyncio.sleep(ANSWER)
        if self.silent:
            await asyncio.sleep(3600)
        reply = await self._respond(request)
        if self.silent:
            await asyncio.sleep(3600)
        return reply

    async def _respond(self, request):
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix("/api/objects/").partition("/")
        name = unquote(name)
        items = self.by_kind.setdefault(kind, {})
        if request.method == "GET" and not name:
            if "watch" in query:
                return await self._watch(kind, query)
            page = {"items": list(items.values()), "hasMore": False}
            return json_reply(200, {**page, "storeRevision": self.revision})
        if request.method == "GET":
            return json_reply(200 if name in items else 404, items.get(name))
        if request.method == "DELETE":
            if name not in items:
                return json_reply(404, {})
            if int(query.get("rev", 0)) not in (0, items[name]["metadata"]["rev"]):
                return json_reply(409, items[name])
            self.remove(kind, name)
            return json_reply(200, {})
        body = request.json()
        if request.method == "POST":
            name = body["metadata"]["name"]
            if name in items:
                return json_reply(409, items[name])
            return json_reply(201, self.write(kind, name, spec=body["spec"]))
        if name not in items:
            return json_reply(404, {})
        if body["metadata"].get("rev") not in (None, items[name]["metadata"]["rev"]):
            return json_reply(409, items[name])
        return json_reply(200, self.write(kind, name, spec=body["spec"]))

    async def _watch(self, kind, query):
        since = int(query["watch"])
        end = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        while True:
            events = [
                {"object": item, "deleted": deleted}
                for revision, of, item, deleted in self.events
                if of == kind and revision > since
            ]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                page = {"storeRevision": self.revision, "events": events}
                return json_reply(200, page)
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                pass
