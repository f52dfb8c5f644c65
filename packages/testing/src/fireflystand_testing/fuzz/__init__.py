"""Fuzz the decision logic with stateful machines."""
