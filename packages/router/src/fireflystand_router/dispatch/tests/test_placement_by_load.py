"""Test placement by load: speeds from health responses, cold targets, fewer moves."""

import unittest

import trio

from fireflystand_core.messages import WorkReport
from fireflystand_core.ranges import (
    KEY_SPACE,
    LoadView,
    RangeRecord,
    RisenLoads,
    rebalancing_moves,
)
from fireflystand_core.ranges.planning import HOT_AFTER, MIN_NEIGHBOUR_LOAD
from fireflystand_core.traffic import (
    EntryLimits,
    RoutingTable,
    ServicePolicy,
    TargetRecord,
)

from ..load import ColdTarget, ServiceLoad
from ..ranges import (
    DISCOVERY_PERIOD,
    GRANT_TIMEOUT,
    HIGH_LOAD_THRESHOLD,
    LOOP_INTERVAL,
    MAX_REBALANCE_MOVES,
    PLAN_INTERVAL,
)
from .support import SERVICE, FakeCluster, FakeControl
from .test_load import LoadSimulation
from .test_ranges import run_scenario

WARMUP_RATE = 4.7  # requests a second


class PlannedSimulation(LoadSimulation):
    """Carry out moves in the order of the coordinator's plans."""

    def __init__(self, speeds: list[float], seed: int, *, by_load: bool) -> None:
        super().__init__(speeds, seed)
        self.load.by_load = by_load
        self.risen_loads = RisenLoads()
        self.moved_share = 0.0  # of all keys

    def step(self, number: int, rate: float) -> None:
        """Report half a second of requests and carry out the moves planned then."""
        self.report(rate=rate, hot_rate=0.0, now=number / 2)
        recent, usual = self.view(recent=True), self.view(recent=False)
        sources = None
        if self.load.by_load:
            sources = self.risen_loads.update(self.record, recent, usual, number / 2)
        moves = rebalancing_moves(
            self.record, recent, min_load=HIGH_LOAD_THRESHOLD, sources=sources
        )
        if not moves and number % 3 == 0:
            moves = rebalancing_moves(self.record, usual, MAX_REBALANCE_MOVES)
        for move in moves:
            self.apply(move)
            self.moved_share += (move.last - move.first + 1) / KEY_SPACE


class NeedlessMoveTests(unittest.TestCase):
    """Guard against keys that move for random variation or for short slowness."""

    SPEEDS = (1.43, 1.43, 0.62) * 8

    def test_random_variation_moves_few_keys(self):
        """Keys moved twice in a day although the load of the targets was even."""
        shares = {}
        for by_load in (False, True):
            simulation = PlannedSimulation(self.SPEEDS, 1, by_load=by_load)
            for number in range(70):
                if number == 20:
                    simulation.moved_share = 0.0
                simulation.step(number, rate=750.0)
            shares[by_load] = simulation.moved_share
        self.assertLess(shares[True], 0.25, shares)
        self.assertGreater(shares[False], 2 * shares[True], shares)

    def slowed(self, factor: float, steps: int, *, by_load: bool) -> float:
        """Return the share of keys that moved within 4 s of a target's slowness."""
        simulation = PlannedSimulation([1.0] * 8, 1, by_load=by_load)
        for number in range(38):
            if number == 30:
                simulation.hidden_slowdown_by_id["t0"] = factor
                simulation.moved_share = 0.0
            if number == 30 + steps:
                simulation.hidden_slowdown_by_id.clear()
            simulation.step(number, rate=120.0)
        return simulation.moved_share

    def test_slowness_of_a_second_moves_nothing(self):
        self.assertGreater(self.slowed(8.0, 2, by_load=False), 0.0)
        self.assertEqual(self.slowed(8.0, 2, by_load=True), 0.0)

    def test_slowness_that_lasts_moves_keys(self):
        self.assertGreater(self.slowed(5.0, 99, by_load=True), 0.02)


