"""Watch the store and publish its changes as feed items."""

import json
from typing import Any

import attrs
import trio

from fireflystand_core.exceptions import FireflystandError
from fireflystand_core.groups import GroupRecord
from fireflystand_core.messages import FeedItem

from .claim_items import claim_item_value
from .events import define_event, emit
from .gossip import FRESH_FOR, VALUE_ERRORS, Gossip, shown_key
from .metrics import Metrics, define_metric
from .store import StoreClient, StoredObject

__all__ = ["StoreWatcher"]

OBJECT_UNREADABLE = define_event(
    5010, "ERROR", "store object cannot be read", "key", "version"
)
UNREADABLE_OBJECTS = define_metric(
    "watch.unreadable", "counter", "objects", "store objects that cannot be read"
)
WATCH_ANSWERS = define_metric(
    "watch.answers", "counter", "answers", "long polls that the store answered"
)
WATCH_FAILURES = define_metric(
    "watch.failures", "counter", "calls", "store calls of the watcher that failed"
)

CURRENT_KEY = "config/current"
DEPLOYMENT_KEY = "config/deployment"
KEYS_PREFIX = "keys/"
KEYS_WAIT = 1.0  # seconds; under the time after which admission stops
OTHER_WAIT = 10.0  # seconds; a change ends the wait
WAITS_BY_PREFIX = {
    KEYS_PREFIX: KEYS_WAIT,
    CURRENT_KEY: OTHER_WAIT,
    "data-centres/": OTHER_WAIT,
    "targets/": OTHER_WAIT,
    "groups/": OTHER_WAIT,
}
RETRY_INTERVAL = 0.2  # seconds
IDLE_CHECK_INTERVAL = 0.2  # seconds
ISOLATED_AFTER = 1.0  # seconds without a majority before an instance watches itself


@attrs.define
class _PrefixWatch:
    """Hold how far one prefix has been read and the poll that waits."""

    prefix: str
    wait: float
    since: int | None = None
    poll: trio.CancelScope = attrs.field(factory=trio.CancelScope)


class StoreWatcher:
    """Run one watch for each prefix while this instance is a watcher.

    An instance without a majority watches too, because nobody else tells it of
    changes. Only ``keys/`` proves that this instance is up to date.
    """

    def __init__(
        self, store: StoreClient, gossip: Gossip, metrics: Metrics | None = None
    ) -> None:
        self._store = store
        self._gossip = gossip
        self._metrics = metrics or Metrics()
        self._scope = trio.CancelScope()
        self._watches = [_PrefixWatch(p, w) for p, w in WAITS_BY_PREFIX.items()]
        self.unreadable_versions_by_key: dict[str, int] = {}
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
            async with trio.open_nursery() as nursery:
                task_status.started()
                for watch in self._watches:
                    nursery.start_soon(self._follow, watch)

    async def _follow(self, watch: _PrefixWatch) -> None:
        while True:
            if not self.active:
                watch.since = None
                await trio.sleep(IDLE_CHECK_INTERVAL)
                continue
            try:
                await self._step(watch)
            except FireflystandError as error:
                self._note_failure(watch, error)
                await trio.sleep(RETRY_INTERVAL)

    async def _step(self, watch: _PrefixWatch) -> None:
        if watch.since is None:
            await self._list(watch)
            self._note_success(watch)
            return
        snapshot = None
        with trio.CancelScope() as watch.poll:
            snapshot = await self._store.watch(watch.prefix, watch.since, watch.wait)
        if watch.poll.cancelled_caught:
            return
        self._metrics.count(WATCH_ANSWERS)
        if snapshot is None:
            watch.since = None
            return
        await self._publish(watch, snapshot.items)
        self._note_success(watch)
        newest = max((item.version for item in snapshot.items), default=0)
        if snapshot.items and newest <= watch.since:
            await trio.sleep(RETRY_INTERVAL)  # a store that replays answers at once
        watch.since = max(watch.since, snapshot.revision)

    def _note_success(self, watch: _PrefixWatch) -> None:
        if watch.prefix == KEYS_PREFIX:
            self.last_heard = trio.current_time()

    def _note_failure(self, watch: _PrefixWatch, error: FireflystandError) -> None:
        self._metrics.count(WATCH_FAILURES)
        if watch.prefix != KEYS_PREFIX:
            return
        # A long poll on a connection that was lost silently would hide changes
        # until its own timeout.
        for other in self._watches:
            other.poll.cancel()

    async def _list(self, watch: _PrefixWatch) -> None:
        snapshot = await self._store.list(watch.prefix)
        await self._publish(watch, snapshot.items)
        self._publish_deletions(watch.prefix, snapshot.items, snapshot.revision)
        watch.since = snapshot.revision

    def _publish_deletions(
        self, prefix: str, items: list[StoredObject], revision: int
    ) -> None:
        if prefix == CURRENT_KEY:
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

    async def _publish(self, watch: _PrefixWatch, items: list[StoredObject]) -> None:
        published = []
        for item in items:
            try:
                if watch.prefix != CURRENT_KEY:
                    published.append(_feed_item(item))
                elif item.key == CURRENT_KEY:
                    published.extend(await self._read_deployment(item))
            except VALUE_ERRORS as error:
                self._note_unreadable(item, error)
        self._gossip.publish(published)

    def _note_unreadable(self, item: StoredObject, error: Exception) -> None:
        if self.unreadable_versions_by_key.get(item.key, 0) >= item.version:
            return
        self.unreadable_versions_by_key[item.key] = item.version
        self._metrics.count(UNREADABLE_OBJECTS)
        emit(OBJECT_UNREADABLE, error, key=shown_key(item.key), version=item.version)

    async def _read_deployment(self, pointer: StoredObject) -> list[FeedItem]:
        known = self._gossip.state.get(DEPLOYMENT_KEY)
        if pointer.value is None or (known and known.version >= pointer.version):
            return []
        generation = await self._store.get(pointer.value["object"])
        if generation is None:
            raise ValueError(f"generation {pointer.value['object']!r} does not exist")
        value = {
            "generation": pointer.value["generation"],
            "operation_id": pointer.value["operation_id"],
            "deployment": generation.value["deployment"],
        }
        return [FeedItem(DEPLOYMENT_KEY, pointer.version, json.dumps(value))]


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
