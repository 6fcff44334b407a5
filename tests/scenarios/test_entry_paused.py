"""An entry's VM freezes for longer than every timeout, and then resumes."""

import signal

from standins.callreport import Outcome
from standins.system import System, wait_until
from tests.scenarios.smallsystem import BOOKINGS, TIMES, ScenarioTest, small_system

ENTRY = "entry-2"
"""This entry owns the booking targets of its region."""


class EntryPausedTest(ScenarioTest):
    """SIGSTOP of an entry under load, then SIGCONT."""

    def test_a_booking_that_is_retried_during_the_pause_runs_once(self) -> None:
        """Guards against a second run when a frozen home of a key resumes.

        A booking hangs, so its caller times out and retries at another entry with the same key. The
        frozen entry is the key's home; the others consider it failed and take over its targets. It
        resumes with the request still in its socket and with an outdated view of its targets.
        """
        with small_system() as system:
            system.start_callers(8.0, [TIMES, BOOKINGS])
            wait_until(lambda: system.bookings() >= 20, "20 bookings")
            system.launcher.signal(ENTRY, signal.SIGSTOP)
            wait_until(lambda: self._is_removed(system), f"{ENTRY} gone from every view")
            system.launcher.signal(ENTRY, signal.SIGCONT)
            report = self.finish(system)
            self.assertGreater(report.total(Outcome.ANSWERED, "booking"), 20)

    def _is_removed(self, system: System) -> bool:
        """Tell whether no other entry lists the paused one as a member."""
        others = [e for e in system.entry_ids if e != ENTRY]
        statuses = [system.status(e) for e in others]
        return all(status and ENTRY not in status["members"] for status in statuses)
