"""Run the parts of a planned stop so that a fault in one stops no other."""

from collections.abc import Awaitable, Callable

from .events import STOP_PART_FAILED, emit

__all__ = ["run_stop_part"]


async def run_stop_part(name: str, part: Callable[[], Awaitable[None]]) -> None:
    """Run a part of a planned stop and log its fault, if it has one."""
    try:
        await part()
    except Exception as error:
        emit(STOP_PART_FAILED, error, part=name)
