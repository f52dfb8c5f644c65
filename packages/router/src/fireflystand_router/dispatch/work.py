"""Count requests by key and work by target, and report them to coordinators."""

from fireflystand_core.messages import WorkReport

from ..events import PEER_CALL_FAILED, emit
from ..peers import PeerUnavailableError
from ..timers import sleep_until_next
from .membership import Membership
from .state import RoutingState

__all__ = ["WorkReporter"]

REPORT_INTERVAL = 0.5  # seconds; the set of busy keys changes within seconds
MIN_SLOWDOWN = 0.1  # ten times as fast as usual; prevents a division by 0
KEYS_PER_REPORT = 512  # the busiest ones; other keys do not affect planned moves


class WorkReporter:
    """Own the counts since the last report."""

    def __init__(self, state: RoutingState, membership: Membership) -> None:
        self._state = state
        self._membership = membership
        self._keys_by_service: dict[str, dict[int, int]] = {}
        self._work_by_service: dict[str, dict[str, list[float]]] = {}
        self.on_own_report = lambda report: None

    def record_request(self, service: str, key: int) -> None:
        """Count a request for a key, whether or not it can be served."""
        counts = self._keys_by_service.setdefault(service, {})
        counts[key] = counts.get(key, 0) + 1

    def record_completed(
        self, service: str, target: str, seconds: float, slowdown: float
    ) -> None:
        """Count a completed request; a target's usual ``slowdown`` is 1."""
        work = self._work_by_service.setdefault(service, {})
        totals = work.setdefault(target, [0, 0.0, 0.0])
        totals[0] += 1
        totals[1] += seconds
        totals[2] += seconds / max(slowdown, MIN_SLOWDOWN)

    async def run(self) -> None:
        """Report to the coordinators until cancelled."""
        while True:
            await sleep_until_next(REPORT_INTERVAL)
            for service in list(self._keys_by_service):
                self._send_report(service)

    def _send_report(self, service: str) -> None:
        counts = self._keys_by_service.pop(service)
        work = self._work_by_service.pop(service, {})
        busiest = sorted(counts.items(), key=lambda item: -item[1])[:KEYS_PER_REPORT]
        report = WorkReport(
            service=service,
            seconds=REPORT_INTERVAL,
            keys=[[key, count] for key, count in busiest],
            targets=[
                [target, int(count), seconds, nominal_seconds]
                for target, (count, seconds, nominal_seconds) in work.items()
            ],
            leaving=[
                [target.id, target.started_at]
                for target in self._state.stated_leaving(service)
            ],
        )
        record = self._state.records_by_service.get(service)
        holder = record.holder if record else ""
        if holder == self._membership.own_id:
            self.on_own_report(report)
        elif holder:
            try:
                self._membership.network.send(holder, report)
            except PeerUnavailableError as error:
                # Without this report a move may be planned half a second later.
                emit(PEER_CALL_FAILED, error, message="work-report")
