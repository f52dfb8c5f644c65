"""Read a document by its schema, collecting every fault."""

import difflib

import attrs

from .document import Fault, ListNode, MapNode, Node, Place, Scalar
from .kinds import find_kind
from .schema import Section, Setting

__all__ = ["Item", "read_section"]


@attrs.define
class Item:
    """Hold the values that could be read from a map, and their places."""

    place: Place
    values: dict[str, object] = attrs.field(factory=dict)
    places: dict[str, Place] = attrs.field(factory=dict)

    def get(self, name: str, default: object = None) -> object:
        """Return a value, or ``default`` if it is unset or could not be read."""
        return self.values.get(name, default)

    def items(self, name: str) -> list["Item"]:
        """Return the items of a list."""
        return self.values.get(name) or []

    def place_of(self, name: str) -> Place:
        """Return where a value stands, or would stand."""
        return self.places.get(name) or self.place.below(name)


def read_section(node: Node, section: Section, faults: list[Fault]) -> Item:
    """Return what ``node`` sets, adding its faults to ``faults``."""
    item = Item(node.place)
    if not isinstance(node, MapNode):
        faults.append(Fault(node.place, f"write a map of {section.title} settings"))
        return item
    for name, child in node.entries.items():
        setting = section.find(name)
        if setting is None:
            faults.append(Fault(child.place, _unknown(name, section)))
            continue
        item.places[name] = child.place
        _read_setting(item, child, setting, faults)
    for setting in section.settings:
        if setting.name in node.entries:
            continue
        if setting.required:
            message = f"setting {setting.name!r} is missing; add it"
            faults.append(Fault(node.place.below(setting.name), message))
        elif setting.default is not None:
            item.values[setting.name] = setting.default
    return item


def _unknown(name: str, section: Section) -> str:
    known = [setting.name for setting in section.settings]
    close = difflib.get_close_matches(name, known, n=1, cutoff=0.5)
    hint = f"did you mean {close[0]!r}?" if close else f"use one of {', '.join(known)}"
    return f"{section.title} has no setting {name!r}; {hint}"


def _read_setting(item: Item, node: Node, setting: Setting, faults) -> None:
    try:
        if setting.kind == "section":
            value = read_section(node, setting.section, faults)
        elif setting.kind == "list":
            value = _read_list(node, setting, faults)
        elif setting.kind == "names":
            value = _read_names(node, faults)
        else:
            value = _read_scalar(node, setting)
    except ValueError as error:
        faults.append(Fault(node.place, str(error)))
    else:
        item.values[setting.name] = value


def _read_list(node: Node, setting: Setting, faults: list[Fault]) -> list[Item]:
    if not isinstance(node, ListNode):
        raise ValueError(f"write a list of {setting.name}")
    return [read_section(child, setting.section, faults) for child in node.items]


def _read_names(node: Node, faults: list[Fault]) -> list[str]:
    if not isinstance(node, ListNode):
        raise ValueError("write a list of names")
    names = []
    for child in node.items:
        try:
            names.append(_read_scalar(child, Setting("name", "name")))
        except ValueError as error:
            faults.append(Fault(child.place, str(error)))
    return names


def _read_scalar(node: Node, setting: Setting) -> object:
    if not isinstance(node, Scalar):
        raise ValueError(f"write one value of type {setting.kind}")
    if node.removed:
        raise ValueError("use !remove only in an overlay, on what the base file has")
    kind = find_kind(setting.kind)
    value = kind.read(node)
    if setting.choices and value not in setting.choices:
        raise ValueError(f"{value!r} is unknown; use {' or '.join(setting.choices)}")
    low, high = setting.minimum, setting.maximum
    if low is not None and value < low:
        raise ValueError(f"{node.text} is too small; write at least {kind.write(low)}")
    if high is not None and value > high:
        raise ValueError(f"{node.text} is too large; write at most {kind.write(high)}")
    return value
