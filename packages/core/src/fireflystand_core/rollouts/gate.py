"""Tell which version's targets an instance may send a service's requests to.

The load is that of a service under an order, at an instance that may be frozen or cut
off from the store, from its peers or from both at any moment, while others go on. What
it may still do follows from the age of what it was told.
"""

from math import inf

import attrs

from .exposure import ExposureBudget
from .model import Phase, RolloutOrder, RolloutPolicy, RolloutRecord

__all__ = [
    "LEASE_LIFETIME",
    "MAX_CONFIRMATION_AGE",
    "AllowedVersions",
    "VersionGate",
]

LEASE_LIFETIME = 2.0  # seconds
MAX_CONFIRMATION_AGE = 3.0  # seconds
# Of the duration. No cutover begins before half of it, so that an instance that cannot
# read the store knows until then that the old version's targets are there.
CERTAIN_TRIAL = 0.4
MAX_RAMP_SHARE = 0.5


@attrs.frozen
class AllowedVersions:
    """Say whether requests may go to targets of the old and of the new version."""

    old: bool
    new: bool


class VersionGate:
    """Hold what one instance knows of one order for a service.

    ``seen_at`` is when the instance saw the order begin; it is ``-inf`` if the order
    was already there when the instance first read the store, so that its age is
    unknown. ``instance_share`` is the instance's part of what holds for all of them,
    and ``random_phase`` a random number from 0 to 1. Times are in seconds on the
    clock that includes suspended time.

    ``phase`` is the phase in force here. ``epoch`` is the highest that was seen.
    """

    def __init__(
        self,
        order: RolloutOrder,
        policy: RolloutPolicy,
        *,
        seen_at: float = -inf,
        instance_share: float = 0.0,
        random_phase: float = 0.0,
    ) -> None:
        self.order = order
        self.policy = policy
        self.seen_at = seen_at
        self.epoch = 0
        self.is_withdrawn = False
        self.budget = ExposureBudget(
            policy.trial_share, policy.trial_slack * instance_share, random_phase
        )
        self._phase = order.final_phase or Phase.TRIAL
        self._has_record = False
        self._has_earlier_status = False
        self._lease_at = -inf
        self._deadline_at = seen_at + order.duration
        # When a decider last announced a rollback that it may not have written yet.
        self._announced_at: float | None = None
        self._announced_epoch = 0

    @property
    def phase(self) -> Phase:
        """Return the phase in force at this instance."""
        if self._announced_at is not None and not self._phase.is_final:
            return Phase.ROLLED_BACK
        return self._phase

    @property
    def ordered_at(self) -> float:
        """Return the earliest time at which the order may have been given."""
        return self._deadline_at - self.order.duration

    @property
    def deadline_at(self) -> float:
        """Return when the order's duration ends, as far as this instance knows."""
        return self._deadline_at

    @property
    def needs_token(self) -> bool:
        """Tell whether each request to the new version costs a token of the budget."""
        return self._phase in (Phase.TRIAL, Phase.RAMP)

    def apply_order(self, order: RolloutOrder) -> None:
        """Apply a status that was written for the same order."""
        if order.id != self.order.id:
            raise ValueError(f"{order.id} is not the order {self.order.id}")
        self.order = order
        if order.final_phase is None:
            self._has_earlier_status = False
        elif not self._has_earlier_status:
            self._advance(order.final_phase)

    def apply_record(self, record: RolloutRecord) -> None:
        """Apply a record from the store, unless it is of an earlier phase."""
        if record.order == self.order.id:
            self._has_record = True
            self.epoch = max(self.epoch, record.epoch)
            self._advance(record.phase)
        elif self._is_explained_by(record):
            self._phase = Phase.TRIAL
            self._has_earlier_status = True

    def apply_lease(
        self, phase: Phase, epoch: int, share: float, remaining: float, now: float
    ) -> None:
        """Apply a lease of the decider that has claimed the role under an epoch.

        ``remaining`` is the time to the deadline. A rollback is announced before it is
        written: it stops the new version at once, and counts as final when the record
        says so.
        """
        if epoch < self.epoch:
            return
        self.epoch = epoch
        is_first = self._deadline_at == -inf
        told = now + remaining
        self._deadline_at = told if is_first else min(self._deadline_at, told)
        if phase is Phase.ROLLED_BACK:
            self._announced_at = now
            self._announced_epoch = epoch
            return
        self._lease_at = max(self._lease_at, now)
        self._advance(phase)
        if self._phase is Phase.RAMP:
            self.budget.set_share(min(share, MAX_RAMP_SHARE))
        elif self._phase is Phase.TRIAL:
            self.budget.set_share(min(share, self.policy.trial_share))

    def note_in_use(self) -> None:
        """Apply that the version was in use before anything was told of the order.

        There is no old version that could serve during a trial.
        """
        if self._phase is Phase.TRIAL and not self.epoch:
            self._advance(Phase.COMPLETED)

    def withdraw(self) -> None:
        """Apply that the order was withdrawn or replaced by another."""
        self.is_withdrawn = True

    def allows(self, now: float, confirmation_age: float) -> AllowedVersions:
        """Return which versions a request that is sent now may use.

        ``confirmation_age`` is the time since the instance's replicas were last known
        to be current.
        """
        if self._phase is Phase.COMPLETED:
            return AllowedVersions(old=self.is_withdrawn, new=True)
        if self._phase is Phase.ROLLED_BACK or self.is_withdrawn:
            return AllowedVersions(old=True, new=False)
        is_confirmed = confirmation_age <= MAX_CONFIRMATION_AGE
        if self._phase is Phase.CUTOVER:
            return self._allows_in_cutover(now, is_confirmed)
        return AllowedVersions(
            old=is_confirmed or self._is_certainly_in_trial(now),
            new=is_confirmed and self._has_lease(now),
        )

    def _allows_in_cutover(self, now: float, is_confirmed: bool) -> AllowedVersions:
        if self._announced_at is None:
            return AllowedVersions(old=False, new=self._has_lease(now))
        # The decider that announced a rollback may be lost before it writes it, and
        # the next one may complete the rollout. Then neither version is safe here.
        is_recent = now - self._announced_at < LEASE_LIFETIME
        is_latest = self._announced_epoch == self.epoch
        return AllowedVersions(old=is_confirmed and is_recent and is_latest, new=False)

    def _has_lease(self, now: float) -> bool:
        return self._announced_at is None and now - self._lease_at < LEASE_LIFETIME

    def _is_certainly_in_trial(self, now: float) -> bool:
        if self._phase is not Phase.TRIAL:
            return False
        return now - self.ordered_at <= CERTAIN_TRIAL * self.order.duration

    def _is_explained_by(self, record: RolloutRecord) -> bool:
        """Tell whether the status was left by the earlier order of a record.

        An order that differs only in its duration begins with the earlier status. A
        rolled back version may be tried again; a completed one is in use already.
        """
        return (
            not self._has_record
            and self._phase is self.order.final_phase is Phase.ROLLED_BACK
            and record.phase is Phase.ROLLED_BACK
            and record.to == self.order.to
        )

    def _advance(self, phase: Phase) -> None:
        if phase.follows(self._phase):
            self._phase = phase
