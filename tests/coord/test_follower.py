"""Tests of the versioned follower."""

import unittest

from expression import Error, Ok, Result
from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.coord.errors import InvariantError
from briarspur.coord.follower import Follower, OfferResult
from briarspur.coord.invariants import invariants
from briarspur.coord.store import StoredObject


def parse(stored: StoredObject) -> Result[bytes, str]:
    return Error("bad") if stored.value.startswith(b"bad") else Ok(stored.value)


def version(number: int, value: bytes = b"x") -> StoredObject:
    return StoredObject("policy", number, value)


class FollowerTest(unittest.TestCase):
    """The version in force only increases."""

    def setUp(self) -> None:
        invariants.strict = True
        self.changes: list[bytes] = []
        self.follower = Follower("policy", parse, self.changes.append)

    def test_an_older_version_is_ignored_and_counted(self) -> None:
        """Guard against a stale read that restores an old policy and undoes a drain."""
        self.follower.offer(version(2, b"drained"))
        self.assertIs(self.follower.offer(version(1, b"serving")), OfferResult.OLD)
        self.assertEqual(self.follower.value, b"drained")
        self.assertEqual(self.follower.counts[OfferResult.OLD], 1)

    def test_a_rejected_version_does_not_block_later_ones(self) -> None:
        self.follower.offer(version(1, b"good"))
        self.assertIs(self.follower.offer(version(2, b"bad")), OfferResult.REJECTED)
        self.assertEqual((self.follower.version, self.follower.seen_version), (1, 2))
        self.assertEqual(self.follower.rejection_reason(2), "bad")
        self.assertFalse(self.follower.wants(2))
        self.assertIs(self.follower.offer(version(3, b"good again")), OfferResult.IN_FORCE)
        self.assertEqual(self.changes, [b"good", b"good again"])

    def test_two_values_with_the_same_version_conflict(self) -> None:
        self.follower.offer(version(1, b"x"))
        self.assertIs(self.follower.offer(version(1, b"x")), OfferResult.SAME)
        with self.assertRaises(InvariantError):
            self.follower.offer(version(1, b"y"))
        invariants.strict = False
        self.assertIs(self.follower.offer(version(1, b"y")), OfferResult.CONFLICT)
        self.assertEqual(self.follower.value, b"x")

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.lists(st.integers(1, 12), max_size=40), st.sets(st.integers(1, 12)))
    def test_any_order_ends_at_the_highest_valid_one(self, seen: list[int], bad: set[int]) -> None:
        follower = Follower("policy", parse)
        for number in seen:
            before = follower.version
            follower.offer(version(number, b"bad" if number in bad else b"x%d" % number))
            self.assertGreaterEqual(follower.version, before)
        self.assertEqual(follower.version, max([n for n in seen if n not in bad], default=0))
