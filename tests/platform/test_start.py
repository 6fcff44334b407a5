"""Tests of the modules that a gateway imports before it can serve requests."""

import subprocess
import sys
import unittest

OTHER_PROGRAMS_MODULES = (
    "briarspur.answers",
    "briarspur.attempts",
    "briarspur.backend",
    "briarspur.callerrequest",
    "briarspur.coord.members",
    "briarspur.core",
    "briarspur.inbound",
    "briarspur.messages",
    "briarspur.settings",
    "jinja2",
    "statsd",
)
"""Modules that only the other programs need."""
LIST_MODULES = "import sys, briarspur.platform.gateway; print(*sorted(sys.modules))"


class StartTest(unittest.TestCase):
    """After a power failure all gateways start together, and each import delays all callers."""

    def test_a_gateway_imports_no_modules_of_the_other_programs(self) -> None:
        """Guards against slower starts due to modules that the gateway never uses."""
        command = [sys.executable, "-c", LIST_MODULES]
        listed = subprocess.run(command, check=True, capture_output=True, text=True).stdout.split()
        self.assertEqual([], [name for name in OTHER_PROGRAMS_MODULES if name in listed])
