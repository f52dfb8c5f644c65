"""Decide the steps of a version rollout at the one instance that may take them.

The load is that of one service whose traffic moves to another version before a
deadline, while the new targets are cold at first, the new version may be bad from the
start, later, on one route or only under load, and any instance may be killed, frozen
or cut off, the deciding one first. A decider that takes over knows the phase that was
recorded and nothing of what was observed before.
"""

from collections.abc import Collection, Iterable
from math import ceil, inf

import attrs

from .gate import MAX_CONFIRMATION_AGE
from .judgement import SLOW_FACTOR, RolloutSample, Verdict, VersionComparison
from .model import Phase, RolloutOrder, RolloutPolicy

__all__ = ["Advance", "RolloutDecider"]

# Parts of the duration.
EARLIEST_RAMP = 0.5
LATEST_RAMP = 0.7  # where the duration is long: more is seen of the version
EVIDENCE_LIMIT = 0.8  # for leaving the trial
RAMP_LIMIT = 0.9  # for leaving the ramp
CONCENTRATION = 0.3  # from when on fewer targets get the trial's requests

RAMP_SHARES = (0.25, 0.5)
# A step lasts until what it causes has been reported and judged: 0.25 s each for the
# report, the interval of the comparison and the next one.
RAMP_STEP = 0.75  # seconds
MIN_STEP_RESPONSES = 12  # of the new version in each step
MIN_CUTOVER = 1.0  # seconds that the new version has all traffic before it is final
MAX_CUTOVER = 2.5  # seconds, as far as they depend on how long responses take
MARGIN = 1.0  # seconds before the deadline
# After the deadline, for a judgement that is still open. It may never come where the
# old version's responses were too few.
MAX_DOUBT = 3.0  # seconds
REPLACEMENT = 2.5  # seconds until another instance decides and has judged
REPORT_LIFETIME = 2.0  # seconds; reports come every 0.25 s
LATE_TRIAL_LOAD = 1.5  # of an old target, at those of the new version
WARM_UP_USE = 0.8  # of the warm-up rate; the requests do not come evenly


@attrs.frozen
class Advance:
    """Ask for a later phase to be recorded, and for the reason to be stated."""

    phase: Phase
    reason: str


@attrs.frozen
class _Report:
    """Hold the latest state that an instance reported."""

    phase: Phase
    old_in_flight: int
    at: float


