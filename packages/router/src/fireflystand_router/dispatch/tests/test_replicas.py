"""Test the exchange of copies between instances."""

import unittest

import trio

from fireflystand_core.ranges import RangeRecord

from ..ports import RANGES
from .node_support import Fleet, eventually


class RecordPatchTests(unittest.TestCase):
    """Guard against whole records for each change, and against missed changes.

    On a link of 10 Mbit/s a record of 171 ranges for 81 peers took half a second,
    in which grants to healthy targets timed out.
    """

    def play(self, scenario) -> None:
        async def main():
            async with trio.open_nursery() as nursery:
                fleet = Fleet(nursery)
                fleet.configure()
                await fleet.add_target("keyed")
                first = await fleet.add_node()
                second = await fleet.add_node()
                await fleet.settle()
                await scenario(first, second)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def share(self, node, before, record, version) -> None:
        """Write a change at one instance as its coordinator would."""
        change = type(before)("keyed", version, record.to_value())
        node.state.apply(RANGES, version, version, [change], 0.0)
        node.keeper.share_record(change, before)

    def test_change_reaches_the_other_instance(self):
        async def scenario(first, second):
            before = first.state.replicas_by_kind[RANGES].by_name["keyed"]
            record = RangeRecord.from_value(before.value).assign(7, 9, "t9", 1)
            self.share(first, before, record, before.version + 1)
            await eventually(lambda: second.state.owner("keyed", 8).target == "t9")
            self.assertEqual(second.state.records_by_service["keyed"], record)

        self.play(scenario)

    def test_instance_that_missed_a_change_asks_for_the_record(self):
        async def scenario(first, second):
            before = first.state.replicas_by_kind[RANGES].by_name["keyed"]
            record = RangeRecord.from_value(before.value).assign(7, 9, "t9", 1)
            missed = type(before)("keyed", before.version + 1, record.to_value())
            first.state.apply(RANGES, missed.version, missed.version, [missed], 0.0)
            record = record.assign(20, 30, "t8", 1)
            self.share(first, missed, record, missed.version + 1)
            await eventually(lambda: second.state.owner("keyed", 25).target == "t8")
            self.assertEqual(second.state.records_by_service["keyed"], record)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
