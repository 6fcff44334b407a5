"""A new process waits until it has heard from the others."""

import unittest

from briarspur.coord.joining import PERIODS, Joining


class JoiningTest(unittest.TestCase):
    """When a process may act as a member."""

    def test_a_new_process_is_not_alone_because_it_has_not_asked_yet(self) -> None:
        """A VM is replaced, and for a second its region's targets get twice their slots.

        The new entry reads the policy, sees only itself in its view, owns every target by the rule
        and dispatches, while the entries that own them do the same.
        """
        joining = Joining(period=1.0)
        self.assertFalse(joining.joined(has_list=False, unheard=0, now=100.0))
        self.assertFalse(joining.joined(has_list=True, unheard=2, now=200.0))
        self.assertFalse(joining.joined(has_list=True, unheard=1, now=200.5))
        self.assertTrue(joining.joined(has_list=True, unheard=0, now=201.0))
        self.assertTrue(joining.joined(has_list=True, unheard=3, now=202.0))

    def test_a_dead_address_on_the_list_is_not_waited_for_for_ever(self) -> None:
        joining = Joining(period=1.0)
        self.assertFalse(joining.joined(has_list=True, unheard=1, now=200.0))
        self.assertTrue(joining.joined(has_list=True, unheard=1, now=200.0 + PERIODS))
