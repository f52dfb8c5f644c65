"""Divide the key space of a service among targets."""

from . import key_weights, leases, patch, planning, record, succession, trial
from .key_weights import *  # noqa: F403
from .leases import *  # noqa: F403
from .patch import *  # noqa: F403
from .planning import *  # noqa: F403
from .record import *  # noqa: F403
from .succession import *  # noqa: F403
from .trial import *  # noqa: F403

__all__ = [
    *key_weights.__all__,
    *leases.__all__,
    *patch.__all__,
    *planning.__all__,
    *record.__all__,
    *succession.__all__,
    *trial.__all__,
]
