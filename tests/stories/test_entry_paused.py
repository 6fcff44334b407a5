"""An entry's VM freezes for longer than every timeout, and goes on unaware."""

import signal

from standins.callreport import Outcome
from standins.system import System, wait_until
from tests.stories.small import BOOKINGS, TIMES, StoryTest, small_system

ENTRY = "entry-2"
"""It owns the booking targets of its region by the rule of ownership."""


class EntryPausedTest(StoryTest):
    """SIGSTOP of an entry under load, then SIGCONT."""

    def test_a_booking_asked_for_again_meanwhile_runs_once(self) -> None:
        """A booking hangs, its caller gives up and sends it to another entry with the same key.

        The frozen entry is the key's home. The others think it gone and take its targets over.
        It wakes up with the request still in its socket, and with targets it believes it owns.
        """
        with small_system() as system:
            system.start_callers(8.0, [TIMES, BOOKINGS])
            wait_until(lambda: system.bookings() >= 20, "20 bookings")
            system.launcher.signal(ENTRY, signal.SIGSTOP)
            wait_until(lambda: self._gone(system), f"{ENTRY} gone from every view")
            system.launcher.signal(ENTRY, signal.SIGCONT)
            report = self.finish(system)
            self.assertGreater(report.total(Outcome.ANSWERED, "booking"), 20)

    def _gone(self, system: System) -> bool:
        """Tell whether no other entry has the paused one in its view."""
        others = [e for e in system.entry_ids if e != ENTRY]
        statuses = [system.status(e) for e in others]
        return all(status and ENTRY not in status["members"] for status in statuses)
