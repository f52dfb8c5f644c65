"""Fuzz the lending of quota and the feed."""

from collections.abc import Callable
from contextlib import AbstractContextManager

import attrs
from hypothesis.stateful import RuleBasedStateMachine

from .feed_machine import FeedMachine
from .limits_mutations import FEED_PATCHES, QUOTA_PATCHES
from .quota_machine import QuotaMachine

__all__ = ["MACHINES", "MUTATIONS", "Machine", "Mutation"]


@attrs.frozen
class Machine:
    """Name a state machine."""

    name: str
    machine: type[RuleBasedStateMachine]


@attrs.frozen
class Mutation:
    """Name a change of a rule that the machine must find; ``patch`` applies it."""

    name: str
    patch: Callable[[], AbstractContextManager]
    machine: type[RuleBasedStateMachine]


MACHINES = [Machine("quota", QuotaMachine), Machine("feed", FeedMachine)]

MUTATIONS = [
    *(Mutation(name, patch, QuotaMachine) for name, patch in QUOTA_PATCHES.items()),
    *(Mutation(name, patch, FeedMachine) for name, patch in FEED_PATCHES.items()),
]
