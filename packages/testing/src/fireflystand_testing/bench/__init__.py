"""Measure the choices that the design page records and parts of the system."""
