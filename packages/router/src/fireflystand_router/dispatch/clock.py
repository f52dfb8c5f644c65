"""Provide the clock for leases and for the freshness of replicas."""

import time

from ..timers import sleep_until_next

__all__ = ["lease_clock", "sleep_until_next"]


def lease_clock() -> float:
    """Return the seconds since boot, including those of a suspended machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
