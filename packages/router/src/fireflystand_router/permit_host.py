"""Serve permits for the groups that this instance coordinates."""

import time
from collections.abc import Awaitable, Callable
from contextlib import suppress

import attrs
import msgpack
import trio

from fireflystand_core.admission import (
    REFUSED_AFTER,
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

from .events import (
    CRASH_HOLDS_CHANGED,
    ENTRY_LOST,
    JOURNAL_CAUGHT_UP,
    JOURNAL_GAP,
    JOURNAL_KEPT_BACK,
    JOURNAL_LOADED,
    emit,
)
from .metrics import PERMITS_RETURNED, Metrics
from .peers import PeerLink
from .permit_group import GroupAuthority, ServedGroup
from .permit_metrics import count_answer, measure_desks
from .view import ClusterView

__all__ = ["PermitHost"]

TICK = 0.05  # seconds
INTENT_TIMEOUT = 1.0  # seconds until an intent counts as kept back by the store
FLUSH_PAUSE = 0.5  # seconds between attempts to write what was kept back
FLUSH_SIZE = 200  # entries
MEASURE_PERIOD = 1.0  # seconds
LOAD_PAUSE = 0.2  # seconds between attempts to load the journal
NOT_COORDINATOR = "not the coordinator of this group"

GroupId = tuple[str, int]
Append = Callable[[list[JournalEntry], float], Awaitable[bool]]
Load = Callable[[str, int], Awaitable[list[JournalEntry]]]


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
        metrics: Metrics | None = None,
    ) -> None:
        self.instance = instance
        self._view = view
        self._append = append
        self._load = load
        self._retention = retention  # seconds
        self._clock = clock
        self._wall = wall
        self._metrics = metrics or Metrics()
        self._groups: dict[GroupId, ServedGroup] = {}
        self._watched: set[PeerLink] = set()
        self._nursery: trio.Nursery | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Take the nursery that the groups' tasks run in."""
        self._nursery = nursery
        nursery.start_soon(self._measure)

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
        running = ServedGroup(desk, authority, trio.CancelScope())
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
        if journal.has_gap(now):
            seconds = round(journal.gap_until - now)
            emit(JOURNAL_GAP, service=service, group=group, seconds=seconds)
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
        """Take a permit back; refuse it if the group is not served here."""
        return await self.take_back(message)

    async def take_back(self, message: PermitReturn) -> Accepted | PermitRefused:
        """Take a permit back and acknowledge it.

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
        self._metrics.count(PERMITS_RETURNED)
        self._act(running, running.desk.returned(message, self._clock()))
        return Accepted()

    def cancel(self, message: PermitCancel) -> None:
        """Withdraw a request whose caller has left."""
        running = self._groups.get((message.service, message.group))
        if running is not None:
            self._act(running, running.desk.cancel(message, self._clock()))

    async def _measure(self) -> None:
        while True:
            running = list(self._groups.values())
            unwritten = sum(len(r.unwritten) for r in running)
            desks = [r.desk for r in running]
            measure_desks(self._metrics, desks, unwritten, self._clock())
            await trio.sleep(MEASURE_PERIOD)

    def entry_lost(self, entry: str) -> None:
        """Take in that an entry instance is gone."""
        emit(ENTRY_LOST, instance=entry)
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
        self, running: ServedGroup, task_status=trio.TASK_STATUS_IGNORED
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

    async def _load_journal(self, running: ServedGroup) -> None:
        desk, began = running.desk, self._clock()
        while not running.loaded.is_set():
            try:
                entries = await self._load(desk.service, desk.group)
            except StoreUnavailableError:
                await trio.sleep(LOAD_PAUSE)
                continue
            desk.journal.load(entries, self._clock())
            running.loaded.set()
            emit(
                JOURNAL_LOADED,
                service=desk.service,
                group=desk.group,
                entries=len(entries),
                seconds=round(self._clock() - began, 3),
            )

    def _act(self, running: ServedGroup, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Reply):
                self._reply(running, action)
            elif isinstance(action, WriteIntent):
                running.nursery.start_soon(self._write_intent, running, action)
            elif isinstance(action, WriteOutcome):
                running.add([action.entry])
            elif isinstance(action, StoreSuspects):
                self._note_suspects(running, action)

    def _note_suspects(self, running: ServedGroup, action: StoreSuspects) -> None:
        counts = [crashes for _, crashes, _ in action.suspects]
        emit(
            CRASH_HOLDS_CHANGED,
            service=running.desk.service,
            group=running.desk.group,
            held=len(counts),
            refused=sum(crashes >= REFUSED_AFTER for crashes in counts),
        )
        store = running.authority.store_suspects
        running.nursery.start_soon(store, action.suspects)

    def _reply(self, running: ServedGroup, reply: Reply) -> None:
        count_answer(self._metrics, reply.answer)
        send = running.answers.pop((reply.entry, reply.request_id), None)
        if send is not None:
            # Without a waiter the entry instance asks again or cancels.
            with suppress(trio.BrokenResourceError):
                send.send_nowait(reply.answer)

    async def _write_intent(self, running: ServedGroup, action: WriteIntent) -> None:
        durable = False
        if not running.outage:
            durable = await self._append([action.entry], INTENT_TIMEOUT)
        if not durable:
            self._note_outage(running, True)
            running.add([action.entry])
            running.marked = True
            durable = await running.authority.mark_unjournaled()
        actions = running.desk.journaled(
            action.request_id, action.sequence, durable, self._clock()
        )
        self._act(running, actions)

    def _note_outage(self, running: ServedGroup, outage: bool) -> None:
        if running.outage != outage:
            desk = running.desk
            event = JOURNAL_KEPT_BACK if outage else JOURNAL_CAUGHT_UP
            emit(event, service=desk.service, group=desk.group)
        running.outage = outage

    async def _flush(self, running: ServedGroup) -> None:
        """Write outcomes, and intents that an outage kept back."""
        while True:
            pause = FLUSH_PAUSE if running.outage else TICK
            with trio.move_on_after(pause):
                while running.outage or not running.unwritten:
                    await running.changed.wait()
            entries = running.unwritten[:FLUSH_SIZE]
            if entries and await self._append(entries, INTENT_TIMEOUT):
                self._note_outage(running, False)
                running.remove_written(len(entries))
            gap = running.desk.journal.has_gap(self._clock())
            if running.marked and not running.unwritten and not gap:
                running.marked = False
                await running.authority.clear_unjournaled()
