"""Decide which requests may run on which target, and when."""

from . import actions, balancing, budgets, crashes, desk, issuing, queues, targets
from .actions import *  # noqa: F403
from .balancing import *  # noqa: F403
from .budgets import *  # noqa: F403
from .crashes import *  # noqa: F403
from .desk import *  # noqa: F403
from .issuing import *  # noqa: F403
from .queues import *  # noqa: F403
from .targets import *  # noqa: F403

__all__ = [
    *actions.__all__,
    *balancing.__all__,
    *budgets.__all__,
    *crashes.__all__,
    *desk.__all__,
    *issuing.__all__,
    *queues.__all__,
    *targets.__all__,
]
