"""Look up API keys by their hash and authorize accounts for services."""

import hashlib
from enum import StrEnum

import attrs

from fireflystand_core.configuration import AccountSettings

__all__ = ["KeyRegistry", "KeyState", "hash_api_key"]


class KeyState(StrEnum):
    """State whether an API key may be used."""

    ACTIVE = "active"
    WITHDRAWN = "withdrawn"


@attrs.frozen
class _Key:
    account: str
    state: KeyState


def hash_api_key(api_key: str) -> str:
    """Return the SHA-256 of an API key in hexadecimal."""
    return hashlib.sha256(api_key.encode()).hexdigest()


class KeyRegistry:
    """Hold API keys by hash; a withdrawn key never becomes active again."""

    def __init__(self) -> None:
        self._keys_by_hash: dict[str, _Key] = {}

    def put(self, key_hash: str, account: str, state: KeyState) -> None:
        """Add or update an API key unless it has been withdrawn."""
        known = self._keys_by_hash.get(key_hash)
        if known is not None and known.state is KeyState.WITHDRAWN:
            return
        self._keys_by_hash[key_hash] = _Key(account, KeyState(state))

    def remove(self, key_hash: str) -> None:
        """Mark an API key as withdrawn because its object was deleted."""
        known = self._keys_by_hash.get(key_hash)
        account = "" if known is None else known.account
        self.put(key_hash, account, KeyState.WITHDRAWN)

    def account_of(self, api_key: str) -> str | None:
        """Return the account of an active API key."""
        return self.account_of_hash(hash_api_key(api_key))

    def account_of_hash(self, key_hash: str) -> str | None:
        """Return the account of an active API key by its hash."""
        known = self._keys_by_hash.get(key_hash)
        if known is None or known.state is not KeyState.ACTIVE:
            return None
        return known.account

    def admits(self, account: AccountSettings | None, service: str) -> bool:
        """Tell whether an account may call a service."""
        return account is not None and service in account.services
