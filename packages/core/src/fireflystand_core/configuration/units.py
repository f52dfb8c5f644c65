"""Read and write times, sizes and rates that carry a unit."""

import re

__all__ = [
    "format_duration",
    "format_rate",
    "format_size",
    "parse_duration",
    "parse_rate",
    "parse_size",
]

SECONDS_BY_UNIT = {"h": 3600.0, "min": 60.0, "s": 1.0, "ms": 0.001}
BYTES_BY_UNIT = {"GiB": 1024**3, "MiB": 1024**2, "KiB": 1024, "B": 1}
PER_SECOND_BY_UNIT = {"per s": 1.0, "per min": 1 / 60, "per h": 1 / 3600}
QUANTITY = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z][A-Za-z ]*)?")


def _parse(text: str, factors: dict, example: str) -> float:
    match = QUANTITY.fullmatch(text.strip())
    if match is None:
        raise ValueError(f"write a number with a unit, such as {example!r}")
    unit = " ".join((match[2] or "").split())
    if not unit:
        raise ValueError(f"the unit is missing; write for example {example!r}")
    if unit not in factors:
        known = ", ".join(factors)
        raise ValueError(f"unit {unit!r} is unknown; use one of {known}")
    return float(match[1]) * factors[unit]


def _format(value: float, factors: dict) -> str:
    for unit, factor in factors.items():
        amount = round(value / factor, 9)
        if amount >= 1 and amount == int(amount):
            return f"{int(amount)} {unit}"
    smallest, factor = list(factors.items())[-1]
    return f"{value / factor:.12g} {smallest}"


def parse_duration(text: str) -> float:
    """Return the seconds of a time such as ``250 ms``; raise ValueError."""
    return round(_parse(text, SECONDS_BY_UNIT, "10 s"), 9)


def parse_size(text: str) -> int:
    """Return the bytes of a size such as ``64 KiB``; raise ValueError."""
    size = _parse(text, BYTES_BY_UNIT, "64 KiB")
    if size != int(size):
        raise ValueError("write a whole number of bytes")
    return int(size)


def parse_rate(text: str) -> float:
    """Return the requests a second of a rate such as ``200 per s``."""
    return _parse(text, PER_SECOND_BY_UNIT, "200 per s")


def format_duration(seconds: float) -> str:
    """Return a time with the largest unit that leaves a whole number."""
    return _format(seconds, SECONDS_BY_UNIT)


def format_size(size: int) -> str:
    """Return a size with the largest unit that leaves a whole number."""
    return _format(size, BYTES_BY_UNIT)


def format_rate(per_second: float) -> str:
    """Return a rate in a unit that leaves a whole number where there is one."""
    return _format(per_second, PER_SECOND_BY_UNIT)
