"""Find settings that can be loaded but do not do what they seem to."""

from collections.abc import Callable, Iterator

from .document import Fault, Place
from .reading import Item

__all__ = ["find_warnings", "warning"]

Warner = Callable[[Item], Iterator[Fault]]

_warners: list[Warner] = []


def warning(function: Warner) -> Warner:
    """Register a function that finds warnings in settings without faults."""
    _warners.append(function)
    return function


def find_warnings(root: Item) -> list[Fault]:
    """Return what all registered functions find."""
    return [found for function in _warners for found in function(root)]


@warning
def find_shadowed_routes(root: Item) -> Iterator[Fault]:
    """Find routes that never match since an earlier one has the same prefix."""
    first: dict[str, Place] = {}
    for route in root.items("routes"):
        prefix = route.get("path").rstrip("/")
        place = route.place_of("path")
        if prefix in first:
            other = first[prefix]
            message = f"never matches: {other.file}:{other.line} has the same prefix"
            yield Fault(place, message)
        else:
            first[prefix] = place


@warning
def find_closed_routes(root: Item) -> Iterator[Fault]:
    """Find routes that are not open and whose service no account may call."""
    allowed = {n for account in root.items("accounts") for n in account.get("services")}
    for route in root.items("routes"):
        if not route.get("open") and route.get("service") not in allowed:
            message = f"no account may call service {route.get('service')!r}"
            yield Fault(route.place_of("service"), message)


@warning
def find_unused_entries(root: Item) -> Iterator[Fault]:
    """Find services without a route and data centres without a target."""
    services = root.items("services")
    routed = {route.get("service") for route in root.items("routes")}
    used = {t.get("data_centre") for s in services for t in s.items("targets")}
    for service in services:
        if service.get("name") not in routed:
            yield Fault(service.place_of("name"), "no route leads to the service")
    for data_centre in root.items("data_centres"):
        if data_centre.get("name") not in used:
            yield Fault(data_centre.place_of("name"), "the data centre has no target")


@warning
def find_targets_without_keys(root: Item) -> Iterator[Fault]:
    """Find services divided by key that have more targets than shards."""
    for service in root.items("services"):
        shards, targets = service.get("shards"), len(service.items("targets"))
        if service.get("keyed") and shards < targets:
            message = f"{targets - shards} of {targets} targets can own no shard"
            yield Fault(service.place_of("shards"), message)


@warning
def find_short_retention(root: Item) -> Iterator[Fault]:
    """Find outcomes that are dropped while their requests may still be repeated."""
    journal = root.get("journal")
    if journal is None:
        return
    for service in root.items("services"):
        longest, retention = service.get("max_deadline"), journal.get("retention")
        if longest > retention:
            message = (
                f"retention of {retention:g} s is shorter than max_deadline "
                f"{longest:g} s of service {service.get('name')!r}"
            )
            yield Fault(journal.place_of("retention"), message)
