"""Turn settings files into a checked deployment."""

from pathlib import Path

from ..exceptions import ConfigurationError
from .checks import run_checks
from .document import Fault, MapNode, Place, load, merge
from .model import (
    AccountSettings,
    DataCentreSettings,
    Deployment,
    JournalSettings,
    RouteSettings,
    ServiceSettings,
    TargetSettings,
)
from .reading import Item, read_section
from .schema import DEPLOYMENT
from .warnings import find_warnings

__all__ = ["FaultySettingsError", "check_files", "load_files", "load_texts"]

MANY_TARGETS = 30  # targets from which a service has MANY_GROUPS groups
MANY_GROUPS = 4


class FaultySettingsError(ConfigurationError):
    """Report every fault of the settings."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults), step="check")
        self.faults = faults


def load_files(base: str, overlay: str | None = None) -> Deployment:
    """Return the deployment of a base file and an overlay.

    Raise FaultySettingsError with all faults of both files.
    """
    return load_texts(*_read_files(base, overlay))


def check_files(
    base: str, overlay: str | None = None
) -> tuple[Deployment, list[Fault]]:
    """Return the deployment of a base file and an overlay, and its warnings.

    Raise FaultySettingsError with all faults of both files.
    """
    root = _read_texts(*_read_files(base, overlay))
    return _deployment(root), find_warnings(root)


def _read_files(base: str, overlay: str | None) -> list[tuple[str, str]]:
    texts, faults = [], []
    for name in (base, overlay):
        if name is None:
            continue
        try:
            texts.append((name, Path(name).read_text(encoding="utf-8")))
        except (OSError, UnicodeDecodeError) as error:
            faults.append(Fault(Place(name, 1), f"the file cannot be read: {error}"))
    if faults:
        raise FaultySettingsError(faults)
    return texts


def load_texts(base: tuple[str, str], overlay: tuple[str, str] | None = None):
    """Return the deployment of ``(file name, text)`` pairs."""
    return _deployment(_read_texts(base, overlay))


def _read_texts(base: tuple[str, str], overlay: tuple[str, str] | None = None) -> Item:
    faults: list[Fault] = []
    merged: MapNode | None = None
    for name, text in filter(None, (base, overlay)):
        node, found = load(text, name)
        faults.extend(found)
        if node is not None:
            merged = node if merged is None else merge(merged, node, faults)
    if merged is None:
        raise FaultySettingsError(faults)
    root = read_section(merged, DEPLOYMENT, faults)
    faults.extend(run_checks(root))
    if faults:
        raise FaultySettingsError(faults)
    return root


def _deployment(root: Item) -> Deployment:
    journal = root.get("journal")
    return Deployment(
        name=root.get("name"),
        data_centres_by_id={
            item.get("name"): DataCentreSettings(item.get("name"), item.get("region"))
            for item in root.items("data_centres")
        },
        services_by_id={
            item.get("name"): _service(item) for item in root.items("services")
        },
        accounts_by_id={
            item.get("name"): _account(item) for item in root.items("accounts")
        },
        routes=tuple(_route(item) for item in root.items("routes")),
        journal=JournalSettings(**journal.values) if journal else JournalSettings(),
        account_groups=root.get("account_groups"),
    )


def _service(item: Item) -> ServiceSettings:
    defaults = item.get("target_defaults") or Item(item.place)
    targets = [_target(target, defaults) for target in item.items("targets")]
    default_groups = MANY_GROUPS if len(targets) >= MANY_TARGETS else 1
    return ServiceSettings(
        id=item.get("name"),
        keyed=item.get("keyed"),
        targets_by_id={target.id: target for target in targets},
        shards=item.get("shards"),
        groups=item.get("groups", default_groups),
        deadline=item.get("deadline"),
        max_deadline=item.get("max_deadline"),
    )


def _target(item: Item, defaults: Item) -> TargetSettings:
    values = {"checks_epoch": True, **defaults.values, **item.values}
    return TargetSettings(id=values.pop("name"), **values)


def _account(item: Item) -> AccountSettings:
    values = item.values
    return AccountSettings(
        id=values["name"],
        rate=values["rate"],
        burst=float(values["burst"]),
        services=tuple(values["services"]),
    )


def _route(item: Item) -> RouteSettings:
    values = dict(item.values)
    return RouteSettings(max_body_bytes=values.pop("max_body"), **values)
