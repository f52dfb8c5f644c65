"""Test patches between two revisions of a range record."""

import random
import unittest

from fireflystand_core.ranges import KEY_SPACE, RangeRecord, apply_patch, make_patch


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

    def test_record_read_by_its_changes_equals_the_whole_one(self):
        """Guard against a record that keeps ranges which a change replaced."""
        rng = random.Random(4)
        record = RangeRecord("s")
        value = record.to_value()
        for step in range(300):
            first = rng.randrange(KEY_SPACE)
            last = min(KEY_SPACE - 1, first + rng.choice((0, 40, 3000, 30_000)))
            later = record.assign(first, last, f"t{rng.randrange(9)}", step % 3)
            patched = apply_patch(value, make_patch(value, later.to_value()))
            self.assertEqual(patched, later.to_value())
            read = record.after(value, patched)
            self.assertEqual(read, RangeRecord.from_value(patched))
            self.assertEqual(read.owner(first).target, later.owner(first).target)
            record, value = read, patched

    def test_odd_values_in_a_change_are_found(self):
        record = RangeRecord("s").assign(0, 99, "a").assign(100, 199, "b")
        value = record.to_value()
        for odd in (
            [100, 199, 7, 0, 2],
            [100, "x", "b", 0, 2],
            [100, 199, "b", 0, 2.5],
        ):
            ranges = [value["ranges"][0], odd, *value["ranges"][2:]]
            with self.assertRaises(ValueError):
                record.after(value, value | {"ranges": ranges})
        with self.assertRaises(ValueError):
            record.after(value, value | {"holder": 3})
        with self.assertRaises(ValueError):
            record.after(value, value | {"ranges": []})


if __name__ == "__main__":
    unittest.main()
