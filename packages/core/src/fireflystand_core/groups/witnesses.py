"""Choose witnesses that replace silent ones."""

from collections.abc import Mapping

from fireflystand_core.sharding import coordinator_witnesses, witness_list_size

from .lease import AuthorityLease, majority
from .timing import Timing

__all__ = ["WitnessChoice"]

AVOID = 15.0  # seconds for which a silent or dead witness is passed over


class WitnessChoice:
    """Hold which instances may confirm the group."""

    def __init__(self, identity, timing: Timing) -> None:
        self._identity = identity
        self._timing = timing
        self._incarnations: dict[str, str] = {}
        self._data_centres: dict[str, str] = {}
        self._not_before = 0.0
        self._avoided: dict[tuple[str, str], float] = {}  # until
        self._dead: dict[tuple[str, str], float] = {}  # remembered until
        # Incarnations named before a list of the coordinator alone. One of them makes
        # the third witness once a single other instance is live.
        self._former: dict[str, str] = {}

    def set_instances(
        self, incarnations: Mapping[str, str], data_centres: Mapping[str, str]
    ) -> None:
        """Take over the live instances."""
        self._incarnations = dict(incarnations)
        self._data_centres = {i: data_centres[i] for i in incarnations}

    def note_former(self, witnesses: Mapping[str, str]) -> None:
        """Take over the incarnations of an earlier list of the group."""
        self._former = dict(witnesses)

    def note_dead(self, instance: str, incarnation: str, now: float) -> None:
        """Pass over an instance whose process is known to be dead."""
        if (instance, incarnation) not in self._avoided:
            self._not_before = 0.0
        self._avoided[instance, incarnation] = now + AVOID
        self._dead[instance, incarnation] = now + AVOID

    def replacement(self, lease: AuthorityLease, now: float) -> dict[str, str] | None:
        """Return a new list if a witness is lost and another can replace it.

        A list that has lost its majority is replaced by a shorter one if need be,
        because it can never confirm anything again. The coordinator alone is a list
        only if the others are known dead: one that is cut off must be replaceable.
        """
        if now < self._not_before or not self._incarnations:
            return None
        for witness in lease.silent_witnesses(now):
            self._avoided[witness, lease.witnesses[witness]] = now + AVOID
        self._avoided = {w: t for w, t in self._avoided.items() if t > now}
        self._dead = {w: t for w, t in self._dead.items() if t > now}
        keep = {
            w: i
            for w, i in lease.witnesses.items()
            if (w, i) not in self._avoided and self._incarnations.get(w, i) == i
        }
        centres = self._available(keep)
        spare = {**self._former, **lease.witnesses}
        size = witness_list_size(len(centres), not spare.keys() <= centres.keys())
        if len(keep) == len(lease.witnesses) and len(lease.witnesses) >= size:
            return None
        identity = self._identity
        name = (identity.service, identity.group, identity.instance)
        chosen = coordinator_witnesses(*name, centres, keep, spare)
        live = sum(w in centres for w in chosen)
        whole = len(chosen) >= len(lease.witnesses) and live > len(keep)
        lost = len(keep) < majority(len(lease.witnesses))
        if not whole and not (lost and self._may_shrink(lease, live)):
            return None
        if len(chosen) == 1:
            # No pause: the next live instance has to be named at once.
            self.note_former(lease.witnesses)
        else:
            self._not_before = now + self._timing.witness_silence
        known = {**spare, **self._incarnations, **keep}
        return {w: known[w] for w in chosen}

    def _available(self, keep: Mapping[str, str]) -> dict[str, str]:
        centres = {
            i: dc
            for i, dc in self._data_centres.items()
            if (i, self._incarnations[i]) not in self._avoided
        }
        own = self._identity.instance
        return {
            **centres,
            **{w: self._data_centres.get(w, "") for w in (own, *keep)},
        }

    def _may_shrink(self, lease: AuthorityLease, live: int) -> bool:
        others = [w for w in lease.witnesses.items() if w[0] != self._identity.instance]
        return live > 1 or all(other in self._dead for other in others)
