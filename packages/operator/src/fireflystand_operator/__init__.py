"""Operate a fireflystand deployment from the command line."""
