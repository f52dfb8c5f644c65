"""Bound the bytes that an instance and its targets hold for requests and responses.

The load: many callers send large bodies at the same time, callers and targets read
slowly, and processes that exceed their memory are killed. Refusing new bodies early
costs one response each; a killed process costs every request that it holds.
"""

import math
from collections import deque

import attrs

__all__ = ["ByteReservation", "BytePool", "MemoryBudget", "TargetByteLimits"]

# Requests and responses have separate parts: responses that slow callers do not take
# must not keep the instance from accepting requests, and bodies must not keep it from
# reading responses on time.
REQUEST_SHARE = 0.5
# Notices of one crash from all instances arrive within this time.
CRASH_WINDOW = 3.0  # seconds
# A target may get more memory, or may have ended for another reason.
CRASH_RETENTION = 600.0  # seconds
MAX_CRASHES = 4  # kept for each target
MAX_TARGETS = 1024  # from which those without a crash are dropped
# Targets also end for reasons other than memory. A process that could not hold this
# much would end under any load.
MIN_CRASH_BYTES = 512 * 1024
BACKOFF = 0.5  # of the load at which a target crashed


@attrs.define(eq=False)
class BytePool:
    """Count the bytes held of a bounded amount."""

    limit: float = math.inf  # bytes
    held: int = 0

    @property
    def is_bounded(self) -> bool:
        """Tell whether there is a limit."""
        return self.limit < math.inf

    @property
    def is_full(self) -> bool:
        """Tell whether the limit is reached."""
        return self.held >= self.limit

    def add(self, size: int) -> None:
        """Count bytes that are already in memory, even beyond the limit."""
        self.held += size

    def remove(self, size: int) -> None:
        """Count bytes that are no longer in memory."""
        self.held -= size

    def may_grow(self, own: int, size: int) -> bool:
        """Tell whether a user that holds ``own`` bytes may take ``size`` more.

        Each user may hold as much as is free. One slow caller then gets half of the
        limit at most, and a further one always finds room.
        """
        return own + size <= self.limit - self.held

    def reserve(self, size: int) -> "ByteReservation | None":
        """Return a reservation, or None if the bytes exceed the limit."""
        if size and self.held + size > self.limit:
            return None
        self.add(size)
        return ByteReservation(self, size)


@attrs.define(eq=False)
class ByteReservation:
    """Own a number of bytes of a pool."""

    _pool: BytePool
    size: int

    def resize(self, size: int) -> None:
        """Replace the expected number of bytes by the real one."""
        self._pool.add(size - self.size)
        self.size = size

    def release(self) -> None:
        """Return the bytes; may be repeated."""
        self.resize(0)


class MemoryBudget:
    """Divide the bytes for callers' data between requests and responses."""

    def __init__(self, limit: float = math.inf) -> None:
        self.requests = BytePool(limit * REQUEST_SHARE)
        self.responses = BytePool(limit * (1 - REQUEST_SHARE))

    @property
    def is_bounded(self) -> bool:
        """Tell whether there is a limit."""
        return self.requests.is_bounded


@attrs.define
class _Crash:
    """Hold the bytes in flight at a target when it crashed, from all instances."""

    at: float
    bytes: int


@attrs.define(eq=False)
class _Load:
    """Hold what this instance knows of a target's load in bytes."""

    in_flight: int = 0  # from this instance
    survived: int = 0  # most in flight from this instance when a request completed
    crashes: deque[_Crash] = attrs.field(factory=lambda: deque(maxlen=MAX_CRASHES))


class TargetByteLimits:
    """Bound the request bytes in flight to targets that crashed under such a load.

    The limit of a target is half of the smallest load at which it crashed, or the load
    that it survived if that is more. One half of the limit is divided among the slots
    of the target, the other among the instances, so that the sum stays below the limit
    although no instance asks another. Times are in seconds.
    """

    def __init__(self) -> None:
        self._loads_by_target: dict[str, _Load] = {}

    def begin(self, target: str, size: int) -> None:
        """Count a request that is sent to a target."""
        if not size:
            return
        if len(self._loads_by_target) >= MAX_TARGETS:
            self._drop_idle()
        self._loads_by_target.setdefault(target, _Load()).in_flight += size

    def _drop_idle(self) -> None:
        """Drop targets that neither run a request nor crashed; most are gone."""
        self._loads_by_target = {
            target: load
            for target, load in self._loads_by_target.items()
            if load.in_flight or load.crashes
        }

    def end(self, target: str, size: int, *, completed: bool) -> None:
        """Count a request out; ``completed`` tells that the target responded."""
        load = self._loads_by_target.get(target)
        if not size or load is None:
            return
        if completed:
            load.survived = max(load.survived, load.in_flight)
        load.in_flight -= size

    def is_unusual(self, target: str, size: int) -> bool:
        """Tell whether the target has not completed requests under such a load."""
        load = self._loads_by_target.get(target)
        return load is None or size > load.survived

    def record_crash(self, target: str, size: int, now: float) -> None:
        """Add bytes that were in flight from one instance when a target crashed."""
        if not size:
            return
        crashes = self._loads_by_target.setdefault(target, _Load()).crashes
        if crashes and now - crashes[-1].at <= CRASH_WINDOW:
            crashes[-1].bytes += size
        else:
            crashes.append(_Crash(now, size))

    def limit(self, target: str, now: float) -> float:
        """Return how many bytes all instances together may have in flight there."""
        load = self._loads_by_target.get(target)
        if load is None:
            return math.inf
        sizes = [
            crash.bytes
            for crash in load.crashes
            if now - crash.at <= CRASH_RETENTION
            and crash.bytes >= max(MIN_CRASH_BYTES, load.survived + 1)
        ]
        return max(load.survived, BACKOFF * min(sizes)) if sizes else math.inf

    def may_send(
        self, target: str, size: int, *, part: float, slots: int, now: float
    ) -> bool:
        """Tell whether a request of ``size`` bytes may be sent to a target.

        ``part`` is one instance's part of all; ``slots`` is how many requests all
        instances together send to the target at the same time.
        """
        limit = self.limit(target, now)
        if limit == math.inf or not size:
            return True
        if size <= limit / 2 / max(1, slots):
            return True
        return self._loads_by_target[target].in_flight + size <= limit / 2 * part

    def limited_count(self, now: float) -> int:
        """Return the number of targets with a limit."""
        return sum(
            self.limit(target, now) < math.inf for target in self._loads_by_target
        )
