"""Run the formatter, the linter, the type checker and the tests, and print one closing line.

Tests named in KNOWN-RED.txt are run and printed, and their failures are not counted; each line of
that file is ``test id | command and seed | what was seen | issue``. A finding that has no test yet
stands there too, as ``hunted day``; no failure is passed over for it.
"""

import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import ClassVar

from nose2.events import Plugin
from nose2.main import PluggableTestProgram

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_KNOWN_RED = 3
"""Tests whose failures may be passed over at a time."""
WITHOUT_TEST = "hunted day"
FAILED = ("failed", "error")
STATIC_CHECKS = (
    ("black", ["black", "--check", "--quiet", "."]),
    ("ruff", ["ruff", "check", "--quiet", "."]),
    ("mypy", ["mypy", "--no-error-summary"]),
)


class OutcomePlugin(Plugin):  # type: ignore[misc]
    """Count outcomes, and keep the failures that KNOWN-RED.txt names out of the count.

    nose2 makes the instance, so what the runner needs of it lives on the class.
    """

    configSection = "outcomes"  # noqa: N815
    alwaysOn = True  # noqa: N815
    known_red: frozenset[str] = frozenset()
    counts: ClassVar[Counter[str]] = Counter()

    def setTestOutcome(self, event) -> None:  # type: ignore[no-untyped-def]  # noqa: N802
        """Turn the failure of a known red test into a skip."""
        if event.outcome in FAILED and event.test.id() in self.known_red:
            event.outcome = "skipped"
            event.reason = "KNOWN-RED"

    def testOutcome(self, event) -> None:  # type: ignore[no-untyped-def]  # noqa: N802
        """Count one outcome."""
        self.counts[event.outcome] += 1


def known_red() -> list[str]:
    """Return the lines of KNOWN-RED.txt, none if there is no such file."""
    if not KNOWN_RED.exists():
        return []
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    tests = sum(not line.startswith(WITHOUT_TEST) for line in lines)
    if tests > MAX_KNOWN_RED:
        raise SystemExit(f"KNOWN-RED.txt names {tests} tests, at most {MAX_KNOWN_RED} may stand")
    return lines


def run_static_checks() -> tuple[int, int]:
    """Run formatter, linter and type checker; return how many passed and failed."""
    passed = 0
    for name, command in STATIC_CHECKS:
        done = subprocess.run([sys.executable, "-m", *command], cwd=ROOT, check=False)
        print(f"{name}: {'ok' if done.returncode == 0 else 'FAILED'}", flush=True)
        passed += done.returncode == 0
    return passed, len(STATIC_CHECKS) - passed


def run_tests() -> tuple[int, int]:
    """Run every test below ``tests``; return how many passed and failed."""
    program = PluggableTestProgram(
        module=None,
        argv=["nose2", "-s", "tests", "-t", str(ROOT), "--verbose"],
        exit=False,
        extraHooks=[],
        plugins=["tools.check"],
    )
    counts = OutcomePlugin.counts
    failed = sum(counts[outcome] for outcome in FAILED)
    # A failed subtest has no outcome of its own, but makes the whole run a failed one.
    if failed == 0 and not program.result.wasSuccessful():
        failed = 1
    return counts["passed"], failed


def main() -> int:
    """Run everything; return the exit code."""
    red = known_red()
    OutcomePlugin.known_red = frozenset(line.split("|")[0].strip() for line in red)
    checks_passed, checks_failed = run_static_checks()
    tests_passed, tests_failed = run_tests()
    for line in red:
        print(f"known red: {line}")
    passed = checks_passed + tests_passed
    failed = checks_failed + tests_failed
    print(f"{passed} passed, {failed} failed", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    # The plugin is loaded by module name, so this module must be known under that name too.
    sys.path.insert(0, str(ROOT))
    from tools import check

    sys.exit(check.main())
