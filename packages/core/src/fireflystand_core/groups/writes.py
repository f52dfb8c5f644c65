"""Follow one conditional update at a time to its certain end."""

import attrs

from .actions import ReadRecord, WriteRecord
from .record import GroupRecord
from .timing import Timing

__all__ = ["RecordWrites"]


@attrs.define
class _Pending:
    record: GroupRecord
    next_call_at: float
    read_next: bool = False
    started_at: float = 0.0


class RecordWrites:
    """Hold the record as last known and the update under way.

    A write whose response was lost is recognised by its operation id when the
    record is read back. It is repeated only against the same version, so that at
    most one attempt takes effect.
    """

    def __init__(
        self, record: GroupRecord | None, version: int, owner: str, timing: Timing
    ) -> None:
        self.record = record
        self.version = version
        self._owner = owner
        self._timing = timing
        self._count = 0
        self._pending: _Pending | None = None

    @property
    def busy(self) -> bool:
        """Tell whether an update is under way."""
        return self._pending is not None

    def pending_for(self, now: float) -> float:
        """Return for how long the update has been under way, in seconds."""
        return now - self._pending.started_at if self._pending else 0.0

    def next_operation(self) -> str:
        """Return a new operation id."""
        self._count += 1
        return f"{self._owner}/{self.version}/{self._count}"

    def start(self, record: GroupRecord, now: float) -> WriteRecord:
        """Begin an update."""
        if self._pending is not None:
            raise ValueError("an update is already under way")
        wait = self._timing.retry_wait
        self._pending = _Pending(record, now + wait * 50, started_at=now)
        return WriteRecord(record, self.version)

    def due(self, now: float) -> WriteRecord | ReadRecord | None:
        """Return the call to make now, if one is due."""
        pending = self._pending
        if pending is None or now < pending.next_call_at:
            return None
        pending.next_call_at = now + self._timing.retry_wait * 50
        if pending.read_next:
            return ReadRecord()
        return WriteRecord(pending.record, self.version)

    def written(self, operation_id: str, version: int) -> bool:
        """Note that an update is durable; tell whether it is the one under way."""
        pending = self._pending
        if pending is None or pending.record.operation_id != operation_id:
            return False
        self.record = pending.record
        self.version = version
        self._pending = None
        return True

    def unsure(self, operation_id: str, now: float) -> None:
        """Note a failure or a conflict of a write; the record is read back next."""
        pending = self._pending
        if pending is None or pending.record.operation_id != operation_id:
            return
        pending.read_next = True
        pending.next_call_at = now + self._timing.retry_wait

    def read_failed(self, now: float) -> None:
        """Note that the record could not be read."""
        if self._pending is not None:
            self._pending.next_call_at = now + self._timing.retry_wait

    def read(self, record: GroupRecord | None, version: int, now: float) -> str:
        """Judge a record that was read; return ``written``, ``retry`` or ``lost``.

        Return ``""`` for an old reading or if nothing is under way.
        """
        if version < self.version:
            return ""
        pending = self._pending
        if pending is None:
            return "lost" if version > self.version else ""
        if record is not None and record.operation_id == pending.record.operation_id:
            self.written(record.operation_id, version)
            return "written"
        if version > self.version:
            return "lost"
        pending.read_next = False
        pending.next_call_at = now
        return "retry"
