"""Call the platform's object store over HTTP."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import attrs
import trio

from fireflystand_core.exceptions import (
    ProtocolError,
    StoreConflictError,
    StoreUnavailableError,
)

from .http_client import ConnectionFailedError, HttpClientPool, Response

__all__ = ["StoreClient", "StoreSnapshot", "StoredObject"]

DEFAULT_TIMEOUT = 2.0  # seconds
MAX_CONNECTIONS = 8  # besides one for each watch
WATCH_GRACE = 2.0  # seconds that a watch may take beyond its wait


@attrs.frozen
class StoredObject:
    """Hold one object; ``value`` is ``None`` if it was deleted."""

    key: str
    version: int
    value: Any


@attrs.frozen
class StoreSnapshot:
    """Hold objects and the store revision up to which they are complete."""

    revision: int
    items: list[StoredObject]


class StoreClient:
    """Call the object store over a pool of connections.

    Every method raises StoreUnavailableError if the store refused the call or its
    response did not arrive; in the latter case a write may have taken effect.
    """

    def __init__(
        self,
        address: str,
        timeout: float = DEFAULT_TIMEOUT,
        clock: Callable[[], float] = trio.current_time,
    ) -> None:
        self.address = address
        self.timeout = timeout  # seconds
        self.last_heard: float | None = None  # seconds on ``clock``
        self.calls_by_kind: dict[str, int] = {}
        self._clock = clock
        self._pool = HttpClientPool(address)
        self._call_limiter = trio.CapacityLimiter(MAX_CONNECTIONS)

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or ``None`` if there is none."""
        response = await self._call("get", "GET", f"/objects/{quote(key)}")
        if response.status == 404:
            return None
        self._expect_success(response, "get")
        version = int(response.headers["etag"].strip('"'))
        return StoredObject(key, version, response.json())

    async def put(self, key: str, value: Any, expected_version: int) -> int:
        """Write an object if it has the expected version; return its new version.

        An expected version of 0 creates the object. Raise StoreConflictError if the
        store has another version.
        """
        response = await self._call(
            "put",
            "PUT",
            f"/objects/{quote(key)}",
            headers=_precondition(expected_version),
            body=json.dumps(value, separators=(",", ":")).encode(),
        )
        self._expect_success(response, "put", key)
        return int(response.json()["version"])

    async def delete(self, key: str, expected_version: int) -> None:
        """Delete an object if it has the expected version."""
        response = await self._call(
            "delete",
            "DELETE",
            f"/objects/{quote(key)}",
            headers=_precondition(expected_version),
        )
        self._expect_success(response, "delete", key)

    async def list(self, prefix: str) -> StoreSnapshot:
        """Return all objects whose key starts with ``prefix``."""
        response = await self._call("list", "GET", f"/list?prefix={quote(prefix)}")
        self._expect_success(response, "list")
        return _snapshot(response)

    async def watch(self, prefix: str, since: int, wait: float) -> StoreSnapshot | None:
        """Return changes after revision ``since``, waiting up to ``wait`` seconds.

        Return ``None`` if the store no longer has all changes since then.
        """
        path = f"/watch?prefix={quote(prefix)}&since={since}&wait_ms={int(wait * 1000)}"
        response = await self._call("watch", "GET", path, timeout=wait + WATCH_GRACE)
        if response.status == 410:
            return None
        self._expect_success(response, "watch")
        return _snapshot(response)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()

    async def _call(
        self,
        kind: str,
        method: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout: float | None = None,
    ) -> Response:
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1
        limiter = self._call_limiter if kind != "watch" else trio.CapacityLimiter(1)
        async with limiter:
            try:
                response = await self._pool.request(
                    method,
                    path,
                    headers=headers,
                    body=body,
                    timeout=timeout or self.timeout,
                )
            except ConnectionFailedError as error:
                raise StoreUnavailableError(
                    f"store call failed: {error.message}",
                    step=kind,
                    peer=self.address,
                ) from error
        if response.status in (429, 503) or response.status >= 500:
            raise StoreUnavailableError(
                f"store responded with status {response.status}",
                step=kind,
                peer=self.address,
            )
        self.last_heard = self._clock()
        return response

    def _expect_success(self, response: Response, step: str, key: str = "") -> None:
        if response.status == 412:
            raise StoreConflictError(
                f"object {key!r} has another version",
                step=step,
                peer=self.address,
            )
        if response.status != 200:
            raise ProtocolError(
                f"store responded with status {response.status}",
                step=step,
                peer=self.address,
            )


def _precondition(expected_version: int) -> dict[str, str]:
    if expected_version == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expected_version}"'}


def _snapshot(response: Response) -> StoreSnapshot:
    data = response.json()
    items = [
        StoredObject(item["key"], item["version"], item["value"])
        for item in data["items"]
    ]
    return StoreSnapshot(data["revision"], items)
