"""Pack journal entries into segments of the object store."""

from base64 import b64decode, b64encode

import attrs
import msgpack

from fireflystand_core.messages import JournalEntry, StoredAnswer

__all__ = [
    "MAX_BATCH_BYTES",
    "Segment",
    "decode_batch",
    "encode_batch",
    "is_expired",
    "segment_key",
]

ROLL_BYTES = 128 * 1024  # a full rewrite per commit stays short
MAX_BATCH_BYTES = 512 * 1024  # under the store's 1 MB once in base64


def segment_key(writer: int, number: int) -> str:
    """Return the store key of a segment; keys sort by number."""
    return f"journal/{writer}/{number:012d}"


def encode_batch(entries: list[JournalEntry]) -> str:
    """Return entries as text for a JSON value."""
    packed = msgpack.packb([attrs.asdict(entry) for entry in entries])
    return b64encode(packed).decode()


def decode_batch(text: str) -> list[JournalEntry]:
    """Return the entries of a batch."""
    return [_entry(fields) for fields in msgpack.unpackb(b64decode(text))]


def _entry(fields: dict) -> JournalEntry:
    answer = fields["answer"]
    if answer is not None:
        headers = [tuple(header) for header in answer["headers"]]
        answer = StoredAnswer(answer["status"], headers, answer["body"])
    return JournalEntry(**{**fields, "answer": answer})


@attrs.define
class Segment:
    """Collect batches until a segment is full."""

    number: int
    version: int = 0
    batches: list[str] = attrs.field(factory=list)
    last_written_at: float = 0.0  # seconds since 1970
    operation_id: str = ""
    size: int = 0

    def fits(self, batch: str) -> bool:
        """Tell whether a batch may still be added."""
        if not self.batches:
            return True
        return self.size + len(batch) <= ROLL_BYTES

    def added(self, batch: str, operation_id: str, written_at: float) -> "Segment":
        """Return the segment with one more batch."""
        return Segment(
            self.number,
            self.version,
            [*self.batches, batch],
            max(self.last_written_at, written_at),
            operation_id,
            self.size + len(batch),
        )

    def value(self) -> dict:
        """Return the JSON value of the segment."""
        return {
            "operation_id": self.operation_id,
            "last_written_at": self.last_written_at,
            "batches": self.batches,
        }


def is_expired(value: dict, wall: float, retention: float) -> bool:
    """Tell whether every entry of a segment is past its retention."""
    return value["last_written_at"] + retention < wall
