"""Keep track of the other instances."""

from .peer_table import PeerEntry, PeerTable, Probe

__all__ = ["PeerEntry", "PeerTable", "Probe"]
