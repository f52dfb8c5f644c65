"""Measure the choices that the design page records."""
