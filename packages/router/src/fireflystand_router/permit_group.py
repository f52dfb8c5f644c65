"""Hold what belongs to one group while its permits are issued here."""

from collections.abc import Callable
from typing import Protocol

import attrs
import trio

from fireflystand_core.admission import PermitDesk
from fireflystand_core.messages import JournalEntry

__all__ = ["GroupAuthority", "ServedGroup"]


class GroupAuthority(Protocol):
    """Tell a desk what the group's coordinator knows and decides.

    ``owner_of`` is ``None`` for services that are not divided by key. The host
    starts a group only when the predecessor's permits are fenced or its lease
    has ended, because the journal is loaded then.
    """

    epoch: int
    owner_of: Callable[[int, int, float], tuple[str, int] | None] | None
    shard_of: Callable[[int, int], int]
    suspects: list[tuple[int, int, float]]
    predecessor_unjournaled: bool

    def may_issue(self, now: float) -> bool:
        """Tell whether the claim is confirmed by a majority now."""

    def note_request(self, key_hash: int, shard: int) -> None:
        """Count a request for the choice of hot keys."""

    async def mark_unjournaled(self) -> bool:
        """Return whether a majority of witnesses holds the marker."""

    async def clear_unjournaled(self) -> None:
        """Drop the marker."""

    async def store_suspects(self, suspects: list[tuple[int, int, float]]) -> None:
        """Write the crash suspects into the group record."""


@attrs.define(eq=False)
class ServedGroup:
    """Hold what belongs to one group while it is served here."""

    desk: PermitDesk
    authority: GroupAuthority
    scope: trio.CancelScope
    nursery: trio.Nursery | None = None
    loaded: trio.Event = attrs.field(factory=trio.Event)
    answers: dict[tuple[str, str], trio.MemorySendChannel] = attrs.field(factory=dict)
    unwritten: list[JournalEntry] = attrs.field(factory=list)
    added: int = 0  # entries ever put into ``unwritten``
    written: int = 0  # of these, entries that are durable
    changed: trio.Event = attrs.field(factory=trio.Event)  # of the two counts
    marked: bool = False  # a successor must mark a gap
    outage: bool = False

    def add(self, entries: list[JournalEntry]) -> None:
        """Take entries that the flush writes."""
        self.unwritten += entries
        self.added += len(entries)
        self._note_change()

    def remove_written(self, count: int) -> None:
        """Drop the first entries, which are durable now."""
        del self.unwritten[:count]
        self.written += count
        self._note_change()

    def _note_change(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def release_waiting(self) -> None:
        """Let nobody wait any more; a successor takes over what is not written."""
        self.outage = True
        self._note_change()

    async def wait_written(self, number: int) -> None:
        """Wait until so many entries are durable, or an outage keeps them back."""
        while self.written < number and not self.outage:
            await self.changed.wait()
