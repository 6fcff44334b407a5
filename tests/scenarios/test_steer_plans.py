"""A region receives more load than its capacity, and the planner shifts the excess."""

import tempfile
import unittest
from pathlib import Path

from standins.callersettings import Load
from standins.deployment import Deployment
from standins.launcher import Launcher
from standins.system import System, wait_until
from tests.scenarios.smallsystem import make_documents
from tests.scenarios.test_steer_paused import holder, status

LOAD = Load(name="times", service="times", path="/times/", per_s=40.0)
LOAD_DURATION_S = 40.0


class SteerPlansTest(unittest.TestCase):
    """Planning from the reports of entries, and a graceful stop of the planner."""

    def test_excess_load_of_a_region_is_planned_elsewhere(self) -> None:
        """Guards against queues in one region while the servers of the other one are idle.

        The policy routes everything to one region, whose capacity is 60 of the 80 requests per
        second that arrive. Then the planner is stopped, and another one takes over its plan.
        """
        documents = make_documents()
        documents["policy"]["services"]["times"]["split"] = {"south": {"north": 1.0}}
        documents["standins"]["times_by_service"]["times"] = {"median_ms": 100.0}
        with tempfile.TemporaryDirectory(prefix="briarspur-scenario-") as folder:
            deployment = Deployment.build(documents, Path(folder))
            with Launcher(Path(folder)) as launcher:
                self.check_planning(System(deployment, launcher).start())

    def check_planning(self, system: System) -> None:
        wait_until(lambda: holder(system) is not None, "a holder of the lease")
        first = holder(system)
        assert first is not None
        term = status(system, first)["term"]
        system.start_callers(LOAD_DURATION_S, [LOAD])

        def is_planned() -> bool:
            statuses = [system.status(entry_id) or {} for entry_id in system.entry_ids]
            return all(each.get("plan_term") == term for each in statuses)

        wait_until(is_planned, "a plan in force at every entry", LOAD_DURATION_S)
        self.assertGreaterEqual(status(system, first)["plan_number"], 1)
        self.assertEqual(status(system, first)["entries_reporting"], len(system.entry_ids))
        self.assertEqual(system.launcher.stop(first), 0)
        wait_until(lambda: holder(system) not in (None, first), "another holder")
