"""Play loads against the decisions on how work waits, without input and output."""

from . import loads, model
from .loads import *  # noqa: F403
from .model import *  # noqa: F403

__all__ = [*loads.__all__, *model.__all__]
