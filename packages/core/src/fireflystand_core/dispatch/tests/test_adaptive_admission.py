"""Test the decisions that adapt to what targets of unequal speed can take."""

import unittest
from unittest.mock import patch

import attrs

from fireflystand_core.dispatch import (
    ADAPTIVE_ADMISSION,
    MAX_PASSED_OVER,
    AdmissionPolicy,
    AdmissionQueue,
    KindTurns,
    QueuedRequest,
    ReturnSchedule,
    SlotGranted,
    SlotRefused,
    SlotResult,
    TargetSlots,
    WarmupPolicy,
    most_ahead,
)
from fireflystand_core.traffic import TargetRecord

DEADLINE = 1.51  # seconds, of the keyed services
WORK = 0.36  # seconds, at a cold target


def slot_request(name: str, now: float = 0.0, **fields) -> QueuedRequest:
    """Return a slot request for the target t1."""
    values = {
        "instance": "i",
        "target": "t1",
        "priority": 1,
        "soft_deadline_at": now + 0.604,
        "deadline_at": now + DEADLINE,
        "data_centre": "a",
        "route": "r",
    }
    return QueuedRequest(id=name, **(values | fields))


def queue_of(
    slots: int = 1, names: tuple[str, ...] = ("t1",), policy=ADAPTIVE_ADMISSION
) -> AdmissionQueue:
    """Return an admission queue with targets that have so many slots each."""
    queue = AdmissionQueue(policy=policy)
    for name in names:
        record = TargetRecord(
            id=name, service="s", address=name, data_centre="a", slots=slots
        )
        queue.set_target(record, 0.0)
    return queue


def run(queue: AdmissionQueue, name: str, now: float, seconds: float, **fields) -> bool:
    """Submit a request and end it after some seconds; tell whether it was granted."""
    fields = {"deadline_at": now + max(DEADLINE, 2 * seconds)} | fields
    (decision,) = queue.submit(slot_request(name, now, **fields), now)
    if not isinstance(decision, SlotGranted):
        return False
    queue.release(SlotResult(decision.number, seconds), now + seconds)
    return True


class RecoveringEstimateTests(unittest.TestCase):
    """Guard against estimates that refuse the requests that would correct them."""

    def refusals(self, policy: AdmissionPolicy) -> int:
        """Return the refusals in 60 s after six responses that took 4 s."""
        queue = queue_of(slots=6, policy=policy)
        granted = [queue.submit(slot_request(f"b{i}"), 0.0) for i in range(6)]
        for (decision,) in granted:
            queue.release(SlotResult(decision.number, 4.0, complete=False), 4.0)
        return sum(
            not run(queue, f"r{second}", 5.0 + second, 0.2, deadline_at=6.5 + second)
            for second in range(60)
        )

    def test_six_bad_first_responses_cause_no_lasting_refusals(self):
        self.assertEqual(self.refusals(AdmissionPolicy()), 60)
        self.assertEqual(self.refusals(ADAPTIVE_ADMISSION), 0)

    def test_slow_target_is_probed_by_one_request_at_a_time(self):
        """A target that is still slow must not be given all its slots again."""
        queue = queue_of(slots=6)
        run(queue, "bad", 0.0, 9.0)
        run(queue, "worse", 10.0, 9.0)
        decisions = [queue.submit(slot_request(f"r{i}", 20.0), 20.0) for i in range(3)]
        granted = [isinstance(decision, SlotGranted) for (decision,) in decisions]
        self.assertEqual(granted, [True, False, False])

    def test_request_without_time_is_no_probe(self):
        """Requests of less time than any response took were sent in vain."""
        queue = queue_of()
        run(queue, "usual", 0.0, 0.3)
        for now in (0.4, 9.0):
            request = slot_request(f"r{now}", now, deadline_at=now + 0.05)
            (decision,) = queue.submit(request, now)
            self.assertIsInstance(decision, SlotRefused)


