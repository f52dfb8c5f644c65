"""Disseminate versioned items between instances."""

from .state import FeedState, batches

__all__ = ["FeedState", "batches"]
