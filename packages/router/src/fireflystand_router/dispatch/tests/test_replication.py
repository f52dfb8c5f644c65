"""Test what instances know, and count as known, in a model of many of them."""

import unittest

import trio

from fireflystand_core.replica import era_of

from ..flow import CONFIRMATION_MARGIN
from ..ports import CONFIGURATION, KINDS, TARGETS, DispatchBounds
from ..replicas import WATCHER_COUNT
from ..state import OUTAGE_AGE
from .replication_model import ReplicationModel, play_model

# Seconds from the acknowledgement until a change is in force.
APPLY_LIMIT = DispatchBounds().configuration_apply
CONFIRMATION_LIMIT = DispatchBounds().api_key_withdrawal - CONFIRMATION_MARGIN
SLOW_STORE_DELAY = 0.1  # seconds of a call
LAPSE_SECONDS = 2.6  # seconds after its last report at which a target's record lapses
CUT_SHARE = 0.35  # of the instances that a partition cuts off
CUT_SECONDS = 5.5
STEP = 0.01  # seconds between two checks


def limits_of_followed_kinds(bounds: DispatchBounds) -> list[tuple[str, float]]:
    """Return the limits for changes of the kinds that every instance follows."""
    limits = bounds.change_limits_by_kind
    return [(kind, limits[kind]) for kind in KINDS if kind in limits]


async def watch_versions(
    model: ReplicationModel, version: int, without: set[str] = frozenset()
) -> tuple[float, set[str]]:
    """Wait until all instances have a version.

    Return the seconds that it took and the false confirmations seen meanwhile.
    """
    began_at = trio.current_time()
    found: set[str] = set()
    with trio.fail_after(60.0):
        while any(i.version < version for i in model.instances if i.id not in without):
            found |= set(model.find_false_confirmations())
            await trio.sleep(STEP)
    return trio.current_time() - began_at, found


class SpreadTests(unittest.TestCase):
    """Guard against changes of the configuration that reach an instance late."""

    def test_lost_pushes_delay_a_change_within_the_limit(self):
        async def scenario(model):
            model.fabric.push_loss = 0.1
            for version in range(2, 52):
                model.configure(version)
                seconds, found = await watch_versions(model, version)
                self.assertLess(seconds, APPLY_LIMIT)
                self.assertEqual(found, set())
                await trio.sleep(model.random.uniform(0.0, 1.5))

        play_model(30, scenario, seed=1)

    def test_change_during_a_partition_reaches_both_sides(self):
        async def scenario(model):
            count = round(CUT_SHARE * len(model.instances))
            cut = {i.id for i in model.random.sample(model.instances, count)}
            model.fabric.cut |= cut
            await trio.sleep(model.random.uniform(0.0, 2.0))
            model.configure(2)
            seconds, _ = await watch_versions(model, 2, without=cut)
            self.assertLess(seconds, APPLY_LIMIT)
            await trio.sleep(CUT_SECONDS)
            model.fabric.heal(cut)
            seconds, _ = await watch_versions(model, 2)
            self.assertLess(seconds, APPLY_LIMIT)

        for seed in range(3):
            with self.subTest(seed=seed):
                play_model(30, scenario, seed=seed)

    def test_change_reaches_instances_without_peers_within_the_limit(self):
        async def scenario(model):
            model.fabric.store_delay = SLOW_STORE_DELAY
            isolated = model.random.sample(model.instances, 10)
            model.fabric.isolated |= {instance.id for instance in isolated}
            for version in range(2, 12):
                await trio.sleep(model.random.uniform(0.0, 3.0))
                model.configure(version)
                seconds, _ = await watch_versions(model, version)
                self.assertLess(seconds, APPLY_LIMIT)

        play_model(30, scenario, seed=1)


class WatcherLossTests(unittest.TestCase):
    """Guard against changes that all watchers miss and no other instance asks for.

    Targets that were leaving got requests for 3.1 s after the store had said so: both
    watchers of their records were cut off from the store.
    """

    def check(
        self, count: int, bounds: DispatchBounds, seed: int, data_centres: int = 1
    ) -> None:
        async def scenario(model):
            for kind, limit in limits_of_followed_kinds(bounds):
                await trio.sleep(model.random.uniform(6.0, 14.0))
                cut = self.cut_watchers(model, kind)
                await trio.sleep(model.random.uniform(0.0, 0.1))
                written = model.store.write(kind, "main", {"version": written_version})
                acknowledged_at = trio.current_time()
                others = [i for i in model.instances if i not in cut]
                while not all(self.has(i, kind, written) for i in others):
                    await trio.sleep(STEP)
                    elapsed = trio.current_time() - acknowledged_at
                    self.assertLess(elapsed, limit, kind)
                for instance in cut:
                    instance.store.without_store = False

        written_version = 2
        play_model(
            count,
            scenario,
            seed=seed,
            bounds=bounds,
            is_uniform=True,
            data_centres=data_centres,
        )

    def cut_watchers(self, model, kind: str) -> list:
        """Cut the instances that watch a kind off from the store."""
        watchers = [i for i in model.instances if i.sync._should_watch(kind)]
        self.assertEqual(len(watchers), WATCHER_COUNT)
        for instance in watchers:
            instance.store.without_store = True
        return watchers

    def has(self, instance, kind: str, version: int) -> bool:
        return instance.state.replicas_by_kind[kind].revision >= version

    def test_changes_that_both_watchers_miss_are_known_in_time(self):
        bounds_by_count = {
            6: DispatchBounds(),
            12: DispatchBounds(),
            82: DispatchBounds(configuration_apply=2.5, target_departure=2.5),
            195: DispatchBounds(configuration_apply=3.0, target_departure=3.0),
        }
        for count, bounds in bounds_by_count.items():
            for seed in range(3 if count < 50 else 1):
                with self.subTest(count=count, seed=seed):
                    self.check(count, bounds, seed)

    def test_data_centres_without_a_watcher_know_changes_in_time(self):
        bounds = DispatchBounds(configuration_apply=2.5, target_departure=2.5)
        self.check(32, bounds, 1, data_centres=4)


