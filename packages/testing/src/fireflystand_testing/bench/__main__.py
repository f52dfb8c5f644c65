"""Run all measures, print one row each and compare with the baseline."""

import argparse
import json
import sys
import time
from pathlib import Path

from . import control_cost, service  # noqa: F401  (fill the registry)
from .registry import Row, measures_by_name

__all__ = ["main"]

BASELINE = Path(__file__).with_name("baseline.json")


def run_measures(only: str) -> list[Row]:
    """Run the measures whose name contains ``only``."""
    rows = []
    for name, function in measures_by_name.items():
        if only not in name:
            continue
        began = time.monotonic()
        for row in function():
            print(f"{row.name} {row.value:.6g} {row.unit}", flush=True)
            rows.append(row)
        print(f"# {name} took {time.monotonic() - began:.0f} s", flush=True)
    return rows


def print_ratios(rows: list[Row]) -> None:
    """Print each figure as a ratio to the committed baseline."""
    if not BASELINE.exists():
        return
    baseline = json.loads(BASELINE.read_text())
    for row in rows:
        before = baseline.get(row.name)
        if before:
            print(f"ratio {row.name} {row.value / before['value']:.3f}")


def main() -> int:
    """Run, print, compare and write JSON on request."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--only", default="")
    parser.add_argument("--json", default="")
    parser.add_argument("--save-baseline", action="store_true")
    options = parser.parse_args()
    rows = run_measures(options.only)
    print_ratios(rows)
    data = {row.name: {"value": row.value, "unit": row.unit} for row in rows}
    if options.json:
        Path(options.json).write_text(json.dumps(data, indent=1) + "\n")
    if options.save_baseline:
        BASELINE.write_text(json.dumps(data, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