class OwnTargetTests(unittest.TestCase):
    """Guard against estimates from the mean of targets of unequal speed."""

    def test_queued_request_is_judged_by_the_slots_that_free_first(self):
        """The mean of a fast and a slow target refused what the fast one can run."""
        queue = queue_of(names=("fast", "slow"))
        for target, seconds in (("fast", 0.1), ("slow", 2.4)):
            for count in range(8):
                run(queue, f"{target}{count}", 3.0 * count, seconds, target=target)
        self.fill(queue, 30.0)
        self.assertEqual(queue.submit(slot_request("r", 30.0, target=""), 30.0), [])

    def fill(self, queue: AdmissionQueue, now: float) -> None:
        for target in queue.targets_by_id:
            for count in range(4):
                queue.submit(slot_request(f"{target}-{count}", now, target=target), now)

    def test_request_that_cannot_end_in_time_is_refused_before_its_deadline(self):
        """Requests behind one that never ends were refused at their deadline."""
        queue = queue_of()
        for count in range(9):
            run(queue, f"r{count}", float(count), 0.3)
        queue.submit(slot_request("stuck", 10.0), 10.0)
        self.assertEqual(queue.submit(slot_request("queued", 10.0), 10.0), [])
        for step in range(1, 10):
            decisions = queue.tick(10.0 + step / 10)
            if decisions:
                break
        self.assertIsInstance(decisions[0], SlotRefused)
        self.assertLess(step / 10, DEADLINE - 0.6)


class RecheckTests(unittest.TestCase):
    """Guard against the refusal of queued requests that would end in time."""

    def queue_with(self, deadline_at: float) -> AdmissionQueue:
        """Return a queue with one running and one queued request of 0.5 s each."""
        queue = queue_of()
        queue.mean.seconds = queue.targets_by_id["t1"].mean.seconds = 0.5
        queue.submit(slot_request("running", route=""), 0.0)
        queue.submit(slot_request("queued", route="", deadline_at=deadline_at), 0.0)
        self.assertEqual(queue.queued_count, 1)
        return queue

    def refused(self, queue: AdmissionQueue) -> list:
        return [d for step in range(1, 5) for d in queue.tick(step / 10)]

    def test_request_is_not_behind_itself(self):
        """Alone in the queue, it was refused 0.3 s later for its own place."""
        self.assertEqual(self.refused(self.queue_with(1.25)), [])

    def test_promised_times_refuse_no_request_that_waits(self):
        """The callers that were refused after it took its place."""
        queue = self.queue_with(1.25)
        schedule = queue._returns_by_target["t1"] = ReturnSchedule()
        for _ in range(3):
            schedule.promise("r", 0.0, delay=0.42, gap=0.01, left=1.5, fraction=0.5)
        self.assertEqual(queue.count_returns(0.0), 3)
        self.assertNotIn("queued", [d.request.id for d in self.refused(queue)])


class ColdTargetTests(unittest.TestCase):
    """Guard against queues at a cold target that its warm-up rate cannot empty."""

    def play(self) -> tuple[int, int]:
        """Return the served of 60 requests and the longest queue while it is cold."""
        queue = queue_of(slots=4)
        record = attrs.evolve(
            queue.targets_by_id["t1"].record, started_at=1, cold_for=3.0
        )
        queue.mean.seconds = WORK
        queue.set_target(record, 0.0, WarmupPolicy(4.7, 3.0, 12.0))
        queue.clear_suspicion("t1", 0.0, 0.0)
        running, served, longest = [], 0, 0
        for step in range(350):
            now = step / 100
            fields = {"route": "", "deadline_at": now + DEADLINE}
            decisions = queue.tick(now) if step % 10 == 0 else []
            while running and running[0][0] <= now:
                _, number = running.pop(0)
                decisions += queue.release(SlotResult(number, WORK), now)
            if step % 5 == 0 and step < 300:
                decisions += queue.submit(slot_request(f"r{step}", now, **fields), now)
            granted = [d for d in decisions if isinstance(d, SlotGranted)]
            running += [(now + WORK, d.number) for d in granted]
            served += len(granted)
            if now < 1.5:
                longest = max(longest, queue.queued_count)
        return served, longest

    def test_queue_is_judged_by_the_warm_up_rate(self):
        """They were queued at the speed of all slots and refused up to 0.8 s later."""
        served, longest = self.play()
        self.assertGreaterEqual(served, 20)
        self.assertLessEqual(longest, 4)


