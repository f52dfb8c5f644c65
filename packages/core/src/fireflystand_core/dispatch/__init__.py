"""Decide which requests wait, which target runs each, and which are refused."""

from . import (
    admission_queue,
    concurrency,
    estimates,
    owner_waits,
    pauses,
    policy,
    returns,
    slots,
    turns,
    warmup,
)
from .admission_queue import *  # noqa: F403
from .concurrency import *  # noqa: F403
from .estimates import *  # noqa: F403
from .owner_waits import *  # noqa: F403
from .pauses import *  # noqa: F403
from .policy import *  # noqa: F403
from .returns import *  # noqa: F403
from .slots import *  # noqa: F403
from .turns import *  # noqa: F403
from .warmup import *  # noqa: F403

__all__ = [
    *admission_queue.__all__,
    *concurrency.__all__,
    *estimates.__all__,
    *owner_waits.__all__,
    *pauses.__all__,
    *policy.__all__,
    *returns.__all__,
    *slots.__all__,
    *turns.__all__,
    *warmup.__all__,
]
