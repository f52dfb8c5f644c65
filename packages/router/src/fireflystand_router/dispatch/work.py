"""Count requests by key and work by target for the coordinators of keys."""

import trio

from fireflystand_core.messages import WorkReport

from ..events import PEER_CALL_FAILED, emit
from ..peers import PeerUnavailableError
from .mesh import Mesh
from .state import RoutingState

__all__ = ["WorkLog"]

REPORT_INTERVAL = 0.5  # seconds; busy keys change within seconds
LEAST_PACE = 0.1  # a machine ten times as fast as usual; guards against a pace of 0
KEYS_PER_REPORT = 512  # the busiest keys; the others do not decide any move


class WorkLog:
    """Own the counts since the last report."""

    def __init__(self, state: RoutingState, mesh: Mesh) -> None:
        self._state = state
        self._mesh = mesh
        self._keys_by_service: dict[str, dict[int, int]] = {}
        self._work_by_service: dict[str, dict[str, list[float]]] = {}
        self.take_own = lambda report: None

    def note_request(self, service: str, key: int) -> None:
        """Count a request for a key, whether it can be served or not."""
        counts = self._keys_by_service.setdefault(service, {})
        counts[key] = counts.get(key, 0) + 1

    def note_done(self, service: str, target: str, seconds: float, pace: float) -> None:
        """Count a request that a target has run; ``pace`` 1 is its usual one."""
        work = self._work_by_service.setdefault(service, {})
        entry = work.setdefault(target, [0, 0.0, 0.0])
        entry[0] += 1
        entry[1] += seconds
        entry[2] += seconds / max(pace, LEAST_PACE)

    async def run(self) -> None:
        """Report to the coordinators until cancelled."""
        while True:
            await trio.sleep(REPORT_INTERVAL)
            for service in list(self._keys_by_service):
                self._report(service)

    def _report(self, service: str) -> None:
        counts = self._keys_by_service.pop(service)
        work = self._work_by_service.pop(service, {})
        busiest = sorted(counts.items(), key=lambda item: -item[1])[:KEYS_PER_REPORT]
        report = WorkReport(
            service=service,
            seconds=REPORT_INTERVAL,
            keys=[[key, count] for key, count in busiest],
            targets=[
                [target, int(count), seconds, usual]
                for target, (count, seconds, usual) in work.items()
            ],
        )
        record = self._state.records_by_service.get(service)
        holder = record.holder if record else ""
        if holder == self._mesh.own_id:
            self.take_own(report)
        elif holder:
            try:
                self._mesh.network.send(holder, report)
            except PeerUnavailableError as error:
                # The next report follows soon; a move may come half a second later.
                emit(PEER_CALL_FAILED, error, message="work-report")
