"""Measure what instances on the platform cost while no caller asks for anything.

All instances run in one process, so wake-ups that separate processes would pay for
each are shared; the slope over the size is what counts.
"""

import io
import json
import time

import fire
import trio

from fireflystand_router.dispatch.tests.node_support import open_fleet
from fireflystand_router.events import configure_log

from .capacity import FIGURES

__all__ = ["main"]

TARGETS = 30
SETTLE = 10.0  # seconds; 96 instances have met by then
SPAN = 10.0  # seconds that are measured


async def measure(size: int) -> tuple[float, dict[str, int]]:
    """Return the percent of a core an instance takes, and the store's calls."""
    async with open_fleet() as fleet:
        for _ in range(TARGETS):
            await fleet.add_target("keyed")
        seed = await fleet.add_node()
        for _ in range(size - 1):
            await fleet.add_node(seeds=(seed.network.address,))
        await trio.sleep(SETTLE)
        calls_before = fleet.store.calls.copy()
        began = time.process_time()
        await trio.sleep(SPAN)
        used = time.process_time() - began
        calls = fleet.store.calls - calls_before
    return 100 * used / SPAN / size, {"start": calls_before.total(), **calls}


def main(*sizes: int, save: bool = False) -> None:
    """Print a line for each number of instances; ``save`` keeps the figures."""
    configure_log(io.StringIO(), as_json=True)
    figures = json.loads(FIGURES.read_text())
    for size in sizes or (12, 24, 48, 96):
        percent, calls = trio.run(measure, size)
        in_span = sum(count for name, count in calls.items() if name != "start")
        print(
            f"{size} instances: {percent:.2f}% of a core each, "
            f"store calls {calls['start']} at the start, "
            f"{in_span / SPAN:.1f}/s later",
            flush=True,
        )
        for name, value, unit in (
            ("processor", percent, "percent-of-core"),
            ("store-start", calls["start"], "calls"),
            ("store-later", in_span / SPAN, "calls/s"),
        ):
            figures[f"platform.{name}.{size}"] = {"value": value, "unit": unit}
    if save:
        FIGURES.write_text(json.dumps(figures, indent=1) + "\n")


if __name__ == "__main__":
    fire.Fire(main)
