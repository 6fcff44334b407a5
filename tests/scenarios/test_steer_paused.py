"""The planner's VM freezes for longer than its lease, and then resumes as if it held it."""

import signal
from typing import Any

from briarspur.coord.envelope import open_envelope
from briarspur.plan import PLAN_NAME
from standins.system import System, wait_until
from tests.scenarios.smallsystem import BOOKINGS, TIMES, ScenarioTest, small_system


class SteerPausedTest(ScenarioTest):
    """SIGSTOP of the holder of the lease, then SIGCONT."""

    def test_writes_of_a_resumed_former_holder_are_rejected(self) -> None:
        """Guards against an outdated plan that shifts traffic back to an emptied region.

        The holder of the lease freezes during a round. Its lease expires, and another planner takes
        over and writes a plan. The first one resumes its round and tries to write its old plan.
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
            wait_until(lambda: lost_lease(system, first), "the first to notice")
            self.finish(system)
            written = terms(system)
            self.assertEqual(written, sorted(written))
            self.assertEqual(written[-1], term)
            in_force = {(system.status(e) or {}).get("plan_term") for e in system.entry_ids}
            self.assertLessEqual(in_force, {0, term})


def status(system: System, name: str) -> dict[str, Any]:
    """Return a steer's status; one without a lease while it does not answer."""
    return system.steer_status(name) or {"holds_lease": False, "term": 0}


def lost_lease(system: System, name: str) -> bool:
    """Tell whether a steer answers and reports that it does not hold the lease."""
    document = system.steer_status(name)
    return document is not None and not document["holds_lease"]


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
