"""Forward requests to targets and stream their responses."""

from . import client, exchange, pool
from .client import *  # noqa: F403
from .exchange import *  # noqa: F403
from .pool import *  # noqa: F403

__all__ = [*client.__all__, *exchange.__all__, *pool.__all__]
