"""The platform's store stops answering under load, and recovers."""

import signal

from standins.callreport import Outcome
from standins.system import wait_until
from tests.scenarios.smallsystem import BOOKINGS, TIMES, ScenarioTest, small_system

FOREIGN = BOOKINGS.model_copy(
    update={"name": "foreign", "foreign_share": 1.0, "per_s": 5.0, "repeats": 0}
)


class StoreStoppedTest(ScenarioTest):
    """SIGSTOP of the platform under load."""

    def test_callers_are_served_with_the_last_known_policy(self) -> None:
        """Guards against requests that wait for the store.

        The platform's process is stopped for longer than the timeout of calls to it, so they hang.
        Entries must serve timetables and bookings without the store. Only keys that no look-up
        handed out need it, so requests with such keys are not dispatched.
        """
        with small_system() as system:
            system.start_callers(8.0, [TIMES, BOOKINGS, FOREIGN])
            wait_until(lambda: system.bookings() >= 20, "20 bookings before")
            system.launcher.signal("platform", signal.SIGSTOP)
            before = system.bookings()
            wait_until(lambda: system.bookings() >= before + 120, "120 bookings without a store")
            system.launcher.signal("platform", signal.SIGCONT)
            report = self.finish(system)
            for load in ("times", "booking"):
                answered = report.total(Outcome.ANSWERED, load)
                calls = report.outcomes_by_load[load].total()
                self.assertEqual(answered, calls, report.codes_by_load)
            foreign = report.outcomes_by_load["foreign"]
            self.assertGreater(foreign[Outcome.REFUSED.value] + foreign[Outcome.UNKNOWN.value], 0)
