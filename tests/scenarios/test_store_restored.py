"""The platform's store returns from an older copy that lacks the claims of callers' keys."""

import time

from standins.system import System, wait_until
from tests.scenarios.smallsystem import COPY_AGE_S, ScenarioTest, small_system
from tools.restoredclaims import ANSWERED, MARGIN_S, count_runs, send_booking

KEYS = [f"callers-own-key-{number:02d}" for number in range(8)]
OTHERS = ("entry-2", "entry-3")
UNSETTLED = "3004"


class StoreRestoredTest(ScenarioTest):
    """Bookings with callers' own keys, sent again to other entries after the return."""

    def book_and_return(self, system: System, is_holder_killed: bool = False) -> None:
        """Book at one entry, then let the store lose the claims."""
        time.sleep(COPY_AGE_S + 1.0)
        began = time.monotonic()
        for key in KEYS:
            self.assertEqual(ANSWERED, send_booking(system, "entry-1", key)[0])
        if is_holder_killed:
            system.launcher.kill("entry-1")
        system.switch_platform(restore_s=time.monotonic() - began + MARGIN_S)

    def send_again(self, system: System) -> set[str]:
        """Send all bookings to the other entries; return the result codes."""
        return {send_booking(system, entry_id, key)[0] for key in KEYS for entry_id in OTHERS}

    def assert_ran_once(self, system: System) -> None:
        runs = count_runs(system)
        self.assertEqual({key: 1 for key in KEYS}, {key: runs[key] for key in KEYS})
        self.assertEqual({}, system.invariant_violations())

    def test_repeats_get_the_answers_of_the_first_run(self) -> None:
        """Guards against bookings that run again at each entry that claims their keys anew."""
        with small_system() as system:
            self.book_and_return(system)
            self.assertNotIn(ANSWERED, self.send_again(system))
            wait_until(
                lambda: send_booking(system, "entry-2", "a-new-key")[0] == ANSWERED,
                "new keys are accepted again",
            )
            self.assertEqual({"1001"}, self.send_again(system))
            self.assert_ran_once(system)

    def test_repeats_are_refused_if_their_entry_was_killed(self) -> None:
        """Guards against bookings whose claims nobody can write again."""
        with small_system() as system:
            self.book_and_return(system, is_holder_killed=True)
            for _ in range(3):
                self.assertEqual({UNSETTLED}, self.send_again(system))
                time.sleep(1.0)
            self.assert_ran_once(system)
