"""Pack journal entries into segments of the object store."""

from base64 import b64decode, b64encode

import attrs
import msgpack

from fireflystand_core.messages import JournalEntry, StoredAnswer

__all__ = [
    "BUCKET",
    "MAX_BATCH_BYTES",
    "Segment",
    "bucket_prefixes",
    "decode_batch",
    "encode_batch",
    "first_number",
    "is_expired",
    "segment_key",
]

ROLL_BYTES = 128 * 1024  # a full rewrite per commit stays short
MAX_BATCH_BYTES = 512 * 1024  # under the store's 1 MB once in base64
# The number of a segment begins with the time of its first entry, so that a reader
# lists the segments within the retention only.
BUCKET = 120  # seconds
SEGMENTS_PER_BUCKET = 10_000
CLOCK_SLACK = 60.0  # seconds between the wall clocks of two instances


def segment_key(writer: int, number: int) -> str:
    """Return the store key of a segment; keys sort by number."""
    return f"journal/{writer}/{number:012d}"


def first_number(wall: float) -> int:
    """Return the lowest number of a segment that begins now."""
    return int(wall // BUCKET) * SEGMENTS_PER_BUCKET


def bucket_prefixes(writer: int, wall: float, retention: float) -> list[str]:
    """Return the prefixes of all keys that hold entries within the retention.

    A segment takes entries for one bucket, and its writer's clock may differ.
    """
    first = int((wall - retention - CLOCK_SLACK) // BUCKET) - 1
    last = int((wall + CLOCK_SLACK) // BUCKET)
    keys = [
        segment_key(writer, n * SEGMENTS_PER_BUCKET) for n in range(first, last + 1)
    ]
    return [key[: -len(str(SEGMENTS_PER_BUCKET)) + 1] for key in keys]


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

    def fits(self, batch: str, wall: float) -> bool:
        """Tell whether a batch may still be added now."""
        if self.number < first_number(wall):
            return False
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
