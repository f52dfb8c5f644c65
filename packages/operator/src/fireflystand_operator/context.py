"""Read the configuration in effect and wait until a change is in effect."""

import attrs

from fireflystand_core.configuration import CurrentPointer, Deployment, Generation
from fireflystand_router.store import StoreClient

from .instances import InstancesClient, InstanceState
from .results import CommandResult, ExitCode, InputFaultError

__all__ = ["CURRENT_KEY", "Context", "VersionedPointer", "WaitOptions", "has_revision"]

CURRENT_KEY = "config/current"
DEFAULT_WAIT = 30.0  # seconds


@attrs.frozen
class VersionedPointer:
    """Hold the pointer with its store version, which is 0 if there is no pointer."""

    version: int
    pointer: CurrentPointer | None

    @property
    def generation(self) -> int:
        """Return the number of the generation in effect, 0 before the first."""
        return self.pointer.generation if self.pointer else 0

    @property
    def operation_id(self) -> str:
        """Return the operation that made the generation in effect."""
        return self.pointer.operation_id if self.pointer else ""


@attrs.frozen
class WaitOptions:
    """Set whether to wait until a change is in effect; ``timeout`` in seconds."""

    enabled: bool = False
    timeout: float = DEFAULT_WAIT


@attrs.frozen
class Context:
    """Hold the clients of the store and of the instances."""

    store: StoreClient
    instances: InstancesClient

    async def current(self) -> VersionedPointer:
        """Return the pointer to the generation in effect."""
        found = await self.store.get(CURRENT_KEY)
        if found is None:
            return VersionedPointer(0, None)
        return VersionedPointer(found.version, CurrentPointer.from_value(found.value))

    async def generation(self, key: str) -> Generation:
        """Return a stored generation; raise InputFaultError if it is missing."""
        found = await self.store.get(key)
        if found is None:
            raise InputFaultError(f"generation object {key} is missing from the store")
        return Generation.from_value(found.value)

    async def deployment(self) -> Deployment | None:
        """Return the deployment in effect, or ``None`` before the first apply."""
        current = await self.current()
        if current.pointer is None:
            return None
        return (await self.generation(current.pointer.object)).deployment

    async def required_deployment(self) -> Deployment:
        """Return the deployment in effect; raise InputFaultError without one."""
        deployment = await self.deployment()
        if deployment is None:
            raise InputFaultError("no configuration is in effect; run 'apply' first")
        return deployment

    async def finish(
        self, lines: list[str], data: dict, wait_options: WaitOptions, in_effect
    ) -> CommandResult:
        """Return the result of an accepted change, after waiting for its effect."""
        if not wait_options.enabled:
            return CommandResult(lines, data)
        late = await self.instances.wait(in_effect, wait_options.timeout)
        if not late:
            lines = [*lines, "in effect on all live instances"]
            return CommandResult(lines, {**data, "in_effect": True})
        text = f"accepted, but not in effect after {wait_options.timeout:g} s on: "
        return CommandResult(
            [*lines, text + ", ".join(late)],
            {**data, "in_effect": False, "late": late},
            ExitCode.NOT_IN_EFFECT,
        )


def has_revision(version: int):
    """Return a predicate: an instance's feed has reached a store version."""

    def in_effect(state: InstanceState) -> bool:
        return state.feed_revision >= version

    return in_effect
