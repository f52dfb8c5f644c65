"""Read the clock by which leases and proofs are timed."""

import time

__all__ = ["lease_clock"]


def lease_clock() -> float:
    """Return seconds that also count while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
