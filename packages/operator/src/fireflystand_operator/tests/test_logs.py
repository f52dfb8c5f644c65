"""Test which log lines the log commands select."""

import io
import json
import tempfile
import unittest
from pathlib import Path

from fireflystand_operator.cli import run
from fireflystand_operator.logs import explain_key, explain_request
from fireflystand_operator.results import InputFaultError


def line(second: float, event: int, text: str, **fields) -> str:
    """Return a log line as an instance writes it."""
    time = f"2026-04-30T17:42:{second:09.6f}+00:00"
    return json.dumps({"time": time, "event": event, "text": text, **fields}) + "\n"


REFUSED = line(
    30.5,
    6001,
    "request refused, not run",
    request_id="r-1",
    status=503,
    reason="the key has no owner",
    service="keyed",
    target="t-1",
    waited=1.0,
    configuration=3,
)
ENTRY = (
    line(10.0, 6010, "configuration applied", version=3)
    + line(11.0, 6010, "configuration applied", version=2)
    + line(5.0, 6014, "entry of a target ended", target="t-1", service="keyed")
    + line(29.0, 6014, "entry of a target ended", target="t-1", service="keyed")
    + line(29.5, 6014, "entry of a target ended", target="t-9", service="keyed")
    + REFUSED
)
COORDINATOR = (
    line(2.0, 6030, "instance coordinates", service="keyed", epoch=1)
    + line(
        3.0, 6035, "key range given", service="keyed", first=0, last=99, target="t-1"
    )
    + line(29.0, 6014, "entry of a target ended", target="t-1", service="keyed")
    + line(29.8, 6037, "target does not answer grants", service="keyed", target="t-1")
    + line(
        32.0, 6035, "key range given", service="keyed", first=7, last=9, target="t-2"
    )
    + line(
        33.0, 6035, "key range given", service="keyed", first=50, last=60, target="t-3"
    )
)


class LogTests(unittest.TestCase):
    """Guard against output that omits the cause or shows an unrelated one."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.files = []
        for name, text in (("edge-1", ENTRY), ("edge-2", COORDINATOR)):
            path = Path(folder.name) / f"{name}.log"
            path.write_text(text)
            self.files.append(str(path))

    def events(self, result) -> list[tuple[int, str]]:
        return [(item["event"], item["instance"]) for item in result.data["lines"]]

    def test_request_is_told_with_its_target_and_configuration(self):
        result = explain_request("r-1", self.files)
        expected = [
            (6010, "edge-1"),
            (6014, "edge-1"),
            (6037, "edge-2"),
            (6001, "edge-1"),
        ]
        self.assertEqual(self.events(result), expected)
        self.assertEqual(result.data["repeated"], 1)
        self.assertIn("the key has no owner", result.lines[3])
        self.assertTrue(result.lines[1].strip().startswith("-1.500 s"))

    def test_configuration_is_the_last_one_applied(self):
        result = explain_request("r-1", self.files)
        self.assertEqual(result.data["lines"][0]["fields"], {"version": 2})

    def test_key_is_told_with_its_owners_in_order(self):
        result = explain_key("keyed", 8, self.files)
        given = [
            item["fields"]["target"]
            for item in result.data["lines"]
            if item["event"] == 6035
        ]
        self.assertEqual(given, ["t-1", "t-2"])
        self.assertEqual(result.data["lines"][0]["event"], 6030)

    def test_collector_prefix_names_the_instance(self):
        text = io.StringIO("   30.5 edge-9 " + REFUSED + "not a line\n")
        result = explain_request("r-1", ["-"], text)
        self.assertEqual(self.events(result), [(6001, "edge-9")])
        self.assertEqual(result.data["unreadable"], 1)

    def test_unknown_names_are_faults(self):
        with self.assertRaises(InputFaultError):
            explain_request("r-2", self.files)
        with self.assertRaises(InputFaultError):
            explain_key("other", 8, self.files)
        with self.assertRaises(InputFaultError):
            explain_request("r-1", ["/nowhere/edge.log"])

    def test_command_line_reads_files(self):
        out, err = io.StringIO(), io.StringIO()
        self.assertEqual(run(["log", "request", "r-1", *self.files], out, err), 0)
        self.assertIn("entry of a target ended", out.getvalue())
        self.assertEqual(run(["log", "key", "keyed", "x", *self.files], out, err), 2)


if __name__ == "__main__":
    unittest.main()
