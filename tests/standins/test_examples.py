"""The example files are valid, and have the sizes of the users' deployments."""

import json
import tempfile
import unittest
from collections import Counter
from pathlib import Path

from briarspur.documents import load_settings
from briarspur.lint import find_warnings
from briarspur.policy import parse_policy
from briarspur.processsettings import PlatformSettings
from briarspur.settings import (
    BurnSettings,
    CliSettings,
    ConsoleSettings,
    EntrySettings,
    SteerSettings,
)
from standins.deployment import EXAMPLES, Deployment

MODELS = {
    "entry": EntrySettings,
    "steer": SteerSettings,
    "console": ConsoleSettings,
    "burn": BurnSettings,
    "cli": CliSettings,
    "platform": PlatformSettings,
}
TARGETS = {
    "iroise": {"timetables": 20, "bookings": 10, "charts": 10, "fares": 10},
    "holzwerk": {"catalogue": 15, "ordering": 10, "plans": 10, "stock": 10},
}


class ExamplesTest(unittest.TestCase):
    """Checks of both example deployments."""

    def test_policies_have_the_sizes_of_the_deployments(self) -> None:
        for name, targets in TARGETS.items():
            policy = parse_policy((EXAMPLES / name / "policy.json").read_bytes())
            self.assertEqual(Counter(t.service for t in policy.targets.values()), targets)
            self.assertEqual(
                {(t.slots, t.connections) for t in policy.targets.values()}, {(3, 350)}
            )
            self.assertEqual(len(policy.entries), 10)
            self.assertEqual([len(r.zones) for r in policy.regions.values()], [2, 2, 2])
            self.assertEqual(find_warnings(policy), [])

    def test_settings_are_valid(self) -> None:
        for name in TARGETS:
            for file in (EXAMPLES / name).glob("*.json"):
                model = MODELS.get(file.stem.partition("-")[0])
                if model is not None:
                    load_settings(model, str(file))

    def test_ports_of_a_deployment_are_replaced_consistently(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            deployment = Deployment.load("iroise", Path(folder))
            platforms = [
                json.dumps(d["platform"])
                for d in deployment.documents_by_name.values()
                if "platform" in d
            ]
            self.assertEqual(len(set(platforms)), 1)
            callers = {(v.host, v.caller_port) for v in deployment.vms()}
            self.assertEqual(len(callers), 10)
            backends = deployment.backends(1)
            self.assertEqual(sum(len(b.targets) for b in backends.values()), 50)
