"""Choose witnesses that replace silent ones."""

from collections.abc import Mapping

from fireflystand_core.sharding import WITNESS_COUNT, choose_witnesses

from .lease import AuthorityLease
from .timing import Timing

__all__ = ["WitnessChoice"]


class WitnessChoice:
    """Hold which instances may confirm the group."""

    def __init__(self, identity, timing: Timing) -> None:
        self._identity = identity
        self._timing = timing
        self._incarnations: dict[str, str] = {}
        self._data_centres: dict[str, str] = {}
        self._not_before = 0.0

    def set_instances(
        self, incarnations: Mapping[str, str], data_centres: Mapping[str, str]
    ) -> None:
        """Take over the live instances."""
        self._incarnations = dict(incarnations)
        self._data_centres = {i: data_centres[i] for i in incarnations}

    def replacement(self, lease: AuthorityLease, now: float) -> dict[str, str] | None:
        """Return a new list if a witness is lost and another can replace it."""
        if now < self._not_before or not self._incarnations:
            return None
        silent = set(lease.silent_witnesses(now))
        keep = {
            w: i
            for w, i in lease.witnesses.items()
            if w not in silent and self._incarnations.get(w, i) == i
        }
        if len(keep) == len(lease.witnesses) >= min(WITNESS_COUNT, self._others()):
            return None
        centres = {
            i: dc
            for i, dc in self._data_centres.items()
            if i != self._identity.instance
            and not (i in silent and lease.witnesses.get(i) == self._incarnations[i])
        }
        centres |= {w: self._data_centres.get(w, "") for w in keep}
        name, group = self._identity.service, self._identity.group
        chosen = choose_witnesses(name, group, centres, keep=keep)
        if len(chosen) <= len(keep) or len(chosen) < len(lease.witnesses):
            return None
        self._not_before = now + self._timing.witness_silence
        return {w: keep.get(w) or self._incarnations[w] for w in chosen}

    def _others(self) -> int:
        return sum(i != self._identity.instance for i in self._incarnations)
