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
from fireflystand_core.ranges import KeyRange, RangeRecord
from fireflystand_core.replica import ObjectChange, era_of, number_of

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

    All writes are conditional, so two coordinators cannot both change the record. A
    claim holds in one era of the store: after a restoration it has to be made again.
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
        # Whether a write that was given up has replaced the record in the store.
        self.is_replaced = False
        self.is_failing = False  # whether the last call to the store failed
        # Whether a write may still be carried out whose response did not come.
        self.has_unresolved_write = False
        self._unresolved: list[RangeRecord] = []  # that such writes would store
        self._service = service
        self._store = store
        self._state = state
        self._share_change = share
        self._may_write = may_write
        self._clock = clock
        self._version = 0
        # Peers may hold another content of the version that the next write replaces.
        self._shares_whole = True
        self._write_lock = trio.Lock()
        self._pending: list[_PendingChange] = []

    async def claim(
        self,
        record: RangeRecord,
        holder: str,
        incarnation: str,
        era: int,
        *,
        is_complete: bool,
        lease_validity_ms: int,
        earlier_leases_ms: int,
    ) -> RangeRecord | None:
        """Write a claim that continues from a record, unless a later one is stored.

        A process that has a claim continues from its own record. Nothing is written if
        the store is in a later era than ``era``. Return the claimed record.
        """
        async with self._write_lock:
            record = self.record or record
            version = await self._replaced_version(record, era)
            if version is None or era_of(version) > era:
                return None
            known = self._state.records_by_service.get(self._service)
            if known is not None and known.epoch > record.epoch:
                if not known.is_held_by(holder, incarnation):
                    return None
                record = known  # a claim of this process whose response was lost
            elif self.record is None and _follows(known, record):
                record = known  # the holder has changed it since it was read
            claimed = record.claim(
                holder,
                incarnation,
                era=era,
                number=number_of(version),
                is_complete=is_complete,
                lease_validity_ms=lease_validity_ms,
                earlier_leases_ms=earlier_leases_ms,
            )
            self._shares_whole = True
            new_version = await self._write(claimed, version, "claim")
            if new_version is None or self._is_outdated(claimed, new_version):
                return None
            self.record, self._version = claimed, new_version
            self.is_replaced = False
            return claimed

    async def _replaced_version(self, record: RangeRecord, era: int) -> int | None:
        """Return the stored version that a claim replaces; None if it is unknown."""
        version = self._state.range_version(self._service)
        is_current = number_of(version) and era_of(version) >= era
        if not record.holder or is_current:
            return version
        try:
            stored = await self.read()
        except (StoreUnavailableError, ProtocolError) as error:
            emit(RECORD_WRITE_FAILED, error, service=self._service, what="claim")
            return None
        return 0 if stored is None else stored.version

    def check_replica(self) -> None:
        """Compare the replica's record with the own one while nothing is written."""
        known = self._state.records_by_service.get(self._service)
        if self._write_lock.locked() or known is None or self.record is None:
            return
        if known.epoch == self.record.epoch and known.progress > self.record.progress:
            self.is_replaced = True

    def _is_outdated(self, record: RangeRecord, version: int) -> bool:
        """Tell whether the store was restored after the claim of a record."""
        return era_of(version) > record.era

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

    async def supersede(self) -> None:
        """Write the record anew, so that an earlier write cannot be carried out."""
        await self.change(
            lambda record: attrs.evolve(record, next_fence=record.next_fence + 1)
        )

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
        self.is_failing = version is None
        if self.record is None or self.record.epoch != epoch:
            return None
        if version is None or self._is_outdated(self.record, version):
            self._continue_from_replica(epoch)
            return None
        self.record, self._version = changed, version
        return changed

    def _continue_from_replica(self, epoch: int) -> None:
        """Continue with the stored version after a write that may have failed.

        The record stays as it was acknowledged. A restored store holds an older one,
        and an earlier write that took effect late holds assignments that were given
        up: the owners before may have renewed their leases since.
        """
        known = self._state.records_by_service.get(self._service)
        if known is not None and known.epoch > epoch:
            return  # another claim; the next write must conflict too
        self._version = self._state.range_version(self._service)
        self._shares_whole = True
        if known is not None and known.progress > self.record.progress:
            self.is_replaced = True
            self.record = attrs.evolve(self.record, next_fence=known.next_fence)

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
                await self.read()
            return None
        except (StoreUnavailableError, ProtocolError) as error:
            emit(RECORD_WRITE_FAILED, error, service=self._service, what=step)
            if isinstance(error, StoreUnavailableError) and error.refused:
                return None
            self.has_unresolved_write = True
            self._unresolved.append(record)
            return await self._resolve_write(value)
        # The condition of an earlier write cannot hold any longer.
        self.has_unresolved_write = False
        self._unresolved.clear()
        self._publish(value, new_version)
        return new_version

    def uncertain_parts(self) -> list[KeyRange]:
        """Return the parts with an owner that an unresolved write gives another one."""
        return [
            part
            for record in self._unresolved
            for part in self.record.parts_owned_differently(record)
            if part.target
        ]

    async def _resolve_write(self, value: dict[str, Any]) -> int | None:
        """Return the version of a write without a response if the write took effect."""
        for _ in range(READ_BACK_ATTEMPTS):
            try:
                stored = await self.read()
            except (StoreUnavailableError, ProtocolError):
                await trio.sleep(READ_BACK_INTERVAL)
                continue
            if stored is not None and stored.value == value:
                return stored.version
            return None
        return None

    async def read(self) -> ObjectChange | None:
        """Return the stored record and apply it to the own replica."""
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
        self._share_change(change, None if self._shares_whole else before)
        self._shares_whole = False


def _follows(known: RangeRecord | None, record: RangeRecord) -> bool:
    """Tell whether a record is a later one of the same claim."""
    return (
        known is not None
        and known.epoch == record.epoch
        and known.progress > record.progress
    )
