"""Define the load patterns that the admission queue has to answer."""

from collections.abc import Callable

import attrs

from .model import CallerClass, Load, ModelTarget

__all__ = ["load_pattern", "loads_by_name"]

loads_by_name: dict[str, Callable[[], Load]] = {}

LOOKUP = CallerClass(
    "lookup", 60.0, 0.09, 0.3, 2.0, 1.0, priority=2, late_worth=0.3, retries=2
)
ORDER = CallerClass(
    "order",
    15.0,
    0.12,
    0.4,
    2.5,
    1.2,
    priority=1,
    worth=2.0,
    late_worth=0.6,
    retries=2,
    spread=0.3,
)

# Requests of the services that no client account bounds.
KEYED = CallerClass("keyed", 8.3, 0.18, 0.604, 1.51, 1.51, 1, late_worth=0.3)


def load_pattern(name: str) -> Callable:
    """Register a function that returns a load under a name."""

    def register(make: Callable[[], Load]) -> Callable[[], Load]:
        loads_by_name[name] = make
        return make

    return register


def _on(target: str, item: CallerClass, rate: float) -> CallerClass:
    return attrs.evolve(item, target=target, rate=rate)


@load_pattern("hot-key")
def hot_key() -> Load:
    """Return a key with twice the load that its target can take."""
    target = ModelTarget("t", 6)
    return Load((target,), (_on("t", LOOKUP, 90.0), _on("t", ORDER, 8.0)))


@load_pattern("hot-key-fast")
def hot_key_fast() -> Load:
    """Return a key with as much load as a fast target can take."""
    target = ModelTarget("t", 6, speed=2.0)
    return Load((target,), (_on("t", LOOKUP, 100.0),))


@load_pattern("busy")
def busy() -> Load:
    """Return a target at nine tenths of its capacity."""
    target = ModelTarget("t", 6)
    return Load((target,), (_on("t", LOOKUP, 30.0), _on("t", ORDER, 10.0)))


@load_pattern("burst")
def burst() -> Load:
    """Return a calm target that gets twice its capacity for three seconds."""
    target = ModelTarget("t", 6)
    extra = attrs.evolve(_on("t", LOOKUP, 60.0), name="burst", since=10.0, until=13.0)
    return Load((target,), (_on("t", LOOKUP, 20.0), _on("t", ORDER, 8.0), extra))


@load_pattern("slow-target")
def slow_target() -> Load:
    """Return a target of half the speed at nine tenths of its capacity."""
    target = ModelTarget("t", 6, speed=0.5)
    return Load((target,), (_on("t", LOOKUP, 14.0), _on("t", ORDER, 5.0)))


@load_pattern("few-slots")
def few_slots() -> Load:
    """Return a target with three slots and long work, a third beyond its capacity."""
    target = ModelTarget("t", 3)
    lookup = CallerClass("lookup", 10.0, 0.22, 0.6, 2.5, 2.5, 2, target="t")
    order = CallerClass(
        "order", 4.0, 0.29, 0.8, 3.0, 3.0, 1, 2.0, 0.2, spread=0.3, target="t"
    )
    return Load((target,), (lookup, order))


@load_pattern("few-slots-calm")
def few_slots_calm() -> Load:
    """Return a target with three slots and long work at six tenths of its capacity."""
    load = few_slots()
    return attrs.evolve(
        load,
        classes=tuple(attrs.evolve(c, rate=c.rate * 0.45) for c in load.classes),
    )


@load_pattern("short-deadlines")
def short_deadlines() -> Load:
    """Return an overloaded target of which a few callers have little time."""
    target = ModelTarget("t", 6)
    patient = attrs.evolve(
        _on("t", LOOKUP, 75.0), name="patient", aim=1.0, deadline=8.0, timeout=5.0
    )
    hurried = attrs.evolve(
        patient, name="hurried", rate=3.0, aim=1.0, deadline=1.0, timeout=1.0, retries=0
    )
    return Load((target,), (patient, hurried))


@load_pattern("added-route")
def added_route() -> Load:
    """Return an overloaded target of long work and a new route with short work."""
    target = ModelTarget("t", 6, speed=0.7)
    known = attrs.evolve(
        _on("t", LOOKUP, 11.0),
        name="known",
        work=0.5,
        aim=1.5,
        deadline=10.0,
        timeout=5.0,
    )
    added = attrs.evolve(
        known, name="added", rate=0.5, work=0.02, deadline=1.0, timeout=1.0, retries=0
    )
    return Load((target,), (known, attrs.evolve(added, priority=0)))


@load_pattern("retry-storm")
def retry_storm() -> Load:
    """Return a hot key of which a third of the callers repeats at once."""
    load = hot_key()
    rude = attrs.evolve(
        load.classes[0], name="rude", rate=30.0, patient=False, retries=6
    )
    return attrs.evolve(load, classes=(*load.classes, rude))


@load_pattern("pooled-overload")
def pooled_overload() -> Load:
    """Return a pool of uneven targets that gets a third more than it can take."""
    speeds = (0.5, 1.0, 1.0, 1.5)
    targets = tuple(ModelTarget(f"t{i}", 6, speed) for i, speed in enumerate(speeds))
    return Load(targets, (attrs.evolve(LOOKUP, rate=330.0, work=0.072),))


