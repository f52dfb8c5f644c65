"""Check API keys and limit the request rates of client accounts."""

from .bucket import TokenBucket
from .coordinator import AccountQuota, QuotaCoordinator
from .holder import QuotaHolder, Refused, Verdict
from .keys import KeyRegistry, KeyState, hash_api_key
from .shared_rate import SharedTokenBucket, TokenReserve

__all__ = [
    "TokenReserve",
    "AccountQuota",
    "KeyRegistry",
    "KeyState",
    "QuotaCoordinator",
    "QuotaHolder",
    "SharedTokenBucket",
    "Refused",
    "TokenBucket",
    "Verdict",
    "hash_api_key",
]
