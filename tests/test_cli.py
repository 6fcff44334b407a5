"""Tests of the command line: exit codes, and output as text and as JSON."""

import asyncio
import contextlib
import io
import json
import tempfile
import unittest
from collections.abc import AsyncIterator
from typing import Any
from unittest import mock

from briarspur import cli
from briarspur.clicontext import Context
from briarspur.exits import ExitCode
from briarspur.repository import PolicyRepository
from tests.examples import small_policy
from tests.fakes import FakeStore, skip_sleep
from tests.test_porcelain import FakeEntries


class CliTest(unittest.TestCase):
    """Whole commands run with a fake store and fake entries."""

    def setUp(self) -> None:
        self.store = FakeStore()
        self.entries = FakeEntries(["e1"])
        self.clock = 0.0
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.file = f"{folder}/policy.json"
        self.save(small_policy())

        @contextlib.asynccontextmanager
        async def open_context(_: str | None, json: bool, author: str) -> AsyncIterator[Context]:
            repository = PolicyRepository(self.store, skip_sleep)
            context = Context(json, author, repository, self.entries, self.entries, self.store)
            context.now = self.now
            context.sleep = skip_sleep  # type: ignore[assignment]
            yield context

        self.enterContext(mock.patch.object(cli, "open_context", open_context))
        run = mock.patch.object(cli, "run_once", lambda start: asyncio.run(start()))
        self.enterContext(run)

    def now(self) -> float:
        self.clock += 1.0
        return self.clock

    def save(self, document: dict[str, Any]) -> None:
        with open(self.file, "w", encoding="utf-8") as file:
            json.dump(document, file)

    def run_command(self, *arguments: str) -> tuple[int, str]:
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            code = cli.main(arguments)
        return code, out.getvalue()

    def test_apply_diff_rollback_history_and_show(self) -> None:
        self.assertEqual(self.run_command("apply", self.file)[0], ExitCode.OK)
        document = small_policy()
        document["caps"]["return"]["requests_per_window"] = 5
        self.save(document)
        code, text = self.run_command("diff", self.file)
        self.assertIn("~ caps.return.requests_per_window: 10 -> 5", text)
        code, text = self.run_command("apply", self.file, "--expect-version", "1", "--json")
        self.assertEqual(code, ExitCode.OK)
        version = json.loads(text)["revision"]["version"]
        code, text = self.run_command("rollback", "1", "--expect-version", str(version))
        self.assertEqual(code, ExitCode.OK)
        code, text = self.run_command("history")
        self.assertEqual(len(text.splitlines()), 3)
        code, text = self.run_command("show")
        self.assertEqual(json.loads(text[: text.rindex("}") + 1])["user"], "example")

    def test_a_conflict_shows_both_edits(self) -> None:
        self.run_command("apply", self.file)
        self.run_command("drain", "times-north-1")
        document = small_policy()
        del document["targets"]["times-north-1"]
        self.save(document)
        code, text = self.run_command("apply", self.file, "--expect-version", "1")
        self.assertEqual(code, ExitCode.CONFLICT)
        self.assertIn("clash at targets.times-north-1", text)

    def test_failures_have_their_exit_codes(self) -> None:
        self.assertEqual(self.run_command("lookup", "times")[0], ExitCode.NO_ENTRY)
        self.assertEqual(self.run_command("drain", "nobody")[0], ExitCode.REFUSED)
        self.assertEqual(self.run_command("explain", "GET", "/times")[0], ExitCode.REFUSED)
        self.store.lost_requests = 100
        self.assertEqual(self.run_command("apply", self.file)[0], ExitCode.UNSETTLED)
        self.store.down = True
        self.assertEqual(self.run_command("history")[0], ExitCode.STORE_UNAVAILABLE)
        self.save({"user": "x"})
        self.assertEqual(self.run_command("check", self.file)[0], ExitCode.INVALID)
        self.assertEqual(self.run_command("apply", self.file)[0], ExitCode.INVALID)
        self.assertEqual(self.run_command("apply", "/nowhere")[0], ExitCode.INVALID)
        with self.assertRaises(SystemExit) as caught:
            self.run_command("nonsense")
        self.assertEqual(caught.exception.code, ExitCode.INVALID)

    def test_a_wait_that_times_out_exits_with_not_done(self) -> None:
        self.run_command("apply", self.file)
        code, text = self.run_command("status", "--wait", "5")
        self.assertEqual(code, ExitCode.NOT_DONE)
        self.assertIn("unknown: e1", text)
        code, text = self.run_command("drain", "times-north-1", "--wait", "5")
        self.assertEqual(code, ExitCode.NOT_DONE)
        self.entries.set("e1", version=100, in_flight=0)
        code, text = self.run_command("drain", "times-north-1", "--wait", "5", "--json")
        self.assertEqual(code, ExitCode.OK)

    def test_explain_uses_a_file_before_it_is_applied(self) -> None:
        arguments = ("explain", "POST", "/booking/x", "--file", self.file, "--json")
        code, text = self.run_command(*arguments)
        self.assertEqual(code, ExitCode.OK)
        self.assertEqual(json.loads(text)["rule"]["kind"], "once_only")
