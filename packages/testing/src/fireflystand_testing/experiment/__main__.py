"""Play load patterns and print what callers got."""

import fire

from .loads import loads_by_name
from .model import ClassResult, play, policy_by_name


def main(load: str = "", seeds: int = 5, policy: str = "") -> None:
    """Print the mean results of a load pattern, or of all, over some seeds.

    ``policy`` is ``adaptive``, or names of single decisions joined by plus signs.
    """
    names = [load] if load else list(loads_by_name)
    chosen = policy_by_name(policy)
    print(f"{'load':<20}{'class':<10}{'earned':>7}{'aim':>7}{'late':>7}", end="")
    print(f"{'refused':>9}{'of late':>9}{'failed':>8}{'held s':>8}{'resent':>8}")
    for name in names:
        plays = [play(loads_by_name[name](), seed, chosen) for seed in range(seeds)]
        for item in plays[0]:
            _print_class(name, item, [results[item] for results in plays])


def _print_class(load: str, name: str, results: list[ClassResult]) -> None:
    asked = sum(r.asked for r in results)
    earned = sum(r.credit for r in results) / sum(r.owed for r in results)
    shares = [
        sum(getattr(r, field) for r in results) / asked
        for field in ("in_aim", "late", "refused", "refused_late", "failed", "resent")
    ]
    held = sum(r.held for r in results) / asked
    print(f"{load:<20}{name:<10}{earned:7.3f}{shares[0]:7.3f}{shares[1]:7.3f}", end="")
    print(f"{shares[2]:9.3f}{shares[3]:9.3f}{shares[4]:8.3f}{held:8.3f}", end="")
    print(f"{shares[5]:8.3f}")


if __name__ == "__main__":
    fire.Fire(main)
