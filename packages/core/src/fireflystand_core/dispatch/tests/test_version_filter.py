"""Test requests that only targets of one program version may run."""

import unittest
from unittest import mock

from ...traffic import TargetRecord
from ..admission_queue import (
    AdmissionQueue,
    QueuedRequest,
    SlotGranted,
    SlotResult,
)


def request(name: str, **selection) -> QueuedRequest:
    """Return a slot request for any target with 10 s left."""
    return QueuedRequest(name, "n1", "", 0, 5.0, 10.0, "x", **selection)


class VersionFilterTests(unittest.TestCase):
    """Guard against a version that runs requests which were not chosen for it."""

    def setUp(self):
        self.queue = AdmissionQueue()
        for name, version in (("a1", "a"), ("b1", "b"), ("b2", "b")):
            record = TargetRecord(name, "s", f"{name}:1", "x", 1, software=version)
            self.queue.set_target(record, 0.0)

    def granted(self, decisions) -> list[tuple[str, str]]:
        """Return the requests with a slot and their targets."""
        return [
            (d.request.id, d.target) for d in decisions if isinstance(d, SlotGranted)
        ]

    def submit(self, name: str, **selection) -> list[tuple[str, str]]:
        return self.granted(self.queue.submit(request(name, **selection), 0.0))

    def test_request_goes_to_its_version_only(self):
        self.assertEqual(self.submit("1", version="a"), [("1", "a1")])
        self.assertEqual(self.submit("2", version="a"), [])

    def test_excluded_version_gets_nothing(self):
        for name in ("1", "2"):
            ((_, target),) = self.submit(name, excluded_versions=frozenset("a"))
            self.assertIn(target, ("b1", "b2"))
        self.assertEqual(self.submit("3", excluded_versions=frozenset("a")), [])

    def test_only_listed_targets_are_used(self):
        listed = frozenset(["b2"])
        self.assertEqual(self.submit("1", version="b", targets=listed), [("1", "b2")])
        self.assertEqual(self.submit("2", version="b", targets=listed), [])

    def test_request_that_waits_for_a_version_holds_up_no_other(self):
        """Requests behind it stayed queued although targets had free slots."""
        self.submit("1", version="a")
        self.submit("2", version="a")
        self.assertEqual(len(self.submit("3", version="b")), 1)
        self.assertEqual(len(self.submit("4")), 1)

    def test_freed_slot_goes_to_the_request_that_waits_for_its_version(self):
        self.submit("1", version="b")
        decisions = self.queue.submit(request("2", version="a"), 0.0)
        self.submit("3", version="a")
        number = decisions[0].number
        freed = self.queue.release(SlotResult(number, 0.1), 0.2)
        self.assertEqual(self.granted(freed), [("3", "a1")])

    def test_requests_of_a_full_version_are_tried_once(self):
        """Each release took 68 ms with 200 requests in the queue."""
        self.submit("1", version="a")
        decisions = self.queue.submit(request("2", version="b"), 0.0)
        for number in range(200):
            self.submit(f"w{number}", version="a")
        with mock.patch.object(
            self.queue, "_choose_target", wraps=self.queue._choose_target
        ) as choose:
            freed = self.queue.release(SlotResult(decisions[0].number, 0.1), 0.2)
        self.assertEqual(self.granted(freed), [])
        self.assertLessEqual(choose.call_count, 2)

    def test_request_behind_those_of_a_full_version_gets_the_freed_slot(self):
        self.submit("1", version="a")
        decisions = self.queue.submit(request("2", version="b"), 0.0)
        self.submit("3", version="b")
        for number in range(50):
            self.submit(f"w{number}", version="a")
        self.submit("4", version="b")
        freed = self.queue.release(SlotResult(decisions[0].number, 0.1), 0.2)
        self.assertEqual([name for name, _ in self.granted(freed)], ["4"])


if __name__ == "__main__":
    unittest.main()
