"""Provide stand-ins for what the entry of an instance talks to."""

import hashlib
import io
from collections.abc import Callable

import attrs
import h11
import trio

from fireflystand_core.configuration import (
    AccountSettings,
    Deployment,
    RouteSettings,
    ServiceSettings,
)
from fireflystand_core.messages import (
    Permit,
    PermitRefused,
    PermitRequest,
    PermitReturn,
)
from fireflystand_router.adapters import GroupPlacement
from fireflystand_router.entry import EntryServer, RequestFlow
from fireflystand_router.entry.interfaces import QuotaRefusal
from fireflystand_router.entry.server import DRAIN_TIMEOUT, GRACE_PERIOD
from fireflystand_router.events import configure_log
from fireflystand_router.forward import Forwarder
from fireflystand_router.metrics import Metrics

__all__ = [
    "API_KEY",
    "Edge",
    "FakeAccounts",
    "FakePermits",
    "FakeQuotas",
    "Script",
    "ScriptedTarget",
    "edge_deployment",
]

API_KEY = "till-7f3a"
READ_SIZE = 65536


def edge_deployment(**service_options) -> Deployment:
    """Return a deployment with a keyed service, an unkeyed one and an open route."""
    services = [
        ServiceSettings("winkel", True, {}, **service_options),
        ServiceSettings("drukwerk", False, {}, **service_options),
    ]
    account = AccountSettings("tills", 100, 100, ("winkel", "drukwerk"))
    other = AccountSettings("guests", 100, 100, ())
    return Deployment(
        name="edge",
        data_centres_by_id={},
        services_by_id={service.id: service for service in services},
        accounts_by_id={account.id: account, other.id: other},
        routes=(
            RouteSettings("/stock", "winkel", routing_key_segment=1),
            RouteSettings("/stock/reports", "drukwerk"),
            RouteSettings("/orders", "winkel"),
            RouteSettings("/labels", "drukwerk", max_body_bytes=100_000),
            RouteSettings("/public", "drukwerk", open=True),
        ),
    )


class FakeAccounts:
    """Hold API keys by their hash."""

    def __init__(self, deployment: Deployment) -> None:
        self.accounts_by_hash: dict[str, AccountSettings] = {}
        self.add(API_KEY, deployment.accounts_by_id["tills"])
        self.add("guest-1", deployment.accounts_by_id["guests"])

    def add(self, api_key: str, account: AccountSettings) -> None:
        """Accept an API key."""
        digest = hashlib.sha256(api_key.encode()).hexdigest()
        self.accounts_by_hash[digest] = account

    def lookup(self, key_hash: str) -> AccountSettings | None:
        """Return the account of an API key."""
        return self.accounts_by_hash.get(key_hash)


class FakeQuotas:
    """Grant every token until ``refused`` is set."""

    def __init__(self) -> None:
        self.refused: QuotaRefusal | None = None

    async def take(self, account: str, deadline: float) -> QuotaRefusal | None:
        """Take one token."""
        return self.refused


class FakePermits:
    """Issue permits for addresses in turn and record the returns."""

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = addresses
        self.requests: list[PermitRequest] = []
        self.returns: list[PermitReturn] = []
        self.answers: list[Permit | PermitRefused] = []
        self.hedge_after: float | None = None
        self.send_within = 5.0
        self.return_accepted: trio.Event | None = None

    async def acquire(self, request: PermitRequest) -> Permit | PermitRefused:
        """Return the next prepared answer, or a permit."""
        number = len(self.requests)
        self.requests.append(request)
        if self.answers:
            return self.answers.pop(0)
        address = self.addresses[number % len(self.addresses)]
        hedge_after = None if request.hedge_of else self.hedge_after
        return Permit(f"p{number}", address, address, 7, self.send_within, hedge_after)

    def give_back(self, returned: PermitReturn) -> trio.Event | None:
        """Record a return."""
        self.returns.append(returned)
        return self.return_accepted


@attrs.frozen
class Script:
    """Say what a target does with one request.

    ``close_before`` closes the connection without reading, ``close_after_bytes``
    after so many bytes, and ``early`` answers before the body was read;
    ``response`` is sent as it is, then ``then`` applies: ``keep``, ``close`` or
    ``hang``.
    """

    response: bytes | Callable[[bytes], bytes] = b""
    then: str = "keep"
    close_before: bool = False
    close_after_bytes: int | None = None
    early: bool = False
    delay: float = 0.0  # seconds


