"""Tests of the view of the load from all entries."""

import unittest

from briarspur.gateway.loadview import STALE_S, News
from briarspur.gateway.steering import Steering
from tests.gateway.samples import registration, steering


def news(
    made: Steering, count: int, sequence: int = 1, started: int = 1, entry: str = "entry-2"
) -> News:
    target = made.targets.get("t-0")
    assert target is not None
    return News(entry, started, sequence, False, {target.number: count}, ((target.number, 7),))


class LoadViewTest(unittest.TestCase):
    """The sum over all entries is right if datagrams are late, reordered or lost."""

    def setUp(self) -> None:
        self.made = steering(1)
        target = self.made.targets.get("t-0")
        assert target is not None
        self.target = target

    def test_news_replace_earlier_ones_and_older_ones_are_ignored(self) -> None:
        loads = self.made.loads
        self.assertTrue(loads.received(news(self.made, 3, sequence=2), 0.0))
        self.assertTrue(loads.received(news(self.made, 2, entry="entry-3"), 0.0))
        self.assertEqual(5, self.target.elsewhere)
        self.assertFalse(loads.received(news(self.made, 9, sequence=1), 0.1))
        self.assertTrue(loads.received(news(self.made, 1, sequence=3), 0.2))
        self.assertEqual(3, self.target.elsewhere)
        self.assertIn(7, self.target.warmth)

    def test_the_counts_of_a_silent_entry_expire(self) -> None:
        self.made.loads.received(news(self.made, 3), 0.0)
        self.made.loads.expire(STALE_S + 0.1)
        self.assertEqual(0, self.target.elsewhere)

    def test_news_of_a_restarted_entry_replace_those_of_its_earlier_process(self) -> None:
        self.made.loads.received(news(self.made, 3, sequence=500, started=1), 0.0)
        self.assertTrue(self.made.loads.received(news(self.made, 1, sequence=1, started=2), 0.1))
        self.assertEqual(1, self.target.elsewhere)

    def test_a_new_incarnation_of_a_server_starts_without_the_load_of_the_old_one(self) -> None:
        self.made.loads.received(news(self.made, 3), 0.0)
        self.made.targets.registered(registration("t-0", born=2), 0.1)
        target = self.made.targets.get("t-0")
        assert target is not None
        self.assertEqual(0, target.elsewhere)
        self.made.loads.received(News("entry-2", 1, 2, False, {target.number: 2}), 0.2)
        self.assertEqual(2, target.elsewhere)
