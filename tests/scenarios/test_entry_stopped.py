"""An entry is stopped gracefully while it relays downloads."""

import signal

from standins.callreport import Outcome
from standins.system import wait_until
from tests.scenarios.smallsystem import (
    BOOKINGS,
    CHARTS,
    ENTRY_STOP_TIMEOUT_S,
    TIMES,
    ScenarioTest,
    small_system,
)

LONG_DEADLINE_MS = 10_000
"""Long enough for a busy machine: the test checks what a stop interrupts, not how fast it is."""


class EntryStoppedTest(ScenarioTest):
    """SIGTERM of an entry during long downloads."""

    def test_a_graceful_stop_interrupts_no_request(self) -> None:
        """Guards against downloads that are truncated when their entry is replaced.

        The entry gets SIGTERM twice during downloads. They continue to the last byte, callers with
        a cached look-up are still served, and the process then exits with code 0.
        """
        with small_system(deadline_ms=LONG_DEADLINE_MS) as system:
            system.start_callers(6.0, [TIMES, BOOKINGS, CHARTS])
            wait_until(lambda: system.total("bytes_sent") > 3_000_000, "downloads under way")
            system.launcher.signal("entry-1", signal.SIGTERM)
            system.launcher.signal("entry-1", signal.SIGTERM)
            code = system.launcher.wait("entry-1", ENTRY_STOP_TIMEOUT_S)
            report = self.finish(system)
            self.assertEqual(code, 0)
            self.assertEqual(report.total(Outcome.ANSWERED), report.calls(), report.histories[:5])
