"""Take tokens of accounts for callers of this instance."""

import math
from contextlib import suppress
from itertools import count

import trio

from fireflystand_core.accounts import QuotaHolder, Refused, Verdict
from fireflystand_core.messages import QuotaLease, QuotaRequest

from .peers import PeerNetwork, PeerUnavailableError
from .quota_host import ACCOUNTS_SERVICE, QuotaHost, account_group
from .view import ClusterView

__all__ = ["Quotas"]

REQUEST_GRACE = 0.2  # seconds beyond the wait of a request
RETRY_AFTER_UNKNOWN = 1.0  # seconds


class _Account:
    """Own the holder of one account and the callers that wait on it."""

    def __init__(self, holder: QuotaHolder) -> None:
        self.holder = holder
        self.channels_by_caller: dict[int, trio.MemorySendChannel] = {}
        self._changed = trio.Event()

    def wake(self) -> None:
        """Let the account's task look again."""
        self._changed.set()

    async def wait(self) -> None:
        """Wait until something is due or changed."""
        next_time = self.holder.next_time(trio.current_time())
        with trio.move_on_at(math.inf if next_time is None else next_time):
            await self._changed.wait()
        self._changed = trio.Event()

    def deliver(self) -> None:
        """Tell waiting callers their verdicts."""
        for caller, verdict in self.holder.advance(trio.current_time()):
            channel = self.channels_by_caller.pop(caller, None)
            if channel is not None:
                channel.send_nowait(verdict)


class Quotas:
    """Hold the quota leases of this instance."""

    def __init__(
        self, network: PeerNetwork, view: ClusterView, host: QuotaHost
    ) -> None:
        self._network = network
        self._view = view
        self._host = host
        self._accounts_by_id: dict[str, _Account] = {}
        self._hints_by_group: dict[int, str] = {}
        self._callers = count(1)
        self._nursery: trio.Nursery | None = None
        self._scope = trio.CancelScope()
        view.listeners.append(self._on_change)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the task that asks for leases."""
        self._nursery = await nursery.start(self._run)

    async def _run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        with self._scope:
            async with trio.open_nursery() as nursery:
                task_status.started(nursery)
                await trio.sleep_forever()

    async def close(self) -> None:
        """Stop asking."""
        self._scope.cancel()

    async def take(self, account: str, deadline: float) -> Verdict:
        """Return ``True`` once a token is spent, or the refusal.

        ``deadline`` is on trio's clock.
        """
        deployment = self._view.deployment
        if deployment is None or account not in deployment.accounts_by_id:
            return Refused(RETRY_AFTER_UNKNOWN)
        state = self._accounts_by_id.get(account)
        if state is None:
            state = self._open(account)
        caller = next(self._callers)
        verdict = state.holder.take(caller, deadline, trio.current_time())
        state.wake()
        if verdict is not False:
            return verdict
        send, receive = trio.open_memory_channel(1)
        state.channels_by_caller[caller] = send
        try:
            return await receive.receive()
        finally:
            state.channels_by_caller.pop(caller, None)
            state.holder.cancel(caller)

    def _open(self, account: str) -> _Account:
        hello = self._network.hello
        name = f"{hello.instance}/{hello.incarnation}"
        settings = self._view.deployment.accounts_by_id[account]
        state = _Account(QuotaHolder(name, settings, trio.current_time()))
        self._accounts_by_id[account] = state
        self._nursery.start_soon(self._serve, state)
        return state

    async def _serve(self, state: _Account) -> None:
        while True:
            state.deliver()
            request = state.holder.next_request(trio.current_time())
            if request is not None:
                self._nursery.start_soon(self._ask, state, request)
            await state.wait()

    async def _ask(self, state: _Account, request: QuotaRequest) -> None:
        groups = self._view.deployment.account_groups
        group = account_group(request.account, groups)
        lease = None
        with suppress(PeerUnavailableError):
            lease = await self._request(group, request)
        now = trio.current_time()
        if not isinstance(lease, QuotaLease) or lease.coordinator is not None:
            hint = lease.coordinator if isinstance(lease, QuotaLease) else None
            self._note_hint(group, hint)
            state.holder.on_failure(request.sequence, now)
        else:
            state.holder.on_lease(lease, now)
        state.wake()

    async def _request(self, group: int, request: QuotaRequest) -> object:
        instance = self._hints_by_group.pop(group, None)
        claim = self._view.claims_by_group.get((ACCOUNTS_SERVICE, group))
        if instance is None and claim is not None:
            instance = claim.instance
        if instance is None:
            return None
        if instance == self._network.hello.instance:
            return await self._host.lend(request)
        timeout = request.wait + REQUEST_GRACE
        return await self._network.request(instance, request, timeout)

    def _note_hint(self, group: int, instance: str | None) -> None:
        # An empty hint tells that the receiver knows no coordinator either.
        if instance:
            self._hints_by_group[group] = instance

    def _on_change(self, key: str) -> None:
        if key != "config/deployment":
            return
        accounts_by_id = self._view.deployment.accounts_by_id
        for account, state in self._accounts_by_id.items():
            settings = accounts_by_id.get(account)
            if settings is not None:
                state.holder.settings = settings
