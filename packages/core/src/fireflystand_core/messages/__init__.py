"""Define the messages between instances and their msgpack codec."""

from ..lazy import lazy_names
from . import dispatch, registry, streams
from .dispatch import *  # noqa: F403
from .registry import *  # noqa: F403
from .streams import *  # noqa: F403

__all__ = [*dispatch.__all__, *registry.__all__, *streams.__all__]

__getattr__ = lazy_names(__name__, "kinds")
