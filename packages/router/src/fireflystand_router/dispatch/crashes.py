"""Detect requests that crash the targets that run them."""

import trio

from fireflystand_core.messages import CrashNotice

from ..events import CRASH_SUSPECTED, emit
from ..peers import PeerLink, Reply
from .membership import Membership

__all__ = ["CrashDetector"]

# A request is suspected if its connection broke at most this long before the exit of
# its target was detected.
BROKEN_CONNECTION_WINDOW = 3.0  # seconds
# Callers retry a crashing request within their deadlines. Later the same request may
# come from other callers and is allowed again.
CRASH_RETENTION = 20.0  # seconds
CRASH_LIMIT = 2  # crashed targets after which a request is refused


class CrashDetector:
    """Own the crashes by request fingerprint, shared with the other instances."""

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._broken_connections: list[tuple[float, str, int]] = []
        self._crashes_by_fingerprint: dict[int, dict[str, float]] = {}
        membership.network.set_direct_handler(CrashNotice, self._handle_notice)

    def is_refused(self, fingerprint: int) -> bool:
        """Tell whether a request has recently crashed too many targets."""
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if not crashes:
            return False
        oldest = trio.current_time() - CRASH_RETENTION
        recent = {target: at for target, at in crashes.items() if at > oldest}
        self._crashes_by_fingerprint[fingerprint] = recent
        return len(recent) >= CRASH_LIMIT

    def record_broken_connection(self, target: str, fingerprint: int) -> None:
        """Record that the connection to a target broke while it ran a request."""
        now = trio.current_time()
        self._broken_connections = [
            entry
            for entry in self._broken_connections
            if now - entry[0] <= BROKEN_CONNECTION_WINDOW
        ]
        self._broken_connections.append((now, target, fingerprint))

    def record_exit(self, target: str) -> None:
        """Count a crash of a target against the requests on its broken connections."""
        now = trio.current_time()
        suspects = {
            fingerprint
            for at, broken, fingerprint in self._broken_connections
            if broken == target and now - at <= BROKEN_CONNECTION_WINDOW
        }
        self._broken_connections = [
            entry for entry in self._broken_connections if entry[1] != target
        ]
        for fingerprint in suspects:
            self._record_crash(target, fingerprint)
            self._membership.broadcast(CrashNotice(fingerprint, target))

    def _record_crash(self, target: str, fingerprint: int) -> None:
        crashes = self._crashes_by_fingerprint.setdefault(fingerprint, {})
        crashes[target] = trio.current_time()
        emit(
            CRASH_SUSPECTED,
            fingerprint=f"{fingerprint:016x}",
            target=target,
            crashes=len(crashes),
        )

    def _handle_notice(self, notice: CrashNotice, link: PeerLink, reply: Reply) -> None:
        self._record_crash(notice.target, notice.fingerprint)
