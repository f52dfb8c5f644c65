"""Define the deployment that one configuration generation declares."""

import attrs

__all__ = [
    "AccountSettings",
    "DataCentreSettings",
    "Deployment",
    "JournalSettings",
    "RouteSettings",
    "ServiceSettings",
    "TargetSettings",
]


@attrs.frozen
class DataCentreSettings:
    """Declare a data centre."""

    id: str
    region: str


@attrs.frozen
class TargetSettings:
    """Declare a target; ``slots`` and ``connections`` bound all instances together.

    ``checks_epoch`` tells that the target takes fenced grants and refuses requests
    of an old epoch.
    """

    id: str
    address: str
    data_centre: str
    slots: int
    connections: int
    checks_epoch: bool = True


@attrs.frozen
class ServiceSettings:
    """Declare a service; times are in seconds."""

    id: str
    keyed: bool
    targets_by_id: dict[str, TargetSettings]
    shards: int = 512
    groups: int = 1
    deadline: float = 10.0
    max_deadline: float = 60.0


@attrs.frozen
class RouteSettings:
    """Map a path prefix to a service.

    ``routing_key_segment`` is the index of the path segment that holds the routing
    key; without it the key comes in ``Fireflystand-Routing-Key``. ``idempotent``
    overrides what the method says.
    """

    path: str
    service: str
    open: bool = False
    idempotent: bool | None = None
    routing_key_segment: int | None = None
    max_body_bytes: int = 10 * 1024 * 1024


@attrs.frozen
class AccountSettings:
    """Declare a client account; ``rate`` is in requests a second."""

    id: str
    rate: float
    burst: float
    services: tuple[str, ...]


@attrs.frozen
class JournalSettings:
    """Declare how long outcomes are kept, in seconds, and by how many writers."""

    groups: int = 2
    retention: float = 600.0


@attrs.frozen
class Deployment:
    """Hold everything that one generation declares."""

    name: str
    data_centres_by_id: dict[str, DataCentreSettings]
    services_by_id: dict[str, ServiceSettings]
    accounts_by_id: dict[str, AccountSettings]
    routes: tuple[RouteSettings, ...]
    journal: JournalSettings = JournalSettings()
    account_groups: int = 4
