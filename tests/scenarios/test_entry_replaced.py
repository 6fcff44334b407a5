"""An entry's VM is replaced immediately, under load, by a new process with the same id."""

from standins.callreport import Outcome
from standins.system import wait_until
from tests.scenarios.smallsystem import BOOKINGS, TIMES, ScenarioTest, small_system


class EntryReplacedTest(ScenarioTest):
    """SIGKILL of an entry, and a new process at its addresses."""

    def test_the_new_process_neither_reruns_keys_nor_overloads_its_region(self) -> None:
        """Guards against a restarted entry that forgets which keys and requests are in progress.

        A caller retries a booking at the same address, and a new process answers. It has the entry
        id, the addresses and the share of limits of the old process, but not its memory. Requests
        of the old process may still run on backend servers when it starts.
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
