"""Define the limits and response options for callers' connections."""

import math

import attrs

__all__ = ["CallerOptions"]


@attrs.frozen
class CallerOptions:
    """Hold limits for callers and options of response fields; times in seconds.

    ``adds_router_fields`` adds the router's ``Fireflystand-`` fields to responses.
    ``pipeline_limit`` is the number of requests of one connection that are served
    concurrently. ``not_run_statuses`` are those by which callers know that a request
    that must not be repeated did not run, without any other field that says so.
    """

    header_limit: int = 16 * 1024  # bytes
    header_timeout: float = 10.0
    idle_timeout: float = 60.0
    adds_router_fields: bool = True
    pipeline_limit: int = 1
    fractional_retry_after: bool = False
    not_run_statuses: frozenset[int] = frozenset()

    def retry_after(self, seconds: float) -> str:
        """Return the ``Retry-After`` value; RFC 9110 allows whole seconds only."""
        if self.fractional_retry_after:
            return f"{max(0.0, seconds):.3f}"
        return str(max(1, math.ceil(seconds)))
