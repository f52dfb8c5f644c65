"""Confirm other instances' claims and ask witnesses for those of this one."""

from collections.abc import Callable
from typing import Protocol

import trio

from fireflystand_core.groups import GroupCoordinator
from fireflystand_core.membership import Witness
from fireflystand_core.messages import (
    GroupClaim,
    Seal,
    Sealed,
    WitnessReply,
    WitnessRequest,
)

from .peers import PeerUnavailableError

__all__ = ["ClaimHolder", "WitnessHost"]

REQUEST_PERIOD = 0.15  # seconds
REQUEST_TIMEOUT = 0.45  # seconds; a later answer confirms nothing any more

GroupName = tuple[str, int]


class ClaimHolder(Protocol):
    """Hold the coordinators of this instance and take what witnesses answer."""

    def active_coordinators(self) -> dict[GroupName, GroupCoordinator]:
        """Return the coordinators whose claims are to be confirmed."""

    def witness_answered(self, reply: WitnessReply, asked_at: float) -> None:
        """Take over an answer."""

    def listening_incarnation(self, instance: str) -> str | None:
        """Return the process known to listen at the address in use."""

    def instance_died(self, instance: str, incarnation: str | None) -> None:
        """Take over that a process that listened refuses connections."""


class WitnessHost:
    """Own the witness of this instance and the rounds of requests."""

    def __init__(
        self,
        network,
        witness: Witness,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self.witness = witness
        self.holder: ClaimHolder | None = None
        self._network = network
        self._clock = clock
        self._nursery: trio.Nursery | None = None
        self._scope = trio.CancelScope()
        self._wake = trio.Event()
        self._epochs_by_link: dict[object, dict[GroupName, int]] = {}
        network.set_handler(WitnessRequest, self._confirm)
        network.set_handler(Seal, self._seal)

    def start(self, nursery: trio.Nursery) -> None:
        """Send a round of requests every 0.15 s."""
        self._nursery = nursery
        nursery.start_soon(self._run)

    def close(self) -> None:
        """Stop the rounds."""
        self._scope.cancel()

    def wake(self) -> None:
        """Send a round at once, because a claim has become durable."""
        self._wake.set()

    async def _run(self) -> None:
        with self._scope:
            while True:
                self._wake = trio.Event()
                for witness, request in self._requests().items():
                    self._nursery.start_soon(self._ask, witness, request)
                with trio.move_on_after(REQUEST_PERIOD):
                    await self._wake.wait()

    def _requests(self) -> dict[str, WitnessRequest]:
        requests: dict[str, WitnessRequest] = {}
        hello = self._network.hello
        for (service, group), held in self.holder.active_coordinators().items():
            claim = GroupClaim(service, group, held.epoch, held.unjournaled)
            for witness, incarnation in held.witnesses.items():
                request = requests.get(witness)
                if request is None or request.witness_incarnation != incarnation:
                    request = WitnessRequest(
                        hello.instance, hello.incarnation, incarnation, []
                    )
                    requests[witness] = request
                request.claims.append(claim)
        return requests

    async def _ask(self, witness: str, request: WitnessRequest) -> None:
        asked_at = self._clock()
        # Read before the request: a process that replaces this one meanwhile is
        # not the one that refused.
        incarnation = self.holder.listening_incarnation(witness)
        try:
            reply = await self.request(witness, request, REQUEST_TIMEOUT)
        except PeerUnavailableError as error:
            if error.refused:
                self.holder.instance_died(witness, incarnation)
            return
        if isinstance(reply, WitnessReply):
            self.holder.witness_answered(reply, asked_at)

    async def request(
        self, witness: str, request: WitnessRequest | Seal, timeout: float
    ) -> object:
        """Ask a witness, which may be the one of this instance."""
        if witness != self._network.hello.instance:
            return await self._network.request(witness, request, timeout)
        if isinstance(request, Seal):
            return await self._seal(request, None)
        return await self._confirm(request, None)

    async def _confirm(self, request: WitnessRequest, link) -> WitnessReply:
        confirmed: list[GroupClaim] = []
        higher: list[GroupClaim] = []
        now = self._clock()
        for claim in request.claims:
            name = (claim.service, claim.group)
            named = request.witness_incarnation
            if self.witness.confirm(name, claim.epoch, named, now, claim.unjournaled):
                confirmed.append(claim)
                self._follow(link, name, claim.epoch)
            elif self.witness.highest(name) > claim.epoch:
                highest = self.witness.highest(name)
                higher.append(GroupClaim(claim.service, claim.group, highest))
        name = self._network.hello.instance
        return WitnessReply(name, self.witness.incarnation, confirmed, higher)

    def _follow(self, link, name: GroupName, epoch: int) -> None:
        if link is None:
            return
        if link not in self._epochs_by_link:
            self._epochs_by_link[link] = {}
            self._nursery.start_soon(self._await_loss, link)
        self._epochs_by_link[link][name] = epoch

    async def _await_loss(self, link) -> None:
        await link.lost.wait()
        for name, epoch in self._epochs_by_link.pop(link).items():
            self.witness.lose(name, epoch)

    async def _seal(self, request: Seal, link) -> Sealed:
        answer = self.witness.seal(
            (request.service, request.group), request.epoch, self._clock()
        )
        return Sealed(
            self._network.hello.instance,
            self.witness.incarnation,
            request.service,
            request.group,
            answer.epoch,
            answer.confirmed_age,
            answer.unjournaled,
        )
