"""Tests of learned working times."""

import unittest

from briarspur.gateway.worktime import RouteMeans

WARM, COLD = 0.11, 0.36


class LearnTest(unittest.TestCase):
    """How requests change the means of warm and cold work."""

    def test_means_follow_the_samples(self) -> None:
        work = RouteMeans(0.125, 0.35)
        for _ in range(60):
            work.learn(0.15, warm=True)
            work.learn(0.45, warm=False)
        self.assertAlmostEqual(0.15, work.warm, delta=0.005)
        self.assertAlmostEqual(0.45, work.cold, delta=0.02)

    def test_wrong_expectations_do_not_level_the_two_means(self) -> None:
        """Guards against answers that stay late after all entries restarted under load.

        One in five objects that were expected to be warm was cold, and many expected to be cold
        were warm. Both means met at 0.25 s, so choosing a warm server no longer had a benefit, the
        objects were spread over all servers, and more of them were cold.
        """
        work = RouteMeans(0.125, 0.35)
        for number in range(200):
            work.learn(COLD if number % 5 == 0 else WARM, warm=True)
            work.learn(WARM if number % 2 == 0 else COLD, warm=False)
        self.assertLess(work.warm, 0.15)
        self.assertGreater(work.cold, 0.30)

    def test_the_means_follow_servers_that_are_slower_than_estimated(self) -> None:
        work = RouteMeans(0.125, 0.35)
        for _ in range(300):
            work.learn(0.6, warm=True)
        self.assertAlmostEqual(0.6, work.warm, delta=0.05)
        self.assertGreaterEqual(work.cold, work.warm)
