"""Tests of the operators' programs as processes: console, command line and error budget report.

They run against the platform's stand-in.
"""

import html
import json
import os
import re
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.error
import urllib.parse
import urllib.request
from pathlib import Path
from typing import Any

from standins.ports import free_port
from tests.examples import small_policy

ROOT = Path(__file__).resolve().parent.parent
TOKEN = "0123456789abcdef"
STARTUP_TIMEOUT_S = 30.0


class OperatorsScenarioTest(unittest.TestCase):
    """An operator applies a policy by command line, edits it in the console and rolls it back."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.platform_port, self.console_port = free_port("127.0.0.1"), free_port("127.0.0.1")
        platform = {"host": "127.0.0.1", "port": self.platform_port}
        self.cli = self.save("cli.json", {"platform": platform})
        self.file = self.save("policy.json", small_policy())
        token_file = self.folder / "token"
        token_file.write_text(f"ana {TOKEN}\n")
        console = {"platform": platform, "port": self.console_port, "token_file": str(token_file)}
        self.start("standins.objectapi", "--port", str(self.platform_port))
        self.start("briarspur.console", "--settings", self.save("console.json", console))
        self.cookie = ""

    def save(self, name: str, document: Any) -> str:
        path = self.folder / name
        path.write_text(json.dumps(document))
        return str(path)

    def start(self, *arguments: str) -> None:
        log = self.enterContext(open(self.folder / f"{arguments[0]}.log", "w"))
        process = subprocess.Popen(
            [sys.executable, "-m", *arguments], cwd=ROOT, env=environment(), stdout=log, stderr=log
        )
        self.addCleanup(process.wait, 10)
        self.addCleanup(process.terminate)

    def briarspur(self, *arguments: str) -> tuple[int, str]:
        command = [sys.executable, "-m", "briarspur.cli", *arguments, "--settings", self.cli]
        done = subprocess.run(
            command, cwd=ROOT, env=environment(), capture_output=True, text=True, check=False
        )
        return done.returncode, done.stdout

    def open(self, path: str, **fields: str) -> str:
        request = urllib.request.Request(f"http://127.0.0.1:{self.console_port}{path}")
        if self.cookie:
            request.add_header("Cookie", self.cookie)
        if fields:
            request.data = urllib.parse.urlencode(fields).encode()
        try:
            response = urllib.request.urlopen(request, timeout=10)
        except urllib.error.HTTPError as error:
            response = error
        self.cookie = (response.headers.get("Set-Cookie") or self.cookie).split(";")[0]
        return str(response.read().decode())

    def wait_for_page(self, path: str) -> str:
        deadline = time.monotonic() + STARTUP_TIMEOUT_S
        while True:
            try:
                page = self.open(path)
                if "unavailable" not in page:
                    return page
            except OSError:
                pass
            self.assertLess(time.monotonic(), deadline, "the console did not start to answer")
            time.sleep(0.1)

    def hidden_fields(self, page: str) -> dict[str, str]:
        found = re.findall(r'type="hidden" name="(\w+)" value="([^"]*)"', page)
        return {name: html.unescape(value) for name, value in found}

    def test_apply_then_edit_in_the_console_then_rollback(self) -> None:
        self.assertIn("No policy is in force", self.wait_for_page("/"))
        self.assertEqual(self.briarspur("apply", self.file)[0], 0)
        form = self.hidden_fields(self.open("/edit"))
        edits = {"services.times.objective.latency_ms": "400", "action": "review"}
        review = self.open("/edit", **form, **edits)
        self.assertIn("500 -&gt; 400", review)
        accept = {**self.hidden_fields(review), "note": "tighter", "token": TOKEN}
        self.assertIn("is accepted", self.open("/accept", **accept))
        self.assertIn("Conflict", self.open("/accept", **accept))
        first, second = self.versions()
        code, text = self.briarspur("rollback", str(second), "--expect-version", str(first))
        self.assertEqual(code, 0, text)
        self.assertEqual(len(self.versions()), 3)
        code, text = self.briarspur("rollback", str(second), "--expect-version", str(first))
        self.assertEqual(code, 3, text)
        report = [sys.executable, "-m", "briarspur.burn", "--settings", self.cli, "--once"]
        done = subprocess.run(report, cwd=ROOT, env=environment(), capture_output=True, text=True)
        self.assertIn("times: UNKNOWN", done.stdout)

    def versions(self) -> list[int]:
        _, text = self.briarspur("history", "--json")
        return [revision["version"] for revision in json.loads(text)]


def environment() -> dict[str, str]:
    return {**os.environ, "PYTHONPATH": str(ROOT)}
