"""Carry out what coordinators of the model ask for."""

from collections.abc import Callable
from functools import partial

from fireflystand_core.groups import (
    AskStatus,
    ReadRecord,
    RequestConfirmation,
    RequestSeal,
    SendGrant,
    WriteRecord,
)

from .ownership_parts import GROUP, Instance, Message, ModelTarget

__all__ = ["ActionHandlers"]

STORE_WAIT = 0.4  # seconds until a missing answer counts as failure


class ActionHandlers:
    """Turn actions into messages of the world that inherits these methods."""

    def perform(self, instance: Instance, actions: list) -> None:
        """Carry out what a coordinator asks for."""
        for action in actions:
            handler = getattr(self, f"_on_{type(action).__name__}", None)
            if handler is not None:
                handler(instance, instance.coordinator, action)

    def _tell(self, instance, coordinator, method, *args) -> None:
        if instance.coordinator is not coordinator:
            return
        now = instance.clock.read(self.real)
        self.perform(instance, getattr(coordinator, method)(*args, now))

    def _on_WriteRecord(self, instance, coordinator, action: WriteRecord) -> None:  # noqa: N802
        operation = action.record.operation_id
        tell = partial(self._tell, instance, coordinator)

        def arrived() -> None:
            if not self.store.available:
                return
            done = self.store.put(action.record, action.expected_version)
            if self.store.lose_responses > 0:
                self.store.lose_responses -= 1
                return
            if done:
                answer = partial(tell, "written", operation, self.store.version)
            else:
                answer = partial(tell, "write_failed", operation)
            self.send("store", instance.id, answer)

        self.send(instance.id, "store", arrived)
        self._later(instance, STORE_WAIT, partial(tell, "write_failed", operation))

    def _on_ReadRecord(self, instance, coordinator, action: ReadRecord) -> None:  # noqa: N802
        tell = partial(self._tell, instance, coordinator)

        def arrived() -> None:
            if self.store.available:
                answer = partial(tell, "read", self.store.record, self.store.version)
                self.send("store", instance.id, answer)

        self.send(instance.id, "store", arrived)
        self._later(instance, STORE_WAIT, partial(tell, "read_failed"))

    def _later(self, instance: Instance, wait: float, deliver: Callable) -> None:
        self._numbers += 1
        message = Message(
            self.real + wait, self._numbers, instance.id, instance.id, deliver
        )
        self._messages.append(message)

    def _on_RequestConfirmation(  # noqa: N802
        self, instance, coordinator, action: RequestConfirmation
    ) -> None:
        asked_at = instance.clock.read(self.real)
        tell = partial(self._tell, instance, coordinator)
        peer = self.instances[action.witness]

        def arrived() -> None:
            now = peer.clock.read(self.real)
            named, epoch = action.witness_incarnation, action.epoch
            if peer.witness.confirm(GROUP, epoch, named, now):
                answer = partial(
                    tell, "confirmed", peer.id, named, action.epoch, asked_at
                )
            else:
                answer = partial(tell, "higher_epoch", peer.witness.highest(GROUP))
            self.send(peer.id, instance.id, answer)

        self.send(instance.id, peer.id, arrived)

    def _on_RequestSeal(self, instance, coordinator, action: RequestSeal) -> None:  # noqa: N802
        tell = partial(self._tell, instance, coordinator)
        peer = self.instances[action.witness]

        def arrived() -> None:
            now = peer.clock.read(self.real)
            sealed = peer.witness.seal(GROUP, action.epoch, now)
            fields = (
                peer.id,
                peer.witness.incarnation,
                sealed.epoch,
                sealed.confirmed_age,
                sealed.unjournaled,
            )
            self.send(peer.id, instance.id, partial(tell, "sealed", *fields))

        self.send(instance.id, peer.id, arrived)

    def _on_AskStatus(self, instance, coordinator, action: AskStatus) -> None:  # noqa: N802
        target = self.targets[action.target]
        instance.connections += 1
        self._ask_target(instance, coordinator, target, instance.connections, None)

    def _on_SendGrant(self, instance, coordinator, action: SendGrant) -> None:  # noqa: N802
        target = self.targets[action.target]
        known = coordinator.targets_by_id[target.id]
        self._ask_target(
            instance, coordinator, target, action.connection, action, known
        )

    def _ask_target(self, instance, coordinator, target, number, grant, known=None):
        tell = partial(self._tell, instance, coordinator)
        meant = known.incarnation if known else None

        def arrived() -> None:
            if not target.alive:
                self.send(
                    target.id, instance.id, partial(tell, "target_died", target.id)
                )
                return
            if target.frozen:
                self._later_for(target, arrived)
                return
            name = str(target.incarnation)
            if meant not in (None, name):
                return
            if grant is not None and not target.grant(grant):
                answer = partial(tell, "higher_epoch", target.epoch)
                self.send(target.id, instance.id, answer)
                return
            clock = target.clock_ms(self.real)
            status = (target.id, number, name, clock, target.draining)
            self.send(target.id, instance.id, partial(tell, "target_status", *status))
            if grant is not None:
                fields = (target.id, grant.epoch, grant.sequence, name)
                self.send(
                    target.id, instance.id, partial(tell, "grant_acknowledged", *fields)
                )

        self.send(instance.id, target.id, arrived)

    def _later_for(self, target: ModelTarget, deliver: Callable) -> None:
        self._numbers += 1
        message = Message(self.real + 0.1, self._numbers, target.id, target.id, deliver)
        self._messages.append(message)
