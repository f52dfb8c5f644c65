"""Write docs/CAPACITY.md from measured figures."""

import argparse
import json
from pathlib import Path

import attrs

__all__ = ["main"]

HERE = Path(__file__).parent
FIGURES = HERE / "figures.json"
PAGE = HERE.parents[4] / "docs" / "CAPACITY.md"

NODES = 870
KEYS = 580_000_000
REQUESTS = 2_600_000  # requests/s
CHANGES = 850  # configuration changes a day
REPLACED = 51  # instances failed, restarted or replaced a day
DATA_CENTRES = 4
WATCHERS = 2 * DATA_CENTRES
TARGETS_PER_NODE = 3
GROUP_TARGETS = 9  # targets of a group, as for winkel today
SHARD_BYTES = 4  # of a group record for each shard
PERMIT_BYTES = 600  # of a permit request, its answer and its return
PROCESSOR_GOAL = 1.2  # percent of a core
MEMORY_GOAL = 256.0  # MiB
TRAFFIC_GOAL = 14.0  # kB/s
WRITE_LIMIT = 400.0  # calls/s
READ_LIMIT = 2000.0  # calls/s


@attrs.frozen
class Line:
    """Hold a straight line through measured points."""

    base: float
    slope: float

    def at(self, size: float) -> float:
        """Return the value at a fleet size."""
        return self.base + self.slope * size


def fit(points: dict[int, float]) -> Line:
    """Return the least-squares line through values by fleet size."""
    count = len(points)
    mean_x = sum(points) / count
    mean_y = sum(points.values()) / count
    spread = sum((x - mean_x) ** 2 for x in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points.items()) / spread
    return Line(mean_y - slope * mean_x, slope)


def by_size(figures: dict, prefix: str) -> dict[int, float]:
    """Return the values of ``prefix.SIZE`` rows by size."""
    return {
        int(name.rpartition(".")[2]): row["value"]
        for name, row in figures.items()
        if name.rpartition(".")[0] == prefix
    }


def verdict(value: float, goal: float) -> str:
    """Tell whether a value is within its goal."""
    return "holds" if value <= goal else f"**misses** {goal:g}"


@attrs.frozen
class PlatformRows:
    """Hold what the page tells of the platform path."""

    table: str
    line: Line
    verdict: str


def platform_rows(figures: dict) -> PlatformRows:
    """Return the rows of the idle instances on the platform path."""
    processor = by_size(figures, "platform.processor")
    at_start = by_size(figures, "platform.store-start")
    later = by_size(figures, "platform.store-later")
    table = "\n".join(
        f"| {size} | {processor[size]:.2f}% | {at_start[size]:.0f} "
        f"| {later[size]:.1f}/s |"
        for size in sorted(processor)
    )
    line = fit(processor)
    return PlatformRows(table, line, verdict(line.at(NODES), PROCESSOR_GOAL))


