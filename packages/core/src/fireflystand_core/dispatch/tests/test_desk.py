"""Test the queueing, refusal and placement of requests under various loads."""

import unittest
from random import Random
from unittest import mock

from fireflystand_core.dispatch import (
    AdmissionQueue,
    QueuedRequest,
    SlotGranted,
    SlotRefused,
    SlotResult,
    TargetLoad,
    TargetSlots,
    WarmupPolicy,
)
from fireflystand_core.traffic import TargetRecord


def target(name: str = "t1", **fields) -> TargetRecord:
    """Return a target with one slot."""
    values = {"service": "s", "address": name, "data_centre": "a", "slots": 1}
    return TargetRecord(id=name, **(values | fields))


def slot_request(name: str, **fields) -> QueuedRequest:
    """Return a slot request for the target t1, made at time 0."""
    values = {
        "instance": "i",
        "target": "t1",
        "priority": 1,
        "soft_deadline_at": 0.5,
        "deadline_at": 2.0,
        "data_centre": "a",
    }
    return QueuedRequest(id=name, **(values | fields))


def queue_of(
    *records: TargetRecord, warmup_rate: float = 0.0, warmup: float = 0.0
) -> AdmissionQueue:
    """Return an admission queue with a mean duration of 0.1 s and these targets."""
    queue = AdmissionQueue()
    for record in records or (target(),):
        queue.set_target(record, 0.0, WarmupPolicy(warmup_rate, warmup))
    return queue


class RestartSuspicionTests(unittest.TestCase):
    """Guard against the full load for a target that may have restarted unnoticed."""

    RATE = 4.0  # requests a second to a cold target
    WARMUP = 3.0  # seconds

    def queue_with_suspect(self, **result) -> AdmissionQueue:
        """Return a queue whose target may have restarted, by a result at time 1."""
        queue = queue_of(target(slots=9), warmup_rate=self.RATE, warmup=self.WARMUP)
        (granted,) = queue.submit(slot_request("lost"), 0.9)
        queue.release(SlotResult(granted.number, complete=False, **result), 1.0)
        return queue

    def grants(self, queue: AdmissionQueue, since: float, until: float) -> int:
        """Return the grants to requests that come every 10 ms and end at once."""
        count = 0
        for step in range(round((until - since) * 100)):
            now = since + step / 100
            request = slot_request(f"r{now}", soft_deadline_at=now, deadline_at=now + 1)
            count += self.end_all(queue, queue.submit(request, now), now)
            count += self.end_all(queue, queue.tick(now), now)
        return count

    def end_all(self, queue: AdmissionQueue, decisions: list, now: float) -> int:
        """End granted requests and those granted then; return their number."""
        count = 0
        while decisions:
            decision = decisions.pop()
            if isinstance(decision, SlotGranted):
                count += 1
                decisions += queue.release(SlotResult(decision.number, 0.01), now)
        return count

    def test_suspect_gets_its_warm_up_rate_until_its_health_is_checked(self):
        queue = self.queue_with_suspect(may_have_restarted=True)
        self.assertEqual(queue.suspects, {"t1"})
        self.assertLessEqual(self.grants(queue, 1.0, 2.0), 2 + self.RATE)
        self.end_all(queue, queue.clear_suspicion("t1", 1.9, 2.0), 2.0)
        self.assertFalse(queue.is_suspect("t1", 2.0))
        self.assertGreaterEqual(self.grants(queue, 2.0, 2.5), 50)

    def test_unreachable_target_is_suspect(self):
        queue = self.queue_with_suspect(unreachable=True)
        self.assertTrue(queue.is_suspect("t1", 1.0))

    def test_unused_target_is_suspect(self):
        """No instance need have a connection whose end would show its restart."""
        queue = queue_of(target(slots=9), warmup_rate=self.RATE, warmup=self.WARMUP)
        self.grants(queue, 0.0, 2.0)
        self.assertEqual(queue.suspects, set())
        self.assertLessEqual(self.grants(queue, 6.0, 7.0), 3 + self.RATE)
        self.assertEqual(queue.suspects, {"t1"})

    def test_health_check_from_before_the_loss_clears_nothing(self):
        queue = self.queue_with_suspect(may_have_restarted=True)
        queue.clear_suspicion("t1", 0.95, 1.05)
        self.assertTrue(queue.is_suspect("t1", 1.05))

    def test_suspicion_ends_with_the_warm_up_time(self):
        queue = self.queue_with_suspect(may_have_restarted=True)
        self.assertTrue(queue.is_suspect("t1", 3.9))
        self.assertFalse(queue.is_suspect("t1", 4.1))

    def test_service_without_a_warm_up_rate_has_no_suspects(self):
        queue = queue_of(target(slots=9))
        (granted,) = queue.submit(slot_request("lost"), 0.9)
        queue.release(SlotResult(granted.number, may_have_restarted=True), 1.0)
        self.assertEqual(queue.suspects, set())

    def test_record_that_is_applied_again_makes_no_target_cold(self):
        """Each new configuration made targets cold again that had once been so."""
        record = target(slots=9, cold_for=self.WARMUP)
        queue = queue_of(record, warmup_rate=self.RATE, warmup=self.WARMUP)
        self.grants(queue, 0.0, 3.5)
        queue.set_target(record, 3.5, WarmupPolicy(self.RATE, self.WARMUP))
        self.assertEqual(self.grants(queue, 3.5, 4.0), 50)


