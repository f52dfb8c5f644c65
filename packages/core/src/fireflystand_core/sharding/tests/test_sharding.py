"""Test the mapping of keys to shards, groups and targets."""

import unittest
from collections import Counter

from fireflystand_core.sharding import (
    Placement,
    choose_witnesses,
    format_shards,
    home_groups,
    key_hash,
    parse_shards,
    placement_policies_by_name,
    shard_of_key,
)


class ShardingTests(unittest.TestCase):
    """Guard against instances that map one key to different shards."""

    def test_hash_of_a_key_never_changes(self):
        self.assertEqual(shard_of_key(key_hash("winkel", "sku-1"), 512), 265)

    def test_text_form_round_trips(self):
        shards = parse_shards("0-31,64")
        self.assertEqual(len(shards), 33)
        self.assertEqual(format_shards(shards), "0-31,64")
        with self.assertRaises(ValueError):
            parse_shards("5-2")

    def test_home_groups_are_equal_parts(self):
        homes = home_groups("winkel", [f"t{i}" for i in range(35)], 4)
        self.assertLessEqual(max(Counter(homes.values()).values()), 9)

    def test_no_data_centre_holds_a_majority_of_witnesses(self):
        centres = {f"i{i}": f"dc{i % 3}" for i in range(12)}
        chosen = choose_witnesses("winkel", 0, centres)
        self.assertLessEqual(max(Counter(centres[i] for i in chosen).values()), 2)


class PlacementTests(unittest.TestCase):
    """Guard against lost shards and needless moves."""

    def test_every_policy_places_every_shard(self):
        weights = {f"t{i}": 1.0 for i in range(9)}
        problem = Placement("winkel", tuple(range(128)), weights)
        for name, policy in placement_policies_by_name.items():
            with self.subTest(name):
                self.assertEqual(set(policy(problem)), set(range(128)))

    def test_minimal_move_keeps_the_owners_of_remaining_targets(self):
        policy = placement_policies_by_name["minimal_move"]
        weights = {f"t{i}": 1.0 for i in range(9)}
        before = policy(Placement("winkel", tuple(range(128)), weights))
        del weights["t3"]
        after = policy(Placement("winkel", tuple(range(128)), weights, before))
        moved = [s for s in before if before[s] != after[s]]
        self.assertTrue(all(before[s] == "t3" for s in moved))

    def test_minimal_move_follows_load_and_weight(self):
        policy = placement_policies_by_name["minimal_move"]
        problem = Placement("s", (0, 1, 2), {"a": 1.0, "b": 2.0}, {}, {0: 2.0})
        owners = policy(problem)
        loads = Counter()
        for shard, target in owners.items():
            loads[target] += problem.load(shard)
        self.assertGreater(loads["b"], loads["a"])


if __name__ == "__main__":
    unittest.main()
