"""Follow which instances live and what they confirm."""

from . import witness
from .witness import *  # noqa: F403

__all__ = [*witness.__all__]