class OverloadTests(unittest.TestCase):
    """Guard against futile waits, and refusals although there is free capacity."""

    def test_burst_is_refused_at_once_when_the_queue_reaches_the_deadline(self):
        """Guard against requests of a burst that are queued but cannot end in time."""
        queue = queue_of()
        requests = [
            slot_request(f"r{number}", deadline_at=2.05) for number in range(40)
        ]
        decisions = [d for each in requests for d in queue.submit(each, 0.0)]
        granted = [d for d in decisions if isinstance(d, SlotGranted)]
        refused = [d for d in decisions if isinstance(d, SlotRefused)]
        self.assertEqual(len(granted), 1)
        # In 0.8 of 2.05 s, 15 queued requests of 0.1 s can end after the running one.
        self.assertEqual(queue.queued_count, 15)
        self.assertEqual(len(refused), 24)
        for refusal in refused:
            self.assertGreater(refusal.retry_after, 0.5)
            self.assertLess(refusal.retry_after, 2.0)

    def test_urgent_requests_overtake(self):
        queue = queue_of()
        first = queue.submit(slot_request("running"), 0.0)[0]
        queue.submit(slot_request("low", priority=2), 0.0)
        queue.submit(slot_request("high", priority=0), 0.0)
        decisions = queue.release(SlotResult(first.number, 0.1), 0.1)
        self.assertEqual([d.request.id for d in decisions], ["high"])

    def test_requests_in_time_go_before_late_ones(self):
        queue = queue_of()
        first = queue.submit(slot_request("running"), 0.0)[0]
        queue.submit(slot_request("late", priority=0, soft_deadline_at=0.05), 0.0)
        queue.submit(slot_request("in-time", priority=2), 0.0)
        decisions = queue.release(SlotResult(first.number, 0.1), 0.1)
        self.assertEqual([d.request.id for d in decisions], ["in-time"])

    def test_silent_target_refuses_earlier_the_longer_it_is_silent(self):
        """Guard against queueing behind a hung request.

        Its expected remaining time is the time it has already run.
        """
        queue = queue_of()
        queue.submit(slot_request("hangs", deadline_at=60.0), 0.0)
        decisions = queue.submit(slot_request("next", deadline_at=2.5), 2.0)
        self.assertIsInstance(decisions[0], SlotRefused)

    def test_waiting_request_is_refused_when_no_time_is_left(self):
        queue = queue_of()
        queue.submit(slot_request("hangs", deadline_at=60.0), 0.0)
        queue.submit(slot_request("waits", deadline_at=1.0), 0.0)
        self.assertEqual(queue.tick(0.5), [])
        decisions = queue.tick(0.96)
        self.assertEqual([d.request.id for d in decisions], ["waits"])
        self.assertIsInstance(decisions[0], SlotRefused)

    def test_queues_of_other_targets_are_not_touched(self):
        """Guard against the queue of a busy target delaying requests for others."""
        queue = queue_of(target("t1"), target("t2"))
        for number in range(10):
            queue.submit(slot_request(f"r{number}"), 0.0)
        decisions = queue.submit(slot_request("other", target="t2"), 0.0)
        self.assertIsInstance(decisions[0], SlotGranted)


