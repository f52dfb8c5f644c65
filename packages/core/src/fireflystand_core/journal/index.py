"""Index the intents and outcomes of requests by idempotency key."""

import attrs

from fireflystand_core.messages import JournalEntry, PermitRequest, StoredAnswer

__all__ = ["Begin", "JournalIndex", "JournalRecord", "scope_of"]

RETENTION = 600.0  # seconds
MAX_RECORDS = 100_000
MAX_BODY_BYTES = 64 * 1024
MAX_BODIES_BYTES = 32 * 1024 * 1024  # all kept bodies of one group
_STATES = ["intent", "not-run", "unknown", "answered"]  # later ones replace earlier


def scope_of(request: PermitRequest) -> str:
    """Return the scope of a request's idempotency key, or an empty string."""
    if request.idempotency_key is None:
        return ""
    return "\0".join(
        [
            request.account,
            request.service,
            f"{request.key_hash:x}",
            request.idempotency_key,
        ]
    )


@attrs.frozen
class Begin:
    """Tell what to do with a request.

    ``action`` is ``run``, ``wait``, ``replay`` or ``refuse``.
    """

    action: str
    sequence: int = 0
    answer: StoredAnswer | None = None
    status: int = 0
    outcome: str = ""
    reason: str = ""


@attrs.define
class JournalRecord:
    """Hold what is known of one idempotency key.

    ``state`` is ``in-progress``, ``answered``, ``not-run`` or ``unknown``.
    """

    scope: str
    fingerprint: int
    state: str
    epoch: int
    sequence: int
    until: float
    runner: str = ""
    answer: StoredAnswer | None = None
    may_have_run: bool = False
    durable: bool = True
    loaded: bool = False
    from_intent: bool = False
    waiting: list[str] = attrs.field(factory=list)


