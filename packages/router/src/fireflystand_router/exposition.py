"""Render the metrics in the Prometheus text format."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)

from .metrics import BUCKETS, METRICS_BY_NAME, Histogram, Metrics

__all__ = ["MetricsPage"]


class MetricsPage:
    """Render counters, gauges and latency histograms."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def render(self) -> str:
        """Return the metrics page as text."""
        return generate_latest(self._registry).decode()

    def collect(self) -> Iterator:
        """Yield the metrics that have a value."""
        for name, value in self._metrics.counts_by_name.items():
            yield CounterMetricFamily(*_name_and_help(name), value=value)
        for name, counts in self._metrics.reasons_by_name.items():
            family = CounterMetricFamily(*_name_and_help(name), labels=["reason"])
            for reason, value in counts.items():
                family.add_metric([reason], value)
            yield family
        for name, value in self._metrics.gauges_by_name.items():
            yield GaugeMetricFamily(*_name_and_help(name), value=value)
        for name, histogram in self._metrics.histograms_by_name.items():
            family = HistogramMetricFamily(*_name_and_help(f"{name}_seconds", name))
            family.add_metric([], _cumulative_buckets(histogram), histogram.total)
            yield family


def _name_and_help(name: str, metric: str = "") -> tuple[str, str]:
    text = METRICS_BY_NAME[metric or name].text
    return f"fireflystand_{name.replace('.', '_')}", text


def _cumulative_buckets(histogram: Histogram) -> list[tuple[str, float]]:
    total = 0
    buckets = []
    for bound, count in zip([*BUCKETS, "+Inf"], histogram.counts, strict=True):
        total += count
        buckets.append((str(bound), total))
    return buckets
