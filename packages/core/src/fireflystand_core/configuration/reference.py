"""Describe the schema as the rows of the reference page."""

from .kinds import find_kind
from .schema import Section, Setting, walk

__all__ = ["reference_rows"]

CONTAINERS = {"section": "map", "list": "list", "names": "list of names"}


def reference_rows(section: Section) -> list[tuple[str, str, str, str, str]]:
    """Return path, type, unit, range and default of each setting."""
    return [
        (path, _type(setting), _unit(setting), _range(setting), _default(setting))
        for path, setting in walk(section)
    ]


def _type(setting: Setting) -> str:
    return CONTAINERS.get(setting.kind, setting.kind)


def _unit(setting: Setting) -> str:
    if setting.kind in CONTAINERS:
        return "-"
    return find_kind(setting.kind).unit or "-"


def _range(setting: Setting) -> str:
    if setting.choices:
        return ", ".join(setting.choices)
    if setting.kind in CONTAINERS or setting.minimum is None:
        return "-"
    write = find_kind(setting.kind).write
    return f"{write(setting.minimum)} to {write(setting.maximum)}"


def _default(setting: Setting) -> str:
    if setting.required:
        return "required"
    if setting.default is None:
        return setting.default_text or "-"
    value = find_kind(setting.kind).write(setting.default)
    return str(value).lower() if isinstance(value, bool) else str(value)
