"""Provide the clock for leases and for the freshness of replicas."""

import time

__all__ = ["lease_clock"]


def lease_clock() -> float:
    """Return the seconds since boot, including those of a suspended machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
