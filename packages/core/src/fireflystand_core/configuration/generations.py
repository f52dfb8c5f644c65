"""Describe accepted changes: generations and audit records."""

import attrs
import cattrs

from .model import Deployment

__all__ = ["AuditRecord", "CurrentPointer", "Generation", "generation_key"]


@attrs.frozen
class AuditRecord:
    """Record who changed what and why; embedded in what the change writes."""

    operation_id: str
    who: str
    when: str  # UTC, ISO 8601
    before: str
    after: str
    why: str = ""

    def to_value(self) -> dict:
        """Return the record as the store holds it."""
        return {
            "operation_id": self.operation_id,
            "who": self.who,
            "when": self.when,
            "from": self.before,
            "to": self.after,
            "why": self.why,
        }

    @classmethod
    def from_value(cls, value: dict | None) -> "AuditRecord":
        """Return the record that the store holds, empty for a seeded object."""
        if value is None:
            return cls("", "unknown", "", "", "")
        return cls(
            value["operation_id"],
            value["who"],
            value["when"],
            value["from"],
            value["to"],
            value.get("why", ""),
        )


@attrs.frozen
class CurrentPointer:
    """Point at the generation in effect; the object ``config/current``."""

    generation: int
    operation_id: str
    object: str
    audit: AuditRecord

    def to_value(self) -> dict:
        """Return the pointer as the store holds it."""
        return {
            "generation": self.generation,
            "operation_id": self.operation_id,
            "object": self.object,
            "audit": self.audit.to_value(),
        }

    @classmethod
    def from_value(cls, value: dict) -> "CurrentPointer":
        """Return the pointer that the store holds."""
        audit = AuditRecord.from_value(value.get("audit"))
        return cls(value["generation"], value["operation_id"], value["object"], audit)


@attrs.frozen
class Generation:
    """Hold one immutable version; ``previous`` is the operation before it."""

    generation: int
    operation_id: str
    previous: str
    deployment: Deployment
    audit: AuditRecord

    def to_value(self) -> dict:
        """Return the generation as the store holds it."""
        return {
            "generation": self.generation,
            "operation_id": self.operation_id,
            "previous": self.previous,
            "deployment": cattrs.unstructure(self.deployment),
            "audit": self.audit.to_value(),
        }

    @classmethod
    def from_value(cls, value: dict) -> "Generation":
        """Return the generation that the store holds.

        A deployment that was seeded without the command line has no more fields.
        """
        return cls(
            value.get("generation", 1),
            value.get("operation_id", ""),
            value.get("previous", ""),
            cattrs.structure(value["deployment"], Deployment),
            AuditRecord.from_value(value.get("audit")),
        )


def generation_key(operation_id: str) -> str:
    """Return the store key of a generation."""
    return f"config/generations/{operation_id}"
