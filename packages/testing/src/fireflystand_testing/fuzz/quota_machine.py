"""Drive quota coordinators and holders through faults."""

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from fireflystand_core.accounts import QuotaCoordinator, QuotaHolder
from fireflystand_core.accounts.coordinator import FIRST_TTL, LEASE_TTL
from fireflystand_core.configuration import AccountSettings
from fireflystand_core.messages import QuotaLease, QuotaRequest

__all__ = ["QuotaMachine"]

ACCOUNT = "gent"
HOLDERS = 3
MAX_DRIFT = 0.01  # share by which a clock may run fast or slow
TOLERANCE = 1e-6  # tokens
RECOVERY = 4.0  # seconds without faults after which a caller must be served
STEP = 0.05  # seconds

drifts = st.sampled_from([-MAX_DRIFT, 0.0, MAX_DRIFT])
delays = st.sampled_from([0.0, 0.001, 0.02, 0.1, 0.3, 0.5, 0.69, 0.9, 0.98, 1.1])
rates = st.sampled_from([1.0, 20.0, 100.0])
bursts = st.sampled_from([1.0, 3.0, 20.0, 100.0])


@attrs.define
class _Clock:
    rate: float
    offset: float

    def at(self, time: float) -> float:
        return self.offset + time * self.rate


@attrs.define
class _Coordinator:
    quota: QuotaCoordinator
    clock: _Clock
    paused: bool = False


@attrs.define
class _InFlight:
    holder: int
    message: QuotaRequest | QuotaLease


