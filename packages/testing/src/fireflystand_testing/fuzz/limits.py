"""Register the machines of quota and feed with their mutations."""

from .feed_machine import FeedMachine
from .limits_mutations import FEED_PATCHES, QUOTA_PATCHES
from .quota_machine import QuotaMachine
from .registry import Mutation, machine, mutations

__all__: list[str] = []

machine("quota")(QuotaMachine)
machine("feed")(FeedMachine)
mutations.extend(Mutation("quota", name, p) for name, p in QUOTA_PATCHES.items())
mutations.extend(Mutation("feed", name, p) for name, p in FEED_PATCHES.items())
