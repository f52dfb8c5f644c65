"""Keep the registries of state machines and of mutations of their rules."""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from importlib import import_module
from pkgutil import iter_modules

import attrs
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

__all__ = [
    "Mutation",
    "load_machines",
    "machine",
    "machines_by_name",
    "mutation",
    "mutations",
    "run_machine",
]

Mutator = Callable[[], AbstractContextManager]

machines_by_name: dict[str, type[RuleBasedStateMachine]] = {}


@attrs.frozen
class Mutation:
    """Name a fault of the rules that a machine has to find."""

    machine: str
    name: str
    apply: Mutator


mutations: list[Mutation] = []


def machine(name: str) -> Callable[[type], type]:
    """Register a state machine as ``name``."""

    def register(cls: type) -> type:
        machines_by_name[name] = cls
        return cls

    return register


def mutation(machine_name: str, name: str) -> Callable[[Callable], Callable]:
    """Register a generator function that puts a fault in force while it waits."""

    def register(function: Callable[[], Iterator[None]]) -> Callable:
        mutations.append(Mutation(machine_name, name, contextmanager(function)))
        return function

    return register


def load_machines() -> None:
    """Import every module of this package, so that machines register."""
    package = import_module("fireflystand_testing.fuzz")
    for module in iter_modules(package.__path__):
        if module.name not in ("__main__", "tests"):
            import_module(f"fireflystand_testing.fuzz.{module.name}")


def run_machine(
    name: str, *, examples: int, steps: int, number: int | None, shrink: bool = True
) -> None:
    """Run a machine; raise what it finds. Without a seed the run is fixed."""
    phases = [Phase.generate, *([Phase.shrink] if shrink else [])]
    options = settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=number is None,
        database=None,
        deadline=None,
        phases=phases,
        print_blob=False,
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    cls = machines_by_name[name]
    if number is not None:
        cls = seed(number)(type(cls.__name__, (cls,), {}))
    run_state_machine_as_test(cls, settings=options)
