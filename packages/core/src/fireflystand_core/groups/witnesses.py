"""Choose witnesses that replace silent ones."""

from collections.abc import Mapping

from fireflystand_core.sharding import WITNESS_COUNT, choose_witnesses

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

    def set_instances(
        self, incarnations: Mapping[str, str], data_centres: Mapping[str, str]
    ) -> None:
        """Take over the live instances."""
        self._incarnations = dict(incarnations)
        self._data_centres = {i: data_centres[i] for i in incarnations}

    def note_dead(self, instance: str, incarnation: str, now: float) -> None:
        """Pass over an instance whose process is known to be dead."""
        if (instance, incarnation) not in self._avoided:
            self._not_before = 0.0
        self._avoided[instance, incarnation] = now + AVOID

    def replacement(self, lease: AuthorityLease, now: float) -> dict[str, str] | None:
        """Return a new list if a witness is lost and another can replace it.

        A list that has lost its majority is replaced by a shorter one if need be,
        because it can never confirm anything again.
        """
        if now < self._not_before or not self._incarnations:
            return None
        for witness in lease.silent_witnesses(now):
            self._avoided[witness, lease.witnesses[witness]] = now + AVOID
        self._avoided = {w: t for w, t in self._avoided.items() if t > now}
        keep = {
            w: i
            for w, i in lease.witnesses.items()
            if (w, i) not in self._avoided and self._incarnations.get(w, i) == i
        }
        if len(keep) == len(lease.witnesses) >= min(WITNESS_COUNT, self._others()):
            return None
        chosen = self._choose(keep)
        whole = len(chosen) >= len(lease.witnesses) and len(chosen) > len(keep)
        lost = len(keep) < majority(len(lease.witnesses)) and chosen
        if not whole and not lost:
            return None
        self._not_before = now + self._timing.witness_silence
        return {w: keep.get(w) or self._incarnations[w] for w in chosen}

    def _choose(self, keep: Mapping[str, str]) -> list[str]:
        centres = {
            i: dc
            for i, dc in self._data_centres.items()
            if i != self._identity.instance
            and (i, self._incarnations[i]) not in self._avoided
        }
        centres |= {w: self._data_centres.get(w, "") for w in keep}
        name, group = self._identity.service, self._identity.group
        return choose_witnesses(name, group, centres, keep=keep)

    def _others(self) -> int:
        return sum(i != self._identity.instance for i in self._incarnations)
