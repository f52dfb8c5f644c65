"""Measure parts of the system on the loopback interface."""
