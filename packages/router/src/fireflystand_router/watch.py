"""Watch the store and publish its changes as feed items."""

import json
from typing import Any

import trio

from fireflystand_core.exceptions import FireflystandError, StoreUnavailableError
from fireflystand_core.groups import GroupRecord
from fireflystand_core.messages import FeedItem

from .claim_items import claim_item_value
from .gossip import FRESH_FOR, Gossip
from .store import StoreClient, StoredObject

__all__ = ["StoreWatcher"]

PREFIXES = ("config/", "keys/", "data-centres/", "targets/", "groups/")
CURRENT_KEY = "config/current"
DEPLOYMENT_KEY = "config/deployment"
WATCH_WAIT = 1.0  # seconds; under the time after which admission stops
RETRY_INTERVAL = 0.2  # seconds
IDLE_CHECK_INTERVAL = 0.2  # seconds
ISOLATED_AFTER = 1.0  # seconds without a majority before an instance watches itself


class StoreWatcher:
    """Run one watch while this instance is a watcher of its data centre.

    An instance without a majority watches too, because nobody else tells it of
    changes.
    """

    def __init__(self, store: StoreClient, gossip: Gossip) -> None:
        self._store = store
        self._gossip = gossip
        self._scope = trio.CancelScope()
        self._since: int | None = None
        self.unreadable_keys: set[str] = set()
        self.last_heard: float | None = None  # seconds on trio's clock
        gossip.store_heard = lambda: self.last_heard

    async def start(self, nursery: trio.Nursery) -> None:
        """Start watching when it is this instance's turn."""
        await nursery.start(self._run)

    async def close(self) -> None:
        """Stop watching."""
        self._scope.cancel()

    def reaches_store(self) -> bool:
        """Tell whether the store has answered a watch or list lately."""
        heard = self.last_heard
        return heard is not None and trio.current_time() - heard < FRESH_FOR

    @property
    def active(self) -> bool:
        """Tell whether this instance should watch."""
        table = self._gossip.table
        isolated = table.majority_age(trio.current_time()) > ISOLATED_AFTER
        return table.is_watcher() or isolated

    async def _run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        with self._scope:
            task_status.started()
            while True:
                if not self.active:
                    self._since = None
                    await trio.sleep(IDLE_CHECK_INTERVAL)
                    continue
                try:
                    await self._step()
                except FireflystandError:
                    await trio.sleep(RETRY_INTERVAL)

    async def _step(self) -> None:
        if self._since is None:
            await self._list()
            return
        # One watch over all keys takes one call where one for each prefix takes five.
        snapshot = await self._store.watch("", self._since, WATCH_WAIT)
        if snapshot is None:
            self._since = None
            return
        await self._publish(snapshot.items)
        self.last_heard = trio.current_time()
        newest = max((item.version for item in snapshot.items), default=0)
        if snapshot.items and newest <= self._since:
            await trio.sleep(RETRY_INTERVAL)  # a store that replays answers at once
        self._since = max(self._since, snapshot.revision)

    async def _list(self) -> None:
        revisions = []
        for prefix in PREFIXES:
            snapshot = await self._store.list(prefix)
            revisions.append(snapshot.revision)
            await self._publish(snapshot.items)
            self._publish_deletions(prefix, snapshot.items, snapshot.revision)
        self._since = min(revisions)
        self.last_heard = trio.current_time()

    def _publish_deletions(
        self, prefix: str, items: list[StoredObject], revision: int
    ) -> None:
        if prefix == "config/":
            return
        feed_prefix = "claims/" if prefix == "groups/" else prefix
        listed = {_feed_key(item.key) for item in items}
        state = self._gossip.state
        missing = [
            FeedItem(key, revision, None)
            for key in state.keys(feed_prefix)
            if key not in listed and state.get(key).version < revision
        ]
        self._gossip.publish(missing)

    async def _publish(self, items: list[StoredObject]) -> None:
        published = []
        for item in items:
            if item.key == CURRENT_KEY:
                deployment = await self._read_deployment(item)
                published.extend([] if deployment is None else [deployment])
            elif item.key.startswith(PREFIXES) and not item.key.startswith("config/"):
                try:
                    published.append(_feed_item(item))
                except (KeyError, TypeError, ValueError):
                    self.unreadable_keys.add(item.key)
        self._gossip.publish(published)

    async def _read_deployment(self, pointer: StoredObject) -> FeedItem | None:
        known = self._gossip.state.get(DEPLOYMENT_KEY)
        if pointer.value is None or (known and known.version >= pointer.version):
            return None
        generation = await self._store.get(pointer.value["object"])
        if generation is None:
            raise StoreUnavailableError(
                f"generation {pointer.value['object']!r} does not exist",
                step="read generation",
                peer=self._store.address,
            )
        value = {
            "generation": pointer.value["generation"],
            "operation_id": pointer.value["operation_id"],
            "deployment": generation.value["deployment"],
        }
        return FeedItem(DEPLOYMENT_KEY, pointer.version, json.dumps(value))


def _feed_key(key: str) -> str:
    if key.startswith("groups/"):
        return "claims/" + key.removeprefix("groups/")
    return key


def _feed_item(item: StoredObject) -> FeedItem:
    text = None
    if item.value is not None:
        text = json.dumps(_feed_value(item.key, item.value), separators=(",", ":"))
    return FeedItem(_feed_key(item.key), item.version, text)


def _feed_value(key: str, value: dict[str, Any]) -> dict[str, Any]:
    # Histories and shard lists stay in the store; the feed carries what routers use.
    kind, _, name = key.partition("/")
    if kind == "keys":
        return {"account": value["account"], "state": value["state"]}
    if kind == "groups":
        service, _, group = name.rpartition("/")
        return claim_item_value((service, int(group)), GroupRecord.from_value(value))
    return {"state": value["state"]}
