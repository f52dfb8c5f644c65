"""Test the queueing, refusal and placement of requests under various loads."""

import unittest

from fireflystand_core.dispatch import (
    Desk,
    SlotAsk,
    SlotGranted,
    SlotRefused,
    SlotResult,
    TargetLoad,
)
from fireflystand_core.traffic import TargetRecord


def target(name: str = "t1", **fields) -> TargetRecord:
    """Return a target with one slot."""
    values = {"service": "s", "address": name, "data_centre": "a", "slots": 1}
    return TargetRecord(id=name, **(values | fields))


def ask(name: str, **fields) -> SlotAsk:
    """Return a slot request for the target t1, made at time 0."""
    values = {
        "instance": "i",
        "target": "t1",
        "priority": 1,
        "aim_at": 0.5,
        "end_at": 2.0,
        "data_centre": "a",
    }
    return SlotAsk(id=name, **(values | fields))


def desk_of(*records: TargetRecord, warmup_rate: float = 0.0) -> Desk:
    """Return an admission queue with a mean duration of 0.1 s and these targets."""
    desk = Desk()
    for record in records or (target(),):
        desk.set_target(record, warmup_rate, 0.0)
    return desk


class OverloadTests(unittest.TestCase):
    """Guard against futile waits, and refusals although there is free capacity."""

    def test_burst_is_refused_at_once_when_the_queue_reaches_the_deadline(self):
        """Guard against requests of a burst that are queued but cannot end in time."""
        desk = desk_of()
        asks = [ask(f"r{number}", end_at=2.05) for number in range(40)]
        decisions = [d for each in asks for d in desk.ask(each, 0.0)]
        granted = [d for d in decisions if isinstance(d, SlotGranted)]
        refused = [d for d in decisions if isinstance(d, SlotRefused)]
        self.assertEqual(len(granted), 1)
        # In 0.8 of 2.05 s, 15 queued requests of 0.1 s can end after the running one.
        self.assertEqual(desk.waiting, 15)
        self.assertEqual(len(refused), 24)
        for refusal in refused:
            self.assertGreater(refusal.retry_after, 0.5)
            self.assertLess(refusal.retry_after, 2.0)

    def test_urgent_requests_overtake(self):
        desk = desk_of()
        first = desk.ask(ask("running"), 0.0)[0]
        desk.ask(ask("low", priority=2), 0.0)
        desk.ask(ask("high", priority=0), 0.0)
        decisions = desk.give_back(SlotResult(first.number, 0.1), 0.1)
        self.assertEqual([d.ask.id for d in decisions], ["high"])

    def test_requests_in_time_go_before_late_ones(self):
        desk = desk_of()
        first = desk.ask(ask("running"), 0.0)[0]
        desk.ask(ask("late", priority=0, aim_at=0.05), 0.0)
        desk.ask(ask("in-time", priority=2), 0.0)
        decisions = desk.give_back(SlotResult(first.number, 0.1), 0.1)
        self.assertEqual([d.ask.id for d in decisions], ["in-time"])

    def test_silent_target_refuses_earlier_the_longer_it_is_silent(self):
        """Guard against queueing behind a hung request.

        Its expected remaining time is the time it has already run.
        """
        desk = desk_of()
        desk.ask(ask("hangs", end_at=60.0), 0.0)
        decisions = desk.ask(ask("next", end_at=2.5), 2.0)
        self.assertIsInstance(decisions[0], SlotRefused)

    def test_waiting_request_is_refused_when_no_time_is_left(self):
        desk = desk_of()
        desk.ask(ask("hangs", end_at=60.0), 0.0)
        desk.ask(ask("waits", end_at=1.0), 0.0)
        self.assertEqual(desk.tick(0.5), [])
        decisions = desk.tick(0.96)
        self.assertEqual([d.ask.id for d in decisions], ["waits"])
        self.assertIsInstance(decisions[0], SlotRefused)

    def test_queues_of_other_targets_are_not_touched(self):
        """Guard against the queue of a busy target delaying requests for others."""
        desk = desk_of(target("t1"), target("t2"))
        for number in range(10):
            desk.ask(ask(f"r{number}"), 0.0)
        decisions = desk.ask(ask("other", target="t2"), 0.0)
        self.assertIsInstance(decisions[0], SlotGranted)


class FastWorkTests(unittest.TestCase):
    """Guard against sending a fast target more requests than it can queue."""

    def test_few_requests_wait_at_a_target_however_fast_it_works(self):
        desk = desk_of(target(slots=6))
        for number in range(200):
            (granted,) = desk.ask(ask(f"w{number}"), 0.0)
            desk.give_back(SlotResult(granted.number, seconds=0.001), 0.0)
        asks = [ask(f"r{number}") for number in range(40)]
        decisions = [d for each in asks for d in desk.ask(each, 0.0)]
        granted = [d for d in decisions if isinstance(d, SlotGranted)]
        self.assertLessEqual(len(granted), 9)


class ColdTargetTests(unittest.TestCase):
    """Guard against sending cold targets more requests than they can serve."""

    def test_rate_of_a_cold_target(self):
        desk = desk_of(target(slots=50, cold_for=3.0), warmup_rate=4.0)
        granted = 0
        for step in range(100):
            now = step / 100
            decisions = desk.ask(ask(f"r{step}", end_at=now + 9), now)
            granted += sum(isinstance(d, SlotGranted) for d in decisions)
        self.assertLessEqual(granted, 6)
        self.assertGreaterEqual(granted, 4)


class PooledServiceTests(unittest.TestCase):
    """Guard against choosing slow or distant targets while better ones are idle."""

    def test_near_and_fast_targets_first(self):
        desk = desk_of(target("t1", data_centre="b"), target("t2"), target("t3"))
        slow = desk.ask(ask("a", target="t3"), 0.0)[0]
        load = TargetLoad(1, 0, 1, 2.5)
        desk.give_back(SlotResult(slow.number, 0.1, load=load), 0.0)
        chosen = [desk.ask(ask(n, target=""), 0.0)[0].target for n in "abc"]
        self.assertEqual(chosen, ["t2", "t3", "t1"])

    def test_target_that_shed_pauses(self):
        desk = desk_of(target("t1"), target("t2"))
        first = desk.ask(ask("a", target=""), 0.0)[0]
        desk.give_back(SlotResult(first.number, shed=True), 0.0)
        second = desk.ask(ask("b", target=""), 0.0)[0]
        self.assertNotEqual(first.target, second.target)


class LossTests(unittest.TestCase):
    """Guard against slots that stay taken after their holder is lost."""

    def test_slots_of_a_lost_instance_are_free(self):
        desk = desk_of()
        desk.ask(ask("a", instance="lost"), 0.0)
        desk.ask(ask("b"), 0.0)
        decisions = desk.release_instance("lost", 0.1)
        self.assertEqual([d.ask.id for d in decisions], ["b"])

    def test_withdrawn_request_frees_its_slot(self):
        desk = desk_of()
        desk.ask(ask("a"), 0.0)
        desk.ask(ask("b"), 0.0)
        decisions = desk.withdraw("a", 0.1)
        self.assertEqual([d.ask.id for d in decisions], ["b"])
        self.assertEqual(desk.withdraw("unknown", 0.1), [])

    def test_slot_without_a_return_is_freed_after_its_deadline(self):
        desk = desk_of()
        desk.ask(ask("a"), 0.0)
        desk.ask(ask("b", end_at=9.0), 0.1)
        self.assertEqual(desk.tick(2.4), [])
        self.assertEqual([d.ask.id for d in desk.tick(2.6)], ["b"])


if __name__ == "__main__":
    unittest.main()
