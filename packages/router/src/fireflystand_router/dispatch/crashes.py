"""Recognise requests that crash the targets that run them."""

import trio

from fireflystand_core.messages import CrashNotice

from ..events import CRASH_SUSPECTED, emit
from ..peers import PeerLink, Reply
from .mesh import Mesh

__all__ = ["CrashWatch"]

# A connection that broke this long before its target was found dead counts.
BLAME_PERIOD = 3.0  # seconds
# Callers of a crashing request come again within their deadlines, others may ask
# for the same path later.
MEMORY = 20.0  # seconds
CRASH_LIMIT = 2  # crashes after which a request is not run any more


class CrashWatch:
    """Own the counts of crashes by request, shared with the other instances."""

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh
        self._broken: list[tuple[float, str, int]] = []
        self._crashes_by_fingerprint: dict[int, dict[str, float]] = {}
        mesh.network.handle_directly(CrashNotice, self._take_notice)

    def is_refused(self, fingerprint: int) -> bool:
        """Tell whether a request has crashed too many targets."""
        crashes = self._crashes_by_fingerprint.get(fingerprint)
        if not crashes:
            return False
        oldest = trio.current_time() - MEMORY
        recent = {t: at for t, at in crashes.items() if at > oldest}
        self._crashes_by_fingerprint[fingerprint] = recent
        return len(recent) >= CRASH_LIMIT

    def note_broken(self, target: str, fingerprint: int) -> None:
        """Note that a target's connection broke while it ran a request."""
        now = trio.current_time()
        self._broken = [b for b in self._broken if now - b[0] <= BLAME_PERIOD]
        self._broken.append((now, target, fingerprint))

    def note_dead(self, target: str) -> None:
        """Note that a target's process has ended; blame what it ran."""
        now = trio.current_time()
        blamed = {
            fingerprint
            for at, broken, fingerprint in self._broken
            if broken == target and now - at <= BLAME_PERIOD
        }
        self._broken = [b for b in self._broken if b[1] != target]
        for fingerprint in blamed:
            self._count(target, fingerprint)
            self._mesh.broadcast(CrashNotice(fingerprint, target))

    def _count(self, target: str, fingerprint: int) -> None:
        crashes = self._crashes_by_fingerprint.setdefault(fingerprint, {})
        crashes[target] = trio.current_time()
        emit(
            CRASH_SUSPECTED,
            fingerprint=f"{fingerprint:016x}",
            target=target,
            crashes=len(crashes),
        )

    def _take_notice(self, notice: CrashNotice, link: PeerLink, reply: Reply) -> None:
        self._count(notice.target, notice.fingerprint)
