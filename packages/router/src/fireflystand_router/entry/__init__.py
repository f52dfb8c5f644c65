"""Serve callers over HTTP/1.1."""

from . import flow, interfaces, refusals, server
from .flow import *  # noqa: F403
from .interfaces import *  # noqa: F403
from .refusals import *  # noqa: F403
from .server import *  # noqa: F403

__all__ = [
    *flow.__all__,
    *interfaces.__all__,
    *refusals.__all__,
    *server.__all__,
]