class SpeedByHealthTests(unittest.TestCase):
    """Guard against slow targets that get as many keys as fast ones at first."""

    def load(self) -> ServiceLoad:
        load = ServiceLoad(by_load=True)
        for slowdown in (2.1, 0.7, 0.72):  # neighbours disturbed the first response
            load.add_health("fast", slowdown)
        load.add_health("slow", 1.6)
        return load

    def test_least_slowdown_is_the_speed(self):
        load = self.load()
        self.assertAlmostEqual(load.speed("fast") / load.speed("slow"), 1.6 / 0.7)
        self.assertAlmostEqual(load.speed("unknown"), 1.0)

    def test_measured_requests_do_not_count_the_slowdown_again(self):
        load = self.load()
        for second in range(20):
            targets = [["fast", 10, 1.26, 1.8], ["slow", 10, 2.88, 1.8]]
            load.add_report(WorkReport("s", 0.5, [], targets))
            load.decay(float(second))
            ratio = load.speed("fast") / load.speed("slow")
            self.assertAlmostEqual(ratio, 1.6 / 0.7, delta=0.3)

    def test_requests_at_a_cold_target_do_not_count(self):
        """A target is twice as slow while it is cold, and not afterwards."""
        load = self.load()
        load.cold_by_target = {"fast": ColdTarget(2.0, WARMUP_RATE)}
        before = load.speed("fast")
        load.add_report(WorkReport("s", 0.5, [], [["fast", 5, 1.26, 1.8]]))
        load.decay(1.0)
        self.assertEqual(load.speed("fast"), before)

    def test_samples_of_an_earlier_process_do_not_count(self):
        load = self.load()
        load.keep(self.records(fast=1, slow=1))
        self.assertGreater(load.speed("fast"), load.speed("slow"))
        load.keep(self.records(fast=2, slow=1))
        load.add_health("fast", 3.2)
        self.assertAlmostEqual(load.speed("slow") / load.speed("fast"), 3.2 / 1.6)

    def records(self, **starts: int) -> dict[str, TargetRecord]:
        return {
            name: TargetRecord(name, SERVICE, "", "", 4, started_at=started_at)
            for name, started_at in starts.items()
        }

    def test_switched_off_they_count_nothing(self):
        load = self.load()
        load.by_load = False
        self.assertEqual(load.speed("fast"), 1.0)


class HealthControl(FakeControl):
    """State in health responses how slow the targets are and for how long cold."""

    def __init__(self, cluster: FakeCluster) -> None:
        super().__init__(cluster.targets)
        self.slowdowns_by_target: dict[str, float] = {}
        self.cold_by_target: dict[str, float] = {}
        self.answer_delay = 0.0  # seconds
        self.disturbed: set[str] = set()  # three times as slow in the next answer
        self.asked: list[str] = []
        self.first_grant_at: float | None = None
        self.coordinator = None

    async def reach(self, address: str, target: str) -> None:
        self.asked.append(target)
        await trio.sleep(self.answer_delay)
        await super().reach(address, target)
        if target in self.slowdowns_by_target:
            slowdown = self.slowdowns_by_target[target]
            if target in self.disturbed:
                self.disturbed.remove(target)
                slowdown *= 3
            self.coordinator.load.add_health(target, slowdown)
        if target in self.cold_by_target:
            self.coordinator.state.mark_cold(target, 1, self.cold_by_target[target])

    async def grant(self, address: str, item, lease: float) -> None:
        if self.first_grant_at is None:
            self.first_grant_at = trio.current_time()
        await super().grant(address, item, lease)


async def started(cluster: FakeCluster, nursery, *, by_load: bool = True, **fields):
    """Start a coordinator that places keys by load; set ``fields`` of its control."""
    control = cluster.control = HealthControl(cluster)
    for name, value in fields.items():
        setattr(control, name, value)
    coordinator = cluster.new_coordinator(places_by_load=lambda: by_load)
    control.coordinator = coordinator
    policy = ServicePolicy(SERVICE, keyed=True, warmup=3.0, warmup_rate=WARMUP_RATE)
    coordinator.state.table = RoutingTable(1, [], [policy], [], EntryLimits())
    nursery.start_soon(coordinator.run)
    return coordinator


def sizes(record: RangeRecord) -> dict[str, int]:
    """Return the number of keys of each target."""
    result: dict[str, int] = {}
    for item in record.ranges:
        result[item.target] = result.get(item.target, 0) + item.size
    return result


