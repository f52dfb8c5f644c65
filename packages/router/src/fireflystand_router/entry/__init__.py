"""Serve callers over HTTP/1.1."""

from . import caller_options, flow, interfaces, refusals, server
from .caller_options import *  # noqa: F403
from .flow import *  # noqa: F403
from .interfaces import *  # noqa: F403
from .refusals import *  # noqa: F403
from .server import *  # noqa: F403

__all__ = [
    *caller_options.__all__,
    *flow.__all__,
    *interfaces.__all__,
    *refusals.__all__,
    *server.__all__,
]
