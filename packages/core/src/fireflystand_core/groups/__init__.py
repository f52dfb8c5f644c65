"""Decide who coordinates a group and which target owns each of its shards."""

from . import actions, coordinator, hot_keys, record, timing
from .actions import *  # noqa: F403
from .coordinator import *  # noqa: F403
from .hot_keys import *  # noqa: F403
from .record import *  # noqa: F403
from .timing import *  # noqa: F403

__all__ = [
    *actions.__all__,
    *coordinator.__all__,
    *hot_keys.__all__,
    *record.__all__,
    *timing.__all__,
]
