"""Serve permits for the groups that this instance coordinates."""

import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Protocol

import attrs
import msgpack
import trio

from fireflystand_core.admission import (
    Action,
    PermitDesk,
    Reply,
    StoreSuspects,
    WriteIntent,
    WriteOutcome,
)
from fireflystand_core.exceptions import StoreUnavailableError
from fireflystand_core.journal import JournalIndex, decode_batch, encode_batch
from fireflystand_core.messages import (
    Accepted,
    JournalEntry,
    Permit,
    PermitCancel,
    PermitRefused,
    PermitRequest,
    PermitReturn,
)

from .peers import PeerLink
from .view import ClusterView

__all__ = ["GroupAuthority", "PermitHost"]

TICK = 0.05  # seconds
INTENT_TIMEOUT = 1.0  # seconds until an intent counts as kept back by the store
FLUSH_PAUSE = 0.5  # seconds between attempts to write what was kept back
FLUSH_SIZE = 200  # entries
LOAD_PAUSE = 0.2  # seconds between attempts to load the journal
NOT_COORDINATOR = "not the coordinator of this group"

GroupId = tuple[str, int]
Append = Callable[[list[JournalEntry], float], Awaitable[bool]]
Load = Callable[[str, int], Awaitable[list[JournalEntry]]]


class GroupAuthority(Protocol):
    """Tell a desk what the group's coordinator knows and decides.

    ``owner_of`` is ``None`` for services that are not divided by key. The host
    starts a group only when the predecessor's permits are fenced or its lease
    has ended, because the journal is loaded then.
    """

    epoch: int
    owner_of: Callable[[int, int, float], tuple[str, int] | None] | None
    shard_of: Callable[[int, int], int]
    suspects: list[tuple[int, int, float]]
    predecessor_unjournaled: bool

    def may_issue(self, now: float) -> bool:
        """Tell whether the claim is confirmed by a majority now."""

    def note_request(self, key_hash: int, shard: int) -> None:
        """Count a request for the choice of hot keys."""

    async def mark_unjournaled(self) -> bool:
        """Return whether a majority of witnesses holds the marker."""

    async def clear_unjournaled(self) -> None:
        """Drop the marker."""

    async def store_suspects(self, suspects: list[tuple[int, int, float]]) -> None:
        """Write the crash suspects into the group record."""


