"""Model the entry instances and the wire between them and coordinators."""

import heapq

import attrs

from fireflystand_core.admission import PermitDesk, Reply
from fireflystand_core.journal import scope_of
from fireflystand_core.messages import Permit, PermitCancel, PermitReturn, StoredAnswer

from .request_parts import Call

__all__ = ["EntryInstances"]

HOP = 0.01  # seconds
ASK_AGAIN = 0.5  # seconds
ANSWER_GRACE = 0.25  # seconds an entry instance waits for a refusal
RETURN_GRACE = 1.0  # seconds beyond the deadline
LOSABLE = {"ask", "reply", "return", "return-ack", "status", "intent-ack", "cancel"}


class EntryInstances:
    """Play the entry instances: ask for permits, send, return and judge."""

    def send(self, kind: str, *payload, delay: float = HOP) -> None:
        """Put a message on the wire."""
        number = next(self._numbers)
        heapq.heappush(self.wire, (self.now + delay, number, kind, payload))

    def disturb(self, index: int, how: str) -> None:
        """Lose, repeat or delay a message."""
        losable = [m for m in self.wire if m[2] in LOSABLE]
        if not losable:
            return
        message = losable[index % len(losable)]
        at, _, kind, payload = message
        if how == "repeat":
            heapq.heappush(self.wire, (at + 0.3, next(self._numbers), kind, payload))
            return
        self.wire.remove(message)
        heapq.heapify(self.wire)
        if how == "delay":
            heapq.heappush(self.wire, (at + 0.4, next(self._numbers), kind, payload))

    def _tick_call(self, call: Call) -> None:
        if call.state == "done" or call.entry in self.killed:
            return
        sent = call.state == "sent"
        if call.deadline + (0.0 if sent else ANSWER_GRACE) <= self.now:
            if sent:
                self.give_back(call, "unknown", 504)
            self.finish(call, "unknown" if sent or call.request.idempotency_key else "")
        elif call.deadline <= self.now:
            return
        elif call.state == "asking" and call.asked_at + ASK_AGAIN <= self.now:
            self.ask(call)

    def ask(self, call: Call) -> None:
        """Ask the coordinator for a permit."""
        call.asked_at = self.now
        left = call.deadline - self.now
        request = attrs.evolve(
            call.request,
            attempt=call.attempt,
            deadline=left,
            free_retry=call.free_retry,
        )
        self.send("ask", call, request, self.desk)

    def leave(self, call: Call) -> None:
        """Let a caller leave whose request still waits for a permit."""
        if call.state == "asking" and call.entry not in self.killed:
            call.state = "done"
            request = call.request
            cancel = PermitCancel("winkel", 0, request.request_id, call.attempt)
            self.send("cancel", cancel, self.desk)

    def _on_reply(self, reply: Reply, desk: PermitDesk) -> None:
        found = [c for c in self.calls if c.request.request_id == reply.request_id]
        if not found or found[0].entry in self.killed:
            return
        call = found[0]
        answer = reply.answer
        if isinstance(answer, Permit):
            if answer.permit_id in call.used:
                return
            call.used.add(answer.permit_id)
            if call.state != "asking":
                self._queue_return(call, answer, "not-run", 0)
                return
            call.permit = answer
            call.state = "sent"
            self.send("run", call, answer)
        elif call.state == "asking" and not desk.closed:
            self.finish(call, answer.outcome)

    def _not_run(self, call: Call, permit: Permit, status: int = 503, **flags) -> None:
        if call.entry in self.killed or call.permit is not permit:
            return
        self._queue_return(call, permit, "not-run", status, **flags)
        if call.state == "sent":
            call.state = "asking"
            call.attempt += 1
            call.free_retry = flags.get("stale", False)
            call.asked_at = self.now - ASK_AGAIN / 2

    def give_back(self, call: Call, outcome: str, status: int, **flags) -> None:
        """Return the permit of a call."""
        self._queue_return(call, call.permit, outcome, status, **flags)

    def _queue_return(self, call, permit, outcome, status, **flags) -> None:
        request = call.request
        answer = StoredAnswer(status, [], b"") if outcome == "answered" else None
        returned = PermitReturn(
            "winkel",
            0,
            permit.permit_id,
            outcome,
            status,
            0.1,
            answer=answer,
            scope=scope_of(request),
            fingerprint=request.fingerprint,
            target=permit.target,
            **flags,
        )
        until = call.deadline + RETURN_GRACE
        self._returns[permit.permit_id] = (returned, call.entry, until, self.now)
        self._send_return(permit.permit_id)

    def _send_return(self, key: str) -> None:
        returned, entry, until, _ = self._returns[key]
        if entry in self.killed:
            del self._returns[key]
            return
        self._returns[key] = (returned, entry, until, self.now)
        self.send("return", returned, self.desk)

    def _on_return_ack(self, permit_id: str) -> None:
        self._returns.pop(permit_id, None)

    def finish(self, call: Call, outcome: str) -> None:
        """End a call and judge what its caller is told.

        An entry instance whose earlier attempt broke never says not-run.
        """
        call.state = "done"
        call.outcome = outcome or "not-run"
        if call.may_have_run and call.outcome == "not-run":
            call.outcome = "unknown"
        if call.outcome != "not-run":
            return
        request = call.request
        ran = self.runs_by_request.get(request.request_id, 0)
        assert not ran, f"{request.request_id} ran and was told not-run"
        if not request.idempotent:
            ran = self.runs_by_scope.get(scope_of(request), 0)
            assert not ran, f"{scope_of(request)!r} ran and was told not-run"

    def _break(self, call: Call) -> None:
        if call.entry in self.killed:
            return
        call.may_have_run = True
        self.give_back(call, "unknown", 502, broken=True)
        if call.request.idempotent and not call.poison:
            call.state = "asking"
            call.attempt += 1
            call.asked_at = self.now - ASK_AGAIN / 2
        else:
            self.finish(call, "unknown")

    def kill_entry(self, entry: str) -> None:
        """End an entry instance; the coordinator sees its stream close."""
        self.killed.add(entry)
        self.act(self.desk, self.desk.entry_lost(entry, self.now))