class QuietHeartbeatTests(unittest.TestCase):
    """Guard against data centres that pay for confirmations which they need not.

    Heartbeats of all pairs were a third of the bytes between data centres.
    """

    BOUNDS = DispatchBounds(configuration_apply=2.5, target_departure=2.5)

    def test_replicas_stay_confirmed_by_few_heartbeats(self):
        async def scenario(model):
            own = model.instances[-1]
            remote = [i.id for i in model.instances if i.data_centre != own.data_centre]
            for instance in model.instances:
                instance.store.watched_kinds.clear()
            confirmed = 0
            for _ in range(50):
                await trio.sleep(0.1)
                confirmed += sum(map(own.membership.confirms_to, remote))
                for kind, limit in limits_of_followed_kinds(self.BOUNDS):
                    ages = [i.state.confirmation_age(kind) for i in model.instances]
                    self.assertLess(max(ages), 0.84 * limit, kind)
            for kind in KINDS:
                watching = [
                    i.id for i in model.instances if kind in i.store.watched_kinds
                ]
                self.assertLessEqual(len(watching), WATCHER_COUNT, kind)
            self.assertLess(confirmed, 50 * len(remote) / 3)
            # Without fresh confirmations an instance asks all of its peers for them.
            own.state.replicas_by_kind[CONFIGURATION].confirmed_at = float("-inf")
            self.assertTrue(all(map(own.membership.confirms_to, remote)))

        play_model(40, scenario, seed=1, bounds=self.BOUNDS, data_centres=4)


class StoreLoadTests(unittest.TestCase):
    """Guard against reads of the store that grow with the number of instances."""

    def test_instances_at_rest_leave_the_store_to_the_watchers(self):
        """Most instances watched because a long poll confirmed as of its beginning."""

        async def scenario(model):
            for instance in model.instances:
                instance.store.watched_kinds.clear()
            await trio.sleep(20.0)
            for kind in KINDS:
                watching = [
                    i.id for i in model.instances if kind in i.store.watched_kinds
                ]
                self.assertLessEqual(len(watching), WATCHER_COUNT, kind)

        for count, seconds in ((12, 2.0), (82, 2.5)):
            with self.subTest(count=count):
                bounds = DispatchBounds(
                    configuration_apply=seconds, target_departure=seconds
                )
                play_model(count, scenario, seed=1, bounds=bounds)


class OutageTests(unittest.TestCase):
    """Guard against outages that are missed, or seen where there is none."""

    def test_outage_in_which_records_lapse_is_noticed_by_all_instances(self):
        """Records that lapsed meanwhile were taken for targets that had left."""

        async def scenario(model):
            await trio.sleep(model.random.uniform(0.0, 2.0))
            for instance in model.instances:
                instance.store.without_store = True
            await trio.sleep(LAPSE_SECONDS)
            ages = [i.state.confirmation_age(CONFIGURATION) for i in model.instances]
            self.assertGreater(min(ages), OUTAGE_AGE)

        for seed in range(3):
            with self.subTest(seed=seed):
                play_model(30, scenario, seed=seed)

    def test_store_without_answers_is_asked_for_one_kind_only(self):
        """Each instance called for each kind whose confirmation was due."""

        async def scenario(model):
            for instance in model.instances:
                instance.store.without_store = True
            await trio.sleep(4.0)
            for instance in model.instances:
                instance.store.watched_kinds.clear()
            await trio.sleep(4.0)
            for instance in model.instances:
                self.assertLessEqual(instance.store.watched_kinds, {CONFIGURATION})
                instance.store.without_store = False
            await trio.sleep(3.0)
            limit = DispatchBounds().target_departure
            for instance in model.instances:
                self.assertLess(instance.state.confirmation_age(TARGETS), limit)

        play_model(12, scenario, seed=1)

    def test_instances_without_peers_see_no_outage(self):
        async def scenario(model):
            model.fabric.store_delay = SLOW_STORE_DELAY
            isolated = model.random.sample(model.instances, 10)
            model.fabric.isolated |= {instance.id for instance in isolated}
            with trio.move_on_after(10.0):
                while True:
                    ages = [i.state.confirmation_age(CONFIGURATION) for i in isolated]
                    self.assertLess(max(ages), OUTAGE_AGE)
                    await trio.sleep(STEP)

        for seed in range(3):
            with self.subTest(seed=seed):
                play_model(30, scenario, seed=seed)


