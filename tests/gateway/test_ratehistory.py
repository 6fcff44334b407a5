"""Tests of the history of a changing rate."""

import unittest

from briarspur.gateway.ratehistory import RateHistory


class RateHistoryTest(unittest.TestCase):
    """The mean of a rate over a window."""

    def test_the_mean_grows_until_the_window_is_full(self) -> None:
        history = RateHistory(4.0)
        history.begin(2.0, 10.0)
        self.assertEqual(0.0, history.mean(10.0))
        self.assertAlmostEqual(1.0, history.mean(12.0))
        self.assertAlmostEqual(2.0, history.mean(20.0))

    def test_each_value_is_weighted_by_its_part_of_the_window(self) -> None:
        history = RateHistory(4.0)
        history.begin(6.0, 0.0)
        history.change(1.0, 8.0)
        self.assertAlmostEqual(6.0, history.mean(8.0))
        self.assertAlmostEqual((6.0 + 3 * 1.0) / 4.0, history.mean(11.0))
        history.change(3.0, 11.0)
        self.assertAlmostEqual((1.0 * 2 + 3.0 * 2) / 4.0, history.mean(13.0))
