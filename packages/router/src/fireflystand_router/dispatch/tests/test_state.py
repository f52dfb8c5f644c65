"""Test which targets an instance keeps during and after an outage of the store."""

import unittest

import trio

from fireflystand_core.replica import ObjectChange
from fireflystand_core.traffic import EntryLimits, RoutingTable, TargetRecord

from ..ports import CONFIGURATION, TARGETS
from ..state import OUTAGE_AGE, RETURN_PERIOD, RoutingState


class LapsedEntryTests(unittest.TestCase):
    """Guard against targets that are removed because the store was unreachable."""

    def run_scenario(self, scenario) -> None:
        async def main():
            self.now = 100.0
            state = RoutingState(
                lambda value: RoutingTable(1, [], [], [], EntryLimits()),
                lambda change: change.value,
                lambda: self.now,
            )
            self.confirm_configuration(state)
            record = TargetRecord("t", "s", "10.0.0.1:1", "x", 3)
            state.apply(TARGETS, 0, 1, [ObjectChange("t", 1, record)], self.now)
            scenario(state)

        trio.run(main)

    def confirm_configuration(self, state: RoutingState) -> None:
        """Apply the configuration as confirmed by the store now."""
        change = ObjectChange("main", 1, {})
        state.apply(CONFIGURATION, 0, 1, [change], self.now)

    def delete_target_record(self, state: RoutingState) -> None:
        state.apply(TARGETS, 1, 2, [ObjectChange("t", 2, None)], self.now)

    def test_entry_that_lapses_in_an_outage_is_kept_until_it_could_be_back(self):
        def scenario(state):
            self.now += OUTAGE_AGE + 0.1
            self.delete_target_record(state)
            self.assertIsNotNone(state.usable_target("t"))
            self.confirm_configuration(state)
            state.expire()
            self.assertIsNotNone(state.usable_target("t"))
            self.now += RETURN_PERIOD + 0.1
            self.confirm_configuration(state)
            state.expire()
            self.assertIsNone(state.usable_target("t"))

        self.run_scenario(scenario)

    def test_entry_that_returns_with_the_store_stays(self):
        def scenario(state):
            self.now += OUTAGE_AGE + 0.1
            self.delete_target_record(state)
            self.confirm_configuration(state)
            record = TargetRecord("t", "s", "10.0.0.1:1", "x", 3)
            state.apply(TARGETS, 2, 3, [ObjectChange("t", 3, record)], self.now)
            self.now += RETURN_PERIOD + 0.1
            self.confirm_configuration(state)
            state.expire()
            self.assertIsNotNone(state.usable_target("t"))

        self.run_scenario(scenario)

    def test_entry_that_ends_with_the_store_in_reach_is_gone_at_once(self):
        def scenario(state):
            self.delete_target_record(state)
            self.assertIsNone(state.usable_target("t"))

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