class FirstAssignmentByLoadTests(unittest.TestCase):
    """Guard against first ranges that ignore how fast and how cold targets are."""

    def test_first_ranges_follow_the_stated_speeds(self):
        async def scenario(cluster, nursery):
            slowdowns = {"t0": 0.7, "t1": 0.7, "t2": 1.6}
            await started(cluster, nursery, slowdowns_by_target=slowdowns)
            await trio.sleep(3)
            found = sizes(cluster.record())
            self.assertAlmostEqual(found["t0"] / found["t2"], 1.6 / 0.7, delta=0.1)

        run_scenario(scenario)

    def test_first_ranges_ignore_a_disturbed_response(self):
        """Guard against a fast target that counts as slow for one answer."""

        async def scenario(cluster, nursery):
            slowdowns = {"t0": 0.7, "t1": 0.7, "t2": 0.7}
            fields = {"slowdowns_by_target": slowdowns, "disturbed": {"t0"}}
            await started(cluster, nursery, **fields)
            await trio.sleep(3)
            found = sizes(cluster.record())
            self.assertAlmostEqual(found["t0"] / found["t2"], 1.0, delta=0.1)

        run_scenario(scenario)

    def test_questions_delay_no_first_grant(self):
        """The answers come within the wait for further targets."""
        times = []
        for by_load in (False, True):

            async def scenario(cluster, nursery, by_load=by_load):
                await started(cluster, nursery, by_load=by_load, answer_delay=0.1)
                await trio.sleep(3)
                times.append(cluster.control.first_grant_at)
                self.assertEqual(bool(cluster.control.asked), by_load)

            run_scenario(scenario)
        self.assertLessEqual(times[1], times[0] + LOOP_INTERVAL)

    def test_target_that_does_not_answer_gets_no_keys_until_it_does(self):
        async def scenario(cluster, nursery):
            cluster.targets[0].listening = False
            await started(cluster, nursery)
            await trio.sleep(3)
            self.assertEqual(sizes(cluster.record()).keys(), {"t1", "t2"})
            cluster.targets[0].listening = True
            await trio.sleep(1)
            self.assertEqual(len(sizes(cluster.record())), 3)

        run_scenario(scenario)

    def test_records_from_before_a_loss_of_power_get_no_keys(self):
        """Guard against keys at targets whose records seem warm but are outdated."""

        async def scenario(cluster, nursery):
            control = {"cold_by_target": {"t0": 3.0}}
            coordinator = await started(cluster, nursery, **control)
            await trio.sleep(3)
            coordinator.resign("loss of power")
            for target in cluster.targets:
                target.restart()
                target.listening = target.id == "t0"
            cluster.add_target_record(coordinator, "t0", started_at=2, cold_for=3.0)
            before = sizes(cluster.record())
            await trio.sleep(0.9)
            self.assertEqual(sizes(cluster.record()), before)
            self.assertEqual(cluster.record().owned_by("t0")[0].started_at, 2)

        run_scenario(scenario)


class SwitchTests(unittest.TestCase):
    """Guard against decisions by load after accounts have been configured."""

    def test_accounts_end_placement_by_load(self):
        async def scenario(cluster, nursery):
            control = {"cold_by_target": {"t0": 60.0}}
            coordinator = await started(cluster, nursery, **control)
            await trio.sleep(3)
            usable = {t.id: t for t in coordinator.state.usable_targets(SERVICE)}
            self.assertTrue(coordinator.load.view(usable, recent=True).is_cold("t0"))
            coordinator._places_by_load = lambda: False
            await trio.sleep(1)
            view = coordinator.load.view(usable, recent=True)
            self.assertFalse(view.by_load or view.is_cold("t0") or view.closed)

        run_scenario(scenario)

    def test_hot_keys_from_before_accounts_are_forgotten(self):
        """Guard against a short peak that moves a key that was hot long ago."""

        async def scenario(cluster, nursery):
            coordinator = await started(cluster, nursery)
            await trio.sleep(3)
            hot = LoadView({"t0": 4}, {7: 4.0}, by_load=True)
            coordinator._hot_keys.update(hot, coordinator._clock())
            coordinator._places_by_load = lambda: False
            await trio.sleep(2 * HOT_AFTER)
            found = coordinator._hot_keys.update(hot, coordinator._clock())
            self.assertEqual(found, frozenset())

        run_scenario(scenario)


class CancelledQuestionTests(unittest.TestCase):
    """Guard against a target that is never asked again and stays closed."""

    def test_target_is_asked_again_after_a_claim_that_ended(self):
        async def scenario(cluster, nursery):
            coordinator = await started(cluster, nursery)
            await trio.sleep(3)
            coordinator._answered_processes.clear()
            coordinator._plan(coordinator._clock())
            coordinator.resign("before the questions run")
            cluster.control.asked.clear()
            await trio.sleep(3)
            self.assertEqual(set(cluster.control.asked), {"t0", "t1", "t2"})
            self.assertEqual(list(coordinator.load.closed_targets), [])

        run_scenario(scenario)