class EstimateCostTests(unittest.TestCase):
    """Guard against estimates that take the processor time of small instances."""

    def busy_queue(self) -> AdmissionQueue:
        """Return a queue of 20 targets without a free slot."""
        queue = queue_of(slots=4, names=tuple(f"t{i}" for i in range(20)))
        for slots in queue.targets_by_id.values():
            slots.mean.seconds = 0.5
        queue.mean.seconds = 0.5
        fields = {"target": "", "deadline_at": 60.0}
        for number in range(20 * 5):
            queue.submit(slot_request(f"h{number}", **fields), 0.0)
        return queue

    def count_starts(self, queue: AdmissionQueue, action) -> int:
        """Return how often the starts of a target are computed by an action."""
        path = "fireflystand_core.dispatch.slots.TargetSlots.expected_starts"
        with patch(path, autospec=True, side_effect=TargetSlots.expected_starts) as m:
            action()
        return m.call_count

    def test_recheck_computes_the_starts_once_for_all_requests(self):
        """16 queued requests had the starts of all 121 targets computed 16 times."""
        queue = self.busy_queue()
        for number in range(16):
            fields = {"target": "", "deadline_at": 1.4 + number / 1000}
            queue.submit(slot_request(f"q{number}", **fields), 0.0)
        count = self.count_starts(queue, lambda: queue.tick(0.2))
        self.assertEqual(count, len(queue.targets_by_id))

    def test_requests_with_much_time_are_not_rechecked(self):
        queue = self.busy_queue()
        self.assertGreater(queue.queued_count, 0)
        path = "fireflystand_core.dispatch.RouteDurations.ratio"
        with patch(path, return_value=1.0) as ratio:
            queue.tick(0.2)
        # Once to tell whether it is too late, and not for its place.
        self.assertEqual(ratio.call_count, queue.queued_count)

    def test_requests_for_any_target_share_the_starts_for_some_milliseconds(self):
        queue = self.busy_queue()

        def submit_ten() -> None:
            for number in range(10):
                request = slot_request(f"q{number}", 0.1, target="")
                queue.submit(request, 0.1 + number / 5000)

        count = self.count_starts(queue, submit_ten)
        self.assertEqual(count, len(queue.targets_by_id))

    def test_starts_that_were_computed_earlier_are_as_much_sooner(self):
        queue = self.busy_queue()
        request = slot_request("q", target="")
        before, _ = queue._estimate(request, 0.1)
        after, _ = queue._estimate(request, 0.104)
        self.assertAlmostEqual(before - after, 0.004)


