"""Run the state machines with a seed."""

import sys

import fire

from .registry import load_machines, machines_by_name, run_machine


def main(
    seed: int = 0, steps: int = 200, examples: int = 100, machine: str = ""
) -> None:
    """Run all machines, or the one named, and print what each did."""
    load_machines()
    for name in [machine] if machine else sorted(machines_by_name):
        run_machine(name, examples=examples, steps=steps, number=seed)
        print(f"{name}: {examples} runs of up to {steps} steps, seed {seed}: ok")


if __name__ == "__main__":
    sys.exit(fire.Fire(main))