class ScriptedTarget:
    """Serve raw responses; without a script it answers with the request's path."""

    def __init__(self) -> None:
        self.scripts: list[Script] = []
        self.requests: list[h11.Request] = []
        self.bodies: list[bytes] = []
        self.cancelled: list[str] = []
        self.connections = 0
        self.last_stream: trio.SocketStream | None = None
        self.seen = trio.Event()
        self.cancel_seen = trio.Event()
        self.release = trio.Event()
        self._scope = trio.CancelScope()

    async def start(self, nursery: trio.Nursery) -> str:
        """Listen and return the address."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(self._serve, listeners)
        return f"127.0.0.1:{port}"

    async def _serve(self, listeners) -> None:
        with self._scope:
            await trio.serve_listeners(self._connection, listeners)

    def close(self) -> None:
        """Stop listening and drop the connections."""
        self._scope.cancel()

    async def _connection(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        self.last_stream = stream
        http = h11.Connection(h11.SERVER)
        try:
            while await self._exchange(stream, http):
                http.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _exchange(self, stream, http: h11.Connection) -> bool:
        script = self.scripts[0] if self.scripts else None
        if script is not None and script.close_before:
            self.scripts.pop(0)
            return False
        if script is not None and script.close_after_bytes is not None:
            self.scripts.pop(0)
            await stream.receive_some(script.close_after_bytes)
            return False
        request = await self._next(stream, http)
        if not isinstance(request, h11.Request):
            return False
        if script is not None and script.early:
            self.scripts.pop(0)
            await stream.send_all(script.response)
            await self.release.wait()
        body = bytearray()
        while isinstance(event := await self._next(stream, http), h11.Data):
            body += event.data
        if not isinstance(event, h11.EndOfMessage):
            return False
        if request.target.startswith(b"/fireflystand/requests/"):
            self.cancelled.append(request.target.decode().rpartition("/")[2])
            self.cancel_seen.set()
            return await self._answer(stream, http, request, b"")
        self.requests.append(request)
        self.bodies.append(bytes(body))
        self.seen.set()
        if not self.scripts:
            text = request.target + b" " + bytes(body)
            return await self._answer(stream, http, request, text)
        return await self._play(stream, http, self.scripts.pop(0))

    async def _next(self, stream, http: h11.Connection):
        while (event := http.next_event()) is h11.NEED_DATA:
            http.receive_data(await stream.receive_some(READ_SIZE))
        return event

    async def _answer(self, stream, http, request, text: bytes) -> bool:
        headers = [("Content-Length", str(len(text)))]
        data = http.send(h11.Response(status_code=200, headers=headers))
        if text and request.method != b"HEAD":
            data += http.send(h11.Data(data=text))
        await stream.send_all(data + http.send(h11.EndOfMessage()))
        return http.our_state is h11.DONE

    async def _play(self, stream, http, script: Script) -> bool:
        if script.delay:
            await trio.sleep(script.delay)
        if script.response:
            await stream.send_all(script.response)
        if script.then == "hang":
            await self.release.wait()
        if script.then != "keep":
            return False
        # The raw response replaces what h11 would have written.
        http.send(h11.Response(status_code=200, headers=[("Content-Length", "0")]))
        http.send(h11.EndOfMessage())
        return True


class Edge:
    """Run an entry server against scripted targets."""

    def __init__(
        self,
        targets: int = 1,
        *,
        grace_period: float = GRACE_PERIOD,
        drain_timeout: float = DRAIN_TIMEOUT,
        **service_options,
    ) -> None:
        self._stop_options = {
            "grace_period": grace_period,
            "drain_timeout": drain_timeout,
        }
        self.log = io.StringIO()
        configure_log(self.log, as_json=True)
        self.deployment = edge_deployment(**service_options)
        self.accounts = FakeAccounts(self.deployment)
        self.quotas = FakeQuotas()
        self.permits = FakePermits([])
        self.metrics = Metrics()
        self.forwarder = Forwarder()
        self.targets = [ScriptedTarget() for _ in range(targets)]
        self.address = ""
        self.server: EntryServer | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the targets and the entry."""
        for target in self.targets:
            self.permits.addresses.append(await target.start(nursery))
        await self.forwarder.start(nursery)
        flow = RequestFlow(
            deployment=lambda: self.deployment,
            accounts=self.accounts,
            quotas=self.quotas,
            permits=self.permits,
            placement=GroupPlacement(),
            forwarder=self.forwarder,
            metrics=self.metrics,
        )
        self.server = EntryServer(flow, self.metrics, **self._stop_options)
        self.address = await self.server.start(nursery)

    async def connect(self) -> trio.SocketStream:
        """Return a connection to the entry."""
        host, _, port = self.address.rpartition(":")
        return await trio.open_tcp_stream(host, int(port))

    async def ask(self, data: bytes) -> bytes:
        """Send bytes and return everything up to the end of the connection."""
        stream = await self.connect()
        await stream.send_all(data)
        return await read_to_end(stream)


async def read_to_end(stream) -> bytes:
    """Return the bytes up to the end; a reset counts as an end."""
    received = bytearray()
    try:
        while part := await stream.receive_some(READ_SIZE):
            received += part
    except trio.BrokenResourceError:
        received += b"<reset>"
    await stream.aclose()
    return bytes(received)
