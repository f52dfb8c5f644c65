"""Limit the request rates of client accounts across all instances."""

import trio

from fireflystand_core.accounts import SharedTokenBucket, TokenReserve
from fireflystand_core.accounts.demand import Demand
from fireflystand_core.messages import QuotaDraw, QuotaDrawn
from fireflystand_core.traffic import ClientAccount

from ..events import PEER_CALL_FAILED, emit
from ..peers import PeerLink, PeerUnavailableError, Reply
from .membership import Membership
from .state import RoutingState

__all__ = ["SharedRateLimiter"]

DRAW_TIMEOUT = 0.25  # seconds; a draw takes one round trip between instances
# A request is refused after this wait for a token. Bursts of callers that keep within
# their rate are shorter.
MAX_TOKEN_WAIT = 0.1  # seconds
# After a change of the live instances the bucket may have replaced another one. It then
# keeps at most this part of its burst, so that a series of restarts does not allow the
# whole burst each time.
BURST_SHARE_AFTER_CHANGE = 0.25


class SharedRateLimiter:
    """Own this instance's token reserves and the shared buckets that it keeps."""

    def __init__(self, state: RoutingState, membership: Membership) -> None:
        self._state = state
        self._membership = membership
        self._buckets_by_account: dict[str, SharedTokenBucket] = {}
        self._reserves_by_account: dict[str, TokenReserve] = {}
        self._live_set_versions_by_account: dict[str, int] = {}
        self._pending_draws_by_account: dict[str, trio.Event] = {}
        membership.network.set_direct_handler(QuotaDraw, self._handle_draw)

    async def acquire(self, account: ClientAccount, time_left: float) -> float | None:
        """Take a token; return None, or the seconds until a retry if there is none."""
        if account.rate <= 0:
            return None
        reserve = self._reserve(account.name)
        end = trio.current_time() + min(MAX_TOKEN_WAIT, time_left)
        while not reserve.spend(trio.current_time()):
            now = trio.current_time()
            if reserve.refused_until > now:
                if reserve.refused_until >= end:
                    return reserve.refused_until - now
                await trio.sleep_until(reserve.refused_until)
            await self._draw(account, reserve)
        return None

    def _reserve(self, account: str) -> TokenReserve:
        reserve = self._reserves_by_account.get(account)
        if reserve is None:
            reserve = TokenReserve(Demand(trio.current_time()))
            self._reserves_by_account[account] = reserve
        return reserve

    async def _draw(self, account: ClientAccount, reserve: TokenReserve) -> None:
        """Draw tokens, with one call for all requests that wait for a token."""
        pending = self._pending_draws_by_account.get(account.name)
        if pending is not None:
            return await pending.wait()
        pending = self._pending_draws_by_account[account.name] = trio.Event()
        try:
            draw_size = reserve.draw_size(trio.current_time())
            drawn, retry_after = await self._draw_from_responsible(account, draw_size)
            reserve.tokens += drawn
            if not drawn:
                reserve.refused_until = trio.current_time() + retry_after
        finally:
            del self._pending_draws_by_account[account.name]
            pending.set()

    async def _draw_from_responsible(
        self, account: ClientAccount, tokens: int
    ) -> tuple[int, float]:
        responsible = self._membership.responsible_instance(f"account/{account.name}")
        if responsible != self._membership.own_id:
            try:
                response = await self._membership.network.request(
                    responsible, QuotaDraw(account.name, tokens), DRAW_TIMEOUT
                )
                if isinstance(response, QuotaDrawn):
                    return response.tokens, response.retry_after
            except PeerUnavailableError as error:
                emit(PEER_CALL_FAILED, error, message="quota-draw")
            # Without the responsible instance, use this instance's part of the rate.
            share = 1 / max(1, len(self._state.instances_by_id))
            return self._draw_from_own_bucket(account.name, tokens, share)
        return self._draw_from_own_bucket(
            account.name, tokens, self._membership.reachable_share
        )

    def _draw_from_own_bucket(
        self, name: str, tokens: int, share: float
    ) -> tuple[int, float]:
        table = self._state.table
        account = table.accounts_by_name.get(name) if table else None
        if account is None:
            return 0, DRAW_TIMEOUT
        now = trio.current_time()
        bucket = self._buckets_by_account.get(name)
        if bucket is None:
            bucket = SharedTokenBucket(account.rate, account.burst, share, now)
            self._buckets_by_account[name] = bucket
            self._live_set_versions_by_account[name] = self._membership.live_set_version
        bucket.change(account.rate, account.burst, share, now)
        version = self._membership.live_set_version
        if self._live_set_versions_by_account.get(name) != version:
            self._live_set_versions_by_account[name] = version
            bucket.cap_level(BURST_SHARE_AFTER_CHANGE)
        return bucket.draw(tokens, now)

    def _handle_draw(self, draw: QuotaDraw, link: PeerLink, reply: Reply) -> None:
        share = self._membership.reachable_share
        reply(QuotaDrawn(*self._draw_from_own_bucket(draw.account, draw.tokens, share)))