class AddedRouteTests(unittest.TestCase):
    """Guard against added routes that are refused for the work of other routes."""

    def busy_queue(self) -> AdmissionQueue:
        """Return the queue of a target whose requests take 0.9 s, all slots taken."""
        queue = queue_of(target(slots=3))
        for number in range(60):
            known = slot_request(f"w{number}", route="known", deadline_at=9.0)
            (granted,) = queue.submit(known, 0.0)
            queue.release(SlotResult(granted.number, seconds=0.9), 0.0)
        for number in range(3):
            known = slot_request(f"r{number}", route="known", deadline_at=9.0)
            queue.submit(known, 0.0)
        return queue

    def submit_with_one_second(self, queue: AdmissionQueue, route: str):
        added = slot_request(
            "a", route=route, priority=0, soft_deadline_at=1.4, deadline_at=1.4
        )
        return queue.submit(added, 0.4)

    def test_unmeasured_route_is_not_refused_for_the_work_of_others(self):
        self.assertEqual(self.submit_with_one_second(self.busy_queue(), "added"), [])

    def test_unmeasured_route_keeps_its_place_until_a_slot_is_free(self):
        queue = self.busy_queue()
        self.submit_with_one_second(queue, "added")
        self.assertEqual(queue.tick(1.0), [])
        decisions = queue.release(SlotResult(61, seconds=1.1), 1.1)
        self.assertEqual([d.request.id for d in decisions], ["a"])
        self.assertIsInstance(decisions[0], SlotGranted)

    def test_route_that_takes_as_long_as_the_others_is_refused_once_measured(self):
        queue = self.busy_queue()
        queue.route_durations.add("added", 1.0)
        (decision,) = self.submit_with_one_second(queue, "added")
        self.assertIsInstance(decision, SlotRefused)

    def test_routes_that_are_not_configured_any_more_are_dropped(self):
        queue = self.busy_queue()
        queue.route_durations.keep({"other"})
        self.assertEqual(queue.route_durations.ratio("known"), 0.0)


class FastWorkTests(unittest.TestCase):
    """Guard against sending a fast target more requests than it can queue."""

    def test_few_requests_wait_at_a_target_however_fast_it_works(self):
        queue = queue_of(target(slots=6))
        for number in range(200):
            (granted,) = queue.submit(slot_request(f"w{number}"), 0.0)
            queue.release(SlotResult(granted.number, seconds=0.001), 0.0)
        requests = [slot_request(f"r{number}") for number in range(40)]
        decisions = [d for each in requests for d in queue.submit(each, 0.0)]
        granted = [d for d in decisions if isinstance(d, SlotGranted)]
        self.assertLessEqual(len(granted), 9)


class ColdTargetTests(unittest.TestCase):
    """Guard against sending cold targets more requests than they can serve."""

    def test_rate_of_a_cold_target(self):
        queue = queue_of(target(slots=50, cold_for=3.0), warmup_rate=4.0)
        granted = 0
        for step in range(100):
            now = step / 100
            decisions = queue.submit(slot_request(f"r{step}", deadline_at=now + 9), now)
            granted += sum(isinstance(d, SlotGranted) for d in decisions)
        self.assertLessEqual(granted, 6)
        self.assertGreaterEqual(granted, 4)

    def test_grants_tell_how_many_there_were_within_a_second(self):
        queue = queue_of(target(slots=50, cold_for=3.0), warmup_rate=4.0)
        counts = []
        for name, at in (("a", 0.0), ("b", 0.1), ("c", 0.6), ("d", 1.05)):
            decisions = queue.submit(slot_request(name, deadline_at=at + 9), at)
            counts += [d.cold_grants for d in decisions if isinstance(d, SlotGranted)]
        self.assertEqual(counts, [1, 2, 3, 3])

    def test_grants_of_warm_targets_are_not_counted(self):
        queue = queue_of(target(slots=50), warmup_rate=4.0)
        self.assertEqual(queue.submit(slot_request("a"), 0.0)[0].cold_grants, 0)


