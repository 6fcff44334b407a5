"""A small deployment for scenarios: two regions, four entries, three services, two steers."""

import tempfile
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from standins.callersettings import Load
from standins.callreport import Outcome, Report, check_bookings
from standins.deployment import Deployment
from standins.launcher import Launcher
from standins.system import System
from tests.examples import small_policy

__all__ = ["BOOKINGS", "CHARTS", "ENTRY_STOP_TIMEOUT_S", "TIMES", "ScenarioTest", "small_system"]

ENTRY_STOP_TIMEOUT_S = 60.0
CALLERS_END_TIMEOUT_S = 60.0
LEASE_S = 2.0

ATTEMPT_S = 3.0

TIMES = Load(name="times", service="times", path="/times/", per_s=30.0, attempt_s=ATTEMPT_S)
BOOKINGS = Load(
    name="booking",
    service="booking",
    path="/booking/new",
    method="POST",
    per_s=20.0,
    keyed=True,
    attempt_s=ATTEMPT_S,
)
CHARTS = Load(
    name="charts",
    service="charts",
    path="/charts/pack",
    per_s=0.8,
    download_bytes=2_000_000,
    patience_s=40.0,
)
TIMES_BY_SERVICE = {
    "times": {"median_ms": 10.0},
    "booking": {"median_ms": 40.0},
    "charts": {"median_ms": 10.0, "bytes_per_s": 1_000_000},
}
HOSTS_BY_ENTRY = {
    "entry-1": "127.0.81.1",
    "entry-2": "127.0.81.2",
    "entry-3": "127.0.82.1",
    "entry-4": "127.0.82.2",
}


DEADLINE_MS = 2_000
"""Deadline of timetables and bookings, equal to the default of the policy."""


COPY_AGE_S = 3.0
"""Maximum age of the store's copy; short, so that entries are soon older than that."""


def make_documents(deadline_ms: int = DEADLINE_MS) -> dict[str, dict[str, Any]]:
    """Return the documents of the deployment by file name, without suffix."""
    policy = small_policy(targets=2, entries=2)
    policy["services"]["charts"] = {
        "path": "/charts",
        "rules": [{"path": "/", "priority": "download", "deadline_ms": 30_000}],
    }
    for number, zone in enumerate(("north-a", "north-b", "south-a", "south-b"), 1):
        target = {"service": "charts", "zone": zone, "host": "127.0.0.1", "port": 9500 + number}
        policy["targets"][f"charts-{number}"] = target
    for service in ("times", "booking"):
        for rule in policy["services"][service]["rules"]:
            rule["deadline_ms"] = deadline_ms
    for region in policy["regions"].values():
        region["in_flight_limit"] = 24
        region["link_bytes_per_s"] = 20_000_000
    policy["lookup_lifetime_s"] = 2.0
    policy["blocks"] = {"default": "north", "by_prefix": {"127.92.0.0/16": "south"}}
    platform = {"host": "127.0.0.1", "port": 8080}
    documents: dict[str, dict[str, Any]] = {
        "policy": policy,
        "platform": platform,
        "cli": {"platform": platform},
        "standins": {
            "delays": {},
            "times_by_service": TIMES_BY_SERVICE,
            "caller_networks_by_region": {"north": "127.91", "south": "127.92"},
            "loads": [],
        },
    }
    for entry_id, host in HOSTS_BY_ENTRY.items():
        documents[entry_id] = {
            "platform": platform,
            "entry_id": entry_id,
            "zone": policy["entries"][entry_id]["zone"],
            "host": host,
            "caller_port": 7001,
            "forward_port": 7002,
            "peer_port": 7003,
            "probe_interval_s": 0.3,
            "store_copy_age_s": COPY_AGE_S,
        }
    for number, zone in enumerate(("north-a", "south-a"), 1):
        documents[f"steer-{number}"] = {
            "platform": platform,
            "holder_id": f"steer-{number}",
            "zone": zone,
            "host": "127.0.0.1",
            "status_port": 7100 + number,
            "lease_s": LEASE_S,
            "plan_interval_s": 0.5,
        }
    return documents


@contextmanager
def small_system(steers: bool = False, deadline_ms: int = DEADLINE_MS) -> Iterator[System]:
    """Run the deployment; its processes end with the block."""
    with tempfile.TemporaryDirectory(prefix="briarspur-scenario-") as name:
        deployment = Deployment.build(make_documents(deadline_ms), Path(name))
        with Launcher(Path(name)) as launcher:
            yield System(deployment, launcher).start(steers)


class ScenarioTest(unittest.TestCase):
    """Base class with the checks at the end of every scenario."""

    def finish(self, system: System) -> Report:
        """Check bookings, invariants, limits of regions, and that every call was answered."""
        report = system.finish_callers(CALLERS_END_TIMEOUT_S)
        verdict = check_bookings(report, system.wait_idle())
        self.assertEqual(verdict.doubled, [])
        self.assertEqual(verdict.lost, [])
        self.assertEqual(verdict.run_though_refused, [])
        self.assertEqual(system.invariant_violations(), {})
        limits = system.deployment.policy().regions
        for ledger in system.ledgers():
            for region, counts in ledger["counts_by_region"].items():
                self.assertLessEqual(counts["peak_in_flight"], limits[region].in_flight_limit)
        self.assertEqual(report.total(Outcome.NONE), 0, report.failed_histories()[:3])
        self.assertEqual(report.total(Outcome.WRONG), 0, report.failed_histories()[:3])
        return report
