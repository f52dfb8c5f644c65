"""Decide who may call and how often."""

from .bucket import TokenBucket
from .coordinator import AccountQuota, QuotaCoordinator
from .holder import QuotaHolder, Refused, Verdict
from .keys import KeyRegistry, KeyState, hash_api_key

__all__ = [
    "AccountQuota",
    "KeyRegistry",
    "KeyState",
    "QuotaCoordinator",
    "QuotaHolder",
    "Refused",
    "TokenBucket",
    "Verdict",
    "hash_api_key",
]
