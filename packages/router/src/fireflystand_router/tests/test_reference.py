"""Test that the configuration reference agrees with the schema."""

import re
import unittest
from pathlib import Path

from fireflystand_core.configuration import DEPLOYMENT, reference_rows
from fireflystand_router.settings import PROCESS

PAGE = Path(__file__).resolve().parents[5] / "docs" / "configuration.md"


class ReferenceTests(unittest.TestCase):
    """Guard against settings that are undocumented or documented wrongly."""

    def test_tables_agree_with_the_schema(self):
        lines = re.findall(r"^\| `(.+?)` \| (.+) \|$", PAGE.read_text(), re.M)
        found = [(path, *rest.split(" | ")) for path, rest in lines]
        expected = [*reference_rows(DEPLOYMENT), *reference_rows(PROCESS)]
        self.assertEqual([row[:5] for row in found], expected)
        for row in found:
            self.assertTrue(row[5], row)


if __name__ == "__main__":
    unittest.main()
