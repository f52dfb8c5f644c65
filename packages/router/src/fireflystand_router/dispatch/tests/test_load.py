"""Simulate loads to test the estimates by which keys are placed."""

import unittest
from random import Random

from fireflystand_core.messages import WorkReport
from fireflystand_core.ranges import RangeRecord, initial_moves, rebalancing_moves
from fireflystand_core.traffic import TargetRecord

from ..load import ServiceLoad
from ..ranges import HIGH_LOAD_THRESHOLD, MAX_REBALANCE_MOVES

REPORT_INTERVAL = 0.5  # seconds
SLOTS = 6
MEAN_WORK = 0.09  # seconds of a request on a target of mean speed
HOT_KEY = 30_000


class LoadSimulation:
    """Simulate targets with noisy neighbours and the work reports of instances."""

    def __init__(self, speeds: list[float], seed: int) -> None:
        self.random = Random(seed)
        self.speeds_by_id = {f"t{n}": speed for n, speed in enumerate(speeds)}
        self.targets_by_id = {
            target: TargetRecord(target, "s", "10.0.0.1:1", "", SLOTS)
            for target in self.speeds_by_id
        }
        self.hidden_slowdown_by_id: dict[str, float] = {}  # not reported
        self.load = ServiceLoad()
        self.record = RangeRecord("s")
        for move in initial_moves(self.record, self.view(recent=False)):
            self.apply(move)

    def view(self, *, recent: bool):
        return self.load.view(self.targets_by_id, recent=recent)

    def apply(self, move) -> None:
        self.record = self.record.assign(move.first, move.last, move.destination)

    def report(self, rate: float, hot_rate: float, now: float) -> None:
        """Report half a second of requests for random keys and for the hot key."""
        self.load.decay(now)
        counts: dict[int, int] = {}
        durations_by_target: dict[str, list[float]] = {}
        for _ in range(round(rate * REPORT_INTERVAL)):
            key = self.random.randrange(65536)
            counts[key] = counts.get(key, 0) + 1
        if hot_rate:
            counts[HOT_KEY] = round(hot_rate * REPORT_INTERVAL)
        noisy = {t: self.random.random() < 0.2 for t in self.speeds_by_id}
        for key, count in counts.items():
            target = self.record.owner(key).target
            durations = durations_by_target.setdefault(target, [])
            slowdown = self.hidden_slowdown_by_id.get(target, 1.0)
            slowdown *= (3.0 if noisy[target] else 1.0) / self.speeds_by_id[target]
            for _ in range(count):
                work = MEAN_WORK * self.random.lognormvariate(-0.125, 0.5) * slowdown
                if sum(durations) < SLOTS * REPORT_INTERVAL:
                    durations.append(work)
        targets = [
            [t, len(d), sum(d), sum(d) * self.speeds_by_id[t] / (3 if noisy[t] else 1)]
            for t, d in durations_by_target.items()
            if d
        ]
        self.load.add_report(
            WorkReport("s", REPORT_INTERVAL, list(counts.items()), targets)
        )


class TargetSpeedTests(unittest.TestCase):
    """Guard against moves of keys because random variation made a target look slow."""

    def test_equal_targets_look_equal(self):
        simulation = LoadSimulation([1.0] * 8, seed=1)
        for step in range(60):
            simulation.report(rate=120.0, hot_rate=0.0, now=step * REPORT_INTERVAL)
            if step >= 20:
                speeds = simulation.view(recent=False).speeds_by_target.values()
                self.assertLess(max(speeds) / min(speeds), 2.0, f"step {step}")

    def test_slow_target_shows_within_seconds(self):
        simulation = LoadSimulation([1.0] * 8, seed=2)
        for step in range(30):
            if step == 20:
                simulation.hidden_slowdown_by_id["t0"] = 5.0
            simulation.report(rate=120.0, hot_rate=0.0, now=step * REPORT_INTERVAL)
        self.assertLess(simulation.load.speed("t0"), 0.5)


class HotKeyTests(unittest.TestCase):
    """Guard against a key with more load than any target takes that keeps moving."""

    def test_hot_key_settles_on_a_fast_target(self):
        for seed in range(5):
            simulation = LoadSimulation([0.5, 1.0, 1.0, 1.5] * 4, seed)
            owners = []
            for step in range(60):
                now = step * REPORT_INTERVAL
                simulation.report(
                    rate=250.0, hot_rate=115.0 if step >= 20 else 0, now=now
                )
                self._level(simulation, step)
                owners.append(simulation.record.owner(HOT_KEY).target)
            moves = sum(a != b for a, b in zip(owners[20:], owners[21:], strict=False))
            self.assertLessEqual(moves, 2, f"seed {seed}: {owners[20:]}")
            self.assertEqual(simulation.speeds_by_id[owners[-1]], 1.5, f"seed {seed}")

    def _level(self, simulation: LoadSimulation, step: int) -> None:
        recent = simulation.view(recent=True)
        moves = rebalancing_moves(
            simulation.record, recent, min_load=HIGH_LOAD_THRESHOLD
        )
        if not moves and step % 3 == 0:
            usual = simulation.view(recent=False)
            moves = rebalancing_moves(simulation.record, usual, MAX_REBALANCE_MOVES)
        for move in moves:
            simulation.apply(move)
