"""Run one router instance."""

import os
import signal
import sys

import fire
import trio

from fireflystand_core.configuration import FaultySettingsError

from .events import configure_log
from .node import Node
from .settings import ProcessSettings, load_settings

__all__ = ["main"]

EXIT_FAULTY_SETTINGS = 1


async def serve(settings: ProcessSettings) -> None:
    """Serve callers until the process receives SIGTERM or SIGINT."""
    node = Node(settings)
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            await nursery.start(node.run)
            async for _ in signals:
                await node.stop()
                return


def run(settings: str | None = None, **flags: object) -> None:
    """Serve callers as set by SETTINGS (a YAML file), environment and flags."""
    try:
        loaded = load_settings(settings, os.environ, flags)
    except FaultySettingsError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_FAULTY_SETTINGS)
    configure_log(as_json=loaded.log_format == "json", level=loaded.log_level.upper())
    trio.run(serve, loaded)


def main() -> None:
    """Read the command line and run the instance."""
    fire.Fire(run, name="fireflystandd")


if __name__ == "__main__":
    main()
