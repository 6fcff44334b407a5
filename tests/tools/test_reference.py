"""Tests that the reference pages equal the code."""

import re
import unittest
from pathlib import Path

from briarspur.codes import CODES, Code
from briarspur.exits import EXIT_MEANINGS, ExitCode
from briarspur.logs import EVENTS
from briarspur.metrics import METRICS
from tools.reference import PAGES, ROOT, differing

EVENT_CALL = re.compile(r'logs\.event\(\s*"([a-z-]+)"')

METRIC_CALL = re.compile(r'metrics\.(?:count|gauge|timing)\(\s*"([a-z_]+)"')


class ReferenceTest(unittest.TestCase):
    """The pages are what tools/reference.py makes."""

    def test_committed_pages_equal_the_code(self) -> None:
        self.assertEqual(differing(), [], "run: python tools/reference.py --write")

    def test_tables_are_whole(self) -> None:
        self.assertEqual(set(CODES), set(Code))
        self.assertEqual(set(EXIT_MEANINGS), set(ExitCode))
        page = PAGES["RESULT-CODES.md"]()
        for code in Code:
            self.assertIn(f"| {int(code)} | {code.name} |", page)

    def test_every_event_and_metric_in_the_code_is_listed(self) -> None:
        sources = [path.read_text() for path in Path(ROOT / "briarspur").rglob("*.py")]
        events = {name for source in sources for name in EVENT_CALL.findall(source)}
        metrics = {name for source in sources for name in METRIC_CALL.findall(source)}
        self.assertEqual(events - set(EVENTS), set())
        self.assertEqual(metrics - set(METRICS), set())
