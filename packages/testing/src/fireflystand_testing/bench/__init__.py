"""Measure parts of the system."""
