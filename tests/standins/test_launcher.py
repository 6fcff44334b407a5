"""No child process outlives its launcher, however the launcher ends."""

import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from standins.launcher import ROOT, Launcher
from standins.ports import free_port

CHILD = """
import sys, time
from pathlib import Path
from standins.launcher import Launcher
with Launcher(Path(sys.argv[1])) as launcher:
    print(launcher.start("platform", "standins.objectapi", "--port", sys.argv[2]), flush=True)
    time.sleep(600)
"""


def has_ended(pid: int) -> bool:
    """Tell whether a process ended, counting a zombie that is not reaped yet as ended."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except FileNotFoundError:
        return True
    return stat.rpartition(")")[2].split()[0] == "Z"


class LauncherTest(unittest.TestCase):
    """Processes end with the launcher that started them."""

    def test_leaving_the_context_ends_all_processes_even_stopped_ones(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            with Launcher(Path(folder)) as launcher:
                for name in ("one", "two"):
                    launcher.start(
                        name, "standins.objectapi", "--port", str(free_port("127.0.0.1"))
                    )
                launcher.signal("two", signal.SIGSTOP)
                pids = launcher.pids()
                self.assertEqual([has_ended(pid) for pid in pids], [False, False])
            self.assertEqual([has_ended(pid) for pid in pids], [True, True])

    def test_no_process_is_left_after_sigint_sigterm_or_sigkill(self) -> None:
        """Guards against processes of an interrupted demo that occupy their ports for hours.

        The launcher gets a signal while its children run. After SIGKILL it cannot end them itself.
        """
        for number in (signal.SIGINT, signal.SIGTERM, signal.SIGKILL):
            with self.subTest(number), tempfile.TemporaryDirectory() as folder:
                child = self._launch(folder)
                assert child.stdout is not None
                pid = int(child.stdout.readline())
                child.send_signal(number)
                child.wait()
                child.stdout.close()
                while not has_ended(pid):
                    os.sched_yield()

    def _launch(self, folder: str) -> "subprocess.Popen[str]":
        return subprocess.Popen(
            [sys.executable, "-c", CHILD, folder, str(free_port("127.0.0.1"))],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            # A shell ignores SIGINT for its background jobs, and their children inherit that.
            preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
        )
