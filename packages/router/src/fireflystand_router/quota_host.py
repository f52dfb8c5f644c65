"""Lend quota for the account groups that this instance coordinates."""

import math
from typing import Protocol

import trio
import xxhash

from fireflystand_core.accounts import QuotaCoordinator
from fireflystand_core.configuration import AccountSettings
from fireflystand_core.messages import QuotaLease, QuotaRequest

from .peers import PeerLink, PeerNetwork
from .view import ClusterView

__all__ = ["ACCOUNTS_SERVICE", "Authority", "QuotaHost", "account_group"]

ACCOUNTS_SERVICE = "accounts"
RETRY_AFTER = 0.05  # seconds, while no coordinator of the group is known


def account_group(account: str, groups: int) -> int:
    """Return the group that coordinates an account."""
    return xxhash.xxh3_64_intdigest(account.encode()) % groups


class Authority(Protocol):
    """Tell whether this instance may act for a group."""

    def has_authority(self, now: float) -> bool:
        """Return whether a majority of the witnesses confirmed the epoch."""


class _Group:
    """Own the coordinator of one account group and the requests that wait on it."""

    def __init__(self, coordinator: QuotaCoordinator, authority: Authority) -> None:
        self.coordinator = coordinator
        self.authority = authority
        self.changed = trio.Event()
        self.scope = trio.CancelScope()
        self._answers: dict[tuple[str, str, int], trio.MemorySendChannel] = {}

    async def lend(self, request: QuotaRequest) -> QuotaLease | None:
        """Return the answer, or ``None`` if this instance may not act."""
        if not self.authority.has_authority(trio.current_time()):
            return None
        send, receive = trio.open_memory_channel(1)
        name = (request.instance, request.account, request.sequence)
        self._answers[name] = send
        try:
            now = trio.current_time()
            self._deliver(self.coordinator.request(request, now))
            self._wake()
            return await receive.receive()
        except trio.EndOfChannel:
            return None
        finally:
            if self._answers.get(name) is send:
                del self._answers[name]

    async def run(self) -> None:
        """Answer waiting requests as tokens accrue."""
        with self.scope:
            while True:
                changed = self.changed
                now = trio.current_time()
                next_time = self.coordinator.next_time(now)
                deadline = math.inf if next_time is None else next_time
                with trio.move_on_at(deadline):
                    await changed.wait()
                now = trio.current_time()
                if self.authority.has_authority(now):
                    self._deliver(self.coordinator.advance(now))
                else:
                    self.end_requests()

    def end_requests(self) -> None:
        """Answer all waiting requests with the request to ask elsewhere."""
        for channel in self._answers.values():
            channel.close()
        self._answers.clear()

    def _deliver(self, answers) -> None:
        for instance, lease in answers:
            name = (instance, lease.account, lease.sequence)
            channel = self._answers.pop(name, None)
            if channel is not None:
                channel.send_nowait(lease)

    def _wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


class QuotaHost:
    """Serve QuotaRequest for the groups that were started here."""

    def __init__(self, network: PeerNetwork, view: ClusterView) -> None:
        self._network = network
        self._view = view
        self._groups_by_number: dict[int, _Group] = {}
        self._nursery: trio.Nursery | None = None
        network.set_handler(QuotaRequest, self._answer)
        view.listeners.append(self._on_change)

    async def start(self, nursery: trio.Nursery) -> None:
        """Run the groups in ``nursery``."""
        self._nursery = nursery

    async def close(self) -> None:
        """Stop all groups."""
        for group in list(self._groups_by_number):
            self.stop_group(group)

    def start_group(
        self, group: int, authority: Authority, state: dict[str, bytes] | None = None
    ) -> None:
        """Lend for a group; ``state`` is what the last coordinator handed over.

        Without a state the authority of the last coordinator must have ended.
        """
        self.stop_group(group)
        now = trio.current_time()
        coordinator = QuotaCoordinator(self._accounts_of(group), now, state)
        running = _Group(coordinator, authority)
        self._groups_by_number[group] = running
        self._nursery.start_soon(running.run)

    def stop_group(self, group: int) -> dict[str, bytes]:
        """Stop lending for a group and return its state for the next coordinator."""
        running = self._groups_by_number.pop(group, None)
        if running is None:
            return {}
        running.scope.cancel()
        running.end_requests()
        return running.coordinator.export(trio.current_time())

    async def lend(self, request: QuotaRequest) -> QuotaLease:
        """Answer a request from this or another instance."""
        deployment = self._view.deployment
        if deployment is None or request.account not in deployment.accounts_by_id:
            return self._elsewhere(request, None)
        group = account_group(request.account, deployment.account_groups)
        running = self._groups_by_number.get(group)
        if running is not None:
            lease = await running.lend(request)
            if lease is not None:
                return lease
        claim = self._view.claims_by_group.get((ACCOUNTS_SERVICE, group))
        return self._elsewhere(request, claim.instance if claim else None)

    def _elsewhere(self, request: QuotaRequest, instance: str | None) -> QuotaLease:
        hint = "" if instance in (None, self._network.hello.instance) else instance
        return QuotaLease(
            request.account, 0.0, 0.0, RETRY_AFTER, hint, sequence=request.sequence
        )

    async def _answer(self, request: QuotaRequest, link: PeerLink) -> QuotaLease:
        return await self.lend(request)

    def _accounts_of(self, group: int) -> list[AccountSettings]:
        deployment = self._view.deployment
        if deployment is None:
            return []
        return [
            account
            for account in deployment.accounts_by_id.values()
            if account_group(account.id, deployment.account_groups) == group
        ]

    def _on_change(self, key: str) -> None:
        if key != "config/deployment":
            return
        now = trio.current_time()
        for number, group in self._groups_by_number.items():
            group.coordinator.configure(self._accounts_of(number), now)
