"""Look up the route and the account of a request in one configuration."""

from collections.abc import Iterable

from .model import ClientAccount, EntryLimits, Route, ServicePolicy

__all__ = ["RoutingTable"]


class RoutingTable:
    """Index one version of the operators' configuration."""

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[ServicePolicy],
        accounts: Iterable[ClientAccount],
        limits: EntryLimits,
    ) -> None:
        self.version = version
        self.limits = limits
        self.services_by_name = {service.name: service for service in services}
        self.accounts_by_name = {account.name: account for account in accounts}
        self._accounts_by_key = {
            key: account
            for account in self.accounts_by_name.values()
            for key in account.api_keys
        }
        self.routes_by_name: dict[str, Route] = {}
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self.routes_by_name[route.name] = route
            by_prefix = self._routes_by_host.setdefault(route.host.lower(), {})
            by_prefix[route.prefix] = route

    @property
    def needs_api_key(self) -> bool:
        """Tell whether requests on routes that are not public need an API key."""
        return bool(self.accounts_by_name)

    @property
    def limits_by_capacity(self) -> bool:
        """Tell whether only the targets' capacity bounds what callers send."""
        return not self.accounts_by_name

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path.

        Prefixes end with a slash, so one lookup for each slash of the path is
        enough, however many routes there are.
        """
        by_prefix = self._routes_by_host.get(host.lower())
        if by_prefix is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def account(self, api_key: str) -> ClientAccount | None:
        """Return the account that holds an API key."""
        return self._accounts_by_key.get(api_key)
