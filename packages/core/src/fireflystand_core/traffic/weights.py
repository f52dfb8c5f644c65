"""Divide the requests of a route among weighted services."""

import attrs

from .model import Route, WeightedService

__all__ = ["WeightedChoice"]


@attrs.define
class WeightedChoice:
    """Choose by smooth weighted round robin, so that short spans keep the shares."""

    _credits_by_service: dict[str, float] = attrs.field(factory=dict)
    _services: tuple[WeightedService, ...] = ()

    def choose(self, route: Route) -> str:
        """Return the service for the next request of the route."""
        if len(route.services) == 1:
            return route.services[0].service
        if route.services != self._services:
            self._services = route.services
            self._credits_by_service = {}
        credits = self._credits_by_service
        total = sum(part.weight for part in route.services)
        for part in route.services:
            credits[part.service] = credits.get(part.service, 0.0) + part.weight
        best = max(route.services, key=lambda part: credits[part.service])
        credits[best.service] -= total
        return best.service
