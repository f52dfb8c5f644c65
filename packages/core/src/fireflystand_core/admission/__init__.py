"""Decide which requests may run on which target, and when."""

from ..lazy import lazy_names
from . import budgets, memory
from .budgets import *  # noqa: F403
from .memory import *  # noqa: F403

__all__ = [*budgets.__all__, *memory.__all__]

__getattr__ = lazy_names(
    __name__,
    "actions",
    "balancing",
    "crashes",
    "desk",
    "issuing",
    "queues",
    "targets",
)
