"""Name the store objects and the feed items of groups."""

import json
from typing import Any

from fireflystand_core.groups import GroupRecord

__all__ = ["claim_item_key", "claim_item_text", "claim_item_value", "record_key"]

GroupName = tuple[str, int]


def record_key(name: GroupName) -> str:
    """Return the store key of a group's record."""
    return f"groups/{name[0]}/{name[1]}"


def claim_item_key(name: GroupName) -> str:
    """Return the feed key of a group's claim."""
    return f"claims/{name[0]}/{name[1]}"


def claim_item_value(name: GroupName, record: GroupRecord) -> dict[str, Any]:
    """Return the value that tells who coordinates a group."""
    return {
        "service": name[0],
        "group": name[1],
        "epoch": record.epoch,
        "instance": record.coordinator,
        "incarnation": record.incarnation,
        "witnesses": dict(record.witnesses),
    }


def claim_item_text(name: GroupName, record: GroupRecord) -> str:
    """Return the JSON text of ``claim_item_value``."""
    return json.dumps(claim_item_value(name, record), separators=(",", ":"))
