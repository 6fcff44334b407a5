"""Tests of the command that runs all checks."""

import subprocess
import unittest
from pathlib import Path
from unittest.mock import patch

from tools import check


class CheckTest(unittest.TestCase):
    """Every test is run once, and no failure is lost."""

    def test_the_parts_have_every_test_module_once(self) -> None:
        modules = [module for part in check.PARTS for module in check.modules_of(part)]
        expected = [
            ".".join(path.relative_to(check.ROOT).with_suffix("").parts)
            for path in Path(check.ROOT / "tests").rglob("test_*.py")
        ]
        self.assertEqual(sorted(expected), sorted(modules))

    def test_failures_and_early_ends_of_parts_are_counted(self) -> None:
        """Guards against a passed verdict for tests that failed or never ran."""
        scripts = ("print('3 passed, 1 failed')", "print('ok')", "print('2 passed, 0 failed')")
        started = subprocess.Popen

        def start(command: list[str], **fields: object) -> object:
            script = scripts[check.PARTS.index(command[-1])]
            return started([command[0], "-c", script], **fields)  # type: ignore[call-overload]

        with patch("tools.check.subprocess.Popen", side_effect=start), patch("builtins.print"):
            self.assertEqual((5, 2), check.run_parts())