class RestartedOwnerTests(unittest.TestCase):
    """Guard against keys given away before their restarted owner has been asked.

    A warm restart of one of four targets moved 37.5% of all keys.
    """

    def restarted(self, check, *, answer_delay=0.01) -> None:
        """Restart t0 warm and call ``check`` with the owners before."""

        async def scenario(cluster, nursery):
            coordinator = await started(cluster, nursery, answer_delay=0.01)
            await trio.sleep(3)
            before = sizes(cluster.record())
            cluster.targets[0].restart()
            cluster.control.answer_delay = answer_delay
            cluster.add_target_record(coordinator, "t0", started_at=2)
            await check(cluster, coordinator, before)

        run_scenario(scenario, targets=4)

    def test_restarted_owner_keeps_its_keys(self):
        async def check(cluster, coordinator, before):
            owners = {item.first: item.target for item in cluster.record().ranges}
            await trio.sleep(3)
            record = cluster.record()
            found = {first: record.owner(first).target for first in owners}
            self.assertEqual(found, owners)
            self.assertEqual(sizes(record), before)
            self.assertTrue(all(i.started_at == 2 for i in record.owned_by("t0")))

        self.restarted(check)

    def test_plan_waits_no_longer_than_a_grant(self):
        """Guard against an owner without an answer that holds up all plans."""

        async def check(cluster, coordinator, before):
            self.assertIn("t0", before)
            await trio.sleep(PLAN_INTERVAL + GRANT_TIMEOUT + 2 * LOOP_INTERVAL)
            # Its keys are moving or have moved.
            is_there = "t0" in sizes(cluster.record())
            self.assertTrue(coordinator._moving or not is_there)

        self.restarted(check, answer_delay=10.0)


