"""Test permits and the journal over several instances in one process."""

import unittest

import attrs
import trio
from trio.testing import MockClock

from fireflystand_core.exceptions import StoreConflictError, StoreUnavailableError
from fireflystand_core.journal import decode_batch
from fireflystand_core.messages import (
    Hello,
    JournalAppend,
    JournalEntry,
    Permit,
    PermitCancel,
    PermitRefused,
    PermitRequest,
    PermitReturn,
    StoredAnswer,
)
from fireflystand_router.journal_writer import (
    JournalClient,
    JournalReader,
    JournalWriter,
)
from fireflystand_router.peers import PeerLink, PeerUnavailableError
from fireflystand_router.permit_host import PermitHost
from fireflystand_router.permits import PermitClient
from fireflystand_router.store import StoredObject, StoreSnapshot
from fireflystand_router.view import ClaimInfo, ClusterView

ANSWER = StoredAnswer(201, [], b"done")


class FakeStore:
    """Hold objects in memory with the faults of the object store."""

    def __init__(self):
        self.objects, self.revision, self.down, self.lose = {}, 0, False, 0
        self.in_flight = self.most_in_flight = self.lists = 0

    async def _call(self):
        await trio.sleep(0.005)
        if self.down:
            raise StoreUnavailableError("down")

    async def get(self, key):
        await self._call()
        return self.objects.get(key)

    async def put(self, key, value, expected_version):
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        try:
            await self._call()
        finally:
            self.in_flight -= 1
        found = self.objects.get(key)
        if (found.version if found else 0) != expected_version:
            raise StoreConflictError("other version")
        self.revision += 1
        self.objects[key] = StoredObject(key, self.revision, value)
        if self.lose:
            self.lose -= 1
            raise StoreUnavailableError("response lost")
        return self.revision

    async def delete(self, key, expected_version):
        await self._call()
        del self.objects[key]

    async def list(self, prefix):
        self.lists += 1
        await self._call()
        found = [o for k, o in sorted(self.objects.items()) if k.startswith(prefix)]
        return StoreSnapshot(self.revision, found)


def reader_of(store, wall=1000.0):
    return JournalReader(store, lambda: [0, 1], lambda: 600.0, lambda: wall)


class Authority:
    """Stand in for the group's coordinator."""

    owner_of = None

    def __init__(self, epoch, cluster):
        self.epoch, self.cluster, self.valid = epoch, cluster, True
        self.predecessor_unjournaled = cluster.marked

    @property
    def suspects(self):
        return self.cluster.suspects

    def may_issue(self, now):
        return self.valid

    def shard_of(self, key_hash, shard):
        return shard

    def note_request(self, key_hash, shard):
        self.cluster.noted.append((key_hash, shard))

    async def mark_unjournaled(self):
        self.cluster.marked = True
        return True

    async def clear_unjournaled(self):
        self.cluster.marked = False

    async def store_suspects(self, suspects):
        self.cluster.suspects = suspects


class Cluster:
    """Connect hosts and clients through a network that loses messages."""

    def __init__(self, nursery):
        self.nursery, self.store, self.view = nursery, FakeStore(), ClusterView()
        self.marked, self.suspects, self.noted = False, [], []
        self.hosts, self.clients, self.links = {}, {}, {}
        self.dead, self.lose_returns, self.epoch, self.authority = set(), 0, 0, None

    async def add(self, name):
        network = Network(self, name)
        journal = JournalClient(name, network, self.view)
        if not self.clients:
            writer = JournalWriter(0, self.store, 600.0, lambda: 1000.0)
            await writer.start(self.nursery)
            journal.writers_by_number[0] = writer
            claim = ClaimInfo("journal", 0, 1, name, "1")
            self.view.claims_by_group[("journal", 0)] = claim
            self.journal = journal

        load = reader_of(self.store).load
        host = PermitHost(name, self.view, journal.append, load, wall=lambda: 1000.0)
        await host.start(self.nursery)
        client = PermitClient(name, network, self.view, host)
        await client.start(self.nursery)
        self.hosts[name], self.clients[name] = host, client
        self.links[name] = PeerLink(Hello(name, "1", "a", ""))

    async def coordinate(self, name, state=None):
        self.epoch += 1
        if self.authority is not None:
            self.authority.valid = False
        self.authority = Authority(self.epoch, self)
        host = self.hosts[name]
        desk = await host.start_group("drukwerk", 0, self.authority, state)
        now = trio.current_time()
        host.act("drukwerk", 0, desk.add_target("t1", "x", 3, 100, now))
        if state is None:
            await trio.sleep(0.01)
            now = trio.current_time()
            status = desk.target_status("t1", "i", 1.0, 0, now, now)
            host.act("drukwerk", 0, status)
        if not self.store.down:
            await host._groups["drukwerk", 0].loaded.wait()
        claim = ClaimInfo("drukwerk", 0, self.epoch, name, "1")
        self.view.claims_by_group[("drukwerk", 0)] = claim
        return desk

    def kill(self, name):
        self.dead.add(name)
        self.authority.valid = False
        self.links[name].lost.set()


