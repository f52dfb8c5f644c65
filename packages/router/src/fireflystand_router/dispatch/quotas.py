"""Hold client accounts to their rates over all instances."""

import trio

from fireflystand_core.accounts import AccountPurse, RateDesk
from fireflystand_core.accounts.demand import Demand
from fireflystand_core.messages import QuotaDraw, QuotaDrawn
from fireflystand_core.traffic import ClientAccount

from ..events import PEER_CALL_FAILED, emit
from ..peers import PeerLink, PeerUnavailableError, Reply
from .mesh import Mesh
from .state import RoutingState

__all__ = ["SharedRates"]

DRAW_TIMEOUT = 0.25  # seconds; a draw takes one round trip between instances
# A request waits this long for a token before it is refused: bursts of callers
# inside the rate are shorter.
PATIENCE = 0.1  # seconds
# A desk that may have followed another one keeps this part of the burst, so that
# a series of restarts does not give the whole burst with each of them.
BURST_AFTER_CHANGE = 0.25


class SharedRates:
    """Own the purses of this instance and the rate desks of its accounts."""

    def __init__(self, state: RoutingState, mesh: Mesh) -> None:
        self._state = state
        self._mesh = mesh
        self._desks_by_account: dict[str, RateDesk] = {}
        self._purses_by_account: dict[str, AccountPurse] = {}
        self._generations_by_account: dict[str, int] = {}
        self._drawing_by_account: dict[str, trio.Event] = {}
        mesh.network.handle_directly(QuotaDraw, self._answer)

    async def take(self, account: ClientAccount, patience: float) -> float | None:
        """Take one token; return when to ask again if there is none, in seconds."""
        if account.rate <= 0:
            return None
        purse = self._purse(account.name)
        end = trio.current_time() + min(PATIENCE, patience)
        while not purse.spend(trio.current_time()):
            now = trio.current_time()
            if purse.refused_until > now:
                if purse.refused_until >= end:
                    return purse.refused_until - now
                await trio.sleep_until(purse.refused_until)
            await self._draw(account, purse)
        return None

    def _purse(self, account: str) -> AccountPurse:
        purse = self._purses_by_account.get(account)
        if purse is None:
            purse = AccountPurse(Demand(trio.current_time()))
            self._purses_by_account[account] = purse
        return purse

    async def _draw(self, account: ClientAccount, purse: AccountPurse) -> None:
        """Draw tokens once for all requests that wait for one."""
        pending = self._drawing_by_account.get(account.name)
        if pending is not None:
            return await pending.wait()
        pending = self._drawing_by_account[account.name] = trio.Event()
        try:
            wanted = purse.wanted(trio.current_time())
            given, retry_after = await self._draw_from_home(account, wanted)
            purse.tokens += given
            if not given:
                purse.refused_until = trio.current_time() + retry_after
        finally:
            del self._drawing_by_account[account.name]
            pending.set()

    async def _draw_from_home(
        self, account: ClientAccount, tokens: int
    ) -> tuple[int, float]:
        home = self._mesh.home(f"account/{account.name}")
        if home != self._mesh.own_id:
            try:
                answer = await self._mesh.network.request(
                    home, QuotaDraw(account.name, tokens), DRAW_TIMEOUT
                )
                if isinstance(answer, QuotaDrawn):
                    return answer.tokens, answer.retry_after
            except PeerUnavailableError as error:
                emit(PEER_CALL_FAILED, error, message="quota-draw")
            # Without the desk this instance goes on with its own part of the rate.
            share = 1 / max(1, len(self._state.instances_by_id))
            return self._give(account.name, tokens, share)
        return self._give(account.name, tokens, self._mesh.visible_share)

    def _give(self, name: str, tokens: int, share: float) -> tuple[int, float]:
        table = self._state.table
        account = table.accounts_by_name.get(name) if table else None
        if account is None:
            return 0, DRAW_TIMEOUT
        now = trio.current_time()
        desk = self._desks_by_account.get(name)
        if desk is None:
            desk = RateDesk(account.rate, account.burst, share, now)
            self._desks_by_account[name] = desk
            self._generations_by_account[name] = self._mesh.generation
        desk.change(account.rate, account.burst, share, now)
        generation = self._mesh.generation
        if self._generations_by_account.get(name) != generation:
            self._generations_by_account[name] = generation
            desk.limit_burst(BURST_AFTER_CHANGE)
        return desk.draw(tokens, now)

    def _answer(self, draw: QuotaDraw, link: PeerLink, reply: Reply) -> None:
        share = self._mesh.visible_share
        reply(QuotaDrawn(*self._give(draw.account, draw.tokens, share)))