def render(figures: dict) -> str:
    """Return the page."""
    processor = by_size(figures, "control.processor.mean")
    memory = by_size(figures, "control.memory.mean")
    traffic = by_size(figures, "control.peer-traffic.mean")
    watches = by_size(figures, "store.calls.watch")
    largest = max(processor)
    cpu_line, traffic_line = fit(processor), fit(traffic)
    watch_line = fit(watches)
    cpu, kilobytes = processor[largest], traffic[largest]
    entry_us = figures["entry.processor"]["value"]
    forwarder_us = figures["forwarder.processor"]["value"]
    rate = REQUESTS / NODES
    cores = rate * entry_us / 1e6
    groups = NODES * TARGETS_PER_NODE / GROUP_TARGETS
    watch_calls = WATCHERS * watches[largest] / max(1, min(largest, WATCHERS))
    claims = REPLACED * groups / NODES / 86_400
    permit_traffic = rate * PERMIT_BYTES / 1000
    platform = platform_rows(figures)
    table = "\n".join(
        f"| {size} | {processor[size]:.2f}% | {memory[size]:.1f} MiB "
        f"| {traffic[size]:.2f} kB/s | {watches[size]:.1f}/s |"
        for size in sorted(processor)
    )
    return f"""# Capacity

Written by `python -m fireflystand_testing.bench.capacity` from the figures in
`bench/figures.json`; change the script, not this page. The size is that of section 2
of the design page: {NODES} nodes, {KEYS:,} keys, {REQUESTS:,} requests/s, 99 in 100
within 14 ms. Rows say `computed` where they follow from the design and `measured`
where a run gave the figure; nothing here was run at {NODES} nodes.

## Measured

Control of an idle router (`make bench`, measure `control-cost`, one run on a shared
machine, {TARGETS_PER_NODE} targets for each router, no callers; 24 routers were not
run):

| routers | processor of a router | memory | peer traffic | store watches in all |
|---|---|---|---|---|
{table}

Least-squares lines over the fleet size: processor {cpu_line.base:.2f}% +
{cpu_line.slope:.4f}% a router, peer traffic {traffic_line.base:.2f} kB/s +
{traffic_line.slope:.4f} kB/s a router, watches {watch_line.base:.2f}/s +
{watch_line.slope:.3f}/s a router. The number of watchers is bounded by {WATCHERS} (2
for each data centre), so the watches stop growing there. The lines are not
extrapolated to {NODES}: by design each router talks to a fixed number of peers, and a
slope above 0 at these sizes comes from fleets smaller than that number.

Entry: {entry_us:.0f} us of processor time for a request, against {forwarder_us:.0f} us
of a bare h11 forwarder in the same run (ratio {entry_us / forwarder_us:.2f};
`bench.edge`, permits faked).

## Measured on the platform path

`python -m fireflystand_testing.bench.idle`, instances of the platform path in one
process, without callers, 30 targets. Separate processes pay for each wake-up.

| instances | processor of an instance | store calls at the start | store calls later |
|---|---|---|---|
{platform.table}

Least-squares line: processor {platform.line.base:.3f}% + {platform.line.slope:.5f}% an
instance, {platform.line.at(NODES):.1f}% at {NODES}, which {platform.verdict}. The slope
is that of the beats: every pair of instances exchanges one in a round, and a round
grows from 24 instances on, so that an instance exchanges 48 a second at most on
average. A silent peer is noticed after 2.6 rounds, 48 s at {NODES}: computed. What it
must be instead at that size: beats to a fixed number of peers, which tell of the
others. At the start each instance registers with one call; the watchers'
calls come on top. At 96 the one process was short of processor time while the
instances met: their copies grew old, and each asked the store by itself. Whether
separate processes do so at that size is not known; the calls at 48 and 96 are not
those of a healthy fleet.

## Roles at the size of the aim

| role | state | messages | processor time | memory | mechanism | holds? |
|---|---|---|---|---|---|---|
| entry | quota leases by account, connection pools, feed: computed | {rate:,.0f} requests/s a node, each with one permit round trip: computed | {cores:.1f} cores a node without the permit: computed from the measured {entry_us:.0f} us | {memory[largest]:.0f} MiB idle: measured at {largest} | several router processes on a node, each an instance of its own; batched permit requests | needs about {cores + 1:.0f} to {2 * cores:.0f} processes a node; not run |
| coordinator | {groups:,.0f} groups of {GROUP_TARGETS} targets, {groups / NODES:.2f} a node; {512 * SHARD_BYTES / 1000:.0f} kB a record, keys are never listed | {rate:,.0f} permits/s a node, about {permit_traffic:,.0f} kB/s: computed | not measured for a permit | part of the router's | one coordinator for each group, permits of one loop turn in one message; permits in advance are not built | **open**: the cost of a permit and 14 ms at this rate were not measured |
| grants and status | one grant a target | {TARGETS_PER_NODE * 3} grants/s a node: computed | in the idle cost below | - | renewals on kept connections by the group's coordinator | in the idle cost |
| witness | highest epoch by group | 7 requests/s to 4 others a node, all groups at once: computed | in the idle cost below | under 1 MiB: computed | 5 witnesses a group, batched by instance | in the idle cost |
| quota coordinator | a bucket an account | {figures["quota.messages"]["value"]:.0f} messages/s for one account at 400 requests/s over 12 instances: measured in process | not measured | small | `accounts/<n>` groups, leases of 1 s | **misses**: lease messages grow with the request rate; leases by time and demand would be built |
| watcher | feed of {CHANGES} changes a day and the claims | {watch_calls:.1f} watch calls/s in all: from the measured calls | in the idle cost | feed: claims of {groups:,.0f} groups, about {groups * 0.4 / 1000:.1f} MB: computed | {WATCHERS} watchers, gossip to 3 peers, digests every 0.5 s | holds in the model (`bench.feed_spread`, 870 instances): pushes reach 92.5% within 12 message rounds, one heartbeat round of 0.5 s the rest; not run |
| journal writer | segments of at most 1 MB | one write in flight a writer, 2 writers a region: computed | not measured | segments in writing | group commit; steady under {2 * 2 * 20} writes/s in all: computed at 20 a writer | holds for the writes; the entries a second a writer carries were not measured |
| operators' tool | none | {CHANGES} changes a day, 2 writes each: {CHANGES * 2 / 86400:.3f} writes/s | - | - | conditional updates | holds |
| store | group records {groups * 3 / 1000:.1f} MB, journal, configuration | {watch_calls:.1f} reads/s of watches, claims {claims:.4f}/s on an ordinary day, journal up to 80 writes/s | the platform's | - | watchers bounded, no call for a request, no renewal in the store | {verdict(watch_calls, READ_LIMIT)} for reads of {READ_LIMIT:,.0f}/s, {verdict(80.0, WRITE_LIMIT)} for writes of {WRITE_LIMIT:.0f}/s |

## Control of a node

| what | goal | measured at {largest} routers | state |
|---|---|---|---|
| processor | {PROCESSOR_GOAL}% of a core | {cpu:.2f}% | {verdict(cpu, PROCESSOR_GOAL)} |
| memory | {MEMORY_GOAL:.0f} MB | {memory[largest]:.1f} MiB | {verdict(memory[largest], MEMORY_GOAL)} |
| peer traffic | {TRAFFIC_GOAL:.0f} kB/s | {kilobytes:.2f} kB/s | {verdict(kilobytes, TRAFFIC_GOAL)} |

With several router processes on a node these count for each process. What takes the
processor time: the ticks of every coordinated group each 0.05 s, status and grant
calls through h11, witness rounds. A reduction was tried on a branch (one status a
grant, work only on changes) and not merged: its gain was not established between
runs, and it conflicted with later work.

## Goals in time

| goal | mechanism | state |
|---|---|---|
| hottest 18 keys change within minutes | space-saving counter in each coordinator, up to 64 overrides a group, each with a shard of its own | unit tests only; no run under load |
| served again within 2 s of a loss | witnesses suspect after 0.6 s, authority ends after 0.5 s, grants after 1.0 s | 3 to 6 routers in fleet tests; a loss right after other instances were restarted can take longer (KNOWN-RED.txt) |
| {CHANGES} changes a day in effect within 7 s | watchers and gossip | 0.5 s with 3 routers; model at 870 |
| 2 instances fail, 49 are replaced a day | handover on a planned stop, takeover by witnesses | {claims * 86400:.0f} claims a day: computed |
| a rack, switch or data centre lost | witnesses spread over data centres | one data centre of three in a fleet test |
| regions cut off from each other for an hour | a group's witnesses may lie in both regions; the side with their majority and the store's side must be the same for changes of ownership | **open**: not run; witnesses of a group would be kept in the region of its targets, and each region needs the store within reach |
| 14 ms for 99 in 100 | permit of one round trip, queues by deadline | **misses** on the test machine: p99 72.7 ms through a router against 19.1 ms straight (docs/MEASURES.md) |
"""


def main() -> None:
    """Write the page, or check it with ``--check``."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    text = render(json.loads(FIGURES.read_text()))
    if options.check:
        raise SystemExit(PAGE.read_text() != text)
    PAGE.write_text(text)


if __name__ == "__main__":
    main()
