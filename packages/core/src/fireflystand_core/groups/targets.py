"""Follow the targets of a group and send each the grants that are due."""

from collections.abc import Iterable, Iterator, Mapping

import attrs

from .actions import Action, AskStatus, SendGrant, TargetChanged
from .target_grants import TargetGrants, TargetInfo
from .timing import Timing

__all__ = ["TargetSet"]


class TargetSet:
    """Hold the grants and the state of every target of a group."""

    def __init__(self, timing: Timing) -> None:
        self._timing = timing
        self._asked_at: dict[str, float] = {}
        self.by_id: dict[str, TargetGrants] = {}

    def set_infos(self, infos: Iterable[TargetInfo], now: float) -> None:
        """Take over the declared targets; others may own nothing any more."""
        infos_by_id = {info.id: info for info in infos}
        for name, info in infos_by_id.items():
            known = self.by_id.get(name)
            if known is None:
                self.by_id[name] = TargetGrants(info, self._timing, now)
            else:
                known.info = info
        for name, known in self.by_id.items():
            if name not in infos_by_id:
                known.info = attrs.evolve(known.info, admits=False)
            known.note_leaving(now)

    def heard(
        self,
        target: str,
        connection: int,
        incarnation: str,
        clock_ms: float,
        draining: bool,
        now: float,
    ) -> list[Action]:
        """Take over a status and tell what changed."""
        known = self.by_id.get(target)
        if known is None:
            return []
        change = known.heard(connection, incarnation, clock_ms, now)
        if change == "stale":
            return []
        known.draining = draining
        known.note_leaving(now)
        return [TargetChanged(target, change)] if change else []

    def died(self, target: str, now: float) -> list[Action]:
        """Take over evidence of death and tell if it is news."""
        known = self.by_id.get(target)
        if known is None:
            return []
        news = known.died_at is None or known.incarnation is not None
        known.died(now)
        return [TargetChanged(target, "died")] if news else []

    def ask_status(self, now: float) -> Iterator[AskStatus]:
        """Yield the questions that are due."""
        for name, known in self.by_id.items():
            heard = -1.0 if known.heard_at is None else known.heard_at
            last = max(self._asked_at.get(name, -1.0), heard)
            if now - last >= self._timing.grant_period / 2:
                self._asked_at[name] = now
                yield AskStatus(name)

    def weights(self, now: float) -> dict[str, float]:
        """Return the weights of the targets that may be given shards."""
        return {
            name: known.info.weight
            for name, known in sorted(self.by_id.items())
            if known.usable(now)
        }

    def lost(self, now: float) -> frozenset[str]:
        """Return the targets that are dead, silent or were never heard."""
        return frozenset(
            name
            for name, known in self.by_id.items()
            if known.silent(now) or known.incarnation is None
        )

    def grants(
        self, shards_by_target: Mapping[str, set[int]], epoch: int, now: float
    ) -> Iterator[SendGrant]:
        """Yield the grants that are due; the caller has checked its authority now."""
        for name, known in self.by_id.items():
            if not known.info.checks_epoch:
                continue
            wanted = frozenset(shards_by_target.get(name, ()))
            grant = known.next_grant(wanted, epoch, now)
            if grant is not None:
                yield grant
