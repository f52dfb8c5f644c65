"""Parse callers' requests by the configured names of header fields."""

import re
import secrets

import attrs
import h11
import xxhash

from fireflystand_core.ranges import KEY_SPACE

from ..entry import RequestRefusedError
from ..fields import Fields, end_to_end_fields
from .ports import CallerFields, TargetFields

__all__ = ["IncomingRequest", "RequestReader"]

DEFAULT_DEADLINE = 30.0  # seconds; for requests without a deadline field
_DECIMAL = re.compile(rb"[0-9]{1,9}")
_REFUSED_METHODS = frozenset([b"CONNECT", b"TRACE"])


@attrs.define(eq=False)
class IncomingRequest:
    """Hold a parsed request; ``deadline`` is the time left in seconds."""

    id: str
    method: bytes
    target: bytes
    host: str
    path: str
    api_key: str | None
    routing_key: int | None
    deadline: float
    fields: Fields

    def fingerprint(self, account: str, body: bytes) -> int:
        """Return a hash that is the same for all retries of the request."""
        digest = xxhash.xxh3_64(account.encode())
        for part in (self.method, self.target, body):
            digest.update(b"\0" + part)
        return digest.intdigest()


class RequestReader:
    """Parse requests and select the fields that are forwarded."""

    def __init__(self, names: CallerFields, target_names: TargetFields) -> None:
        self._names = names
        self._dropped_fields = frozenset(
            [
                names.authorization,
                names.deadline,
                target_names.account.lower(),
                target_names.expected_target.lower(),
                b"content-length",
                b"expect",
            ]
        )

    def read(self, event: h11.Request) -> IncomingRequest:
        """Return the request of a header section.

        Raise RequestRefusedError if the method or the request target is not supported.
        """
        values: dict[bytes, bytes] = {}
        for name, value in event.headers:
            values.setdefault(name, value)
        target = bytes(event.target)
        if event.method in _REFUSED_METHODS or not target.startswith(b"/"):
            raise RequestRefusedError(400, "request target is not a path", close=True)
        path = target.partition(b"?")[0].decode("latin-1")
        names = self._names
        request_id = values.get(names.request_id, b"").decode("latin-1")
        return IncomingRequest(
            id=request_id or secrets.token_hex(8),
            method=bytes(event.method),
            target=target,
            host=_host(values.get(b"host", b"")),
            path=path,
            api_key=self._api_key(values.get(names.authorization)),
            routing_key=_routing_key(values.get(names.routing_key)),
            deadline=_deadline(values.get(names.deadline)),
            fields=end_to_end_fields(event.headers, without=self._dropped_fields),
        )

    def _api_key(self, value: bytes | None) -> str | None:
        if value is None:
            return None
        scheme, _, key = value.strip().partition(b" ")
        if scheme.lower() != self._names.scheme:
            return None
        return key.strip().decode("latin-1")


def _host(value: bytes) -> str:
    host = value.decode("latin-1").strip().lower()
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def _routing_key(value: bytes | None) -> int | None:
    if value is None or not _DECIMAL.fullmatch(value):
        return None
    key = int(value)
    return key if key < KEY_SPACE else None


def _deadline(value: bytes | None) -> float:
    if value is None or not _DECIMAL.fullmatch(value):
        return DEFAULT_DEADLINE
    return int(value) / 1000
