"""An entry is told to stop while downloads run through it."""

import signal

from standins.callreport import Outcome
from standins.system import wait_until
from tests.stories.small import (
    BOOKINGS,
    CHARTS,
    ENTRY_STOP_S,
    TIMES,
    StoryTest,
    small_system,
)

PATIENT_MS = 10_000
"""A deadline that a busy machine keeps too: the story asks what a stop cuts, not how fast it is."""


class EntryStoppedTest(StoryTest):
    """SIGTERM of an entry during long downloads."""

    def test_a_stop_cuts_nothing_off(self) -> None:
        """A harbour office downloads a chart pack; its entry is replaced in the middle of it.

        The entry gets SIGTERM twice. Downloads run on to their last byte, callers with a cached
        look-up are still served, and the process ends by itself with exit code 0.
        """
        with small_system(deadline_ms=PATIENT_MS) as system:
            system.start_callers(6.0, [TIMES, BOOKINGS, CHARTS])
            wait_until(lambda: system.total("bytes_sent") > 3_000_000, "downloads under way")
            system.launcher.signal("entry-1", signal.SIGTERM)
            system.launcher.signal("entry-1", signal.SIGTERM)
            code = system.launcher.wait("entry-1", ENTRY_STOP_S)
            report = self.finish(system)
            self.assertEqual(code, 0)
            self.assertEqual(report.total(Outcome.ANSWERED), report.calls(), report.histories[:5])
