"""Replay load patterns against the admission queue."""

import unittest

from fireflystand_core.dispatch import ADAPTIVE_ADMISSION, AdmissionPolicy
from fireflystand_testing.experiment import ClassResult, Load, loads_by_name, play

SEEDS = range(3)
GOODPUT_GOAL = 0.95  # of what the targets can run, as docs/status.md states it
SERVED_GAP, EARNED_GAP = 0.05, 0.15  # at most, as the operators state them
LEAST_SERVED_SHARE = 0.25  # of what others get, as the operators state it
LOUD_FACTOR = 3.0  # by which neighbours of the model lengthen work


def capacity(load: Load) -> float:
    """Return the requests a second that the targets of a one-class load can run."""
    (item,) = load.classes
    return sum(
        target.slots
        * target.speed
        * (1 - target.noise + target.noise / LOUD_FACTOR)
        / item.work
        for target in load.targets
    )


class GoodputTests(unittest.TestCase):
    """Guard against slots that stand idle while requests are turned away."""

    def test_pool_beyond_its_capacity_stays_busy(self):
        """The way from one request to the next one left slots idle."""
        load = loads_by_name["pooled-overload"]()
        results = [play(load, seed)["lookup"] for seed in SEEDS]
        answered = sum(r.in_aim + r.late for r in results)
        possible = capacity(load) * load.seconds * len(SEEDS)
        self.assertGreater(answered / possible, GOODPUT_GOAL)


class PriorityTests(unittest.TestCase):
    """Guard against urgent requests that fare worse than less urgent ones."""

    def test_orders_are_served_before_lookups(self):
        for name, make in loads_by_name.items():
            for seed in SEEDS:
                results = play(make(), seed)
                if "order" in results:
                    order, lookup = results["order"], results["lookup"]
                    with self.subTest(load=name, seed=seed):
                        self.assertGreater(order.served, lookup.served - SERVED_GAP)
                        self.assertGreater(order.earned, lookup.earned - EARNED_GAP)


class AddedRouteTests(unittest.TestCase):
    """Guard against added routes that are refused for the work of other routes."""

    def test_added_route_of_short_work_is_served_at_an_overloaded_target(self):
        """Its requests were refused, as they were taken for as long as the others."""
        results = [play(loads_by_name["added-route"](), seed) for seed in SEEDS]
        for seed, result in zip(SEEDS, results, strict=True):
            with self.subTest(seed=seed):
                least = result["known"].served * LEAST_SERVED_SHARE
                self.assertGreater(result["added"].served, least)


class ShortDeadlineTests(unittest.TestCase):
    """Guard against added routes whose requests are refused at a full queue."""

    def test_callers_with_little_time_are_served_at_an_overloaded_target(self):
        """Requests of 1 s found no room behind the requests of 5 s."""
        results = [play(loads_by_name["short-deadlines"](), seed) for seed in SEEDS]
        for seed, result in zip(SEEDS, results, strict=True):
            with self.subTest(seed=seed):
                least = result["patient"].served * LEAST_SERVED_SHARE
                self.assertGreater(result["hurried"].served, least)


class AdaptiveAdmissionTests(unittest.TestCase):
    """Guard against adaptive decisions that serve callers no better than the usual."""

    def results(self, load: str, policy: AdmissionPolicy) -> dict[str, ClassResult]:
        """Return the sums over the seeds by class."""
        sums: dict[str, ClassResult] = {}
        for seed in SEEDS:
            for name, result in play(loads_by_name[load](), seed, policy).items():
                total = sums.setdefault(name, ClassResult())
                for field in ("asked", "in_aim", "late", "refused", "failed"):
                    value = getattr(total, field) + getattr(result, field)
                    setattr(total, field, value)
        return sums

    def gains(self, load: str) -> dict[str, float]:
        """Return by how much the share served in time grows for each class."""
        usual = self.results(load, AdmissionPolicy())
        adaptive = self.results(load, ADAPTIVE_ADMISSION)
        return {
            name: adaptive[name].in_aim / adaptive[name].asked
            - usual[name].in_aim / usual[name].asked
            for name in usual
        }

    def test_bad_first_responses_do_not_refuse_later_requests(self):
        self.assertGreater(self.gains("bad-first-responses")["hurried"], 0.8)

    def test_target_that_slows_down_early_gets_fewer_requests(self):
        self.assertGreater(self.gains("early-slowdown")["keyed"], 0.15)

    def test_kind_that_was_passed_over_is_served(self):
        self.assertGreater(self.gains("passed-over")["other"], 0.1)

    def test_owner_that_sheds_is_not_left_idle(self):
        self.assertGreater(self.gains("shedding-owner")["keyed"], 0.0)

    def test_slowness_of_less_than_a_second_costs_nothing(self):
        self.assertGreater(self.gains("short-slowdown")["keyed"], -0.02)

    def test_callers_that_repeat_at_once_fare_no_better(self):
        """They were served a tenth more often than those that wait as told."""
        results = self.results("hot-key-slow", ADAPTIVE_ADMISSION)
        gap = results["impatient"].served - results["keyed"].served
        self.assertLess(gap, SERVED_GAP)


class RepeatabilityTests(unittest.TestCase):
    """Guard against plays that cannot be compared."""

    def test_a_seed_gives_the_same_results(self):
        load = loads_by_name["retry-storm"]()
        self.assertEqual(play(load, 3), play(load, 3))


if __name__ == "__main__":
    unittest.main()
