"""Forward requests to targets and stream their responses."""

from . import client, exchange, pool, target_options
from .client import *  # noqa: F403
from .exchange import *  # noqa: F403
from .pool import *  # noqa: F403
from .target_options import *  # noqa: F403

__all__ = [
    *client.__all__,
    *exchange.__all__,
    *target_options.__all__,
    *pool.__all__,
]
