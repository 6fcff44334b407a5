"""Tests that only the adapter knows the platform's names, and that it makes no decisions."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PACKAGE = ROOT / "briarspur"
ADAPTER = PACKAGE / "platform"
PLATFORM_NAMES = re.compile(
    r"warmupLeftMs|pathPrefix|trafficSplit|allowedRegions|resourceList|storeRevision|"
    r"deletionPending|X-Response-Signature|X-Not-Executed|X-Expected-Instance|X-Server-Load|"
    r"X-Deadline-Ms|X-Affinity-Key|latencyGoalMs|idleTimeoutMs|BRIARSPUR_BOOT|hasMore|waitMs"
)
DECISIONS = re.compile(r"random|callLater|\btime\.\w|sleep|Steering\(|Chooser")


def sources(folder: Path) -> list[Path]:
    return [path for path in folder.rglob("*.py") if "_pb2" not in path.name]


class BoundaryTest(unittest.TestCase):
    """The adapter translates and does nothing else, and no other code translates."""

    def test_no_other_package_uses_names_of_the_platform(self) -> None:
        found = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for path in sources(PACKAGE)
            if ADAPTER not in path.parents
            for match in PLATFORM_NAMES.finditer(path.read_text())
        ]
        self.assertEqual([], found)

    def test_the_adapter_makes_no_decisions(self) -> None:
        """It uses no clock, no random numbers and no timers, and chooses no server."""
        found = [
            f"{path.name}: {match.group()}"
            for path in sources(ADAPTER)
            for match in DECISIONS.finditer(path.read_text())
        ]
        self.assertEqual([], found)

    def test_the_adapter_is_small(self) -> None:
        def lines(paths: list[Path]) -> int:
            return sum(len(path.read_text().splitlines()) for path in paths)

        self.assertLess(10 * lines(sources(ADAPTER)), lines(sources(PACKAGE)))
