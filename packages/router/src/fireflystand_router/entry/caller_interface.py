"""Describe how the router speaks to callers."""

import math

import attrs

__all__ = ["CallerInterface"]


@attrs.frozen
class CallerInterface:
    """Bound callers and choose the response fields; times in seconds.

    ``own_fields`` adds the router's ``Fireflystand-`` fields to responses.
    ``pipeline_limit`` is how many requests of one connection are served at once.
    """

    header_limit: int = 16 * 1024  # bytes
    header_timeout: float = 10.0
    idle_timeout: float = 60.0
    own_fields: bool = True
    pipeline_limit: int = 1
    fractional_retry_after: bool = False

    def retry_after(self, seconds: float) -> str:
        """Return the value of ``Retry-After``; whole seconds by RFC 9110."""
        if self.fractional_retry_after:
            return f"{max(0.0, seconds):.3f}"
        return str(max(1, math.ceil(seconds)))
