"""Read YAML settings with the place of each value, and merge an overlay."""

import attrs
import yaml

__all__ = ["Fault", "ListNode", "MapNode", "Node", "Place", "Scalar", "load", "merge"]

REMOVE_TAG = "!remove"
NAME_FIELDS = ("name", "path")  # the field that names an item of a list


@attrs.frozen
class Place:
    """Tell where a value stands; ``path`` is the path inside the file.

    ``line`` is 0 for what is no file, such as the environment.
    """

    file: str
    line: int
    path: str = ""

    def below(self, name: str, line: int | None = None) -> "Place":
        """Return the place of a part of this value."""
        path = f"{self.path}.{name}" if self.path else name
        return Place(self.file, line or self.line, path)


@attrs.frozen
class Fault:
    """Report a fault in the settings and what would be right."""

    place: Place
    message: str

    def __str__(self) -> str:
        line = f":{self.place.line}" if self.place.line else ""
        where = f"{self.place.file}{line}: {self.place.path or 'file'}"
        return f"{where}: {self.message}"


@attrs.define
class Scalar:
    """Hold a single value, as text and as YAML resolves it."""

    place: Place
    text: str
    value: object
    removed: bool = False


@attrs.define
class ListNode:
    """Hold a list."""

    place: Place
    items: list["Node"]


@attrs.define
class MapNode:
    """Hold a map."""

    place: Place
    entries: dict[str, "Node"]

    @property
    def name(self) -> str | None:
        """Return what names this item in a list."""
        for field in NAME_FIELDS:
            node = self.entries.get(field)
            if isinstance(node, Scalar):
                return node.text
        return None


Node = Scalar | ListNode | MapNode


def load(text: str, file: str) -> tuple[Node | None, list[Fault]]:
    """Return the document in ``text`` and the faults of its form."""
    loader = yaml.SafeLoader(text)
    try:
        root = loader.get_single_node()
        if root is None:
            return None, [Fault(Place(file, 1), "the file is empty")]
        faults: list[Fault] = []
        node = _convert(loader, root, Place(file, 1), faults)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return None, [_syntax_fault(error, file)]
    finally:
        loader.dispose()
    if not isinstance(node, MapNode):
        faults.append(Fault(node.place, "write a map of settings"))
        return None, faults
    return node, faults


def _syntax_fault(error: Exception, file: str) -> Fault:
    mark = getattr(error, "problem_mark", None)
    line = mark.line + 1 if mark else 1
    problem = getattr(error, "problem", None) or str(error)
    return Fault(Place(file, line), f"this is not YAML: {problem}")


def _convert(loader, node, place: Place, faults: list[Fault]) -> Node:
    place = attrs.evolve(place, line=node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        return _convert_map(loader, node, place, faults)
    if isinstance(node, yaml.SequenceNode):
        items = []
        for index, child in enumerate(node.value):
            below = place.below(_label(child) or str(index))
            items.append(_convert(loader, child, below, faults))
        return ListNode(place, items)
    if node.tag == REMOVE_TAG:
        return Scalar(place, node.value, None, removed=True)
    if not node.tag.startswith("tag:yaml.org,2002:"):
        faults.append(Fault(place, f"tag {node.tag} is unknown; use {REMOVE_TAG}"))
        return Scalar(place, node.value, node.value)
    return Scalar(place, node.value, loader.construct_object(node))


def _convert_map(loader, node, place: Place, faults: list[Fault]) -> MapNode:
    entries: dict[str, Node] = {}
    for key, value in node.value:
        below = place.below(str(key.value), key.start_mark.line + 1)
        if not isinstance(key, yaml.ScalarNode):
            faults.append(Fault(below, "write a plain name before the colon"))
        elif key.value in entries:
            first = entries[key.value].place.line
            faults.append(Fault(below, f"remove it; line {first} already sets it"))
        else:
            entries[key.value] = _convert(loader, value, below, faults)
            if isinstance(value, yaml.ScalarNode):
                entries[key.value].place = below
    return MapNode(place, entries)


def _label(node) -> str | None:
    if isinstance(node, yaml.ScalarNode):
        return node.value if node.tag == REMOVE_TAG else None
    if not isinstance(node, yaml.MappingNode):
        return None
    for key, value in node.value:
        if key.value in NAME_FIELDS and isinstance(value, yaml.ScalarNode):
            return value.value
    return None


def merge(base: Node, overlay: Node, faults: list[Fault]) -> Node:
    """Return ``base`` with ``overlay`` over it.

    Maps merge by key and lists of named items by name; everything else is
    replaced. ``!remove`` takes an entry out.
    """
    if isinstance(base, MapNode) and isinstance(overlay, MapNode):
        return _merge_maps(base, overlay, faults)
    if _is_named(base) and _is_named(overlay):
        return _merge_lists(base, overlay, faults)
    return overlay


def _merge_maps(base: MapNode, overlay: MapNode, faults: list[Fault]) -> MapNode:
    entries = dict(base.entries)
    for key, node in overlay.entries.items():
        if _is_removed(node):
            if entries.pop(key, None) is None:
                faults.append(Fault(node.place, _nothing_to_remove(key)))
        elif key in entries:
            entries[key] = merge(entries[key], node, faults)
        else:
            entries[key] = node
    return MapNode(base.place, entries)


def _merge_lists(base: ListNode, overlay: ListNode, faults: list[Fault]) -> ListNode:
    items = list(base.items)
    seen: set[str | None] = set()
    for node in overlay.items:
        name = node.text if _is_removed(node) else node.name
        index = _find(items, name)
        if _is_removed(node):
            if index is None:
                faults.append(Fault(node.place, _nothing_to_remove(name)))
            else:
                del items[index]
        elif index is None or name in seen:
            items.append(node)
        else:
            items[index] = merge(items[index], node, faults)
        seen.add(name)
    return ListNode(base.place, items)


def _find(items: list[Node], name: str | None) -> int | None:
    for index, item in enumerate(items):
        if isinstance(item, MapNode) and name is not None and item.name == name:
            return index
    return None


def _is_removed(node: Node) -> bool:
    return isinstance(node, Scalar) and node.removed


def _is_named(node: Node) -> bool:
    return isinstance(node, ListNode) and all(
        isinstance(item, MapNode) or _is_removed(item) for item in node.items
    )


def _nothing_to_remove(name: str | None) -> str:
    return f"the base file has no {name!r} to remove; drop this line"
