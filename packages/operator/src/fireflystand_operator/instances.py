"""Query the live instances for their state."""

import json
from collections.abc import Callable
from urllib.parse import urlencode

import attrs
import cattrs
import trio

from fireflystand_core.exceptions import FireflystandError, ProtocolError
from fireflystand_router.http_client import HttpClient

__all__ = ["GroupState", "InstanceState", "InstancesClient", "ListedInstance"]

STATE_PATH = "/fireflystand/v1/state"
EXPLAIN_PATH = "/fireflystand/v1/explain"
CALL_TIMEOUT = 2.0  # seconds
MAX_PARALLEL_CALLS = 40
POLL_INTERVAL = 0.25  # seconds between two polls while waiting


@attrs.frozen
class GroupState:
    """Describe a group that an instance coordinates; ``lease_left`` in seconds."""

    service: str
    group: int
    epoch: int = 0
    lease_left: float = 0.0
    pending_moves: int = 0
    targets: dict[str, str] = attrs.field(factory=dict)  # dead or alive, by target


@attrs.frozen
class InstanceState:
    """Describe the state that an instance reports of itself."""

    instance: str
    data_centre: str
    generation: int
    feed_revision: int
    admitting: bool
    groups: list[GroupState] = attrs.field(factory=list)


@attrs.frozen
class ListedInstance:
    """Hold an entry of the platform's instance list."""

    id: str
    health_address: str
    state: str
    data_centre: str = ""


class InstancesClient:
    """Read the instance list and the instances' own reports."""

    def __init__(self, address: str) -> None:
        self.address = address

    async def live(self) -> list[ListedInstance]:
        """Return the instances that the platform lists as live."""
        value = await self._get(self.address, "/instances")
        try:
            listed = cattrs.structure(value, list[ListedInstance])
        except Exception as error:
            raise ProtocolError(
                f"the instance list is malformed: {error!r}",
                step="instances",
                peer=self.address,
            ) from error
        return [item for item in listed if item.state == "live"]

    async def states(self) -> dict[str, InstanceState | None]:
        """Return the state of each live instance by id, ``None`` without a response."""
        found: dict[str, InstanceState | None] = {}
        limiter = trio.CapacityLimiter(MAX_PARALLEL_CALLS)
        listed = await self.live()

        async def query_state(item: ListedInstance) -> None:
            async with limiter:
                found[item.id] = await self._state(item)

        async with trio.open_nursery() as nursery:
            for item in listed:
                found[item.id] = None
                nursery.start_soon(query_state, item)
        return found

    async def _state(self, item: ListedInstance) -> InstanceState | None:
        try:
            value = await self._get(item.health_address, STATE_PATH)
            return cattrs.structure(value, InstanceState)
        except Exception:
            # A failed call or a malformed state counts as no response.
            return None

    async def wait(
        self, in_effect: Callable[[InstanceState], bool], timeout: float
    ) -> list[str]:
        """Wait until ``in_effect`` holds on all live instances; return the late ones.

        ``timeout`` is in seconds. While no instance is live, the wait goes on, because
        nothing shows that the change is in effect.
        """
        late = {"the instance list"}
        with trio.move_on_after(timeout):
            while late:
                await self._wait_for_listed(in_effect, late)
        return sorted(late)

    async def _wait_for_listed(
        self, in_effect: Callable[[InstanceState], bool], late: set[str]
    ) -> None:
        late.clear()
        try:
            listed = await self.live()
        except FireflystandError as error:
            late.add(f"the instance list ({error.message})")
            return await trio.sleep(POLL_INTERVAL)
        if not listed:
            late.add("the instance list (no live instance)")
            return await trio.sleep(POLL_INTERVAL)
        late.update(item.id for item in listed)
        # Each instance is polled by its own task, so that an instance that does not
        # respond does not delay the polls of the others.
        async with trio.open_nursery() as nursery:
            for item in listed:
                nursery.start_soon(self._wait_for_instance, item, in_effect, late)

    async def _wait_for_instance(
        self,
        item: ListedInstance,
        in_effect: Callable[[InstanceState], bool],
        late: set[str],
    ) -> None:
        while True:
            state = await self._state(item)
            if state is not None and in_effect(state):
                break
            if state is None and not await self._is_listed(item):
                break
            await trio.sleep(POLL_INTERVAL)
        late.discard(item.id)

    async def _is_listed(self, item: ListedInstance) -> bool:
        try:
            return item in await self.live()
        except FireflystandError:
            return True

    async def explain(self, service: str, key: str) -> dict:
        """Return the routing of a key from its coordinator, else another instance."""
        query = urlencode({"service": service, "key": key})
        problem = "no live instance is listed"
        for item in await self.live():
            try:
                value = await self._get(item.health_address, f"{EXPLAIN_PATH}?{query}")
                return await self._prefer_coordinator(item.id, value, query)
            except FireflystandError as error:
                problem = str(error)
        raise ProtocolError(f"no instance explained the key: {problem}", step="explain")

    async def _prefer_coordinator(self, instance: str, value: dict, query: str) -> dict:
        coordinator = value.get("coordinator")
        for item in await self.live():
            if item.id == coordinator != instance:
                try:
                    path = f"{EXPLAIN_PATH}?{query}"
                    explanation = await self._get(item.health_address, path)
                except FireflystandError:
                    break
                return {"instance": item.id, **explanation}
        return {"instance": instance, **value}

    async def _get(self, address: str, path: str):
        client = HttpClient(address, CALL_TIMEOUT)
        try:
            response = await client.request("GET", path)
        finally:
            await client.close()
        if response.status != 200:
            raise ProtocolError(
                f"GET {path} got status {response.status}", step="get", peer=address
            )
        try:
            return response.json()
        except (json.JSONDecodeError, UnicodeDecodeError) as error:
            raise ProtocolError(
                f"GET {path} returned no JSON", step="get", peer=address
            ) from error
