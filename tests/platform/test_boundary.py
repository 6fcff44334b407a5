"""Tests that the platform's names and formats stay in their folder, and that it decides nothing."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PACKAGE = ROOT / "briarspur"
FOLDER = PACKAGE / "platform"
NAMES = re.compile(
    r"warmupLeftMs|pathPrefix|trafficSplit|allowedRegions|resourceList|storeRevision|"
    r"deletionPending|X-Response-Signature|X-Not-Executed|X-Expected-Instance|X-Server-Load|"
    r"X-Deadline-Ms|X-Affinity-Key|latencyGoalMs|idleTimeoutMs|BRIARSPUR_BOOT|hasMore|waitMs"
)
DECIDING = re.compile(r"random|callLater|\btime\.\w|sleep|Steering\(|Chooser")


def sources(folder: Path) -> list[Path]:
    return [path for path in folder.rglob("*.py") if "_pb2" not in path.name]


class BoundaryTest(unittest.TestCase):
    """The adapter translates, and nothing else does."""

    def test_no_name_of_the_platform_stands_outside(self) -> None:
        found = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for path in sources(PACKAGE)
            if FOLDER not in path.parents
            for match in NAMES.finditer(path.read_text())
        ]
        self.assertEqual([], found)

    def test_the_folder_decides_nothing(self) -> None:
        """It keeps no clock, draws no chance, waits for nothing and chooses no server."""
        found = [
            f"{path.name}: {match.group()}"
            for path in sources(FOLDER)
            for match in DECIDING.finditer(path.read_text())
        ]
        self.assertEqual([], found)

    def test_the_folder_is_small(self) -> None:
        def lines(paths: list[Path]) -> int:
            return sum(len(path.read_text().splitlines()) for path in paths)

        self.assertLess(10 * lines(sources(FOLDER)), lines(sources(PACKAGE)))
