"""Serve the whole path in its simplest form: one coordinator, no takeover.

Each part of this module gives way to the module that the design page names.
"""

import hashlib
import json
import uuid
from itertools import count

import h11
import trio
import xxhash

from fireflystand_core.configuration import Deployment, ServiceSettings
from fireflystand_core.exceptions import FireflystandError, StoreConflictError
from fireflystand_core.messages import (
    Permit,
    PermitRefused,
    PermitRequest,
    PermitReturn,
)

from .http_client import ConnectionFailedError, ControlClient
from .peers import PeerLink, PeerNetwork
from .store import StoreClient
from .view import ClusterView

__all__ = ["ThinCoordinator", "ThinEntry"]

GRANT_TTL_MS = 1000.0
GRANT_PERIOD = 0.33  # seconds
READ_SIZE = 65536


def shard_of(service: ServiceSettings, key: str) -> int:
    """Return the shard of a key."""
    return xxhash.xxh3_64_intdigest(f"{service.id}/{key}".encode()) % service.shards


class ThinCoordinator:
    """Own group 0 of every service once the store has accepted its claim."""

    def __init__(self, store: StoreClient, network: PeerNetwork) -> None:
        self._store = store
        self._network = network
        self._owners: dict[str, list[str]] = {}
        self._slots: dict[str, trio.CapacityLimiter] = {}
        self._permits: dict[str, str] = {}
        self._numbers = count(1)
        self.deployment: Deployment | None = None
        network.handle(PermitRequest, self._permit)
        network.handle(PermitReturn, self._give_back)

    async def claim(self, deployment: Deployment) -> str:
        """Claim the group or return the instance that holds it."""
        me = self._network.hello.instance
        claim = {"coordinator": me, "epoch": 1, "operation_id": uuid.uuid4().hex}
        try:
            await self._store.put("groups/all/0", claim, 0)
        except StoreConflictError:
            found = await self._store.get("groups/all/0")
            return found.value["coordinator"]
        self.deployment = deployment
        for service in deployment.services_by_id.values():
            targets = sorted(service.targets_by_id)
            self._owners[service.id] = [
                targets[shard % len(targets)] for shard in range(service.shards)
            ]
            for target in service.targets_by_id.values():
                self._slots[target.id] = trio.CapacityLimiter(target.slots)
        return me

    async def run(self) -> None:
        """Renew the grants of all targets."""
        async with trio.open_nursery() as nursery:
            for service in self.deployment.services_by_id.values():
                for target in service.targets_by_id.values():
                    nursery.start_soon(self._renew, service, target)

    async def _renew(self, service, target) -> None:
        client = ControlClient(target.address)
        owners = self._owners[service.id]
        shards = [str(s) for s, owner in enumerate(owners) if owner == target.id]
        for sequence in count(1):
            try:
                status = await client.request("GET", "/fireflystand/status")
                grant = {
                    "epoch": 1,
                    "sequence": sequence,
                    "shards": ",".join(shards),
                    "expires_at_ms": status.json()["clock_ms"] + GRANT_TTL_MS,
                }
                await client.request(
                    "PUT",
                    f"/fireflystand/grants/{service.id}/0",
                    body=json.dumps(grant).encode(),
                )
            except ConnectionFailedError:
                pass
            await trio.sleep(GRANT_PERIOD)

    async def _permit(self, request: PermitRequest, link: PeerLink) -> object:
        if self.deployment is None:
            return PermitRefused("not-run", "not the coordinator")
        service = self.deployment.services_by_id[request.service]
        target = service.targets_by_id[self._owners[service.id][request.shard]]
        permit_id = f"p{next(self._numbers)}"
        with trio.move_on_after(request.deadline) as scope:
            await self._slots[target.id].acquire_on_behalf_of(permit_id)
        if scope.cancelled_caught:
            return PermitRefused("not-run", "no free slot before the deadline")
        self._permits[permit_id] = target.id
        return Permit(permit_id, target.id, target.address, 1, request.deadline)

    async def _give_back(self, message: PermitReturn, link: PeerLink) -> None:
        target = self._permits.pop(message.permit_id, None)
        if target is not None:
            self._slots[target].release_on_behalf_of(message.permit_id)


class ThinEntry:
    """Accept callers, ask for a permit and pass the request to its target."""

    def __init__(self, view: ClusterView, network: PeerNetwork, coordinator: str):
        self._view = view
        self._network = network
        self._coordinator = coordinator

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer the requests of one connection."""
        connection = h11.Connection(h11.SERVER)
        async with stream:
            while connection.our_state is h11.IDLE:
                request, body = await _read(connection, stream)
                if request is None:
                    return
                status, headers, answer = await self._answer(request, body)
                headers.append(("Content-Length", str(len(answer))))
                data = connection.send(
                    h11.Response(status_code=status, headers=headers)
                )
                data += connection.send(h11.Data(data=answer))
                data += connection.send(h11.EndOfMessage())
                await stream.send_all(data)
                if connection.our_state is h11.DONE:
                    connection.start_next_cycle()

    async def _answer(self, request: h11.Request, body: bytes):
        fields = {k.decode(): v.decode() for k, v in request.headers}
        token = fields.get("authorization", "").removeprefix("Bearer ")
        digest = hashlib.sha256(token.encode()).hexdigest()
        key = self._view.keys_by_hash.get(digest)
        if key is None or key.state != "active":
            return 401, [("Fireflystand-Outcome", "not-run")], b"unknown API key\n"
        path = request.target.decode()
        route = next(
            (r for r in self._view.deployment.routes if path.startswith(r.path)), None
        )
        if route is None:
            return 404, [("Fireflystand-Outcome", "not-run")], b"no route\n"
        try:
            return await self._forward(request, body, fields, route, key.account)
        except FireflystandError as error:
            text = f"{error}\n".encode()
            return 502, [("Fireflystand-Outcome", "unknown")], text

    async def _forward(self, request, body, fields, route, account):
        service = self._view.deployment.services_by_id[route.service]
        routing_key = fields.get("fireflystand-routing-key", "")
        shard = shard_of(service, routing_key)
        request_id = uuid.uuid4().hex
        ask = PermitRequest(
            request_id, service.id, 0, shard, 0, account, False, 0, service.deadline
        )
        permit = await self._network.request(self._coordinator, ask, service.deadline)
        if not isinstance(permit, Permit):
            outcome = [("Fireflystand-Outcome", permit.outcome)]
            return permit.status, outcome, permit.reason.encode()
        client = ControlClient(permit.address, timeout=service.deadline)
        try:
            answer = await client.request(
                request.method.decode(),
                request.target.decode(),
                body=body,
                headers={
                    "Fireflystand-Service": service.id,
                    "Fireflystand-Group": "0",
                    "Fireflystand-Shard": str(shard),
                    "Fireflystand-Epoch": str(permit.epoch),
                    "Fireflystand-Request-Id": request_id,
                    "Fireflystand-Client-Account": account,
                },
            )
        finally:
            self._network.send(
                self._coordinator,
                PermitReturn(service.id, 0, permit.permit_id, "answered", 0, 0.0),
            )
            await client.close()
        headers = [
            ("X-Target", answer.headers.get("x-target", "")),
            ("Fireflystand-Outcome", "answered"),
        ]
        return answer.status, headers, answer.body


async def _read(connection, stream):
    request, body = None, b""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(READ_SIZE))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return request, body
        else:
            return None, b""
