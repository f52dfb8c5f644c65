"""Take in what happens to the targets of a permit desk."""

from .actions import Action, StoreSuspects
from .crashes import CrashHold
from .issuing import Issuer
from .targets import SEND_WITHIN, TRANSIT, OutstandingPermit, TargetAdmission

__all__ = ["TargetEvents"]


class TargetEvents:
    """Change the targets of a desk; each method returns the desk's actions."""

    hold: CrashHold
    issuer: Issuer
    _longest_deadline: float
    _departed_by_id: dict[str, OutstandingPermit]

    @property
    def targets_by_id(self) -> dict[str, TargetAdmission]:
        """Return the admission state of all targets."""
        return self.issuer.targets_by_id

    def add_target(
        self,
        target: str,
        address: str,
        slots: int,
        connections: int,
        now: float,
        *,
        fenced: bool = True,
    ) -> list[Action]:
        """Add a target, or update its settings.

        A new one starts cold, and gets permits only after a status. ``fenced``
        tells that it refuses requests of earlier epochs by now.
        """
        known = self.targets_by_id.get(target)
        if known is not None:
            known.address = address
            known.slots = slots
            known.connections = connections
            return self._dispatch(now)
        admission = TargetAdmission(target, address, slots, connections)
        wait = 0.0 if fenced else SEND_WITHIN + TRANSIT
        admission.take_over(now, wait, self._longest_deadline)
        self.targets_by_id[target] = admission
        return []

    def remove_target(self, target: str, now: float) -> list[Action]:
        """Remove a target; its outstanding permits may still be returned."""
        admission = self.targets_by_id.pop(target, None)
        if admission is not None:
            self._departed_by_id.update(admission.permits_by_id)
        return self._dispatch(now)

    def set_draining(self, target: str, draining: bool, now: float) -> list[Action]:
        """Stop or resume new work for a target."""
        if target in self.targets_by_id:
            self.targets_by_id[target].draining = draining
        return self._dispatch(now)

    def target_granted(self, target: str, now: float) -> list[Action]:
        """Take in the first grant of a target's incarnation."""
        self.targets_by_id[target].turn_cold(now)
        return self._dispatch(now)

    def target_status(
        self,
        target: str,
        incarnation: str,
        warm: float,
        in_flight: int,
        sampled_at: float,
        now: float,
    ) -> list[Action]:
        """Take in a status that was asked for at ``sampled_at``.

        Statuses that overtook each other, or were asked for before the target's
        process died, are left out.
        """
        admission = self.targets_by_id[target]
        if sampled_at <= admission.sampled_at:
            return []
        actions: list[Action] = []
        known = admission.incarnation
        if known is not None and known != incarnation:
            actions += self._count_crash(admission, now)
        ended = admission.report(incarnation, warm, in_flight, sampled_at)
        self.hold.alive(target, sampled_at)
        self._departed_by_id.update({p.permit_id: p for p in ended})
        return actions + self._dispatch(now)

    def target_lost(self, target: str, now: float) -> list[Action]:
        """Take in evidence that a target's process died."""
        admission = self.targets_by_id[target]
        if not admission.alive:
            return []
        actions = self._count_crash(admission, now)
        admission.lose(now)
        return actions + self._dispatch(now)

    def _count_crash(self, admission: TargetAdmission, now: float) -> list[Action]:
        permits = [p for p in admission.permits_by_id.values() if not p.crash_counted]
        for permit in permits:
            permit.crash_counted = True
        self.hold.crashed(admission.id, {p.fingerprint for p in permits}, now)
        return [StoreSuspects(self.hold.store(now))]

    def _dispatch(self, now: float) -> list[Action]:
        raise NotImplementedError
