"""Compare placement policies on imbalance and churn."""

from collections import Counter

from fireflystand_core.sharding import (
    Placement,
    home_groups,
    placement_policies_by_name,
)

__all__ = ["main"]

SHARDS = 512
GROUPS = 4
SITES = ((35, 4), (30, 3))  # targets, data centres


def place(policy, targets, homes, owners) -> dict[int, str]:
    """Return the owners of all shards of all groups."""
    result = {}
    for group in range(GROUPS):
        shards = tuple(range(group, SHARDS, GROUPS))
        weights = {t: 1.0 for t in targets if homes[t] == group}
        result |= policy(Placement("winkel", shards, weights, owners))
    return result


def churn(before, after, targets) -> tuple[int, int]:
    """Return moved shards and how many had to move at least."""
    moved = sum(before[s] != after[s] for s in before)
    kept = set(before.values())
    lost = sum(before[s] not in targets for s in before)
    joined = [t for t in targets if t not in kept]
    gained = sum(after[s] in joined for s in after)
    return moved, max(lost, gained)


def main() -> None:
    """Print one row for each site, event and policy."""
    print("| targets | event | policy | imbalance | moved | minimum |")
    print("|---|---|---|---|---|---|")
    for count, centres in SITES:
        names = [f"t{i:02}" for i in range(count + 1)]
        homes = home_groups("winkel", names, GROUPS)
        base = names[:-1]
        events = {
            "join": names,
            "loss": base[1:],
            "data centre leaves": [t for i, t in enumerate(base) if i % centres],
        }
        for event, targets in events.items():
            for name, policy in placement_policies_by_name.items():
                before = place(policy, base, homes, {})
                after = place(policy, targets, homes, before)
                loads = Counter(after.values())
                imbalance = max(loads.values()) * len(targets) / SHARDS
                moved, least = churn(before, after, targets)
                print(
                    f"| {count} in {centres} | {event} | {name} "
                    f"| {imbalance:.2f} | {moved} | {least} |"
                )


if __name__ == "__main__":
    main()
