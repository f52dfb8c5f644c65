"""Show that the state machines find seeded faults of the rules."""

import sys
import time

import fire

from fireflystand_testing.fuzz import load_machines, mutations, run_machine

EXAMPLES = 400
STEPS = 60


def main(machine: str = "", examples: int = EXAMPLES, steps: int = STEPS) -> int:
    """Run each machine under each of its mutations; return how many it missed."""
    load_machines()
    missed = 0
    for entry in mutations:
        if machine not in ("", entry.machine):
            continue
        started = time.monotonic()
        found = ""
        with entry.apply():
            try:
                run_machine(
                    entry.machine,
                    examples=examples,
                    steps=steps,
                    number=0,
                    shrink=False,
                )
            except AssertionError as error:
                found = str(error).splitlines()[0]
        missed += not found
        took = time.monotonic() - started
        verdict = f"found: {found}" if found else "NOT FOUND"
        print(f"{entry.machine}: {entry.name}: {verdict} ({took:.0f} s)", flush=True)
    print(f"{missed} mutations not found")
    return missed


if __name__ == "__main__":
    sys.exit(fire.Fire(main, serialize=lambda missed: "") or 0)
