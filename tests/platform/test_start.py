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


class EarlySignalTest(unittest.TestCase):
    """Signals that arrive before the event loop handles them."""

    def test_a_reload_while_the_process_starts_does_not_end_it(self) -> None:
        """Guards against a process that ends since its settings changed as it was started."""
        code = (
            "import os, signal, sys, types\n"
            "from briarspur.platform import __main__ as program\n"
            "gateway = types.ModuleType('briarspur.platform.gateway')\n"
            "def main():\n"
            "    os.kill(os.getpid(), signal.SIGHUP)\n"
            "    return 7\n"
            "gateway.main = main\n"
            "sys.modules[gateway.__name__] = gateway\n"
            "sys.exit(program.main())\n"
        )
        self.assertEqual(7, subprocess.run([sys.executable, "-c", code], check=False).returncode)
