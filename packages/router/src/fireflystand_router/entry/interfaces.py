"""Define the interfaces through which the request flow reaches its neighbours."""

from typing import Protocol

import attrs
import trio

from fireflystand_core.configuration import AccountSettings, ServiceSettings
from fireflystand_core.messages import (
    Permit,
    PermitRefused,
    PermitRequest,
    PermitReturn,
)

__all__ = ["Accounts", "Location", "Permits", "Placement", "QuotaRefused", "Quotas"]


@attrs.frozen
class QuotaRefused:
    """Tell when an account over its rate may ask again, in seconds."""

    retry_after: float


@attrs.frozen
class Location:
    """Name the group and the shard of a request; ``key_hash`` is 64 bits."""

    group: int
    shard: int
    key_hash: int


class Accounts(Protocol):
    """Look up the client account of an API key."""

    def lookup(self, key_hash: str) -> AccountSettings | None:
        """Return the account of an active API key by its SHA-256 in hexadecimal."""


class Quotas(Protocol):
    """Spend tokens of client accounts."""

    async def take(self, account: str, deadline: float) -> QuotaRefused | None:
        """Take one token; wait until ``deadline`` (trio's clock) at most."""


class Permits(Protocol):
    """Obtain permits from coordinators and give them back."""

    async def acquire(self, request: PermitRequest) -> Permit | PermitRefused:
        """Wait for a permit; a cancelled call withdraws its request."""

    def give_back(self, returned: PermitReturn) -> trio.Event | None:
        """Queue the return of a permit; it neither waits nor fails.

        The event is set once a coordinator has taken the permit back, for an
        answer to a request with an idempotency key once that is durable.
        """


class Placement(Protocol):
    """Find the group of a request."""

    def locate(
        self, service: ServiceSettings, routing_key: str, affinity: int
    ) -> Location:
        """Return the location; services not divided by key use ``affinity``."""