class Network:
    """Deliver the messages of one instance."""

    def __init__(self, cluster, name):
        self.cluster, self.name = cluster, name

    def send(self, instance, message):
        if instance not in self.cluster.dead and isinstance(message, PermitCancel):
            self.cluster.hosts[instance].cancel(message)

    async def request(self, instance, message, timeout=1.0):
        cluster = self.cluster
        link = cluster.links[self.name]
        host = cluster.hosts[instance]
        with trio.move_on_after(timeout):
            await trio.sleep(0.001)
            if instance in cluster.dead:
                raise PeerUnavailableError("dead", step="", peer=instance)
            if isinstance(message, PermitRequest):
                answer = await host.handle_request(message, link)
            elif isinstance(message, PermitReturn):
                if cluster.lose_returns:
                    cluster.lose_returns -= 1
                    raise PeerUnavailableError("lost", step="", peer=instance)
                answer = await host.handle_return(message, link)
            else:
                answer = await cluster.journal.handle_append(message, link)
            if instance not in cluster.dead:
                return answer
        raise PeerUnavailableError("no answer", step="", peer=instance)


def order(request_id, key="k", deadline=5.0, idempotent=False):
    return PermitRequest(
        request_id, "drukwerk", 0, 0, 1, "gent", idempotent, 7, deadline, key
    )


def give_back(permit, request, outcome="answered", **fields):
    return PermitReturn(
        "drukwerk",
        0,
        permit.permit_id,
        outcome,
        201,
        0.01,
        answer=ANSWER if outcome == "answered" else None,
        **fields,
    )


class ClusterTestCase(unittest.TestCase):
    """Run scenarios on a clock that jumps."""

    def run_cluster(self, scenario):
        async def main():
            async with trio.open_nursery() as nursery:
                cluster = Cluster(nursery)
                for name in ("a", "b", "c"):
                    await cluster.add(name)
                await cluster.coordinate("b")
                with trio.fail_after(100):
                    await scenario(cluster)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    async def run_order(self, cluster, name="a", request_id="r0"):
        """Send an order through to its answer and wait for the return."""
        request = order(request_id)
        client = cluster.clients[name]
        permit = await client.acquire(request)
        self.assertIsInstance(permit, Permit)
        client.give_back(give_back(permit, request))
        while client.unacknowledged:
            await trio.sleep(0.05)


