"""Fuzz claims, grants and moves of one group."""

from unittest.mock import patch

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from fireflystand_core.groups import GroupRecord
from fireflystand_core.groups.coordinator import GroupCoordinator
from fireflystand_core.groups.lease import EarlierEpochs
from fireflystand_core.groups.release import ReleaseRules
from fireflystand_core.groups.target_grants import TargetGrants
from fireflystand_core.membership import Witness

from .ownership_parts import ModelTarget
from .ownership_world import SHARDS, World
from .registry import machine, mutation

__all__ = ["OwnershipMachine"]

INSTANCES = st.sampled_from([f"i{n}" for n in range(6)])
TARGETS = st.sampled_from([f"t{n}" for n in range(4)])
MAX_FAULTY = 2  # instances and targets each
HEALED = 12.0  # seconds in which every shard must be served again


@machine("ownership")
class OwnershipMachine(RuleBasedStateMachine):
    """Apply faults in any order while requests arrive."""

    world: World

    @initialize(number=st.integers(0, 2**32))
    def start(self, number):
        """Start with a claimed group."""
        self.world = World(number)
        self.world.claim(self.world.instances["i0"])
        self.world.advance(0.6)

    def _faulty_instances(self):
        return sum(not i.alive or i.paused for i in self.world.instances.values())

    def _faulty_targets(self):
        return sum(not t.alive or t.frozen for t in self.world.targets.values())

    def _pass_time(self, duration=0.24):
        for _ in range(4):
            self.world.refresh_instances()
            for shard in SHARDS[::3]:
                self.world.request(shard)
            self.world.advance(duration / 4)

    @rule(duration=st.sampled_from([0.1, 0.3, 0.7, 1.3, 2.5]))
    def wait(self, duration):
        """Let time pass while requests arrive."""
        self._pass_time(duration)

    @rule(name=INSTANCES)
    def claim(self, name):
        """Let any instance claim at any moment."""
        instance = self.world.instances[name]
        if instance.alive and not instance.paused:
            self.world.claim(instance)
        self._pass_time()

    @rule(source=INSTANCES, destination=INSTANCES)
    def hand_over(self, source, destination):
        """Hand the group over."""
        first = self.world.instances[source]
        if first.alive and not first.paused and source != destination:
            self.world.hand_over(first, self.world.instances[destination])
        self._pass_time()

    @rule(name=INSTANCES)
    def pause_or_resume(self, name):
        """Pause an instance or let it go on."""
        instance = self.world.instances[name]
        if instance.paused:
            self.world.resume(instance)
        elif self._faulty_instances() < MAX_FAULTY:
            instance.paused = instance.alive
        self._pass_time()

    @rule(name=INSTANCES)
    def kill_or_restart(self, name):
        """End an instance or start it again."""
        instance = self.world.instances[name]
        if not instance.alive:
            self.world.restart(instance)
        elif self._faulty_instances() < MAX_FAULTY:
            instance.alive = False
        self._pass_time()

    @rule(name=TARGETS)
    def slow_or_fast(self, name):
        """Change whether messages to a target take up to a grant's time to live."""
        self.world.slow ^= {name}
        self._pass_time()

    @rule(name=TARGETS, destination=INSTANCES)
    def take_out_after_handover(self, name, destination):
        """Hand over while grants are on their way, then move shards at once."""
        self.world.slow.add(name)
        self._pass_time()
        for instance in list(self.world.instances.values()):
            if instance.alive and not instance.paused and instance.id != destination:
                self.world.hand_over(instance, self.world.instances[destination])
        self.world.slow.discard(name)
        self.world.set_out(name, True)
        self._pass_time()

    @rule(name=TARGETS)
    def freeze_or_thaw(self, name):
        """Freeze a target or let it go on."""
        target = self.world.targets[name]
        target.frozen = not target.frozen and self._faulty_targets() < MAX_FAULTY
        self._pass_time()

    @rule(name=TARGETS)
    def kill_or_restart_target(self, name):
        """End a target or start it again."""
        target = self.world.targets[name]
        if not target.alive:
            self.world.restart_target(target)
        elif self._faulty_targets() < MAX_FAULTY:
            target.alive = False
        self._pass_time()

    @rule(name=TARGETS)
    def restart_target(self, name):
        """Replace a target's process at once."""
        self.world.restart_target(self.world.targets[name])
        self._pass_time()

    @rule(name=TARGETS)
    def take_out_or_back(self, name):
        """Take a target out or bring it back."""
        self.world.set_out(name, name not in self.world.out)
        self._pass_time()

    @rule(
        name=INSTANCES,
        peer=st.one_of(INSTANCES, TARGETS, st.just("store")),
    )
    def cut_or_heal(self, name, peer):
        """Change whether two processes reach each other."""
        self.world.cuts ^= {frozenset((name, peer))}
        self._pass_time()

    @rule(name=INSTANCES)
    def cut_coordinator_from_targets(self, name):
        """Cut an instance off from all targets."""
        self.world.cuts |= {frozenset((name, t)) for t in self.world.targets}
        self._pass_time()

    @rule(centre=st.sampled_from(["dc0", "dc1", "dc2"]), both=st.booleans())
    def cut_data_centre(self, centre, both):
        """Cut a data centre off, from the store too or not."""
        inside = {
            i.id for i in self.world.instances.values() if i.data_centre == centre
        }
        outside = (set(self.world.instances) | set(self.world.targets)) - inside
        near = {t for t in self.world.targets if int(t[1:]) % 3 == int(centre[2:])}
        inside, outside = inside | near, outside - near
        if both:
            outside |= {"store"}
        self.world.cuts |= {frozenset((a, b)) for a in inside for b in outside}
        self._pass_time()

    @rule(name=TARGETS, number=st.integers(0, 4))
    def lose_two_coordinators(self, name, number):
        """Cut the coordinator off with a target; lose the next one at once."""
        world = self.world
        acting = [i for i in world.instances.values() if world.acts(i)]
        others = [i for i in world.instances.values() if i not in acting and i.alive]
        if not acting or len(others) < 3:
            return
        inside = {acting[0].id, name}
        outside = (set(world.instances) | set(world.targets) | {"store"}) - inside
        near = set(acting[0].coordinator.witnesses) - {others[number % 3].id}
        self.world.cuts |= {
            frozenset((a, b)) for a in inside for b in outside if b not in near
        }
        world.claim(others[number % 3])
        world.advance(0.06)
        others[number % 3].alive = False
        world.claim(others[(number + 1) % 3])
        self._pass_time()

    @rule()
    def heal_network(self):
        """End all partitions."""
        self.world.cuts.clear()
        self._pass_time()

    @rule()
    def heal_store(self):
        """End the faults of the store and of the network's delays."""
        self.world.store.available = True
        self.world.delay = 0.01
        self.world.drop_rate = self.world.copy_rate = 0.0
        self._pass_time()

    @rule()
    def change_store(self):
        """Make the store available or not."""
        self.world.store.available = not self.world.store.available
        self._pass_time()

    @rule()
    def lose_responses(self):
        """Lose the next responses of writes."""
        self.world.store.lose_responses += 2
        self._pass_time()

    @rule(
        delay=st.sampled_from([0.005, 0.05, 0.4, 1.5]),
        drop=st.sampled_from([0.0, 0.0, 0.2]),
        copy=st.sampled_from([0.0, 0.0, 0.3]),
    )
    def change_network(self, delay, drop, copy):
        """Change how messages are delayed, dropped and copied."""
        self.world.delay = delay
        self.world.drop_rate = drop
        self.world.copy_rate = copy
        self._pass_time()

    def teardown(self):
        """Check that every shard is served again once all faults have ended."""
        if not hasattr(self, "world"):
            return
        world = self.world
        world.heal()
        for _ in range(int(HEALED / 0.5)):
            world.refresh_instances()
            world.advance(0.5)
            if world.served() == set(SHARDS):
                return
        missing = sorted(set(SHARDS) - world.served())
        raise AssertionError(f"shards not served {HEALED} s after healing: {missing}")


