"""Start tasks that a scope cancels."""

from collections.abc import Awaitable, Callable

import trio

__all__ = ["run_in_scope"]


async def run_in_scope(
    scope: trio.CancelScope, task: Callable[..., Awaitable[None]], *arguments: object
) -> None:
    """Run a task in a scope, unless the scope is cancelled before the task starts.

    A cancelled scope alone lets a task run until it waits for the first time.
    """
    if not scope.cancel_called:
        with scope:
            await task(*arguments)
