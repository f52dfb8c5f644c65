"""Test patches between two revisions of a range record."""

import random
import unittest

from fireflystand_core.ranges import RangeRecord, apply_patch, make_patch


class PatchTests(unittest.TestCase):
    """Guard against a patched record that differs from the coordinator's."""

    def test_patched_form_equals_the_later_one(self):
        rng = random.Random(11)
        record = RangeRecord("keyed")
        for _ in range(300):
            before = record.to_value()
            for _ in range(rng.randint(1, 4)):
                first, last = sorted(rng.sample(range(65536), 2))
                target = rng.choice(["", "t1", "t2", "t3"])
                record = record.assign(first, last, target, rng.randint(1, 2))
            if rng.random() < 0.1:
                record = record.claim("b", "2")
            after = record.to_value()
            self.assertEqual(apply_patch(before, make_patch(before, after)), after)

    def test_change_of_one_range_is_small(self):
        record = RangeRecord("keyed")
        for number in range(171):
            record = record.assign(number * 383, number * 383 + 382, f"t{number}", 1)
        moved = record.assign(0, 382, "t5", 1)
        patch = make_patch(record.to_value(), moved.to_value())
        self.assertEqual([item[:3] for item in patch["ranges"]], [[0, 382, "t5"]])


if __name__ == "__main__":
    unittest.main()
