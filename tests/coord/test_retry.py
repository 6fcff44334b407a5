"""Tests of the retry budget."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from briarspur.coord.retry import RetryBudget


class RetryBudgetTest(unittest.TestCase):
    """Retries stay a share of first attempts."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(st.lists(st.booleans(), max_size=300), st.sampled_from([0.0, 0.1, 0.5, 1.0]))
    def test_retries_never_exceed_burst_and_share(self, steps: list[bool], share: float) -> None:
        """Guard against retries that multiply the load on a failing service.

        All its servers fail, so the request of every caller would be retried repeatedly.
        """
        budget = RetryBudget(share, burst=3.0)
        firsts = retries = 0
        for is_first in steps:
            if is_first:
                budget.record_first_attempt()
                firsts += 1
            else:
                retries += budget.take()
            self.assertLessEqual(retries, 3.0 + share * firsts + 1e-6)

    def test_a_service_with_little_traffic_may_retry(self) -> None:
        budget = RetryBudget(0.1, burst=1.0)
        self.assertTrue(budget.take())
        self.assertFalse(budget.take())
        for _ in range(11):
            budget.record_first_attempt()
        self.assertTrue(budget.take())
