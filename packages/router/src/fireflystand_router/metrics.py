"""Declare the metrics and send them to statsd in batches."""

from bisect import bisect_left
from collections import Counter, defaultdict

import attrs
import statsd
import trio

__all__ = [
    "BUCKETS",
    "METRICS_BY_NAME",
    "MAX_REASONS",
    "Histogram",
    "Metric",
    "Metrics",
    "define_metric",
    "refusal_metric",
]

FLUSH_INTERVAL = 1.0  # seconds
# Upper bounds of a timer's histogram buckets, in seconds. They separate responses
# within a latency target of several hundred milliseconds from late ones.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 3.0, 5.0)
TIMINGS_PER_FLUSH = 200  # samples of each metric
# The code defines about thirty reasons; targets may add others of their own.
MAX_REASONS = 64
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
    """Count durations by bucket of ``BUCKETS``, with one more bucket above the last."""

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
        """Add to the counter of a reason, which only the metrics page shows."""
        reasons = self.reasons_by_name[metric.name]
        if reason not in reasons and len(reasons) >= MAX_REASONS:
            reason = OTHER_REASON
        reasons[reason] += 1

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        self.gauges_by_name[metric.name] = value

    def timing(self, metric: Metric, seconds: float) -> None:
        """Record a duration; statsd receives only the first samples of an interval."""
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
        """Send the collected values; clear the counts and samples."""
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
ADDED_ROUTE_REQUESTS = define_metric(
    "entry.added_route_requests",
    "counter",
    "requests",
    "requests on routes that a later configuration added",
)
ADDED_ROUTE_ANSWERED = define_metric(
    "entry.added_route_answered",
    "counter",
    "requests",
    "requests on added routes with a complete response",
)
DEPARTED = define_metric(
    "entry.departed", "counter", "requests", "requests whose caller left"
)
RETRIES = define_metric("entry.retries", "counter", "requests", "requests sent again")
HEDGES = define_metric("entry.hedges", "counter", "requests", "hedged requests sent")
REPLAYS = define_metric(
    "entry.replays",
    "counter",
    "requests",
    "repeated requests that got the first response",
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
    "groups.moved_shards", "counter", "shards", "shards assigned to another owner"
)
INSTANCE_DEATHS = define_metric(
    "groups.instance_deaths",
    "counter",
    "processes",
    "processes of instances declared dead",
)
TARGET_DEATHS = define_metric(
    "groups.target_deaths", "counter", "processes", "processes of targets declared dead"
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
    "permits.crash_holds",
    "gauge",
    "requests",
    "fingerprints restricted after target crashes",
)
JOURNAL_GAPS = define_metric(
    "journal.gaps",
    "gauge",
    "groups",
    "groups that answer unknown because of a journal gap",
)
JOURNAL_UNWRITTEN = define_metric(
    "journal.unwritten", "gauge", "entries", "entries that are not yet durable"
)

WAITING = define_metric(
    "dispatch.waiting",
    "gauge",
    "requests",
    "requests that wait in admission queues of this instance",
)
HELD_SLOTS = define_metric(
    "dispatch.held_slots",
    "gauge",
    "slots",
    "slots granted by admission queues of this instance",
)
WITHHELD_SLOTS = define_metric(
    "dispatch.withheld_slots",
    "gauge",
    "slots",
    "slots that learned limits withhold from requests",
)
PROMISED_RETURNS = define_metric(
    "dispatch.promised_returns",
    "gauge",
    "requests",
    "refused requests whose callers were given a time at which there is room",
)
COLD_SLOTS = define_metric(
    "dispatch.cold_slots",
    "counter",
    "slots",
    "slots of cold targets granted by admission queues of this instance",
)
REDIRECTED_SLOT_REQUESTS = define_metric(
    "dispatch.redirected_slot_requests",
    "counter",
    "requests",
    "slot requests whose responsible instance could not be asked",
)
OUTDATED_SLOTS = define_metric(
    "dispatch.outdated_slots",
    "counter",
    "slots",
    "slots given back unused because they were outdated",
)
ROLLOUT_PHASE = define_metric(
    "dispatch.rollout_phase",
    "gauge",
    "phase",
    "latest phase of a rollout: 0 none, 1 trial, 2 ramp, 3 cutover, 4 ended",
)
ROLLOUT_REQUESTS = define_metric(
    "dispatch.rollout_requests",
    "counter",
    "requests",
    "requests sent to services under a rollout order",
)
ROLLOUT_NEW_REQUESTS = define_metric(
    "dispatch.rollout_new_requests",
    "counter",
    "requests",
    "requests sent to the new version of services under a rollout order",
)
ROLLOUT_BAD_RESPONSES = define_metric(
    "dispatch.rollout_bad_responses",
    "counter",
    "responses",
    "failed requests at the new version of services under a rollout order",
)
LIVE_PEERS = define_metric(
    "dispatch.live_peers", "gauge", "instances", "other instances that are reachable"
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
STORE_ERA = define_metric(
    "dispatch.store_era",
    "gauge",
    "restorations",
    "era of the store, which rises with each restoration from an earlier copy",
)
CONFIGURATION_VERSION = define_metric(
    "dispatch.configuration_version",
    "gauge",
    "version",
    "version of the configuration in force",
)
COORDINATED = define_metric(
    "dispatch.coordinated",
    "gauge",
    "services",
    "services that this instance coordinates",
)
LOOP_LAG = define_metric(
    "dispatch.loop_lag", "gauge", "s", "delay of timers on the event loop"
)
PAUSING_TARGETS = define_metric(
    "dispatch.pausing_targets",
    "gauge",
    "targets",
    "targets that asked this instance for a pause",
)
HOT_KEYS = define_metric(
    "dispatch.hot_keys",
    "gauge",
    "keys",
    "keys with more load than any one target can run, of services coordinated here",
)
LEAVING_TARGETS = define_metric(
    "dispatch.leaving_targets",
    "gauge",
    "targets",
    "targets with a record whose process has stated that it leaves",
)
BYTE_LIMITED_TARGETS = define_metric(
    "dispatch.byte_limited_targets",
    "gauge",
    "targets",
    "targets that crashed under a load of request bytes and get less since",
)
REQUEST_BYTES = define_metric(
    "entry.request_bytes", "gauge", "bytes", "bytes held of callers' requests"
)
RESPONSE_BYTES = define_metric(
    "entry.response_bytes",
    "gauge",
    "bytes",
    "bytes held of responses that callers have not taken",
)
KNOWN_TARGETS = define_metric(
    "dispatch.targets", "gauge", "targets", "targets with a record in the store"
)


def _define_refusals(name: str, text: str) -> Metric:
    return define_metric(f"permits.refused.{name}", "counter", "requests", text)


REFUSED_CRASH = _define_refusals("crash", "permits refused after crashes of targets")
REFUSED_DEADLINE = _define_refusals(
    "deadline", "permits refused because of the deadline"
)
REFUSED_JOURNAL = _define_refusals("journal", "permits refused because of the journal")
REFUSED_OTHER = _define_refusals("other", "permits refused for other reasons")
REFUSED_QUEUE = _define_refusals("queue", "permits refused because of a full queue")
REFUSED_RETRIES = _define_refusals(
    "retries", "permits refused because of the retry budget"
)

# The first of these texts that occurs in the reason selects the metric.
_METRICS_BY_TEXT = {
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
    for text, metric in _METRICS_BY_TEXT.items():
        if text in reason:
            return metric
    return REFUSED_OTHER
