"""Replicate one kind of the store's objects and track when it was last complete."""

from collections.abc import Iterable
from enum import Enum
from typing import Any

import attrs

__all__ = [
    "NUMBER_BITS",
    "KindReplica",
    "ObjectChange",
    "ReplicaState",
    "era_of",
    "make_revision",
    "number_of",
]

NUMBER_BITS = 40  # of a revision; the store's era is in the bits above them
# Revisions for which a deletion is remembered. A peer may push an older version seconds
# after the deletion, and a store takes hundreds of writes a second.
DELETIONS_KEPT = 100_000


def make_revision(era: int, number: int) -> int:
    """Return the revision with the store's number ``number`` in an era of the store.

    The era rises each time the store is restored from an earlier copy. Its numbers go
    back then, so revisions are ordered by the era first.
    """
    return (era << NUMBER_BITS) | number


def era_of(revision: int) -> int:
    """Return the store's era in which it gave out a revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision & ((1 << NUMBER_BITS) - 1)


class ReplicaState(Enum):
    """State how a replica compares with a peer's."""

    CURRENT = "current"
    INCOMPLETE = "incomplete"  # has the peer's last change, perhaps not all others
    OLDER = "older"


@attrs.frozen
class ObjectChange:
    """Hold one change of an object; ``value`` is None if the object was deleted."""

    name: str
    version: int
    value: Any


@attrs.define
class KindReplica:
    """Hold the objects of a kind, complete as of a revision of the store.

    ``changed`` is the revision of the last change and ``confirmed_at`` the latest
    time (seconds) at which the replica is known to have been complete. No object
    is ever replaced by an older version, and none by a version of an earlier era
    once a list of a later era is applied.
    """

    kind: str
    revision: int = 0
    changed: int = 0
    confirmed_at: float = float("-inf")
    by_name: dict[str, ObjectChange] = attrs.field(factory=dict)
    deleted_by_name: dict[str, int] = attrs.field(factory=dict)

    def replace(
        self, revision: int, items: Iterable[ObjectChange], confirmed_at: float
    ) -> list[ObjectChange]:
        """Replace the contents by a complete list and return the changes."""
        if revision < self.revision:
            # The list is out of date, but a peer may have got later changes since.
            later = [item for item in items if item.version > self.revision]
            return self._apply_newer(later)
        new_by_name = {item.name: item for item in items}
        changes = [
            ObjectChange(name, revision, None)
            for name, known in self.by_name.items()
            if name not in new_by_name and known.version <= revision
        ]
        changes += [item for item in new_by_name.values() if self._is_newer(item)]
        self._apply_changes(changes)
        if era_of(revision) > era_of(self.revision):
            # Objects that were written and deleted before the list are not in it, and
            # a peer with an earlier list of this era may have them.
            self.changed = revision
        self._confirm(revision, confirmed_at)
        return changes

    def apply(
        self,
        since: int,
        revision: int,
        events: Iterable[ObjectChange],
        confirmed_at: float,
    ) -> list[ObjectChange]:
        """Apply the changes after ``since`` and return those that were new.

        If the changes up to ``since`` are missing, the events are applied, but the
        replica does not count as complete at ``revision``.
        """
        latest_by_name: dict[str, ObjectChange] = {}
        for event in events:
            latest_by_name[event.name] = event
        changes = self._apply_newer(latest_by_name.values())
        self._remember_deletions(latest_by_name.values())
        is_one_era = era_of(since) == era_of(revision)
        if is_one_era and since <= self.revision <= revision:
            self._confirm(revision, confirmed_at)
        return changes

    def hold(self, change: ObjectChange) -> None:
        """Hold an object whose content is newer than what the store has of it."""
        self.by_name[change.name] = change
        self.deleted_by_name.pop(change.name, None)

    def _apply_newer(self, events: Iterable[ObjectChange]) -> list[ObjectChange]:
        changes = [event for event in events if self._is_newer(event)]
        self._apply_changes(changes)
        return changes

    def _is_newer(self, change: ObjectChange) -> bool:
        if era_of(change.version) < era_of(self.revision):
            return False
        known = self.by_name.get(change.name)
        if known is not None:
            return change.version > known.version
        return change.value is not None and change.version > self._deletion_version(
            change
        )

    def _deletion_version(self, change: ObjectChange) -> int:
        return self.deleted_by_name.get(change.name, 0)

    def _apply_changes(self, changes: list[ObjectChange]) -> None:
        for change in changes:
            self.changed = max(self.changed, change.version)
            if change.value is None:
                self.by_name.pop(change.name, None)
                self.deleted_by_name[change.name] = change.version
            else:
                self.by_name[change.name] = change

    def _remember_deletions(self, events: Iterable[ObjectChange]) -> None:
        """Remember deletions of unknown objects too: a peer may have the object."""
        for event in events:
            if event.value is None and event.name not in self.by_name:
                known = self._deletion_version(event)
                if event.version > known and event.version > self.revision:
                    self.changed = max(self.changed, event.version)
                    self.deleted_by_name[event.name] = event.version

    def _confirm(self, revision: int, confirmed_at: float) -> None:
        self.revision = revision
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        # A change older than the retained revisions, or of an earlier era, cannot
        # arrive as new any more.
        era_begin = make_revision(era_of(revision), 0)
        earliest = max(era_begin, revision - DELETIONS_KEPT + 1)
        self.deleted_by_name = {
            name: version
            for name, version in self.deleted_by_name.items()
            if version >= earliest
        }

    def changes_after(self, revision: int) -> list[ObjectChange]:
        """Return the changes that complete a replica of the given revision."""
        changes = [c for c in self.by_name.values() if c.version > revision]
        changes += [
            ObjectChange(name, version, None)
            for name, version in self.deleted_by_name.items()
            if version > revision
        ]
        return changes

    def confirm(self, revision: int, changed: int, at: float) -> "ReplicaState":
        """Compare with a peer's replica.

        Adopt the peer's confirmation if it is of the same era and no change is missing
        here.
        """
        own_era, era = era_of(self.revision), era_of(revision)
        if own_era != era:
            return ReplicaState.OLDER if own_era < era else ReplicaState.CURRENT
        if changed > self.revision:
            is_older = changed > self.changed
            return ReplicaState.OLDER if is_older else ReplicaState.INCOMPLETE
        if revision >= self.revision > 0:
            self.revision = revision
            self.confirmed_at = max(self.confirmed_at, at)
        return ReplicaState.CURRENT
