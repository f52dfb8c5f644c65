"""Check HTTP/1.1 message framing more strictly than h11 does."""

import re

from fireflystand_core.exceptions import ProtocolError

__all__ = [
    "FINAL_STATUSES",
    "HEADER_LIMIT",
    "MalformedMessageError",
    "RequestFramer",
    "content_length",
    "parse_framing_fields",
]

HEADER_LIMIT = 16 * 1024  # bytes
# RFC 9110 section 15: others are invalid. h11 accepts statuses up to 999.
FINAL_STATUSES = range(200, 600)  # of final responses
CHUNK_LINE_LIMIT = 256  # bytes
TRAILER_LIMIT = 4 * 1024  # bytes

_CONTENT_LENGTH = re.compile(rb"[0-9]{1,18}")
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})(?:;[\t\x20-\x7e]*)?")
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_FIELD_START = re.compile(rb"[-!#$%&'*+.^_`|~0-9a-zA-Z]+:")
_FORBIDDEN_CHARACTER = re.compile(
    rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r(?!\n)|(?<!\r)\n"
)
_MALFORMED_FIELD = re.compile(rb"\r\n(?![-!#$%&'*+.^_`|~0-9a-zA-Z]+:)(?!\Z)")
_FRAMING_FIELD = re.compile(
    rb"\r\n(content-length|transfer-encoding):([^\r]*)", re.IGNORECASE
)
_REQUEST_LINE = re.compile(
    rb"[-!#$%&'*+.^_`|~0-9a-zA-Z]{1,32} [\x21-\x22\x24-\x7e]+ HTTP/1\.[01]"
)


class MalformedMessageError(ProtocolError):
    """Report a malformed or ambiguous message; ``status`` is that of the refusal."""

    def __init__(self, message: str, *, status: int = 400, peer: str = "") -> None:
        super().__init__(message, step="framing", peer=peer)
        self.status = status


def parse_framing_fields(head: bytes) -> dict[bytes, list[bytes]]:
    """Return the framing fields of a header section that ends with an empty line.

    Raise MalformedMessageError for bare CR or LF, folded lines, control
    characters, and framing fields that contradict each other.
    """
    if _FORBIDDEN_CHARACTER.search(head):
        raise MalformedMessageError("control character in header section")
    if _MALFORMED_FIELD.search(head, 0, len(head) - 2):
        raise MalformedMessageError("malformed or folded field line")
    framing_fields: dict[bytes, list[bytes]] = {}
    for name, value in _FRAMING_FIELD.findall(head):
        framing_fields.setdefault(name.lower(), []).append(value.strip(b" \t"))
    _check_framing_fields(framing_fields)
    return framing_fields


def _check_framing_fields(framing_fields: dict[bytes, list[bytes]]) -> None:
    lengths = framing_fields.get(b"content-length", [])
    codings = framing_fields.get(b"transfer-encoding", [])
    if len(lengths) > 1:
        raise MalformedMessageError("more than one Content-Length")
    if lengths and codings:
        raise MalformedMessageError("Content-Length with Transfer-Encoding")
    if lengths and not _CONTENT_LENGTH.fullmatch(lengths[0]):
        raise MalformedMessageError("malformed Content-Length")
    if len(codings) > 1 or (codings and codings[0].lower() != b"chunked"):
        raise MalformedMessageError("unsupported Transfer-Encoding")


def content_length(framing_fields: dict[bytes, list[bytes]]) -> int | None:
    """Return the body length that the framing fields declare; None if chunked."""
    if b"transfer-encoding" in framing_fields:
        return None
    return int(framing_fields.get(b"content-length", [b"0"])[0])


