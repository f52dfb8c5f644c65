"""Wake periodic tasks together."""

import trio

__all__ = ["sleep_until_next"]


async def sleep_until_next(interval: float) -> float:
    """Sleep until the next multiple of ``interval`` seconds on trio's clock; return it.

    Periodic tasks of an instance then wake in the same iterations of the event loop,
    which cost more than most of these tasks. The clocks of processes begin at random,
    so instances do not wake together.
    """
    now = trio.current_time()
    due = (now // interval + 1) * interval
    if due - now < interval / 2:
        due += interval
    await trio.sleep_until(due)
    return due
