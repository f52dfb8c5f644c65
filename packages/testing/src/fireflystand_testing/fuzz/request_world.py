"""Model targets, coordinators and the store as pure objects."""

import heapq
from itertools import count

from fireflystand_core.admission import (
    PermitDesk,
    Reply,
    StoreSuspects,
    WriteIntent,
    WriteOutcome,
)
from fireflystand_core.journal import JournalIndex, scope_of
from fireflystand_core.messages import (
    JournalEntry,
    Permit,
    PermitCancel,
    PermitRequest,
    PermitReturn,
)

from .request_entries import EntryInstances
from .request_parts import Call, Target

__all__ = ["Call", "RequestWorld", "Target"]

RETURN_AGAIN = 0.3  # seconds
SERVICE_TIMES = (0.1, 0.4, 1.6, 0.2)  # seconds, in turn
FLUSH_DELAY = 1.0  # seconds until a coordinator writes what an outage kept back
WARM = 100  # successes after which a target is surely warm
TICK = 0.1  # seconds
STATUS_TICKS = 3  # a status comes with each renewal of a grant


class RequestWorld(EntryInstances):
    """Drive all objects by messages that a fuzzer may disturb."""

    def __init__(self, targets: int = 4, slots: int = 3, keyed: bool = False) -> None:
        self.now = 0.0
        self.keyed = keyed
        self.wire: list = []
        self.calls: list[Call] = []
        self.runs_by_scope: dict[str, int] = {}
        self.runs_by_request: dict[str, int] = {}
        self.killed: set[str] = set()
        self.poison_crashes = 0
        self.store_up = True
        self.stored: list[JournalEntry] = []
        self.unwritten: list[JournalEntry] = []
        self.suspects: list = []
        self.unjournaled = False
        self.issued_at: dict[str, float] = {}
        self._numbers = count()
        self._returns: dict[str, tuple[PermitReturn, str, float, float]] = {}
        self._next_tick = 0.0
        self._ticks = 0
        self.claimed_at = 0.0
        self._flush_at = float("inf")
        self.targets = {f"t{i}": Target(f"t{i}", slots) for i in range(targets)}
        self.epoch = 0
        self.authority: dict[int, bool] = {}
        self.desks: list[PermitDesk] = []
        self._open_desk({})

    @property
    def desk(self) -> PermitDesk:
        """Return the present coordinator's desk."""
        return self.desks[-1]

    def _open_desk(self, state: dict[str, bytes]) -> None:
        self.epoch += 1
        epoch = self.epoch
        journal = JournalIndex("winkel", 0, epoch)
        self.authority[epoch] = True
        desk = PermitDesk(
            "winkel",
            0,
            epoch,
            journal,
            owner_of=self._owner_of(epoch) if self.keyed else None,
            may_issue=lambda now: self.authority[epoch],
            longest_deadline=5.0,
        )
        self.desks.append(desk)
        if state:
            desk.restore(state, self.now)
        else:
            journal.load(list(self.stored), self.now)
            desk.hold.load(self.suspects, self.now)
            if self.unjournaled:
                journal.mark_gap(self.now)
        for target in self.targets.values():
            target.epoch = epoch
            desk.add_target(target.id, target.id, target.slots, 100, self.now)
            target.known_since = self.now if not state else target.known_since
            self.status(target.id)

    def _owner_of(self, epoch: int):
        def owner_of(key_hash, shard, now):
            alive = [
                t
                for t in self.targets
                if self.desk.targets_by_id[t].alive
                and not self.desk.targets_by_id[t].draining
            ]
            return (alive[key_hash % len(alive)], epoch) if alive else None

        return owner_of

    def takeover(self) -> None:
        """End the coordinator's authority without its doing; claim anew."""
        self.authority[self.epoch] = False
        self.unwritten.clear()
        self.claimed_at = self.now
        self._open_desk({})

    def toggle_store(self) -> None:
        """Take the store down or bring it back."""
        self.store_up = not self.store_up
        self._flush_at = self.now + FLUSH_DELAY

    def warm_up(self) -> None:
        """Let all targets be warm, as after a time of service."""
        for target in self.targets.values():
            target.successes = WARM
            self.desk.targets_by_id[target.id].warm_limit = float(target.slots)

    def handover(self) -> None:
        """Move the group in a planned way."""
        old = self.desk
        self.act(old, old.close(self.now))
        state = old.export(self.now)
        self.authority[self.epoch] = False
        self._open_desk(state)

    def advance(self, seconds: float) -> None:
        """Let time pass, message by message."""
        end = self.now + seconds
        while True:
            at = self.wire[0][0] if self.wire else float("inf")
            if min(at, self._next_tick) > end:
                break
            if at <= self._next_tick:
                self.now = max(self.now, at)
                _, _, kind, payload = heapq.heappop(self.wire)
                getattr(self, "_on_" + kind.replace("-", "_"))(*payload)
            else:
                self.now = self._next_tick
                self._next_tick += TICK
                self._tick()
        self.now = end

    def _tick(self) -> None:
        self._ticks += 1
        if self._ticks % STATUS_TICKS == 0:
            for target in self.targets:
                self.status(target)
        for desk in self.desks[-2:]:
            self.act(desk, desk.tick(self.now))
            late = [i for i in desk.waiting() if i.deadline < self.now]
            assert not late, f"requests wait past their deadline: {late}"
        for call in self.calls:
            self._tick_call(call)
        for key, (_, _, until, sent_at) in list(self._returns.items()):
            if until <= self.now:
                del self._returns[key]
            elif sent_at + RETURN_AGAIN <= self.now:
                self._send_return(key)
        if self.store_up and self.unwritten and self._flush_at <= self.now:
            self.stored += self.unwritten
            self.unwritten.clear()
            self.unjournaled = self.desk.journal.has_gap(self.now)

    def _on_cancel(self, cancel: PermitCancel, desk: PermitDesk) -> None:
        self.act(desk, desk.cancel(cancel, self.now))

    def _on_ask(self, call: Call, request: PermitRequest, desk: PermitDesk) -> None:
        desk = desk if self.authority[desk.epoch] else self.desk
        self.act(desk, desk.request(request, call.entry, self.now))

    def act(self, desk: PermitDesk, actions: list) -> None:
        """Carry out what a desk asks for."""
        for action in actions:
            if isinstance(action, Reply):
                permit = action.answer
                if isinstance(permit, Permit):
                    self.issued_at.setdefault(permit.permit_id, self.now)
                self.send("reply", action, desk)
            elif isinstance(action, StoreSuspects):
                if desk is self.desk:
                    self.suspects = action.suspects
            elif isinstance(action, WriteIntent):
                self._write(desk, action.entry)
                self.send("intent-ack", desk, action.request_id, action.sequence)
            elif isinstance(action, WriteOutcome):
                self._write(desk, action.entry)

    def _write(self, desk: PermitDesk, entry: JournalEntry) -> None:
        if self.store_up:
            self.stored.append(entry)
        elif desk is self.desk:
            self.unwritten.append(entry)
            self._flush_at = float("inf")
            self.unjournaled = True

    def _on_intent_ack(self, desk: PermitDesk, request_id: str, sequence: int) -> None:
        if self.authority[desk.epoch]:
            self.act(desk, desk.journaled(request_id, sequence, True, self.now))

    def _on_run(self, call: Call, permit: Permit) -> None:
        target = self.targets[permit.target]
        if not target.alive:
            self._not_run(call, permit, refused=True)
        elif target.frozen:
            target.buffer.append((call, permit))
        elif permit.epoch < target.epoch:
            self._not_run(call, permit, status=421, stale=True)
        elif call.deadline > self.now:
            self._start(target, call, permit)

    def _start(self, target: Target, call: Call, permit: Permit) -> None:
        request = call.request
        scope = scope_of(request)
        runs = self.runs_by_request.get(request.request_id, 0) + 1
        self.runs_by_request[request.request_id] = runs
        if scope and not request.idempotent:
            self.runs_by_scope[scope] = self.runs_by_scope.get(scope, 0) + 1
            assert self.runs_by_scope[scope] == 1, f"{scope!r} ran twice"
        if not request.idempotent:
            assert runs == 1, f"{request.request_id} ran twice"
        number = next(self._numbers)
        target.runs[number] = (call, permit, self.now)
        self._check_load(target)
        seconds = SERVICE_TIMES[int(request.request_id[1:]) % len(SERVICE_TIMES)]
        seconds = min(seconds, call.deadline - self.now)
        self.send("end", target, target.incarnation, number, delay=seconds)

    def _check_load(self, target: Target) -> None:
        assert len(target.runs) <= target.slots, f"{target.id} has too few slots"
        known = [
            permit
            for _, permit, _ in target.runs.values()
            if self.issued_at[permit.permit_id] > target.known_since
        ]
        assert len(known) <= target.cold_limit(), (
            f"{target.id} overrun while cold: {known}, known since "
            f"{target.known_since}, {target.successes} successes"
        )

    def _on_end(self, target: Target, incarnation: int, number: int) -> None:
        if incarnation != target.incarnation or number not in target.runs:
            return
        if target.frozen:
            self.send("end", target, incarnation, number, delay=0.1)
            return
        call, permit, _ = target.runs[number]
        if call.deadline <= self.now:
            del target.runs[number]
            return
        if call.poison:
            # Nobody is left to tell of a request whose entry instance and whose
            # coordinator were both lost while it ran.
            witnessed = self.claimed_at <= self.issued_at[permit.permit_id]
            self.poison_crashes += witnessed or call.entry not in self.killed
            assert self.poison_crashes <= 2, "one request crashed three targets"
            self.crash(target.id)
            return
        del target.runs[number]
        target.successes += 1
        if call.entry in self.killed or call.permit is not permit:
            return
        if call.state == "sent":
            self.give_back(call, "answered", 200)
            self.finish(call, "answered")

    def _on_return(self, returned: PermitReturn, desk: PermitDesk) -> None:
        if self.authority[desk.epoch]:
            self.act(desk, desk.returned(returned, self.now))
            self.send("return-ack", returned.permit_id)

    def status(self, target: str) -> None:
        """Let a target tell its status."""
        state = self.targets[target]
        if state.alive and not state.frozen:
            sample = (str(state.incarnation), len(state.runs), self.now)
            self.send("status", state, *sample, self.desk)

    def _on_status(self, target, incarnation, in_flight, sampled_at, desk) -> None:
        known = desk.targets_by_id[target.id].incarnation
        actions = desk.target_status(
            target.id, incarnation, 1.0, in_flight, sampled_at, self.now
        )
        heard = desk.targets_by_id[target.id].incarnation
        if desk is self.desk and heard == str(target.incarnation) != known:
            target.known_since = self.now
        self.act(desk, actions)

    def crash(self, target: str) -> None:
        """Let a target's process die and start again cold."""
        state = self.targets[target]
        runs = list(state.runs.values()) + [(c, p, 0) for c, p in state.buffer]
        state.runs.clear()
        state.buffer.clear()
        state.frozen = False
        state.incarnation += 1
        state.successes = 0
        state.known_since = float("inf")
        for call, permit, _ in runs:
            if call.state == "sent" and call.permit is permit:
                self._break(call)

    def see_crash(self, target: str) -> None:
        """Give the coordinator evidence of a dead process."""
        self.crash(target)
        self.act(self.desk, self.desk.target_lost(target, self.now))

    def thaw(self, target: str) -> None:
        """Let a frozen target go on with what it has received."""
        state = self.targets[target]
        state.frozen = False
        buffered, state.buffer = state.buffer, []
        for number, (call, _, _) in list(state.runs.items()):
            if call.deadline <= self.now:
                del state.runs[number]
        for call, permit in buffered:
            self._on_run(call, permit)