class PlannedReturnTests(unittest.TestCase):
    """Guard against refused callers that come back together or too late."""

    def refusals(self, count: int, policy=ADAPTIVE_ADMISSION) -> list[float]:
        """Return the Retry-After of requests that are refused at the same moment."""
        queue = queue_of(slots=4, policy=policy)
        for number in range(20):
            run(queue, f"m{number}", number / 2, 0.3)
        decisions = []
        for number in range(count):
            decisions += queue.submit(slot_request(f"r{number}", 20.0), 20.0)
        return sorted(d.retry_after for d in decisions if isinstance(d, SlotRefused))

    def test_no_caller_is_told_more_than_it_honours(self):
        """All callers came back after a third of their time, at the same moment."""
        waits = self.refusals(40)
        self.assertGreater(len(waits), 15)
        self.assertLessEqual(waits[-1], DEADLINE / 3)
        self.assertGreater(max(self.refusals(40, AdmissionPolicy())), DEADLINE / 3)

    def test_returns_are_spaced_by_what_the_targets_run(self):
        schedule = ReturnSchedule()
        waits = [self.promise(schedule, 0.0) for _ in range(4)]
        for wait, expected in zip(waits, (0.1, 0.2, 0.3, 0.4), strict=True):
            self.assertAlmostEqual(wait, expected)
        self.assertEqual(schedule.count(0.15, 0.35), 2)

    def test_returns_without_room_are_spread(self):
        schedule = ReturnSchedule()
        waits = [self.promise(schedule, i / 10, delay=9.0) for i in range(10)]
        self.assertLessEqual(max(waits), 0.5)
        self.assertGreater(max(waits) - min(waits), 0.2)

    def test_kinds_share_the_room(self):
        """Each of two kinds was promised all of it."""
        schedule = ReturnSchedule()
        for _ in range(3):
            self.promise(schedule, 0.0, kind="a")
            self.promise(schedule, 0.0, kind="b")
        # One gap before the first promise to the other kind is not shared yet.
        self.assertLessEqual(schedule.count(0.0, 0.45), 5)

    def test_promises_keep_to_the_learned_limit(self):
        """A target that runs one of its four slots well was promised four times."""
        queue = queue_of(slots=4)
        queue.targets_by_id["t1"].mean.seconds = 0.2
        queue.targets_by_id["t1"].concurrency.limit = 1
        waits = [
            queue._plan_return(slot_request(f"r{number}"), 0.1, 0.0)
            for number in range(2)
        ]
        self.assertAlmostEqual(waits[1] - waits[0], 0.2)

    def promise(
        self, schedule, fraction: float, delay: float = 0.1, kind: str = "kind"
    ) -> float:
        return schedule.promise(
            kind, 0.0, delay=delay, gap=0.1, left=1.5, fraction=fraction
        )

    def test_caller_that_repeats_at_once_does_not_take_a_promised_place(self):
        """Those that repeated at once got the room of those that waited as told."""
        schedule = ReturnSchedule()
        self.promise(schedule, 0.0)
        self.assertEqual(schedule.count(0.01, 0.2), 1)
        self.assertEqual(schedule.count(0.1, 0.2), 0)


class LearnedConcurrencyTests(unittest.TestCase):
    """Guard against limits that the queue does not apply, or applies when off."""

    def granted(self, queue: AdmissionQueue) -> int:
        decisions = []
        for number in range(6):
            decisions += queue.submit(slot_request(f"g{number}"), 0.0)
        return sum(isinstance(decision, SlotGranted) for decision in decisions)

    def test_target_holds_no_more_than_its_learned_limit(self):
        queue = queue_of(slots=4)
        queue.targets_by_id["t1"].concurrency.limit = 2
        self.assertEqual(self.granted(queue), 2)

    def test_limit_is_raised_while_only_short_requests_come(self):
        """A lowered limit stayed where other targets ran the longer requests."""
        queue = queue_of(slots=4, names=("t1", "t2"))
        queue.targets_by_id["t1"].concurrency.limit = 2
        for slots in queue.targets_by_id.values():
            slots.mean.seconds = 0.3
        with patch.object(queue.route_durations, "ratio", return_value=0.1):
            for step in range(200):
                run(queue, f"s{step}", step / 10, 0.03)
        self.assertEqual(queue.targets_by_id["t1"].concurrency.limit, 4)

    def test_usual_policy_learns_no_limit(self):
        queue = queue_of(slots=4, policy=AdmissionPolicy())
        self.assertIsNone(queue.targets_by_id["t1"].concurrency)
        self.assertGreaterEqual(self.granted(queue), 4)

    def test_policy_that_changes_applies_with_the_next_record(self):
        queue = queue_of(slots=4)
        queue.targets_by_id["t1"].concurrency.limit = 2
        queue.policy = AdmissionPolicy()
        queue.set_target(queue.targets_by_id["t1"].record, 0.0)
        self.assertGreaterEqual(self.granted(queue), 4)


class SheddingTests(unittest.TestCase):
    """Guard against idle targets after one shed request, and floods of full ones."""

    def shed(self, queue: AdmissionQueue, now: float) -> bool:
        """Have one request shed; tell whether the target was given one."""
        request = slot_request(f"r{now}", now)
        (decision,) = queue.submit(request, now) or (None,)
        if decision is None:
            queue.withdraw(request.id, now)
            return False
        queue.release(SlotResult(decision.number, shed=True), now)
        return True

    def test_target_that_shed_one_request_is_given_the_next(self):
        """It paused for 30 ms after each request that it shed by chance."""
        queue = queue_of()
        self.assertTrue(self.shed(queue, 0.0))
        self.assertTrue(self.shed(queue, 0.001))

    def test_target_that_sheds_all_requests_pauses_for_longer_times(self):
        queue = queue_of()
        count = sum(self.shed(queue, step / 1000) for step in range(1000))
        self.assertLess(count, 10)
        queue = queue_of(policy=AdmissionPolicy())
        count = sum(self.shed(queue, step / 1000) for step in range(1000))
        self.assertGreater(count, 30)

    def test_response_ends_the_row(self):
        queue = queue_of()
        self.shed(queue, 0.0)
        run(queue, "served", 0.1, 0.1)
        self.shed(queue, 0.3)
        self.assertTrue(self.shed(queue, 0.301))


