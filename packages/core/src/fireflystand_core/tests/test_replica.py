"""Test replicas of a store that is restored from earlier copies."""

import unittest
from random import Random

from fireflystand_core.replica import (
    KindReplica,
    ObjectChange,
    ReplicaState,
    era_of,
    make_revision,
    number_of,
)

ERA_NUMBERS = (0, 1, 2**20)
STEPS = 60
SEEDS = 300
NAMES = ("a", "b", "c", "d")


def change(name: str, era: int, number: int, value: object = 1) -> ObjectChange:
    """Return a change at a number of an era."""
    return ObjectChange(name, make_revision(era, number), value)


class RevisionTests(unittest.TestCase):
    """Guard against revisions whose order does not hold over a restoration."""

    def test_revision_of_a_later_era_is_later_than_any_number_before(self):
        self.assertLess(make_revision(1, 2**40 - 1), make_revision(2, 1))

    def test_revision_without_an_era_is_the_number(self):
        self.assertEqual(make_revision(0, 77), 77)

    def test_era_and_number_are_those_given(self):
        for era in ERA_NUMBERS:
            revision = make_revision(era, 1234)
            self.assertEqual((era_of(revision), number_of(revision)), (era, 1234))


class RestoredReplicaTests(unittest.TestCase):
    """Guard against messages of before a restoration that change a replica after it."""

    def restored(self) -> KindReplica:
        """Return a replica that has the list of the restored store."""
        replica = KindReplica("k")
        before = [change("a", 0, 90), change("b", 0, 95)]
        replica.replace(make_revision(0, 100), before, 1.0)
        replica.apply(make_revision(0, 100), 101, [change("c", 0, 101)], 1.0)
        replica.apply(101, 102, [change("d", 0, 102, None)], 1.0)
        replica.replace(make_revision(1, 92), [change("a", 1, 90)], 2.0)
        return replica

    def test_objects_that_the_list_lacks_are_deleted_at_its_revision(self):
        replica = self.restored()
        self.assertEqual(list(replica.by_name), ["a"])
        restored_at = make_revision(1, 92)
        self.assertEqual(replica.deleted_by_name, {"b": restored_at, "c": restored_at})

    def test_late_push_of_before_changes_nothing(self):
        """A peer that had not seen the restoration brought back what was lost."""
        replica = self.restored()
        late = [change("a", 0, 110), change("e", 0, 111)]
        self.assertEqual(replica.apply(102, 111, late, 3.0), [])
        self.assertEqual(replica.replace(111, late, 3.0), [])
        self.assertEqual(replica.revision, make_revision(1, 92))
        self.assertEqual(list(replica.by_name), ["a"])

    def test_peer_of_a_later_era_is_pulled_although_it_changed_nothing(self):
        replica = KindReplica("k")
        replica.replace(100, [change("a", 0, 90)], 1.0)
        state = replica.confirm(make_revision(1, 92), 95, 9.0)
        self.assertIs(state, ReplicaState.OLDER)
        self.assertEqual((replica.revision, replica.confirmed_at), (100, 1.0))

    def test_peer_of_an_earlier_era_confirms_nothing(self):
        replica = self.restored()
        state = replica.confirm(150, 140, 9.0)
        self.assertIs(state, ReplicaState.CURRENT)
        self.assertEqual(replica.revision, make_revision(1, 92))
        self.assertEqual(replica.confirmed_at, 2.0)

    def test_copy_of_before_brings_the_changes_that_its_sender_got_after(self):
        """A range record written after the restoration was pulled in vain."""
        replica = KindReplica("k")
        replica.replace(104, [change("a", 0, 60), change("b", 0, 61)], 1.0)
        written = change("a", 1, 51, 2)
        copy = [written, change("b", 0, 60), change("c", 0, 62)]
        self.assertEqual(replica.replace(100, copy, 2.0), [written])
        self.assertEqual(replica.by_name["a"], written)
        self.assertEqual(set(replica.by_name), {"a", "b"})
        self.assertEqual((replica.revision, replica.confirmed_at), (104, 1.0))

    def test_changes_between_two_eras_do_not_make_a_replica_complete(self):
        """It counted as complete and kept what the restored store lacks."""
        replica = KindReplica("k")
        replica.replace(100, [change("a", 0, 90), change("b", 0, 95)], 1.0)
        replica.apply(98, make_revision(1, 93), [change("c", 1, 93)], 2.0)
        self.assertEqual((replica.revision, replica.confirmed_at), (100, 1.0))

    def test_replica_with_an_earlier_list_of_the_era_pulls_a_later_one(self):
        """It adopted the later revision and kept an object deleted in between."""
        earlier, later = KindReplica("k"), KindReplica("k")
        for replica, number, names in ((earlier, 92, "ab"), (later, 95, "a")):
            replica.replace(100, [change("a", 0, 90)], 1.0)
            items = [change(name, 1, 90) for name in names]
            replica.replace(make_revision(1, number), items, 2.0)
        state = earlier.confirm(later.revision, later.changed, 3.0)
        self.assertIs(state, ReplicaState.OLDER)
        self.assertEqual(earlier.revision, make_revision(1, 92))


