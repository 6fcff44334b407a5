"""Tests of servers that turn requests away and ask for rest."""

import unittest

from tests.gateway.noticefleet import NoticeFleet

MOST_IN_REST = 2


class RestingServerTest(unittest.TestCase):
    """A server that has asked an entry for rest is left alone by it."""

    def test_a_rest_is_kept_while_others_take_the_load(self) -> None:
        """Guards against servers in need that get each warm object's requests all the same."""
        for entries, zones in ((10, 6), (27, 3)):
            fleet = NoticeFleet(entries, 8, zones)
            for server in fleet.servers[:3]:
                server.rests = (5.0, 14.0)
            fleet.play(0.0, 20.0, 70.0)
            for server in fleet.servers[:3]:
                self.assertTrue(server.asked_at)
                self.assertLessEqual(server.most_in_rest(), MOST_IN_REST, server.name)
                self.assertGreater(server.rate(17.0, 20.0), 0.5, "used again after its rest")
