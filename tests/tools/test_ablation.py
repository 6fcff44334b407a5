"""Tests that the ablation tool switches off what its list names, and nothing twice."""

import shutil
import tempfile
import unittest
from pathlib import Path

from tools.ablation import GATEWAY, MECHANISMS, ROOT, UNCHANGED, Measured, Mechanism, apply, table


class AblationTest(unittest.TestCase):
    """A list that no longer fits the sources would measure nothing without saying so."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.tree = Path(folder.name)
        shutil.copytree(ROOT / GATEWAY, self.tree / GATEWAY)

    def test_every_mechanism_can_be_switched_off(self) -> None:
        for mechanism in MECHANISMS:
            if mechanism is UNCHANGED:
                continue
            with self.subTest(mechanism.name):
                path = self.tree / GATEWAY / mechanism.file
                before = path.read_text()
                apply(mechanism, self.tree)
                after = path.read_text()
                self.assertNotEqual(before, after)
                compile(after, mechanism.file, "exec")
                path.write_text(before)

    def test_a_text_that_is_not_there_is_a_fault(self) -> None:
        with self.assertRaises(ValueError):
            apply(Mechanism("gone", "chooser.py", "no such text", ""), self.tree)

    def test_a_day_without_a_report_is_named(self) -> None:
        rows = table([Measured("hedging", "scale-1", 0, None), Measured("x", "y", 3, 0.5)])
        self.assertIn("| hedging | scale-1 | its own | no report |", rows)
        self.assertIn("| x | y | 3 | 0.500 |", rows)
