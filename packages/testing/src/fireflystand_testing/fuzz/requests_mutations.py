"""Break one rule of permits or journal at a time."""

from unittest import mock

import attrs

from fireflystand_core.admission import CrashHold, PermitDesk, TargetAdmission
from fireflystand_core.journal import JournalIndex

from .registry import mutation

__all__: list[str] = []

_report = TargetAdmission.report
_withdraw = PermitDesk._withdraw


@mutation("requests", "slots of lost permits are freed at once")
def free_all_lost():
    """Free every lost permit whatever the status says is in flight."""

    def report(self, incarnation, warm, in_flight, sampled_at):
        return _report(self, incarnation, warm, 0, sampled_at)

    with mock.patch.object(TargetAdmission, "report", report):
        yield


@mutation("requests", "slots are not limited")
def unlimited_slots():
    """Let every target have a free slot."""
    with mock.patch.object(TargetAdmission, "free", property(lambda self: 1)):
        yield


@mutation("requests", "a target never turns cold")
def never_cold():
    """Start no warm-up."""
    with mock.patch.object(TargetAdmission, "turn_cold", lambda self, now: None):
        yield


@mutation("requests", "a new coordinator does not wait for a status")
def no_wait_for_status():
    """Issue permits before the predecessor's requests are known."""

    def take_over(self, now, wait, longest):
        return None

    with mock.patch.object(TargetAdmission, "take_over", take_over):
        yield


@mutation("requests", "the journal is not loaded at a takeover")
def journal_not_loaded():
    """Begin with an empty index."""
    with mock.patch.object(JournalIndex, "load", lambda self, entries, now: None):
        yield


@mutation("requests", "a waiting repeat is told not-run")
def repeat_not_run():
    """Say not-run to a repeat although the first request may be running."""

    def withdraw(self, request_id, reason, now):
        return [
            attrs.evolve(a, answer=attrs.evolve(a.answer, outcome="not-run"))
            if hasattr(a, "answer")
            else a
            for a in _withdraw(self, request_id, reason, now)
        ]

    with mock.patch.object(PermitDesk, "_withdraw", withdraw):
        yield


@mutation("requests", "crash suspects are not refused")
def suspects_run():
    """Let a request run that crashed two targets."""
    with mock.patch.object(CrashHold, "is_refused", lambda self, fingerprint: False):
        yield


@mutation("requests", "the journal's gap is ignored")
def gap_ignored():
    """Judge idempotency keys that an outage kept out of the journal."""
    with mock.patch.object(JournalIndex, "mark_gap", lambda self, now: None):
        yield