class RolloutDecider:
    """Judge a version and return the step to take next.

    ``phase`` is the phase that the record shows and ``now`` the time at which the
    store acknowledged the claim. ``ordered_at`` is when the order was given, as far as
    the instance knows; see ``VersionGate.ordered_at``. ``longest_time_limit`` is the
    longest that a request to an old target may take after it was sent. Times are in
    seconds on the clock that includes suspended time.

    A step is written to the record first, and ``note_written`` called when the store
    has acknowledged it. Until then, ``tick`` returns the step again.
    """

    def __init__(
        self,
        order: RolloutOrder,
        policy: RolloutPolicy,
        now: float,
        phase: Phase = Phase.TRIAL,
        longest_time_limit: float = 5.0,
        ordered_at: float = -inf,
    ) -> None:
        self.order = order
        self.policy = policy
        self.phase = phase
        self.comparison = VersionComparison()
        self.ordered_at = now if ordered_at == -inf else min(now, ordered_at)
        self._longest_time_limit = longest_time_limit
        self._rollback_reason = ""
        self._reports_by_instance: dict[str, _Report] = {}
        self._phase_since = now
        self._ramp_step = 0
        self._step_since = now
        self._responses_before_step = 0

    @property
    def deadline_at(self) -> float:
        """Return when the order's duration ends."""
        return self.ordered_at + self.order.duration

    @property
    def lease_phase(self) -> Phase:
        """Return the phase to announce; a rollback is announced unwritten."""
        return Phase.ROLLED_BACK if self._rollback_reason else self.phase

    def remaining(self, now: float) -> float:
        """Return the seconds to the deadline."""
        return max(0.0, self.deadline_at - now)

    def share(self, now: float) -> float:
        """Return the share of the requests that the lease gives to the new version."""
        if self.lease_phase is Phase.TRIAL:
            return self.policy.trial_share
        if self.lease_phase is Phase.RAMP:
            return RAMP_SHARES[self._ramp_step]
        return 0.0 if self.lease_phase is Phase.ROLLED_BACK else 1.0

    def add_report(
        self,
        instance: str,
        samples: Iterable[RolloutSample],
        old_in_flight: int,
        phase: Phase,
        now: float,
    ) -> None:
        """Apply what an instance has observed since its last report, and its state."""
        self._reports_by_instance[instance] = _Report(phase, old_in_flight, now)
        for sample in samples:
            self.comparison.add(sample, now)

    def note_written(self, phase: Phase, now: float) -> None:
        """Apply that the store has acknowledged the record of a phase."""
        if not phase.follows(self.phase):
            return
        self.phase = phase
        self._phase_since = now
        self._begin_step(0, now)

    def tick(
        self,
        now: float,
        live_instances: Collection[str],
        registered_instances: Collection[str],
        keys_moved: bool,
    ) -> Advance | None:
        """Return the step to take now, if any.

        ``keys_moved`` is true if no key of the service is assigned to an old target.
        """
        if self.phase.is_final:
            return None
        if self._rollback_reason:
            return Advance(Phase.ROLLED_BACK, self._rollback_reason)
        known = self._later_phase_elsewhere()
        if known is not None:
            return self._step(known, "an instance reports this phase in force")
        verdict = self.comparison.verdict(now)
        if verdict.is_bad:
            return self._step(Phase.ROLLED_BACK, verdict.reason)
        if self.phase is Phase.TRIAL:
            return self._tick_trial(now, registered_instances)
        if self.phase is Phase.RAMP:
            return self._tick_ramp(now)
        instances = {*live_instances, *registered_instances}
        if keys_moved and self._has_left_old_version(instances, now):
            return self._tick_cutover(instances, now)
        return None

    def trial_targets(
        self,
        now: float,
        new_targets: int,
        old_target_count: int,
        *,
        cold_targets: int = 0,
        request_rate: float = 0.0,
        warm_up_rate: float = 0.0,
    ) -> int:
        """Return how many targets of the new version to use, the warm ones first.

        Each is to get about the load of an old one, and half as much again later in
        the trial. ``cold_targets`` of the new ones get no more than ``warm_up_rate``
        each, so that more of them are needed for the share of ``request_rate``, both
        in requests a second; 0 stands for no limit and for an unknown rate.
        """
        if self.lease_phase not in (Phase.TRIAL, Phase.RAMP):
            return new_targets
        share = self.share(now)
        wanted = share * old_target_count  # with the load of an old one each
        if self.phase is Phase.TRIAL and self._elapsed(now) < CONCENTRATION:
            wanted = ceil(wanted)
        elif self.phase is Phase.TRIAL:
            wanted /= LATE_TRIAL_LOAD
        wanted = max(1, int(wanted))
        warm = min(wanted, new_targets - cold_targets)
        if warm < wanted and warm_up_rate > 0:
            rate = share * request_rate * (wanted - warm) / wanted
            cold = ceil(rate / (WARM_UP_USE * warm_up_rate))
            wanted = max(wanted, warm + cold)
        return min(new_targets, wanted)

    def placed_share(self, now: float, request_rate: float) -> float:
        """Return the share of a keyed service's load to place at the new targets.

        In the trial it is what the budgets of all instances let through, with the
        slack spread over the trial.
        """
        share = self.share(now)
        if self.lease_phase is not Phase.TRIAL or request_rate <= 0:
            return share
        trial = EARLIEST_RAMP * self.order.duration * request_rate
        return min(RAMP_SHARES[0], share + self.policy.trial_slack / trial)

    def _tick_trial(self, now: float, registered: Iterable[str]) -> Advance | None:
        verdict = self.comparison.verdict(now)
        elapsed = self._elapsed(now)
        if elapsed >= 1:
            return self._step(Phase.ROLLED_BACK, "the deadline is over")
        if not verdict.is_good and elapsed >= EVIDENCE_LIMIT:
            return self._lack_evidence(verdict)
        if verdict.is_good and elapsed >= self._trial_part(registered, now):
            return self._step(Phase.RAMP, verdict.reason)
        return None

    def _tick_ramp(self, now: float) -> Advance | None:
        verdict = self.comparison.verdict(now)
        if not verdict.is_good:
            is_late = self._elapsed(now) >= RAMP_LIMIT
            return self._lack_evidence(verdict) if is_late else None
        if now - self._step_since < RAMP_STEP:
            return None
        if self._step_responses < MIN_STEP_RESPONSES:
            return None
        if self._ramp_step + 1 < len(RAMP_SHARES):
            self._begin_step(self._ramp_step + 1, now)
            return None
        return self._step(Phase.CUTOVER, verdict.reason)

    def _tick_cutover(self, instances: Collection[str], now: float) -> Advance | None:
        """Complete the rollout, which has left the old version everywhere.

        After the deadline the judgement that led to the cutover suffices if there are
        too few responses for another one.
        """
        verdict = self.comparison.verdict(now)
        if now - self._phase_since < self._cutover_duration():
            return None
        is_seen = self._step_responses >= MIN_STEP_RESPONSES
        late_at = self.deadline_at + (MAX_DOUBT if is_seen else 0.0)
        if is_seen and verdict.is_good:
            return self._step(Phase.COMPLETED, verdict.reason)
        if now < late_at:
            return None
        if self._is_uninformed(instances, now):
            return self._lack_evidence(verdict)
        return self._step(Phase.COMPLETED, verdict.reason)

    def _is_uninformed(self, instances: Collection[str], now: float) -> bool:
        """Tell whether this decider has seen no response and hears no other instance.

        An earlier decider may then have announced a rollback that it did not write.
        The reports of the decider's own instance always arrive.
        """
        if self.comparison.new_requests:
            return False
        heard = sum(not self._is_silent(name, now) for name in instances)
        return heard <= 1 < len(instances) or not heard

    def _cutover_duration(self) -> float:
        """Return how long the new version has all traffic before that is final.

        The responses of a slow version come late, so that this depends on how long
        the old version's took, but not beyond what the deadline allows.
        """
        late = RAMP_STEP + SLOW_FACTOR * self.comparison.usual_seconds
        until_deadline = self.deadline_at - MARGIN - self._phase_since
        return max(MIN_CUTOVER, min(MAX_CUTOVER, late, until_deadline))

    def _begin_step(self, step: int, now: float) -> None:
        self._ramp_step = step
        self._step_since = now
        self._responses_before_step = self.comparison.new_requests

    @property
    def _step_responses(self) -> int:
        return self.comparison.new_requests - self._responses_before_step

    def _lack_evidence(self, verdict: Verdict) -> Advance:
        reason = f"not enough evidence: {verdict.reason}"
        return self._step(Phase.ROLLED_BACK, reason)

    def _step(self, phase: Phase, reason: str) -> Advance:
        if phase is Phase.ROLLED_BACK:
            self._rollback_reason = reason
        return Advance(phase, reason)

    def _elapsed(self, now: float) -> float:
        """Return the part of the duration that is over."""
        return (now - self.ordered_at) / self.order.duration

    @property
    def _silence(self) -> float:
        """Return the seconds after which a silent instance has left the old version.

        They count from the cutover's record, or from a later claim: until then, the
        instance may have heard that an earlier decider goes back to the old version.
        """
        return MAX_CONFIRMATION_AGE + self._longest_time_limit

    def _trial_part(self, registered: Iterable[str], now: float) -> float:
        """Return the part of the duration that the trial lasts.

        What comes after it is to have time even if the decider is lost once more, or
        if instances are silent that may use the old version until they stop by
        themselves.
        """
        is_silent = any(self._is_silent(instance, now) for instance in registered)
        cutover = self._silence + MARGIN if is_silent else MIN_CUTOVER + REPLACEMENT
        part = 1 - (RAMP_STEP * len(RAMP_SHARES) + cutover) / self.order.duration
        return min(LATEST_RAMP, max(EARLIEST_RAMP, part))

    def _is_silent(self, instance: str, now: float) -> bool:
        report = self._reports_by_instance.get(instance)
        return report is None or now - report.at > REPORT_LIFETIME

    def _later_phase_elsewhere(self) -> Phase | None:
        """Return a later phase that is in force at an instance, if any.

        The store has lost it, or an earlier decider announced it and was stopped.
        """
        phases = {report.phase for report in self._reports_by_instance.values()}
        # A completion is in force only after it was written; a rollback may be
        # announced by a decider that could not write it.
        for phase in (Phase.COMPLETED, Phase.ROLLED_BACK, Phase.CUTOVER, Phase.RAMP):
            if phase in phases and phase.follows(self.phase):
                return phase
        return None

    def _has_left_old_version(self, instances: Collection[str], now: float) -> bool:
        is_silence_over = now - self._phase_since >= self._silence
        known = {*instances, *self._reports_by_instance}
        return all(self._has_left(name, is_silence_over, now) for name in known)

    def _has_left(self, instance: str, is_silence_over: bool, now: float) -> bool:
        """Tell whether an instance sends nothing to the old version any more.

        One that still reports requests is waited for, however long it takes.
        """
        if self._is_silent(instance, now):
            return is_silence_over
        report = self._reports_by_instance[instance]
        is_past = report.phase in (Phase.CUTOVER, Phase.COMPLETED)
        return is_past and report.old_in_flight == 0