class RestorationTests(unittest.TestCase):
    """Guard against instances that differ for long after the store was restored."""

    LOST_WRITES = 200
    CALLS_PER_SECOND = 40  # of all instances together

    async def restore(self, model: ReplicationModel) -> None:
        """Lose some seconds of writes, among them those of some instances' records."""
        copy = model.store.copy()
        model.configure(2)
        for number in range(self.LOST_WRITES):
            model.store.write(TARGETS, f"t{number % 20}", {"n": number})
        await trio.sleep(model.random.uniform(0.5, 3.0))
        for instance in model.instances:
            instance.store.without_store = True
        await trio.sleep(model.random.uniform(0.2, 2.0))
        for instance in model.instances:
            instance.store.without_store = False
        model.store.restore(copy)

    def is_current(self, instance, model: ReplicationModel) -> bool:
        """Tell whether an instance has what the restored store has, of each kind."""
        return all(
            era_of(replica.revision) == era_of(model.store.revision)
            and set(replica.by_name) == set(model.store.objects.get(kind, {}))
            for kind, replica in instance.state.replicas_by_kind.items()
        )

    async def watch_current(self, model: ReplicationModel) -> float:
        """Wait until all instances are current; return the seconds that it took."""
        began_at = trio.current_time()
        with trio.fail_after(60.0):
            while not all(self.is_current(i, model) for i in model.instances):
                await trio.sleep(STEP)
        return trio.current_time() - began_at

    def test_change_after_the_restoration_reaches_all_instances(self):
        async def scenario(model):
            model.fabric.push_loss = 0.1
            await self.restore(model)
            await trio.sleep(model.random.uniform(0.0, 2.0))
            calls = model.store.calls.copy()
            began_at = trio.current_time()
            for version in (2, 3):
                model.configure(version)
            seconds, found = await watch_versions(model, 3)
            self.assertLess(seconds, APPLY_LIMIT)
            self.assertEqual(found, set())
            await self.watch_current(model)
            await trio.sleep(5.0)
            seconds = trio.current_time() - began_at
            made = model.store.calls - calls
            self.assertLess(
                made["list"] + made["watch"], self.CALLS_PER_SECOND * seconds
            )

        for seed in range(3):
            with self.subTest(seed=seed):
                play_model(30, scenario, seed=seed)

    def test_instances_that_were_cut_off_bring_nothing_back(self):
        async def scenario(model):
            count = round(CUT_SHARE * len(model.instances))
            cut = {i.id for i in model.random.sample(model.instances, count)}
            model.fabric.cut |= cut
            await trio.sleep(1.0)
            await self.restore(model)
            model.configure(3)
            seconds, _ = await watch_versions(model, 3, without=cut)
            self.assertLess(seconds, APPLY_LIMIT)
            await trio.sleep(CUT_SECONDS)
            model.fabric.heal(cut)
            seconds, _ = await watch_versions(model, 3)
            self.assertLess(seconds, APPLY_LIMIT)
            await self.watch_current(model)
            await trio.sleep(5.0)
            self.assertTrue(all(self.is_current(i, model) for i in model.instances))
            self.assertEqual(model.find_false_confirmations(), [])

        for seed in range(3):
            with self.subTest(seed=seed):
                play_model(30, scenario, seed=seed)


class ConfirmationTests(unittest.TestCase):
    """Guard against confirmations that are too recent, and against missing ones."""

    def test_instance_without_peers_is_confirmed_by_the_store_in_time(self):
        """Callers were told that their API keys are not confirmed."""

        async def scenario(model):
            model.fabric.store_delay = SLOW_STORE_DELAY
            isolated = model.random.sample(model.instances, 10)
            model.fabric.isolated |= {instance.id for instance in isolated}
            oldest = 0.0
            with trio.move_on_after(10.0):
                while True:
                    ages = [i.state.confirmation_age(CONFIGURATION) for i in isolated]
                    oldest = max(oldest, *ages)
                    await trio.sleep(STEP)
            self.assertLess(oldest, CONFIRMATION_LIMIT)

        for seed in range(3):
            with self.subTest(seed=seed):
                play_model(30, scenario, seed=seed)

    def test_heartbeats_held_up_by_a_partition_confirm_nothing_newer(self):
        """Withdrawn API keys were served after a partition had healed."""

        async def scenario(model):
            count = round(CUT_SHARE * len(model.instances))
            cut = {i.id for i in model.random.sample(model.instances, count)}
            model.fabric.cut |= cut
            await trio.sleep(1.0)
            model.configure(2)
            await trio.sleep(CUT_SECONDS)
            model.fabric.heal(cut)
            _, found = await watch_versions(model, 2)
            self.assertEqual(found, set())

        for seed in range(3):
            with self.subTest(seed=seed):
                play_model(30, scenario, seed=seed)


if __name__ == "__main__":
    unittest.main()
