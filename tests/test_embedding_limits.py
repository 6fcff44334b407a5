"""Runs the Python examples of ``docs/embedding-limits.md``."""

import re
import unittest
from pathlib import Path

PAGE = Path(__file__).resolve().parent.parent / "docs" / "embedding-limits.md"


class EmbeddingLimitsTest(unittest.TestCase):
    """The examples of the page run without errors."""

    def test_examples_run(self) -> None:
        blocks = re.findall(r"```python\n(.*?)```", PAGE.read_text(), re.DOTALL)
        self.assertGreaterEqual(len(blocks), 7)
        for block in blocks:
            with self.subTest(block.splitlines()[0]):
                exec(compile(block, str(PAGE), "exec"), {})
