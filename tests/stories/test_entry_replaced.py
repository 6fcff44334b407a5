"""An entry's VM is replaced at once, under load, by a new process with the same seat."""

from standins.callreport import Outcome
from standins.system import wait_until
from tests.stories.small import BOOKINGS, TIMES, StoryTest, small_system


class EntryReplacedTest(StoryTest):
    """SIGKILL of an entry, and a new process at its addresses."""

    def test_the_new_process_neither_runs_old_keys_nor_overloads_its_region(self) -> None:
        """A booking is sent again to the address it was sent to before, and another VM answers.

        The new process has the seat, the addresses and the share of limits of the old one, but not
        its memory. Requests of the old one may still run on backend servers when it begins.
        """
        with small_system() as system:
            system.start_callers(8.0, [TIMES, BOOKINGS])
            wait_until(lambda: system.bookings() >= 20, "20 bookings")
            for entry_id in ("entry-1", "entry-2"):
                system.launcher.kill(entry_id)
                system.start_entry(entry_id)
                wait_until(lambda e=entry_id: system.is_ready(e), f"{entry_id} ready")
            report = self.finish(system)
            self.assertGreater(report.total(Outcome.ANSWERED, "booking"), 20)
