"""Tests of rendezvous hashing."""

import os
import subprocess
import sys
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.coord.rendezvous import capacity, owners, rank

NAMES = st.integers(1, 12).map(lambda count: [f"entry-{n}" for n in range(count)])
KEYS = st.integers(0, 40).map(lambda count: [f"target-{n}" for n in range(count)])
FIXED = settings(derandomize=True, deadline=None, database=None)


class RankTest(unittest.TestCase):
    """Every process ranks members in the same order."""

    def test_rank_does_not_depend_on_the_hash_seed(self) -> None:
        code = "from briarspur.coord.rendezvous import rank; print(rank('k', 'abcdefgh'))"
        printed = {
            subprocess.run(
                [sys.executable, "-c", code],
                env={**os.environ, "PYTHONHASHSEED": seed},
                capture_output=True,
                check=True,
            ).stdout
            for seed in ("1", "2")
        }
        self.assertEqual(printed, {f"{rank('k', 'hgfedcba')}\n".encode()})

    def test_first_ranks_are_spread_evenly(self) -> None:
        members = [f"entry-{n}" for n in range(10)]
        firsts = Counter(rank(f"key-{n}", members)[0] for n in range(2000))
        self.assertEqual(len(firsts), 10)
        self.assertLess(max(firsts.values()), 1.3 * min(firsts.values()) + 40)


class OwnersTest(unittest.TestCase):
    """The number of keys of a member is bounded, and few keys move."""

    @FIXED
    @given(KEYS, NAMES, st.randoms(use_true_random=False))
    def test_load_is_bounded_and_order_does_not_matter(self, keys, members, random) -> None:
        found = owners(keys, members)
        self.assertEqual(set(found), set(keys))
        if keys:
            most = max(Counter(found.values()).values())
            self.assertLessEqual(most, capacity(len(keys), len(members)))
        shuffled = random.sample(members, len(members))
        self.assertEqual(owners(random.sample(keys, len(keys)), shuffled), found)

    def test_few_keys_move_when_a_member_leaves(self) -> None:
        """A key moves only if its owner left or the free capacity of others changed."""
        members = [f"entry-{n}" for n in range(10)]
        keys = [f"target-{n}" for n in range(200)]
        before = owners(keys, members)
        moved = 0
        for gone in members:
            after = owners(keys, [member for member in members if member != gone])
            moved += sum(1 for key in keys if before[key] != after[key])
        # Each member left once, so at least 200 moves in total are unavoidable.
        self.assertGreaterEqual(moved, 200)
        self.assertLess(moved, 400)

    def test_without_members_there_are_no_owners(self) -> None:
        self.assertEqual(owners(["target-1"], []), {})
