"""Tests of outlier ejection."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.coord.invariants import invariants
from briarspur.coord.outlier import Outliers

TARGETS = ["t1", "t2", "t3", "t4"]


def fail(outliers: Outliers, target: str, now: float, times: int = 5) -> None:
    for _ in range(times):
        outliers.record(target, False, now)


class OutliersTest(unittest.TestCase):
    """Own outcomes decide, down to a floor."""

    def setUp(self) -> None:
        invariants.strict = True
        self.outliers = Outliers(TARGETS)

    def test_failures_in_a_row_eject_then_probation(self) -> None:
        fail(self.outliers, "t1", now=0.0)
        self.assertTrue(self.outliers.ejected("t1", 4.9))
        self.assertFalse(self.outliers.ejected("t1", 5.0))
        self.outliers.record("t1", False, 5.0)
        self.assertTrue(self.outliers.ejected("t1", 14.9), "the second ejection lasts longer")

    def test_successes_end_the_probation(self) -> None:
        fail(self.outliers, "t1", now=0.0)
        for _ in range(3):
            self.outliers.record("t1", True, 6.0)
        self.outliers.record("t1", False, 6.0)
        self.assertFalse(self.outliers.ejected("t1", 6.0))

    def test_share_of_failures_ejects(self) -> None:
        for n in range(20):
            self.outliers.record("t2", n % 2 == 0, 0.0)
        self.assertTrue(self.outliers.ejected("t2", 0.0))

    def test_over_half_bad_suspects_the_measurement(self) -> None:
        """All callers of a service crowd on one server while the others idle.

        A link of the entry drops every second connection, so nearly all servers look bad to it.
        Leaving these out would send all callers to the last one and crush it.
        """
        fail(self.outliers, "t1", now=0.0)
        fail(self.outliers, "t2", now=0.0)
        self.assertEqual(self.outliers.ejected_targets(0.0), {"t1", "t2"})
        fail(self.outliers, "t3", now=0.0)
        self.assertTrue(self.outliers.suspects_measurement(0.0))
        self.assertEqual(self.outliers.ejected_targets(0.0), frozenset())

    def test_a_target_that_left_is_forgotten(self) -> None:
        fail(self.outliers, "t1", now=0.0)
        self.outliers.set_targets(["t2"])
        self.outliers.record("t1", False, 0.0)
        self.assertFalse(self.outliers.ejected("t1", 0.0))

    @settings(derandomize=True, deadline=None, database=None)
    @given(
        st.lists(st.tuples(st.sampled_from(TARGETS), st.booleans(), st.floats(0, 3)), max_size=200)
    )
    def test_never_more_than_half(self, steps: list[tuple[str, bool, float]]) -> None:
        outliers = Outliers(TARGETS)
        now = 0.0
        for target, ok, pause in steps:
            now += pause
            outliers.record(target, ok, now)
            self.assertLessEqual(len(outliers.ejected_targets(now)), 2)
