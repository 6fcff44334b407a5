"""Tests of servers that say in their answers that they leave."""

import unittest

from tests.gateway.noticefleet import NoticeFleet

DRAIN = 2.5
"""Seconds after the word of a server in which requests may still reach it."""


class LeavingServerTest(unittest.TestCase):
    """A server that has said that it leaves gets nothing new, whatever the store says."""

    def test_nothing_new_comes_though_the_store_does_not_tell(self) -> None:
        """Guards against requests at a server that said it leaves while the store is away."""
        for entries, zones in ((10, 6), (27, 3)):
            fleet = NoticeFleet(entries, 8, zones)
            for server in fleet.servers[:2]:
                server.leaves_at = 5.0
            fleet.play(0.0, 14.0, 60.0)
            for server in fleet.servers[:2]:
                self.assertTrue(server.left_at)
                self.assertLessEqual(server.latest_after_leaving(), DRAIN, server.name)
