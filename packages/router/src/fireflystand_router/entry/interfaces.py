"""Define the interfaces that the request flow depends on."""

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

__all__ = [
    "AccountDirectory",
    "GroupLocation",
    "Permits",
    "Placement",
    "QuotaRefusal",
    "Quotas",
]


@attrs.frozen
class QuotaRefusal:
    """Report that an account is over its rate; ``retry_after`` is in seconds."""

    retry_after: float


@attrs.frozen
class GroupLocation:
    """Identify the group and shard of a request; ``key_hash`` has 64 bits."""

    group: int
    shard: int
    key_hash: int


class AccountDirectory(Protocol):
    """Look up the client account of an API key."""

    def lookup(self, key_hash: str) -> AccountSettings | None:
        """Return the account of the active API key with this hexadecimal SHA-256."""


class Quotas(Protocol):
    """Take tokens from the rate limits of client accounts."""

    async def take(self, account: str, deadline: float) -> QuotaRefusal | None:
        """Take one token, waiting at most until ``deadline`` (trio's clock)."""


class Permits(Protocol):
    """Obtain permits from coordinators and return them."""

    async def acquire(self, request: PermitRequest) -> Permit | PermitRefused:
        """Wait for a permit; cancelling the call withdraws the permit request."""

    def give_back(self, returned: PermitReturn) -> trio.Event | None:
        """Queue the return of a permit without waiting; never fail.

        The returned event is set once a coordinator has accepted the return. If the
        return carries the response to a request with an idempotency key, the event
        is set once that response is durable.
        """


class Placement(Protocol):
    """Find the group and shard of a request."""

    def locate(
        self, service: ServiceSettings, routing_key: str, affinity: int
    ) -> GroupLocation:
        """Return the location, from ``affinity`` if the service is not keyed."""
