"""Runs the Python examples of ``docs/embedding.md``, with one subtest per section."""

import re
import unittest
from pathlib import Path

from briarspur.coord.invariants import invariants

PAGE = Path(__file__).resolve().parent.parent / "docs" / "embedding.md"
SECTION = re.compile(r"^## (.+)$", re.MULTILINE)
BLOCK = re.compile(r"^```python\n(.*?)^```$", re.MULTILINE | re.DOTALL)


class EmbeddingTest(unittest.TestCase):
    """Each section has an example, and its code blocks run in order."""

    def test_examples_run(self) -> None:
        invariants.strict = True
        _, *parts = SECTION.split(PAGE.read_text(encoding="utf-8"))
        sections = dict(zip(parts[::2], parts[1::2], strict=True))
        self.assertTrue(sections)
        for title, text in sections.items():
            with self.subTest(title):
                blocks = BLOCK.findall(text)
                self.assertTrue(blocks, "no example")
                names: dict[str, object] = {"__name__": title}
                for block in blocks:
                    exec(compile(block, f"{PAGE.name}: {title}", "exec"), names)
