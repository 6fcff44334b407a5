"""Starts the processes of the demo, tests and experiments, and ends them by their ids."""

import ctypes
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from types import FrameType, TracebackType
from typing import Self

__all__ = ["Launcher"]

ROOT = Path(__file__).resolve().parent.parent
END_TIMEOUT_S = 1.0
"""Short because a demo keeps no data: its entries need not serve until cached look-ups expire."""

STOP_TIMEOUT_S = 10.0
PR_SET_PDEATHSIG = 1
SIGNAL_EXIT_CODE_BASE = 128


class Launcher:
    """Context manager that owns the processes it started and ends them all on exit.

    Each child has its own process group, so Ctrl-C in a terminal reaches only this process. The
    children then end in order, and entries end gracefully.

    Parameters
    ----------
    folder : Path
        Folder for the logs of the processes.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._process_by_name: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Self:
        signal.signal(signal.SIGTERM, _exit_on_signal)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        self.end_all()
        signal.signal(signal.SIGTERM, signal.SIG_DFL)

    def start(self, name: str, module: str, *arguments: str, root: Path | None = None) -> int:
        """Start ``python -m module``; return its process id.

        Parameters
        ----------
        root : Path, optional
            Root of the checkout that has the module, if it is not this one.
        """
        environment = {**os.environ, "PYTHONPATH": str(root or ROOT), "PYTHONUNBUFFERED": "1"}
        with self.log(name).open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=self.folder,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=_kill_with_parent,
            )
        self._process_by_name[name] = process
        return process.pid

    def log(self, name: str) -> Path:
        """Return the path of a process's output."""
        return self.folder / f"{name}.log"

    def is_alive(self, name: str) -> bool:
        """Tell whether a process is still running."""
        process = self._process_by_name.get(name)
        return process is not None and process.poll() is None

    def has_started(self, name: str) -> bool:
        """Tell whether a process was started; it may have ended."""
        return name in self._process_by_name

    def pid(self, name: str) -> int:
        """Return the id of a process that was started, which may have ended."""
        return self._process_by_name[name].pid

    def pids(self) -> list[int]:
        """Return the ids of all processes that were started, including ended ones."""
        return [process.pid for process in self._process_by_name.values()]

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process."""
        process = self._process_by_name[name]
        if process.poll() is None:
            process.send_signal(number)

    def wait(self, name: str, timeout: float) -> int:
        """Wait for a process to end; return its exit code.

        Raises
        ------
        subprocess.TimeoutExpired
            The process is still running after ``timeout`` seconds.
        """
        return self._process_by_name[name].wait(timeout)

    def stop(self, name: str, timeout: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM and wait; return the exit code."""
        self.signal(name, signal.SIGTERM)
        return self.wait(name, timeout)

    def kill(self, name: str) -> None:
        """Send SIGKILL and wait."""
        self.signal(name, signal.SIGKILL)
        self.wait(name, STOP_TIMEOUT_S)

    def end_all(self) -> None:
        """Send SIGTERM to every process, then kill those that are still running."""
        running = {n: p for n, p in self._process_by_name.items() if p.poll() is None}
        for process in running.values():
            # A stopped process doesn't handle SIGTERM until it continues.
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + END_TIMEOUT_S
        for process in running.values():
            try:
                process.wait(max(0.01, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def _kill_with_parent() -> None:
    """Ask the kernel to kill this child if its parent is killed without ending it."""
    os.setpgid(0, 0)
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _exit_on_signal(number: int, _: FrameType | None) -> None:
    raise SystemExit(SIGNAL_EXIT_CODE_BASE + number)
