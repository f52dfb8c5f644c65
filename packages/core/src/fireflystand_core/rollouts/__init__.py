"""Decide which version of a service's targets may get requests during a rollout."""

from . import decider, exposure, gate, judgement, model
from .decider import *  # noqa: F403
from .exposure import *  # noqa: F403
from .gate import *  # noqa: F403
from .judgement import *  # noqa: F403
from .model import *  # noqa: F403

__all__ = [
    *decider.__all__,
    *exposure.__all__,
    *gate.__all__,
    *judgement.__all__,
    *model.__all__,
]
