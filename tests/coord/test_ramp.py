"""Tests of the ramp of cold servers."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.coord.invariants import invariants
from briarspur.coord.ramp import Ramp

FAST, SLOW = 0.02, 0.5


def respond(ramp: Ramp, latency: float, times: int) -> int:
    for _ in range(times):
        ramp.record_latency(latency, 0.0)
    return ramp.limit(0.0)


class RampTest(unittest.TestCase):
    """The concurrency limit follows the latency."""

    def setUp(self) -> None:
        invariants.strict = True

    def test_stays_at_one_while_cold_and_grows_once_warm(self) -> None:
        """Guard against a minute of slow responses after a region took over another's traffic.

        The caches of its servers are cold, and using all slots immediately keeps every response
        slow. The latency of the responses shows when the caches are filled.
        """
        ramp = Ramp(3, reference=FAST)
        self.assertEqual(ramp.limit(0.0), 1)
        self.assertEqual(respond(ramp, SLOW, 20), 1)
        self.assertFalse(ramp.warm)
        self.assertEqual(respond(ramp, FAST, 5), 2)
        self.assertEqual(respond(ramp, FAST, 5), 3)
        self.assertTrue(ramp.warm)

    def test_one_slow_response_does_not_count_as_cold(self) -> None:
        ramp = Ramp(3, reference=FAST)
        for _ in range(4):
            respond(ramp, FAST, 4)
            respond(ramp, SLOW, 1)
        self.assertTrue(ramp.warm)

    def test_a_rise_of_the_latency_lowers_the_limit(self) -> None:
        ramp = Ramp(3, reference=FAST)
        respond(ramp, FAST, 20)
        self.assertEqual(respond(ramp, SLOW, 10), 1)

    def test_a_slow_machine_is_compared_with_its_own_best_median(self) -> None:
        ramp = Ramp(3, reference=FAST)
        respond(ramp, SLOW, 50)
        self.assertEqual(respond(ramp, SLOW, 15), 3)

    def test_a_handover_limits_the_slots_until_its_deadline(self) -> None:
        """Guard against a server that sheds requests just after its owner changed.

        The old owner's requests still run while the new owner sends as many again.
        """
        ramp = Ramp(4)
        ramp.assume_warm()
        ramp.handover(now=0.0, until=2.0)
        self.assertEqual(ramp.limit(1.9), 2)
        self.assertEqual(ramp.limit(2.0), 4)

    def test_a_restart_resets_the_limit_to_one(self) -> None:
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
            ramp.record_latency(latency, 0.0)
            self.assertLessEqual(abs(ramp.limit(0.0) - before), 1)
