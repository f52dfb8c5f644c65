"""Name the store objects and the feed items of groups."""

import json

from fireflystand_core.groups import GroupRecord

__all__ = ["claim_item_key", "claim_item_text", "record_key"]

GroupName = tuple[str, int]


def record_key(name: GroupName) -> str:
    """Return the store key of a group's record."""
    return f"groups/{name[0]}/{name[1]}"


def claim_item_key(name: GroupName) -> str:
    """Return the feed key of a group's claim."""
    return f"claims/{name[0]}/{name[1]}"


def claim_item_text(name: GroupName, record: GroupRecord) -> str:
    """Return the JSON text that tells who coordinates a group."""
    value = {
        "service": name[0],
        "group": name[1],
        "epoch": record.epoch,
        "instance": record.coordinator,
        "incarnation": record.incarnation,
        "witnesses": dict(record.witnesses),
    }
    return json.dumps(value, separators=(",", ":"))
