"""Replicate one kind of the store's objects and track when it was last complete."""

from collections.abc import Iterable
from enum import Enum
from typing import Any

import attrs

__all__ = ["ReplicaState", "KindReplica", "ObjectChange"]

# Revisions for which a deletion is remembered. A peer may push an older version seconds
# after the deletion, and a store takes hundreds of writes a second.
DELETIONS_KEPT = 100_000


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
    is ever replaced by an older version.
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
            return []
        new_by_name = {item.name: item for item in items}
        changes = [
            ObjectChange(name, revision, None)
            for name, known in self.by_name.items()
            if name not in new_by_name and known.version <= revision
        ]
        changes += [item for item in new_by_name.values() if self._is_newer(item)]
        self._apply_changes(changes)
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
        changes = [event for event in latest_by_name.values() if self._is_newer(event)]
        self._apply_changes(changes)
        self._remember_deletions(latest_by_name.values())
        if since <= self.revision <= revision:
            self._confirm(revision, confirmed_at)
        return changes

    def _is_newer(self, change: ObjectChange) -> bool:
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
        # A change older than the retained revisions cannot arrive as new any more.
        self.deleted_by_name = {
            name: version
            for name, version in self.deleted_by_name.items()
            if version > revision - DELETIONS_KEPT
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

        Adopt the peer's confirmation if no change is missing here.
        """
        if changed > self.revision:
            is_older = changed > self.changed
            return ReplicaState.OLDER if is_older else ReplicaState.INCOMPLETE
        if revision >= self.revision > 0:
            self.revision = revision
            self.confirmed_at = max(self.confirmed_at, at)
        return ReplicaState.CURRENT
