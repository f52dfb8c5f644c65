"""Write the range record of a service."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import attrs
import trio

from fireflystand_core.exceptions import (
    ProtocolError,
    StoreConflictError,
    StoreUnavailableError,
)
from fireflystand_core.ranges import RangeRecord
from fireflystand_core.replica import ObjectChange

from ..events import RECORD_WRITE_FAILED, emit
from ..future import Future
from .ports import RANGES, StorePort
from .state import RoutingState

__all__ = ["RecordWriter"]

READ_BACK_ATTEMPTS = 5  # reads after a write without a response
READ_BACK_INTERVAL = 0.2  # seconds between two reads

RecordChange = Callable[[RangeRecord], RangeRecord]


@attrs.frozen
class _PendingChange:
    """Hold a change of the record that is not written yet."""

    change: RecordChange
    result: Future[RangeRecord | None] = attrs.field(factory=Future)


class RecordWriter:
    """Write the range record of a service while this instance coordinates the service.

    All writes are conditional, so two coordinators cannot both change the record.
    """

    def __init__(
        self,
        service: str,
        store: StorePort,
        state: RoutingState,
        share: Callable[[ObjectChange, ObjectChange | None], None],
        *,
        may_write: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self.record: RangeRecord | None = None
        self._service = service
        self._store = store
        self._state = state
        self._share_change = share
        self._may_write = may_write
        self._clock = clock
        self._version = 0
        self._write_lock = trio.Lock()
        self._pending: list[_PendingChange] = []

    async def claim(self, record: RangeRecord, version: int) -> bool:
        """Write the record of a new claim if the stored one has the given version."""
        new_version = await self._write(record, version, "claim")
        if new_version is None:
            return False
        self.record, self._version = record, new_version
        return True

    def end(self) -> None:
        """Stop writing the record; another coordinator may change it from now on."""
        for pending in self._pending:
            pending.result.set(None)
        self._pending = []
        self.record = None

    async def change(self, change: RecordChange) -> RangeRecord | None:
        """Write a changed record and return it, or None if the write failed.

        Changes that arrive during a write are written together by the next one: the
        store charges for each write, and every instance decodes the record after it.
        """
        pending = _PendingChange(change)
        self._pending.append(pending)
        async with self._write_lock:
            if not pending.result.is_set:
                await self._write_pending()
        return await pending.result.wait()

    async def _write_pending(self) -> None:
        """Write all pending changes at once and set their results."""
        batch, self._pending = self._pending, []
        written = None
        try:
            if self._may_write():
                written = await self._write_changes([item.change for item in batch])
        finally:
            for item in batch:
                item.result.set(written)

    async def _write_changes(self, changes: list[RecordChange]) -> RangeRecord | None:
        epoch = self.record.epoch
        changed = self.record
        for change in changes:
            changed = change(changed)
        version = await self._write(changed, self._version, "assign")
        if self.record is None or self.record.epoch != epoch:
            return None
        if version is None:
            self._continue_from_replica(epoch)
            return None
        self.record, self._version = changed, version
        return changed

    def _continue_from_replica(self, epoch: int) -> None:
        """Continue from the replica's record after a write that may have failed."""
        known = self._state.records_by_service.get(self._service)
        if known is not None and known.epoch == epoch:
            self.record = known
            self._version = self._state.range_version(self._service)

    async def _write(self, record: RangeRecord, version: int, step: str) -> int | None:
        """Write the record if the stored one has the given version.

        Return the new version, or None if the write failed.
        """
        value = record.to_value()
        try:
            new_version = await self._store.put(RANGES, self._service, value, version)
        except StoreConflictError as error:
            emit(RECORD_WRITE_FAILED, error, service=self._service, what=step)
            # If this read fails, the next write conflicts again and repeats the read.
            with suppress(StoreUnavailableError, ProtocolError):
                await self._read_back()
            return None
        except (StoreUnavailableError, ProtocolError) as error:
            emit(RECORD_WRITE_FAILED, error, service=self._service, what=step)
            return await self._resolve_write(value)
        self._publish(value, new_version)
        return new_version

    async def _resolve_write(self, value: dict[str, Any]) -> int | None:
        """Return the version of a write without a response if the write took effect."""
        for _ in range(READ_BACK_ATTEMPTS):
            try:
                stored = await self._read_back()
            except (StoreUnavailableError, ProtocolError):
                await trio.sleep(READ_BACK_INTERVAL)
                continue
            if stored is not None and stored.value == value:
                return stored.version
            return None
        return None

    async def _read_back(self) -> ObjectChange | None:
        stored = await self._store.get(RANGES, self._service)
        if stored is not None:
            since = self._state.replicas_by_kind[RANGES].revision
            self._state.apply(RANGES, since + 1, since + 1, [stored], self._clock())
        return stored

    def _publish(self, value: dict[str, Any], version: int) -> None:
        """Apply a written record to the own replica and send it to the peers."""
        change = ObjectChange(self._service, version, value)
        before = self._state.replicas_by_kind[RANGES].by_name.get(self._service)
        # Other objects may have changed meanwhile, so the replica may be incomplete.
        self._state.apply(RANGES, version, version, [change], self._clock())
        self._share_change(change, before)
