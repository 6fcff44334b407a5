"""Run the formatter, the linter, the type checker and the tests, and print one closing line.

The tests run in three processes at the same time: those that start processes and mostly wait for
them, those of the gateway, and the others.

Tests listed in KNOWN-RED.txt are run and printed, but their failures are not counted. Each line of
that file is ``test id | command and seed | what was seen | issue``. A known fault without a test is
listed as ``hunted day``; such a line excuses no failure.
"""

import argparse
import re
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import ClassVar

from nose2.events import Plugin
from nose2.main import PluggableTestProgram

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3
"""Largest number of tests whose failures may be ignored at a time."""
NO_TEST_PREFIX = "hunted day"
FAILED = ("failed", "error")
SUBTEST = "subtest"
PART_BY_FOLDER = {
    "scenarios": "processes",
    "standins": "processes",
    "tools": "processes",
    "gateway": "gateway",
}
"""Parts of the tests that run at the same time, by the folder of their modules."""
OTHERS = "others"
PARTS = (*dict.fromkeys(PART_BY_FOLDER.values()), OTHERS)
CLOSING_LINE = re.compile(r"^(\d+) passed, (\d+) failed$")
STATIC_CHECKS = (
    ("black", ["black", "--check", "--quiet", "."]),
    ("ruff", ["ruff", "check", "--quiet", "."]),
    ("mypy", ["mypy", "--no-error-summary"]),
)


class OutcomePlugin(Plugin):  # type: ignore[misc]
    """Count test outcomes, excluding the failures listed in KNOWN-RED.txt.

    nose2 creates the instance, so the state shared with the runner is kept on the class.
    """

    configSection = "outcomes"  # noqa: N815
    alwaysOn = True  # noqa: N815
    known_red: frozenset[str] = frozenset()
    counts: ClassVar[Counter[str]] = Counter()

    def setTestOutcome(self, event) -> None:  # type: ignore[no-untyped-def]  # noqa: N802
        """Report the failure of a known red test, or of a subtest of it, as a skip."""
        test = getattr(event.test, "test_case", event.test)
        has_failed = event.outcome in FAILED or (event.outcome == SUBTEST and event.exc_info)
        if has_failed and test.id() in self.known_red:
            event.outcome = "skipped"
            event.reason = "KNOWN-RED"

    def testOutcome(self, event) -> None:  # type: ignore[no-untyped-def]  # noqa: N802
        """Count one outcome."""
        self.counts[event.outcome] += 1


def read_known_red() -> list[str]:
    """Return the lines of KNOWN-RED.txt, or an empty list if the file is missing."""
    if not KNOWN_RED.exists():
        return []
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    tests = sum(not line.startswith(NO_TEST_PREFIX) for line in lines)
    if tests > MAX_KNOWN_RED:
        raise SystemExit(f"KNOWN-RED.txt names {tests} tests, at most {MAX_KNOWN_RED} are allowed")
    return lines


def run_static_checks() -> tuple[int, int]:
    """Run the formatter, linter and type checker; return the counts of passed and failed checks."""
    passed = 0
    for name, command in STATIC_CHECKS:
        result = subprocess.run([sys.executable, "-m", *command], cwd=ROOT, check=False)
        print(f"{name}: {'ok' if result.returncode == 0 else 'FAILED'}", flush=True)
        passed += result.returncode == 0
    return passed, len(STATIC_CHECKS) - passed


def modules_of(part: str) -> list[str]:
    """Return the test modules of a part."""
    modules = []
    for path in sorted((ROOT / "tests").rglob("test_*.py")):
        if PART_BY_FOLDER.get(path.parent.name, OTHERS) == part:
            modules.append(".".join(path.relative_to(ROOT).with_suffix("").parts))
    return modules


def run_parts() -> tuple[int, int]:
    """Run all parts at the same time, print their output; return the counts of their tests."""
    passed = failed = 0
    with tempfile.TemporaryDirectory() as folder:
        runs = []
        for part in PARTS:
            output = Path(folder) / part
            command = [sys.executable, __file__, "--part", part]
            with output.open("wb") as file:
                process = subprocess.Popen(command, cwd=ROOT, stdout=file, stderr=file)
            runs.append((process, output))
        for process, output in runs:
            process.wait()
            text = output.read_text(errors="replace").rstrip()
            print(text, flush=True)
            closing = CLOSING_LINE.match(text.rpartition("\n")[2])
            # A part that ended early has no closing line.
            passed += int(closing[1]) if closing else 0
            failed += int(closing[2]) if closing else 1
    return passed, failed


def run_part(part: str) -> tuple[int, int]:
    """Run the tests of a part; return the counts of passed and failed tests."""
    program = PluggableTestProgram(
        module=None,
        argv=["nose2", "-t", str(ROOT), "--verbose", *modules_of(part)],
        exit=False,
        extraHooks=[],
        plugins=["tools.check"],
    )
    counts = OutcomePlugin.counts
    failed = sum(counts[outcome] for outcome in FAILED)
    # A failed subtest reports no separate outcome, but makes the whole run fail.
    if failed == 0 and not program.result.wasSuccessful():
        failed = 1
    return counts["passed"], failed


def main() -> int:
    """Run all checks and tests, or one part of the tests; return the exit code."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--part", choices=PARTS)
    part = parser.parse_args().part
    red_lines = read_known_red()
    OutcomePlugin.known_red = frozenset(line.split("|")[0].strip() for line in red_lines)
    if part is not None:
        passed, failed = run_part(part)
        print(f"{passed} passed, {failed} failed", flush=True)
        return 1 if failed else 0
    checks_passed, checks_failed = run_static_checks()
    tests_passed, tests_failed = run_parts()
    for line in red_lines:
        print(f"known red: {line}")
    passed = checks_passed + tests_passed
    failed = checks_failed + tests_failed
    print(f"{passed} passed, {failed} failed", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    # nose2 loads the plugin by module name, so this module is imported under that name too.
    sys.path.insert(0, str(ROOT))
    from tools import check

    sys.exit(check.main())
