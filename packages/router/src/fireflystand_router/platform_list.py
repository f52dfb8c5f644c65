"""Read the platform's list of instances."""

import trio

from fireflystand_core.membership import PeerEntry, PeerTable

from .http_client import ConnectionFailedError, HttpClient
from .peers import PeerNetwork

__all__ = ["PlatformList"]

POLL_INTERVAL = 5.0  # seconds
RETRY_INTERVAL = 1.0  # seconds


class PlatformList:
    """Poll the list and update the peer table and the peers' addresses."""

    def __init__(self, address: str, network: PeerNetwork, table: PeerTable) -> None:
        self._client = HttpClient(address)
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
                succeeded = await self.poll()
                await trio.sleep(POLL_INTERVAL if succeeded else RETRY_INTERVAL)

    async def poll(self) -> bool:
        """Read the list once and tell whether that succeeded."""
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
        self._apply(entries)
        return True

    def _apply(self, entries: list[PeerEntry]) -> None:
        removed = self._table.seed(entries, trio.current_time())
        for instance in removed:
            self._network.remove_peer(instance)
        for entry in entries:
            # An unchanged entry is older than the address from a peer's hello, and
            # must not replace that address.
            listed = self._listed_by_id.get(entry.id)
            if entry.id != self._table.own.id and listed != entry.address:
                self._network.set_address(entry.id, entry.address)
        self._listed_by_id = {entry.id: entry.address for entry in entries}
