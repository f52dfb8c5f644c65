"""Declare the metrics and send them to statsd in batches."""

from bisect import bisect_left
from collections import Counter, defaultdict

import attrs
import statsd
import trio

__all__ = [
    "BUCKETS",
    "METRICS_BY_NAME",
    "MOST_REASONS",
    "Histogram",
    "Metric",
    "Metrics",
    "define_metric",
    "refusal_metric",
]

FLUSH_INTERVAL = 1.0  # seconds
# Upper bounds of the histogram of a timer, in seconds: they part answers within a
# target latency of some hundred milliseconds from late ones.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 3.0, 5.0)
TIMINGS_PER_FLUSH = 200  # samples of one metric
# The reasons that the code names are some thirty; a target's own words might add more.
MOST_REASONS = 64
OTHER_REASON = "other"

METRICS_BY_NAME: dict[str, "Metric"] = {}


@attrs.frozen
class Metric:
    """Describe a metric; ``kind`` is ``counter``, ``timer`` or ``gauge``."""

    name: str
    kind: str
    unit: str
    text: str


def define_metric(name: str, kind: str, unit: str, text: str) -> Metric:
    """Add a metric to the registry and return it."""
    if name in METRICS_BY_NAME:
        raise ValueError(f"metric {name} is already defined")
    metric = Metric(name, kind, unit, text)
    METRICS_BY_NAME[name] = metric
    return metric


@attrs.define
class Histogram:
    """Count durations up to each bound of ``BUCKETS``, and beyond the last."""

    counts: list[int] = attrs.field(factory=lambda: [0] * (len(BUCKETS) + 1))
    total: float = 0.0  # seconds

    def add(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect_left(BUCKETS, seconds)] += 1
        self.total += seconds


