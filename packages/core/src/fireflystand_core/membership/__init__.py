"""Track peers and witness the claims of other instances."""

from . import peer_table, witness
from .peer_table import *  # noqa: F403
from .witness import *  # noqa: F403

__all__ = [*peer_table.__all__, *witness.__all__]
