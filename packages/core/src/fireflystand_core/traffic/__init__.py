"""Define routes, services, client accounts and targets."""

from . import model, table, weights
from .model import *  # noqa: F403
from .table import *  # noqa: F403
from .weights import *  # noqa: F403

__all__ = [*model.__all__, *table.__all__, *weights.__all__]
