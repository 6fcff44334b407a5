"""A log stream that never blocks its writer."""

import fcntl
import os
from collections import deque

__all__ = ["BoundedSink"]

MAX_BUFFERED_BYTES = 1_048_576
"""Enough for some seconds of lines at the highest rate while the reader does not read."""


class BoundedSink:
    """Writes whole lines to a file descriptor; buffers, then drops lines while nobody reads them.

    A reader that stops (a full disk behind a pipe, a stuck collector) would otherwise block the
    only thread of the process in a write, and with it every request. A line that cannot be written
    is buffered up to a maximum size, then dropped and counted. Once the reader continues, a line
    reports how many were dropped.
    """

    def __init__(self, fd: int, max_buffered_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._fd = fd
        self._max_buffered_bytes = max_buffered_bytes
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped_unreported = 0
        self.dropped = 0
        flags = fcntl.fcntl(fd, fcntl.F_GETFL)
        fcntl.fcntl(fd, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, text: str) -> int:
        """Write a line, or buffer or drop it."""
        if not text:
            return 0
        data = text.encode("utf-8", "backslashreplace")
        if self._buffer:
            self._buffer_or_drop(data)
            self.flush()
        elif (written := self._write_available(data)) < len(data):
            self._buffer_or_drop(data[written:])
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts."""
        while self._buffer:
            part = self._buffer[0]
            written = self._write_available(part)
            if written < len(part):
                self._buffer[0] = part[written:]
                self._buffered_bytes -= written
                return
            self._buffer.popleft()
            self._buffered_bytes -= len(part)
        if self._dropped_unreported:
            count, self._dropped_unreported = self._dropped_unreported, 0
            self.write(f"event=log-lines-dropped lines={count}\n")

    def _buffer_or_drop(self, data: bytes) -> None:
        if self._buffered_bytes + len(data) > self._max_buffered_bytes:
            self.dropped += 1
            self._dropped_unreported += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def _write_available(self, data: bytes) -> int:
        try:
            return os.write(self._fd, data)
        except BlockingIOError:
            return 0
        except OSError:
            # The reader is gone for good. This cannot be logged anywhere, and requests must not be
            # affected, so the line counts as written.
            return len(data)
