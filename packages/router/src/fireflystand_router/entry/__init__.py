"""Serve callers over HTTP/1.1."""

from . import caller_interface, flow, interfaces, refusals, server
from .caller_interface import *  # noqa: F403
from .flow import *  # noqa: F403
from .interfaces import *  # noqa: F403
from .refusals import *  # noqa: F403
from .server import *  # noqa: F403

__all__ = [
    *caller_interface.__all__,
    *flow.__all__,
    *interfaces.__all__,
    *refusals.__all__,
    *server.__all__,
]
