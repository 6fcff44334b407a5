"""An entry is killed while requests are in flight."""

from standins.callreport import Outcome
from standins.system import wait_until
from tests.scenarios.smallsystem import BOOKINGS, TIMES, ScenarioTest, small_system


class EntryKilledTest(ScenarioTest):
    """SIGKILL of an entry under load."""

    def test_no_booking_runs_twice_and_every_call_is_answered(self) -> None:
        """Guards against a booking that runs again after its entry was killed.

        The entry is killed after it dispatched bookings to backend servers and before it received
        their responses. The callers retry at another entry with the same key. That entry cannot
        know whether the booking ran, so it must report this and must not run it again.
        """
        with small_system() as system:
            system.start_callers(6.0, [TIMES, BOOKINGS])
            wait_until(lambda: system.bookings() >= 20, "20 bookings")
            system.launcher.kill("entry-1")
            report = self.finish(system)
            self.assertGreater(report.total(Outcome.ANSWERED, "booking"), 20)
