"""Define the messages that any stream between instances carries."""

import attrs

from .registry import message

__all__ = ["Accepted", "Hello"]


@message("hello")
@attrs.frozen
class Hello:
    """Introduce the sender at the start of a stream."""

    instance: str
    incarnation: str
    data_centre: str
    address: str


@message("accepted")
@attrs.frozen
class Accepted:
    """Acknowledge a message that has no other reply."""
