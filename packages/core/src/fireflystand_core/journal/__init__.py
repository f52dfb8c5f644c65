"""Remember which requests with an idempotency key ran."""

from . import index, segments
from .index import *  # noqa: F403
from .segments import *  # noqa: F403

__all__ = [*index.__all__, *segments.__all__]
