"""Define the messages between instances and their msgpack codec."""

from . import dispatch, kinds, registry
from .dispatch import *  # noqa: F403
from .kinds import *  # noqa: F403
from .registry import *  # noqa: F403

__all__ = [*dispatch.__all__, *kinds.__all__, *registry.__all__]
