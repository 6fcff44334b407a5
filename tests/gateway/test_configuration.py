"""Tests of the route table and of splits."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.gateway.configuration import RouteTable, SplitPart, WeightedRoundRobin
from tests.gateway.samples import route

FIXED = settings(derandomize=True, deadline=None, database=None)


class RouteTableTest(unittest.TestCase):
    """The route with the longest matching prefix of the host is found."""

    def setUp(self) -> None:
        self.all = route("all", "/")
        self.times = route("times", "/times/")
        self.quays = route("quays", "/times/quays/")
        self.table = RouteTable((self.all, self.times, self.quays))

    def test_the_longest_prefix_is_found(self) -> None:
        for path, expected in (
            ("/times/quays/7", self.quays),
            ("/times/quays", self.times),
            ("/times/", self.times),
            ("/times", self.all),
            ("/timesheet/x", self.all),
            ("/other?at=/times/quays/", self.all),
        ):
            with self.subTest(path):
                self.assertIs(expected, self.table.find("Quay.example:80", path))

    def test_unknown_host_or_path_has_no_route(self) -> None:
        table = RouteTable((self.times,))
        self.assertIsNone(table.find("other.example", "/times/"))
        self.assertIsNone(table.find("quay.example", "/time"))
        self.assertIsNone(table.find("quay.example", "no-slash"))


class WeightedRoundRobinTest(unittest.TestCase):
    """Each part gets its share of any series of requests."""

    @FIXED
    @given(
        st.lists(st.integers(1, 100), min_size=1, max_size=4),
        st.integers(0, 300),
        st.integers(1, 200),
    )
    def test_each_part_is_within_a_few_requests_of_its_share(
        self, weights: list[int], skipped: int, span: int
    ) -> None:
        parts = tuple(SplitPart(f"s{i}", float(w)) for i, w in enumerate(weights))
        turns = WeightedRoundRobin(parts)
        for _ in range(skipped):
            turns.next()
        counts = Counter(turns.next() for _ in range(span))
        for part in parts:
            share = span * part.weight / sum(weights)
            self.assertLessEqual(abs(counts[part.service] - share), len(parts))
