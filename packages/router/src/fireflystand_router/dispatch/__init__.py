"""Route requests with all agreed state in the platform's store."""

from . import node, ports
from .node import *  # noqa: F403
from .ports import *  # noqa: F403

__all__ = [*node.__all__, *ports.__all__]
