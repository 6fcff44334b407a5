"""Tests of outlier ejection."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.coord.invariants import invariants
from briarspur.coord.outlier import OutlierDetector

TARGETS = ["t1", "t2", "t3", "t4"]


def fail(detector: OutlierDetector, target: str, now: float, times: int = 5) -> None:
    for _ in range(times):
        detector.record(target, False, now)


class OutlierDetectorTest(unittest.TestCase):
    """Outcomes decide which servers are ejected, up to half of them."""

    def setUp(self) -> None:
        invariants.strict = True
        self.detector = OutlierDetector(TARGETS)

    def test_consecutive_failures_eject_and_probation_follows(self) -> None:
        fail(self.detector, "t1", now=0.0)
        self.assertTrue(self.detector.ejected("t1", 4.9))
        self.assertFalse(self.detector.ejected("t1", 5.0))
        self.detector.record("t1", False, 5.0)
        self.assertTrue(self.detector.ejected("t1", 14.9), "the second ejection lasts longer")

    def test_successes_end_the_probation(self) -> None:
        fail(self.detector, "t1", now=0.0)
        for _ in range(3):
            self.detector.record("t1", True, 6.0)
        self.detector.record("t1", False, 6.0)
        self.assertFalse(self.detector.ejected("t1", 6.0))

    def test_a_large_share_of_failures_ejects(self) -> None:
        for n in range(20):
            self.detector.record("t2", n % 2 == 0, 0.0)
        self.assertTrue(self.detector.ejected("t2", 0.0))

    def test_more_than_half_unhealthy_suggests_a_common_cause(self) -> None:
        """Guard against sending all traffic of a service to one server while the others idle.

        A link of the entry drops every second connection, so nearly all servers look unhealthy to
        it. Excluding these would send all requests to the last one and overload it.
        """
        fail(self.detector, "t1", now=0.0)
        fail(self.detector, "t2", now=0.0)
        self.assertEqual(self.detector.ejected_targets(0.0), {"t1", "t2"})
        fail(self.detector, "t3", now=0.0)
        self.assertTrue(self.detector.suspects_common_cause(0.0))
        self.assertEqual(self.detector.ejected_targets(0.0), frozenset())

    def test_the_outcomes_of_a_removed_target_are_dropped(self) -> None:
        fail(self.detector, "t1", now=0.0)
        self.detector.set_targets(["t2"])
        self.detector.record("t1", False, 0.0)
        self.assertFalse(self.detector.ejected("t1", 0.0))

    @settings(derandomize=True, deadline=None, database=None)
    @given(
        st.lists(st.tuples(st.sampled_from(TARGETS), st.booleans(), st.floats(0, 3)), max_size=200)
    )
    def test_never_more_than_half(self, steps: list[tuple[str, bool, float]]) -> None:
        detector = OutlierDetector(TARGETS)
        now = 0.0
        for target, ok, pause in steps:
            now += pause
            detector.record(target, ok, now)
            self.assertLessEqual(len(detector.ejected_targets(now)), 2)
