"""The planner's VM freezes past its lease, and goes on believing that it holds it."""

import signal
from typing import Any

from briarspur.coord.envelope import open_envelope
from briarspur.plan import PLAN_NAME
from standins.system import System, wait_until
from tests.stories.small import BOOKINGS, TIMES, StoryTest, small_system


class SteerPausedTest(StoryTest):
    """SIGSTOP of the lease's holder, then SIGCONT."""

    def test_a_resumed_holder_gets_no_write_in(self) -> None:
        """Traffic is shifted back to a region that another planner has just emptied.

        The holder of the lease is frozen in the middle of a round. Its lease lapses, another takes
        over and plans. The first goes on where it was, and writes its plan of before.
        """
        with small_system(steers=True) as system:
            system.start_callers(8.0, [TIMES, BOOKINGS])
            wait_until(lambda: holder(system) is not None, "a holder of the lease")
            first = holder(system)
            assert first is not None
            wait_until(lambda: terms(system) != [], "a plan object")
            system.launcher.signal(first, signal.SIGSTOP)
            wait_until(lambda: holder(system) not in (None, first), "another holder")
            second = holder(system)
            assert second is not None
            term = status(system, second)["term"]
            wait_until(lambda: terms(system)[-1] == term, "the plan fenced by the new term")
            system.launcher.signal(first, signal.SIGCONT)
            wait_until(lambda: gave_up(system, first), "the first to notice")
            self.finish(system)
            written = terms(system)
            self.assertEqual(written, sorted(written))
            self.assertEqual(written[-1], term)
            in_force = {(system.status(e) or {}).get("plan_term") for e in system.entry_ids}
            self.assertLessEqual(in_force, {0, term})


def status(system: System, name: str) -> dict[str, Any]:
    """Return a steer's status, empty while it does not answer."""
    return system.steer_status(name) or {"holds_lease": False, "term": 0}


def gave_up(system: System, name: str) -> bool:
    """Tell whether a steer answers, and says that it does not hold the lease."""
    said = system.steer_status(name)
    return said is not None and not said["holds_lease"]


def holder(system: System) -> str | None:
    """Return the steer that answers and holds the lease."""
    names = system.deployment.names("steer-")
    return next((name for name in names if status(system, name)["holds_lease"]), None)


def terms(system: System) -> list[int]:
    """Return the terms under which the plan object was written, in order."""
    found = []
    for value in system.history(PLAN_NAME):
        envelope = open_envelope(value)
        assert envelope.is_ok(), envelope.error
        found.append(envelope.ok.term)
    return found