class _Store:
    """Model one kind of a store that can be restored from an earlier copy."""

    def __init__(self) -> None:
        self.era = 0
        self.number = 1
        self.by_name: dict[str, ObjectChange] = {}
        self.copies: list[tuple[int, dict[str, ObjectChange]]] = []
        self.events: list[ObjectChange] = []

    @property
    def revision(self) -> int:
        return make_revision(self.era, self.number)

    def write(self, name: str, value: object) -> None:
        self.copies.append((self.number, dict(self.by_name)))
        self.number += 1
        written = ObjectChange(name, self.revision, value)
        if value is None:
            self.by_name.pop(name, None)
        else:
            self.by_name[name] = written
        self.events.append(written)

    def restore(self, random: Random) -> None:
        if not self.copies:
            return
        self.number, objects = random.choice(self.copies[-8:])
        self.copies, self.events = [], []
        self.era += 1
        self.by_name = {
            name: change(name, self.era, number_of(item.version), item.value)
            for name, item in objects.items()
        }


class ErasTests(unittest.TestCase):
    """Guard against a replica that counts as complete and differs from the store."""

    def test_late_messages_of_all_eras_leave_the_replica_as_the_store(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.play(Random(seed))

    def play(self, random: Random) -> None:
        store, replicas = _Store(), [KindReplica("k"), KindReplica("k")]
        late = []
        for replica in replicas:
            self.read(store, replica, late, 0)
        for step in range(STEPS):
            replica = random.choice(replicas)
            action = random.randrange(10)
            if action < 4:
                value = None if random.random() < 0.3 else step
                store.write(random.choice(NAMES), value)
            elif action == 4 and random.random() < 0.4:
                store.restore(random)
            elif action < 7:
                self.read(store, replica, late, step)
            elif action == 7:
                self.deliver_late(replica, late, random)
            else:
                self.exchange(*random.sample(replicas, 2), late, random)
            for known in replicas:
                self.check(store, known)

    def read(self, store, replica, late, step) -> None:
        """Watch the store, or list it if it does not have the replica's era."""
        since = replica.revision
        if not since or era_of(since) != store.era:
            replica.replace(store.revision, list(store.by_name.values()), step)
            return
        events = [event for event in store.events if event.version > since]
        replica.apply(since, store.revision, events, step)
        late.append((since, store.revision, replica.changes_after(since)))

    def deliver_late(self, replica, late, random) -> None:
        earlier = [item for item in late if era_of(item[1]) < era_of(replica.revision)]
        if earlier:
            replica.apply(*random.choice(earlier), float("-inf"))

    def exchange(self, own, peer, late, random) -> None:
        state = own.confirm(peer.revision, peer.changed, peer.confirmed_at)
        is_restored = era_of(peer.revision) > era_of(own.revision)
        if state is ReplicaState.OLDER and (is_restored or random.random() < 0.2):
            items = list(peer.by_name.values())
            own.replace(peer.revision, items, peer.confirmed_at)
        if own.revision:
            late.append((own.revision, own.revision, list(own.by_name.values())))

    def check(self, store: _Store, replica: KindReplica) -> None:
        """Check a replica that counts as complete at the store's revision."""
        if replica.revision == store.revision:
            self.assertEqual(replica.by_name, store.by_name)


if __name__ == "__main__":
    unittest.main()
