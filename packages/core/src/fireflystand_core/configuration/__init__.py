"""Describe, check and compare what operators declare."""

from . import (
    checks,
    document,
    generations,
    kinds,
    loading,
    model,
    reading,
    reference,
    rendering,
    schema,
    units,
    warnings,
)
from .checks import *  # noqa: F403
from .document import *  # noqa: F403
from .generations import *  # noqa: F403
from .kinds import *  # noqa: F403
from .loading import *  # noqa: F403
from .model import *  # noqa: F403
from .reading import *  # noqa: F403
from .reference import *  # noqa: F403
from .rendering import *  # noqa: F403
from .schema import *  # noqa: F403
from .units import *  # noqa: F403
from .warnings import *  # noqa: F403

__all__ = [
    *checks.__all__,
    *document.__all__,
    *generations.__all__,
    *kinds.__all__,
    *loading.__all__,
    *model.__all__,
    *reading.__all__,
    *reference.__all__,
    *rendering.__all__,
    *schema.__all__,
    *units.__all__,
    *warnings.__all__,
]