class RepeatTests(ClusterTestCase):
    """Guard against an order that runs twice when it is sent again."""

    def test_repeat_through_another_instance_gets_the_first_answer(self):
        async def scenario(cluster):
            await self.run_order(cluster)
            again = await cluster.clients["c"].acquire(order("r1"))
            self.assertEqual(again.replay, ANSWER)
            self.assertEqual(cluster.noted, [(1, 0), (1, 0)])

        self.run_cluster(scenario)

    def test_repeat_at_the_same_moment_waits_for_the_first(self):
        async def scenario(cluster):
            answers = []

            async def send(name, request):
                client = cluster.clients[name]
                answers.append((client, request, await client.acquire(request)))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, "a", order("r0"))
                nursery.start_soon(send, "c", order("r1"))
                await trio.sleep(0.5)
                self.assertEqual(len(answers), 1)
                client, request, permit = answers[0]
                client.give_back(give_back(permit, request))
            self.assertEqual(answers[1][2].replay, ANSWER)

        self.run_cluster(scenario)

    def test_after_the_coordinator_died_the_answer_is_read_back(self):
        async def scenario(cluster):
            await self.run_order(cluster)
            await trio.sleep(0.2)
            cluster.kill("b")
            await cluster.coordinate("c")
            again = await cluster.clients["a"].acquire(order("r1"))
            self.assertEqual(again.replay, ANSWER)

        self.run_cluster(scenario)

    def test_coordinator_dies_while_the_order_runs(self):
        async def scenario(cluster):
            request = order("r0")
            permit = await cluster.clients["a"].acquire(request)
            cluster.kill("b")
            await cluster.coordinate("c")
            again = await cluster.clients["c"].acquire(order("r1"))
            self.assertEqual(again.outcome, "unknown")
            cluster.clients["a"].give_back(give_back(permit, request))
            await trio.sleep(0.5)
            again = await cluster.clients["c"].acquire(order("r2"))
            self.assertEqual(again.replay, ANSWER)

        self.run_cluster(scenario)

    def test_coordinator_dies_before_the_permit_and_the_request_asks_again(self):
        async def scenario(cluster):
            got = []

            async def send():
                got.append(await cluster.clients["a"].acquire(order("r0")))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                await trio.sleep(0.004)
                cluster.kill("b")
                await trio.sleep(1.0)
                await cluster.coordinate("c")
            self.assertIsInstance(got[0], Permit)
            again = await cluster.clients["c"].acquire(order("r1", deadline=0.5))
            self.assertEqual(again.outcome, "unknown")

        self.run_cluster(scenario)

    def test_store_outage_keeps_orders_unique_and_marks_a_gap(self):
        async def scenario(cluster):
            cluster.store.down = True
            await self.run_order(cluster)
            self.assertTrue(cluster.marked)
            again = await cluster.clients["c"].acquire(order("r1"))
            self.assertEqual(again.replay, ANSWER)
            cluster.kill("b")
            cluster.store.down = False
            await cluster.coordinate("c")
            late = await cluster.clients["a"].acquire(order("r2"))
            self.assertEqual(late.outcome, "unknown")

        self.run_cluster(scenario)

    def test_after_the_outage_entries_are_written_and_the_marker_is_dropped(self):
        async def scenario(cluster):
            cluster.store.down = True
            await self.run_order(cluster)
            cluster.store.down = False
            while cluster.marked:
                await trio.sleep(0.1)
            cluster.kill("b")
            await cluster.coordinate("c")
            late = await cluster.clients["a"].acquire(order("r2"))
            self.assertEqual(late.replay, ANSWER)

        self.run_cluster(scenario)


class HostTests(ClusterTestCase):
    """Guard against lost slots, lost state and wrong refusals."""

    def test_answer_is_durable_before_its_return_is_acknowledged(self):
        async def scenario(cluster):
            request, client = order("r0"), cluster.clients["a"]
            permit = await client.acquire(request)
            client.give_back(give_back(permit, request))
            while client.unacknowledged:
                await trio.sleep(0.0005)
            states = [
                entry.state
                for stored in cluster.store.objects.values()
                for batch in stored.value["batches"]
                for entry in decode_batch(batch)
            ]
            self.assertEqual(states, ["intent", "answered"])

        self.run_cluster(scenario)

    def test_hint_leads_to_the_coordinator_after_a_handover(self):
        async def scenario(cluster):
            request = order("r0")
            permit = await cluster.clients["a"].acquire(request)
            state = cluster.hosts["b"].stop_group("drukwerk", 0)
            await cluster.coordinate("c", state)
            cluster.clients["a"].give_back(give_back(permit, request))
            again = await cluster.clients["b"].acquire(order("r1"))
            self.assertEqual(again.replay, ANSWER)
            refused = await cluster.hosts["b"].request(order("r2"), "a")
            self.assertEqual(refused.coordinator, "c")

        self.run_cluster(scenario)

    def test_lost_returns_are_sent_again(self):
        async def scenario(cluster):
            cluster.lose_returns = 3
            await self.run_order(cluster)
            desk = cluster.hosts["b"].desk_of("drukwerk", 0)
            self.assertEqual(desk.targets_by_id["t1"].in_use, 0)

        self.run_cluster(scenario)

    def test_lost_entry_keeps_its_slot_and_its_requests_leave_the_queue(self):
        async def scenario(cluster):
            desk = cluster.hosts["b"].desk_of("drukwerk", 0)
            await cluster.clients["a"].acquire(order("r0", None))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cluster.clients["a"].acquire, order("r1", None))
                await trio.sleep(0.1)
                self.assertEqual(len(desk.waiting()), 1)
                cluster.links["a"].lost.set()
                await trio.sleep(0.1)
                self.assertEqual(desk.waiting(), [])
            self.assertEqual(desk.targets_by_id["t1"].in_use, 1)

        self.run_cluster(scenario)

    def test_caller_that_leaves_frees_its_place(self):
        async def scenario(cluster):
            desk = cluster.hosts["b"].desk_of("drukwerk", 0)
            await cluster.clients["a"].acquire(order("r0", None))
            with trio.move_on_after(0.2):
                await cluster.clients["c"].acquire(order("r1", None))
            self.assertEqual(desk.waiting(), [])

        self.run_cluster(scenario)

    def test_without_a_coordinator_the_request_ends_by_its_deadline(self):
        async def scenario(cluster):
            cluster.kill("b")
            started = trio.current_time()
            refused = await cluster.clients["a"].acquire(order("r0", None, 1.0))
            self.assertIsInstance(refused, PermitRefused)
            self.assertLess(trio.current_time() - started, 1.2)

        self.run_cluster(scenario)


