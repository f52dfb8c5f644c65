"""Drive feed states through faults of the store and the network."""

import json

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fireflystand_core.accounts import KeyRegistry, KeyState
from fireflystand_core.feed import FeedState, answer_pull, next_pull, pull_after
from fireflystand_core.messages import FeedItem

__all__ = ["FeedMachine"]

INSTANCES = 4
KEYS = ["keys/a", "keys/b", "targets/t1", "claims/winkel/0"]
MAX_ROUNDS = 2 * INSTANCES + 2  # of heartbeats until connected instances agree

instances = st.integers(0, INSTANCES - 1)


class FeedMachine(RuleBasedStateMachine):
    """Check that nothing goes back and that connected instances agree."""

    @initialize()
    def start(self):
        """Start with an empty store."""
        self.revision = 0
        self.history: list[FeedItem] = []
        self.pushed: list[tuple[int, FeedItem]] = []
        self.sides = [0] * INSTANCES
        self.states = [FeedState() for _ in range(INSTANCES)]
        self.registries = [KeyRegistry() for _ in range(INSTANCES)]
        self.seen: list[dict[str, int]] = [{} for _ in range(INSTANCES)]
        self.withdrawn: list[set[str]] = [set() for _ in range(INSTANCES)]

    @rule(
        key=st.sampled_from(KEYS),
        state=st.sampled_from(["active", "withdrawn", "deleted"]),
    )
    def write(self, key, state):
        """Write an object to the store."""
        self.revision += 1
        value = json.dumps({"account": "gent", "state": state})
        item = FeedItem(key, self.revision, None if state == "deleted" else value)
        self.history.append(item)

    @rule(instance=instances, back=st.integers(0, 5))
    def watch(self, instance, back):
        """Deliver a recent or an old version from the store to a watcher."""
        if self.history:
            index = max(0, len(self.history) - 1 - back)
            changed = self._accept(instance, [self.history[index]])
            for peer in range(INSTANCES):
                self.pushed.extend((peer, item) for item in changed)

    def _accept(self, instance, items):
        changed = self.states[instance].accept(items)
        registry = self.registries[instance]
        for item in changed:
            kind, _, name = item.key.partition("/")
            if kind != "keys":
                continue
            if item.value is None:
                registry.remove(name)
                self.withdrawn[instance].add(name)
                continue
            value = json.loads(item.value)
            registry.put(name, value["account"], KeyState(value["state"]))
            if value["state"] == "withdrawn":
                self.withdrawn[instance].add(name)
        return changed

    @rule(index=st.integers(0, 20), lost=st.booleans(), repeat=st.booleans())
    def push(self, index, lost, repeat):
        """Deliver, lose or repeat any push on its way."""
        if not self.pushed:
            return
        index %= len(self.pushed)
        peer, item = self.pushed[index]
        if not repeat:
            del self.pushed[index]
        if not lost:
            self._accept(peer, [item])

    @rule(first=instances, second=instances)
    def heartbeat(self, first, second):
        """Let two connected instances compare digests and pull."""
        if self.sides[first] == self.sides[second]:
            self._pull(first, second)
            self._pull(second, first)

    def _pull(self, instance, peer):
        state, other = self.states[instance], self.states[peer]
        pull = next_pull(state, other.revision, other.digest)
        while pull is not None:
            answer = answer_pull(other, pull)
            self._accept(instance, answer.items)
            pull = pull_after(state, pull, answer)

    @rule(sides=st.lists(st.integers(0, 1), min_size=INSTANCES, max_size=INSTANCES))
    def partition(self, sides):
        """Cut the instances into two sides, or join them."""
        self.sides = sides

    @rule(instance=instances)
    def restart(self, instance):
        """Replace an instance by one that knows nothing."""
        self.states[instance] = FeedState()
        self.registries[instance] = KeyRegistry()
        self.seen[instance] = {}
        self.withdrawn[instance] = set()

    @invariant()
    def nothing_goes_back(self):
        """Compare each version with the one held before."""
        for state, seen in zip(self.states, self.seen, strict=True):
            versions = state.versions()
            for key, version in seen.items():
                assert versions.get(key, -1) >= version, f"{key} went back"
            seen.update(versions)

    @invariant()
    def withdrawn_keys_stay_withdrawn(self):
        """Look up each API key that was withdrawn."""
        for registry, withdrawn in zip(self.registries, self.withdrawn, strict=True):
            for name in withdrawn:
                assert registry.account_of_hash(name) is None, f"{name} is admitted"

    def teardown(self):
        """Check that each side of the partition converges, then the whole."""
        if not hasattr(self, "states"):
            return
        self._converge()
        self.sides = [0] * INSTANCES
        self._converge()

    def _converge(self):
        for _ in range(MAX_ROUNDS):
            for first in range(INSTANCES):
                for second in range(first):
                    self.heartbeat(first, second)
        for first in range(INSTANCES):
            for second in range(first):
                if self.sides[first] == self.sides[second]:
                    versions = self.states[first].versions()
                    assert versions == self.states[second].versions(), "no convergence"
        self.nothing_goes_back()
        self.withdrawn_keys_stay_withdrawn()
