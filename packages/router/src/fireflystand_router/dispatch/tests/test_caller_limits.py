"""Test which limits hold for callers after a change of the configuration."""

import unittest

from fireflystand_core.replica import ObjectChange
from fireflystand_core.traffic import EntryLimits, RoutingTable

from ...entry import CallerOptions
from ..caller_limits import CallerLimits
from ..ports import CONFIGURATION
from ..state import RoutingState
from .node_support import Caller, Fleet, play_with_targets

APPLY = 2.0  # seconds from a change until all instances act on it
FIELD = 12_000 * "x"


class IdleTimeoutTests(unittest.TestCase):
    """Guard against resets of callers that still go by an earlier idle timeout."""

    def setUp(self):
        self.now = 10.0
        self.limits_by_version: dict[int, EntryLimits] = {}
        self.state = RoutingState(self.read_table, lambda change: None)
        self.limits = CallerLimits(
            self.state, CallerOptions(), APPLY, clock=lambda: self.now
        )

    def read_table(self, version: int) -> RoutingTable:
        return RoutingTable(version, [], [], (), self.limits_by_version[version])

    def apply(self, version: int, **limits) -> None:
        """Put a version of the configuration in force."""
        self.limits_by_version[version] = EntryLimits(**limits)
        change = ObjectChange("main", version, version)
        self.state.replace(CONFIGURATION, version, [change], 0.0)

    def idle_timeout(self) -> float:
        return self.limits.options().idle_timeout

    def test_limits_of_the_version_in_force(self):
        self.apply(1, header_bytes=100, header_timeout=3.0, idle_timeout=15.0)
        options = self.limits.options()
        self.assertEqual(options.header_limit, 100)
        self.assertEqual(options.header_timeout, 3.0)
        self.assertEqual(options.idle_timeout, 15.0)

    def test_lowered_timeout_holds_once_all_instances_act_on_it(self):
        self.apply(1, idle_timeout=15.0)
        self.apply(2, idle_timeout=5.0)
        self.assertEqual(self.idle_timeout(), 15.0)
        self.now += APPLY
        self.assertEqual(self.idle_timeout(), 5.0)

    def test_raised_timeout_holds_at_once(self):
        self.apply(1, idle_timeout=5.0)
        self.apply(2, idle_timeout=15.0)
        self.assertEqual(self.idle_timeout(), 15.0)

    def test_timeout_that_is_lowered_twice(self):
        self.apply(1, idle_timeout=15.0)
        self.apply(2, idle_timeout=10.0)
        self.now += APPLY / 2
        self.apply(3, idle_timeout=5.0)
        self.assertEqual(self.idle_timeout(), 15.0)
        self.now += APPLY / 2
        self.assertEqual(self.idle_timeout(), 10.0)
        self.now += APPLY / 2
        self.assertEqual(self.idle_timeout(), 5.0)


class HeaderLimitTests(unittest.TestCase):
    """Guard against 431 by an older version on kept connections (review/15)."""

    def test_raised_limit_holds_on_a_kept_connection(self):
        async def scenario(fleet: Fleet):
            fleet.configure(2, limits=EntryLimits(header_bytes=8192))
            await fleet.settle()
            caller = await Caller.connect(fleet.nodes[0])
            self.assertEqual((await caller.request("/p/x"))[0], 200)
            fleet.configure(3, limits=EntryLimits(header_bytes=16384))
            await fleet.settle()
            status, _ = await caller.request("/p/x", x_basket=FIELD)
            self.assertEqual(status, 200)

        play_with_targets(scenario)


if __name__ == "__main__":
    unittest.main()
