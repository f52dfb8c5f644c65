"""Confirm coordinators' claims and stop once a higher epoch is known."""

import attrs

__all__ = ["SUSPECT_AFTER", "SealAnswer", "Witness"]

SUSPECT_AFTER = 0.6  # seconds without a request of the coordinator
MAX_EPOCHS = 8  # confirmed epochs remembered for each group

GroupName = tuple[str, int]


@attrs.frozen
class SealAnswer:
    """Tell the highest known epoch and how long ago a lower one was confirmed."""

    epoch: int
    confirmed_age: float | None  # seconds
    unjournaled: bool


@attrs.define
class _Seen:
    highest: int = 0
    expected: int = 0
    heard_at: float | None = None
    confirmed_at_by_epoch: dict[int, float] = attrs.field(factory=dict)
    unjournaled_epochs: set[int] = attrs.field(factory=set)


class Witness:
    """Keep the highest epoch of each group in memory; a restart loses all."""

    def __init__(self, instance: str, incarnation: str) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self._seen_by_group: dict[GroupName, _Seen] = {}

    def confirm(
        self,
        group: GroupName,
        epoch: int,
        named_incarnation: str,
        now: float,
        unjournaled: bool = False,
    ) -> bool:
        """Confirm an epoch unless a higher one is known or another process is named."""
        if named_incarnation != self.incarnation:
            return False
        seen = self._seen_by_group.setdefault(group, _Seen())
        if epoch < seen.highest:
            return False
        seen.highest = epoch
        seen.heard_at = now
        seen.confirmed_at_by_epoch[epoch] = now
        if unjournaled:
            seen.unjournaled_epochs.add(epoch)
        _forget_oldest(seen)
        return True

    def seal(self, group: GroupName, epoch: int, now: float) -> SealAnswer:
        """Confirm nothing below ``epoch`` any more."""
        seen = self._seen_by_group.setdefault(group, _Seen())
        seen.highest = max(seen.highest, epoch)
        lower = [e for e in seen.confirmed_at_by_epoch if e < epoch]
        age = self.confirmed_age(group, epoch, now)
        unjournaled = any(e in seen.unjournaled_epochs for e in lower)
        return SealAnswer(seen.highest, age, unjournaled)

    def confirmed_age(self, group: GroupName, epoch: int, now: float) -> float | None:
        """Return the seconds since an epoch below ``epoch`` was confirmed."""
        seen = self._seen_by_group.get(group)
        times = seen.confirmed_at_by_epoch if seen else {}
        lower = [at for confirmed, at in times.items() if confirmed < epoch]
        return now - max(lower) if lower else None

    def highest(self, group: GroupName) -> int:
        """Return the highest epoch known of a group, 0 if none."""
        seen = self._seen_by_group.get(group)
        return seen.highest if seen else 0

    def suspected(self, now: float) -> list[GroupName]:
        """Return the groups whose coordinator has not been heard lately."""
        return [
            group
            for group, seen in self._seen_by_group.items()
            if seen.heard_at is not None and now - seen.heard_at > SUSPECT_AFTER
        ]

    def expect(self, group: GroupName, epoch: int, now: float) -> None:
        """Note that a record names this process, so that silence is suspected.

        A coordinator that died right after its claim has asked for nothing yet.
        """
        seen = self._seen_by_group.setdefault(group, _Seen())
        if epoch > seen.expected and epoch >= seen.highest:
            seen.expected = epoch
            if seen.highest < epoch or seen.heard_at is None:
                seen.heard_at = now

    def lose(self, group: GroupName, epoch: int) -> None:
        """Suspect a group at once because the stream of its coordinator broke.

        ``epoch`` was confirmed last on the stream; a coordinator that handed the
        group over before it ended leaves a higher one in force.
        """
        seen = self._seen_by_group.get(group)
        if seen is None or max(seen.highest, seen.expected) > epoch:
            return
        if seen.heard_at is not None:
            seen.heard_at = float("-inf")

    def forget(self, group: GroupName) -> None:
        """Stop suspecting a group whose record names other witnesses."""
        seen = self._seen_by_group.get(group)
        if seen is not None:
            seen.heard_at = None

    def restart(self, incarnation: str) -> None:
        """Become a new process that remembers nothing."""
        self.incarnation = incarnation
        self._seen_by_group.clear()


def _forget_oldest(seen: _Seen) -> None:
    while len(seen.confirmed_at_by_epoch) > MAX_EPOCHS:
        oldest = min(seen.confirmed_at_by_epoch)
        del seen.confirmed_at_by_epoch[oldest]
        seen.unjournaled_epochs.discard(oldest)
