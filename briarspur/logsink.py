"""A log stream that never makes its writer wait."""

import fcntl
import os
from collections import deque

__all__ = ["BoundedSink"]

MOST_HELD = 1_048_576
"""Bytes held while the reader does not read; some seconds of lines at the highest rate."""


class BoundedSink:
    """Writes whole lines to a file descriptor, and drops lines while the reader does not read.

    A reader that stops (a full disk behind a pipe, a stuck collector) would otherwise hold the one
    thread of the process in a write, and with it every request. Here a line that can't be written
    is held up to a bound, then dropped and counted; a line says how many were once the reader is
    back.
    """

    def __init__(self, fd: int, most_held: int = MOST_HELD) -> None:
        self._fd = fd
        self._most_held = most_held
        self._held: deque[bytes] = deque()
        self._held_bytes = 0
        self._dropped_now = 0
        self.dropped = 0
        flags = fcntl.fcntl(fd, fcntl.F_GETFL)
        fcntl.fcntl(fd, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, text: str) -> int:
        """Write a line, or hold or drop it."""
        if not text:
            return 0
        data = text.encode("utf-8", "backslashreplace")
        if self._held:
            self._hold(data)
            self.flush()
        elif (written := self._try(data)) < len(data):
            self._hold(data[written:])
        return len(text)

    def flush(self) -> None:
        """Write what was held, as far as the reader takes it."""
        while self._held:
            part = self._held[0]
            written = self._try(part)
            if written < len(part):
                self._held[0] = part[written:]
                self._held_bytes -= written
                return
            self._held.popleft()
            self._held_bytes -= len(part)
        if self._dropped_now:
            count, self._dropped_now = self._dropped_now, 0
            self.write(f"event=log-lines-dropped lines={count}\n")

    def _hold(self, data: bytes) -> None:
        if self._held_bytes + len(data) > self._most_held:
            self.dropped += 1
            self._dropped_now += 1
            return
        self._held.append(data)
        self._held_bytes += len(data)

    def _try(self, data: bytes) -> int:
        try:
            return os.write(self._fd, data)
        except BlockingIOError:
            return 0
        except OSError:
            # The reader has gone for good. There is nowhere left to say so, and the requests must
            # not suffer, so the line counts as written.
            return len(data)
