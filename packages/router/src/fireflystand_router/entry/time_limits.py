"""End the requests in progress before their instance does."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import trio

from .refusals import RequestRefusedError

__all__ = ["STOPPING", "TimeLimit", "TimeLimits"]

STOPPING = "instance is stopping"
STOPPING_RETRY_AFTER = 0.05  # seconds; other instances can serve the request at once


@attrs.define(eq=False)
class TimeLimit:
    """Hold when a request in progress has to end, in seconds on trio's clock.

    A planned stop brings ``ends_at`` forward. The request then ends with ``scope``, and
    with ``wait_scope``, if one is set, a wait begins again that was meant for the
    earlier limit.
    """

    ends_at: float
    shortened: bool = False
    wait_scope: trio.CancelScope | None = None
    scope: trio.CancelScope = attrs.field(init=False)
    _delivers: bool = False
    _latest_end: float = attrs.field(init=False)  # without a planned stop

    @_latest_end.default
    def _first_end(self) -> float:
        return self.ends_at

    @scope.default
    def _new_scope(self) -> trio.CancelScope:
        return trio.CancelScope(deadline=self.ends_at)

    def shorten(self, ends_at: float) -> None:
        """Bring the end of the request forward, if it is later."""
        if ends_at >= self.ends_at:
            return
        self.ends_at = ends_at
        self.shortened = True
        if not self._delivers:
            self.scope.deadline = ends_at
        if self.wait_scope is not None:
            self.wait_scope.cancel()

    def begin_delivery(self) -> None:
        """Let the response use the time until a planned stop closes connections."""
        self._delivers = True
        self.scope.deadline = self._latest_end

    def refusal(self) -> RequestRefusedError:
        """Return the refusal of a request that cannot run before the stop."""
        return RequestRefusedError(503, STOPPING, retry_after=STOPPING_RETRY_AFTER)


class TimeLimits:
    """Own the time limits of an instance's requests in progress."""

    def __init__(self) -> None:
        self._open: set[TimeLimit] = set()
        self._drains_at = float("inf")
        self._stops_at = float("inf")

    def begin_stop(self, drains_at: float, stops_at: float) -> None:
        """End all requests by ``stops_at``; refuse those that may need longer.

        Requests received before ``drains_at`` are served as far as the time reaches.
        """
        self._drains_at, self._stops_at = drains_at, stops_at
        for limit in self._open:
            limit.shorten(stops_at)

    @property
    def is_stopping(self) -> bool:
        """Tell whether a planned stop has begun."""
        return self._stops_at < float("inf")

    def check(self, limit: TimeLimit, received_at: float) -> None:
        """Raise RequestRefusedError if a request came too late to end before a stop.

        ``received_at`` is the time of the request's last bytes so far.
        """
        if limit.shortened and received_at >= self._drains_at:
            # Its caller may still wait when this instance has ended.
            raise limit.refusal()

    @contextmanager
    def open(self, limit: TimeLimit, received_at: float) -> Iterator[None]:
        """Let a stop shorten a time limit; raise RequestRefusedError during one."""
        limit.shorten(self._stops_at)
        self.check(limit, received_at)
        self._open.add(limit)
        try:
            yield
        finally:
            self._open.discard(limit)
