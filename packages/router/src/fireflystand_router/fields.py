"""Remove the hop-by-hop fields of a message (RFC 9110, section 7.6)."""

from collections.abc import Iterable

__all__ = ["ROUTER_PREFIX", "VIA", "Fields", "end_to_end_fields"]

Fields = list[tuple[bytes, bytes]]

ROUTER_PREFIX = b"fireflystand-"
VIA = (b"Via", b"1.1 fireflystand")

_HOP_BY_HOP = frozenset(
    [
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authentication-info",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    ]
)
# A Connection field must not remove the fields that route or frame the message.
_PROTECTED = frozenset([b"content-length", b"host"])


def end_to_end_fields(
    fields: Iterable[tuple[bytes, bytes]], *, without: frozenset[bytes] = frozenset()
) -> Fields:
    """Return the fields to forward; names in ``fields`` are in lower case."""
    items = list(fields)
    dropped = _HOP_BY_HOP | without
    for name, value in items:
        if name == b"connection":
            named = {part.strip().lower() for part in value.split(b",")}
            dropped = dropped | (named - _PROTECTED)
    return [
        (name, value)
        for name, value in items
        if name not in dropped and not name.startswith(ROUTER_PREFIX)
    ]
