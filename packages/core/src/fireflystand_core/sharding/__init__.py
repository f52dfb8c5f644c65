"""Map keys to shards, shards to groups and shards to targets."""

from . import hashing, placement, ranking, shard_set
from .hashing import *  # noqa: F403
from .placement import *  # noqa: F403
from .ranking import *  # noqa: F403
from .shard_set import *  # noqa: F403

__all__ = [
    *hashing.__all__,
    *placement.__all__,
    *ranking.__all__,
    *shard_set.__all__,
]
