"""A region gets more than it carries, and the planner moves the rest."""

import tempfile
import unittest
from pathlib import Path

from standins.callersettings import Load
from standins.deployment import Deployment
from standins.launcher import Launcher
from standins.system import System, wait_until
from tests.stories.small import documents
from tests.stories.test_steer_paused import holder, status

LOAD = Load(name="times", service="times", path="/times/", per_s=40.0)
PLAN_S = 40.0


class SteerPlansTest(unittest.TestCase):
    """From entries' reports to a plan in force at every entry; a planned stop of the planner."""

    def test_what_a_region_cannot_carry_is_planned_elsewhere(self) -> None:
        """Callers of two regions queue at one of them while the servers of the other idle.

        The policy sends all to one region, which carries 60 requests a second of the 80 that come.
        Then the planner is stopped for maintenance, and another goes on from its plan.
        """
        made = documents()
        made["policy"]["services"]["times"]["split"] = {"south": {"north": 1.0}}
        made["standins"]["times_by_service"]["times"] = {"median_ms": 100.0}
        with tempfile.TemporaryDirectory(prefix="briarspur-story-") as folder:
            deployment = Deployment.build(made, Path(folder))
            with Launcher(Path(folder)) as launcher:
                self.follow(System(deployment, launcher).start())

    def follow(self, system: System) -> None:
        wait_until(lambda: holder(system) is not None, "a holder of the lease")
        first = holder(system)
        assert first is not None
        term = status(system, first)["term"]
        system.start_callers(PLAN_S, [LOAD])

        def planned() -> bool:
            said = [system.status(entry_id) or {} for entry_id in system.entry_ids]
            return all(each.get("plan_term") == term for each in said)

        wait_until(planned, "a plan in force at every entry", PLAN_S)
        self.assertGreaterEqual(status(system, first)["plan_number"], 1)
        self.assertEqual(status(system, first)["entries_reporting"], len(system.entry_ids))
        self.assertEqual(system.launcher.stop(first), 0)
        wait_until(lambda: holder(system) not in (None, first), "another holder")
