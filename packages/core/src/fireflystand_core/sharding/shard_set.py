"""Read and write sets of shards as text such as ``0-31,64``."""

from collections.abc import Iterable

__all__ = ["format_shards", "parse_shards"]


def format_shards(shards: Iterable[int]) -> str:
    """Return the text form of a set of shards."""
    ranges: list[list[int]] = []
    for shard in sorted(set(shards)):
        if ranges and ranges[-1][1] == shard - 1:
            ranges[-1][1] = shard
        else:
            ranges.append([shard, shard])
    return ",".join(str(a) if a == b else f"{a}-{b}" for a, b in ranges)


def parse_shards(text: str) -> frozenset[int]:
    """Return the shards that a text form names; raise ValueError if malformed."""
    shards: set[int] = set()
    for part in filter(None, text.split(",")):
        first, separator, last = part.partition("-")
        low, high = int(first), int(last if separator else first)
        if low > high:
            raise ValueError(f"shard range {part!r} runs backwards")
        shards.update(range(low, high + 1))
    return frozenset(shards)
