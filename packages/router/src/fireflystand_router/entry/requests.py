"""Read a caller's request: route, account, routing key and control fields."""

import hashlib
import re
import secrets
from urllib.parse import unquote_to_bytes, urlsplit

import attrs
import h11
import xxhash

from fireflystand_core.configuration import (
    AccountSettings,
    Deployment,
    RouteSettings,
    ServiceSettings,
)

from ..fields import Fields, end_to_end_fields
from .interfaces import AccountDirectory
from .refusals import RequestRefusedError

__all__ = ["CallerRequest", "find_route", "read_request", "request_fingerprint"]

FINGERPRINT_BYTES = 16 * 1024
IDEMPOTENCY_KEY_LIMIT = 128  # characters
ROUTING_KEY_LIMIT = 512  # characters
IDEMPOTENT_METHODS = frozenset([b"GET", b"HEAD", b"OPTIONS", b"PUT", b"DELETE"])
UNSUPPORTED_METHODS = frozenset([b"CONNECT", b"TRACE"])

_IDEMPOTENCY_KEY = re.compile(rb"[\x21-\x7e]{1,%d}" % IDEMPOTENCY_KEY_LIMIT)
_DEADLINE = re.compile(rb"[0-9]{1,9}")
_BEARER = re.compile(rb"(?i:bearer) +([-._~+/0-9A-Za-z]+=*)")
_DOT_SEGMENT = re.compile(rb"/(?:\.|%2e){1,2}(?:/|$)", re.IGNORECASE)
_DROPPED_FIELDS = frozenset([b"authorization", b"expect", b"content-length"])


@attrs.define(eq=False)
class CallerRequest:
    """Hold a caller's validated request; ``deadline`` is in seconds from now."""

    id: str
    method: bytes
    target: bytes
    fields: Fields
    route: RouteSettings
    service: ServiceSettings
    account: str
    routing_key: str
    idempotent: bool
    deadline: float
    idempotency_key: str | None

    @property
    def path(self) -> bytes:
        """Return the path without the query."""
        return self.target.partition(b"?")[0]


def read_request(
    event: h11.Request, deployment: Deployment, accounts: AccountDirectory
) -> CallerRequest:
    """Parse a request; raise RequestRefusedError if it is invalid or not allowed."""
    fields: dict[bytes, list[bytes]] = {}
    for name, value in event.headers:
        fields.setdefault(name, []).append(value)
    target, fields[b"host"] = _origin_form(event, fields)
    path = target.partition(b"?")[0]
    account = _account_of(fields, accounts)
    route = find_route(deployment, path.decode("ascii"))
    if account is None and not (route and route.open):
        raise RequestRefusedError(
            401, "no valid API key", fields={"WWW-Authenticate": "Bearer"}
        )
    if route is None:
        raise RequestRefusedError(404, "no route for this path")
    if account and not route.open and route.service not in account.services:
        raise RequestRefusedError(403, "account is not admitted to this service")
    service = deployment.services_by_id[route.service]
    _check_expect(fields)
    forwarded = end_to_end_fields(event.headers, without=_DROPPED_FIELDS | {b"host"})
    forwarded.append((b"host", b"".join(fields[b"host"])))
    return CallerRequest(
        id=secrets.token_hex(12),
        method=event.method,
        target=target,
        fields=forwarded,
        route=route,
        service=service,
        account=account.id if account else "",
        routing_key=_routing_key_of(fields, path, route, service),
        idempotent=_is_idempotent(event.method, route),
        deadline=_deadline_of(fields, service),
        idempotency_key=_idempotency_key_of(fields),
    )


def _single_value(fields: dict[bytes, list[bytes]], name: bytes) -> bytes | None:
    values = fields.get(name)
    if not values:
        return None
    if len(values) > 1:
        raise RequestRefusedError(
            400, f"more than one {name.decode().title()}", close=True
        )
    return values[0]


def _origin_form(event: h11.Request, fields) -> tuple[bytes, list[bytes]]:
    target, hosts = event.target, fields.get(b"host", [])
    if event.method in UNSUPPORTED_METHODS:
        raise RequestRefusedError(400, "method is not supported")
    if not target.startswith(b"/"):
        parts = urlsplit(target)
        if parts.scheme.lower() not in (b"http", b"https") or not parts.netloc:
            raise RequestRefusedError(
                400, "request target is neither a path nor a URL", close=True
            )
        hosts = [parts.netloc]
        target = parts.path or b"/"
        if parts.query:
            target += b"?" + parts.query
    if _DOT_SEGMENT.search(target.partition(b"?")[0]):
        raise RequestRefusedError(400, "path contains a dot segment")
    return target, hosts


def _account_of(fields, accounts: AccountDirectory) -> AccountSettings | None:
    value = _single_value(fields, b"authorization")
    match = value and _BEARER.fullmatch(value)
    if not match:
        return None
    return accounts.lookup(hashlib.sha256(match[1]).hexdigest())


def find_route(deployment: Deployment, path: str) -> RouteSettings | None:
    """Return the route with the longest prefix that matches whole path segments."""
    best = None
    for route in deployment.routes:
        prefix = route.path.rstrip("/")
        matches = path == prefix or path.startswith(prefix + "/")
        if matches and (best is None or len(prefix) > len(best.path.rstrip("/"))):
            best = route
    return best


def _check_expect(fields) -> None:
    for value in fields.get(b"expect", []):
        if value.lower() != b"100-continue":
            raise RequestRefusedError(417, "unsupported Expect")


def _routing_key_of(fields, path: bytes, route, service) -> str:
    if route.routing_key_segment is None:
        raw = _single_value(fields, b"fireflystand-routing-key") or b""
    else:
        segments = path.split(b"/")[1:]
        index = route.routing_key_segment
        raw = unquote_to_bytes(segments[index]) if index < len(segments) else b""
    try:
        key = raw.decode("utf-8")
    except UnicodeDecodeError as error:
        raise RequestRefusedError(400, "routing key is not UTF-8") from error
    if service.keyed and not key:
        raise RequestRefusedError(400, "routing key is missing")
    if len(key) > ROUTING_KEY_LIMIT:
        raise RequestRefusedError(400, "routing key is too long")
    return key


def _is_idempotent(method: bytes, route: RouteSettings) -> bool:
    if route.idempotent is not None:
        return route.idempotent
    return method in IDEMPOTENT_METHODS


def _deadline_of(fields, service: ServiceSettings) -> float:
    value = _single_value(fields, b"fireflystand-deadline-ms")
    if value is None:
        return service.deadline
    if not _DEADLINE.fullmatch(value) or int(value) == 0:
        raise RequestRefusedError(400, "malformed Fireflystand-Deadline-Ms")
    return min(int(value) / 1000, service.max_deadline)


def _idempotency_key_of(fields) -> str | None:
    value = _single_value(fields, b"idempotency-key")
    if value is None:
        return None
    if not _IDEMPOTENCY_KEY.fullmatch(value):
        raise RequestRefusedError(400, "malformed Idempotency-Key")
    return value.decode("ascii")


def request_fingerprint(request: CallerRequest, body: bytes) -> int:
    """Return a 64-bit hash of account, method, path, routing key and body.

    The path is without the query; only the first 16 KiB of the body count.
    """
    digest = xxhash.xxh3_64()
    key = request.routing_key.encode()
    for part in (request.account.encode(), request.method, request.path, key):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body[:FINGERPRINT_BYTES])
    return digest.intdigest()