@attrs.define(eq=False)
class _Group:
    desk: PermitDesk
    authority: GroupAuthority
    scope: trio.CancelScope
    nursery: trio.Nursery | None = None
    loaded: trio.Event = attrs.field(factory=trio.Event)
    answers: dict[tuple[str, str], trio.MemorySendChannel] = attrs.field(factory=dict)
    unwritten: list[JournalEntry] = attrs.field(factory=list)
    added: int = 0  # entries ever put into ``unwritten``
    written: int = 0  # of these, entries that are durable
    changed: trio.Event = attrs.field(factory=trio.Event)  # of the two counts
    marked: bool = False  # a successor must mark a gap
    outage: bool = False

    def add(self, entries: list[JournalEntry]) -> None:
        """Take entries that the flush writes."""
        self.unwritten += entries
        self.added += len(entries)
        self._note_change()

    def remove_written(self, count: int) -> None:
        """Drop the first entries, which are durable now."""
        del self.unwritten[:count]
        self.written += count
        self.outage = False
        self._note_change()

    def _note_change(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def release_waiting(self) -> None:
        """Let nobody wait any more; a successor takes over what is not written."""
        self.outage = True
        self._note_change()

    async def wait_written(self, number: int) -> None:
        """Wait until so many entries are durable, or an outage keeps them back."""
        while self.written < number and not self.outage:
            await self.changed.wait()


class PermitHost:
    """Run one permit desk for each group and answer entry instances."""

    def __init__(
        self,
        instance: str,
        view: ClusterView,
        append: Append,
        load: Load,
        *,
        retention: float = 600.0,
        clock: Callable[[], float] = trio.current_time,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.instance = instance
        self._view = view
        self._append = append
        self._load = load
        self._retention = retention  # seconds
        self._clock = clock
        self._wall = wall
        self._groups: dict[GroupId, _Group] = {}
        self._watched: set[PeerLink] = set()
        self._nursery: trio.Nursery | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Take the nursery that the groups' tasks run in."""
        self._nursery = nursery

    async def close(self) -> None:
        """Stop all groups."""
        for service, group in list(self._groups):
            self.stop_group(service, group)

    async def start_group(
        self,
        service: str,
        group: int,
        authority: GroupAuthority,
        state: dict[str, bytes] | None = None,
    ) -> PermitDesk:
        """Serve a group; ``state`` comes from a handover, ``None`` from a takeover."""
        now = self._clock()
        journal = JournalIndex(
            service, group, authority.epoch, self._retention, self._wall() - now
        )
        desk = PermitDesk(
            service,
            group,
            authority.epoch,
            journal,
            owner_of=authority.owner_of,
            may_issue=authority.may_issue,
            shard_of=authority.shard_of,
        )
        running = _Group(desk, authority, trio.CancelScope())
        if state is not None:
            desk.restore(state, now)
            running.add(decode_batch(msgpack.unpackb(state["unwritten"])))
            gap = journal.has_gap(now)
            running.marked = gap or bool(running.unwritten)
            running.loaded.set()
        else:
            desk.hold.load(authority.suspects, now)
            if authority.predecessor_unjournaled:
                journal.mark_gap(now)
                running.marked = True
        self._groups[(service, group)] = running
        await self._nursery.start(self._run_group, running)
        return desk

    def stop_group(self, service: str, group: int) -> dict[str, bytes]:
        """Stop a group and return its state for a handover."""
        running = self._groups.pop((service, group))
        now = self._clock()
        # Entry instances hear of the move when their waiters are closed.
        closing = running.desk.close(now)
        self._act(running, [a for a in closing if not isinstance(a, Reply)])
        state = running.desk.export(now)
        state["unwritten"] = msgpack.packb(encode_batch(running.unwritten))
        running.scope.cancel()
        running.release_waiting()
        return state

    def desk_of(self, service: str, group: int) -> PermitDesk | None:
        """Return the desk of a group that is served here."""
        running = self._groups.get((service, group))
        return None if running is None else running.desk

    def act(self, service: str, group: int, actions: list[Action]) -> None:
        """Carry out actions of a desk whose targets changed."""
        running = self._groups.get((service, group))
        if running is not None:
            self._act(running, actions)

    async def handle_request(self, message: PermitRequest, link: PeerLink):
        """Answer a permit request."""
        self._watch(link)
        return await self.request(message, link.hello.instance)

    async def handle_return(self, message: PermitReturn, link: PeerLink):
        """Take a permit back; refuse it if the group is not served here.

        An answer to a request with an idempotency key is acknowledged once it is
        durable. Until then its entry instance returns the permit to a successor.
        """
        running = self._groups.get((message.service, message.group))
        accepted = self.returned(message)
        if running is not None and message.scope and message.outcome == "answered":
            await running.wait_written(running.added)
        return accepted

    async def handle_cancel(self, message: PermitCancel, link: PeerLink) -> Accepted:
        """Withdraw a permit request."""
        self.cancel(message)
        return Accepted()

    async def request(
        self, message: PermitRequest, entry: str
    ) -> Permit | PermitRefused:
        """Return a permit or a refusal within the request's deadline."""
        running = self._groups.get((message.service, message.group))
        if running is None:
            return self._elsewhere(message.service, message.group)
        deadline = self._clock() + message.deadline
        if message.idempotency_key is not None:
            with trio.move_on_after(message.deadline):
                await running.loaded.wait()
        left = deadline - self._clock()
        if left <= 0:
            return PermitRefused("unknown", "journal could not be loaded", 504)
        running.authority.note_request(message.key_hash, message.shard)
        send, receive = trio.open_memory_channel(1)
        # A request that is asked again replaces the first one's waiter.
        running.answers[(entry, message.request_id)] = send
        message = attrs.evolve(message, deadline=left)
        self._act(running, running.desk.request(message, entry, self._clock()))
        with receive:
            try:
                return await receive.receive()
            except trio.EndOfChannel:
                return self._elsewhere(message.service, message.group)

    def returned(self, message: PermitReturn) -> Accepted | PermitRefused:
        """Take a permit back."""
        running = self._groups.get((message.service, message.group))
        if running is None:
            return self._elsewhere(message.service, message.group)
        self._act(running, running.desk.returned(message, self._clock()))
        return Accepted()

    def cancel(self, message: PermitCancel) -> None:
        """Withdraw a request whose caller has left."""
        running = self._groups.get((message.service, message.group))
        if running is not None:
            self._act(running, running.desk.cancel(message, self._clock()))

    def entry_lost(self, entry: str) -> None:
        """Take in that an entry instance is gone."""
        for running in list(self._groups.values()):
            self._act(running, running.desk.entry_lost(entry, self._clock()))

    def _watch(self, link: PeerLink) -> None:
        if link not in self._watched:
            self._watched.add(link)
            self._nursery.start_soon(self._wait_lost, link)

    async def _wait_lost(self, link: PeerLink) -> None:
        await link.lost.wait()
        self._watched.discard(link)
        self.entry_lost(link.hello.instance)

    def _elsewhere(self, service: str, group: int) -> PermitRefused:
        claim = self._view.claims_by_group.get((service, group))
        hint = None if claim is None else claim.instance
        if hint == self.instance:
            hint = None
        return PermitRefused("not-run", NOT_COORDINATOR, coordinator=hint)

    async def _run_group(
        self, running: _Group, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        with running.scope:
            async with trio.open_nursery() as nursery:
                running.nursery = nursery
                nursery.start_soon(self._load_journal, running)
                nursery.start_soon(self._flush, running)
                task_status.started()
                while True:
                    running.desk.set_epoch(running.authority.epoch)
                    self._act(running, running.desk.tick(self._clock()))
                    await trio.sleep(TICK)
        for answer in running.answers.values():
            answer.close()

    async def _load_journal(self, running: _Group) -> None:
        desk = running.desk
        while not running.loaded.is_set():
            try:
                entries = await self._load(desk.service, desk.group)
            except StoreUnavailableError:
                await trio.sleep(LOAD_PAUSE)
                continue
            desk.journal.load(entries, self._clock())
            running.loaded.set()

    def _act(self, running: _Group, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Reply):
                self._reply(running, action)
            elif isinstance(action, WriteIntent):
                running.nursery.start_soon(self._write_intent, running, action)
            elif isinstance(action, WriteOutcome):
                running.add([action.entry])
            elif isinstance(action, StoreSuspects):
                store = running.authority.store_suspects
                running.nursery.start_soon(store, action.suspects)

    def _reply(self, running: _Group, reply: Reply) -> None:
        send = running.answers.pop((reply.entry, reply.request_id), None)
        if send is not None:
            # Without a waiter the entry instance asks again or cancels.
            with suppress(trio.BrokenResourceError):
                send.send_nowait(reply.answer)

    async def _write_intent(self, running: _Group, action: WriteIntent) -> None:
        durable = False
        if not running.outage:
            durable = await self._append([action.entry], INTENT_TIMEOUT)
        if not durable:
            running.outage = True
            running.add([action.entry])
            running.marked = True
            durable = await running.authority.mark_unjournaled()
        actions = running.desk.journaled(
            action.request_id, action.sequence, durable, self._clock()
        )
        self._act(running, actions)

    async def _flush(self, running: _Group) -> None:
        """Write outcomes, and intents that an outage kept back."""
        while True:
            pause = FLUSH_PAUSE if running.outage else TICK
            with trio.move_on_after(pause):
                while running.outage or not running.unwritten:
                    await running.changed.wait()
            entries = running.unwritten[:FLUSH_SIZE]
            if entries and await self._append(entries, INTENT_TIMEOUT):
                running.remove_written(len(entries))
            gap = running.desk.journal.has_gap(self._clock())
            if running.marked and not running.unwritten and not gap:
                running.marked = False
                await running.authority.clear_unjournaled()
