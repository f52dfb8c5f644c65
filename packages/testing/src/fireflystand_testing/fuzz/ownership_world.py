"""Run coordinators, witnesses, targets and a store over a pool of messages."""

import random
from collections.abc import Callable
from functools import partial

from fireflystand_core.groups import (
    GroupCoordinator,
    GroupIdentity,
    GroupRecord,
    TargetInfo,
)
from fireflystand_core.membership import Witness
from fireflystand_core.sharding import coordinator_witnesses

from .ownership_actions import ActionHandlers
from .ownership_parts import (
    GROUP,
    Instance,
    Message,
    ModelClock,
    ModelStore,
    ModelTarget,
)

__all__ = ["Instance", "World"]

SHARDS = tuple(range(8))
STEP = 0.02  # seconds
SLOW_DELAY = 1.0  # seconds
PERMIT_DEADLINE = 0.8  # seconds
MAX_DEADLINE = 1.0  # seconds
TICK = 0.05  # seconds


class World(ActionHandlers):
    """Hold all processes of one group and the messages between them."""

    def __init__(
        self, number: int, instances: int = 6, targets: int = 4, unchecked: int = 1
    ) -> None:
        self.random = random.Random(number)
        self.real = 100.0
        self.store = ModelStore()
        self.cuts: set[frozenset[str]] = set()
        self.delay = 0.01
        self.slow: set[str] = set()
        self.drop_rate = 0.0
        self.copy_rate = 0.0
        self.ran = 0
        self._numbers = 0
        self._messages: list[Message] = []
        self.instances: dict[str, Instance] = {}
        for index in range(instances):
            name = f"i{index}"
            self.instances[name] = Instance(
                name, f"dc{index % 3}", self._new_clock(), Witness(name, "1")
            )
        self.targets = {
            f"t{index}": ModelTarget(f"t{index}", self._new_clock(), index >= unchecked)
            for index in range(targets)
        }
        self.out: set[str] = set()

    def _new_clock(self) -> ModelClock:
        # Each within 0.45% of real time, so that any two differ by under 1%.
        rate = 1 + self.random.uniform(-0.0045, 0.0045)
        return ModelClock(self.random.uniform(0, 1000), rate)

    # Messages

    def send(self, source: str, destination: str, deliver: Callable) -> None:
        """Put a message into the pool, perhaps twice or not at all."""
        copies = 2 if self.random.random() < self.copy_rate else 1
        for _ in range(copies):
            if self.random.random() < self.drop_rate:
                continue
            self._numbers += 1
            delay = max(self.delay, SLOW_DELAY if destination in self.slow else 0.0)
            due = self.real + self.random.uniform(0.0, delay)
            message = Message(due, self._numbers, source, destination, deliver)
            self._messages.append(message)

    def _cut(self, message: Message) -> bool:
        return frozenset((message.source, message.destination)) in self.cuts

    def _deliver(self, message: Message) -> None:
        if self._cut(message):
            return
        instance = self.instances.get(message.destination)
        if instance is not None:
            if instance.alive and instance.paused:
                instance.inbox.append(message.deliver)
            elif instance.alive:
                message.deliver()
        else:
            message.deliver()

    def advance(self, duration: float) -> None:
        """Let real time pass."""
        end = self.real + duration
        while self.real < end:
            self.real += STEP
            due = sorted(m for m in self._messages if m.due <= self.real)
            self._messages = [m for m in self._messages if m.due > self.real]
            for message in due:
                self._deliver(message)
                self.check()
            for instance in self.instances.values():
                self._run(instance)
            self.check()

    def _run(self, instance: Instance) -> None:
        if not instance.alive or instance.paused:
            return
        now = instance.clock.read(self.real)
        if now - instance.ticked_at < TICK:
            return
        instance.ticked_at = now
        if instance.coordinator is not None:
            self.perform(instance, instance.coordinator.tick(now))
        self._consider_claim(instance, now)

    def _consider_claim(self, instance: Instance, now: float) -> None:
        record = self.store.record
        stopped = (None, "stopped", "given-up")
        phase = instance.coordinator.phase if instance.coordinator else None
        if phase not in stopped:
            return
        suspected = self._suspects(instance, now)
        orphaned = record is not None and not any(
            self.instances[w].witness.incarnation == i and self.instances[w].alive
            for w, i in record.witnesses.items()
        )
        if not (suspected or orphaned or record is None):
            instance.claim_after = None
        elif instance.claim_after is None:
            instance.claim_after = now + self.random.uniform(0.0, 1.5)
        elif now > instance.claim_after:
            instance.claim_after = None
            self.claim(instance)

    def _suspects(self, instance: Instance, now: float) -> bool:
        record = self.store.record
        if record is None:
            return False
        if record.witnesses.get(instance.id) != instance.witness.incarnation:
            instance.witness.forget(GROUP)
            return False
        instance.witness.expect(GROUP, record.epoch, now)
        return GROUP in instance.witness.suspected(now)

    # Claims

    def claim(
        self,
        instance: Instance,
        handed_epoch: int | None = None,
        permits: tuple = (),
    ) -> None:
        """Let an instance read the record and claim the group."""
        incarnation = instance.incarnation

        def answered(record: GroupRecord | None, version: int) -> None:
            if instance.incarnation == incarnation:
                self._begin(instance, record, version, handed_epoch, permits)

        def asked() -> None:
            if self.store.available:
                answer = partial(answered, self.store.record, self.store.version)
                self.send("store", instance.id, answer)

        self.send(instance.id, "store", asked)

    def _begin(self, instance, record, version, handed_epoch, permits) -> None:
        current = instance.coordinator
        if current is not None and current.phase in ("claiming", "active"):
            return
        live = {i.id: i.data_centre for i in self.instances.values() if i.alive}
        spare = record.witnesses if record else {}
        chosen = coordinator_witnesses(*GROUP, instance.id, live, spare=spare)
        incarnations = {w: i.witness.incarnation for w, i in self.instances.items()}
        witnesses = {w: incarnations[w] if w in live else spare[w] for w in chosen}
        identity = GroupIdentity(
            *GROUP,
            SHARDS,
            instance.id,
            str(instance.incarnation),
            len(SHARDS),
            max_deadline=MAX_DEADLINE,
        )
        coordinator = GroupCoordinator(identity, permits_pending=instance.pending)
        now = instance.clock.read(self.real)
        instance.permits = [(t, s, now + PERMIT_DEADLINE) for t, s, _ in permits]
        instance.coordinator = coordinator
        actions = coordinator.claim(
            record, version, witnesses, self._infos(), now, handed_epoch
        )
        self.perform(instance, actions)

    def _infos(self) -> list[TargetInfo]:
        return [
            TargetInfo(t.id, t.id not in self.out, t.checks_epoch)
            for t in self.targets.values()
        ]

    def hand_over(self, source: Instance, destination: Instance) -> None:
        """Let a coordinator give its group to another instance."""
        coordinator = source.coordinator
        if coordinator is None or coordinator.phase != "active":
            return
        epoch = coordinator.epoch
        coordinator.give_up()
        take = partial(self.claim, destination, epoch, tuple(source.permits))
        self.send(source.id, destination.id, take)

    # Requests

    def request(self, shard: int) -> None:
        """Let every coordinator that may do so send one request for a shard."""
        for instance in self.instances.values():
            coordinator = instance.coordinator
            if not instance.alive or instance.paused or coordinator is None:
                continue
            now = instance.clock.read(self.real)
            key = (shard << 61) + 5
            if coordinator.phase == "active":
                coordinator.note_request(key, shard, 1.0)
            found = coordinator.owner_of(key, shard, now)
            if found is None:
                continue
            own = coordinator.shard_for(key, shard)
            target, epoch = found
            permit = (target, own, now + PERMIT_DEADLINE)
            instance.permits.append(permit)
            latest = self.real + PERMIT_DEADLINE * 0.98
            run = partial(self._run_request, target, key, own, epoch, latest)
            self.send(instance.id, target, run)

    def _run_request(self, name, key, shard, epoch, latest) -> None:
        target = self.targets[name]
        if not target.alive:
            return
        if target.frozen:
            run = partial(self._run_request, name, key, shard, epoch, latest)
            self._later_for(target, run)
            return
        if not target.checks_epoch and self.real > latest:
            return
        if not target.runs(shard, epoch, self.real):
            return
        record = self.store.record
        base = key >> 61
        self.ran += 1
        assert record.overrides.get(key, base) == shard, "a key ran in another shard"
        assert record.owners.get(shard) == name, "a target ran what it does not own"

    # Oracle

    def check(self) -> None:
        """Raise AssertionError if two targets own a shard or two epochs act."""
        for shard in {s for t in self.targets.values() for s in t.shards}:
            owners = [t.id for t in self.targets.values() if t.owns(shard, self.real)]
            assert len(owners) <= 1, f"two targets own a shard: {shard} {owners}"

    def served(self) -> set[int]:
        """Return the shards that some coordinator serves now."""
        result = set()
        for instance in self.instances.values():
            if instance.coordinator is None or not instance.alive:
                continue
            now = instance.clock.read(self.real)
            for shard in SHARDS:
                if instance.coordinator.owner_of(shard << 61, shard, now):
                    result.add(shard)
        return result

    def acts(self, instance: Instance) -> bool:
        """Tell whether an instance has authority now."""
        if not instance.alive or instance.paused or instance.coordinator is None:
            return False
        return instance.coordinator.has_authority(instance.clock.read(self.real))

    # Faults

    def resume(self, instance: Instance) -> None:
        """Let a paused instance go on with what it received meanwhile."""
        instance.paused = False
        inbox, instance.inbox = instance.inbox, []
        for deliver in inbox:
            deliver()
            self.check()

    def restart(self, instance: Instance) -> None:
        """Replace the process of an instance."""
        instance.incarnation += 1
        instance.alive, instance.paused = True, False
        instance.clock = self._new_clock()
        instance.ticked_at = 0.0
        instance.coordinator = None
        instance.claim_after = None
        instance.permits, instance.inbox = [], []
        instance.witness.restart(str(instance.incarnation))

    def restart_target(self, target: ModelTarget) -> None:
        """Replace the process of a target."""
        target.restart(self._new_clock())

    def set_out(self, name: str, out: bool) -> None:
        """Take a target out of service or bring it back."""
        (self.out.add if out else self.out.discard)(name)
        for instance in self.instances.values():
            if instance.coordinator is not None and instance.alive:
                now = instance.clock.read(self.real)
                instance.coordinator.set_targets(self._infos(), now)

    def refresh_instances(self) -> None:
        """Tell every coordinator which instances live."""
        live = {i.id: i for i in self.instances.values() if i.alive}
        incarnations = {name: i.witness.incarnation for name, i in live.items()}
        centres = {name: i.data_centre for name, i in live.items()}
        for instance in live.values():
            if instance.coordinator is not None and not instance.paused:
                instance.coordinator.set_instances(incarnations, centres)

    def heal(self) -> None:
        """End every fault."""
        self.cuts.clear()
        self.slow.clear()
        self.delay, self.drop_rate, self.copy_rate = 0.01, 0.0, 0.0
        self.store.available, self.store.lose_responses = True, 0
        for instance in self.instances.values():
            if not instance.alive:
                self.restart(instance)
            elif instance.paused:
                self.resume(instance)
        for target in self.targets.values():
            target.frozen = target.draining = False
            if not target.alive:
                self.restart_target(target)
        for name in list(self.out):
            self.set_out(name, False)
