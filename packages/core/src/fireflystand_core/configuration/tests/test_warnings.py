"""Test the search for settings that do not do what they seem to."""

import unittest

from fireflystand_core.configuration.document import load
from fireflystand_core.configuration.reading import read_section
from fireflystand_core.configuration.schema import DEPLOYMENT
from fireflystand_core.configuration.warnings import find_warnings

BASE = """\
name: shop
data_centres:
  - {name: north, region: land}
services:
  - name: stock
    keyed: true
    targets:
      - {name: s1, address: '10.0.0.1:80', data_centre: north}
      - {name: s2, address: '10.0.0.2:80', data_centre: north}
accounts:
  - {name: tills, rate: 200 per s, burst: 400, services: [stock]}
routes:
  - {path: /stock, service: stock}
journal: {retention: 60s}
"""


class WarningTests(unittest.TestCase):
    """Guard against entries that are accepted and have no effect."""

    def warnings(self, text: str) -> list[tuple[int, str]]:
        """Return the line and the message of each warning."""
        node, faults = load(text, "base.yaml")
        root = read_section(node, DEPLOYMENT, faults)
        self.assertEqual(faults, [])
        return [(found.place.line, found.message) for found in find_warnings(root)]

    def test_settings_without_a_finding(self):
        self.assertEqual(self.warnings(BASE), [])

    def test_each_finding_names_its_line(self):
        shadowed = "  - {path: /stock/, service: stock}\njournal"
        other = "  - {name: south, region: land}\nservices"
        service = "  - {name: pay, keyed: false, targets: []}\naccounts"
        cases = [
            (14, "never matches: base.yaml:13", ("journal", shadowed)),
            (4, "has no target", ("services", other)),
            (10, "no route leads", ("accounts", service)),
            (13, "no account may call", ("services: [stock]", "services: [pay]")),
            (7, "1 of 2 targets", ("    targets", "    shards: 1\n    targets")),
            (
                15,
                "shorter than",
                ("    targets", "    max_deadline: 2min\n    targets"),
            ),
        ]
        for line, message, (old, new) in cases:
            with self.subTest(message):
                found = self.warnings(BASE.replace(old, new, 1))
                self.assertEqual(len(found), 1, found)
                self.assertEqual(found[0][0], line)
                self.assertIn(message, found[0][1])

    def test_open_route_needs_no_account(self):
        text = BASE.replace("service: stock}", "service: stock, open: true}")
        self.assertEqual(self.warnings(text.replace("[stock]", "[pay]")), [])


if __name__ == "__main__":
    unittest.main()
