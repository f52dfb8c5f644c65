"""Tell a permit desk what the coordinator of its group knows and decides."""

from collections.abc import Callable

import trio

from fireflystand_core.groups import Action, GroupCoordinator

__all__ = ["CoordinatorAuthority"]

POLL_PERIOD = 0.02  # seconds
MARK_TIMEOUT = 1.0  # seconds

Suspects = list[tuple[int, int, float]]


class CoordinatorAuthority:
    """Join a group coordinator and a permit desk.

    ``perform`` carries out the actions of the coordinator.
    """

    def __init__(
        self,
        coordinator: GroupCoordinator,
        keyed: bool,
        perform: Callable[[list[Action]], None],
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self.owner_of = coordinator.owner_of if keyed else None
        self._coordinator = coordinator
        self._keyed = keyed
        self._perform = perform
        self._clock = clock
        self._wall = wall
        self._unwritten: Suspects | None = None

    @property
    def epoch(self) -> int:
        """Return the epoch in force; the coordinator may raise it."""
        return self._coordinator.epoch

    @property
    def suspects(self) -> Suspects:
        """Return fingerprint, crashes and remaining seconds of each suspect."""
        found = []
        for text in self._coordinator.record.suspects:
            fingerprint, crashes, until = text.split(":")
            left = float(until) - self._wall()
            if left > 0:
                found.append((int(fingerprint, 16), int(crashes), left))
        return found

    @property
    def predecessor_unjournaled(self) -> bool:
        """Tell whether an earlier coordinator ran requests without the journal."""
        return self._coordinator.predecessor_unjournaled

    def shard_of(self, key_hash: int, shard: int) -> int:
        """Return the shard that a key belongs to."""
        return self._coordinator.shard_for(key_hash, shard)

    def may_issue(self, now: float) -> bool:
        """Tell whether the claim is confirmed by a majority now."""
        return self._coordinator.has_authority(now)

    def note_request(self, key_hash: int, shard: int) -> None:
        """Count a request for the choice of hot keys."""
        if self._keyed:
            self._coordinator.note_request(key_hash, shard)

    async def mark_unjournaled(self) -> bool:
        """Return whether a majority of witnesses holds the marker."""
        self._coordinator.unjournaled = True
        marked_at = self._clock()
        lease = self._coordinator.timing.lease
        with trio.move_on_after(MARK_TIMEOUT):
            # Authority that lasts a whole lease from now rests on confirmations
            # that were asked for with the marker.
            while not self._coordinator.has_authority(marked_at + lease):
                await trio.sleep(POLL_PERIOD)
            return True
        return False

    async def clear_unjournaled(self) -> None:
        """Drop the marker."""
        self._coordinator.unjournaled = False

    async def store_suspects(self, suspects: Suspects) -> None:
        """Write the crash suspects into the group record; the latest list wins."""
        writing = self._unwritten is not None
        self._unwritten = suspects
        if writing:
            return
        while self._coordinator.phase == "active":
            now, wall = self._clock(), self._wall()
            texts = tuple(
                f"{fingerprint:016x}:{crashes}:{wall + left:.0f}"
                for fingerprint, crashes, left in self._unwritten
            )
            actions = self._coordinator.write_suspects(texts, now)
            if actions:
                self._perform(actions)
                break
            await trio.sleep(POLL_PERIOD)
        self._unwritten = None
