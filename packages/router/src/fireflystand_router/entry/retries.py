"""Bound the extra load that retries cause."""

from collections import defaultdict

__all__ = ["RetryBudget"]

RETRY_SHARE = 0.1  # retries per request
RETRY_RESERVE = 10.0  # retries available to a service after a quiet time


class RetryBudget:
    """Allow retries as a share of each service's requests."""

    def __init__(self, share: float = RETRY_SHARE, reserve: float = RETRY_RESERVE):
        self._share = share
        self._reserve = reserve
        self._left_by_service: dict[str, float] = defaultdict(lambda: reserve)

    def add_request(self, service: str) -> None:
        """Count a first attempt."""
        left = self._left_by_service[service] + self._share
        self._left_by_service[service] = min(left, self._reserve)

    def allow(self, service: str) -> bool:
        """Take one retry from the budget if it holds one."""
        if self._left_by_service[service] < 1:
            return False
        self._left_by_service[service] -= 1
        return True
