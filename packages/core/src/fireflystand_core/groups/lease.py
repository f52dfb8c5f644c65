"""Bound how long the authority of this and of earlier epochs lasts."""

from collections.abc import Iterable, Mapping

import attrs

from .record import Predecessor
from .timing import Timing

__all__ = ["AuthorityLease", "EarlierEpochs", "majority"]


def majority(count: int) -> int:
    """Return how many of ``count`` witnesses are more than half."""
    return count // 2 + 1


class AuthorityLease:
    """Keep when each witness was asked for the confirmation it gave last."""

    def __init__(self, timing: Timing) -> None:
        self._timing = timing
        self.witnesses: dict[str, str] = {}
        self._asked_at: dict[str, float] = {}
        self._since: dict[str, float] = {}

    def name_witnesses(self, witnesses: Mapping[str, str], now: float) -> None:
        """Take over a witness list; witnesses in both lists stay counted.

        A witness that confirmed the earlier epoch of this same coordinator was
        not sealed then, and its seal reports that confirmation.
        """
        kept = {w for w, i in witnesses.items() if self.witnesses.get(w) == i}
        self._asked_at = {w: t for w, t in self._asked_at.items() if w in kept}
        self._since = {w: self._since[w] if w in kept else now for w in witnesses}
        self.witnesses = dict(witnesses)

    def confirm(self, witness: str, incarnation: str, asked_at: float) -> None:
        """Count a confirmation from when it was asked for."""
        if self.witnesses.get(witness) != incarnation:
            return
        known = self._asked_at.get(witness, asked_at)
        self._asked_at[witness] = max(known, asked_at)

    def valid_until(self) -> float:
        """Return the time at which the authority ends, 0 if there is none."""
        times = sorted(self._asked_at.values(), reverse=True)
        needed = majority(len(self.witnesses))
        if len(times) < needed:
            return 0.0
        return times[needed - 1] + self._timing.lease

    def silent_witnesses(self, now: float) -> list[str]:
        """Return the witnesses that have confirmed nothing lately."""
        limit = now - self._timing.witness_silence
        return [w for w in self.witnesses if self._last_heard(w) < limit]

    def _last_heard(self, witness: str) -> float:
        return max(self._asked_at.get(witness, 0.0), self._since[witness])


@attrs.define
class _Epoch:
    witnesses: Mapping[str, str]
    confirmed_before: dict[str, float] = attrs.field(factory=dict)
    answered: set[str] = attrs.field(factory=set)  # sealed in the process named
    gone: set[str] = attrs.field(factory=set)  # that process has ended
    given_up: bool = False
    ended_at: float | None = None
    own: bool = False

    @property
    def marker_known(self) -> bool:
        """Tell whether every majority of the witnesses has one that answered."""
        count = len(self.witnesses)
        return self.given_up or len(self.answered) > count - majority(count)


class EarlierEpochs:
    """Collect seals until the authority of every earlier epoch has ended."""

    def __init__(self, predecessors: Iterable[Predecessor], timing: Timing) -> None:
        self._timing = timing
        self._epochs = {p.epoch: _Epoch(p.witnesses) for p in predecessors}

    def unsealed_witnesses(self) -> list[str]:
        """Return the witnesses that still have to be asked."""
        waiting = {
            witness
            for epoch in self._epochs.values()
            if epoch.ended_at is None or not epoch.marker_known
            for witness in epoch.witnesses
            if witness not in epoch.answered and witness not in epoch.gone
        }
        return sorted(waiting)

    def sealed(
        self, witness: str, incarnation: str, age: float | None, now: float
    ) -> None:
        """Note that a witness, or a process that replaced it, was sealed."""
        for epoch in self._epochs.values():
            named = epoch.witnesses.get(witness)
            if named is None:
                continue
            (epoch.answered if named == incarnation else epoch.gone).add(witness)
            if witness in epoch.confirmed_before:
                continue
            if named != incarnation:
                epoch.confirmed_before[witness] = now
            elif age is None:
                epoch.confirmed_before[witness] = now - self._timing.lease * 4
            else:
                epoch.confirmed_before[witness] = now - age * (1 - self._timing.drift)
            self._bound(epoch)

    def died(self, witness: str, incarnation: str, now: float) -> None:
        """Note that the process of a witness is known to be dead."""
        for epoch in self._epochs.values():
            if epoch.witnesses.get(witness) == incarnation:
                epoch.gone.add(witness)
                epoch.confirmed_before.setdefault(witness, now)
                self._bound(epoch)

    def given_up(self, epoch: int, now: float, own: bool = False) -> None:
        """Note that the coordinator of an epoch has given it up by itself.

        ``own`` tells that it is this coordinator, which knows its permits.
        """
        if epoch in self._epochs:
            self._epochs[epoch].ended_at = now
            self._epochs[epoch].given_up = True
            self._epochs[epoch].own = own

    def _bound(self, epoch: _Epoch) -> None:
        # Any majority of sealed witnesses gives a valid bound; the earliest wins.
        needed = majority(len(epoch.witnesses))
        times = sorted(epoch.confirmed_before.values())
        if len(times) >= needed:
            end = times[needed - 1] + self._timing.lengthen(self._timing.lease)
            epoch.ended_at = end if epoch.ended_at is None else min(end, epoch.ended_at)

    def markers_known(self) -> bool:
        """Tell whether the answers show each marker that an earlier epoch may have set.

        A majority of its witnesses held it. Witnesses that died took it with them.
        """
        return all(epoch.marker_known for epoch in self._epochs.values())

    def authority_end(self) -> float | None:
        """Return when the last authority ends or ended, ``None`` if unknown.

        Return 0 if there was no earlier epoch.
        """
        ends = [epoch.ended_at for epoch in self._epochs.values()]
        return None if None in ends else max(ends, default=0.0)

    def permits_known_from(self) -> float | None:
        """Return when the last authority of another coordinator ended.

        Return ``None`` if that is unknown, 0 if there was no other coordinator.
        """
        ends = [epoch.ended_at for epoch in self._epochs.values() if not epoch.own]
        return None if None in ends else max(ends, default=0.0)

    def grants_end(self) -> float | None:
        """Return when the last earlier grant expires, ``None`` if unknown."""
        end = self.authority_end()
        if not end:
            return end
        return end + self._timing.lengthen(self._timing.grant_ttl)

    def take_over(self, other: "EarlierEpochs") -> None:
        """Keep what was learnt of the epochs that both know."""
        for number, epoch in other._epochs.items():
            if number in self._epochs:
                self._epochs[number] = epoch