class PooledServiceTests(unittest.TestCase):
    """Guard against choosing slow or distant targets while better ones are idle."""

    def test_near_and_fast_targets_first(self):
        queue = queue_of(target("t1", data_centre="b"), target("t2"), target("t3"))
        slow = queue.submit(slot_request("a", target="t3"), 0.0)[0]
        load = TargetLoad(1, 0, 1, 2.5)
        queue.release(SlotResult(slow.number, 0.1, load=load), 0.0)
        chosen = [
            queue.submit(slot_request(n, target=""), 0.0)[0].target for n in "abc"
        ]
        self.assertEqual(chosen, ["t2", "t3", "t1"])

    def test_target_that_shed_pauses(self):
        queue = queue_of(target("t1"), target("t2"))
        first = queue.submit(slot_request("a", target=""), 0.0)[0]
        queue.release(SlotResult(first.number, shed=True), 0.0)
        second = queue.submit(slot_request("b", target=""), 0.0)[0]
        self.assertNotEqual(first.target, second.target)


class ManyTargetsTests(unittest.TestCase):
    """Guard against work that grows with the number of a service's targets."""

    def test_busy_service_looks_only_at_targets_with_room(self):
        """With 200 targets, each request took 1.5 ms of the responsible instance."""
        queue = queue_of(*(target(f"t{number}", slots=2) for number in range(200)))
        held = fill(queue, 400)
        looks = 0
        free_slots = TargetSlots.free_slots

        def count_look(slots: TargetSlots, now: float) -> int:
            nonlocal looks
            looks += 1
            return free_slots(slots, now)

        with mock.patch.object(TargetSlots, "free_slots", count_look):
            for number in range(100):
                queue.release(SlotResult(held[number], 0.1), 0.2)
                request = slot_request(f"n{number}", target="")
                decisions = queue.submit(request, 0.2)
                self.assertIsInstance(decisions[0], SlotGranted)
        self.assertLessEqual(looks, 500)

    def test_no_request_waits_beside_a_free_slot(self):
        random = Random(5)
        queue = queue_of(*(target(f"t{number}", slots=3) for number in range(6)))
        held: list[int] = []
        now = 0.0
        for number in range(3000):
            now += 0.01
            if held and random.random() < 0.5:
                index = random.randrange(len(held))
                result = SlotResult(held.pop(index), 0.1, shed=random.random() < 0.05)
                decisions = queue.release(result, now)
            else:
                name = random.choice(["", "", "t1", "t4"])
                fields = {"soft_deadline_at": now + 0.5, "deadline_at": now + 2}
                request = slot_request(f"r{number}", target=name, **fields)
                decisions = queue.submit(request, now)
            decisions += queue.tick(now) if number % 10 == 0 else []
            held += [d.number for d in decisions if isinstance(d, SlotGranted)]
            if number % 10 == 0 and queue.queued_count:
                waiting = [t for t, q in queue._queues_by_target.items() if q]
                for name in waiting:
                    open_ids = [name] if name else list(queue.targets_by_id)
                    slots = [queue.targets_by_id[t].free_slots(now) for t in open_ids]
                    self.assertEqual(max(slots), 0)


def fill(queue: AdmissionQueue, count: int) -> list[int]:
    """Submit requests for any target and return the numbers of their slots."""
    decisions = [
        decision
        for number in range(count)
        for decision in queue.submit(slot_request(f"r{number}", target=""), 0.0)
    ]
    return [d.number for d in decisions if isinstance(d, SlotGranted)]


