"""Test quota across instances."""

import unittest

import trio

from fireflystand_core.accounts import Refused

from .limits_support import Authority, run_world


class QuotaTests(unittest.TestCase):
    """Guard against exceeding a rate or refusing within it when parts fail."""

    async def coordinate(self, world, name, epoch=1, state=None):
        authority = Authority()
        world.instances[name].host.start_group(0, authority, state)
        await world.claim(name, epoch)
        views = [i.view for i in world.instances.values()]
        await world.until(lambda: all(self.knows(view, name) for view in views))
        return authority

    def knows(self, view, name):
        claim = view.claims_by_group.get(("accounts", 0))
        return claim is not None and claim.instance == name

    async def call(self, world, names, seconds, rate, limit=5.0):
        """Send calls in turn and return how many were admitted and refused."""
        admitted, refused = [], []

        async def one(instance):
            verdict = await instance.quotas.take("gent", trio.current_time() + limit)
            (admitted if verdict is True else refused).append(trio.current_time())

        async with trio.open_nursery() as nursery:
            for number in range(int(seconds * rate)):
                instance = world.instances.get(names[number % len(names)])
                if instance is not None:
                    nursery.start_soon(one, instance)
                await trio.sleep(1 / rate)
        return admitted, refused

    def assert_bounded(self, times, rate=100.0, burst=20.0):
        level = 0.0
        last = 0.0
        for time in sorted(times):
            level = max(0.0, level - (time - last) * rate) + 1
            last = time
            self.assertLessEqual(level, burst + 1e-6)

    def test_traffic_within_the_rate_is_never_refused(self):
        async def scenario(world):
            await self.coordinate(world, "i0")
            await trio.sleep(2)
            for names in (["i1"], ["i1", "i2", "i3", "i4"]):
                admitted, refused = await self.call(world, names, 5, 90)
                self.assertEqual((len(admitted), refused), (450, []))

        run_world(scenario)

    def test_eight_times_the_rate_is_held_to_the_rate(self):
        async def scenario(world):
            await self.coordinate(world, "i0")
            names = list(world.instances)
            admitted, refused = await self.call(world, names, 4, 800, limit=0.5)
            self.assert_bounded(admitted)
            self.assertGreater(len(admitted), 250)
            self.assertGreater(len(refused), 2000)

        run_world(scenario)

    def lose_coordinator(self, lose, hinder=None):
        async def scenario(world):
            authority = await self.coordinate(world, "i0")
            await trio.sleep(2)
            results = []

            async def callers():
                results.append(await self.call(world, ["i1", "i2"], 6, 80))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(callers)
                await trio.sleep(1)
                lose(world, authority)
                await trio.sleep(0.8)
                await self.coordinate(world, "i3", epoch=2)
            [(admitted, refused)] = results
            self.assert_bounded(admitted)
            self.assertEqual((len(admitted), refused), (480, []))

        run_world(scenario)

    def test_killed_coordinator_is_replaced_without_a_refusal(self):
        self.lose_coordinator(lambda world, authority: world.kill("i0"))

    def test_paused_coordinator_lends_nothing_when_it_returns(self):
        async def scenario(world):
            authority = await self.coordinate(world, "i0")
            await trio.sleep(2)
            authority.held = False
            instance = world.instances["i1"]
            verdict = await instance.quotas.take("gent", trio.current_time() + 1)
            self.assertIsInstance(verdict, Refused)

        run_world(scenario)
        self.lose_coordinator(lambda world, authority: setattr(authority, "held", 0))

    def test_cut_coordinator_is_replaced_without_a_refusal(self):
        def cut(world, authority):
            world.cut_from_peers.add("i0")
            authority.held = False

        async def known(world, name, epoch=1, state=None):
            authority = Authority()
            world.instances[name].host.start_group(0, authority, state)
            await world.claim(name, epoch)
            await trio.sleep(0.2)
            return authority

        self.coordinate = known
        self.lose_coordinator(cut)

    def test_handover_needs_no_pause(self):
        async def scenario(world):
            await self.coordinate(world, "i0")
            await trio.sleep(2)
            state = world.instances["i0"].host.stop_group(0)
            await self.coordinate(world, "i3", epoch=2, state=state)
            start = trio.current_time()
            verdict = await world.instances["i1"].quotas.take("gent", start + 5)
            self.assertIs(verdict, True)
            self.assertLess(trio.current_time() - start, 0.1)

        run_world(scenario)

    def test_takeover_without_a_state_serves_within_half_a_second(self):
        async def scenario(world):
            authority = await self.coordinate(world, "i0")
            await trio.sleep(2)
            authority.held = False
            start = trio.current_time()
            await self.coordinate(world, "i3", epoch=2)
            verdict = await world.instances["i1"].quotas.take("gent", start + 5)
            self.assertIs(verdict, True)
            self.assertLess(trio.current_time() - start, 0.5)

        run_world(scenario)

    def test_new_rate_applies_while_running(self):
        async def scenario(world):
            await self.coordinate(world, "i0")
            await world.write_deployment(10.0, 2.0, number=2)
            views = [i.view for i in world.instances.values()]
            await world.until(lambda: all(v.generation == 2 for v in views))
            await trio.sleep(2)
            admitted, _ = await self.call(world, ["i1", "i2"], 4, 80, limit=0.5)
            self.assert_bounded(admitted, 10.0, 2.0)
            self.assertGreater(len(admitted), 30)

        run_world(scenario)


if __name__ == "__main__":
    unittest.main()
