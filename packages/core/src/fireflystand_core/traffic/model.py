"""Describe routes, services, client accounts and targets of a deployment."""

from enum import Enum

import attrs

__all__ = [
    "ClientAccount",
    "EntryLimits",
    "RequestKind",
    "Route",
    "ServicePolicy",
    "TargetRecord",
    "WeightedService",
]


class RequestKind(Enum):
    """Tell whether a request may run more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"

    @property
    def repeatable(self) -> bool:
        """Tell whether a request that may have run may be sent again."""
        return self is not RequestKind.UNSAFE


@attrs.frozen
class WeightedService:
    """Name a service and its part of a route's requests."""

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """Route requests of a host and path prefix to services; times in seconds."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout: float
    target_latency: float
    priority: int = 0  # 0 is the most urgent
    max_attempts: int = 1
    public: bool = False


@attrs.frozen
class ServicePolicy:
    """Hold the operators' settings of a service; times in seconds."""

    name: str
    keyed: bool = False
    health_path: str = "/health"
    max_connections: int = 16
    warmup: float = 0.0
    warmup_rate: float = 0.0  # requests a second to a cold target; 0 is no limit


@attrs.frozen
class ClientAccount:
    """Hold an account with its API keys; a rate of 0 is no limit."""

    name: str
    api_keys: tuple[str, ...]
    priority: int | None = None
    rate: float = 0.0  # requests a second
    burst: float = 0.0  # requests


@attrs.frozen
class EntryLimits:
    """Bound what a caller may send, and how long it may take, in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout: float = 10.0
    idle_timeout: float = 60.0


@attrs.frozen
class TargetRecord:
    """Hold a target's report on itself; ``started_at`` identifies its process."""

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    started_at: int = 0  # Unix milliseconds
    cold_for: float = 0.0  # seconds, at the time of the report
    version: int = 0  # revision of the target record
    software: str = ""  # version of the program that it runs; empty if unknown
