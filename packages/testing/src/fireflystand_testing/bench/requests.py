"""Measure admission, balancing and fairness on a discrete event model.

Run with ``python -m fireflystand_testing.bench.requests [table]``.
"""

import heapq
import sys
from itertools import count
from random import Random

import attrs

from fireflystand_core.admission import (
    PermitDesk,
    Reply,
    balancing_policies_by_name,
)
from fireflystand_core.journal import JournalIndex
from fireflystand_core.messages import (
    Permit,
    PermitRequest,
    PermitReturn,
)

__all__ = ["Model", "Scenario", "main"]

TARGETS = 8
SLOTS = 3
MEAN_SERVICE_TIME = 0.02  # seconds
SIGMA = 0.5  # of the logarithm of the service time
CAPACITY = TARGETS * SLOTS / MEAN_SERVICE_TIME  # requests a second
SLOWDOWN = 10.0
SLOW_TIMES = (0.5, 5.0)  # seconds; also of the gaps between slowdowns
HOP = 0.0005  # seconds one way between instances
STATUS_INTERVAL = 0.33  # seconds
TICK = 0.05  # seconds
SETTLE = 2.0  # seconds before measuring
DEADLINE = 0.5  # seconds
SUCCESSES_PER_SLOT = 4  # that a cold target needs to take one more request


@attrs.frozen
class Scenario:
    """Describe one run; ``rates`` holds requests a second by account."""

    rates: dict[str, float]
    policy: str = "latency_aware"
    hedging: bool = False
    slow_targets: int = 0
    cold: bool = False
    seconds: float = 20.0
    deadline: float = DEADLINE


@attrs.define(eq=False)
class _Request:
    account: str
    started: float
    deadline: float
    permits: dict[str, Permit] = attrs.field(factory=dict)
    done: bool = False


