"""An entry dies at once, with requests in flight."""

from standins.callreport import Outcome
from standins.system import wait_until
from tests.stories.small import BOOKINGS, TIMES, StoryTest, small_system


class EntryKilledTest(StoryTest):
    """SIGKILL of an entry under load."""

    def test_no_booking_is_doubled_and_nobody_is_left_waiting(self) -> None:
        """A skipper's app loses its connection while a booking runs, and sends it again elsewhere.

        The entry is killed after it handed bookings to backend servers and before their answers
        came. Another entry gets the same key. It cannot know whether the booking ran, so it must
        say so and not run it again.
        """
        with small_system() as system:
            system.start_callers(6.0, [TIMES, BOOKINGS])
            wait_until(lambda: system.bookings() >= 20, "20 bookings")
            system.launcher.kill("entry-1")
            report = self.finish(system)
            self.assertGreater(report.total(Outcome.ANSWERED, "booking"), 20)
