"""Starts processes and ends by id what it started; only the demo, tests and experiments use it."""

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
END_PATIENCE_S = 1.0
"""Nothing of a demo is kept, so its entries need not serve on until cached look-ups lapse."""

STOP_PATIENCE_S = 10.0
PR_SET_PDEATHSIG = 1
STOPPED_BY_SIGNAL = 128


class Launcher:
    """Owns the processes it started; leaving its context ends them all.

    A terminal's Ctrl-C goes to this process alone, because each child has a process group of its
    own; so the children end in order, and entries gracefully.

    Parameters
    ----------
    folder : Path
        For the processes' logs.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._process_by_name: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Self:
        signal.signal(signal.SIGTERM, _leave)
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

    def start(self, name: str, module: str, *arguments: str) -> int:
        """Start ``python -m module``; return its process id."""
        environment = {**os.environ, "PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"}
        with self.log(name).open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=self.folder,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                preexec_fn=_end_with_parent,
            )
        self._process_by_name[name] = process
        return process.pid

    def log(self, name: str) -> Path:
        """Return the file with a process's output."""
        return self.folder / f"{name}.log"

    def alive(self, name: str) -> bool:
        """Tell whether a process still runs."""
        process = self._process_by_name.get(name)
        return process is not None and process.poll() is None

    def pids(self) -> list[int]:
        """Return the ids of all processes ever started."""
        return [process.pid for process in self._process_by_name.values()]

    def signal(self, name: str, number: int) -> None:
        """Send a signal to one process."""
        process = self._process_by_name[name]
        if process.poll() is None:
            process.send_signal(number)

    def wait(self, name: str, patience: float) -> int:
        """Wait for a process to end; return its exit code.

        Raises
        ------
        subprocess.TimeoutExpired
            It still runs after ``patience`` seconds.
        """
        return self._process_by_name[name].wait(patience)

    def stop(self, name: str, patience: float = STOP_PATIENCE_S) -> int:
        """Send SIGTERM and wait; return the exit code."""
        self.signal(name, signal.SIGTERM)
        return self.wait(name, patience)

    def kill(self, name: str) -> None:
        """Send SIGKILL and wait."""
        self.signal(name, signal.SIGKILL)
        self.wait(name, STOP_PATIENCE_S)

    def end_all(self) -> None:
        """End every process: all are asked first, then those that stay are killed."""
        running = {n: p for n, p in self._process_by_name.items() if p.poll() is None}
        for process in running.values():
            # A stopped process would not see SIGTERM.
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        until = time.monotonic() + END_PATIENCE_S
        for process in running.values():
            try:
                process.wait(max(0.01, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def _end_with_parent() -> None:
    """Ask the kernel to end this child with its parent, should that be killed outright."""
    os.setpgid(0, 0)
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def _leave(number: int, _: FrameType | None) -> None:
    raise SystemExit(STOPPED_BY_SIGNAL + number)
