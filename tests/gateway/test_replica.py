"""Tests of the copies of the store's objects."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.gateway.replica import Batch, Kind, Replica, StoredChange

FIXED = settings(derandomize=True, deadline=None, database=None)


def change(name: str, revision: int, deleted: bool = False) -> StoredChange:
    return StoredChange(name, revision, None if deleted else {"at": revision})


class ReplicaTest(unittest.TestCase):
    """No object returns to an older revision, whatever the order of the batches."""

    def test_an_older_whole_copy_removes_nothing(self) -> None:
        """Guard against the loss of a server when a slow peer's copy arrives after later changes.

        The copy does not include a server that has registered since. If it were applied, that
        server would get no requests until its next registration.
        """
        replica = Replica(Kind.TARGETS)
        replica.apply(Batch(9, (change("new", 9),), whole=True))
        self.assertEqual([], replica.apply(Batch(5, (change("old", 3),), whole=True)))
        self.assertEqual(("new",), tuple(c.name for c in replica.newer_than(0).changes))

    def test_a_whole_copy_deletes_the_objects_it_lacks(self) -> None:
        replica = Replica(Kind.TARGETS)
        replica.apply(Batch(2, (change("a", 1), change("b", 2)), whole=True))
        applied = replica.apply(Batch(7, (change("b", 2),), whole=True))
        self.assertEqual([("a", None)], [(c.name, c.value) for c in applied])

    def test_an_object_created_again_is_applied(self) -> None:
        replica = Replica(Kind.EVACUATIONS)
        replica.apply(Batch(4, (change("zone", 4),)))
        replica.apply(Batch(6, (change("zone", 5, deleted=True),)))
        self.assertEqual(1, len(replica.apply(Batch(8, (change("zone", 8),)))))

    @FIXED
    @given(st.data())
    def test_two_copies_agree_after_any_exchange(self, data: st.DataObject) -> None:
        """A follower that pulls from a leader at any moments ends with the leader's objects."""
        leader, follower = Replica(Kind.TARGETS), Replica(Kind.TARGETS)
        for revision in range(1, data.draw(st.integers(1, 40))):
            name = data.draw(st.sampled_from("abc"))
            deleted = data.draw(st.booleans())
            leader.apply(Batch(revision, (change(name, revision, deleted),)))
            if data.draw(st.booleans()):
                follower.apply(leader.newer_than(follower.revision))
        follower.apply(leader.newer_than(follower.revision))
        self.assertEqual(
            sorted(leader.newer_than(0).changes, key=str),
            sorted(follower.newer_than(0).changes, key=str),
        )
        self.assertEqual(leader.revision, follower.revision)
