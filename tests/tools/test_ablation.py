"""Tests of the ablation tool: each listed replacement applies exactly once."""

import shutil
import tempfile
import unittest
from pathlib import Path

from tools.ablation import (
    GATEWAY,
    MECHANISMS,
    ROOT,
    UNCHANGED,
    DayResult,
    Mechanism,
    disable,
    format_table,
)


class AblationTest(unittest.TestCase):
    """Guards against a stale list: its runs would silently measure the unchanged code."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.tree = Path(folder.name)
        shutil.copytree(ROOT / GATEWAY, self.tree / GATEWAY)

    def test_every_mechanism_can_be_disabled(self) -> None:
        for mechanism in MECHANISMS:
            if mechanism is UNCHANGED:
                continue
            with self.subTest(mechanism.name):
                path = self.tree / GATEWAY / mechanism.file
                before = path.read_text()
                disable(mechanism, self.tree)
                after = path.read_text()
                self.assertNotEqual(before, after)
                compile(after, mechanism.file, "exec")
                path.write_text(before)

    def test_a_missing_text_raises_an_error(self) -> None:
        with self.assertRaises(ValueError):
            disable(Mechanism("gone", "chooser.py", "no such text", ""), self.tree)

    def test_a_day_without_a_report_has_a_row(self) -> None:
        rows = format_table([DayResult("hedging", "scale-1", 0, None), DayResult("x", "y", 3, 0.5)])
        self.assertIn("| hedging | scale-1 | its own | no report |", rows)
        self.assertIn("| x | y | 3 | 0.500 |", rows)
