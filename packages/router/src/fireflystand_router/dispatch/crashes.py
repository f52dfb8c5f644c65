"""Detect requests that crash the targets that run them."""

from collections import Counter

import attrs
import trio

from fireflystand_core.admission import TargetByteLimits
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


@attrs.frozen
class _BrokenConnection:
    """Hold a request whose connection broke; ``at`` is on trio's clock."""

    at: float
    target: str
    fingerprint: int
    size: int  # bytes of its body


class CrashDetector:
    """Own the crashes by request fingerprint, shared with the other instances."""

    def __init__(
        self, membership: Membership, byte_limits: TargetByteLimits | None = None
    ) -> None:
        self._membership = membership
        self._byte_limits = byte_limits
        self._broken_connections: list[_BrokenConnection] = []
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

    def record_broken_connection(
        self, target: str, fingerprint: int, size: int = 0
    ) -> None:
        """Record that the connection to a target broke while it ran a request.

        ``size`` is the number of bytes of the request's body.
        """
        now = trio.current_time()
        self._broken_connections = [
            entry
            for entry in self._broken_connections
            if now - entry.at <= BROKEN_CONNECTION_WINDOW
        ]
        self._broken_connections.append(
            _BrokenConnection(now, target, fingerprint, size)
        )

    def record_exit(self, target: str) -> None:
        """Count a crash of a target against the requests on its broken connections."""
        now = trio.current_time()
        suspects = [
            entry
            for entry in self._broken_connections
            if entry.target == target and now - entry.at <= BROKEN_CONNECTION_WINDOW
        ]
        self._broken_connections = [
            entry for entry in self._broken_connections if entry.target != target
        ]
        sizes_by_fingerprint: Counter[int] = Counter()
        counts_bytes = self._is_unusual(target, sum(entry.size for entry in suspects))
        for entry in suspects:
            size = entry.size if counts_bytes else 0
            sizes_by_fingerprint[entry.fingerprint] += size
        for fingerprint, size in sizes_by_fingerprint.items():
            self._record_crash(target, fingerprint, size)
            self._membership.broadcast(CrashNotice(fingerprint, target, size))

    def _is_unusual(self, target: str, size: int) -> bool:
        """Tell whether a load of request bytes may have ended a target.

        One that the target has held before says nothing of its memory.
        """
        limits = self._byte_limits
        return limits is not None and limits.is_unusual(target, size)

    def _record_crash(self, target: str, fingerprint: int, size: int) -> None:
        if self._byte_limits is not None:
            self._byte_limits.record_crash(target, size, trio.current_time())
        crashes = self._crashes_by_fingerprint.setdefault(fingerprint, {})
        crashes[target] = trio.current_time()
        emit(
            CRASH_SUSPECTED,
            fingerprint=f"{fingerprint:016x}",
            target=target,
            crashes=len(crashes),
        )

    def _handle_notice(self, notice: CrashNotice, link: PeerLink, reply: Reply) -> None:
        self._record_crash(notice.target, notice.fingerprint, notice.size)
