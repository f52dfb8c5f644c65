"""Test the permits of a group."""

import unittest

from fireflystand_core.admission import PermitDesk, Reply, WriteIntent, WriteOutcome
from fireflystand_core.journal import JournalIndex
from fireflystand_core.messages import (
    Permit,
    PermitCancel,
    PermitRequest,
    PermitReturn,
    StoredAnswer,
)

ANSWER = StoredAnswer(200, [("Content-Type", "text/plain")], b"ok")


def make_desk(targets=("t1",), slots=3, keyed=False, epoch=1, **options):
    owner_of = (lambda key_hash, shard, now: (targets[0], epoch)) if keyed else None
    journal = JournalIndex("winkel", 0, epoch)
    desk = PermitDesk("winkel", 0, epoch, journal, owner_of=owner_of, **options)
    for target in targets:
        desk.add_target(target, "127.0.0.1:1", slots, 100, 0.0)
        desk.target_status(target, "i1", 1.0, 0, 0.0, 0.0)
        desk.targets_by_id[target].warm_limit = float(slots)
    return desk


def ask(request_id, key=None, **fields):
    defaults = {
        "account": "gent",
        "idempotent": key is None,
        "fingerprint": 7,
        "deadline": 5.0,
    }
    defaults.update(fields)
    return PermitRequest(request_id, "winkel", 0, 0, 1, idempotency_key=key, **defaults)


def give_back(permit, outcome="answered", **fields):
    defaults = {"status": 200, "latency": 0.01}
    defaults.update(fields)
    return PermitReturn("winkel", 0, permit.permit_id, outcome, **defaults)


def answers(actions):
    return {a.request_id: a.answer for a in actions if isinstance(a, Reply)}


def run_intent(desk, actions, now):
    """Confirm the intent of the only request in ``actions``."""
    intent = next(a for a in actions if isinstance(a, WriteIntent))
    return desk.journaled(intent.request_id, intent.sequence, True, now)


class SlotTests(unittest.TestCase):
    """Guard against more requests on a target than it has slots for."""

    def test_permits_never_exceed_the_slots(self):
        desk = make_desk(slots=2)
        got = [answers(desk.request(ask(f"r{i}"), "e", 0.1)) for i in range(3)]
        self.assertIsInstance(got[1]["r1"], Permit)
        self.assertEqual(got[2], {})
        freed = answers(desk.returned(give_back(got[0]["r0"]), 0.2))
        self.assertIsInstance(freed["r2"], Permit)

    def test_permit_of_a_lost_entry_keeps_its_slot_until_the_status_shows_less(self):
        desk = make_desk(slots=1)
        desk.request(ask("r0"), "e", 0.1)
        desk.entry_lost("e", 0.2)
        desk.request(ask("r1"), "f", 0.3)
        self.assertEqual(desk.target_status("t1", "i1", 1.0, 1, 2.0, 2.0), [])
        freed = answers(desk.target_status("t1", "i1", 1.0, 0, 2.5, 2.5))
        self.assertIsInstance(freed["r1"], Permit)

    def test_takeover_waits_for_a_status_and_starts_cold(self):
        desk = PermitDesk("winkel", 0, 2, JournalIndex("winkel", 0, 2))
        desk.add_target("t1", "127.0.0.1:1", 3, 100, 0.0)
        self.assertEqual(desk.request(ask("r0"), "e", 0.1), [])
        self.assertEqual(desk.target_status("t1", "i1", 1.0, 1, 0.2, 0.2), [])
        got = answers(desk.target_status("t1", "i1", 1.0, 0, 0.3, 0.3))
        self.assertIsInstance(got["r0"], Permit)
        self.assertEqual(desk.request(ask("r1"), "e", 0.4), [])

    def test_draining_target_gets_no_new_permit(self):
        desk = make_desk()
        desk.set_draining("t1", True, 0.0)
        self.assertEqual(desk.request(ask("r0"), "e", 0.1), [])

    def test_without_authority_nothing_is_issued(self):
        desk = make_desk(may_issue=lambda now: now < 1.0)
        self.assertEqual(desk.request(ask("r0"), "e", 1.5), [])


