"""Define the durable record of a group."""

from collections.abc import Mapping
from typing import Any, Self

import attrs

from fireflystand_core.sharding import format_shards, parse_shards

__all__ = ["MAX_OVERRIDES", "MAX_SUSPECTS", "GroupRecord", "Predecessor"]

MAX_OVERRIDES = 64
MAX_SUSPECTS = 64
MAX_PREDECESSORS = 1024  # each takes about 150 bytes of the 1 MB of a value


@attrs.frozen
class Predecessor:
    """Name an epoch whose authority may not have ended and its witnesses."""

    epoch: int
    witnesses: Mapping[str, str]


@attrs.frozen
class GroupRecord:
    """Hold claim and assignment; each method returns the record to write next.

    ``overrides`` maps the hash of a hot key to the number of a shard of its own,
    which ``owners`` assigns like any other. ``predecessors`` names the epochs that
    nobody has sealed yet: a successor that seals only the last epoch would leave an
    earlier one able to act if the last coordinator died before it sealed.
    """

    epoch: int
    coordinator: str
    incarnation: str
    witnesses: Mapping[str, str]  # incarnations by instance
    owners: Mapping[int, str] = attrs.field(factory=dict)
    overrides: Mapping[int, int] = attrs.field(factory=dict)
    suspects: tuple[str, ...] = ()
    predecessors: tuple[Predecessor, ...] = ()
    operation_id: str = ""

    def __attrs_post_init__(self) -> None:
        if len(self.overrides) > MAX_OVERRIDES:
            raise ValueError(f"{len(self.overrides)} overrides exceed {MAX_OVERRIDES}")
        if len(self.suspects) > MAX_SUSPECTS:
            raise ValueError(f"{len(self.suspects)} suspects exceed {MAX_SUSPECTS}")

    @classmethod
    def first(
        cls, coordinator: str, incarnation: str, witnesses: Mapping[str, str], op: str
    ) -> Self:
        """Return the first record of a group."""
        return cls(1, coordinator, incarnation, dict(witnesses), operation_id=op)

    def claim(
        self, coordinator: str, incarnation: str, witnesses: Mapping[str, str], op: str
    ) -> Self:
        """Return the record that claims the next epoch."""
        predecessors = (*self.predecessors, Predecessor(self.epoch, self.witnesses))
        if len(predecessors) > MAX_PREDECESSORS:
            raise ValueError(f"{len(predecessors)} epochs wait to be sealed")
        return attrs.evolve(
            self,
            epoch=self.epoch + 1,
            coordinator=coordinator,
            incarnation=incarnation,
            witnesses=dict(witnesses),
            predecessors=predecessors,
            operation_id=op,
        )

    def move(self, targets_by_shard: Mapping[int, str], op: str) -> Self:
        """Return the record after shards were released and moved."""
        owners = {**self.owners, **targets_by_shard}
        return attrs.evolve(self, owners=owners, operation_id=op)

    def override(
        self, added: Mapping[int, tuple[int, str]], removed: frozenset[int], op: str
    ) -> Self:
        """Return the record after keys got or lost a shard of their own.

        ``added`` maps key hashes to shard and target. The epoch rises, so that the
        previous owner refuses a request for the key that was permitted before.
        """
        overrides = {k: s for k, s in self.overrides.items() if k not in removed}
        dropped = {self.overrides[k] for k in removed if k in self.overrides}
        owners = {s: t for s, t in self.owners.items() if s not in dropped}
        for key, (shard, target) in added.items():
            overrides[key] = shard
            owners[shard] = target
        return attrs.evolve(
            self,
            epoch=self.epoch + 1,
            overrides=overrides,
            owners=owners,
            operation_id=op,
        )

    def settle(self, op: str) -> Self:
        """Return the record once no earlier epoch can act any more."""
        return attrs.evolve(self, predecessors=(), operation_id=op)

    def suspect(self, fingerprints: tuple[str, ...], op: str) -> Self:
        """Return the record with the newest crash suspects."""
        known = [f for f in self.suspects if f not in fingerprints]
        suspects = tuple([*known, *fingerprints][-MAX_SUSPECTS:])
        return attrs.evolve(self, suspects=suspects, operation_id=op)

    def to_value(self) -> dict[str, Any]:
        """Return the JSON value that the store keeps."""
        shards_by_target: dict[str, list[int]] = {}
        for shard, target in self.owners.items():
            shards_by_target.setdefault(target, []).append(shard)
        return {
            "epoch": self.epoch,
            "coordinator": {"id": self.coordinator, "incarnation": self.incarnation},
            "witnesses": dict(self.witnesses),
            "owners": {t: format_shards(s) for t, s in shards_by_target.items()},
            "overrides": {f"{k:016x}": s for k, s in self.overrides.items()},
            "suspects": list(self.suspects),
            "predecessors": [
                {"epoch": p.epoch, "witnesses": dict(p.witnesses)}
                for p in self.predecessors
            ],
            "operation_id": self.operation_id,
        }

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> Self:
        """Return the record that a JSON value holds."""
        owners = {
            shard: target
            for target, text in value["owners"].items()
            for shard in parse_shards(text)
        }
        return cls(
            value["epoch"],
            value["coordinator"]["id"],
            value["coordinator"]["incarnation"],
            dict(value["witnesses"]),
            owners,
            {int(key, 16): shard for key, shard in value["overrides"].items()},
            tuple(value["suspects"]),
            tuple(
                Predecessor(p["epoch"], dict(p["witnesses"]))
                for p in value["predecessors"]
            ),
            value["operation_id"],
        )
