"""Read the platform's list of instances."""

import trio

from fireflystand_core.membership import PeerEntry, PeerTable

from .http_client import ConnectionFailedError, ControlClient
from .peers import PeerNetwork

__all__ = ["PlatformList"]

POLL_INTERVAL = 5.0  # seconds
RETRY_INTERVAL = 1.0  # seconds


class PlatformList:
    """Poll the list and feed addresses and peers from it."""

    def __init__(self, address: str, network: PeerNetwork, table: PeerTable) -> None:
        self._client = ControlClient(address)
        self._network = network
        self._table = table
        self._scope = trio.CancelScope()
        self._listed_by_id: dict[str, str] = {}

    async def start(self, nursery: trio.Nursery) -> None:
        """Start polling."""
        await nursery.start(self._run)

    async def close(self) -> None:
        """Stop polling."""
        self._scope.cancel()
        await self._client.close()

    async def _run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        with self._scope:
            task_status.started()
            while True:
                read = await self.poll()
                await trio.sleep(POLL_INTERVAL if read else RETRY_INTERVAL)

    async def poll(self) -> bool:
        """Read the list once and return whether it could be read."""
        try:
            response = await self._client.request("GET", "/instances")
            if response.status != 200:
                return False
            entries = [
                PeerEntry(
                    item["id"],
                    item["address"],
                    item["data_centre"],
                    item["state"] == "leaving",
                )
                for item in response.json()
            ]
        except (ConnectionFailedError, ValueError, KeyError, TypeError):
            return False
        self._take_over(entries)
        return True

    def _take_over(self, entries: list[PeerEntry]) -> None:
        gone = self._table.seed(entries, trio.current_time())
        for instance in gone:
            self._network.forget(instance)
        for entry in entries:
            # An entry that did not change is older than what a stream's hello told.
            listed = self._listed_by_id.get(entry.id)
            if entry.id != self._table.own.id and listed != entry.address:
                self._network.set_address(entry.id, entry.address)
        self._listed_by_id = {entry.id: entry.address for entry in entries}
