"""Learn how many requests at once a target runs well.

Some targets slow down long before all their slots are used, so that they end fewer
requests the more they run. Others are slow for a while, however few they run. Only a
trial tells them apart: a target that has become slow gets fewer requests, and keeps the
lower limit only if it then ends about as many. Neighbours that disturb a target for
less than a second must not count, so each step needs the medians of two windows.
"""

from statistics import median

import attrs

__all__ = ["ConcurrencyLimit"]

WINDOW = 1.0  # seconds, more than the disturbances that must not change the limit
# Two windows count together if no more passed in between. With no gap at all, targets
# that use all slots in every other second kept a limit that is too high.
MAX_GAP = 3.0  # seconds
MIN_SAMPLES = 6  # responses of one window
# Medians of a few responses vary by a half; with 1.6, busy targets that ran all their
# slots well were taken for slow.
SLOW_FACTOR = 2.0  # over the shortest median
LOST_SHARE = 0.25  # of the requests that did not end in time, which is slow by itself
BASELINE_DRIFT = 1.01  # of the shortest median, for each window without a shorter one
# A limit whose median was no longer than this is usual for the target, so that it has
# recovered if the median at a lower limit is the usual one too.
USUAL_FACTOR = 1.5  # over the present median
DECREASE_FACTOR = 0.7
KEPT_THROUGHPUT = 1.0  # of the throughput before, at a lower limit that is kept
GAINED_THROUGHPUT = 1.1  # of the throughput before, at a higher limit that is kept
MIN_HOLD = 3.0  # seconds without a trial after one that failed, doubled for each more
MAX_HOLD = 24.0  # seconds
# Without enough load for a trial, a limit is raised step by step.
UNUSED_PERIOD = 5.0  # seconds


@attrs.frozen
class _Sample:
    """Hold how long a request ran while ``level`` requests held a slot."""

    seconds: float
    level: int
    complete: bool


@attrs.frozen
class _Window:
    """Hold the median in seconds, the requests ended a second and the share lost."""

    typical: float
    throughput: float
    lost: float

    @classmethod
    def of(cls, samples: list[_Sample]) -> "_Window":
        """Return what the requests of one window show."""
        typical = max(1e-6, median(sample.seconds for sample in samples))
        level = sum(sample.level for sample in samples) / len(samples)
        lost = sum(not sample.complete for sample in samples) / len(samples)
        return cls(typical, (1 - lost) * level / typical, lost)


@attrs.frozen
class _Trial:
    """Hold what was measured before a change of the limit."""

    limit: int
    throughput: float