@mutation("ownership", "grant before the store write")
def grant_before_write():
    def record(self):
        stored = self._writes.record
        moves = self._plan.moves_by_shard.values() if self.phase == "active" else ()
        early = {m.shard: m.destination for m in moves if m.step == "drain"}
        return stored.move(early, stored.operation_id) if early else stored

    with patch.object(GroupCoordinator, "record", property(record)):
        yield


@mutation("ownership", "no wait for the expiry of grants")
def no_expiry_wait():
    with patch.object(TargetGrants, "may_hold", lambda self, shard, now: False):
        yield


@mutation("ownership", "no seal of the previous epoch")
def no_seal():
    with (
        patch.object(EarlierEpochs, "authority_end", lambda self: 0.0),
        patch.object(EarlierEpochs, "grants_end", lambda self: 0.0),
    ):
        yield


@mutation("ownership", "the target ignores the epoch")
def ignore_epoch():
    with patch.object(ModelTarget, "accepts_epoch", lambda self, epoch: True):
        yield


@mutation("ownership", "expiry from the coordinator's clock")
def local_clock():
    with patch.object(TargetGrants, "_expiry", lambda self, until: until * 1000):
        yield


@mutation("ownership", "expiry counted from a late clock reading")
def whole_ttl_from_any_moment():
    def expiry(self, until):
        return self._clock[0] + self._timing.grant_ttl * 3 * 1000

    with patch.object(TargetGrants, "_expiry", expiry):
        yield


@mutation("ownership", "authority without a majority")
def no_lease():
    def has_authority(self, now):
        return self.phase == "active"

    with patch.object(GroupCoordinator, "has_authority", has_authority):
        yield


@mutation("ownership", "a witness confirms after it was sealed")
def deaf_witness():
    def confirm(self, group, epoch, named, now, unjournaled=False):
        return named == self.incarnation

    with patch.object(Witness, "confirm", confirm):
        yield


@mutation("ownership", "only the last epoch is sealed")
def forget_predecessors():
    claim = GroupRecord.claim

    def forgetful(self, *args):
        return claim(self.settle(""), *args)

    with patch.object(GroupRecord, "claim", forgetful):
        yield


@mutation("ownership", "a move does not wait for outstanding permits")
def no_drain():
    with (
        patch.object(ReleaseRules, "drained", lambda self, move, now: True),
        patch.object(ReleaseRules, "earlier_permits_ended", lambda self, now: True),
    ):
        yield