class Metrics:
    """Collect values and send them once per interval."""

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        self._client = client
        self.counts_by_name: dict[str, int] = defaultdict(int)
        self.reasons_by_name: dict[str, Counter[str]] = defaultdict(Counter)
        self.gauges_by_name: dict[str, float] = {}
        self.histograms_by_name: dict[str, Histogram] = defaultdict(Histogram)
        self._timings_by_name: dict[str, list[float]] = defaultdict(list)

    def count(self, metric: Metric, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts_by_name[metric.name] += amount

    def count_reason(self, metric: Metric, reason: str) -> None:
        """Add to a counter that is kept for each reason; shown on the page only."""
        reasons = self.reasons_by_name[metric.name]
        if reason not in reasons and len(reasons) >= MOST_REASONS:
            reason = OTHER_REASON
        reasons[reason] += 1

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        self.gauges_by_name[metric.name] = value

    def timing(self, metric: Metric, seconds: float) -> None:
        """Record a duration; only the first samples of an interval are kept."""
        self.histograms_by_name[metric.name].add(seconds)
        samples = self._timings_by_name[metric.name]
        if len(samples) < TIMINGS_PER_FLUSH:
            samples.append(seconds)

    async def run(self) -> None:
        """Flush until cancelled."""
        while True:
            await trio.sleep(FLUSH_INTERVAL)
            self.flush()

    def flush(self) -> None:
        """Send what was collected and start anew."""
        if self._client is not None:
            with self._client.pipeline() as pipeline:
                for name, amount in self.counts_by_name.items():
                    pipeline.incr(name, amount)
                for name, value in self.gauges_by_name.items():
                    pipeline.gauge(name, value)
                for name, samples in self._timings_by_name.items():
                    for seconds in samples:
                        pipeline.timing(name, seconds * 1000)
        self.counts_by_name.clear()
        self._timings_by_name.clear()


REQUESTS = define_metric("entry.requests", "counter", "requests", "requests received")
REFUSALS = define_metric(
    "entry.refusals", "counter", "requests", "requests that the router answered itself"
)
MALFORMED = define_metric(
    "entry.malformed", "counter", "requests", "malformed or slow requests refused"
)
ANSWERED = define_metric(
    "entry.answered", "counter", "requests", "requests with a complete response"
)
UNKNOWN = define_metric(
    "entry.unknown", "counter", "requests", "requests whose outcome is unknown"
)
REFUSAL_REASONS = define_metric(
    "entry.refusal_reasons", "counter", "requests", "requests refused, by reason"
)
FAILURE_REASONS = define_metric(
    "entry.failure_reasons",
    "counter",
    "requests",
    "requests that failed after they were sent, by reason",
)
DEPARTED = define_metric(
    "entry.departed", "counter", "requests", "requests whose caller left"
)
RETRIES = define_metric("entry.retries", "counter", "requests", "requests sent again")
HEDGES = define_metric("entry.hedges", "counter", "requests", "hedged requests sent")
REPLAYS = define_metric(
    "entry.replays", "counter", "requests", "repeats that got the first response"
)
LATENCY = define_metric(
    "entry.latency", "timer", "ms", "time from the header section to the response's end"
)
CONNECTIONS = define_metric(
    "entry.connections", "gauge", "connections", "open caller connections"
)
CLAIMS = define_metric(
    "groups.claims", "counter", "claims", "claims of groups that became durable"
)
TAKEOVERS = define_metric(
    "groups.takeovers", "counter", "claims", "claims after a coordinator was lost"
)
AUTHORITY_LOSSES = define_metric(
    "groups.authority_losses",
    "counter",
    "losses",
    "times a claim was not confirmed for 0.5 s",
)
HAND_OVERS = define_metric(
    "groups.hand_overs", "counter", "groups", "groups handed over to another instance"
)
MOVED_SHARDS = define_metric(
    "groups.moved_shards", "counter", "shards", "shards that got another owner"
)
INSTANCE_DEATHS = define_metric(
    "groups.instance_deaths",
    "counter",
    "processes",
    "processes of instances known dead",
)
TARGET_DEATHS = define_metric(
    "groups.target_deaths", "counter", "processes", "processes of targets known dead"
)
GROUPS_COORDINATED = define_metric(
    "groups.coordinated", "gauge", "groups", "groups that this instance coordinates"
)
PERMITS_ISSUED = define_metric(
    "permits.issued", "counter", "permits", "permits issued by this coordinator"
)
PERMITS_RETURNED = define_metric(
    "permits.returned", "counter", "permits", "permits returned to this coordinator"
)
PERMITS_OUTSTANDING = define_metric(
    "permits.outstanding", "gauge", "permits", "permits issued and not yet returned"
)
PERMITS_WAITING = define_metric(
    "permits.waiting", "gauge", "requests", "requests that wait for a permit"
)
CRASH_HOLDS = define_metric(
    "permits.crash_holds", "gauge", "requests", "fingerprints held after crashes"
)
JOURNAL_GAPS = define_metric(
    "journal.gaps", "gauge", "groups", "groups that answer unknown for a journal gap"
)
JOURNAL_UNWRITTEN = define_metric(
    "journal.unwritten", "gauge", "entries", "entries that are not yet durable"
)

WAITING = define_metric(
    "dispatch.waiting", "gauge", "requests", "requests that wait at this desk"
)
HELD_SLOTS = define_metric(
    "dispatch.held_slots", "gauge", "slots", "slots that this desk has given out"
)
LIVE_PEERS = define_metric(
    "dispatch.live_peers", "gauge", "instances", "other instances in touch"
)
PROOF_AGE = define_metric(
    "dispatch.proof_age",
    "gauge",
    "s",
    "time since the store confirmed the configuration",
)
STORE_AGE = define_metric(
    "dispatch.store_age", "gauge", "s", "time since the store answered this instance"
)
CONFIGURATION_VERSION = define_metric(
    "dispatch.configuration_version",
    "gauge",
    "version",
    "version of the configuration in force",
)
COORDINATED = define_metric(
    "dispatch.coordinated", "gauge", "services", "services coordinated here"
)
LOOP_LAG = define_metric(
    "dispatch.loop_lag", "gauge", "s", "time by which timers are late"
)
KNOWN_TARGETS = define_metric(
    "dispatch.targets", "gauge", "targets", "targets with an entry in the store"
)


def _refusals(name: str, text: str) -> Metric:
    return define_metric(f"permits.refused.{name}", "counter", "requests", text)


REFUSED_CRASH = _refusals("crash", "permits refused after crashes of targets")
REFUSED_DEADLINE = _refusals("deadline", "permits refused by deadline")
REFUSED_JOURNAL = _refusals("journal", "permits refused by the journal")
REFUSED_OTHER = _refusals("other", "permits refused for other reasons")
REFUSED_QUEUE = _refusals("queue", "permits refused by a full queue")
REFUSED_RETRIES = _refusals("retries", "permits refused by the retry budget")

# The first word that occurs in the reason of a refusal decides.
_METRICS_BY_WORD = {
    "deadline": REFUSED_DEADLINE,
    "crashed": REFUSED_CRASH,
    "retry budget": REFUSED_RETRIES,
    "queue": REFUSED_QUEUE,
    "journal": REFUSED_JOURNAL,
    "idempotency key": REFUSED_JOURNAL,
    "first re": REFUSED_JOURNAL,  # request or response
}


def refusal_metric(reason: str) -> Metric:
    """Return the counter for a coordinator's reason to refuse a permit."""
    for word, metric in _METRICS_BY_WORD.items():
        if word in reason:
            return metric
    return REFUSED_OTHER
