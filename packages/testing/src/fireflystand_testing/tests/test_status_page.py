"""Test that the status page names tests that exist."""

import re
import unittest

from fireflystand_testing.runner import ROOT

PAGE = ROOT / "docs" / "status.md"
INVARIANTS = 12


def existing_tests() -> set[str]:
    """Return module, class and test of every test of the workspace."""
    found = set()
    for path in ROOT.glob("packages/*/src/**/tests/test_*.py"):
        owner = ""
        for line in path.read_text().splitlines():
            if named := re.match(r"class (\w+)", line):
                owner = named[1]
            elif named := re.match(r"    def (test_\w+)", line):
                found.add(f"{path.stem}.{owner}.{named[1]}")
    return found


class StatusPageTests(unittest.TestCase):
    """Guard against proofs that were renamed or removed."""

    def test_named_tests_exist(self):
        named = set(re.findall(r"`(test_\w+\.\w+\.test_\w+)`", PAGE.read_text()))
        self.assertGreater(len(named), 0)
        self.assertEqual(named - existing_tests(), set())

    def test_every_invariant_has_a_row(self):
        rows = re.findall(r"^\| (\d+)\. ", PAGE.read_text(), re.M)
        self.assertEqual([int(row) for row in rows], list(range(1, INVARIANTS + 1)))


if __name__ == "__main__":
    unittest.main()
