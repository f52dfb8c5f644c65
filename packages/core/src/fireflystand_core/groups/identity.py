"""Name a group and explain its decisions."""

import attrs

__all__ = ["Explanation", "GroupIdentity"]


@attrs.frozen
class GroupIdentity:
    """Name a group, its shards and the instance that coordinates it."""

    service: str
    group: int
    shards: tuple[int, ...]
    instance: str
    incarnation: str
    total_shards: int = 512
    groups: int = 1
    policy: str = "minimal_move"
    max_deadline: float = 60.0  # seconds

    @property
    def owner_name(self) -> str:
        """Return the name of the process, which starts its operation ids."""
        return f"{self.instance}/{self.incarnation}"


@attrs.frozen
class Explanation:
    """Tell who owns a key and why it is served or not; times are in seconds."""

    shard: int
    owner: str | None
    epoch: int
    served: bool
    reason: str
    lease_left: float
    moves: tuple[tuple[int, str | None, str, str], ...]
