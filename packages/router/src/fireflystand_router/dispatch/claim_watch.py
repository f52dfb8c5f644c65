"""Follow the store's eras and whether a claim may have been lost unnoticed.

A restored store has lost what was written in the seconds before. A coordinator goes on
from its own record after that, unless another instance may have claimed the service in
those seconds: that instance's claim and its assignments are lost too.
"""

from collections.abc import Callable

from fireflystand_core.replica import era_of

from .membership import Membership
from .state import RoutingState

__all__ = ["ClaimWatch"]

# A coordinator whose loop pauses for longer may have been taken for dead.
MAX_PAUSE = 1.0  # seconds
# An instance notices up to this long after another one that they lost each other.
NOTICE_MARGIN = 1.0  # seconds
# An instance that cannot reach a coordinator claims its service within this time.
CLAIM_PERIOD = 8.0  # seconds


class ClaimWatch:
    """Follow the store's era and the changes among the instances."""

    def __init__(
        self,
        service: str,
        state: RoutingState,
        membership: Membership,
        clock: Callable[[], float],
    ) -> None:
        self.era = 0
        self.risen_at = float("-inf")  # seconds; when a later era was first seen
        self._service = service
        self._state = state
        self._membership = membership
        self._clock = clock
        self._is_era_known = False
        self._followed_at = float("-inf")
        self._changed_at = float("-inf")
        self._incarnations_by_live_id: dict[str, str | None] = {}

    def update_era(self) -> None:
        """Read the store's era from the replicas."""
        version = self._state.range_version(self._service)
        era = max(self._state.era, era_of(version))
        if era > self.era:
            if self._is_era_known:
                self.risen_at = self._clock()
            self.era = era
        replicas = self._state.replicas_by_kind.values()
        if any(replica.revision for replica in replicas):
            self._is_era_known = True

    def follow_instances(self) -> None:
        """Compare the live instances with those of the last call.

        A coordinator calls this in each iteration of its loop.
        """
        now = self._clock()
        membership = self._membership
        incarnations_by_live_id = {
            instance: membership.incarnations_by_id.get(instance)
            for instance in membership.live
        }
        has_changed = incarnations_by_live_id != self._incarnations_by_live_id
        if has_changed or now - self._followed_at > MAX_PAUSE:
            self._changed_at = now
        self._incarnations_by_live_id = incarnations_by_live_id
        self._followed_at = now
        for instance in self.unreachable():
            # The first call for an instance starts the measurement.
            membership.seconds_unreachable(instance)

    def may_have_missed_claim(self, confirmed_at: float) -> bool:
        """Tell whether another instance may have claimed after the last confirmation.

        An instance claims when it has not heard from the coordinator for a while.
        """
        if self._changed_at > confirmed_at - NOTICE_MARGIN:
            return True
        claim_period = self._clock() - confirmed_at + CLAIM_PERIOD
        return any(
            self._membership.seconds_unreachable(instance) < claim_period
            for instance in self.unreachable()
        )

    def unreachable(self) -> list[str]:
        """Return the known instances that are not live; they may act nevertheless."""
        membership = self._membership
        known = set(self._state.instances_by_id) | set(membership.incarnations_by_id)
        return [instance for instance in known if not membership.is_live(instance)]
