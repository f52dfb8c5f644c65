"""Define the interfaces to the platform and the settings of an instance."""

import math
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from fireflystand_core.ranges import KeyRange, LeaseTiming
from fireflystand_core.replica import ObjectChange
from fireflystand_core.traffic import RoutingTable, TargetRecord

from ..entry import CallerOptions
from ..fields import Fields
from ..forward import TargetOptions

__all__ = [
    "CONFIGURATION",
    "DEPARTURES",
    "INSTANCES",
    "KINDS",
    "RANGES",
    "ROLLOUTS",
    "ROLLOUT_KINDS",
    "ROLLOUT_RECORDS",
    "TARGETS",
    "CallerFields",
    "DispatchBounds",
    "DispatchSettings",
    "GrantRefusedError",
    "KindSnapshot",
    "ReadTable",
    "ReadTarget",
    "StorePort",
    "TargetControlPort",
    "TargetFields",
]

CONFIGURATION = "configuration"
DEPARTURES = "departures"  # data centres whose targets get no new work
TARGETS = "targets"
RANGES = "ranges"
INSTANCES = "instances"
KINDS = (CONFIGURATION, DEPARTURES, TARGETS, RANGES, INSTANCES)
ROLLOUTS = "rollouts"  # orders to move a service to another version
ROLLOUT_RECORDS = "rollout_records"  # how far each order has come
# Followed only by instances whose settings ask for rollouts.
ROLLOUT_KINDS = (ROLLOUTS, ROLLOUT_RECORDS)


@attrs.frozen
class KindSnapshot:
    """Hold the objects, or the changes, of a kind up to a store revision."""

    revision: int
    items: list[ObjectChange]


class StorePort(Protocol):
    """Access the object store.

    Every method raises StoreUnavailableError if the store refused the call or its
    response did not arrive. A write may still take effect then, even later.
    """

    async def list(self, kind: str) -> KindSnapshot:
        """Return all objects of a kind."""

    async def watch(self, kind: str, since: int, wait: float) -> KindSnapshot | None:
        """Return the changes after revision ``since``, as a long poll.

        Wait up to ``wait`` seconds for a change. Return None if the store no longer
        has all changes since that revision.
        """

    async def get(self, kind: str, name: str) -> ObjectChange | None:
        """Return the latest version of an object."""

    async def put(self, kind: str, name: str, value: Any, version: int | None) -> int:
        """Write an object and return its new version.

        ``version`` is the stored version that the write replaces: 0 creates the
        object, None overwrites any version. Raise StoreConflictError if the store has
        another version.
        """

    async def put_status(self, kind: str, name: str, status: Any, version: int) -> int:
        """Write only the status of an object and return its new version.

        Raise StoreConflictError if the store has another version than ``version``.
        """

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object of the given version."""

    async def close(self) -> None:
        """Close all connections."""


class GrantRefusedError(Exception):
    """Raised if a target refused a grant because it knows a higher fence."""


class TargetControlPort(Protocol):
    """Grant key ranges to targets and revoke them.

    Every method raises ConnectionFailedError if no response arrived. The target may
    have acted on the call then, or may act on it later.
    """

    async def grant(self, address: str, item: KeyRange, lease: float) -> None:
        """Grant a lease of a range for ``lease`` seconds from the call's arrival."""

    async def reach(self, address: str, target: str) -> bool:
        """Check that the target with the id responds at the address.

        Return whether its response tells if it is cold. A target that says that it is
        cold is reported before the call returns.
        """

    async def release(self, address: str, item: KeyRange, timeout: float) -> str:
        """Revoke a target's lease; return its handover once its work has ended."""

    async def close(self) -> None:
        """Close all connections."""


ReadTable = Callable[[Any], RoutingTable]
ReadTarget = Callable[[ObjectChange], TargetRecord | None]


@attrs.frozen
class CallerFields:
    """Hold the names of the request fields that callers send, in lower case."""

    request_id: bytes = b"fireflystand-request-id"
    deadline: bytes = b"fireflystand-deadline-ms"
    routing_key: bytes = b"fireflystand-routing-key"
    authorization: bytes = b"authorization"
    scheme: bytes = b"bearer"


@attrs.frozen
class TargetFields:
    """Hold the names of the request fields that the router sets for targets.

    ``read_load`` returns the target's load as its response fields report it, and
    ``states_leaving`` tells whether they state that the target leaves. ``read_pause``
    returns for how many seconds a response with a status asks for no more requests.
    """

    account: bytes = b"Fireflystand-Client-Account"
    expected_target: bytes = b"Fireflystand-Target"
    read_load: Callable[[Fields], list[float] | None] = lambda fields: None
    states_leaving: Callable[[Fields], bool] = lambda fields: False
    read_pause: Callable[[int, Fields], float] = lambda status, fields: 0.0


@attrs.frozen
class DispatchBounds:
    """Hold the limits that operators set; times in seconds."""

    api_key_withdrawal: float = 5.0  # until a withdrawn API key is refused everywhere
    retry_share: float = 0.1  # retries, as a fraction of all requests
    retry_burst: float = 20.0  # further retries in 10 s, over all instances
    stop_grace: float = 6.0  # from the signal to stop to the end of the process
    # From the store's acknowledgement of a change until all instances act on it.
    configuration_apply: float = 2.0
    target_departure: float = 2.0
    data_centre_departure: float = 5.0
    lease_timing: LeaseTiming = attrs.field(factory=LeaseTiming)
    max_lease: float = 10.0
    # Of the requests to a cold target within any second, from all instances.
    warmup_overage: float = 1.5  # as a multiple of its warm-up rate
    warmup_slack: float = 5.0  # beyond that
    # Of a service's requests, those that a new version may get before it is judged.
    exposure_share: float = 0.1
    exposure_slack: float = 50.0  # requests beyond that
    rollback: float = 5.0  # from the evidence against a version to its last request
    rollout_change: float = 2.0

    def warmup_limit(self, rate: float) -> float:
        """Return the most requests to a cold target of a warm-up rate in a second."""
        return self.warmup_overage * rate + self.warmup_slack

    @property
    def change_limits_by_kind(self) -> dict[str, float]:
        """Return within how many seconds a change of a kind has to take effect."""
        return {
            CONFIGURATION: self.configuration_apply,
            TARGETS: self.target_departure,
            DEPARTURES: self.data_centre_departure,
            ROLLOUTS: self.rollout_change,
            ROLLOUT_RECORDS: self.rollout_change,
        }


@attrs.frozen
class DispatchSettings:
    """Hold the settings of one instance; addresses are ``IP:port``."""

    instance: str
    data_centre: str
    caller_address: str
    ready_address: str
    peer_address: str
    metrics_address: str = ""
    seeds: tuple[str, ...] = ()
    capacity: float = 0.0  # of processor and network link, in processor cores
    bounds: DispatchBounds = attrs.field(factory=DispatchBounds)
    caller_options: CallerOptions = attrs.field(factory=CallerOptions)
    caller_fields: CallerFields = attrs.field(factory=CallerFields)
    target_options: TargetOptions = attrs.field(factory=TargetOptions)
    target_fields: TargetFields = attrs.field(factory=TargetFields)
    ready_path: str = "/fireflystand/v1/ready"
    # For requests and responses of callers; infinite if the memory has no known limit.
    buffered_bytes: float = math.inf
    # Whether the whole system starts for the first time, so that no lease of a target
    # can hold that the store does not tell of.
    is_first_start: bool = False
    # Whether the instance acts on orders to move a service to another version.
    follows_rollouts: bool = False
