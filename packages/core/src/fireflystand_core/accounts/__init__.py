"""Check API keys and limit the request rates of client accounts."""

from ..lazy import lazy_names
from . import bucket, shared_rate
from .bucket import *  # noqa: F403
from .shared_rate import *  # noqa: F403

__all__ = [*bucket.__all__, *shared_rate.__all__]

__getattr__ = lazy_names(__name__, "coordinator", "holder", "keys")
