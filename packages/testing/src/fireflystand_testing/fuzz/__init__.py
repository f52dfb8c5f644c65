"""Search for sequences of events that break the rules of the system."""

from . import registry
from .registry import *  # noqa: F403

__all__ = [*registry.__all__]
