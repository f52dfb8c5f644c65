"""Queue requests fairly between accounts."""

import heapq
from collections import deque
from itertools import count

import attrs

from fireflystand_core.messages import PermitRequest

__all__ = ["FairQueue", "WaitingRequest"]

MAX_PER_ACCOUNT = 256


@attrs.define(eq=False)
class WaitingRequest:
    """Hold a request that waits for a permit until ``deadline`` (seconds)."""

    request: PermitRequest
    entry: str
    arrived_at: float
    deadline: float
    scope: str = ""
    journal_sequence: int = 0


class FairQueue:
    """Serve accounts in turn, and the earliest deadline first within one."""

    def __init__(self, max_per_account: int = MAX_PER_ACCOUNT) -> None:
        self._max_per_account = max_per_account
        self._heaps_by_account: dict[str, list] = {}
        self._turns: deque[str] = deque()
        self._items_by_id: dict[str, WaitingRequest] = {}
        self._counts_by_account: dict[str, int] = {}
        self._numbers = count()

    def __len__(self) -> int:
        return len(self._items_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._items_by_id

    def __iter__(self):
        return iter(list(self._items_by_id.values()))

    def refusal(
        self, item: WaitingRequest, now: float, service_time: float, servers: int
    ) -> str | None:
        """Return why an item cannot be queued, or ``None``.

        ``service_time`` is the mean time in seconds that one of ``servers``
        parallel permits is held.
        """
        account = item.request.account
        if self._counts_by_account.get(account, 0) >= self._max_per_account:
            return "queue of the account is full"
        ahead = self._ahead(item)
        wait = ahead * service_time / max(1, servers)
        if now + wait > item.deadline:
            return "cannot be served before its deadline"
        return None

    def _ahead(self, item: WaitingRequest) -> int:
        account = item.request.account
        heap = self._heaps_by_account.get(account, ())
        own = sum(
            entry[0] <= item.deadline and self._is_queued(entry[2]) for entry in heap
        )
        others = sum(
            min(waiting, own + 1)
            for name, waiting in self._counts_by_account.items()
            if name != account
        )
        return own + others

    def push(self, item: WaitingRequest) -> None:
        """Add an item."""
        account = item.request.account
        heap = self._heaps_by_account.get(account)
        if heap is None:
            heap = self._heaps_by_account[account] = []
            self._turns.append(account)
        self._items_by_id[item.request.request_id] = item
        self._counts_by_account[account] = self._counts_by_account.get(account, 0) + 1
        heapq.heappush(heap, (item.deadline, next(self._numbers), item))

    def pop(self) -> WaitingRequest | None:
        """Remove and return the next item in turn."""
        while self._turns:
            account = self._turns.popleft()
            heap = self._heaps_by_account[account]
            item = self._pop_queued(heap)
            if heap:
                self._turns.append(account)
            else:
                del self._heaps_by_account[account]
            if item is not None:
                self._forget(item)
                return item
        return None

    def _pop_queued(self, heap: list) -> WaitingRequest | None:
        while heap:
            item = heapq.heappop(heap)[2]
            if self._is_queued(item):
                return item
        return None

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove and return the item of a request."""
        item = self._items_by_id.get(request_id)
        if item is not None:
            self._forget(item)
        return item

    def expire(self, now: float) -> list[WaitingRequest]:
        """Remove and return the items whose deadline has passed."""
        expired = [i for i in self._items_by_id.values() if i.deadline <= now]
        for item in expired:
            self._forget(item)
        return expired

    def _forget(self, item: WaitingRequest) -> None:
        account = item.request.account
        del self._items_by_id[item.request.request_id]
        self._counts_by_account[account] -= 1
        if self._counts_by_account[account] == 0:
            del self._counts_by_account[account]

    def _is_queued(self, item: WaitingRequest) -> bool:
        return self._items_by_id.get(item.request.request_id) is item
