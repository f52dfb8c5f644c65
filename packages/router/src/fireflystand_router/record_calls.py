"""Read and write group records for coordinators."""

from collections.abc import Callable

from fireflystand_core.exceptions import FireflystandError
from fireflystand_core.groups import Action, GroupCoordinator, GroupRecord, WriteRecord

from .claim_items import record_key
from .group_reports import GroupReports

__all__ = ["RecordCalls"]

GroupName = tuple[str, int]


class RecordCalls:
    """Make store calls and tell the coordinator what came of them."""

    def __init__(
        self, store, reports: GroupReports, clock: Callable[[], float]
    ) -> None:
        self._store = store
        self._reports = reports
        self._clock = clock

    async def load(self, name: GroupName) -> tuple[GroupRecord | None, int]:
        """Return the record and its version, 0 if there is none.

        Raise StoreUnavailableError if the store does not answer.
        """
        found = await self._store.get(record_key(name))
        if found is None:
            return None, 0
        return GroupRecord.from_value(found.value), found.version

    async def read(self, name: GroupName, coordinator: GroupCoordinator):
        """Read the record back and return what the coordinator asks for."""
        try:
            record, version = await self.load(name)
        except FireflystandError:
            return coordinator.read_failed(self._clock())
        before = coordinator.record
        actions = coordinator.read(record, version, self._clock())
        if coordinator.record is not before:
            self._reports.written(name, before, coordinator.record)
        return actions

    async def write(
        self, name: GroupName, coordinator: GroupCoordinator, action: WriteRecord
    ) -> list[Action]:
        """Write the record and return what the coordinator asks for."""
        operation = action.record.operation_id
        value = action.record.to_value()
        try:
            version = await self._store.put(
                record_key(name), value, action.expected_version
            )
        except FireflystandError:
            return coordinator.write_failed(operation, self._clock())
        before = coordinator.record
        actions = coordinator.written(operation, version, self._clock())
        self._reports.written(name, before, action.record)
        return actions