class JournalIndex:
    """Let a request with an idempotency key run at most once.

    ``clock_offset`` is the wall clock minus the clock of ``now``, in seconds.
    """

    def __init__(
        self,
        service: str,
        group: int,
        epoch: int,
        retention: float = RETENTION,
        clock_offset: float = 0.0,
        max_records: int = MAX_RECORDS,
    ) -> None:
        self.service = service
        self.group = group
        self.epoch = epoch
        self.retention = retention
        self.clock_offset = clock_offset
        self.gap_until = float("-inf")
        self._max_records = max_records
        self._by_scope: dict[str, JournalRecord] = {}
        self._bodies_bytes = 0

    def __len__(self) -> int:
        return len(self._by_scope)

    def begin(
        self,
        scope: str,
        fingerprint: int,
        request_id: str,
        idempotent: bool,
        now: float,
    ) -> Begin:
        """Register a request and tell whether it may run, waits or is answered.

        An entry instance asks again under the same request id only for a request
        that it did not send. So it may run although an earlier coordinator wrote
        its intent, but it counts as perhaps run, since the message may be a copy.
        """
        record = self._by_scope.get(scope)
        if record is None:
            return self._begin_new(scope, fingerprint, request_id, idempotent, now)
        if record.fingerprint != fingerprint:
            return Begin(
                "refuse",
                status=422,
                outcome="not-run",
                reason="idempotency key was used for another request",
            )
        if record.state == "in-progress":
            if request_id not in record.waiting:
                record.waiting.append(request_id)
            return Begin("wait")
        if record.state == "answered":
            return self._replay(record)
        if record.loaded and self.has_gap(now) and not idempotent:
            return _unknown("journal may lack a later run of the request")
        asks_again = record.from_intent and record.runner == request_id
        if record.state == "unknown" and not idempotent and not asks_again:
            return _unknown("outcome of the first request is unknown")
        return self._run(record, request_id, now)

    def _begin_new(self, scope, fingerprint, request_id, idempotent, now) -> Begin:
        if self.has_gap(now) and not idempotent:
            return _unknown("journal has a gap after a store outage")
        if len(self._by_scope) >= self._max_records:
            return Begin(
                "refuse",
                status=503,
                outcome="not-run",
                reason="journal index is full",
            )
        record = JournalRecord(scope, fingerprint, "not-run", self.epoch, 0, now)
        record.durable = not idempotent
        self._by_scope[scope] = record
        return self._run(record, request_id, now)

    def _run(self, record: JournalRecord, request_id: str, now: float) -> Begin:
        record.state = "in-progress"
        record.from_intent = record.loaded = False
        record.runner = request_id
        record.epoch = self.epoch
        record.sequence += 1
        record.until = now + self.retention
        return Begin("run", sequence=record.sequence)

    def _replay(self, record: JournalRecord) -> Begin:
        if record.answer is not None:
            return Begin("replay", answer=record.answer, status=record.answer.status)
        return Begin(
            "refuse",
            status=409,
            outcome="answered",
            reason="first response is not kept",
        )

    def may_have_run(self, scope: str) -> bool:
        """Tell whether an earlier run of the request ended without an outcome."""
        record = self._by_scope.get(scope)
        return record is not None and record.may_have_run

    def leave(self, scope: str, request_id: str) -> None:
        """Forget a repeat that no longer waits."""
        record = self._by_scope.get(scope)
        if record is not None and request_id in record.waiting:
            record.waiting.remove(request_id)

    def finish(
        self,
        scope: str,
        sequence: int,
        state: str,
        answer: StoredAnswer | None,
        now: float,
    ) -> list[str] | None:
        """Record the outcome of one run and return the repeats that waited.

        Return ``None`` if nothing changed. The outcome of an earlier run never
        replaces that of a later one, and nothing replaces an answer.
        """
        record = self._by_scope.get(scope)
        if record is None or record.state == "answered":
            return None
        if state != "answered" and record.sequence != sequence:
            return None
        if state == "unknown":
            record.may_have_run = True
        elif state == "not-run" and record.may_have_run:
            state = "unknown"
        record.state = state
        record.until = now + self.retention
        if state == "answered":
            self._keep(record, answer)
        waiting, record.waiting = record.waiting, []
        return waiting

    def finish_foreign(
        self, scope: str, fingerprint: int, answer: StoredAnswer | None, now: float
    ) -> bool:
        """Take in an answer for a permit of an earlier coordinator.

        Only an answer is accepted: a delayed return of a request that did not
        run may belong to an earlier run than the one whose outcome is unknown.
        """
        record = self._by_scope.get(scope)
        if record is None or record.fingerprint != fingerprint:
            return False
        if record.state != "unknown":
            return False
        self.finish(scope, record.sequence, "answered", answer, now)
        return True

    def _keep(self, record: JournalRecord, answer: StoredAnswer | None) -> None:
        if answer is None or len(answer.body) > MAX_BODY_BYTES:
            return
        if self._bodies_bytes + len(answer.body) > MAX_BODIES_BYTES:
            return
        record.answer = answer
        self._bodies_bytes += len(answer.body)

    def entry(self, scope: str, now: float) -> JournalEntry | None:
        """Return the durable form of a record, if it needs one."""
        record = self._by_scope.get(scope)
        if record is None or not record.durable:
            return None
        state = "intent" if record.state == "in-progress" else record.state
        return JournalEntry(
            self.service,
            self.group,
            record.epoch,
            scope,
            record.fingerprint,
            state,
            now + self.clock_offset,
            record.answer,
            record.sequence,
            record.runner,
        )

    def load(self, entries: list[JournalEntry], now: float) -> None:
        """Rebuild from entries; an intent without outcome is unknown."""
        newest: dict[str, JournalEntry] = {}
        for entry in entries:
            if (entry.service, entry.group) != (self.service, self.group):
                continue
            known = newest.get(entry.key)
            if known is None or _order(entry) > _order(known):
                newest[entry.key] = entry
        for entry in newest.values():
            self._load(entry, now)

    def _load(self, entry: JournalEntry, now: float) -> None:
        until = entry.written_at - self.clock_offset + self.retention
        if until <= now or entry.key in self._by_scope:
            return
        state = "unknown" if entry.state == "intent" else entry.state
        record = JournalRecord(
            entry.key, entry.fingerprint, state, entry.epoch, entry.sequence, until
        )
        record.may_have_run = state == "unknown"
        record.loaded = True
        record.from_intent = entry.state == "intent"
        record.runner = entry.request_id
        self._by_scope[entry.key] = record
        if state == "answered":
            self._keep(record, entry.answer)

    def mark_gap(self, now: float) -> None:
        """Answer ``unknown`` for idempotency keys not in the index until retention."""
        self.gap_until = now + self.retention

    def has_gap(self, now: float) -> bool:
        """Tell whether a successor has to mark a gap as well."""
        return now < self.gap_until

    def expire(self, now: float) -> None:
        """Forget records after the retention."""
        for scope, record in list(self._by_scope.items()):
            if record.until <= now and record.state != "in-progress":
                if record.answer is not None:
                    self._bodies_bytes -= len(record.answer.body)
                del self._by_scope[scope]

    def export(self, now: float) -> list[dict]:
        """Return all records for a handover; times become relative."""
        return [
            attrs.asdict(attrs.evolve(record, waiting=[], until=record.until - now))
            for record in self._by_scope.values()
        ]

    def restore(self, exported: list[dict], now: float) -> None:
        """Take over the records of a handover."""
        for fields in exported:
            answer = fields["answer"]
            if answer is not None:
                headers = [tuple(header) for header in answer["headers"]]
                answer = StoredAnswer(answer["status"], headers, answer["body"])
                self._bodies_bytes += len(answer.body)
            record = JournalRecord(**{**fields, "answer": answer})
            record.until += now
            self._by_scope[record.scope] = record


def _order(entry: JournalEntry) -> tuple[int, int, int]:
    return (entry.epoch, entry.sequence, _STATES.index(entry.state))


def _unknown(reason: str) -> Begin:
    return Begin("refuse", status=502, outcome="unknown", reason=reason)
