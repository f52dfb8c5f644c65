"""Measure the permit desks of an instance."""

from collections.abc import Iterable

from fireflystand_core.admission import PermitDesk
from fireflystand_core.messages import Permit, PermitRefused

from .metrics import (
    CRASH_HOLDS,
    JOURNAL_GAPS,
    JOURNAL_UNWRITTEN,
    PERMITS_ISSUED,
    PERMITS_OUTSTANDING,
    PERMITS_WAITING,
    Metrics,
    refusal_metric,
)

__all__ = ["count_answer", "measure_desks"]


def count_answer(metrics: Metrics, answer: Permit | PermitRefused) -> None:
    """Count what a desk answered; a replay is no refusal."""
    if isinstance(answer, Permit):
        metrics.count(PERMITS_ISSUED)
    elif answer.replay is None:
        metrics.count(refusal_metric(answer.reason))


def measure_desks(
    metrics: Metrics, desks: Iterable[PermitDesk], unwritten: int, now: float
) -> None:
    """Set the gauges over all desks of this instance."""
    found = list(desks)
    gaps = sum(desk.journal.has_gap(now) for desk in found)
    metrics.gauge(PERMITS_OUTSTANDING, sum(len(d.issuer.permits()) for d in found))
    metrics.gauge(PERMITS_WAITING, sum(len(d.waiting()) for d in found))
    metrics.gauge(CRASH_HOLDS, sum(len(d.hold.store(now)) for d in found))
    metrics.gauge(JOURNAL_GAPS, gaps)
    metrics.gauge(JOURNAL_UNWRITTEN, unwritten)
