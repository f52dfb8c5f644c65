"""Hold the newest version of each feed item."""

from collections.abc import Iterable, Iterator

import xxhash

from fireflystand_core.messages import FeedItem

__all__ = ["FeedState", "batches"]

MAX_BATCH_BYTES = 1_500_000  # above one value of the store (1 MB), below a message
ITEM_OVERHEAD = 32  # bytes of an item besides its key and value


class FeedState:
    """Hold items by key; the newest version wins and nothing goes back.

    A deletion is an item without a value. It is kept, so that an older version
    that arrives later does not bring the item back.
    """

    def __init__(self) -> None:
        self._items_by_key: dict[str, FeedItem] = {}
        self._digest = 0
        self._revision = 0

    @property
    def digest(self) -> int:
        """Return a 64-bit hash of all keys and versions, whatever their order."""
        return self._digest

    @property
    def revision(self) -> int:
        """Return the highest version held."""
        return self._revision

    def __len__(self) -> int:
        return len(self._items_by_key)

    def get(self, key: str) -> FeedItem | None:
        """Return the item of a key."""
        return self._items_by_key.get(key)

    def keys(self, prefix: str = "") -> list[str]:
        """Return the keys that start with ``prefix`` and were not deleted."""
        return [
            key
            for key, item in self._items_by_key.items()
            if item.value is not None and key.startswith(prefix)
        ]

    def accept(self, items: Iterable[FeedItem]) -> list[FeedItem]:
        """Take over the items that are newer and return them."""
        return [item for item in items if self._accept(item)]

    def _accept(self, item: FeedItem) -> bool:
        known = self._items_by_key.get(item.key)
        if known is not None:
            if known.version >= item.version:
                return False
            self._digest ^= _hash(known)
        self._items_by_key[item.key] = item
        self._digest ^= _hash(item)
        self._revision = max(self._revision, item.version)
        return True

    def versions(self) -> dict[str, int]:
        """Return the version of each key."""
        return {key: item.version for key, item in self._items_by_key.items()}

    def newer_than(self, versions: dict[str, int]) -> list[FeedItem]:
        """Return what a peer with these versions lacks, oldest version first."""
        return _by_version(
            item
            for key, item in self._items_by_key.items()
            if item.version > versions.get(key, -1)
        )

    def since(self, revision: int) -> list[FeedItem]:
        """Return the items with a version above ``revision``, oldest first."""
        return _by_version(
            item for item in self._items_by_key.values() if item.version > revision
        )


def batches(
    items: Iterable[FeedItem], max_bytes: int = MAX_BATCH_BYTES
) -> Iterator[list[FeedItem]]:
    """Split items, in their order, into lists of at most ``max_bytes`` each.

    An item that is larger on its own makes a list of its own.
    """
    batch: list[FeedItem] = []
    size = 0
    for item in items:
        item_size = len(item.key) + len(item.value or "") + ITEM_OVERHEAD
        if batch and size + item_size > max_bytes:
            yield batch
            batch, size = [], 0
        batch.append(item)
        size += item_size
    if batch:
        yield batch


def _by_version(items: Iterable[FeedItem]) -> list[FeedItem]:
    return sorted(items, key=lambda item: (item.version, item.key))


def _hash(item: FeedItem) -> int:
    return xxhash.xxh3_64_intdigest(f"{item.version}/{item.key}".encode())
