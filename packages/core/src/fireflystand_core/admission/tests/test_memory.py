"""Test the limits on bytes held for callers and sent to targets."""

import math
import unittest
from random import Random

from fireflystand_core.admission.memory import (
    CRASH_RETENTION,
    MIN_CRASH_BYTES,
    BytePool,
    MemoryBudget,
    TargetByteLimits,
)

MIB = 1024 * 1024
SLOTS = 4


class BytePoolTests(unittest.TestCase):
    """Guard against memory that grows with the callers, or that one caller takes."""

    def test_reservations_stay_within_the_limit(self):
        pool = BytePool(100)
        first = pool.reserve(60)
        self.assertIsNone(pool.reserve(41))
        first.resize(20)
        self.assertIsNotNone(pool.reserve(80))
        first.release()
        first.release()
        self.assertEqual(pool.held, 80)

    def test_without_a_limit_nothing_is_refused(self):
        pool = MemoryBudget().requests
        self.assertIsNotNone(pool.reserve(10**12))
        self.assertFalse(pool.is_full)
        self.assertTrue(pool.may_grow(10**12, 10**12))

    def test_parts_add_up_to_the_limit(self):
        budget = MemoryBudget(100)
        self.assertEqual(budget.requests.limit + budget.responses.limit, 100)

    def test_users_that_take_all_they_may_leave_room_for_another(self):
        pool, owned = BytePool(64 * MIB), [0] * 20
        for _ in range(5000):
            for user, own in enumerate(owned):
                if pool.may_grow(own, 1024):
                    owned[user] += 1024
                    pool.add(1024)
        self.assertLessEqual(pool.held, pool.limit)
        self.assertTrue(pool.may_grow(0, MIB))
        self.assertGreater(pool.held, 0.9 * pool.limit)


class TargetByteLimitsTests(unittest.TestCase):
    """Guard against the load that crashed a target being sent to it again."""

    def send_all(self, limits: list[TargetByteLimits], sizes, now: float) -> int:
        """Send what every instance may send; return the bytes at the target."""
        sent, slots = 0, SLOTS
        for number, size in enumerate(sizes):
            sender = limits[number % len(limits)]
            if slots and sender.may_send(
                "t", size, part=1 / len(limits), slots=SLOTS, now=now
            ):
                sender.begin("t", size)
                sent, slots = sent + size, slots - 1
        return sent

    def test_load_after_a_crash_stays_below_half_of_it(self):
        random = Random(7)
        for count in (1, 2, 86):
            limits = [TargetByteLimits() for _ in range(count)]
            for known in limits:
                for _ in range(SLOTS):
                    known.record_crash("t", 2 * MIB, now=10.0)
            sizes = [random.randrange(1, 4 * MIB) for _ in range(1000)]
            with self.subTest(instances=count):
                sent = self.send_all(limits, sizes, now=11.0)
                self.assertLessEqual(sent, 4 * MIB)
                self.assertGreater(sent, 0)

    def test_same_load_is_refused_even_while_nothing_is_in_flight(self):
        limits = TargetByteLimits()
        limits.record_crash("t", 8 * MIB, now=10.0)
        may_send = limits.may_send("t", 8 * MIB, part=1.0, slots=SLOTS, now=11.0)
        self.assertFalse(may_send)
        self.assertTrue(limits.may_send("u", 8 * MIB, part=1.0, slots=4, now=11.0))

    def test_crash_under_a_load_that_was_survived_sets_no_limit(self):
        limits = TargetByteLimits()
        limits.begin("t", 8 * MIB)
        limits.end("t", 8 * MIB, completed=True)
        self.assertFalse(limits.is_unusual("t", 8 * MIB))
        limits.record_crash("t", 8 * MIB, now=10.0)
        self.assertEqual(limits.limit("t", 11.0), math.inf)
        self.assertTrue(limits.is_unusual("t", 9 * MIB))
        limits.record_crash("t", 10 * MIB, now=20.0)
        self.assertEqual(limits.limit("t", 21.0), 8 * MIB)

    def test_crash_under_a_small_load_sets_no_limit(self):
        limits = TargetByteLimits()
        limits.record_crash("t", MIN_CRASH_BYTES - 1, now=10.0)
        self.assertEqual(limits.limit("t", 11.0), math.inf)

    def test_bytes_of_one_crash_add_up_and_later_crashes_count_apart(self):
        limits = TargetByteLimits()
        limits.record_crash("t", 3 * MIB, now=10.0)
        limits.record_crash("t", 5 * MIB, now=11.0)
        self.assertEqual(limits.limit("t", 12.0), 4 * MIB)
        limits.record_crash("t", 2 * MIB, now=60.0)
        self.assertEqual(limits.limit("t", 61.0), MIB)

    def test_limit_ends(self):
        limits = TargetByteLimits()
        limits.record_crash("t", 8 * MIB, now=10.0)
        self.assertEqual(limits.limit("t", 11.0 + CRASH_RETENTION), math.inf)

    def test_requests_without_a_body_are_always_sent(self):
        limits = TargetByteLimits()
        limits.record_crash("t", 8 * MIB, now=10.0)
        self.assertTrue(limits.may_send("t", 0, part=0.0, slots=SLOTS, now=11.0))


if __name__ == "__main__":
    unittest.main()