class ConcurrencyLimit:
    """Own the limit of one target, from one to its slots."""

    def __init__(self, slots: int, now: float) -> None:
        self.slots = slots
        self.limit = slots
        self._baseline = float("inf")  # seconds, the shortest median
        self._shortest_by_limit: dict[int, float] = {}  # medians in seconds
        self._samples: list[_Sample] = []
        self._window_ends_at = now + WINDOW
        self._windows: list[_Window] = []
        self._changed_at = now
        self._used_at = now
        self._trial: _Trial | None = None
        self._hold = MIN_HOLD
        self._hold_until = now

    @property
    def is_lowered(self) -> bool:
        """Tell whether the target gets fewer requests than it has slots."""
        return self.limit < self.slots

    def set_slots(self, slots: int) -> None:
        """Apply the number of slots that the target states."""
        if slots != self.slots:
            self.slots = self.limit = slots
            self._trial = None
            self._windows.clear()
            self._shortest_by_limit.clear()

    def record(
        self, seconds: float, level: int, since: float, now: float, *, complete: bool
    ) -> None:
        """Add a request that began at ``since``, when ``level`` held a slot.

        Requests from before the last change tell nothing about the present limit.
        """
        if since >= self._changed_at:
            self._samples.append(_Sample(seconds, level, complete))
        if now < self._window_ends_at:
            return
        self._window_ends_at = now + WINDOW
        used = [sample for sample in self._samples if sample.level >= self.limit]
        if len(used) >= MIN_SAMPLES:
            self._samples.clear()
            self._used_at = now
            self._add_window(used, now)
        else:
            self._add_unused_window(now)

    def _add_unused_window(self, now: float) -> None:
        """Learn the usual duration, and raise a limit that the load does not reach."""
        if now - self._used_at > MAX_GAP:
            self._windows.clear()
        if len(self._samples) >= MIN_SAMPLES:
            self._note_median(_Window.of(self._samples).typical)
            self._samples.clear()
        self.raise_unused(now)

    def raise_unused(self, now: float) -> None:
        """Raise a limit that no load has been measured at for some time."""
        if self.is_lowered and now - self._used_at > UNUSED_PERIOD:
            self._used_at = now
            self._trial = None
            self._change(self.limit + 1, now)

    def _note_median(self, seconds: float) -> None:
        self._baseline = min(seconds, self._baseline * BASELINE_DRIFT)

    def _add_window(self, samples: list[_Sample], now: float) -> None:
        window = _Window.of(samples)
        self._note_median(window.typical)
        shortest = self._shortest_by_limit.get(self.limit, window.typical)
        shortest = min(window.typical, shortest * BASELINE_DRIFT)
        self._shortest_by_limit[self.limit] = shortest
        self._windows = [*self._windows[-1:], window]
        trial = self._trial
        if trial is not None and self.limit < trial.limit <= self._usual_limit():
            # The target has recovered by itself.
            return self._return_to(trial.limit, now)
        if len(self._windows) < 2:
            return
        throughput = sum(window.throughput for window in self._windows) / 2
        if self._trial is not None:
            self._end_trial(throughput, now)
        elif now >= self._hold_until:
            self._begin_trial(throughput, now)

    def _begin_trial(self, throughput: float, now: float) -> None:
        slow = SLOW_FACTOR * self._baseline
        is_slow = all(w.typical > slow or w.lost > LOST_SHARE for w in self._windows)
        if is_slow:
            self._try_lower(throughput, now)
        elif self.is_lowered:
            self._try_higher(throughput, now)

    def _usual_limit(self) -> int:
        """Return the highest limit at which the present median was usual."""
        typical = min(window.typical for window in self._windows)
        return max(
            limit
            for limit, shortest in [*self._shortest_by_limit.items(), (self.limit, 0)]
            if shortest <= USUAL_FACTOR * typical
        )

    def _try_higher(self, throughput: float, now: float) -> None:
        if self.is_lowered:
            limit = min(self.slots, max(self.limit + 1, self._usual_limit()))
            self._trial = _Trial(self.limit, throughput)
            self._change(limit, now)

    def _try_lower(self, throughput: float, now: float) -> None:
        if self.limit > 1:
            self._trial = _Trial(self.limit, throughput)
            self._change(max(1, int(self.limit * DECREASE_FACTOR)), now)

    def _end_trial(self, throughput: float, now: float) -> None:
        """Keep the changed limit if it helps, else return to the one before."""
        trial, self._trial = self._trial, None
        was_lowered = self.limit < trial.limit
        needed = KEPT_THROUGHPUT if was_lowered else GAINED_THROUGHPUT
        if throughput >= needed * trial.throughput:
            self._hold = MIN_HOLD
            if was_lowered and throughput >= GAINED_THROUGHPUT * trial.throughput:
                # A target that was crowded from the start has no shorter median yet.
                self._try_lower(throughput, now)
            return
        self._shortest_by_limit[self.limit] = max(w.typical for w in self._windows)
        self._return_to(trial.limit, now)

    def _return_to(self, limit: int, now: float) -> None:
        self._trial = None
        self._change(limit, now)
        self._hold_until = now + self._hold
        self._hold = min(MAX_HOLD, 2 * self._hold)

    def _change(self, limit: int, now: float) -> None:
        self.limit = limit
        self._changed_at = now
        self._windows.clear()
        self._samples.clear()
