"""Test which keys a new version gets before it is judged."""

import unittest

from ..planning import LoadView
from ..record import KEY_SPACE, RangeRecord
from ..trial import trial_moves


class TrialTests(unittest.TestCase):
    """Guard against a new version that gets more of a service's work than allowed."""

    def setUp(self):
        half = KEY_SPACE // 2
        record = RangeRecord("s").assign(0, half - 1, "a", 0)
        self.record = record.assign(half, KEY_SPACE - 1, "b", 0)

    def moved_work(self, work_by_key: dict[int, float], share: float) -> float:
        """Return the work of the keys that move."""
        load = LoadView({"a": 4, "b": 4}, work_by_key)
        moves = trial_moves(self.record, load, ["new2", "new1"], share)
        self.assertLessEqual(len(moves), 1)
        for move in moves:
            self.assertEqual(move.destination, "new1")
        return sum(
            work
            for key, work in work_by_key.items()
            if any(move.first <= key <= move.last for move in moves)
        )

    def test_moved_work_stays_below_the_share(self):
        work = {key * 100: 0.01 + key % 7 / 100 for key in range(600)}
        total = sum(work.values())
        moved = self.moved_work(work, 0.05)
        self.assertLessEqual(moved, 0.05 * total)
        self.assertGreater(moved, 0.04 * total)

    def test_key_with_more_than_the_share_stays(self):
        self.assertEqual(self.moved_work({5: 3.0}, 0.05), 0.0)

    def test_service_without_known_work_moves_a_part_of_its_keys(self):
        (move,) = trial_moves(self.record, LoadView({"a": 4}, {}), ["new"], 0.05)
        self.assertEqual(move.last - move.first + 1, int(0.05 * KEY_SPACE))

    def test_keys_with_the_share_get_no_more(self):
        record = self.record.assign(0, 10, "new", 0)
        work = {5: 0.9, 100: 0.1, 200: 1.0}
        load = LoadView({"a": 4, "b": 4}, work)
        self.assertEqual(trial_moves(record, load, ["new"], 0.5), [])

    def test_share_is_reached_step_by_step(self):
        """A keyed service had too few responses in the ramp to end before its time."""
        work = {key * 100: 0.01 + key % 7 / 100 for key in range(600)}
        total = sum(work.values())
        load = LoadView({name: 4 for name in "abcde"}, work)
        record = self.record
        for share in (0.09, 0.25, 0.5):
            for _ in range(10):
                for move in trial_moves(record, load, ["n1", "n2", "n3"], share):
                    record = record.assign(move.first, move.last, move.destination, 0)
            items = [item for item in record.ranges if item.target.startswith("n")]
            given = sum(load.work_of(item) for item in items)
            self.assertLessEqual(given, share * total)
            self.assertGreater(given, 0.8 * share * total)
        used = {item.target for item in items}
        self.assertEqual(used, {"n1", "n2"})


if __name__ == "__main__":
    unittest.main()
