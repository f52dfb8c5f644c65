"""Search for event orders that break the rules of the core."""
