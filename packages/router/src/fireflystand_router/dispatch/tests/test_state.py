"""Test what an instance believes of targets while the store comes and goes."""

import unittest

import trio

from fireflystand_core.replica import ObjectChange
from fireflystand_core.traffic import EntryLimits, RoutingTable, TargetRecord

from ..ports import CONFIGURATION, TARGETS
from ..state import OUTAGE_AGE, RETURN_PERIOD, RoutingState


class LapsedEntryTests(unittest.TestCase):
    """Guard against targets that are given up because the store was away."""

    def play(self, scenario) -> None:
        async def main():
            self.now = 100.0
            state = RoutingState(
                lambda value: RoutingTable(1, [], [], [], EntryLimits()),
                lambda change: change.value,
                lambda: self.now,
            )
            self.confirm(state)
            record = TargetRecord("t", "s", "10.0.0.1:1", "x", 3)
            state.apply(TARGETS, 0, 1, [ObjectChange("t", 1, record)], self.now)
            scenario(state)

        trio.run(main)

    def confirm(self, state: RoutingState) -> None:
        """Let the store confirm the configuration now."""
        change = ObjectChange("main", 1, {})
        state.apply(CONFIGURATION, 0, 1, [change], self.now)

    def end_entry(self, state: RoutingState) -> None:
        state.apply(TARGETS, 1, 2, [ObjectChange("t", 2, None)], self.now)

    def test_entry_that_lapses_in_an_outage_is_kept_until_it_could_be_back(self):
        def scenario(state):
            self.now += OUTAGE_AGE + 0.1
            self.end_entry(state)
            self.assertIsNotNone(state.usable("t"))
            self.confirm(state)
            state.expire()
            self.assertIsNotNone(state.usable("t"))
            self.now += RETURN_PERIOD + 0.1
            self.confirm(state)
            state.expire()
            self.assertIsNone(state.usable("t"))

        self.play(scenario)

    def test_entry_that_returns_with_the_store_stays(self):
        def scenario(state):
            self.now += OUTAGE_AGE + 0.1
            self.end_entry(state)
            self.confirm(state)
            record = TargetRecord("t", "s", "10.0.0.1:1", "x", 3)
            state.apply(TARGETS, 2, 3, [ObjectChange("t", 3, record)], self.now)
            self.now += RETURN_PERIOD + 0.1
            self.confirm(state)
            state.expire()
            self.assertIsNotNone(state.usable("t"))

        self.play(scenario)

    def test_entry_that_ends_with_the_store_in_reach_is_gone_at_once(self):
        def scenario(state):
            self.end_entry(state)
            self.assertIsNone(state.usable("t"))

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