class ConnectionTests(unittest.TestCase):
    """Guard against a new connection for most requests to a pooled service.

    With 82 instances and 51 targets, three of five requests needed a new one.
    """

    def grant(self, queue: AdmissionQueue, name: str, instance: str, now: float) -> str:
        fields = {"target": "", "instance": instance}
        fields |= {"soft_deadline_at": now + 0.5, "deadline_at": now + 2}
        (decision,) = queue.submit(slot_request(name, **fields), now)
        queue.release(SlotResult(decision.number, 0.1), now + 0.1)
        return decision.target

    def test_instance_returns_to_the_targets_that_it_used(self):
        queue = queue_of(*(target(f"t{number}", slots=2) for number in range(20)))
        targets_by_instance: dict[str, set[str]] = {}
        for number in range(200):
            instance = f"i{number % 5}"
            name = self.grant(queue, f"r{number}", instance, 0.2 * number)
            targets_by_instance.setdefault(instance, set()).add(name)
        self.assertEqual({len(used) for used in targets_by_instance.values()}, {1})

    def test_faster_target_is_worth_a_new_connection(self):
        queue = queue_of(*(target(f"t{number}", slots=2) for number in range(2)))
        for number in range(40):
            held = queue.submit(slot_request(f"a{number}", target="t0"), 0.0)
            queue.release(SlotResult(held[0].number, 0.3), 0.0)
        self.assertEqual(self.grant(queue, "r", "i", 0.1), "t1")

    def test_connection_that_was_idle_for_long_does_not_count(self):
        queue = queue_of(*(target(f"t{number}", slots=2) for number in range(3)))
        self.grant(queue, "r1", "i", 0.0)
        queue.tick(10.0)
        self.assertEqual(queue._used_at_by_connection, {})


class FrozenInstanceTests(unittest.TestCase):
    """Guard against the time of a frozen instance taken for that of the target."""

    def release(self, queue: AdmissionQueue, **result) -> None:
        """Grant a slot at time 0 and release it 7 s later."""
        (granted,) = queue.submit(slot_request("r", deadline_at=9.0), 0.0)
        queue.release(SlotResult(granted.number, 7.0, **result), 7.0)

    def test_no_mean_changes(self):
        for complete in (True, False):
            with self.subTest(complete=complete):
                queue = queue_of(target(slots=9))
                self.release(queue, complete=complete, stood_still=True)
                self.assertEqual(queue.mean.seconds, 0.1)
                self.assertEqual(queue.targets_by_id["t1"].mean.seconds, 0.1)
                self.assertEqual(queue.route_durations.ratio("r"), 0.0)
                self.release(queue, complete=complete)
                self.assertGreater(queue.mean.seconds, 0.1)

    def test_target_that_ran_a_request_was_in_use(self):
        queue = queue_of(target(slots=9), warmup_rate=4.0, warmup=3.0)
        self.release(queue, stood_still=True)
        queue.submit(slot_request("next", deadline_at=9.0), 7.1)
        self.assertEqual(queue.suspects, set())


class LossTests(unittest.TestCase):
    """Guard against slots that stay taken after their holder is lost."""

    def test_slots_of_a_lost_instance_are_free(self):
        queue = queue_of()
        queue.submit(slot_request("a", instance="lost"), 0.0)
        queue.submit(slot_request("b"), 0.0)
        decisions = queue.release_instance("lost", 0.1)
        self.assertEqual([d.request.id for d in decisions], ["b"])

    def test_withdrawn_request_frees_its_slot(self):
        queue = queue_of()
        queue.submit(slot_request("a"), 0.0)
        queue.submit(slot_request("b"), 0.0)
        decisions = queue.withdraw("a", 0.1)
        self.assertEqual([d.request.id for d in decisions], ["b"])
        self.assertEqual(queue.withdraw("unknown", 0.1), [])

    def test_slot_without_a_return_is_freed_after_its_deadline(self):
        queue = queue_of()
        queue.submit(slot_request("a"), 0.0)
        queue.submit(slot_request("b", deadline_at=9.0), 0.1)
        self.assertEqual(queue.tick(2.4), [])
        self.assertEqual([d.request.id for d in queue.tick(2.6)], ["b"])


if __name__ == "__main__":
    unittest.main()
