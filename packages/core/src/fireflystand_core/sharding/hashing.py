"""Hash keys and requests the same way on every instance."""

import xxhash

__all__ = [
    "FINGERPRINT_BODY_BYTES",
    "fingerprint_hash",
    "group_of_shard",
    "key_hash",
    "shard_of_key",
    "stable_hash",
]

FINGERPRINT_BODY_BYTES = 16 * 1024


def stable_hash(*parts: str | bytes) -> int:
    """Return the xxh3-64 hash of length-prefixed parts."""
    digest = xxhash.xxh3_64()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return digest.intdigest()


def key_hash(service: str, key: str) -> int:
    """Return the hash of a routing key of a service."""
    return stable_hash(service, key)


def shard_of_key(hashed_key: int, shards: int) -> int:
    """Return the shard that contains a hashed key."""
    return hashed_key * shards >> 64


def group_of_shard(shard: int, groups: int) -> int:
    """Return the group that coordinates a shard."""
    return shard % groups


def fingerprint_hash(
    account: str, method: str, path: str, routing_key: str, body: bytes
) -> int:
    """Return the hash that tells requests of one account apart."""
    return stable_hash(
        account, method, path, routing_key, body[:FINGERPRINT_BODY_BYTES]
    )
