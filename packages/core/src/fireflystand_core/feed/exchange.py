"""Decide what to ask a peer for after comparing digests."""

from fireflystand_core.messages import FeedItems, FeedPull

from .state import FeedState, batches

__all__ = ["answer_pull", "next_pull", "pull_after"]


def next_pull(state: FeedState, revision: int, digest: int) -> FeedPull | None:
    """Return what to ask a peer with that revision and digest for, if anything.

    A peer with a higher revision is asked only for what is above the own one. Two
    peers that still differ at the same revision compare all their versions.
    """
    if digest == state.digest or revision < state.revision:
        return None
    if revision > state.revision:
        return FeedPull({}, since=state.revision)
    return FeedPull(state.versions())


def answer_pull(state: FeedState, pull: FeedPull) -> FeedItems:
    """Return the first batch of the items that a peer asks for."""
    if pull.since is None:
        items = state.newer_than(pull.versions)
    else:
        items = state.since(pull.since)
    batch = next(batches(items), [])
    return FeedItems(batch, more=len(batch) < len(items))


def pull_after(state: FeedState, pull: FeedPull, answer: FeedItems) -> FeedPull | None:
    """Return the next pull after an answer that was cut short."""
    if not answer.more or not answer.items:
        return None
    if pull.since is None:
        return FeedPull(state.versions())
    return FeedPull({}, since=answer.items[-1].version)
