"""Fit the parts of the router to the interfaces of the request flow."""

from fireflystand_core.accounts import Refused
from fireflystand_core.configuration import AccountSettings, ServiceSettings
from fireflystand_core.sharding import group_of_shard, key_hash, shard_of_key

from .entry import GroupLocation, QuotaRefusal
from .quotas import Quotas
from .view import ClusterView

__all__ = ["AccountLookup", "GroupPlacement", "QuotaAdapter"]


class AccountLookup:
    """Look up accounts in the view."""

    def __init__(self, view: ClusterView) -> None:
        self._view = view

    def lookup(self, key_hash: str) -> AccountSettings | None:
        """Return the account of an active API key by its SHA-256 in hexadecimal."""
        key = self._view.keys_by_hash.get(key_hash)
        if key is None or key.state != "active":
            return None
        return self._view.deployment.accounts_by_id.get(key.account)


class QuotaAdapter:
    """Take tokens from the quota leases of this instance."""

    def __init__(self, quotas: Quotas) -> None:
        self._quotas = quotas

    async def take(self, account: str, deadline: float) -> QuotaRefusal | None:
        """Take one token; wait until ``deadline`` (trio's clock) at most."""
        verdict = await self._quotas.take(account, deadline)
        if isinstance(verdict, Refused):
            return QuotaRefusal(verdict.retry_after)
        return None


class GroupPlacement:
    """Map keys to shards and shards to groups."""

    def locate(
        self, service: ServiceSettings, routing_key: str, affinity: int
    ) -> GroupLocation:
        """Return the location; services not divided by key use ``affinity``."""
        value = affinity
        if service.keyed:
            value = key_hash(service.id, routing_key)
        shard = shard_of_key(value, service.shards)
        return GroupLocation(group_of_shard(shard, service.groups), shard, value)