class HotKeyOwnerTests(unittest.TestCase):
    """Guard against a key beyond any one target that stays with others, or wanders."""

    KEY = 40_000

    def test_hot_key_moves_once_to_a_fast_target_alone(self):
        async def scenario(cluster, nursery):
            slowdowns = {f"t{n}": (0.7, 0.7, 1.6)[n % 3] for n in range(6)}
            coordinator = await started(cluster, nursery, slowdowns_by_target=slowdowns)
            await trio.sleep(3)
            owners = []
            for number in range(24):
                self.report(coordinator, number, slowdowns, cluster.record())
                await trio.sleep(0.5)
                owners.append(cluster.record().owner(self.KEY).target)
            self.assertEqual(coordinator.hot_keys, {self.KEY})
            self.assertEqual(slowdowns[owners[-1]], 0.7, owners)
            changes = sum(a != b for a, b in zip(owners, owners[1:], strict=False))
            self.assertLessEqual(changes, 1, owners)
            usable = coordinator.state.usable_targets(SERVICE)
            view = coordinator.load.view({t.id: t for t in usable}, recent=True)
            held = map(view.work_of, cluster.record().owned_by(owners[-1]))
            others = sum(held) - view.work_by_key[self.KEY]
            self.assertLess(others, MIN_NEIGHBOUR_LOAD * view.capacity(owners[-1]))

        run_scenario(scenario, targets=6)

    def test_hot_key_stays_at_an_owner_that_it_slows(self):
        """Guard against 9 changes of owner in 60 s, each owner slower with the key."""
        for factor in (1.4, 2.0):
            with self.subTest(factor=factor):
                self.assertLessEqual(self.changes_of_owner(factor), 1)

    def test_hot_key_leaves_an_owner_that_stays_slow(self):
        self.assertGreater(self.changes_of_owner(6.0), 1)

    def changes_of_owner(self, factor: float) -> int:
        """Return how often the key moves in 60 s if it slows its owner by a factor."""
        owners = []

        async def scenario(cluster, nursery):
            slowdowns = {f"t{n}": (0.7, 0.7, 1.6)[n % 3] for n in range(6)}
            coordinator = await started(cluster, nursery, slowdowns_by_target=slowdowns)
            await trio.sleep(3)
            for number in range(120):
                owner = cluster.record().owner(self.KEY).target
                loaded = {**slowdowns, owner: slowdowns[owner] * factor}
                self.report(coordinator, number, loaded, cluster.record())
                await trio.sleep(0.5)
                owners.append(cluster.record().owner(self.KEY).target)

        run_scenario(scenario, targets=6)
        return sum(a != b for a, b in zip(owners, owners[1:], strict=False))

    def report(self, coordinator, number: int, slowdowns, record) -> None:
        """Report 60 requests a second for the hot key, and 40 for all others."""
        keys = [[key + number, 1] for key in range(0, KEY_SPACE, KEY_SPACE // 20)]
        targets = [[t, 8, 8 * 0.2 * s, 8 * 0.2] for t, s in slowdowns.items()]
        report = WorkReport(SERVICE, 0.5, [*keys, [self.KEY, 30]], targets)
        coordinator.load.add_report(report)


class FreshClaimTests(unittest.TestCase):
    """Guard against a second claim just after that of a holder that has restarted.

    After a loss of all power the holder started last and claimed its service again.
    Another instance, which had no heartbeat from it yet, claimed it 0.13 s later and
    then had to wait until the authority of the first had ended.
    """

    def claimed_after(self, by_load: bool) -> float:
        """Return how long after the holder's claim another instance claims."""
        times = []

        async def scenario(cluster, nursery):
            record = RangeRecord(SERVICE).claim("a", "a1")
            await cluster.store.put("ranges", SERVICE, record.to_value(), 0)
            other = cluster.new_coordinator("b", places_by_load=lambda: by_load)
            other.membership.live.append("a")
            other.state.apply("ranges", 1, 1, cluster.store.history[-1:], 0.0)
            nursery.start_soon(other.run)
            await trio.sleep(2.0)
            again = record.claim("a", "a2")
            await cluster.store.put("ranges", SERVICE, again.to_value(), 1)
            other.membership.live.remove("a")
            other.state.apply("ranges", 1, 2, cluster.store.history[-1:], 0.0)
            began_at = trio.current_time()
            with trio.fail_after(5.0):
                while not other.is_coordinator:
                    await trio.sleep(0.05)
            times.append(trio.current_time() - began_at)

        run_scenario(scenario)
        return times[0]

    def test_fresh_claim_is_left_alone_until_its_holder_has_contacted_all(self):
        self.assertLess(self.claimed_after(by_load=False), 0.5)
        self.assertGreaterEqual(self.claimed_after(by_load=True), DISCOVERY_PERIOD)


class ReplacedTargetTests(unittest.TestCase):
    """Guard against the keys of a leaving target that all go to its cold successor."""

    RATE = 60.0  # requests a second, of which four targets run a quarter each

    def replaced(self, by_load: bool) -> float:
        """Return the requests a second for the keys that a cold successor gets."""
        rates = []

        async def scenario(cluster, nursery):
            for target in cluster.targets[4:]:
                target.listening = False
            control = {"cold_by_target": {"t4": 3.0}}
            coordinator = await started(cluster, nursery, by_load=by_load, **control)
            cluster.remove_target_record(coordinator, "t4")
            for number in range(8):
                await trio.sleep(0.5)
                self.report(coordinator, number)
            cluster.targets[4].listening = True
            cluster.add_target_record(coordinator, "t4", cold_for=3.0)
            cluster.add_target_record(coordinator, "t0", leaving=True)
            for number in range(4):
                await trio.sleep(0.5)
                self.report(coordinator, number)
            found = sizes(cluster.record())
            self.assertNotIn("t0", found)
            rates.append(self.RATE * found.get("t4", 0) / KEY_SPACE)

        run_scenario(scenario, targets=5)
        return rates[0]

    def report(self, coordinator, number: int) -> None:
        keys = [[key + number, 1] for key in range(0, KEY_SPACE, KEY_SPACE // 30)]
        targets = [[f"t{n}", 7, 0.7, 0.7] for n in range(4)]
        coordinator.load.add_report(WorkReport(SERVICE, 0.5, keys, targets))

    def test_cold_successor_gets_what_its_warmup_rate_lets_through(self):
        self.assertGreater(self.replaced(by_load=False), 2 * WARMUP_RATE)
        self.assertLessEqual(self.replaced(by_load=True), 1.2 * WARMUP_RATE)


if __name__ == "__main__":
    unittest.main()
