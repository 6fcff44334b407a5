"""Tests of what a gateway loads before it can serve anybody."""

import subprocess
import sys
import unittest

FOREIGN = (
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
"""Modules of the product's other programs."""
LIST_MODULES = "import sys, briarspur.platform.gateway; print(*sorted(sys.modules))"


class StartTest(unittest.TestCase):
    """A fleet that lost its power starts at once; what each process imports delays all callers."""

    def test_a_gateway_imports_nothing_of_the_other_programs(self) -> None:
        """Guards against starts that grow by modules which the gateway never uses."""
        command = [sys.executable, "-c", LIST_MODULES]
        listed = subprocess.run(command, check=True, capture_output=True, text=True).stdout.split()
        self.assertEqual([], [name for name in FOREIGN if name in listed])
