"""The planner that holds the lease is paused and wakes up later."""

import signal
import tempfile
import time
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from standins.callersettings import Load
from standins.deployment import Deployment
from standins.launcher import Launcher
from standins.system import System, call, until
from tests.stories.small import documents

LOAD = Load(name="times", service="times", path="/times/", per_s=40.0)
PLAN_S = 40.0
AFTER_S = 2.0
"""Some rounds of the planner, in which the woken one could do harm."""


@contextmanager
def overloaded_system() -> Iterator[System]:
    """Run a deployment whose policy sends more to one region than it carries."""
    made = documents()
    made["policy"]["services"]["times"]["split"] = {"south": {"north": 1.0}}
    made["standins"]["times_by_service"]["times"] = {"median_ms": 100.0}
    with tempfile.TemporaryDirectory(prefix="briarspur-story-") as name:
        deployment = Deployment.build(made, Path(name))
        with Launcher(Path(name)) as launcher:
            yield System(deployment, launcher).start()


def steer_status(system: System, name: str) -> dict[str, Any]:
    settings = system.deployment.documents_by_name[name]
    document: dict[str, Any] = call(settings["host"], settings["status_port"], "/status")
    return document


class SteerPausedTest(unittest.TestCase):
    """SIGSTOP of the lease's holder past its lease, then SIGCONT."""

    def test_the_paused_holder_changes_nothing_when_it_wakes(self) -> None:
        """Traffic would jump back to where it was when the holder was paused.

        A planner is stopped for longer than its lease. Another takes the lease and plans. The first
        wakes, still thinks that it holds the lease, and goes on with its round.
        """
        with overloaded_system() as system:
            names = system.deployment.names("steer-")
            holders: list[str] = []

            def has_holder() -> bool:
                holders[:] = [n for n in names if steer_status(system, n)["holds_lease"]]
                return bool(holders)

            def planned(term: int) -> bool:
                statuses = [system.status(entry_id) for entry_id in system.entry_ids]
                return all(status and status["plan_term"] >= term for status in statuses)

            until(has_holder, "a holder of the lease")
            first = holders[0]
            term = steer_status(system, first)["term"]
            system.start_callers(PLAN_S, [LOAD])
            until(lambda: planned(term), "a plan in force at every entry", PLAN_S)

            second = next(name for name in names if name != first)
            system.launcher.signal(first, signal.SIGSTOP)
            until(lambda: bool(steer_status(system, second)["holds_lease"]), "another holder")
            until(lambda: planned(term + 1), "its plan in force", PLAN_S)
            system.launcher.signal(first, signal.SIGCONT)
            until(lambda: not steer_status(system, first)["holds_lease"], "the first to give up")
            time.sleep(AFTER_S)

            self.assertGreaterEqual(steer_status(system, second)["term"], term + 1)
            for entry_id in system.entry_ids:
                status = system.status(entry_id)
                assert status is not None
                self.assertGreaterEqual(status["plan_term"], term + 1)
                self.assertTrue(status["plan_holder"].startswith(second))
