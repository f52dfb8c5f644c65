"""Route requests; all shared state is kept in the platform's object store."""

from . import node, ports
from .node import *  # noqa: F403
from .ports import *  # noqa: F403

__all__ = [*node.__all__, *ports.__all__]