class PassingOverTests(unittest.TestCase):
    """Guard against kinds of request that get no slot while others ask for all."""

    def grants_before(self, policy: AdmissionPolicy, paused: str = "") -> int:
        """Return how many urgent requests start before a less urgent one.

        The target pauses for the instance ``paused``, if that is not empty.
        """
        queue = queue_of(policy=policy)
        if paused:
            fields = {"instance": paused, "priority": 0}
            (held,) = queue.submit(slot_request("pause", **fields), 0.0)
            queue.release(SlotResult(held.number, 0.1, pause=60.0), 0.0)
        (held,) = queue.submit(slot_request("first", priority=0), 0.0)
        later = {"soft_deadline_at": 20.0, "deadline_at": 40.0}
        queue.submit(slot_request("other", priority=3, route="o", **later), 0.0)
        for count in range(100):
            queue.submit(slot_request(f"u{count}", priority=0, **later), 0.0)
            result = SlotResult(held.number, 0.1)
            (held,) = queue.release(result, 0.1 * count)
            if held.request.id == "other":
                return count
        return 100

    def test_waiting_kind_gets_a_turn(self):
        self.assertEqual(self.grants_before(AdmissionPolicy()), 100)
        self.assertEqual(self.grants_before(ADAPTIVE_ADMISSION), MAX_PASSED_OVER)

    def test_waiting_kind_gets_a_turn_while_the_target_pauses_for_an_instance(self):
        """One paused instance ended the turns, and 100 others went first."""
        self.assertEqual(self.grants_before(AdmissionPolicy(), "other"), 100)
        grants = self.grants_before(ADAPTIVE_ADMISSION, "other")
        self.assertEqual(grants, MAX_PASSED_OVER)

    def test_request_that_is_not_granted_takes_no_turn(self):
        """A request of a paused instance must not use up its kind's turn."""
        queue = queue_of()
        paused = {"instance": "p", "deadline_at": 40.0}
        (held,) = queue.submit(slot_request("a", **paused), 0.0)
        queue.release(SlotResult(held.number, 0.1, pause=9.0), 0.0)
        (held,) = queue.submit(slot_request("b", priority=0), 0.0)
        queue.submit(slot_request("waits", priority=3, **paused), 0.0)
        for count in range(MAX_PASSED_OVER + 2):
            queue.submit(slot_request(f"u{count}", priority=0, deadline_at=40.0), 0.0)
            (held,) = queue.release(SlotResult(held.number, 0.1), 0.1)
        self.assertEqual(held.request.priority, 0)
        queue.tick(9.5)
        queue.submit(slot_request("u", priority=0, deadline_at=40.0), 9.5)
        (held,) = queue.release(SlotResult(held.number, 0.1), 9.6)
        self.assertEqual(held.request.id, "waits")

    def test_estimate_counts_the_turns(self):
        """Requests that would get a turn were refused for those ahead of them."""
        self.assertEqual(most_ahead(0, 100), MAX_PASSED_OVER)
        self.assertEqual(most_ahead(1, 100), 1 + 2 * MAX_PASSED_OVER)
        self.assertEqual(most_ahead(1, 2), 2)

    def test_kind_that_no_longer_waits_has_no_turn(self):
        turns = KindTurns()
        for _ in range(MAX_PASSED_OVER):
            turns.note_grant("a", ["a", "b"])
        self.assertEqual(turns.choose(["a"], str, str), "a")
        self.assertEqual(turns.choose(["a", "b"], str, str), "a")


if __name__ == "__main__":
    unittest.main()
