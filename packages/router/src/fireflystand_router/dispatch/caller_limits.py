"""Derive the limits for callers from the configuration in force."""

from collections.abc import Callable

import attrs
import trio

from fireflystand_core.traffic import EntryLimits

from ..entry import CallerOptions
from .ports import CONFIGURATION
from .state import RoutingState

__all__ = ["CallerLimits"]


@attrs.frozen
class _EarlierTimeout:
    """Hold an earlier idle timeout that callers may still rely on; times in seconds."""

    idle_timeout: float
    until: float


class CallerLimits:
    """Follow the limits of the configuration.

    For ``change_limit`` seconds after a change other instances may act on the version
    before, and a caller may reuse a connection by its longer idle timeout.
    """

    def __init__(
        self,
        state: RoutingState,
        options: CallerOptions,
        change_limit: float,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self._state = state
        self._options = options
        self._change_limit = change_limit
        self._clock = clock
        self._limits: EntryLimits | None = None
        self._earlier_timeouts: list[_EarlierTimeout] = []
        state.listeners.append(self._on_state_change)

    def options(self) -> CallerOptions:
        """Return the options for callers' connections now."""
        if not self._earlier_timeouts:
            return self._options
        now = self._clock()
        self._earlier_timeouts = [t for t in self._earlier_timeouts if t.until > now]
        timeouts = [earlier.idle_timeout for earlier in self._earlier_timeouts]
        longest = max([self._options.idle_timeout, *timeouts])
        return attrs.evolve(self._options, idle_timeout=longest)

    def _on_state_change(self, kind: str) -> None:
        if kind != CONFIGURATION or self._state.table is None:
            return
        limits, earlier = self._state.table.limits, self._limits
        if limits == earlier:
            return
        if earlier is not None and earlier.idle_timeout > limits.idle_timeout:
            until = self._clock() + self._change_limit
            timeout = _EarlierTimeout(earlier.idle_timeout, until)
            self._earlier_timeouts.append(timeout)
        self._limits = limits
        self._options = attrs.evolve(
            self._options,
            header_limit=limits.header_bytes,
            header_timeout=limits.header_timeout,
            idle_timeout=limits.idle_timeout,
        )
