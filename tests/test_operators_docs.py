"""Tests that the commands and links on the operators' pages are valid."""

import re
import shlex
import unittest
from pathlib import Path

import cappa

from briarspur.cli import Briarspur

DOCS = Path(__file__).resolve().parent.parent / "docs"
PAGES = [DOCS / "operators" / f"{name}.md" for name in ("day", "cli", "console", "burn")]
FENCED = re.compile(r"^```\n(.*?)^```", re.MULTILINE | re.DOTALL)
COMMAND = re.compile(r"(?:^|&& )(briarspur [a-z][^#>&\n]*)", re.MULTILINE)
INLINE = re.compile(r"`(briarspur [a-z][^`]*)`")
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


class OperatorsDocsTest(unittest.TestCase):
    """Commands are parsed by the command line, and links lead to files."""

    def test_every_command_on_the_pages_is_valid(self) -> None:
        command_count = 0
        for page in PAGES:
            text = page.read_text()
            fenced = [c for block in FENCED.findall(text) for c in COMMAND.findall(block)]
            for command in (*fenced, *INLINE.findall(text)):
                words = shlex.split(command)[1:]
                if words in (["lookup"], ["drain"], ["undrain"]):
                    continue
                arguments = ["7" if word in ("N", "M", "S") else word for word in words]
                with self.subTest(page=page.name, command=command):
                    cappa.parse(Briarspur, argv=arguments)
                command_count += 1
        self.assertGreater(command_count, 10)

    def test_every_link_leads_to_a_file(self) -> None:
        for page in (*PAGES, DOCS / "GLOSSARY.md", DOCS / "HOUSE-STYLE.md"):
            for target in LINK.findall(page.read_text()):
                with self.subTest(page=page.name, target=target):
                    self.assertTrue((page.parent / target).exists())
