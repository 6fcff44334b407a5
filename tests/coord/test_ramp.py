"""Tests of the ramp of cold servers."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.coord.invariants import invariants
from briarspur.coord.ramp import Ramp

FAST, SLOW = 0.02, 0.5


def answer(ramp: Ramp, latency: float, times: int) -> int:
    for _ in range(times):
        ramp.answered(latency, 0.0)
    return ramp.limit(0.0)


class RampTest(unittest.TestCase):
    """Concurrency follows the latency seen."""

    def setUp(self) -> None:
        invariants.strict = True

    def test_stays_at_one_while_cold_and_grows_once_warm(self) -> None:
        """Every answer is late for a minute after a region took over another's traffic.

        Its caches are cold, and sending it all its slots' worth at once keeps every answer slow.
        The latency of its answers tells when the caches are filled.
        """
        ramp = Ramp(3, reference=FAST)
        self.assertEqual(ramp.limit(0.0), 1)
        self.assertEqual(answer(ramp, SLOW, 20), 1)
        self.assertFalse(ramp.warm)
        self.assertEqual(answer(ramp, FAST, 5), 2)
        self.assertEqual(answer(ramp, FAST, 5), 3)
        self.assertTrue(ramp.warm)

    def test_one_long_answer_is_not_cold(self) -> None:
        ramp = Ramp(3, reference=FAST)
        for _ in range(4):
            answer(ramp, FAST, 4)
            answer(ramp, SLOW, 1)
        self.assertTrue(ramp.warm)

    def test_a_rise_takes_requests_back(self) -> None:
        ramp = Ramp(3, reference=FAST)
        answer(ramp, FAST, 20)
        self.assertEqual(answer(ramp, SLOW, 10), 1)

    def test_a_slow_machine_is_measured_by_its_own_best(self) -> None:
        ramp = Ramp(3, reference=FAST)
        answer(ramp, SLOW, 50)
        self.assertEqual(answer(ramp, SLOW, 15), 3)

    def test_handover_reduces_slots_until_its_deadline(self) -> None:
        """A server sheds requests just after its owner changed.

        The old owner's requests still run while the new one sends as many of its own.
        """
        ramp = Ramp(4)
        ramp.assume_warm()
        ramp.handover(now=0.0, until=2.0)
        self.assertEqual(ramp.limit(1.9), 2)
        self.assertEqual(ramp.limit(2.0), 4)

    def test_restart_begins_at_one(self) -> None:
        ramp = Ramp(3)
        ramp.assume_warm()
        ramp.restart(1.0)
        self.assertEqual(ramp.limit(1.0), 1)

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.integers(1, 8), st.lists(st.floats(0.001, 10.0), max_size=200))
    def test_limit_stays_within_slots_and_moves_by_one(self, slots, latencies) -> None:
        ramp = Ramp(slots)
        for latency in latencies:
            before = ramp.limit(0.0)
            ramp.answered(latency, 0.0)
            self.assertLessEqual(abs(ramp.limit(0.0) - before), 1)
