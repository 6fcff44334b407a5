"""Tests of the wait of a new process until it knows the other members."""

import unittest

from briarspur.coord.joining import MAX_WAIT_PERIODS, Joining


class JoiningTest(unittest.TestCase):
    """When a process may act as a member."""

    def test_a_new_process_waits_until_all_listed_addresses_are_known(self) -> None:
        """Guard against targets that get twice their slots for a second after a VM is replaced.

        The new entry reads the policy, has only itself in its view, derives that it owns every
        target and dispatches, while the actual owners do the same.
        """
        joining = Joining(period=1.0)
        self.assertFalse(joining.joined(has_contact=False, unknown_addresses=0, now=100.0))
        self.assertFalse(joining.joined(has_contact=True, unknown_addresses=2, now=200.0))
        self.assertFalse(joining.joined(has_contact=True, unknown_addresses=1, now=200.5))
        self.assertTrue(joining.joined(has_contact=True, unknown_addresses=0, now=201.0))
        self.assertTrue(joining.joined(has_contact=True, unknown_addresses=3, now=202.0))

    def test_the_wait_for_a_dead_address_ends(self) -> None:
        joining = Joining(period=1.0)
        self.assertFalse(joining.joined(has_contact=True, unknown_addresses=1, now=200.0))
        self.assertTrue(
            joining.joined(has_contact=True, unknown_addresses=1, now=200.0 + MAX_WAIT_PERIODS)
        )
