"""Route requests to the targets that own their keys."""