class KeyedTests(unittest.TestCase):
    """Guard against permits for a target that does not own the key."""

    def test_request_without_owner_waits_and_ends_by_its_deadline(self):
        owners = []
        desk = make_desk(keyed=True)
        desk.issuer._owner_of = lambda *_: owners[0] if owners else None
        self.assertEqual(desk.request(ask("r0", deadline=1.0), "e", 0.0), [])
        desk.request(ask("r1", deadline=9.0), "e", 0.0)
        self.assertEqual(answers(desk.tick(1.1))["r0"].outcome, "not-run")
        owners.append(("t1", 4))
        self.assertEqual(answers(desk.tick(1.2))["r1"].epoch, 4)

    def test_stale_return_leads_to_a_new_permit_without_retry_budget(self):
        desk = make_desk(keyed=True)
        for _ in range(100):
            desk.retries.spend()
        permit = answers(desk.request(ask("r0"), "e", 0.0))["r0"]
        desk.returned(give_back(permit, "not-run", status=421, stale=True), 0.1)
        again = answers(desk.request(ask("r0", attempt=1, free_retry=True), "e", 0.2))[
            "r0"
        ]
        self.assertNotEqual(again.permit_id, permit.permit_id)
        desk.returned(give_back(again, "not-run", status=503, shed=True), 0.3)
        third = answers(desk.request(ask("r0", attempt=2), "e", 0.4))["r0"]
        self.assertEqual(third.reason, "retry budget is spent")

    def test_refused_connection_closes_the_target_until_its_next_status(self):
        desk = make_desk(keyed=True)
        permit = answers(desk.request(ask("r0"), "e", 0.1))["r0"]
        desk.returned(give_back(permit, "not-run", status=503, refused=True), 0.2)
        # A permit here would only meet the next refused connection.
        again = ask("r0", attempt=1, free_retry=True)
        self.assertEqual(answers(desk.request(again, "e", 0.3)), {})
        got = desk.target_status("t1", "i1", 1.0, 0, 0.4, 0.4)
        self.assertIsInstance(answers(got)["r0"], Permit)


class IdempotencyKeyTests(unittest.TestCase):
    """Guard against a second run of a request that must run once."""

    def test_intent_is_durable_before_the_permit_and_repeats_wait(self):
        desk = make_desk()
        actions = desk.request(ask("r0", key="k"), "e", 0.0)
        self.assertEqual(answers(actions), {})
        self.assertEqual(answers(desk.request(ask("r1", key="k"), "f", 0.0)), {})
        permit = answers(run_intent(desk, actions, 0.1))["r0"]
        got = desk.returned(give_back(permit, answer=ANSWER), 0.2)
        self.assertEqual(answers(got)["r1"].replay, ANSWER)
        self.assertTrue(any(isinstance(a, WriteOutcome) for a in got))
        wrong = ask("r2", key="k", fingerprint=8)
        self.assertEqual(answers(desk.request(wrong, "e", 0.3))["r2"].status, 422)

    def test_unknown_outcome_is_never_run_again(self):
        desk = make_desk()
        actions = desk.request(ask("r0", key="k"), "e", 0.0)
        permit = answers(run_intent(desk, actions, 0.1))["r0"]
        desk.request(ask("r1", key="k"), "f", 0.1)
        got = answers(desk.returned(give_back(permit, "unknown", broken=True), 0.2))
        self.assertEqual(got["r1"].outcome, "unknown")

    def test_repeat_that_gives_up_is_not_told_not_run(self):
        desk = make_desk()
        run_intent(desk, desk.request(ask("r0", key="k"), "e", 0.0), 0.0)
        desk.request(ask("r1", key="k", deadline=1.0), "f", 0.1)
        self.assertEqual(answers(desk.tick(1.2))["r1"].outcome, "unknown")

    def test_failed_journal_refuses_without_running(self):
        desk = make_desk()
        intent = desk.request(ask("r0", key="k"), "e", 0.0)[0]
        got = answers(desk.journaled("r0", intent.sequence, False, 0.1))
        self.assertEqual(got["r0"].outcome, "not-run")

    def test_handover_keeps_permits_and_records(self):
        old = make_desk()
        run = run_intent(old, old.request(ask("r0", key="k"), "e", 0.0), 0.0)
        permit = answers(run)["r0"]
        old.close(1.0)
        new = PermitDesk("winkel", 0, 2, JournalIndex("winkel", 0, 2))
        new.restore(old.export(1.0), 101.0)
        self.assertEqual(new.targets_by_id["t1"].in_use, 1)
        new.request(ask("r1", key="k"), "f", 101.1)
        got = answers(new.returned(give_back(permit, answer=ANSWER), 101.2))
        self.assertEqual(got["r1"].replay, ANSWER)


