"""Read single values by kind; decorators fill the registry of kinds."""

import ipaddress
import re
from collections.abc import Callable

import attrs

from . import units
from .document import Scalar

__all__ = ["Kind", "find_kind", "kind"]

NAME = re.compile(r"[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?")
MAX_PORT = 65535

Reader = Callable[[Scalar], object]


@attrs.frozen
class Kind:
    """Read and write the values of one kind; ``read`` raises ValueError."""

    name: str
    unit: str
    read: Reader
    write: Callable[[object], object]


_kinds_by_name: dict[str, Kind] = {}


def kind(name: str, unit: str = "", write: Callable = lambda value: value):
    """Register the decorated function as the reader of a kind."""

    def register(read: Reader) -> Reader:
        _kinds_by_name[name] = Kind(name, unit, read, write)
        return read

    return register


def find_kind(name: str) -> Kind:
    """Return the kind of a name."""
    return _kinds_by_name[name]


@kind("text")
def _read_text(node: Scalar) -> str:
    if not isinstance(node.value, str) or not node.value:
        raise ValueError("write a text")
    return node.value


@kind("name")
def _read_name(node: Scalar) -> str:
    if not isinstance(node.value, str):
        raise ValueError("write a name in quotes")
    if not NAME.fullmatch(node.text):
        raise ValueError(
            "write a name of 1 to 63 lower-case letters, digits and hyphens"
        )
    return node.text


@kind("path")
def _read_path(node: Scalar) -> str:
    if not re.fullmatch(r"/[!-~]*", node.text) or re.search(r"[?#%]", node.text):
        raise ValueError("write a path that starts with '/', without '?', '#' and '%'")
    return node.text


@kind("integer")
def _read_integer(node: Scalar) -> int:
    if isinstance(node.value, bool) or not isinstance(node.value, int):
        raise ValueError("write a whole number")
    return node.value


@kind("boolean")
def _read_boolean(node: Scalar) -> bool:
    if not isinstance(node.value, bool):
        raise ValueError("write true or false")
    return node.value


@kind("time", "h, min, s, ms", units.format_duration)
def _read_time(node: Scalar) -> float:
    return units.parse_duration(node.text)


@kind("size", "B, KiB, MiB, GiB", units.format_size)
def _read_size(node: Scalar) -> int:
    return units.parse_size(node.text)


@kind("rate", "per s, per min, per h", units.format_rate)
def _read_rate(node: Scalar) -> float:
    return units.parse_rate(node.text)


@kind("address")
def _read_address(node: Scalar) -> str:
    host, _, port = node.text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError("write an IP number and a port, such as 10.0.0.1:80") from None
    if not re.fullmatch(r"[1-9]\d{0,4}", port) or int(port) > MAX_PORT:
        raise ValueError(f"write a port from 1 to {MAX_PORT} after the colon")
    return node.text
