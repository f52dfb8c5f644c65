"""Tell when this instance may claim a group."""

from collections.abc import Mapping

from fireflystand_core.membership import Witness
from fireflystand_core.sharding import candidate_order

from .view import ClaimInfo, ClusterView

__all__ = ["ClaimTiming"]

FIRST_CLAIM_STEP = 0.5  # seconds for each rank
TAKEOVER_STEP = 0.3  # seconds for each rank
ORPHAN_WAIT = 3.0  # seconds with no witness of the record alive
RETRY_WAIT = 0.5  # seconds between attempts

GroupName = tuple[str, int]


class ClaimTiming:
    """Follow since when each group calls for a claim by this instance."""

    def __init__(self, instance: str, witness: Witness, view: ClusterView) -> None:
        self._instance = instance
        self._witness = witness
        self._view = view
        self._since: dict[GroupName, tuple[str, float]] = {}
        self._tried_at: dict[GroupName, float] = {}

    def should_claim(
        self,
        name: GroupName,
        incarnations: Mapping[str, str],
        now: float,
        has_met_peers: bool = True,
    ) -> bool:
        """Tell whether to claim the group now; a failed claim is tried again.

        An instance that has not met its peers would be first in every group.
        """
        claim = self._view.claims_by_group.get(name)
        reason, wait = self._reason(name, claim, incarnations, now)
        if not reason or (reason == "first" and not has_met_peers):
            self._since.pop(name, None)
            return False
        known = self._since.get(name)
        if known is None or known[0] != reason:
            known = self._since[name] = (reason, now)
        if now - known[1] < wait:
            return False
        if now - self._tried_at.get(name, float("-inf")) < RETRY_WAIT:
            return False
        self._tried_at[name] = now
        return True

    def _reason(
        self,
        name: GroupName,
        claim: ClaimInfo | None,
        incarnations: Mapping[str, str],
        now: float,
    ) -> tuple[str, float]:
        if claim is None:
            return "first", self._rank(name, incarnations) * FIRST_CLAIM_STEP
        if claim.witnesses.get(self._instance) == self._witness.incarnation:
            self._witness.expect(name, claim.epoch, now)
            if name in self._witness.suspected(now):
                rank = self._takeover_rank(name, claim)
                return f"takeover {claim.epoch}", rank * TAKEOVER_STEP
            return "", 0.0
        self._witness.forget(name)
        named = claim.witnesses.items()
        if any(incarnations.get(w) == incarnation for w, incarnation in named):
            return "", 0.0
        rank = self._rank(name, incarnations)
        return f"orphan {claim.epoch}", ORPHAN_WAIT + rank * FIRST_CLAIM_STEP

    def _takeover_rank(self, name: GroupName, claim: ClaimInfo) -> int:
        # The coordinator of the claim is its witness, and the last to take over.
        others = [w for w in claim.witnesses if w != claim.instance]
        if claim.instance == self._instance:
            return len(others)
        return self._rank(name, others)

    def _rank(self, name: GroupName, candidates) -> int:
        order = candidate_order(*name, {*candidates, self._instance})
        return order.index(self._instance)
