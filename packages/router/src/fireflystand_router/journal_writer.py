"""Make journal entries durable in the object store."""

import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol
from uuid import uuid4

import attrs
import trio

from fireflystand_core.exceptions import (
    ProtocolError,
    StoreConflictError,
    StoreUnavailableError,
)
from fireflystand_core.journal import (
    MAX_BATCH_BYTES,
    Segment,
    bucket_prefixes,
    decode_batch,
    encode_batch,
    first_number,
    is_expired,
    segment_key,
)
from fireflystand_core.messages import JournalAppend, JournalAppended, JournalEntry

from .peers import PeerLink, PeerUnavailableError
from .view import ClusterView

__all__ = [
    "JOURNAL_SERVICE",
    "JournalClient",
    "JournalReader",
    "JournalWriter",
    "journal_numbers",
]

JOURNAL_SERVICE = "journal"
MAX_WAITING = 2000  # appends
EXPIRY_INTERVAL = 60.0  # seconds
ENTRY_OVERHEAD = 400  # bytes of an entry without its body
ASK_TIMEOUT = 1.0  # seconds
RETRY_PAUSE = 0.1  # seconds
READS_AT_ONCE = 4  # half of the store client's connections

GroupName = tuple[str, int]
FAILED: GroupName = ("", -1)  # marks a shared read that failed


class Store(Protocol):
    """Name the calls of the store client that the journal needs."""

    async def get(self, key): ...
    async def put(self, key, value, expected_version): ...
    async def delete(self, key, expected_version): ...
    async def list(self, prefix): ...


@attrs.define(eq=False)
class _Append:
    entries: list[JournalEntry]
    done: trio.Event = attrs.field(factory=trio.Event)
    durable: bool = False
    reason: str = ""

    def finish(self, durable: bool, reason: str = "") -> None:
        self.durable = durable
        self.reason = reason
        self.done.set()

    def size(self) -> int:
        bodies = sum(len(e.answer.body) for e in self.entries if e.answer)
        return bodies + ENTRY_OVERHEAD * len(self.entries)


