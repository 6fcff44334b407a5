"""Tests of learnt working times."""

import unittest

from briarspur.gateway.worktime import RouteWork

WARM, COLD = 0.11, 0.36


class LearnTest(unittest.TestCase):
    """What requests teach about warm and cold work."""

    def test_means_follow_the_samples(self) -> None:
        work = RouteWork(0.125, 0.35)
        for _ in range(60):
            work.learn(0.15, warm=True)
            work.learn(0.45, warm=False)
        self.assertAlmostEqual(0.15, work.warm, delta=0.005)
        self.assertAlmostEqual(0.45, work.cold, delta=0.02)

    def test_wrong_beliefs_do_not_wipe_out_the_difference(self) -> None:
        """All entries restart, and then every answer stays late for as long as the load lasts.

        Of the objects that were believed to be warm one in five was not, and many believed cold
        were warm. The two means met at 0.25 s, so placing by warmth gained nothing any more, the
        objects were spread over all servers, and more of them were cold.
        """
        work = RouteWork(0.125, 0.35)
        for number in range(200):
            work.learn(COLD if number % 5 == 0 else WARM, warm=True)
            work.learn(WARM if number % 2 == 0 else COLD, warm=False)
        self.assertLess(work.warm, 0.15)
        self.assertGreater(work.cold, 0.30)

    def test_servers_that_are_slower_than_guessed_are_believed_in_the_end(self) -> None:
        work = RouteWork(0.125, 0.35)
        for _ in range(300):
            work.learn(0.6, warm=True)
        self.assertAlmostEqual(0.6, work.warm, delta=0.05)
        self.assertGreaterEqual(work.cold, work.warm)
