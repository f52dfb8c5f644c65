"""Hold back requests that coincided with crashes of targets."""

import attrs

__all__ = ["REFUSED_AFTER", "CrashHold", "Suspect"]

MAX_SUSPECTS = 64
REFUSED_AFTER = 2  # crashes
RETENTION = 600.0  # seconds


@attrs.define
class Suspect:
    """Hold a fingerprint that was in flight when targets crashed."""

    fingerprint: int
    crashes: int
    until: float
    targets: list[str] = attrs.field(factory=list)
    pending: dict[str, float] = attrs.field(factory=dict)


class CrashHold:
    """Count crashes by fingerprint and tell which requests to hold or refuse."""

    def __init__(self, retention: float = RETENTION) -> None:
        self._retention = retention
        self._by_fingerprint: dict[int, Suspect] = {}

    def broken(self, target: str, fingerprint: int, now: float) -> None:
        """Note a connection that broke during a request; perhaps a crash."""
        suspect = self._suspect(fingerprint, now)
        suspect.pending[target] = now

    def alive(self, target: str, sampled_at: float) -> None:
        """Clear what was suspected of a target that was alive at a later time."""
        for suspect in list(self._by_fingerprint.values()):
            if suspect.pending.get(target, sampled_at) < sampled_at:
                del suspect.pending[target]
                self._drop_if_clear(suspect)

    def crashed(self, target: str, fingerprints: set[int], now: float) -> None:
        """Count a crash for all fingerprints that were in flight on a target."""
        pending = {
            suspect.fingerprint
            for suspect in self._by_fingerprint.values()
            if target in suspect.pending
        }
        for fingerprint in fingerprints | pending:
            suspect = self._suspect(fingerprint, now)
            suspect.pending.pop(target, None)
            suspect.crashes += 1
            suspect.targets.append(target)

    def survived(self, fingerprint: int) -> None:
        """Clear a fingerprint that a target answered while it ran alone."""
        suspect = self._by_fingerprint.get(fingerprint)
        if suspect is not None and suspect.crashes < REFUSED_AFTER:
            suspect.crashes = 0
            self._drop_if_clear(suspect)

    def must_run_alone(self, fingerprint: int) -> bool:
        """Tell whether a request may only run as the only one on its target."""
        return self._count(fingerprint) >= 1

    def is_refused(self, fingerprint: int) -> bool:
        """Tell whether a request is not run any more."""
        return self._count(fingerprint) >= REFUSED_AFTER

    def expire(self, now: float) -> None:
        """Forget suspects after the retention."""
        for suspect in list(self._by_fingerprint.values()):
            if suspect.until <= now:
                del self._by_fingerprint[suspect.fingerprint]

    def store(self, now: float) -> list[tuple[int, int, float]]:
        """Return fingerprint, crashes and remaining seconds of each suspect."""
        return [
            (s.fingerprint, s.crashes + len(s.pending), s.until - now)
            for s in self._by_fingerprint.values()
        ]

    def load(self, stored: list[tuple[int, int, float]], now: float) -> None:
        """Read suspects back; higher counts win."""
        for fingerprint, crashes, remaining in stored:
            suspect = self._suspect(fingerprint, now)
            suspect.crashes = max(suspect.crashes, crashes)
            suspect.until = now + remaining

    def _count(self, fingerprint: int) -> int:
        suspect = self._by_fingerprint.get(fingerprint)
        return 0 if suspect is None else suspect.crashes + len(suspect.pending)

    def _suspect(self, fingerprint: int, now: float) -> Suspect:
        suspect = self._by_fingerprint.get(fingerprint)
        if suspect is None:
            self._make_room()
            suspect = Suspect(fingerprint, 0, now + self._retention)
            self._by_fingerprint[fingerprint] = suspect
        suspect.until = now + self._retention
        return suspect

    def _make_room(self) -> None:
        if len(self._by_fingerprint) < MAX_SUSPECTS:
            return
        least = min(
            self._by_fingerprint.values(),
            key=lambda s: (s.crashes + len(s.pending), s.until),
        )
        del self._by_fingerprint[least.fingerprint]

    def _drop_if_clear(self, suspect: Suspect) -> None:
        if suspect.crashes == 0 and not suspect.pending:
            self._by_fingerprint.pop(suspect.fingerprint, None)
