"""Test the pauses that targets ask their senders for."""

import unittest

from ...traffic import TargetRecord
from ..admission_queue import (
    TARGET_PAUSES,
    AdmissionQueue,
    QueuedRequest,
    SlotGranted,
    SlotRefused,
    SlotResult,
)
from ..pauses import MAX_KEPT, MAX_PAUSE, MAX_RETURN_SPREAD, TargetPauses


class TargetPausesTests(unittest.TestCase):
    """Guard against pauses that end early, for good, or all at once."""

    def test_earlier_end_replaces_a_later_one(self):
        pauses = TargetPauses(lambda: 0.0)
        self.assertTrue(pauses.add("t", 1, 4.0, 10.0))
        self.assertFalse(pauses.add("t", 1, 1.0, 11.0))
        self.assertEqual(pauses.left("t", 1, 11.0), 3.0)
        self.assertFalse(pauses.add("t", 1, 4.0, 12.0))
        self.assertEqual(pauses.left("t", 1, 12.0), 4.0)
        self.assertEqual(pauses.left("t", 1, 16.0), 0.0)

    def test_odd_pause_stops_a_target_for_good(self):
        for seconds in (0.0, -1.0, float("nan")):
            pauses = TargetPauses()
            self.assertFalse(pauses.add("t", 1, seconds, 0.0))
            self.assertEqual(pauses.left("t", 1, 0.0), 0.0)
        pauses = TargetPauses(lambda: 1.0)
        pauses.add("t", 1, float("inf"), 0.0)
        self.assertEqual(pauses.left("t", 1, MAX_PAUSE + MAX_RETURN_SPREAD), 0.0)

    def test_new_process_inherits_a_pause(self):
        pauses = TargetPauses()
        pauses.add("t", 1, 5.0, 0.0)
        self.assertEqual(pauses.left("t", 2, 0.0), 0.0)

    def test_senders_return_at_the_same_time(self):
        ends = []
        for share in (0.0, 0.3, 0.6, 0.9):
            pauses = TargetPauses(lambda share=share: share)
            pauses.add("t", 1, 2.0, 0.0)
            ends.append(pauses.left("t", 1, 0.0))
        self.assertEqual(len({round(end, 2) for end in ends}), 4)
        self.assertEqual(min(ends), 2.0)

    def test_pauses_grow_without_bound(self):
        pauses = TargetPauses()
        for number in range(3 * MAX_KEPT):
            pauses.add(f"t{number}", 1, 0.01, float(number))
        self.assertLessEqual(len(pauses._pauses_by_target), MAX_KEPT)


class QueueTests(unittest.TestCase):
    """Guard against slots of a target for an instance that it turned away."""

    def queue(self, *targets: str) -> AdmissionQueue:
        queue = AdmissionQueue()
        for target in targets:
            queue.set_target(TargetRecord(target, "s", "a:1", "x", 2), 0.0)
        return queue

    def request(self, number: str, instance: str, target: str = "", deadline=1.0):
        return QueuedRequest(number, instance, target, 0, 0.5, deadline)

    def pause(self, queue: AdmissionQueue, instance: str, target: str = "") -> list:
        """Turn one request of an instance away with a pause of 2 s."""
        (granted,) = queue.submit(self.request("first", instance, target), 0.0)
        result = SlotResult(granted.number, shed=True, pause=2.0)
        return queue.release(result, 0.0)

    def test_slots_of_the_paused_target_are_granted_to_the_instance(self):
        queue = self.queue("t1", "t2")
        (granted,) = queue.submit(self.request("0", "a"), 0.0)
        queue.release(SlotResult(granted.number, shed=True, pause=2.0), 0.0)
        other = {"t1": "t2", "t2": "t1"}[granted.target]
        for number in ("1", "2"):
            (decision,) = queue.submit(self.request(number, "a"), 0.1)
            self.assertEqual(decision.target, other)
        (decision,) = queue.submit(self.request("3", "b"), 0.1)
        self.assertEqual(decision.target, granted.target)

    def test_requests_of_others_wait_behind_those_of_the_instance(self):
        queue = self.queue("t1")
        self.pause(queue, "a")
        late = self.request("1", "a", deadline=5.0)
        self.assertEqual(queue.submit(late, 0.1), [])
        (decision,) = queue.submit(self.request("2", "b"), 0.1)
        self.assertIsInstance(decision, SlotGranted)
        queue.release(SlotResult(decision.number, seconds=0.1), 0.2)
        self.assertEqual(queue.tick(1.9), [])
        (decision,) = queue.tick(2.1)
        self.assertEqual(decision.request.id, "1")

    def test_request_that_no_target_takes_in_time_waits(self):
        queue = self.queue("t1")
        for target in ("", "t1"):
            with self.subTest(target):
                queue = self.queue("t1")
                grants = [
                    queue.submit(self.request(str(number), "a", target), 0.0)
                    for number in range(4)
                ]
                number = grants[0][0].number
                waiting = {str(n) for n in range(4) if not grants[n]}
                result = SlotResult(number, shed=True, pause=2.0)
                decisions = queue.release(result, 0.1)
                self.assertEqual({d.request.id for d in decisions}, waiting)
                for decision in decisions:
                    self.assertIsInstance(decision, SlotRefused)
                    self.assertEqual(decision.reason, TARGET_PAUSES)


if __name__ == "__main__":
    unittest.main()
