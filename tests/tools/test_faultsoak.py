"""A short run of the fault soak, and the seeds that once found something."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from tools.faultsoak import FaultSoak
from tools.soakparts import Seen

KEPT_SEEDS: tuple[tuple[int, str], ...] = ((1, "the short run of CI; it has found nothing so far"),)
"""Seeds with a line on what each found."""
SECONDS = 9.0


class FaultSoakTest(unittest.TestCase):
    """Processes under faults keep the promises, and the judge sees a broken one."""

    def test_kept_seeds(self) -> None:
        for seed, story in KEPT_SEEDS:
            with self.subTest(story), tempfile.TemporaryDirectory() as folder:
                soak = FaultSoak(seed, SECONDS, 3, Path(folder))
                asyncio.run(soak.run())
                self.assertEqual([], soak.findings)
                self.assertGreater(len(soak.seen), 50)

    def test_the_judge_sees_what_is_broken(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            soak = FaultSoak(1, 1.0, 1, Path(folder))
            ledger = Path(folder) / "targets0.runs"
            rows = ["twice", "twice", "refused", "unasked", "mixed"]
            ledger.write_text(
                "".join(f'{{"id": "{row}", "target": "t", "at": 5.0}}\n' for row in rows)
            )
            soak.seen = [
                Seen("twice", "/base/once/", True, "g0", 5.0, 5.1, 200, True),
                Seen("refused", "/base/once/", True, "g0", 5.0, 5.1, 503),
                Seen("mixed", "/base/again/", False, "g0", 5.0, 5.1, 200, False),
                Seen("unknown", "/base/again/", False, "g0", 5.0, 5.1, 404),
            ]
            soak._drained = [(1.0, "t")]
            soak.judge()
            text = "\n".join(soak.findings)
            for what in ("run twice", "but run", "not the server's", "not known", "nobody asked"):
                self.assertIn(what, text)
            self.assertIn("begun at a server that left", text)
