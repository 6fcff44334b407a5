"""Tests that the generated reference pages are up to date and complete."""

import re
import unittest
from pathlib import Path

from briarspur.codes import CODES, Code
from briarspur.exits import EXIT_MEANINGS, ExitCode
from briarspur.logs import EVENTS
from briarspur.metrics import METRICS
from tools.reference import PAGES, ROOT, outdated_pages

EVENT_CALL = re.compile(r'logs\.event\(\s*"([a-z-]+)"')

METRIC_CALL = re.compile(r'metrics\.(?:count|gauge|timing)\(\s*"([a-z_]+)"')


class ReferenceTest(unittest.TestCase):
    """Compares the committed pages with the output of tools/reference.py."""

    def test_committed_pages_are_up_to_date(self) -> None:
        self.assertEqual(outdated_pages(), [], "run: python tools/reference.py --write")

    def test_tables_are_complete(self) -> None:
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
