"""Keep the registry of measures that ``make bench`` runs."""

from collections.abc import Callable, Iterable

import attrs

__all__ = ["Row", "measure", "measures_by_name"]


@attrs.frozen
class Row:
    """Hold one figure."""

    name: str
    value: float
    unit: str


Measure = Callable[[], Iterable[Row]]

measures_by_name: dict[str, Measure] = {}


def measure(name: str) -> Callable[[Measure], Measure]:
    """Register a function that yields rows as the measure called ``name``."""

    def register(function: Measure) -> Measure:
        if name in measures_by_name:
            raise ValueError(f"measure {name!r} is registered twice")
        measures_by_name[name] = function
        return function

    return register