class Model:
    """Run one scenario and keep what each account got."""

    def __init__(self, scenario: Scenario, seed: int = 1) -> None:
        self.scenario = scenario
        self.random = Random(seed)
        self.now = 0.0
        self.latencies: dict[str, list[float]] = {a: [] for a in scenario.rates}
        self.asked = dict.fromkeys(scenario.rates, 0)
        self.hedges = self.runs = self.overruns = 0
        self.full_at: float | None = None
        self._events: list = []
        self._numbers = count()
        self._requests: dict[str, _Request] = {}
        self._running: dict[str, set[str]] = {f"t{i}": set() for i in range(TARGETS)}
        self._successes = dict.fromkeys(self._running, 0 if scenario.cold else 1000)
        self._slow = self._draw_slowdowns()
        self.desk = PermitDesk(
            "bench",
            0,
            1,
            JournalIndex("bench", 0, 1),
            balancing=scenario.policy,
            hedging=scenario.hedging,
            seed=seed,
        )
        for target in self._running:
            self.desk.add_target(target, target, SLOTS, 1000, 0.0)
            self.desk.target_status(target, "1", 1.0, 0, 0.0, 0.0)
            if not scenario.cold:
                self.desk.targets_by_id[target].warm_limit = float(SLOTS)

    def _draw_slowdowns(self) -> dict[str, list[tuple[float, float]]]:
        windows: dict[str, list[tuple[float, float]]] = {}
        for target in list(self._running)[: self.scenario.slow_targets]:
            at, found = SETTLE, []
            while at < self.scenario.seconds:
                end = at + self.random.uniform(*SLOW_TIMES)
                found.append((at, end))
                at = end + self.random.uniform(*SLOW_TIMES)
            windows[target] = found
        return windows

    def run(self) -> "Model":
        """Run to the end."""
        for account in self.scenario.rates:
            self._later(0.0, self._arrive, account)
        self._later(0.0, self._tick)
        self._later(STATUS_INTERVAL, self._status)
        while self._events and self._events[0][0] < self.scenario.seconds:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self

    def _later(self, delay: float, action, *arguments) -> None:
        event = (self.now + delay, next(self._numbers), action, arguments)
        heapq.heappush(self._events, event)

    def _arrive(self, account: str) -> None:
        rate = self.scenario.rates[account]
        self._later(self.random.expovariate(rate), self._arrive, account)
        name = f"r{next(self._numbers)}"
        request = _Request(account, self.now, self.now + self.scenario.deadline)
        self._requests[name] = request
        if self.now >= SETTLE or self.scenario.cold:
            self.asked[account] += 1
        self._later(HOP, self._ask, name, None)

    def _ask(self, name: str, hedge_of: str | None) -> None:
        request = self._requests[hedge_of or name]
        message = PermitRequest(
            name,
            "bench",
            0,
            0,
            0,
            request.account,
            True,
            next(self._numbers),
            request.deadline - self.now,
            hedge_of=hedge_of,
        )
        self._act(self.desk.request(message, "e", self.now))

    def _act(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, Reply) and isinstance(action.answer, Permit):
                name = action.request_id
                self._later(2 * HOP, self._start, name, action.answer)

    def _start(self, name: str, permit: Permit) -> None:
        original = name.removesuffix("h")
        request = self._requests[original]
        if request.done or request.deadline <= self.now:
            self._give_back(permit, "not-run", 0.0)
            return
        request.permits[permit.permit_id] = permit
        running = self._running[permit.target]
        running.add(permit.permit_id)
        self.runs += 1
        limit = min(SLOTS, 1 + self._successes[permit.target] // SUCCESSES_PER_SLOT)
        self.overruns += len(running) > limit
        seconds = self._service_time(permit.target)
        self._later(seconds, self._end, original, permit, self.now)
        self._later(request.deadline - self.now, self._expire, original)
        if permit.hedge_after is not None:
            self._later(permit.hedge_after, self._hedge, original)

    def _service_time(self, target: str) -> float:
        seconds = self.random.lognormvariate(0.0, SIGMA) * MEAN_SERVICE_TIME
        seconds /= 2.718281828 ** (SIGMA * SIGMA / 2)
        slow = any(a <= self.now < b for a, b in self._slow.get(target, ()))
        return seconds * SLOWDOWN if slow else seconds

    def _hedge(self, name: str) -> None:
        request = self._requests[name]
        if not request.done and len(request.permits) == 1:
            before = self.desk.issuer.permits()
            self._ask(name + "h", name)
            self.hedges += len(self.desk.issuer.permits()) > len(before)

    def _end(self, name: str, permit: Permit, started: float) -> None:
        request = self._requests[name]
        if request.done or permit.permit_id not in request.permits:
            return
        self._running[permit.target].discard(permit.permit_id)
        self._successes[permit.target] += 1
        self._give_back(permit, "answered", self.now - started)
        del request.permits[permit.permit_id]
        if request.started >= SETTLE or self.scenario.cold:
            latency = self.now + HOP - request.started
            self.latencies[request.account].append(latency)
        self._finish(request, started)

    def _expire(self, name: str) -> None:
        request = self._requests[name]
        if not request.done:
            self._finish(request, request.started)

    def _finish(self, request: _Request, started: float) -> None:
        """Cancel whatever still runs for a request."""
        request.done = True
        for permit in request.permits.values():
            self._running[permit.target].discard(permit.permit_id)
            age = self.now - started
            self._give_back(permit, "unknown", age, ended=True)
        request.permits.clear()

    def _give_back(self, permit: Permit, outcome: str, latency: float, **flags):
        returned = PermitReturn(
            "bench", 0, permit.permit_id, outcome, 200, latency, **flags
        )
        self._later(HOP, self._returned, returned)

    def _returned(self, returned: PermitReturn) -> None:
        self._act(self.desk.returned(returned, self.now))

    def _tick(self) -> None:
        self._act(self.desk.tick(self.now))
        capacity = sum(t.capacity for t in self.desk.targets_by_id.values())
        if self.full_at is None and capacity >= 0.95 * TARGETS * SLOTS:
            self.full_at = self.now
        self._later(TICK, self._tick)

    def _status(self) -> None:
        for target, running in self._running.items():
            actions = self.desk.target_status(
                target, "1", 1.0, len(running), self.now, self.now
            )
            self._act(actions)
        self._later(STATUS_INTERVAL, self._status)

    def goodput(self) -> float:
        """Return answers a second."""
        span = self.scenario.seconds - (0 if self.scenario.cold else SETTLE)
        return sum(map(len, self.latencies.values())) / span

    def p99(self, *accounts: str) -> float:
        """Return the 99th percentile of latency in milliseconds."""
        names = accounts or tuple(self.latencies)
        found = sorted(v for name in names for v in self.latencies[name])
        return found[int(len(found) * 0.99)] * 1000 if found else float("nan")

    def share(self, account: str) -> float:
        """Return which part of an account's requests was answered."""
        return len(self.latencies[account]) / max(1, self.asked[account])


def equal_rates(load: float) -> dict[str, float]:
    """Return the rates of 8 equal accounts that together make up a load."""
    return {f"a{i}": load * CAPACITY / 8 for i in range(8)}


def goodput_table() -> None:
    """Print goodput by offered load."""
    print("| load | goodput/s | of best | p99 ms |\n|---|---|---|---|")
    models = {
        load: Model(Scenario(equal_rates(load), seconds=10.0)).run()
        for load in (0.5, 0.9, 1.0, 1.5, 3.0)
    }
    best = max(model.goodput() for model in models.values())
    for load, model in models.items():
        goodput = model.goodput()
        print(f"| {load} | {goodput:.0f} | {goodput / best:.3f} | {model.p99():.0f} |")


def balancing_table() -> None:
    """Print tail latency with slowed targets by balancing policy."""
    print("| policy | hedging | p99 none slowed | p99 2 of 8 slowed | extra load |")
    print("|---|---|---|---|---|")
    for policy in balancing_policies_by_name:
        for hedging in (False, True):
            runs = [
                Model(Scenario(equal_rates(0.5), policy, hedging, slow)).run()
                for slow in (0, 2)
            ]
            extra = max(model.hedges / model.runs for model in runs)
            print(
                f"| {policy} | {'yes' if hedging else 'no'} | {runs[0].p99():.0f} ms "
                f"| {runs[1].p99():.0f} ms | {extra:.1%} |"
            )


def fairness_table() -> None:
    """Print what the other accounts get while one sends 8 times its rate."""
    print("| base load | others' p99 before | during | ratio | worst share |")
    print("|---|---|---|---|---|")
    for load in (0.5, 0.8):
        rates = equal_rates(load)
        others = tuple(rates)[1:]
        before = Model(Scenario(rates, seconds=12.0)).run().p99(*others)
        noisy = Scenario({**rates, "a0": rates["a0"] * 8}, seconds=12.0)
        model = Model(noisy).run()
        during = model.p99(*others)
        worst = min(model.share(account) for account in others)
        print(
            f"| {load} | {before:.0f} ms | {during:.0f} ms | {during / before:.2f} "
            f"| {worst:.3f} |"
        )


def warm_up_table() -> None:
    """Print how a service that is cold as a whole comes back."""
    print("| load | full capacity after | answered | overruns |\n|---|---|---|---|")
    for load in (0.5, 0.9, 3.0):
        model = Model(Scenario(equal_rates(load), cold=True, seconds=10.0)).run()
        answered = sum(map(len, model.latencies.values())) / sum(model.asked.values())
        full = "never" if model.full_at is None else f"{model.full_at:.2f} s"
        print(f"| {load} | {full} | {answered:.3f} | {model.overruns} |")


TABLES = {
    "goodput": goodput_table,
    "balancing": balancing_table,
    "fairness": fairness_table,
    "warm-up": warm_up_table,
}


def main() -> None:
    """Print the named table, or all."""
    for name in sys.argv[1:] or TABLES:
        print(f"\n{name}\n")
        TABLES[name]()


if __name__ == "__main__":
    main()
