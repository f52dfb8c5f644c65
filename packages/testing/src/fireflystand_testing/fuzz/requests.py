"""Fuzz permits and the journal against lost, late and repeated messages."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from fireflystand_core.messages import PermitRequest

from .registry import machine
from .request_world import Call, RequestWorld

__all__ = ["RequestMachine"]

ENTRIES = 4
KEYS = 3
POISON_FINGERPRINT = 666
TARGETS = 4

numbers = st.integers(0, 7)


@machine("requests")
class RequestMachine(RuleBasedStateMachine):
    """Disturb callers, entry instances, coordinators, targets and the store."""

    def __init__(self) -> None:
        super().__init__()
        self.world = RequestWorld()
        self.entries = [f"e{i}" for i in range(ENTRIES)]
        self.poisoned: Call | None = None

    @initialize(keyed=st.booleans(), warm=st.booleans())
    def choose_service(self, keyed, warm):
        """Start with a service that is divided by key or not, warm or cold."""
        self.world = RequestWorld(targets=TARGETS, keyed=keyed)
        self.world.advance(0.1)
        if warm:
            self.world.warm_up()

    def _call(self, entry: int, deadline: float, poison: bool = False, **fields):
        world = self.world
        request = PermitRequest(
            f"r{len(world.calls)}", "winkel", 0, 0, deadline=deadline, **fields
        )
        name = self.entries[entry % ENTRIES]
        call = Call(request, name, world.now + deadline, poison)
        world.calls.append(call)
        world.ask(call)
        return call

    @rule(entry=numbers, key=numbers, account=st.sampled_from("ab"), count=numbers)
    def read(self, entry, key, account, count):
        """Send idempotent requests."""
        self._read(entry, key, account, count)

    def _read(self, entry, key, account, count):
        for _ in range(count):
            self._call(
                entry,
                3.0,
                key_hash=key,
                account=account,
                idempotent=True,
                fingerprint=key,
            )

    @rule(entry=numbers, key=numbers, deadline=st.sampled_from([0.5, 2.0, 4.0]))
    def order(self, entry, key, deadline):
        """Send an order, perhaps again, perhaps through another instance."""
        self._order(entry, key, deadline)

    def _order(self, entry, key, deadline):
        key %= KEYS
        self._call(
            entry,
            deadline,
            key_hash=key,
            account="a",
            idempotent=False,
            fingerprint=100 + key,
            idempotency_key=f"k{key}",
        )

    @rule(entry=numbers)
    def poison(self, entry):
        """Send the request that crashes targets, one at a time."""
        if self.poisoned is not None and self.poisoned.state != "done":
            if self.poisoned.entry not in self.world.killed:
                return
            # A killed instance may leave the request running, so its caller
            # waits for the deadline before it repeats it.
            if self.world.now < self.poisoned.deadline:
                return
        self.poisoned = self._call(
            entry,
            1.0,
            poison=True,
            key_hash=5,
            account="b",
            idempotent=True,
            fingerprint=POISON_FINGERPRINT,
        )

    @rule(seconds=st.sampled_from([0.02, 0.1, 0.5, 1.5]))
    def advance(self, seconds):
        """Let time pass."""
        self.world.advance(seconds)

    @rule(index=numbers, how=st.sampled_from(["lose", "repeat", "delay"]))
    def disturb(self, index, how):
        """Lose, repeat or delay a message."""
        self.world.disturb(index, how)

    @rule(index=numbers)
    def status(self, index):
        """Let a target report."""
        self.world.status(f"t{index % TARGETS}")

    @rule(index=numbers, seen=st.booleans())
    def crash(self, index, seen):
        """Let a target's process die, with or without evidence."""
        name = f"t{index % TARGETS}"
        if seen:
            self.world.see_crash(name)
        else:
            self.world.crash(name)

    @rule(index=numbers)
    def freeze_or_thaw(self, index):
        """Freeze a target, or let it go on."""
        state = self.world.targets[f"t{index % TARGETS}"]
        if state.frozen:
            self.world.thaw(state.id)
        else:
            state.frozen = True

    @rule(index=numbers)
    def leave(self, index):
        """Let a caller leave."""
        waiting = [c for c in self.world.calls if c.state == "asking"]
        if waiting:
            self.world.leave(waiting[index % len(waiting)])

    @rule(entry=numbers)
    def kill_entry(self, entry):
        """Replace an entry instance."""
        index = entry % ENTRIES
        self.world.kill_entry(self.entries[index])
        self.entries[index] += "'"

    @rule()
    def takeover(self):
        """Let another instance claim the group."""
        if self.world.store_up:
            self.world.takeover()

    @rule(entry=numbers, key=numbers)
    def takeover_after_outage(self, entry, key):
        """Let another instance claim the group before an outage is caught up."""
        if not self.world.store_up:
            return
        self.world.toggle_store()
        self._order(entry, key, 2.0)
        self.world.advance(0.1)
        self.world.toggle_store()
        self.world.takeover()
        self._order(entry, key, 2.0)

    @rule(entry=numbers, key=numbers)
    def takeover_between_repeats(self, entry, key):
        """Let another instance claim the group between an order and its repeat."""
        if not self.world.store_up:
            return
        self._order(entry, key, 2.0)
        self.world.advance(0.5)
        self.world.takeover()
        self._order(entry + 1, key, 2.0)
        self.world.advance(0.5)

    @rule(entry=numbers)
    def takeover_of_busy_targets(self, entry):
        """Let another instance claim the group while all targets are busy."""
        if not self.world.store_up:
            return
        for key in range(2 * TARGETS):
            self._read(entry, key, "a", 2)
        self.world.advance(0.05)
        self.world.takeover()
        for key in range(TARGETS):
            self._read(entry, key, "b", 1)
        self.world.advance(0.05)

    @rule()
    def handover(self):
        """Move the group in a planned way."""
        if self.world.store_up:
            self.world.handover()

    @rule()
    def store_outage(self):
        """Take the store down or bring it back."""
        self.world.toggle_store()

    def teardown(self) -> None:
        """Let everything end."""
        for target in list(self.world.targets.values()):
            if target.frozen:
                self.world.thaw(target.id)
        self.world.advance(7.0)
        assert not self.world.desk.waiting()