class JournalWriterTests(unittest.TestCase):
    """Guard against entries that are lost or written twice."""

    def run_writer(self, scenario):
        async def main():
            async with trio.open_nursery() as nursery:
                store = FakeStore()
                writer = JournalWriter(0, store, 600.0, lambda: 1000.0)
                await writer.start(nursery)
                with trio.fail_after(100):
                    await scenario(store, writer)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    def entry(self, number):
        return JournalEntry("winkel", 0, 1, f"k{number}", 1, "intent", 1000.0)

    def test_concurrent_appends_share_writes_one_at_a_time(self):
        async def scenario(store, writer):
            async with trio.open_nursery() as nursery:
                for i in range(50):
                    append = JournalAppend([self.entry(i)])
                    nursery.start_soon(writer.append, append)
            self.assertLessEqual(writer.writes, 3)
            self.assertEqual(store.most_in_flight, 1)
            loaded = await reader_of(store).load("winkel", 0)
            self.assertEqual(len(loaded), 50)

        self.run_writer(scenario)

    def test_lost_response_is_recognised(self):
        async def scenario(store, writer):
            store.lose = 1
            first = await writer.append(JournalAppend([self.entry(0)]))
            second = await writer.append(JournalAppend([self.entry(1)]))
            self.assertTrue(first.durable and second.durable)
            loaded = await reader_of(store).load("winkel", 0)
            self.assertEqual(len(loaded), 2)

        self.run_writer(scenario)

    def test_another_writer_of_the_group_loses_nothing(self):
        async def scenario(store, writer):
            await writer.append(JournalAppend([self.entry(0)]))
            other = JournalWriter(0, store, 600.0, lambda: 1000.0)
            async with trio.open_nursery() as nursery:
                await other.start(nursery)
                for i in range(1, 5):
                    append = JournalAppend([self.entry(i)])
                    answer = await (other if i % 2 else writer).append(append)
                    self.assertTrue(answer.durable)
                await other.close()
            loaded = await reader_of(store).load("winkel", 0)
            self.assertEqual(len(loaded), 5)

        self.run_writer(scenario)

    def test_expired_segments_are_deleted(self):
        async def scenario(store, writer):
            body = StoredAnswer(200, [], b"x" * 60_000)
            for i in range(4):
                entry = attrs.evolve(self.entry(i), answer=body)
                await writer.append(JournalAppend([entry]))
            self.assertGreater(len(store.objects), 1)
            writer._wall = lambda: 1601.0
            await writer.expire()
            self.assertEqual(len(store.objects), 1)

        self.run_writer(scenario)

    def test_read_leaves_out_what_is_past_the_retention_and_is_shared(self):
        async def scenario(store, writer):
            await writer.append(JournalAppend([self.entry(0)]))
            writer._wall = lambda: 1900.0
            other = attrs.evolve(self.entry(1), group=7)
            await writer.append(JournalAppend([self.entry(2), other]))
            self.assertEqual(len(store.objects), 2)
            reader, found = reader_of(store, 1900.0), {}
            store.lists = 0

            async def load(group):
                found[group] = await reader.load("winkel", group)

            async with trio.open_nursery() as nursery:
                for group in range(20):
                    nursery.start_soon(load, group)
            self.assertEqual([e.key for e in found[0]], ["k2"])
            self.assertEqual([e.key for e in found[7]], ["k1"])
            # Two reads at most: for the first to ask, and for all others.
            self.assertLessEqual(store.lists, 2 * 2 * 9)

        self.run_writer(scenario)

    def test_append_goes_to_the_writer_of_the_group(self):
        async def scenario(store, writer):
            view = ClusterView()
            client = JournalClient("a", None, view)
            second = JournalWriter(1, store, 600.0, lambda: 1000.0)
            client.writers_by_number.update({0: writer, 1: second})
            async with trio.open_nursery() as nursery:
                await second.start(nursery)
                for group in (0, 1, 2, 3):
                    entry = attrs.evolve(self.entry(group), group=group)
                    await client.handle_append(JournalAppend([entry]), None)
                await second.close()
            self.assertEqual((writer.writes, second.writes), (2, 2))

        self.run_writer(scenario)


if __name__ == "__main__":
    unittest.main()
