"""A request that crashes every backend server that runs it is retried repeatedly."""

from standins.callersettings import Load
from standins.callreport import Outcome
from tests.scenarios.smallsystem import BOOKINGS, HOSTS_BY_ENTRY, TIMES, ScenarioTest, small_system

POISON = Load(name="poison", service="times", path="/times/poison", per_s=50.0, most=1, repeats=12)
CRASHES_PER_ENTRY = 2


class PoisonTest(ScenarioTest):
    """A poison request that is retried at different entries."""

    def test_it_crashes_at_most_two_targets_per_entry(self) -> None:
        """Guards against one request that crashes all backend servers of a service.

        After each crash the caller's connection breaks, so it retries at the next entry, which
        would dispatch the request to another server. Requests that ran concurrently on a crashed
        server must not be treated as the cause.
        """
        with small_system() as system:
            system.start_callers(6.0, [TIMES, BOOKINGS, POISON])
            report = self.finish(system)
            self.assertLessEqual(system.total("crashes"), CRASHES_PER_ENTRY * len(HOSTS_BY_ENTRY))
            self.assertGreater(system.total("crashes"), 0)
            self.assertEqual(report.total(Outcome.ANSWERED, "poison"), 0)
            self.assertGreater(report.total(Outcome.ANSWERED, "times"), 0)
