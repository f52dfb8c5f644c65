"""Bound how often one kind of request goes before another.

More urgent requests than the targets can run leave no slot for less urgent kinds, which
are then passed over for as long as the load lasts. Each kind that waits gets a turn
after so many grants to others.
"""

from collections.abc import Callable, Collection, Hashable, Iterable
from typing import TypeVar

__all__ = ["MAX_PASSED_OVER", "KindTurns", "most_ahead"]

# With 3, urgent requests lost more than the others gained; see the design note.
MAX_PASSED_OVER = 6  # grants to other kinds while requests of one kind wait

Item = TypeVar("Item")


class KindTurns:
    """Count for one queue the grants by which each waiting kind was passed over."""

    def __init__(self) -> None:
        self._passed_by_kind: dict[Hashable, int] = {}

    def choose(
        self,
        items: Collection[Item],
        kind: Callable[[Item], Hashable],
        urgency: Callable,
    ) -> Item:
        """Return the most urgent item, or that of a kind that was passed over."""
        due = max(self._passed_by_kind, key=self._passed_by_kind.get, default=None)
        if due is not None and self._passed_by_kind[due] >= MAX_PASSED_OVER:
            waiting = [item for item in items if kind(item) == due]
            if waiting:
                return min(waiting, key=urgency)
            del self._passed_by_kind[due]
        return min(items, key=urgency)

    def due_kinds(self) -> set[Hashable]:
        """Return the kinds that were passed over often enough."""
        return {k for k, n in self._passed_by_kind.items() if n >= MAX_PASSED_OVER}

    def note_grant(self, kind: Hashable, waiting: Iterable[Hashable]) -> None:
        """Count a grant to one kind while requests of some kinds wait."""
        kinds = set(waiting) - {kind}
        self._passed_by_kind = {
            other: self._passed_by_kind.get(other, 0) + 1 for other in kinds
        }


def most_ahead(own_ahead: int, ahead: int) -> int:
    """Return how many of the requests ahead can start before one of a kind.

    ``own_ahead`` of them are of its kind.
    """
    return min(ahead, own_ahead + MAX_PASSED_OVER * (own_ahead + 1))
