"""Distribute the requests of a route over weighted services."""

from random import Random

import attrs

from .model import Route, WeightedService

__all__ = ["WeightedChoice"]

MAX_SKIPPED_CHOICES = 100


@attrs.define
class WeightedChoice:
    """Choose by smooth weighted round robin, so that short runs match the weights.

    Each instance begins at a random position. Otherwise a few requests at each of many
    instances would all go to the same service.
    """

    _random: Random
    _credits_by_service: dict[str, float] = attrs.field(factory=dict)
    _services: tuple[WeightedService, ...] = ()

    def choose(self, route: Route) -> str:
        """Return the service for the next request of the route."""
        if len(route.services) == 1:
            return route.services[0].service
        if route.services != self._services:
            self._services = route.services
            self._credits_by_service = {}
            for _ in range(self._random.randrange(MAX_SKIPPED_CHOICES)):
                self._choose_next(route)
        return self._choose_next(route)

    def _choose_next(self, route: Route) -> str:
        credits = self._credits_by_service
        total = sum(candidate.weight for candidate in route.services)
        for candidate in route.services:
            credits[candidate.service] = (
                credits.get(candidate.service, 0.0) + candidate.weight
            )
        best = max(route.services, key=lambda candidate: credits[candidate.service])
        credits[best.service] -= total
        return best.service
