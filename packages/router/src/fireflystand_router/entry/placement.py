"""Find the group and the shard of a request by hash."""

import xxhash

from fireflystand_core.configuration import ServiceSettings

from .interfaces import Location

__all__ = ["HashPlacement"]


class HashPlacement:
    """Map keys to shards and shards to groups without any override."""

    def locate(
        self, service: ServiceSettings, routing_key: str, affinity: int
    ) -> Location:
        """Return the location; services not divided by key use ``affinity``."""
        value = affinity
        if service.keyed:
            text = f"{service.id}/{routing_key}"
            value = xxhash.xxh3_64_intdigest(text.encode())
        shard = value % service.shards
        return Location(shard % service.groups, shard, value)
