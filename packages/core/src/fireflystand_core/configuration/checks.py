"""Check what settings say together; decorators fill the registry of checks."""

import difflib
from collections.abc import Callable, Iterator

from .document import Fault, Place
from .reading import Item

__all__ = ["check", "run_checks"]

RESERVED_SERVICES = ("accounts", "journal")
FASTEST_REQUEST = 0.001  # seconds a slot is taken at least; not measured

Check = Callable[[Item], Iterator[Fault]]

_checks: list[Check] = []


def check(function: Check) -> Check:
    """Register a check of the whole settings."""
    _checks.append(function)
    return function


def run_checks(root: Item) -> list[Fault]:
    """Return the faults that all registered checks find."""
    return [fault for function in _checks for fault in function(root)]


def _targets(root: Item) -> list[Item]:
    return [t for service in root.items("services") for t in service.items("targets")]


def _names(items: list[Item]) -> list[str]:
    return [item.get("name") for item in items if item.get("name")]


def _repeated(items: list[Item], field: str, what: str) -> Iterator[Fault]:
    first: dict[object, Place] = {}
    for item in items:
        value = item.get(field)
        if value is None:
            continue
        place = item.place_of(field)
        if value in first:
            other = first[value]
            yield Fault(
                place,
                f"{what} {value!r} is already used at {other.file}:{other.line}; "
                "choose another",
            )
        else:
            first[value] = place


def _missing(place: Place, name: object, known: list[str], what: str) -> list[Fault]:
    if name is None or name in known:
        return []
    close = difflib.get_close_matches(str(name), known, n=1, cutoff=0.5)
    listed = ", ".join(known) or "none is declared"
    hint = f"did you mean {close[0]!r}?" if close else f"known: {listed}"
    return [Fault(place, f"{what} {name!r} does not exist; {hint}")]


@check
def check_names_are_unique(root: Item) -> Iterator[Fault]:
    """Find two things with one name."""
    yield from _repeated(root.items("data_centres"), "name", "data centre name")
    yield from _repeated(root.items("services"), "name", "service name")
    yield from _repeated(root.items("accounts"), "name", "account name")
    yield from _repeated(_targets(root), "name", "target name")


@check
def check_paths_and_addresses_are_unique(root: Item) -> Iterator[Fault]:
    """Find two routes with one path and two targets with one address."""
    yield from _repeated(root.items("routes"), "path", "path")
    yield from _repeated(_targets(root), "address", "address")


@check
def check_references(root: Item) -> Iterator[Fault]:
    """Find names of data centres and services that do not exist."""
    data_centres = _names(root.items("data_centres"))
    services = _names(root.items("services"))
    for target in _targets(root):
        place = target.place_of("data_centre")
        name = target.get("data_centre")
        yield from _missing(place, name, data_centres, "data centre")
    for route in root.items("routes"):
        place = route.place_of("service")
        yield from _missing(place, route.get("service"), services, "service")
    for account in root.items("accounts"):
        for name in account.get("services") or ():
            place = account.place_of("services")
            yield from _missing(place, name, services, "service")


@check
def check_lists_are_filled(root: Item) -> Iterator[Fault]:
    """Find lists without which nothing can be served."""
    for name in ("data_centres", "services"):
        if root.get(name) == []:
            yield Fault(root.place_of(name), "the list is empty; declare at least one")
    for service in root.items("services"):
        if service.get("targets") == []:
            place = service.place_of("targets")
            yield Fault(place, "the list is empty; declare at least one target")
    for account in root.items("accounts"):
        if account.get("services") == []:
            place = account.place_of("services")
            yield Fault(place, "the account may call nothing; name a service")


@check
def check_services(root: Item) -> Iterator[Fault]:
    """Find reserved names, group counts and deadlines that do not fit."""
    for service in root.items("services"):
        if service.get("name") in RESERVED_SERVICES:
            message = f"{service.get('name')!r} is reserved; choose another name"
            yield Fault(service.place_of("name"), message)
        groups = service.get("groups", 1)
        limits = {
            "shards": service.get("shards"),
            "targets": len(service.items("targets")) or None,
        }
        for name, limit in limits.items():
            if limit is not None and groups > limit:
                message = f"{groups} groups are more than {limit} {name}; write fewer"
                yield Fault(service.place_of("groups"), message)
        longest = service.get("max_deadline")
        if longest is not None and service.get("deadline", 0.0) > longest:
            message = "deadline is longer than max_deadline; write at most that"
            yield Fault(service.place_of("deadline"), message)


@check
def check_target_limits(root: Item) -> Iterator[Fault]:
    """Find targets without limits and with fewer connections than slots."""
    for service in root.items("services"):
        defaults = service.get("target_defaults") or Item(service.place)
        for target in service.items("targets"):
            found = {}
            for name in ("slots", "connections"):
                found[name] = target.get(name) or defaults.get(name)
                if name not in target.places and name not in defaults.places:
                    message = f"write {name} here or in target_defaults of the service"
                    yield Fault(target.place_of(name), message)
            if None not in found.values() and found["connections"] < found["slots"]:
                message = (
                    f"write at least as many connections as {found['slots']} slots"
                )
                yield Fault(target.place_of("connections"), message)


@check
def check_routing_keys(root: Item) -> Iterator[Fault]:
    """Find routing keys on routes to services that are not divided by key."""
    keyed = {s.get("name"): s.get("keyed") for s in root.items("services")}
    for route in root.items("routes"):
        if "routing_key_segment" not in route.places:
            continue
        if keyed.get(route.get("service")) is False:
            message = "the service is not divided by key; remove routing_key_segment"
            yield Fault(route.place_of("routing_key_segment"), message)


@check
def check_rates_can_be_served(root: Item) -> Iterator[Fault]:
    """Find accounts whose rate exceeds what all slots they may use can serve."""
    slots_by_service = {s.get("name"): _slots(s) for s in root.items("services")}
    for account in root.items("accounts"):
        names = account.get("services") or ()
        rate = account.get("rate")
        if rate is None or any(not slots_by_service.get(name) for name in names):
            continue
        most = sum(slots_by_service[name] for name in names) / FASTEST_REQUEST
        if names and rate > most:
            message = (
                f"{rate:.12g} per s cannot be served by the slots of "
                f"{', '.join(names)}; write at most {most:.12g} per s"
            )
            yield Fault(account.place_of("rate"), message)


def _slots(service: Item) -> int:
    defaults = service.get("target_defaults") or Item(service.place)
    return sum(
        target.get("slots") or defaults.get("slots") or 0
        for target in service.items("targets")
    )