class CrashTests(unittest.TestCase):
    """Guard against one request that takes down target after target."""

    def test_request_runs_alone_after_one_crash_and_never_after_two(self):
        desk = make_desk(("t1", "t2", "t3"))
        first = answers(desk.request(ask("r0", fingerprint=66), "e", 0.0))["r0"]
        desk.target_lost(first.target, 0.1)
        desk.returned(give_back(first, "unknown", broken=True), 0.1)
        for target in {"t1", "t2", "t3"} - {first.target}:
            desk.request(ask(f"x{target}"), "e", 0.2)
        self.assertEqual(answers(desk.request(ask("r1", fingerprint=66), "e", 0.3)), {})
        busy = desk.issuer.permits()
        done = {}
        for permit in [p for p in busy if p.lost_at is None]:
            done.update(answers(desk.returned(give_back(permit), 0.4)))
        second = done["r1"]
        desk.returned(give_back(second, "unknown", broken=True), 0.5)
        refused = answers(desk.request(ask("r2", fingerprint=66), "e", 0.6))["r2"]
        self.assertEqual(refused.outcome, "not-run")
        other = answers(desk.request(ask("r3"), "e", 0.7))["r3"]
        self.assertIsInstance(other, Permit)

    def test_status_of_the_same_incarnation_clears_a_broken_connection(self):
        desk = make_desk()
        permit = answers(desk.request(ask("r0"), "e", 0.0))["r0"]
        desk.returned(give_back(permit, "unknown", broken=True), 0.1)
        self.assertTrue(desk.hold.must_run_alone(7))
        desk.target_status("t1", "i1", 1.0, 0, 0.2, 0.2)
        self.assertFalse(desk.hold.must_run_alone(7))


class HedgeTests(unittest.TestCase):
    """Guard against hedges of requests that must not run twice."""

    def warm(self, desk):
        for i in range(30):
            got = answers(desk.request(ask(f"w{i}"), "e", i * 0.1))[f"w{i}"]
            desk.returned(give_back(got), i * 0.1 + 0.01)
        return desk

    def test_hedge_goes_to_another_target_within_the_budget(self):
        desk = self.warm(make_desk(("t1", "t2")))
        permit = answers(desk.request(ask("r0"), "e", 5.0))["r0"]
        self.assertIsNotNone(permit.hedge_after)
        hedge = ask("h0", hedge_of="r0")
        second = answers(desk.request(hedge, "e", 5.1))["h0"]
        self.assertNotEqual(second.target, permit.target)
        loser = give_back(permit, "unknown", ended=True, latency=0.5)
        desk.returned(loser, 5.2)
        self.assertEqual(desk.targets_by_id[permit.target].in_use, 0)

    def test_keyed_and_non_idempotent_requests_are_never_hedged(self):
        keyed = self.warm(make_desk(("t1", "t2"), keyed=True))
        permit = answers(keyed.request(ask("r0"), "e", 5.0))["r0"]
        self.assertIsNone(permit.hedge_after)
        plain = self.warm(make_desk(("t1", "t2")))
        got = answers(plain.request(ask("r0", idempotent=False), "e", 5.0))["r0"]
        self.assertIsNone(got.hedge_after)


class CancelTests(unittest.TestCase):
    """Guard against permits for callers that have left."""

    def test_cancelled_request_leaves_the_queue(self):
        desk = make_desk(slots=1)
        permit = answers(desk.request(ask("r0"), "e", 0.0))["r0"]
        desk.request(ask("r1"), "e", 0.1)
        cancel = PermitCancel("winkel", 0, "r1")
        self.assertEqual(answers(desk.cancel(cancel, 0.2))["r1"].outcome, "not-run")
        self.assertEqual(answers(desk.returned(give_back(permit), 0.3)), {})

    def test_permit_that_did_not_arrive_is_freed(self):
        desk = make_desk(slots=1)
        desk.request(ask("r0"), "e", 0.0)
        desk.request(ask("r1"), "e", 0.1)
        got = answers(desk.cancel(PermitCancel("winkel", 0, "r0"), 0.2))
        self.assertIsInstance(got["r1"], Permit)


if __name__ == "__main__":
    unittest.main()