class JournalWriter:
    """Write the entries of one journal group, one store write at a time."""

    def __init__(
        self,
        number: int,
        store: Store,
        retention: float,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.number = number
        self.writes = 0
        self._store = store
        self._retention = retention  # seconds
        self._wall = wall
        self._waiting: deque[_Append] = deque()
        self._arrived = trio.Event()
        self._segment: Segment | None = None
        self._scope: trio.CancelScope | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Start to write."""
        self._scope = await nursery.start(self._run)

    async def close(self) -> None:
        """Stop; appends that wait are not durable."""
        if self._scope is not None:
            self._scope.cancel()
        while self._waiting:
            self._waiting.popleft().finish(False, "journal writer stops")

    async def append(self, message: JournalAppend) -> JournalAppended:
        """Return once the entries are durable or were refused."""
        if len(self._waiting) >= MAX_WAITING:
            return JournalAppended(False, "journal writer is overloaded")
        append = _Append(message.entries)
        self._waiting.append(append)
        self._arrived.set()
        await append.done.wait()
        return JournalAppended(append.durable, append.reason)

    async def _run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        with trio.CancelScope() as scope:
            task_status.started(scope)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._expire_regularly)
                while True:
                    await self._arrived.wait()
                    self._arrived = trio.Event()
                    while self._waiting:
                        await self._write_batch(self._take_batch())

    def _take_batch(self) -> list[_Append]:
        batch = [self._waiting.popleft()]
        size = batch[0].size()
        while self._waiting and size + self._waiting[0].size() <= MAX_BATCH_BYTES:
            size += self._waiting[0].size()
            batch.append(self._waiting.popleft())
        return batch

    async def _write_batch(self, batch: list[_Append]) -> None:
        durable, reason = False, "journal writer stops"
        try:
            entries = [entry for append in batch for entry in append.entries]
            await self._write(encode_batch(entries))
            durable, reason = True, ""
        except (StoreUnavailableError, StoreConflictError, ProtocolError) as error:
            # What the store holds is not known, so the next write starts a new
            # segment after reading which ones exist.
            self._segment = None
            reason = str(error)
        finally:
            for append in batch:
                append.finish(durable, reason)

    async def _write(self, batch: str) -> None:
        if self._segment is None:
            self._segment = await self._next_segment()
        if not self._segment.fits(batch, self._wall()):
            number = max(self._segment.number + 1, first_number(self._wall()))
            self._segment = Segment(number)
        segment = self._segment.added(batch, uuid4().hex, self._wall())
        key = segment_key(self.number, segment.number)
        self.writes += 1
        try:
            version = await self._store.put(key, segment.value(), segment.version)
        except (StoreUnavailableError, StoreConflictError):
            # The response may be lost although the write took effect.
            found = await self._store.get(key)
            if found is None or found.value["operation_id"] != segment.operation_id:
                raise
            version = found.version
        self._segment = attrs.evolve(segment, version=version)

    async def _next_segment(self) -> Segment:
        number = first_number(self._wall())
        prefix = bucket_prefixes(self.number, self._wall(), 0.0)[-1]
        snapshot = await self._store.list(prefix)
        numbers = [int(item.key.rsplit("/", 1)[1]) + 1 for item in snapshot.items]
        return Segment(max([number, *numbers]))

    async def _expire_regularly(self) -> None:
        while True:
            await trio.sleep(EXPIRY_INTERVAL)
            try:
                await self.expire()
            except (StoreUnavailableError, StoreConflictError, ProtocolError):
                continue

    async def expire(self) -> None:
        """Delete segments whose entries are all past their retention."""
        snapshot = await self._store.list(f"journal/{self.number}/")
        newest = max((item.key for item in snapshot.items), default="")
        for item in snapshot.items:
            expired = is_expired(item.value, self._wall(), self._retention)
            if expired and item.key != newest:
                await self._store.delete(item.key, item.version)


class JournalReader:
    """Read the journal for groups that this instance has taken over.

    Groups that ask while a read is under way share the next one, so the store sees
    at most one read of an instance at a time, however many groups it takes over.
    """

    def __init__(
        self,
        store: Store,
        numbers: Callable[[], Iterable[int]],
        retention: Callable[[], float],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._numbers = numbers
        self._retention = retention  # seconds
        self._wall = wall
        self._lock = trio.Lock()
        self._waiting: dict[GroupName, list[JournalEntry]] = {}

    async def load(self, service: str, group: int) -> list[JournalEntry]:
        """Return the entries of a group within the retention.

        Raise StoreUnavailableError without a store.
        """
        name = (service, group)
        # Shared by all that wait for the lock; the first to get it reads for them.
        wanted = self._waiting
        wanted.setdefault(name, [])
        async with self._lock:
            if self._waiting is wanted:
                self._waiting = {}
                try:
                    await self._read(wanted)
                except BaseException:
                    wanted[FAILED] = []
                    raise
            if FAILED in wanted:
                raise StoreUnavailableError("journal could not be read")
            return wanted[name]

    async def _read(self, wanted: dict[GroupName, list[JournalEntry]]) -> None:
        prefixes = [
            prefix
            for number in sorted(self._numbers())
            for prefix in bucket_prefixes(number, self._wall(), self._retention())
        ]
        errors: list[StoreUnavailableError] = []

        async def read_next(nursery: trio.Nursery) -> None:
            try:
                while prefixes:
                    await self._read_bucket(prefixes.pop(), wanted)
            except StoreUnavailableError as error:
                errors.append(error)
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for _ in range(READS_AT_ONCE):
                nursery.start_soon(read_next, nursery)
        if errors:
            raise errors[0]

    async def _read_bucket(self, prefix: str, wanted) -> None:
        snapshot = await self._store.list(prefix)
        for item in snapshot.items:
            _sort_out(item.value, wanted)
            # Requests without a key are served between two segments.
            await trio.lowlevel.checkpoint()


def _sort_out(value: dict, wanted: dict[GroupName, list[JournalEntry]]) -> None:
    for batch in value["batches"]:
        for entry in decode_batch(batch):
            found = wanted.get((entry.service, entry.group))
            if found is not None:
                found.append(entry)


def _order_for(entry: JournalEntry, numbers: Iterable[int]) -> list[int]:
    """Return writers' numbers, beginning with the one for the entry's group."""
    ordered = sorted(numbers)
    first = entry.group % len(ordered) if ordered else 0
    return ordered[first:] + ordered[:first]


def journal_numbers(view: ClusterView) -> set[int]:
    """Return the numbers of all journal groups that were ever claimed."""
    return {n for service, n in view.claims_by_group if service == JOURNAL_SERVICE}


class Network(Protocol):
    """Name the calls of the peer network that are needed."""

    async def request(self, instance, message, timeout=1.0): ...


class JournalClient:
    """Find a journal writer, here or at another instance, and append through it."""

    def __init__(self, instance: str, network: Network, view: ClusterView) -> None:
        self.writers_by_number: dict[int, JournalWriter] = {}
        self._instance = instance
        self._network = network
        self._view = view

    async def handle_append(self, message: JournalAppend, link: PeerLink):
        """Serve an append of another instance."""
        for number in _order_for(message.entries[0], self._numbers()):
            writer = self.writers_by_number.get(number)
            if writer is not None:
                return await writer.append(message)
        return JournalAppended(False, "no journal writer here")

    async def append(self, entries: list[JournalEntry], timeout: float) -> bool:
        """Tell whether the entries became durable within ``timeout`` seconds."""
        message = JournalAppend(entries)
        with trio.move_on_after(timeout):
            while True:
                for instance in self._writers(entries[0]):
                    if await self._append_at(instance, message):
                        return True
                await trio.sleep(RETRY_PAUSE)
        return False

    def _writers(self, entry: JournalEntry) -> list[str]:
        """Return the writers' instances, beginning with the one for the group."""
        claims = self._view.claims_by_group
        numbers = _order_for(entry, journal_numbers(self._view))
        instances = [claims[(JOURNAL_SERVICE, number)].instance for number in numbers]
        return list(dict.fromkeys(instances))

    def _numbers(self) -> set[int]:
        return journal_numbers(self._view) | set(self.writers_by_number)

    async def _append_at(self, instance: str, message: JournalAppend) -> bool:
        if instance == self._instance:
            answer = await self.handle_append(message, None)
            return answer.durable
        try:
            answer = await self._network.request(instance, message, ASK_TIMEOUT)
        except PeerUnavailableError:
            return False
        return isinstance(answer, JournalAppended) and answer.durable
