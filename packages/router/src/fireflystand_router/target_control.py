"""Keep a connection to a target for its status and its grants."""

import json
from collections.abc import Callable

import attrs
import trio

from fireflystand_core.exceptions import FireflystandError, ProtocolError
from fireflystand_core.groups import SendGrant
from fireflystand_core.sharding import format_shards

from .http_client import ConnectionFailedError, HttpClient, Response

__all__ = ["TargetAnswer", "TargetControl", "TargetDiedError"]

CALL_TIMEOUT = 0.5  # seconds


class TargetDiedError(FireflystandError):
    """Report evidence that the process of a target is dead."""


@attrs.frozen
class TargetAnswer:
    """Hold a target's status; ``kept`` tells that it keeps the grant."""

    connection: int
    incarnation: str
    clock_ms: float
    draining: bool
    warm: float
    in_flight: int
    kept: bool = False
    higher_epoch: int = 0


class TargetControl:
    """Own the control connection to one target.

    ``is_connected`` tells whether any other connection to the target is open; a
    refused connection is evidence of death only if none is.
    """

    def __init__(
        self,
        target: str,
        address: str,
        is_connected: Callable[[str], bool] = lambda target: False,
        client: HttpClient | None = None,
    ) -> None:
        self.target = target
        self.connection = 0
        self._is_connected = is_connected
        self._client = client or HttpClient(address, CALL_TIMEOUT)
        self._lock = trio.Lock()

    async def status(self) -> TargetAnswer:
        """Return the target's status.

        Raise TargetDiedError on evidence of death, else ConnectionFailedError.
        """
        async with self._lock:
            if not self._client.connected:
                self.connection += 1
            response = await self._call("GET", "/fireflystand/status", b"")
        return self._answer(response)

    async def grant(
        self, service: str, group: int, grant: SendGrant
    ) -> TargetAnswer | None:
        """Send a grant; return ``None`` if its connection is gone.

        The expiry was computed from a clock reading of that connection, and
        another process may listen at the address since.
        """
        async with self._lock:
            if not self._client.connected or self.connection != grant.connection:
                return None
            body = attrs.asdict(_GrantBody.of(grant))
            path = f"/fireflystand/grants/{service}/{group}"
            response = await self._call("PUT", path, body)
        if response.status == 409:
            higher = response.json()["epoch"]
            return TargetAnswer(self.connection, "", 0, False, 0, 0, False, higher)
        answer = self._answer(response)
        value = response.json()
        kept = (value.get("epoch"), value.get("sequence"))
        return attrs.evolve(answer, kept=kept == (grant.epoch, grant.sequence))

    async def _call(self, method: str, path: str, body) -> Response:
        data = _encode(body)
        try:
            return await self._client.request(method, path, body=data)
        except ConnectionFailedError as error:
            if error.refused and not self._is_connected(self.target):
                raise TargetDiedError(
                    "target refused the connection", step=method, peer=self.target
                ) from error
            raise

    def _answer(self, response: Response) -> TargetAnswer:
        if response.status != 200:
            raise ProtocolError(
                f"target answered {response.status}", step="status", peer=self.target
            )
        value = response.json()
        return TargetAnswer(
            self.connection,
            str(value["incarnation"]),
            float(value["clock_ms"]),
            value.get("state") == "draining",
            float(value.get("warm", 1.0)),
            int(value.get("in_flight", 0)),
        )

    async def close(self) -> None:
        """Close the connection."""
        await self._client.close()


@attrs.frozen
class _GrantBody:
    epoch: int
    sequence: int
    shards: str
    expires_at_ms: int

    @classmethod
    def of(cls, grant: SendGrant) -> "_GrantBody":
        shards = format_shards(grant.shards)
        return cls(grant.epoch, grant.sequence, shards, int(grant.expires_at_ms))


def _encode(body) -> bytes:
    return b"" if body == b"" else json.dumps(body, separators=(",", ":")).encode()