class RequestFramer:
    """Split a caller's byte stream into the header sections and bodies of requests."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.length: int | None = 0  # bytes of the current body, None if chunked
        self.complete = True
        self.method = b""  # of the current request, even if it is malformed
        self._searched_size = 0
        self._remaining = 0
        self._read_part = self._read_length

    def read_header_section(self, limit: int = HEADER_LIMIT) -> bytes | None:
        """Return the next checked header section, or None if more bytes are needed.

        Raise MalformedMessageError if it is larger than ``limit`` bytes.
        """
        buffer = self.buffer
        self.method = b""
        end = buffer.find(b"\r\n\r\n", max(0, self._searched_size - 3))
        if end < 0:
            self._searched_size = len(buffer)
            if len(buffer) > limit:
                raise MalformedMessageError("header section too large", status=431)
            self._check_partial_head()
            return None
        self._searched_size = 0
        if end + 4 > limit:
            raise MalformedMessageError("header section too large", status=431)
        head = bytes(buffer[: end + 4])
        del buffer[: end + 4]
        self._start_body(head)
        return head

    def _check_partial_head(self) -> None:
        # A sender that uses bare LF never sends an empty CRLF line; without this check
        # it would wait for the header timeout.
        position = self.buffer.find(b"\n")
        if position == 0 or (
            position > 0 and self.buffer[position - 1 : position] != b"\r"
        ):
            raise MalformedMessageError("bare LF in header section")
        if self.buffer.startswith(b"\r\n"):
            raise MalformedMessageError("empty line before the request line")

    def _start_body(self, head: bytes) -> None:
        request_line, _, _ = head.partition(b"\r\n")
        if not _REQUEST_LINE.fullmatch(request_line):
            raise MalformedMessageError("malformed request line")
        self.method = request_line.partition(b" ")[0]
        framing_fields = parse_framing_fields(head)
        if b"transfer-encoding" in framing_fields and request_line.endswith(b"1.0"):
            raise MalformedMessageError("Transfer-Encoding in HTTP/1.0")
        self.length = content_length(framing_fields)
        self._remaining = self.length or 0
        self.complete = self.length == 0
        self._read_part = (
            self._read_chunk_line if self.length is None else self._read_length
        )

    def read_body(self) -> bytes:
        """Return checked raw bytes of the body; empty if more bytes are needed."""
        parts = []
        while not self.complete:
            part = self._read_part()
            if not part:
                break
            parts.append(part)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _take(self, size: int) -> bytes:
        part = bytes(self.buffer[:size])
        del self.buffer[:size]
        return part

    def _read_length(self) -> bytes:
        part = self._take(self._remaining)
        self._remaining -= len(part)
        self.complete = self._remaining == 0
        return part

    def _read_line(self, limit: int, part_name: str) -> bytes:
        end = self.buffer.find(b"\n", 0, limit)
        if end < 0:
            if len(self.buffer) >= limit:
                raise MalformedMessageError(f"{part_name} too long")
            return b""
        line = self._take(end + 1)
        if not line.endswith(b"\r\n"):
            raise MalformedMessageError(f"bare LF in {part_name}")
        return line

    def _read_chunk_line(self) -> bytes:
        line = self._read_line(CHUNK_LINE_LIMIT, "chunk size")
        if not line:
            return b""
        match = _CHUNK_LINE.fullmatch(line[:-2])
        if match is None:
            raise MalformedMessageError("malformed chunk size")
        self._remaining = int(match[1], 16)
        self._read_part = (
            self._read_chunk_data if self._remaining else self._read_trailer
        )
        return line

    def _read_chunk_data(self) -> bytes:
        part = self._take(self._remaining)
        self._remaining -= len(part)
        if self._remaining == 0:
            self._read_part = self._read_chunk_end
        return part

    def _read_chunk_end(self) -> bytes:
        if len(self.buffer) < 2:
            if self.buffer and self.buffer[:1] != b"\r":
                raise MalformedMessageError("chunk longer than its size")
            return b""
        if self.buffer[:2] != b"\r\n":
            raise MalformedMessageError("chunk longer than its size")
        self._read_part = self._read_chunk_line
        return self._take(2)

    def _read_trailer(self) -> bytes:
        line = self._read_line(TRAILER_LIMIT, "trailer")
        if line == b"\r\n":
            self.complete = True
        elif line:
            if _CONTROL_CHARACTER.search(line[:-2]) or not _FIELD_START.match(line):
                raise MalformedMessageError("malformed trailer")
            self._remaining += len(line)
            if self._remaining > TRAILER_LIMIT:
                raise MalformedMessageError("trailer too long")
        return line
