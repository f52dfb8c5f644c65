"""Test how all instances together keep the rates of client accounts."""

import unittest

from .rate_model import ACCOUNTS, FleetModel, play_model

SMALL, USUAL = 12, 82  # instances
SETTLED = 6.0  # seconds at the end of a scenario, long after the last change
LEAST_SHARE = 0.5  # of the rate, then; parts of requests are rounded by chance


class DividedFleetTests(unittest.TestCase):
    """Guard against accounts that get their rate from several instances at once.

    82 instances, divided in two and whole again, granted an account with a rate and a
    burst of 20 up to 206 requests in 5 s, where operators allow 152. Others granted an
    account of a rate of 3 nothing while they were apart.
    """

    def check(self, count: int, scenario) -> None:
        for account, check in zip(ACCOUNTS, play_model(count, scenario), strict=True):
            with self.subTest(account=account.name):
                self.assertLessEqual(check.most(), check.allowed())
                least = LEAST_SHARE * account.rate
                self.assertGreaterEqual(check.last_rate(SETTLED), least)

    def test_fleet_that_is_divided_and_whole_again(self):
        async def scenario(model: FleetModel) -> None:
            await model.run(8)
            for parts in (2, 1, 5, 1):
                model.parts = parts
                await model.run(15)

        self.check(SMALL, scenario)
        self.check(USUAL, scenario)

    def test_instances_that_are_all_apart(self):
        async def scenario(model: FleetModel) -> None:
            await model.run(8)
            for parts in (model.count, 1, model.count):
                model.parts = parts
                await model.run(15)

        self.check(SMALL, scenario)
        self.check(USUAL, scenario)

    def test_requests_after_a_calm_time_apart(self):
        async def scenario(model: FleetModel) -> None:
            model.parts = model.count
            await model.run(20, calm=True)
            await model.run(10)

        self.check(SMALL, scenario)
        self.check(USUAL, scenario)

    def test_parts_that_change_before_all_have_noticed(self):
        async def scenario(model: FleetModel) -> None:
            await model.run(8)
            for _ in range(5):
                model.parts = 2
                await model.run(3)
                model.parts = 1
                await model.run(2)
            await model.run(15)

        self.check(SMALL, scenario)
        self.check(USUAL, scenario)

    def test_responsible_instances_that_freeze_and_return(self):
        async def scenario(model: FleetModel) -> None:
            await model.run(8)
            lost = {model.responsible(account) for account in ACCOUNTS}
            for _ in range(2):
                model.frozen = lost
                await model.run(8)
                model.frozen = set()
                await model.run(4)
            await model.run(14)

        self.check(SMALL, scenario)
        self.check(USUAL, scenario)

    def test_responsible_instances_that_are_replaced(self):
        async def scenario(model: FleetModel) -> None:
            await model.run(8)
            lost = {model.responsible(account) for account in ACCOUNTS}
            for _ in range(2):
                for number in lost:
                    model.kill(number)
                await model.run(2)
                for number in lost:
                    model.start_again(number)
                await model.run(14)

        self.check(SMALL, scenario)
        self.check(USUAL, scenario)


if __name__ == "__main__":
    unittest.main()
