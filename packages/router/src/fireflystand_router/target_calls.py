"""Exchange status and grants with targets for group coordinators."""

from collections.abc import Callable

import trio

from fireflystand_core.exceptions import FireflystandError
from fireflystand_core.groups import Action, GroupCoordinator, SendGrant

from .group_callbacks import GroupCallbacks
from .target_control import TargetAnswer, TargetControl, TargetDiedError
from .view import ClusterView

__all__ = ["TargetCalls"]


class TargetCalls:
    """Own the control connections to all targets."""

    def __init__(
        self,
        view: ClusterView,
        make_control: Callable[[str, str], TargetControl],
        clock: Callable[[], float],
        callbacks: GroupCallbacks,
    ) -> None:
        self._callbacks = callbacks
        self._view = view
        self._make_control = make_control
        self._clock = clock
        self._controls: dict[tuple[str, str, str], TargetControl] = {}

    async def close(self) -> None:
        """Close every connection."""
        for control in self._controls.values():
            await control.close()

    async def count_reached(self, service: str, targets: list[str]) -> int:
        """Return how many targets answer a status request."""
        answered: list[str] = []

        async def ask(target: str) -> None:
            control = self._control(service, target)
            if control is None:
                return
            try:
                await control.status()
            except FireflystandError:
                return
            answered.append(target)

        async with trio.open_nursery() as nursery:
            for target in targets:
                nursery.start_soon(ask, target)
        return len(answered)

    async def exchange(
        self,
        name: tuple[str, int],
        coordinator: GroupCoordinator,
        target: str,
        grant: SendGrant | None,
    ) -> list[Action]:
        """Ask for the status, or send a grant, and tell the coordinator."""
        control = self._control(name[0], target)
        if control is None:
            return []
        asked_at = self._clock()
        try:
            if grant is None:
                answer = await control.status()
            else:
                answer = await control.grant(*name, grant)
        except TargetDiedError:
            return coordinator.target_died(target, self._clock())
        except FireflystandError:
            return []
        if answer is None:
            return []
        actions = self._answered(coordinator, target, grant, answer)
        if not answer.higher_epoch:
            self._callbacks.on_target_status(*name, target, answer, asked_at)
        return actions

    def _answered(
        self,
        coordinator: GroupCoordinator,
        target: str,
        grant: SendGrant | None,
        answer: TargetAnswer,
    ) -> list[Action]:
        now = self._clock()
        if answer.higher_epoch:
            return coordinator.higher_epoch(answer.higher_epoch, now)
        actions = coordinator.target_status(
            target,
            answer.connection,
            answer.incarnation,
            answer.clock_ms,
            answer.draining,
            now,
        )
        if answer.kept:
            actions += coordinator.grant_acknowledged(
                target, grant.epoch, grant.sequence, answer.incarnation, now
            )
        return actions

    def _control(self, service: str, target: str) -> TargetControl | None:
        settings = self._view.deployment.services_by_id.get(service)
        found = settings.targets_by_id.get(target) if settings else None
        if found is None:
            return None
        key = (service, target, found.address)
        if key not in self._controls:
            self._controls[key] = self._make_control(target, found.address)
        return self._controls[key]
