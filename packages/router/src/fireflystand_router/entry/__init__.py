"""Serve callers over HTTP/1.1."""

from fireflystand_core.lazy import lazy_names

from . import caller_options, protocols, refusals, server
from .caller_options import *  # noqa: F403
from .protocols import *  # noqa: F403
from .refusals import *  # noqa: F403
from .server import *  # noqa: F403

__all__ = [
    *caller_options.__all__,
    *protocols.__all__,
    *refusals.__all__,
    *server.__all__,
]

__getattr__ = lazy_names(__name__, "flow", "interfaces")