def _slow_cohort(count: int, slots: int, **fields) -> tuple[ModelTarget, ...]:
    """Return targets of which each third one is slow."""
    return tuple(
        ModelTarget(f"t{i}", slots, 1 / (0.7, 0.7, 1.6)[i % 3], **fields)
        for i in range(count)
    )


def _impatient(item: CallerClass) -> CallerClass:
    """Return callers that repeat at once, whatever they are told."""
    return attrs.evolve(
        item, name="impatient", rate=item.rate / 3, patient=False, retries=3
    )


@load_pattern("hot-key-slow")
def hot_key_slow() -> Load:
    """Return a key with twice the load of its slow target, some callers impatient."""
    target = ModelTarget("t", 4, speed=1 / 1.6, queue_limit=2)
    hot = _on("t", KEYED, 15.0)
    return Load((target,), (hot, _impatient(hot)), reports_load=True)


@load_pattern("uneven-start")
def uneven_start() -> Load:
    """Return a pool of uneven targets in the first seconds of nine tenths of load."""
    targets = _slow_cohort(12, 4)
    pooled = attrs.evolve(KEYED, name="pooled", rate=220.0)
    return Load(targets, (pooled,), seconds=6.0, reports_load=True)


@load_pattern("uneven-keys")
def uneven_keys() -> Load:
    """Return targets of unequal speed that each own keys of the same load."""
    targets = _slow_cohort(3, 4, queue_limit=2)
    names = ("fast", "fast2", "slow")
    classes = [
        attrs.evolve(_on(target.id, KEYED, 12.0), name=name)
        for target, name in zip(targets, names, strict=True)
    ]
    return Load(targets, tuple(classes), reports_load=True)


@load_pattern("shedding")
def shedding() -> Load:
    """Return a pool of targets that all shed a third of what they get."""
    targets = _slow_cohort(6, 4, shed=0.3)
    pooled = attrs.evolve(KEYED, name="pooled", rate=90.0)
    return Load(targets, (pooled,), reports_load=True)


@load_pattern("shedding-owner")
def shedding_owner() -> Load:
    """Return the only target of some keys, which sheds a third of what it gets."""
    target = ModelTarget("t", 4, shed=0.3, queue_limit=2)
    return Load((target,), (_on("t", KEYED, 14.0),), reports_load=True)


@load_pattern("two-deadlines")
def two_deadlines() -> Load:
    """Return two kinds of different deadlines and priorities at one busy target."""
    target = ModelTarget("t", 4, queue_limit=2)
    urgent = attrs.evolve(_on("t", KEYED, 12.0), name="urgent", priority=0)
    patient = CallerClass(
        "patient", 8.0, 0.18, 1.009, 4.036, 4.036, 2, late_worth=0.3, target="t"
    )
    return Load((target,), (urgent, patient), reports_load=True)


@load_pattern("early-slowdown")
def early_slowdown() -> Load:
    """Return a target that runs two requests well and slows down with more."""
    target = ModelTarget("t", 6, runs_well=2.0)
    return Load((target,), (_on("t", KEYED, 9.0),), reports_load=True)


@load_pattern("early-slowdown-pool")
def early_slowdown_pool() -> Load:
    """Return a pool in which one of three targets slows down with two requests."""
    targets = tuple(
        attrs.evolve(target, runs_well=2.0 if i % 3 == 2 else float("inf"))
        for i, target in enumerate(_slow_cohort(6, 4))
    )
    pooled = attrs.evolve(KEYED, name="pooled", rate=90.0)
    return Load(targets, (pooled,), reports_load=True)


@load_pattern("short-slowdown")
def short_slowdown() -> Load:
    """Return a busy target that is five times slower for less than a second."""
    spans = tuple((at, at + 0.8, 5.0) for at in (8.0, 16.0, 24.0))
    target = ModelTarget("t", 4, slow_spans=spans)
    return Load((target,), (_on("t", KEYED, 13.0),), reports_load=True)


@load_pattern("long-slowdown")
def long_slowdown() -> Load:
    """Return a busy target that is seven times slower for six seconds."""
    target = ModelTarget("t", 4, slow_spans=((8.0, 14.0, 7.0),))
    return Load((target,), (_on("t", KEYED, 13.0),), reports_load=True)


@load_pattern("bad-first-responses")
def bad_first_responses() -> Load:
    """Return a target whose first responses never came, and callers in a hurry."""
    target = ModelTarget("t", 6, slow_spans=((0.0, 0.7, 30.0),))
    first = CallerClass(
        "first", 20.0, 0.18, 1.009, 4.036, 4.036, retries=0, target="t", until=0.4
    )
    hurried = attrs.evolve(
        _on("t", KEYED, 13.0), name="hurried", route="first", since=5.0
    )
    return Load((target,), (first, hurried), reports_load=True)


@load_pattern("passed-over")
def passed_over() -> Load:
    """Return a target that urgent requests alone overload, and a less urgent kind."""
    target = ModelTarget("t", 4, queue_limit=2)
    urgent = attrs.evolve(_on("t", KEYED, 22.0), name="urgent", priority=0)
    other = attrs.evolve(_on("t", KEYED, 4.0), name="other", priority=3)
    return Load((target,), (urgent, other), reports_load=True)
