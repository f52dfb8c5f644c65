"""Read the settings of one fireflystandd process."""

from collections.abc import Callable, Iterator, Mapping
from pathlib import Path

import attrs

from fireflystand_core.configuration import (
    Fault,
    FaultySettingsError,
    Item,
    MapNode,
    Place,
    Scalar,
    Section,
    Setting,
    load,
    read_section,
)

__all__ = ["ENVIRONMENT_PREFIX", "PROCESS", "ProcessSettings", "load_settings"]

ENVIRONMENT_PREFIX = "FIREFLYSTAND_"
ANY_HOST = "0.0.0.0"
LOG_LEVELS = ("debug", "info", "warning", "error")

PROCESS = Section(
    "process",
    (
        Setting("instance_id", "name", required=True),
        Setting("data_centre", "name", required=True),
        Setting("listen_address", "address", required=True),
        Setting("peer_address", "address", required=True),
        Setting("health_address", "address", required=True),
        Setting("store_address", "address", required=True),
        Setting("instance_list_address", "address", required=True),
        Setting("statsd_address", "address", default_text="no metrics are sent"),
        Setting("log_format", "text", default="json", choices=("json", "text")),
        Setting("log_level", "text", default="info", choices=LOG_LEVELS),
    ),
)


@attrs.frozen
class ProcessSettings:
    """Hold the settings of one process; addresses are ``IP:port``."""

    instance_id: str
    data_centre: str
    listen_address: str
    peer_address: str
    health_address: str
    store_address: str
    instance_list_address: str
    statsd_address: str | None = None
    log_format: str = "json"
    log_level: str = "info"


Check = Callable[[Item], Iterator[Fault]]

_checks: list[Check] = []


def process_check(function: Check) -> Check:
    """Register a check of the process settings."""
    _checks.append(function)
    return function


def load_settings(
    file: str | None = None,
    environment: Mapping[str, str] | None = None,
    flags: Mapping[str, object] | None = None,
) -> ProcessSettings:
    """Return the settings from a file, then the environment, then flags.

    Raise FaultySettingsError with all faults of the three sources.
    """
    faults: list[Fault] = []
    root = _read_file(file, faults)
    for name, text in (environment or {}).items():
        if name.startswith(ENVIRONMENT_PREFIX):
            setting = name.removeprefix(ENVIRONMENT_PREFIX).lower()
            root.entries[setting] = _scalar("environment", name, text)
    for name, value in (flags or {}).items():
        if value is not None:
            root.entries[name] = _scalar("flags", f"--{name}", str(value))
    item = read_section(root, PROCESS, faults)
    for check in _checks:
        faults.extend(check(item))
    if faults:
        raise FaultySettingsError(faults)
    return ProcessSettings(**item.values)


def _scalar(source: str, name: str, text: str) -> Scalar:
    return Scalar(Place(source, 0, name), text, text)


def _read_file(file: str | None, faults: list[Fault]) -> MapNode:
    empty = MapNode(Place("settings", 0), {})
    if file is None:
        return empty
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        faults.append(Fault(Place(file, 1), f"the file cannot be read: {error}"))
        return empty
    node, load_faults = load(text, file)
    faults.extend(load_faults)
    return empty if node is None else node


@process_check
def check_own_addresses_differ(item: Item) -> Iterator[Fault]:
    """Yield a fault if two listeners of the process have the same address."""
    names_by_address: dict[object, str] = {}
    for name in ("listen_address", "peer_address", "health_address"):
        address = item.get(name)
        if address is None:
            continue
        if address in names_by_address:
            message = f"{names_by_address[address]} is the same; use another port"
            yield Fault(item.place_of(name), message)
        names_by_address.setdefault(address, name)


@process_check
def check_others_can_connect(item: Item) -> Iterator[Fault]:
    """Yield a fault for each wildcard address, except the one for callers."""
    for setting in PROCESS.settings:
        if setting.kind != "address" or setting.name == "listen_address":
            continue
        address = item.get(setting.name)
        if address is not None and address.startswith(f"{ANY_HOST}:"):
            message = f"others connect to it; write an IP number, not {ANY_HOST}"
            yield Fault(item.place_of(setting.name), message)
