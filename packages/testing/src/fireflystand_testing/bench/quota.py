"""Measure wrongful refusals and excess of quota leases in simulated time."""

from random import Random

import attrs
import fire

from fireflystand_core.accounts import QuotaCoordinator, QuotaHolder, TokenBucket
from fireflystand_core.configuration import AccountSettings

RATE = 400.0  # tokens a second
BURST = 100.0  # tokens
SMALL_RATES = (5.0, 20.0)  # tokens a second
SMALL_BURSTS = (1.0, 5.0, 20.0)  # tokens
INSTANCES = 12
SECONDS = 60.0
WARM_UP = 3.0  # seconds
STEP = 0.001  # seconds, also the round trip to the coordinator
DEADLINE = 1.0  # seconds
JUMP = 0.5  # seconds that jumping traffic stays on one instance


@attrs.define
class Result:
    """Hold the counts of one run."""

    calls: int = 0
    refused: int = 0
    wrongful: int = 0
    excess: float = 0.0  # tokens beyond rate and burst in the worst window
    messages: int = 0


def pick(shape: str, now: float, random: Random) -> int:
    """Return the instance that the next call reaches."""
    if shape == "one":
        return 0
    if shape == "even":
        return random.randrange(INSTANCES)
    return Random(int(now / JUMP)).randrange(INSTANCES)


def run(
    shape: str, load: float, seed: int, rate: float = RATE, burst: float = BURST
) -> Result:
    """Send Poisson traffic of a shape at a share of the rate."""
    random = Random(seed)
    settings = AccountSettings("a", rate, burst, ("s",))
    coordinator = QuotaCoordinator([settings], 0.0)
    holders = [QuotaHolder(str(n), settings, 0.0) for n in range(INSTANCES)]
    result = Result()
    state = _Run(coordinator, holders, result, settings)
    arrival = WARM_UP
    now = 0.0
    while now < WARM_UP + SECONDS:
        now += STEP
        while arrival <= now:
            result.calls += 1
            verdict = holders[pick(shape, now, random)].take(
                result.calls, now + DEADLINE, now
            )
            state.ideal(now)
            state.count(verdict)
            arrival += random.expovariate(rate * load)
        state.step(now)
    return result


class _Run:
    def __init__(self, coordinator, holders, result, settings) -> None:
        self.coordinator = coordinator
        self.holders = holders
        self.result = result
        self.settings = settings
        self.flights = []
        self.level = 0.0
        self.bucket = TokenBucket(settings.rate, settings.burst, 0.0)
        self.short = 0

    def ideal(self, now) -> None:
        """Follow one bucket that all calls would share."""
        self.bucket.refill(now)
        if self.bucket.level >= 1:
            self.bucket.level -= 1
        else:
            self.short += 1

    def count(self, verdict) -> None:
        if verdict is True:
            self.level += 1
            self.result.excess = max(
                self.result.excess, self.level - self.settings.burst
            )
        elif verdict is not False:
            self.result.refused += 1
            if self.result.refused > self.short:
                self.result.wrongful += 1

    def step(self, now) -> None:
        self.level = max(0.0, self.level - self.settings.rate * STEP)
        for instance, lease in self.flights:
            self.holders[int(instance)].on_lease(lease, now)
        self.flights = self.coordinator.advance(now)
        for holder in self.holders:
            for _, verdict in holder.advance(now):
                self.count(verdict)
            request = holder.next_request(now)
            if request is not None:
                self.result.messages += 2
                self.flights += self.coordinator.request(request, now)


def print_row(shape: str, load: float, rate: float, burst: float) -> None:
    """Run one case and print its row."""
    result = run(shape, load, 1, rate, burst)
    wrongful = result.wrongful / result.calls * 1e6
    excess = max(0.0, result.excess)
    messages = result.messages / (SECONDS + WARM_UP)
    print(
        f"| {shape} | {rate:g} | {burst:g} | {load} | {result.calls} | "
        f"{wrongful:.0f} | {excess:.2f} | {messages:.0f} |"
    )


def main(small: bool = False) -> None:
    """Print a table of shapes and loads; ``small`` takes small rates and bursts."""
    print(
        "| shape | rate | burst | load | calls | wrongful per million | "
        "worst excess | messages/s |"
    )
    print("|---|---|---|---|---|---|---|---|")
    sizes = [(r, b) for r in SMALL_RATES for b in SMALL_BURSTS]
    for rate, burst in sizes if small else [(RATE, BURST)]:
        for shape in ("even", "one", "jumping"):
            for load in (0.8, 0.99):
                print_row(shape, load, rate, burst)


if __name__ == "__main__":
    fire.Fire(main)
