"""Test which targets an instance keeps during and after an outage of the store."""

import unittest

import trio

from fireflystand_core.replica import ObjectChange, make_revision
from fireflystand_core.traffic import EntryLimits, RoutingTable, TargetRecord

from ..ports import CONFIGURATION, INSTANCES, TARGETS
from ..state import OUTAGE_AGE, RETURN_PERIOD, RoutingState


class LaterProcessTests(unittest.TestCase):
    """Guard against an earlier process of an instance that is taken for a later one."""

    def has_other_process(
        self, registered_at: int, written_at: int, incarnation: object = "a1"
    ) -> bool:
        """Tell whether "a2" is followed by the process that is registered."""
        state = RoutingState(lambda value: None, lambda change: None)
        value = {"incarnation": incarnation, "address": "", "data_centre": "x"}
        state.replace(
            INSTANCES, registered_at, [ObjectChange("a", registered_at, value)], 0.0
        )
        return state.has_other_process_since(written_at, "a", "a2")

    def test_registration_before_the_write_is_of_an_earlier_process(self):
        self.assertFalse(self.has_other_process(40, written_at=50))
        self.assertTrue(self.has_other_process(60, written_at=50))

    def test_registration_that_cannot_be_read_tells_nothing(self):
        self.assertFalse(self.has_other_process(60, 50, incarnation=7))
        self.assertFalse(self.has_other_process(60, 50, incarnation="a2"))

    def test_versions_of_a_restored_store_tell_nothing(self):
        later = make_revision(1, 40)
        self.assertFalse(self.has_other_process(later, written_at=50))
        self.assertFalse(self.has_other_process(later, make_revision(1, 0)))
        self.assertTrue(self.has_other_process(later, make_revision(1, 30)))


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
