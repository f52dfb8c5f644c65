"""Compare the pages on events and metrics with the code."""

import importlib
import io
import json
import pkgutil
import unittest
from pathlib import Path

import fireflystand_router
from fireflystand_core.exceptions import ProtocolError
from fireflystand_router.events import (
    EVENTS_BY_NUMBER,
    Event,
    configure_log,
    define_event,
    emit,
)
from fireflystand_router.exposition import MetricsPage
from fireflystand_router.metrics import MAX_REASONS, METRICS_BY_NAME, Metrics

DOCS = Path(__file__).resolve().parents[5] / "docs"


def import_all() -> None:
    """Import every module, so that the registries are complete."""
    for module in pkgutil.walk_packages(
        fireflystand_router.__path__, "fireflystand_router."
    ):
        if ".tests" not in module.name:
            importlib.import_module(module.name)


def rows(page: str) -> list[list[str]]:
    """Return the cells of the first table's rows."""
    lines = (DOCS / page).read_text().splitlines()
    table = [line.strip("|").split("|") for line in lines if line.startswith("|")]
    return [[cell.strip(" `") for cell in cells] for cells in table[2:]]


class CatalogueTests(unittest.TestCase):
    """Guard against pages that omit or misname events or metrics."""

    def test_events_page_equals_the_registry(self):
        import_all()
        expected = [
            [str(e.number), e.level, e.text, ", ".join(e.fields) or "none"]
            for _, e in sorted(EVENTS_BY_NUMBER.items())
        ]
        self.assertEqual([row[:4] for row in rows("events.md")], expected)
        self.assertTrue(all(row[4] for row in rows("events.md")))

    def test_metrics_page_equals_the_registry(self):
        import_all()
        expected = [
            [m.name, m.kind, m.unit, m.text] for _, m in sorted(METRICS_BY_NAME.items())
        ]
        self.assertEqual(rows("metrics.md"), expected)

    def test_number_is_used_once_and_fields_are_declared(self):
        number = next(iter(EVENTS_BY_NUMBER))
        with self.assertRaises(ValueError):
            define_event(number, "INFO", "again")
        with self.assertRaises(ValueError):
            emit(EVENTS_BY_NUMBER[number], unheard_of=1)


class OutputTests(unittest.TestCase):
    """Guard against lines without number, step or peer, and lost counts."""

    def test_error_carries_step_and_peer_as_json_and_text(self):
        error = ProtocolError("bad", step="head", peer="127.0.0.1:1")
        event = Event(1, "WARNING", "something failed", ("request_id",))
        sinks = []
        for as_json in (True, False):
            sinks.append(io.StringIO())
            configure_log(sinks[-1], as_json=as_json)
            emit(event, error, request_id="r\n1")
        line = json.loads(sinks[0].getvalue())
        self.assertEqual((line["event"], line["step"]), (1, "head"))
        self.assertEqual((line["peer"], line["request_id"]), ("127.0.0.1:1", "r\n1"))
        self.assertIn("step='head'", sinks[1].getvalue())
        self.assertEqual(sinks[1].getvalue().count("\n"), 1)

    def test_counts_are_sent_once(self):
        sent = []

        class Client:
            def pipeline(self):
                return self

            def __enter__(self):
                return self

            def __exit__(self, *details):
                pass

            def incr(self, name, amount):
                sent.append((name, amount))

            def timing(self, name, value):
                sent.append((name, value))

        metrics = Metrics(Client())
        metrics.count(METRICS_BY_NAME["entry.requests"], 2)
        metrics.timing(METRICS_BY_NAME["entry.latency"], 0.25)
        metrics.flush()
        metrics.flush()
        self.assertEqual(sent, [("entry.requests", 2), ("entry.latency", 250.0)])

    def test_reasons_are_shown_and_bounded(self):
        """Guard against a page that grows with the reasons that targets send."""
        metrics = Metrics()
        metric = METRICS_BY_NAME["entry.failure_reasons"]
        for number in range(MAX_REASONS + 10):
            metrics.count_reason(metric, f"reason {number}")
        page = MetricsPage(metrics).render()
        name = "fireflystand_entry_failure_reasons_total"
        self.assertIn(f'{name}{{reason="reason 3"}} 1.0', page)
        self.assertIn(f'{name}{{reason="other"}} 10.0', page)


if __name__ == "__main__":
    unittest.main()
