"""Prepare what a claim of a group consists of."""

from collections.abc import Mapping

from fireflystand_core.configuration import ServiceSettings
from fireflystand_core.groups import GroupIdentity, GroupRecord
from fireflystand_core.messages import Hello
from fireflystand_core.sharding import coordinator_witnesses

from .group_callbacks import LiveInstance
from .group_targets import group_shards

__all__ = ["claim_witnesses", "group_identity"]

GroupName = tuple[str, int]


def group_identity(
    name: GroupName, settings: ServiceSettings | None, hello: Hello
) -> GroupIdentity:
    """Return the identity of a group that this instance is to coordinate."""
    return GroupIdentity(
        *name,
        group_shards(settings, name[1]),
        hello.instance,
        hello.incarnation,
        settings.shards if settings else 0,
        settings.groups if settings else 1,
        max_deadline=settings.max_deadline if settings else 60.0,
    )


def claim_witnesses(
    name: GroupName,
    own: str,
    live: Mapping[str, LiveInstance],
    record: GroupRecord | None,
    handed: bool,
) -> dict[str, str]:
    """Return the incarnations of the witnesses to name in a claim.

    A coordinator that is taken over from is left out, since it is lost.
    """
    known = dict(record.witnesses) if record else {}
    spare = list(known)
    known |= {i: entry.incarnation for i, entry in live.items()}
    centres = {i: entry.data_centre for i, entry in live.items()}
    if record and not handed and record.coordinator != own:
        centres.pop(record.coordinator, None)
    chosen = coordinator_witnesses(*name, own, centres, spare=spare)
    return {i: known[i] for i in chosen}
