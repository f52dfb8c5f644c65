"""Forward requests to targets and stream their responses."""

from . import client, exchange, interface, pool
from .client import *  # noqa: F403
from .exchange import *  # noqa: F403
from .interface import *  # noqa: F403
from .pool import *  # noqa: F403

__all__ = [
    *client.__all__,
    *exchange.__all__,
    *interface.__all__,
    *pool.__all__,
]
