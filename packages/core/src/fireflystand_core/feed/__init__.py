"""Disseminate versioned items between instances."""

from .exchange import answer_pull, next_pull, pull_after
from .state import FeedState, batches

__all__ = ["FeedState", "answer_pull", "batches", "next_pull", "pull_after"]
