"""Describe, check and compare what operators declare."""

from . import model
from .model import *  # noqa: F403

__all__ = [*model.__all__]
