"""Decide which requests wait, which target runs each, and which are refused."""

from . import desk, estimates, slots
from .desk import *  # noqa: F403
from .estimates import *  # noqa: F403
from .slots import *  # noqa: F403

__all__ = [*desk.__all__, *estimates.__all__, *slots.__all__]
