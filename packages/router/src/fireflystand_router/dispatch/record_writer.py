"""Write the record of the key ranges of a service."""

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
from ..promise import Promise
from .ports import RANGES, StorePort
from .state import RoutingState

__all__ = ["RecordWriter"]

SETTLE_TRIES = 5  # reads after a write without an answer
SETTLE_INTERVAL = 0.2  # seconds between them

RecordChange = Callable[[RangeRecord], RangeRecord]


@attrs.frozen
class _WaitingChange:
    """Hold a change of the record until it is written."""

    change: RecordChange
    result: Promise[RangeRecord | None] = attrs.field(factory=Promise)


class RecordWriter:
    """Own the record of one service while this instance coordinates it.

    Only conditional writes change it, so two coordinators cannot both do so.
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
        self._writing = trio.Lock()
        self._waiting: list[_WaitingChange] = []

    async def claim(self, record: RangeRecord, version: int) -> bool:
        """Write the record of a new claim over the given version."""
        new_version = await self._write(record, version, "claim")
        if new_version is None:
            return False
        self.record, self._version = record, new_version
        return True

    def end(self) -> None:
        """Give the record up; another coordinator may change it from now on."""
        for waiting in self._waiting:
            waiting.result.set(None)
        self._waiting = []
        self.record = None

    async def change(self, change: RecordChange) -> RangeRecord | None:
        """Write a changed record; None if that failed.

        Changes that wait while another one is written are written together: each
        write is priced, and every instance decodes the record after each of them.
        """
        waiting = _WaitingChange(change)
        self._waiting.append(waiting)
        async with self._writing:
            if not waiting.result.is_set:
                await self._write_waiting()
        return await waiting.result.wait()

    async def _write_waiting(self) -> None:
        """Write all changes that wait, and tell each of them the result."""
        batch, self._waiting = self._waiting, []
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
            self._continue_from_copy(epoch)
            return None
        self.record, self._version = changed, version
        return changed

    def _continue_from_copy(self, epoch: int) -> None:
        """Continue from the stored record after a write that may have failed."""
        known = self._state.records_by_service.get(self._service)
        if known is not None and known.epoch == epoch:
            self.record = known
            self._version = self._state.range_version(self._service)

    async def _write(self, record: RangeRecord, version: int, step: str) -> int | None:
        """Write the record if it has the expected version; None if that failed."""
        value = record.to_value()
        try:
            new_version = await self._store.put(RANGES, self._service, value, version)
        except StoreConflictError as error:
            emit(RECORD_WRITE_FAILED, error, service=self._service, what=step)
            # The next claim or change reads it again if this fails too.
            with suppress(StoreUnavailableError, ProtocolError):
                await self._read_back()
            return None
        except (StoreUnavailableError, ProtocolError) as error:
            emit(RECORD_WRITE_FAILED, error, service=self._service, what=step)
            return await self._settle(value)
        self._share(value, new_version)
        return new_version

    async def _settle(self, value: dict[str, Any]) -> int | None:
        """Find out whether a write without an answer took effect."""
        for _ in range(SETTLE_TRIES):
            try:
                stored = await self._read_back()
            except (StoreUnavailableError, ProtocolError):
                await trio.sleep(SETTLE_INTERVAL)
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

    def _share(self, value: dict[str, Any], version: int) -> None:
        """Tell this instance and the others of a record that was written."""
        change = ObjectChange(self._service, version, value)
        before = self._state.replicas_by_kind[RANGES].by_name.get(self._service)
        # Other objects may have changed since, so the copies are not complete.
        self._state.apply(RANGES, version, version, [change], self._clock())
        self._share_change(change, before)
