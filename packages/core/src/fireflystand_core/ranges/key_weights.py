"""Sum and cut the expected work of ranges of keys."""

from bisect import bisect_left, bisect_right
from collections.abc import Mapping
from itertools import accumulate

__all__ = ["KeyWeights"]


class KeyWeights:
    """Hold the known work of keys, and a small equal amount for every key."""

    def __init__(self, work_by_key: Mapping[int, float], each: float) -> None:
        self._keys = sorted(work_by_key)
        amounts = (work_by_key[key] for key in self._keys)
        self._sums = list(accumulate(amounts, initial=0.0))
        self._each = each

    def weight(self, first: int, last: int) -> float:
        """Return the work of the keys ``first`` to ``last``; 0 if there are none."""
        if last < first:
            return 0.0
        begin, end = bisect_left(self._keys, first), bisect_right(self._keys, last)
        known = self._sums[end] - self._sums[begin]
        return known + self._each * (last - first + 1)

    def last_within(self, first: int, last: int, amount: float) -> int:
        """Return the last key up to which the work is within an amount.

        At least the first key is taken.
        """
        keys = range(first, last + 1)
        count = bisect_right(keys, amount, key=lambda key: self.weight(first, key))
        return keys[max(0, count - 1)]

    def first_within(self, first: int, last: int, amount: float) -> int:
        """Return the first key from which on the work is within an amount.

        At least the last key is taken.
        """
        keys = range(last, first - 1, -1)
        count = bisect_right(keys, amount, key=lambda key: self.weight(key, last))
        return keys[max(0, count - 1)]
