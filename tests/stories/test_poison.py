"""A request that crashes every backend server that runs it, sent again and again."""

from standins.callersettings import Load
from standins.callreport import Outcome
from tests.stories.small import BOOKINGS, HOSTS_BY_ENTRY, TIMES, StoryTest, small_system

POISON = Load(name="poison", service="times", path="/times/poison", per_s=50.0, most=1, repeats=12)
CRASHES_PER_ENTRY = 2


class PoisonTest(StoryTest):
    """A poison request repeated through different entries."""

    def test_it_kills_at_most_two_targets_per_entry_it_reached(self) -> None:
        """One odd request empties the harbour's timetables: each server it reaches crashes.

        Its caller sees the connection break and sends it again to the next entry, which sends it
        to the next server. Requests that ran beside it on a crashed server must not be blamed.
        """
        with small_system() as system:
            system.start_callers(6.0, [TIMES, BOOKINGS, POISON])
            report = self.finish(system)
            self.assertLessEqual(system.total("crashes"), CRASHES_PER_ENTRY * len(HOSTS_BY_ENTRY))
            self.assertGreater(system.total("crashes"), 0)
            self.assertEqual(report.total(Outcome.ANSWERED, "poison"), 0)
            self.assertGreater(report.total(Outcome.ANSWERED, "times"), 0)