class QuotaMachine(RuleBasedStateMachine):
    """Check that no window sees more than its rate and one burst."""

    @initialize(
        rate=rates,
        burst=bursts,
        drift=drifts,
        holder_drifts=st.lists(drifts, min_size=HOLDERS, max_size=HOLDERS),
    )
    def start(self, rate, burst, drift, holder_drifts):
        """Start one coordinator and its holders."""
        self.time = 100.0
        self.settings = AccountSettings(ACCOUNT, rate, burst, ("winkel",))
        self.network: list[_InFlight] = []
        self.callers = 0
        self.excess = 0.0
        self.highest_burst = burst
        self.coordinator = self._start_coordinator(drift)
        self.clocks = [_Clock(1 + d, n * 1000.0) for n, d in enumerate(holder_drifts)]
        self.holders = [
            QuotaHolder(f"i{n}", self.settings, clock.at(self.time))
            for n, clock in enumerate(self.clocks)
        ]

    def _start_coordinator(self, drift, state=None) -> _Coordinator:
        clock = _Clock(1 + drift, drift * 5000.0)
        now = clock.at(self.time)
        return _Coordinator(QuotaCoordinator([self.settings], now, state), clock)

    @rule(delay=delays)
    def wait(self, delay):
        """Let time pass in which nothing runs."""
        self._pass_time(delay)
        self._advance_coordinator()

    def _pass_time(self, delay):
        # A bucket that drains at the highest rate a clock allows; it holds what the
        # fullest window up to now has admitted beyond its rate.
        self.time += delay
        drained = delay * self.settings.rate * (1 + MAX_DRIFT)
        self.excess = max(0.0, self.excess - drained)
        if self.excess == 0.0:
            self.highest_burst = self.settings.burst

    @rule(holder=st.integers(0, HOLDERS - 1), count=st.integers(1, 30), limit=delays)
    def call(self, holder, count, limit):
        """Let callers arrive at one instance."""
        now = self.clocks[holder].at(self.time)
        for _ in range(count):
            self.callers += 1
            verdict = self.holders[holder].take(self.callers, now + limit, now)
            self._count(verdict)
        self._run_holder(holder)

    @rule(holder=st.integers(0, HOLDERS - 1))
    def run(self, holder):
        """Let one instance do what is due."""
        self._run_holder(holder)

    def _run_holder(self, holder):
        now = self.clocks[holder].at(self.time)
        for _, verdict in self.holders[holder].advance(now):
            self._count(verdict)
        request = self.holders[holder].next_request(now)
        if request is not None:
            self.network.append(_InFlight(holder, request))

    def _count(self, verdict):
        if verdict is True:
            self.excess += 1

    @rule(index=st.integers(0, 20), repeat=st.booleans())
    def deliver(self, index, repeat):
        """Deliver any message on its way, perhaps keeping a copy of it."""
        if not self.network:
            return
        index %= len(self.network)
        flight = self.network[index] if repeat else self.network.pop(index)
        self._deliver(flight)

    @rule(repeat=st.booleans())
    def deliver_all(self, repeat=False):
        """Deliver messages until none is on its way."""
        for _ in range(20):
            if not self.network:
                return
            flight = self.network.pop(0)
            self._deliver(flight)
            if repeat:
                self._deliver(flight)

    def _deliver(self, flight):
        if isinstance(flight.message, QuotaLease):
            now = self.clocks[flight.holder].at(self.time)
            self.holders[flight.holder].on_lease(flight.message, now)
            self._run_holder(flight.holder)
        elif self.coordinator.paused:
            self.network.append(flight)
        else:
            now = self.coordinator.clock.at(self.time)
            self._answer(self.coordinator.quota.request(flight.message, now))

    def _advance_coordinator(self):
        if not self.coordinator.paused:
            now = self.coordinator.clock.at(self.time)
            self._answer(self.coordinator.quota.advance(now))

    def _answer(self, answers):
        for instance, lease in answers:
            self.network.append(_InFlight(int(instance[1:]), lease))

    @rule(index=st.integers(0, 20))
    def lose(self, index):
        """Lose a message."""
        if self.network:
            self.network.pop(index % len(self.network))

    @rule(
        holder=st.integers(0, HOLDERS - 1),
        delay=st.sampled_from([0.5, 0.8, 0.96]),
        end=st.sampled_from(
            ["take-over", "take-over-twice", "hand-over", "late", "given-up", "none"]
        ),
        drift=drifts,
    )
    def hold_a_burst(self, holder, delay, end, drift):
        """Spend a whole burst around a fault while the bucket may fill again."""
        self.coordinator.paused = False
        self._settle(RECOVERY)
        now = self.clocks[holder].at(self.time)
        for _ in range(int(self.settings.burst)):
            self.callers += 1
            verdict = self.holders[holder].take(self.callers, now + 1000.0, now)
            self._count(verdict)
        self._run_holder(holder)
        requests, self.network = self.network, []
        for flight in requests:
            self._deliver(flight)
        answers, self.network = self.network, []
        if end == "take-over":
            self.take_over(drift)
        elif end == "take-over-twice":
            self.take_over_twice(drift, holder, answers)
            return
        elif end == "hand-over":
            self.hand_over(drift)
        elif end == "given-up":
            self.break_stream(holder)
        self._pass_time(delay)
        if end == "late":
            self._pass_time(LEASE_TTL)
            self._advance_coordinator()
            self._pass_time(self.settings.burst / self.settings.rate)
        if end == "given-up":
            self._run_holder(holder)
            requests = [f for f in self.network if isinstance(f.message, QuotaRequest)]
            for flight in requests:
                self.network.remove(flight)
                self._deliver(flight)
        for flight in answers:
            self._deliver(flight)
        self._call_everywhere()
        self.deliver_all()
        self._advance_coordinator()
        self.deliver_all()

    def take_over_twice(self, drift, holder, answers):
        """Lose a second coordinator while leases of both are on their way."""
        other = (holder + 1) % HOLDERS
        self.take_over(drift)
        now = self.clocks[other].at(self.time)
        for _ in range(int(self.settings.burst)):
            self.callers += 1
            self._count(self.holders[other].take(self.callers, now + 1000.0, now))
        self._run_holder(other)
        self.deliver_all()
        self._pass_time(FIRST_TTL + 0.9 * self.settings.burst / self.settings.rate)
        self._advance_coordinator()
        second, self.network = self.network, []
        self.take_over(drift)
        end = self.time + FIRST_TTL * 0.9
        while self.time < end:
            self._pass_time(STEP / 10)
            self._call_everywhere([(other + 1) % HOLDERS])
            self.deliver_all()
            self._advance_coordinator()
            self.deliver_all()
        for flight in [*second, *answers]:
            self._deliver(flight)

    def _call_everywhere(self, holders=range(HOLDERS)):
        for holder in holders:
            now = self.clocks[holder].at(self.time)
            for _ in range(int(self.settings.burst)):
                self.callers += 1
                verdict = self.holders[holder].take(self.callers, now + 1.0, now)
                self._count(verdict)
            self._run_holder(holder)

    @rule(holder=st.integers(0, HOLDERS - 1))
    def break_stream(self, holder):
        """Tell an instance that its request failed; the answer may come late."""
        self.holders[holder].on_failure(
            self.holders[holder].sequence, self.clocks[holder].at(self.time)
        )

    @rule(paused=st.booleans())
    def pause(self, paused):
        """Pause the coordinator or let it go on."""
        self.coordinator.paused = paused

    @rule(drift=drifts)
    def take_over(self, drift):
        """Let another coordinator start after the authority of the last one ended."""
        self.coordinator = self._start_coordinator(drift)

    @rule(drift=drifts)
    def hand_over(self, drift):
        """Let another coordinator continue with the state of the last one."""
        now = self.coordinator.clock.at(self.time)
        state = self.coordinator.quota.export(now)
        self.coordinator = self._start_coordinator(drift, state)

    @rule(rate=rates, burst=bursts)
    def change_settings(self, rate, burst):
        """Change rate and burst while tokens are lent."""
        self._advance_coordinator()
        self.settings = attrs.evolve(self.settings, rate=rate, burst=burst)
        self.highest_burst = max(self.highest_burst, burst)
        now = self.coordinator.clock.at(self.time)
        self.coordinator.quota.configure([self.settings], now)
        for holder in self.holders:
            holder.settings = self.settings

    @invariant()
    def no_window_exceeds_rate_and_burst(self):
        """Compare the fullest window with the burst."""
        if hasattr(self, "excess"):
            assert self.excess <= self.highest_burst + TOLERANCE, (
                f"{self.excess} tokens beyond the rate, burst {self.highest_burst}"
            )

    def teardown(self):
        """Check that callers are served once the faults have ended."""
        if not hasattr(self, "excess"):
            return
        self.coordinator.paused = False
        for holder in self.holders:
            for caller in range(self.callers + 1):
                holder.cancel(caller)
        self._settle(RECOVERY)
        self.network.clear()
        for holder in range(HOLDERS):
            self.callers += 1
            now = self.clocks[holder].at(self.time)
            verdict = self.holders[holder].take(self.callers, now + 60.0, now)
            self._count(verdict)
        self._settle(RECOVERY + HOLDERS / self.settings.rate)
        for holder in self.holders:
            assert holder.waiting == 0, "a caller still waits without any fault"

    def _settle(self, duration):
        end = self.time + duration
        while self.time < end:
            self._pass_time(STEP)
            self._advance_coordinator()
            for holder in range(HOLDERS):
                self._run_holder(holder)
            self.deliver_all()
        self.no_window_exceeds_rate_and_burst()
